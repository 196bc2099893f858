#include "filters/admit.h"

#include <string.h>

#include "core/err.h"
#include "filters/importance.h"

/* Requests that wait, for each slot.  */
#define ADMIT_QUEUE_PER_SLOT 4
/* Part of the slots that is used: many servers slow down when they are nearly
   full, which costs more than the slots that are left.  */
#define ADMIT_USED 0.945
/* Slots that other requests have beside calls at least, in percent; calls get
   what they use and this part more.  */
#define ADMIT_LONG_LEAST_PERCENT 40
#define ADMIT_CALLS_ROOM 1.4
#define ADMIT_CALLS_ROOM_SLOTS 1.0
#define ADMIT_SAMPLE_GAIN 0.15
/* A request may wait until its answer would be late by this part of its run.
 */
#define ADMIT_LATE_PART 0.2
#define ADMIT_LEAST_US clk_ms (10)
/* The answer has to come back before the time is over.  */
#define ADMIT_MARGIN_US clk_ms (25)
#define ADMIT_GAIN 0.1
/* A measured wait counts for this long.  */
#define ADMIT_WAIT_KEEP_US clk_ms (300)
#define ADMIT_FADE_US clk_s (1)
#define ADMIT_FADE 0.7
#define ADMIT_RUNS_LEAST 8
#define ADMIT_RETRY_LEAST_MS 100
#define ADMIT_RETRY_MOST_MS 2000

static const enum admit_filter admit_chain[]
    = { ADMIT_BACKEND, ADMIT_LEAVING, ADMIT_SERVICE, ADMIT_DEADLINE,
        ADMIT_PACE,    ADMIT_TARGET,  ADMIT_SLOT,    ADMIT_END };

int
admit_init (struct admit_state *state)
{
  struct slots_opts opts = { .slots = 1, .queue = 1, .limit = LIMITER_FIXED };

  memset (state, 0, sizeof *state);
  state->slots = slots_new (&opts);
  if (state->slots == NULL)
    return SR_ENOMEM;
  if (origin_init (&state->origins) != SR_OK)
    return SR_ENOMEM;
  return aimd_init (&state->pace);
}

void
admit_fini (struct admit_state *state)
{
  slots_free (state->slots);
  origin_fini (&state->origins);
  aimd_fini (&state->pace);
}

/* Percent of the slots that requests other than calls may use.  */
static uint32_t
admit_long_percent (const struct admit_state *state)
{
  double room = state->calls_usual * ADMIT_CALLS_ROOM;
  double left;

  if (state->calls_usual > 0)
    room += ADMIT_CALLS_ROOM_SLOTS;
  left = 100 * (1 - room / (state->declared > 0 ? state->declared : 1));
  return left < ADMIT_LONG_LEAST_PERCENT ? ADMIT_LONG_LEAST_PERCENT
                                         : (uint32_t)left;
}

static void
admit_divide (struct admit_state *state)
{
  uint32_t slots = (uint32_t)(state->declared * ADMIT_USED);
  struct slots_opts opts = { .slots = slots > 0 ? slots : 1,
                             .queue = state->declared * ADMIT_QUEUE_PER_SLOT,
                             .long_slots_percent = admit_long_percent (state),
                             .limit = LIMITER_FIXED,
                             .order = SLOTS_ORDER_FIFO };

  slots_configure (state->slots, &opts);
}

void
admit_sample (struct admit_state *state)
{
  state->calls_usual
      += (state->calls_open - state->calls_usual) * ADMIT_SAMPLE_GAIN;
  if (state->calls_usual < 0.01)
    state->calls_usual = 0;
  admit_divide (state);
}

void
admit_configure (struct admit_state *state, uint32_t slots)
{
  state->declared = slots;
  aimd_configure (&state->pace, &(struct aimd_opts){ .most = slots });
  admit_divide (state);
}

static struct admit_result
admit_refuse (enum reason_refusal reason)
{
  return (struct admit_result){ .kind = ADMIT_REFUSE, .reason = reason };
}

/* Counts a request that runs or waits.  */
static void
admit_count (struct admit_state *state, struct admit_request *request)
{
  request->counted = true;
  if (request->inner)
    state->calls_open++;
  else
    state->long_open++;
}

/* Refuses at once what would wait so long that its answer is late, so that
   its caller can be served elsewhere or later.  */
static struct admit_result
admit_target (const struct admit_state *state,
              const struct admit_request *request, clk_us now)
{
  double places = state->declared * admit_long_percent (state) / 100.0;
  double wait;

  if (request->inner || request->target <= now || state->long_us <= 0)
    return (struct admit_result){ .kind = ADMIT_RUN };
  if (state->long_open < places)
    return (struct admit_result){ .kind = ADMIT_RUN };
  wait = (state->long_open + 1 - places) * state->long_us
         / (places > 1 ? places : 1);
  if ((double)now + wait + state->long_us * (1 - ADMIT_LATE_PART)
      > (double)request->target)
    return admit_refuse (REASON_QUEUE_FULL);
  return (struct admit_result){ .kind = ADMIT_RUN };
}

