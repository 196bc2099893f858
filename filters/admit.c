#include "filters/admit.h"

#include <string.h>

#include "core/err.h"
#include "filters/importance.h"

/* A request that must not run twice is admitted by a node that shuts down if
   this many times the average service time is left.  */
#define ADMIT_STOP_RUNS 2.0
/* Maximum number of queued requests per slot.  */
#define ADMIT_QUEUE_PER_SLOT 4
/* Fraction of the slots that is used: many servers slow down when they are
   nearly full, which costs more than the unused slots.  */
#define ADMIT_SLOTS_FRACTION 0.945
/* Minimum share of the slots for external requests, in percent.  */
#define ADMIT_EXTERNAL_PERCENT_MIN 40
/* Internal requests get their average number in flight times the factor, plus
   HEADROOM_SLOTS.  */
#define ADMIT_INTERNAL_HEADROOM_FACTOR 1.4
#define ADMIT_INTERNAL_HEADROOM_SLOTS 1.0
/* Weight of one sample in internal_in_flight_average.  */
#define ADMIT_IN_FLIGHT_GAIN 0.15
/* A request is queued unless its answer is expected to miss the target by more
   than this fraction of the service time.  */
#define ADMIT_LATE_FRACTION 0.2
/* Minimum time in which a request can run.  */
#define ADMIT_RUN_MIN_US clk_ms (10)
/* Time for the answer to get back to the node of arrival before the deadline.
 */
#define ADMIT_ANSWER_MARGIN_US clk_ms (25)
/* Weight of one sample in the other moving averages.  */
#define ADMIT_GAIN 0.1
/* The average queue wait is ignored when its last sample is older than this.
 */
#define ADMIT_QUEUE_WAIT_TTL_US clk_ms (300)
/* recent_calls and recent_runs are multiplied by the factor once in each
   interval.  */
#define ADMIT_DECAY_INTERVAL_US clk_s (1)
#define ADMIT_DECAY_FACTOR 0.7
/* The fan-out is unknown while recent_runs is lower.  */
#define ADMIT_RUNS_MIN 8
#define ADMIT_RETRY_AFTER_MIN_MS 100
#define ADMIT_RETRY_AFTER_MAX_MS 2000

static const enum admit_filter admit_chain[]
    = { ADMIT_BACKEND,  ADMIT_DRAINING,   ADMIT_SERVICE,
        ADMIT_DEADLINE, ADMIT_QUARANTINE, ADMIT_CONCURRENCY,
        ADMIT_TARGET,   ADMIT_SLOT,       ADMIT_END };

int
admit_init (struct admit_state *state)
{
  struct slots_opts opts
      = { .slots = 1, .queue_max = 1, .limit_mode = LIMITER_FIXED };

  memset (state, 0, sizeof *state);
  state->slots = slots_new (&opts);
  if (state->slots == NULL)
    return SR_ENOMEM;
  if (origin_init (&state->origins) != SR_OK)
    return SR_ENOMEM;
  return aimd_init (&state->aimd);
}

void
admit_fini (struct admit_state *state)
{
  slots_free (state->slots);
  origin_fini (&state->origins);
  aimd_fini (&state->aimd);
}

/* Percentage of the slots that external requests may use.  */
static uint32_t
admit_external_percent (const struct admit_state *state)
{
  double reserved_slots
      = state->internal_in_flight_average * ADMIT_INTERNAL_HEADROOM_FACTOR;
  double percent;

  if (state->internal_in_flight_average > 0)
    reserved_slots += ADMIT_INTERNAL_HEADROOM_SLOTS;
  percent = 100
            * (1
               - reserved_slots
                     / (state->server_slots > 0 ? state->server_slots : 1));
  return percent < ADMIT_EXTERNAL_PERCENT_MIN ? ADMIT_EXTERNAL_PERCENT_MIN
                                              : (uint32_t)percent;
}

/* Applies the number of slots and the share of external requests.  */
static void
admit_configure_slots (struct admit_state *state)
{
  uint32_t slots = (uint32_t)(state->server_slots * ADMIT_SLOTS_FRACTION);
  struct slots_opts opts
      = { .slots = slots > 0 ? slots : 1,
          .queue_max = state->server_slots * ADMIT_QUEUE_PER_SLOT,
          .long_slots_percent = admit_external_percent (state),
          .limit_mode = LIMITER_FIXED,
          .order = SLOTS_ORDER_FIFO };

  slots_configure (state->slots, &opts);
}

void
admit_update_slot_shares (struct admit_state *state)
{
  state->internal_in_flight_average
      += (state->internal_in_flight - state->internal_in_flight_average)
         * ADMIT_IN_FLIGHT_GAIN;
  if (state->internal_in_flight_average < 0.01)
    state->internal_in_flight_average = 0;
  admit_configure_slots (state);
}

void
admit_set_slots (struct admit_state *state, uint32_t slots)
{
  state->server_slots = slots;
  aimd_configure (&state->aimd, &(struct aimd_opts){ .limit_max = slots });
  admit_configure_slots (state);
}

