#ifndef FILTERS_ADMIT_H
#define FILTERS_ADMIT_H

/**
 * DOC: admit - admission control at the node beside the backend server
 *
 * All requests for the backend server pass through this node, so it knows what
 * runs there and keeps the queue itself.  A request that it refuses has not
 * run.
 *
 * A filter chain checks a request in the order of enum admit_filter.  Slots
 * and queue are those of controllers/slots.h, the limit of each route is that
 * of controllers/aimd.h.
 *
 * Internal requests are calls that other backend servers make while they run a
 * request; external requests come from callers.
 *
 * Used by the gate task, as filters/dispatch.h.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/slots.h"
#include "controllers/backend.h"
#include "controllers/origin.h"
#include "controllers/aimd.h"
#include "core/clk.h"
#include "core/reason.h"
#include "filters/suspects.h"

enum admit_filter
{
  ADMIT_BACKEND,     /* the backend server is available */
  ADMIT_DRAINING,    /* the server and the node accept new requests */
  ADMIT_SERVICE,     /* the server belongs to the service of the request */
  ADMIT_DEADLINE,    /* enough time is left until the deadline */
  ADMIT_QUARANTINE,  /* it has not crashed several servers, and no other
                        suspect runs */
  ADMIT_CONCURRENCY, /* the AIMD limit of the route is not reached */
  ADMIT_TARGET,      /* the latency target can be met */
  ADMIT_SLOT,        /* a slot is free, or the request is queued */
  ADMIT_END,
};

struct admit_state
{
  struct backend backend;
  bool stopping;  /* the node is shutting down, accepts no new requests */
  clk_us stop_at; /* end of a shutdown at the latest; 0: none is in progress */
  struct suspects *suspects; /* of the node; NULL: no quarantine */
  struct slots *slots;
  struct origin origins;
  struct aimd aimd;
  uint32_t server_slots;             /* slots of the backend server */
  uint32_t internal_in_flight;       /* internal requests, running or queued */
  double internal_in_flight_average; /* moving average of internal_in_flight */
  uint32_t external_in_flight;       /* external requests, running or queued */
  double service_time_us;            /* moving average of the service time */
  double external_service_time_us;   /* the same for external requests */
  /* Moving average of the time that internal requests wait for a slot, and
     time of its last sample; 0 for none.  */
  double internal_queue_wait_us;
  clk_us internal_queue_wait_updated_at;
  /* Moving average, over the requests that run here, of the fraction of their
     time limit that such requests use.  */
  double timeout_used_fraction;
  /* Calls that the server has made, with the calls that these cause, and
     requests that it has run; both decay exponentially.  */
  double recent_calls;

  double recent_runs;
  clk_us decayed_at; /* time up to which both have decayed */
};

struct admit_request
{
  char service[ROUTE_NAME_BYTES];
  uint8_t importance;
  bool internal;
  bool idempotent;
  uint64_t route_id;            /* digest of the route's name */
  uint64_t fingerprint;         /* for the quarantine */
  double timeout_used_fraction; /* of such requests, as reported by the node at
                                   which it arrived */
  clk_us arrived;
  clk_us deadline;
  clk_us target_deadline; /* after this an answer misses the latency target; 0
                             for no target */
  struct aimd_route *aimd_route; /* admitted under its limit while set */
  struct slots_ticket ticket;
  bool counted; /* counted in internal_in_flight or external_in_flight */
  bool suspect_counted; /* counted in suspects.running */
};

enum admit_result_kind
{
  ADMIT_RUN,    /* holds a slot */
  ADMIT_QUEUED, /* queued; slots_next() reports when it runs */
  ADMIT_REFUSE,
};

struct admit_result
{
  enum admit_result_kind kind;
  enum reason_refusal reason; /* for ADMIT_REFUSE */
};

/* Returns SR_OK or SR_ENOMEM.  */
int admit_init (struct admit_state *state);
void admit_fini (struct admit_state *state);

/* Sets the number of slots of the backend server.  */
void admit_set_slots (struct admit_state *state, uint32_t slots);

/**
 * admit_run_chain() - run the filter chain on a request
 * @state: state of the node
 * @request: request, with the members from the wire set
 * @now: current time
 *
 * Return: ADMIT_RUN, ADMIT_QUEUED, or ADMIT_REFUSE with the reason.
 */
struct admit_result admit_run_chain (struct admit_state *state,
                                     struct admit_request *request,
                                     clk_us now);

/* Records that a request begins to run at the backend server.  */
void admit_record_start (struct admit_state *state,
                         const struct admit_request *request, clk_us now);

/* Records the service time of a request that has run at the backend server.
 */
void admit_record_end (struct admit_state *state,
                       const struct admit_request *request,
                       clk_us service_time);

/**
 * admit_release() - end the counts and the AIMD admission of a request
 * @state: state of the node
 * @request: request that has ended
 * @outcome: how it ended, for the AIMD limit of its route
 * @downstream_queue_wait: time that calls wait for a slot at the services
 *	downstream
 * @now: current time
 *
 * The slot is released by slots_finish() or slots_withdraw().
 */
void admit_release (struct admit_state *state, struct admit_request *request,
                    enum aimd_outcome outcome, clk_us downstream_queue_wait,
                    clk_us now);

/* Samples the number of internal requests in flight, and divides the slots
   between internal and external requests by its average.  To be called several
   times a second.  */
void admit_update_slot_shares (struct admit_state *state);

/* Records a call of the backend server that causes FAN_OUT further calls.  */
void admit_record_call (struct admit_state *state, double fan_out, clk_us now);

/* Average number of calls that a run causes, directly and further downstream;
   0 while too few runs are known.  */
double admit_fan_out (struct admit_state *state, clk_us now);

/* Expected time that an internal request waits for a slot, in microseconds; 0
   without a recent sample.  */
double admit_internal_queue_wait_us (const struct admit_state *state,
                                     clk_us now);

/* Retry-After in milliseconds for a request that is refused now: expected time
   until the queue has drained, within bounds.  */
uint32_t admit_retry_after_ms (const struct admit_state *state);

#endif
