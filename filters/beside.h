#ifndef FILTERS_BESIDE_H
#define FILTERS_BESIDE_H

/**
 * DOC: bsd - decisions on a request at the node beside the backend server
 *
 * This node is the only way to the server, so it knows what runs there and
 * keeps the queue itself.  What it refuses has not run.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/adm.h"
#include "controllers/backend.h"
#include "controllers/origin.h"
#include "controllers/pace.h"
#include "core/clk.h"
#include "core/reason.h"

enum bsd_filter
{
  BSD_BACKEND,  /* the server is there */
  BSD_LEAVING,  /* it takes new work */
  BSD_SERVICE,  /* it is of the service that the request is for */
  BSD_DEADLINE, /* the time left is enough */
  BSD_PACE,     /* the services below can carry one more */
  BSD_TARGET,   /* it would begin to run early enough */
  BSD_SLOT,     /* a slot is free */
  BSD_END,
};

struct bsd_state
{
  struct bkd backend;
  bool stopping; /* this node ends */
  struct adm *slots;
  struct org origins;
  struct pac pace;
  uint32_t declared;   /* slots of the server */
  uint32_t calls_open; /* calls that run or wait here */
  double calls_usual;  /* smoothed number of these */
  uint32_t long_open;  /* other requests that run or wait */
  double service_us;   /* smoothed time of a run */
  double long_us;      /* the same of requests that are no calls */
  double call_wait_us; /* smoothed wait of calls for a slot */
  clk_us call_wait_at;
  double haste; /* part of their time limit that its requests take */
  double calls; /* calls that the server made, fading */

  double runs; /* requests that it ran, fading */
  clk_us faded;
};

struct bsd_request
{
  char service[RTE_NAME_BYTES];
  uint8_t importance;
  bool inner;
  uint64_t route; /* digest of its name */
  double haste;   /* as the other node told */
  clk_us arrived;
  clk_us deadline;
  clk_us target;          /* when an answer begins to count as late */
  struct pac_route *pace; /* held while set */
  struct adm_ticket ticket;
  bool counted; /* in calls_open or long_open */
};

enum bsd_result_kind
{
  BSD_RUN,
  BSD_WAIT, /* adm_next() reports it */
  BSD_REFUSE,
};

struct bsd_result
{
  enum bsd_result_kind kind;
  enum rsn_refusal reason;
};

int bsd_init (struct bsd_state *state);
void bsd_fini (struct bsd_state *state);

/* The server has SLOTS.  */
void bsd_configure (struct bsd_state *state, uint32_t slots);

struct bsd_result bsd_admit (struct bsd_state *state,
                             struct bsd_request *request, clk_us now);

/* A request begins to run.  */
void bsd_started (struct bsd_state *state, const struct bsd_request *request,
                  clk_us now);

/* A run has ended after TOOK.  */
void bsd_ended (struct bsd_state *state, const struct bsd_request *request,
                clk_us took);

/* The request is over; END and the WAIT of calls at the services below tell
   whether these kept up.  */
void bsd_release (struct bsd_state *state, struct bsd_request *request,
                  enum pac_end end, clk_us wait, clk_us now);

/* Divides the slots between calls and other requests by what calls use; to be
   called several times a second.  */
void bsd_sample (struct bsd_state *state);

/* The server makes a call that leads to FAN_OUT further ones.  */
void bsd_called (struct bsd_state *state, double fan_out, clk_us now);

/* Calls that one run leads to.  */
double bsd_fan_out (struct bsd_state *state, clk_us now);

/* Expected wait of a call for a slot, in microseconds.  */
double bsd_call_wait (const struct bsd_state *state, clk_us now);

/* Time after which room is expected for a request that is refused now.  */
uint32_t bsd_retry_after_ms (const struct bsd_state *state);

#endif