static struct admit_result
admit_slot (struct admit_state *state, struct admit_request *request,
            clk_us now)
{
  struct slots_event event;

  memset (&request->ticket, 0, sizeof request->ticket);
  request->ticket.importance = request->inner ? IMP_CALL : request->importance;
  request->ticket.cost = request->inner ? MODEL_COST_SHORT : MODEL_COST_LONG;
  request->ticket.arrived = now;
  request->ticket.deadline = request->deadline - ADMIT_MARGIN_US;
  event = slots_submit (state->slots, &request->ticket, now);
  if (event.kind != SLOTS_REFUSE)
    admit_count (state, request);
  switch (event.kind)
    {
    case SLOTS_RUN:
      return (struct admit_result){ .kind = ADMIT_RUN };
    case SLOTS_REFUSE:
      return admit_refuse (event.reason);
    default:
      return (struct admit_result){ .kind = ADMIT_WAIT };
    }
}

static struct admit_result
admit_run (struct admit_state *state, struct admit_request *request,
           enum admit_filter filter, clk_us now)
{
  switch (filter)
    {
    case ADMIT_BACKEND:
      if (state->backend.state == BACKEND_ABSENT)
        return admit_refuse (REASON_NO_BACKEND);
      break;
    case ADMIT_LEAVING:
      if (state->backend.state == BACKEND_LEAVING || state->stopping)
        return admit_refuse (REASON_DRAINING);
      break;
    case ADMIT_SERVICE:
      if (strcmp (state->backend.last.service, request->service) != 0)
        return admit_refuse (REASON_NO_BACKEND);
      break;
    case ADMIT_DEADLINE:
      if (request->deadline < now + ADMIT_MARGIN_US + ADMIT_LEAST_US)
        return admit_refuse (REASON_DEADLINE_QUEUED);
      break;
    case ADMIT_PACE:
      if (request->inner || admit_fan_out (state, now) < IMP_CHAIN_CALLS)
        break;
      request->pace = aimd_take (&state->pace, request->route,
                                 request->importance >= IMP_ROUTE_FIRST, now);
      if (request->pace == NULL)
        return admit_refuse (REASON_UPSTREAM_SHED);
      break;
    case ADMIT_TARGET:
      return admit_target (state, request, now);
    case ADMIT_SLOT:
      return admit_slot (state, request, now);
    case ADMIT_END:
      break;
    }
  return (struct admit_result){ .kind = ADMIT_RUN };
}

struct admit_result
admit_admit (struct admit_state *state, struct admit_request *request,
             clk_us now)
{
  struct admit_result result = { .kind = ADMIT_RUN };

  for (const enum admit_filter *filter = admit_chain;
       *filter != ADMIT_END && result.kind == ADMIT_RUN; filter++)
    result = admit_run (state, request, *filter, now);
  return result;
}

static void
admit_fade (struct admit_state *state, clk_us now)
{
  if (now - state->faded > 20 * ADMIT_FADE_US)
    state->faded = now;
  for (; now >= state->faded + ADMIT_FADE_US; state->faded += ADMIT_FADE_US)
    {
      state->calls *= ADMIT_FADE;
      state->runs *= ADMIT_FADE;
    }
}

void
admit_started (struct admit_state *state, const struct admit_request *request,
               clk_us now)
{
  admit_fade (state, now);
  state->runs++;
  state->haste += (request->haste - state->haste) * ADMIT_GAIN;
  if (!request->inner)
    return;
  state->call_wait_us
      += ((double)(now - request->arrived) - state->call_wait_us) * ADMIT_GAIN;
  state->call_wait_at = now;
}

void
admit_ended (struct admit_state *state, const struct admit_request *request,
             clk_us took)
{
  if (!request->inner)
    state->long_us += ((double)took - state->long_us) * ADMIT_GAIN;
  state->service_us += ((double)took - state->service_us) * ADMIT_GAIN;
}

void
admit_release (struct admit_state *state, struct admit_request *request,
               enum aimd_end end, clk_us wait, clk_us now)
{
  if (request->counted && request->inner)
    state->calls_open--;
  else if (request->counted)
    state->long_open--;
  request->counted = false;
  if (request->pace == NULL)
    return;
  aimd_put (request->pace, end, now - request->arrived,
            request->deadline - request->arrived, wait, now);
  request->pace = NULL;
}

void
admit_called (struct admit_state *state, double fake_announce_out, clk_us now)
{
  admit_fade (state, now);
  state->calls += 1 + fake_announce_out;
}

double
admit_fan_out (struct admit_state *state, clk_us now)
{
  admit_fade (state, now);
  return state->runs < ADMIT_RUNS_LEAST ? 0 : state->calls / state->runs;
}

double
admit_call_wait (const struct admit_state *state, clk_us now)
{
  if (state->call_wait_at == 0
      || now > state->call_wait_at + ADMIT_WAIT_KEEP_US)
    return 0;
  return state->call_wait_us;
}

uint32_t
admit_retry_after_ms (const struct admit_state *state)
{
  double waiting = slots_waiting (state->slots) + 1;
  double limit
      = slots_limit (state->slots) > 0 ? slots_limit (state->slots) : 1;
  double ms = waiting * state->service_us / limit / CLK_US_PER_MS;

  if (ms < ADMIT_RETRY_LEAST_MS)
    return ADMIT_RETRY_LEAST_MS;
  return ms > ADMIT_RETRY_MOST_MS ? ADMIT_RETRY_MOST_MS : (uint32_t)ms;
}