static struct admit_result
admit_refuse (enum reason_refusal reason)
{
  return (struct admit_result){ .kind = ADMIT_REFUSE, .reason = reason };
}

/* Counts a request as in flight: running or queued.  */
static void
admit_count_in_flight (struct admit_state *state,
                       struct admit_request *request)
{
  request->counted = true;
  if (request->internal)
    state->internal_in_flight++;
  else
    state->external_in_flight++;
}

/* Refuses an external request at once when its expected queue wait makes the
   answer miss the latency target, so that it can be served elsewhere or later.
 */
static struct admit_result
admit_check_target (const struct admit_state *state,
                    const struct admit_request *request, clk_us now)
{
  double external_slots
      = state->server_slots * admit_external_percent (state) / 100.0;
  double queue_wait_us;

  if (request->internal || request->target_deadline <= now
      || state->external_service_time_us <= 0)
    return (struct admit_result){ .kind = ADMIT_RUN };
  if (state->external_in_flight < external_slots)
    return (struct admit_result){ .kind = ADMIT_RUN };
  queue_wait_us = (state->external_in_flight + 1 - external_slots)
                  * state->external_service_time_us
                  / (external_slots > 1 ? external_slots : 1);
  if ((double)now + queue_wait_us
          + state->external_service_time_us * (1 - ADMIT_LATE_FRACTION)
      > (double)request->target_deadline)
    return admit_refuse (REASON_QUEUE_FULL);
  return (struct admit_result){ .kind = ADMIT_RUN };
}

/* Whether the request precedes internal requests.  */
static bool
admit_is_urgent (struct admit_state *state,
                 const struct admit_request *request, clk_us now)
{
  return !request->internal && request->importance >= IMPORTANCE_ROUTE_MAX
         && admit_fan_out (state, now) < IMPORTANCE_CHAIN_FAN_OUT_MIN;
}

/* Submits the request to the slot controller.  External requests count as
   long, so that their share of the slots is limited.  */
static struct admit_result
admit_take_slot (struct admit_state *state, struct admit_request *request,
                 clk_us now)
{
  struct slots_event event;

  memset (&request->ticket, 0, sizeof request->ticket);
  request->ticket.importance = request->importance;
  if (request->internal)
    request->ticket.importance = IMPORTANCE_INTERNAL;
  else if (admit_is_urgent (state, request, now))
    request->ticket.importance = IMPORTANCE_URGENT;
  request->ticket.cost
      = request->internal ? MODEL_COST_SHORT : MODEL_COST_LONG;
  request->ticket.arrived = now;
  request->ticket.deadline = request->deadline - ADMIT_ANSWER_MARGIN_US;
  event = slots_submit (state->slots, &request->ticket, now);
  if (event.kind != SLOTS_REFUSE)
    admit_count_in_flight (state, request);
  switch (event.kind)
    {
    case SLOTS_RUN:
      return (struct admit_result){ .kind = ADMIT_RUN };
    case SLOTS_REFUSE:
      return admit_refuse (event.reason);
    default:
      return (struct admit_result){ .kind = ADMIT_QUEUED };
    }
}

/* Whether a request may run before the node shuts down.  One that must not run
   twice is better served by another node if it may be cut off here.  */
static bool
admit_can_end (const struct admit_state *state,
               const struct admit_request *request, clk_us now)
{
  double expected_us = request->internal ? state->service_time_us
                                         : state->external_service_time_us;

  if (state->stop_at == 0 || request->idempotent)
    return true;
  return (double)now + expected_us * ADMIT_STOP_RUNS < (double)state->stop_at;
}

static struct admit_result
admit_check_quarantine (struct admit_state *state,
                        struct admit_request *request, clk_us now)
{
  enum reason_refusal reason;

  if (state->suspects == NULL)
    return (struct admit_result){ .kind = ADMIT_RUN };
  reason = suspects_check (state->suspects, request->fingerprint, now);
  if (reason == REASON_NONE)
    reason = suspects_enter (state->suspects, request->fingerprint, false,
                             &request->suspect_counted, now);
  if (reason != REASON_NONE)
    return admit_refuse (reason);
  return (struct admit_result){ .kind = ADMIT_RUN };
}

