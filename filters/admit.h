#ifndef FILTERS_ADMIT_H
#define FILTERS_ADMIT_H

/**
 * DOC: admit - decisions on a request at the node beside the backend server
 *
 * This node is the only way to the server, so it knows what runs there and
 * keeps the queue itself.  What it refuses has not run.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/slots.h"
#include "controllers/backend.h"
#include "controllers/origin.h"
#include "controllers/aimd.h"
#include "core/clk.h"
#include "core/reason.h"

enum admit_filter
{
  ADMIT_BACKEND,     /* the server is there */
  ADMIT_DRAINING,    /* it takes new work */
  ADMIT_SERVICE,     /* it is of the service that the request is for */
  ADMIT_DEADLINE,    /* the time left is enough */
  ADMIT_CONCURRENCY, /* the services below can carry one more */
  ADMIT_TARGET,      /* it would begin to run early enough */
  ADMIT_SLOT,        /* a slot is free */
  ADMIT_END,
};

struct admit_state
{
  struct backend backend;
  bool stopping; /* this node ends */
  struct slots *slots;
  struct origin origins;
  struct aimd aimd;
  uint32_t server_slots;      /* slots of the server */
  uint32_t internal_open;     /* calls that run or wait here */
  double internal_average;    /* smoothed number of these */
  uint32_t external_open;     /* other requests that run or wait */
  double service_us;          /* smoothed time of a run */
  double external_service_us; /* the same of requests that are no calls */
  double internal_wait_us;    /* smoothed wait of calls for a slot */
  clk_us internal_wait_at;
  double
      timeout_fraction; /* part of their time limit that its requests take */
  double recent_calls;  /* calls that the server made, fading */

  double recent_runs; /* requests that it ran, fading */
  clk_us decayed_at;
};

struct admit_request
{
  char service[ROUTE_NAME_BYTES];
  uint8_t importance;
  bool internal;
  uint64_t route;          /* digest of its name */
  double timeout_fraction; /* as the other node told */
  clk_us arrived;
  clk_us deadline;
  clk_us target_deadline;        /* when an answer begins to count as late */
  struct aimd_route *aimd_route; /* held while set */
  struct slots_ticket ticket;
  bool counted; /* in calls_open or long_open */
};

enum admit_result_kind
{
  ADMIT_RUN,
  ADMIT_WAIT, /* slots_next() reports it */
  ADMIT_REFUSE,
};

struct admit_result
{
  enum admit_result_kind kind;
  enum reason_refusal reason;
};

int admit_init (struct admit_state *state);
void admit_fini (struct admit_state *state);

/* The server has SLOTS.  */
void admit_set_slots (struct admit_state *state, uint32_t slots);

struct admit_result admit_run_chain (struct admit_state *state,
                                     struct admit_request *request,
                                     clk_us now);

/* A request begins to run.  */
void admit_record_start (struct admit_state *state,
                         const struct admit_request *request, clk_us now);

/* A run has ended after TOOK.  */
void admit_record_end (struct admit_state *state,
                       const struct admit_request *request, clk_us took);

/* The request is over; END and the WAIT of calls at the services below tell
   whether these kept up.  */
void admit_release (struct admit_state *state, struct admit_request *request,
                    enum aimd_outcome end, clk_us wait, clk_us now);

/* Divides the slots between calls and other requests by what calls use; to be
   called several times a second.  */
void admit_update_shares (struct admit_state *state);

/* The server makes a call that leads to FAN_OUT further ones.  */
void admit_record_call (struct admit_state *state, double fake_announce_out,
                        clk_us now);

/* Calls that one run leads to.  */
double admit_fan_out (struct admit_state *state, clk_us now);

/* Expected wait of a call for a slot, in microseconds.  */
double admit_internal_wait_us (const struct admit_state *state, clk_us now);

/* Time after which room is expected for a request that is refused now.  */
uint32_t admit_retry_after_ms (const struct admit_state *state);

#endif