static struct admit_result
admit_step (struct admit_state *state, struct admit_request *request,
            enum admit_filter filter, clk_us now)
{
  switch (filter)
    {
    case ADMIT_BACKEND:
      if (state->backend.state == BACKEND_ABSENT)
        return admit_refuse (REASON_NO_BACKEND);
      break;
    case ADMIT_DRAINING:
      if (state->backend.state == BACKEND_DRAINING || state->stopping
          || !admit_can_end (state, request, now))
        return admit_refuse (REASON_DRAINING);
      break;
    case ADMIT_SERVICE:
      if (strcmp (state->backend.last_heartbeat.service, request->service)
          != 0)
        return admit_refuse (REASON_NO_BACKEND);
      break;
    case ADMIT_DEADLINE:
      if (request->deadline < now + ADMIT_ANSWER_MARGIN_US + ADMIT_RUN_MIN_US)
        return admit_refuse (REASON_DEADLINE_QUEUED);
      break;
    case ADMIT_QUARANTINE:
      return admit_check_quarantine (state, request, now);
    case ADMIT_CONCURRENCY:
      if (request->internal
          || admit_fan_out (state, now) < IMPORTANCE_CHAIN_FAN_OUT_MIN)
        break;
      request->aimd_route
          = aimd_acquire (&state->aimd, request->route_id,
                          request->importance >= IMPORTANCE_ROUTE_MAX, now);
      if (request->aimd_route == NULL)
        return admit_refuse (REASON_UPSTREAM_SHED);
      break;
    case ADMIT_TARGET:
      return admit_check_target (state, request, now);
    case ADMIT_SLOT:
      return admit_take_slot (state, request, now);
    case ADMIT_END:
      break;
    }
  return (struct admit_result){ .kind = ADMIT_RUN };
}

struct admit_result
admit_run_chain (struct admit_state *state, struct admit_request *request,
                 clk_us now)
{
  struct admit_result result = { .kind = ADMIT_RUN };

  for (const enum admit_filter *filter = admit_chain;
       *filter != ADMIT_END && result.kind == ADMIT_RUN; filter++)
    result = admit_step (state, request, *filter, now);
  return result;
}

/* Decays the recent counts for the intervals that have passed.  After a long
   idle time they are kept, and the interval starts anew.  */
static void
admit_decay (struct admit_state *state, clk_us now)
{
  if (now - state->decayed_at > 20 * ADMIT_DECAY_INTERVAL_US)
    state->decayed_at = now;
  for (; now >= state->decayed_at + ADMIT_DECAY_INTERVAL_US;
       state->decayed_at += ADMIT_DECAY_INTERVAL_US)
    {
      state->recent_calls *= ADMIT_DECAY_FACTOR;
      state->recent_runs *= ADMIT_DECAY_FACTOR;
    }
}

void
admit_record_start (struct admit_state *state,
                    const struct admit_request *request, clk_us now)
{
  admit_decay (state, now);
  state->recent_runs++;
  state->timeout_used_fraction
      += (request->timeout_used_fraction - state->timeout_used_fraction)
         * ADMIT_GAIN;
  if (!request->internal)
    return;
  state->internal_queue_wait_us
      += ((double)(now - request->arrived) - state->internal_queue_wait_us)
         * ADMIT_GAIN;
  state->internal_queue_wait_updated_at = now;
}

void
admit_record_end (struct admit_state *state,
                  const struct admit_request *request, clk_us service_time)
{
  if (!request->internal)
    state->external_service_time_us
        += ((double)service_time - state->external_service_time_us)
           * ADMIT_GAIN;
  state->service_time_us
      += ((double)service_time - state->service_time_us) * ADMIT_GAIN;
}

void
admit_release (struct admit_state *state, struct admit_request *request,
               enum aimd_outcome outcome, clk_us downstream_queue_wait,
               clk_us now)
{
  if (request->counted && request->internal)
    state->internal_in_flight--;
  else if (request->counted)
    state->external_in_flight--;
  request->counted = false;
  if (state->suspects != NULL)
    suspects_leave (state->suspects, &request->suspect_counted);
  if (request->aimd_route == NULL)
    return;
  aimd_release (request->aimd_route, outcome, now - request->arrived,
                request->deadline - request->arrived, downstream_queue_wait,
                now);
  request->aimd_route = NULL;
}

void
admit_record_call (struct admit_state *state, double fan_out, clk_us now)
{
  admit_decay (state, now);
  state->recent_calls += 1 + fan_out;
}

double
admit_fan_out (struct admit_state *state, clk_us now)
{
  admit_decay (state, now);
  return state->recent_runs < ADMIT_RUNS_MIN
             ? 0
             : state->recent_calls / state->recent_runs;
}

double
admit_internal_queue_wait_us (const struct admit_state *state, clk_us now)
{
  if (state->internal_queue_wait_updated_at == 0
      || now > state->internal_queue_wait_updated_at + ADMIT_QUEUE_WAIT_TTL_US)
    return 0;
  return state->internal_queue_wait_us;
}

uint32_t
admit_retry_after_ms (const struct admit_state *state)
{
  double queued = slots_waiting (state->slots) + 1;
  double limit
      = slots_limit (state->slots) > 0 ? slots_limit (state->slots) : 1;
  double ms = queued * state->service_time_us / limit / CLK_US_PER_MS;

  if (ms < ADMIT_RETRY_AFTER_MIN_MS)
    return ADMIT_RETRY_AFTER_MIN_MS;
  return ms > ADMIT_RETRY_AFTER_MAX_MS ? ADMIT_RETRY_AFTER_MAX_MS
                                       : (uint32_t)ms;
}
