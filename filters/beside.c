#include "filters/beside.h"

#include <string.h>

#include "core/err.h"
#include "filters/importance.h"

/* Requests that wait, for each slot.  */
#define BSD_QUEUE_PER_SLOT 4
/* Part of the slots that is used: many servers slow down when they are nearly
   full, which costs more than the slots that are left.  */
#define BSD_USED 0.945
/* Slots that other requests have beside calls at least, in percent; calls get
   what they use and this part more.  */
#define BSD_LONG_LEAST_PERCENT 40
#define BSD_CALLS_ROOM 1.4
#define BSD_CALLS_ROOM_SLOTS 1.0
#define BSD_SAMPLE_GAIN 0.15
/* A request may wait until its answer would be late by this part of its run.
 */
#define BSD_LATE_PART 0.2
#define BSD_LEAST_US clk_ms (10)
/* The answer has to come back before the time is over.  */
#define BSD_MARGIN_US clk_ms (25)
#define BSD_GAIN 0.1
/* A measured wait counts for this long.  */
#define BSD_WAIT_KEEP_US clk_ms (300)
#define BSD_FADE_US clk_s (1)
#define BSD_FADE 0.7
#define BSD_RUNS_LEAST 8
#define BSD_RETRY_LEAST_MS 100
#define BSD_RETRY_MOST_MS 2000

static const enum bsd_filter bsd_chain[]
    = { BSD_BACKEND, BSD_LEAVING, BSD_SERVICE, BSD_DEADLINE,
        BSD_PACE,    BSD_TARGET,  BSD_SLOT,    BSD_END };

int
bsd_init (struct bsd_state *state)
{
  struct adm_opts opts = { .slots = 1, .queue = 1, .limit = LIM_FIXED };

  memset (state, 0, sizeof *state);
  state->slots = adm_new (&opts);
  if (state->slots == NULL)
    return SR_ENOMEM;
  if (org_init (&state->origins) != SR_OK)
    return SR_ENOMEM;
  return pac_init (&state->pace);
}

void
bsd_fini (struct bsd_state *state)
{
  adm_free (state->slots);
  org_fini (&state->origins);
  pac_fini (&state->pace);
}

/* Percent of the slots that requests other than calls may use.  */
static uint32_t
bsd_long_percent (const struct bsd_state *state)
{
  double room = state->calls_usual * BSD_CALLS_ROOM;
  double left;

  if (state->calls_usual > 0)
    room += BSD_CALLS_ROOM_SLOTS;
  left = 100 * (1 - room / (state->declared > 0 ? state->declared : 1));
  return left < BSD_LONG_LEAST_PERCENT ? BSD_LONG_LEAST_PERCENT
                                       : (uint32_t)left;
}

static void
bsd_divide (struct bsd_state *state)
{
  uint32_t slots = (uint32_t)(state->declared * BSD_USED);
  struct adm_opts opts = { .slots = slots > 0 ? slots : 1,
                           .queue = state->declared * BSD_QUEUE_PER_SLOT,
                           .long_slots_percent = bsd_long_percent (state),
                           .limit = LIM_FIXED,
                           .order = ADM_ORDER_FIFO };

  adm_configure (state->slots, &opts);
}

void
bsd_sample (struct bsd_state *state)
{
  state->calls_usual
      += (state->calls_open - state->calls_usual) * BSD_SAMPLE_GAIN;
  if (state->calls_usual < 0.01)
    state->calls_usual = 0;
  bsd_divide (state);
}

void
bsd_configure (struct bsd_state *state, uint32_t slots)
{
  state->declared = slots;
  pac_configure (&state->pace, &(struct pac_opts){ .most = slots });
  bsd_divide (state);
}

static struct bsd_result
bsd_refuse (enum rsn_refusal reason)
{
  return (struct bsd_result){ .kind = BSD_REFUSE, .reason = reason };
}

/* Counts a request that runs or waits.  */
static void
bsd_count (struct bsd_state *state, struct bsd_request *request)
{
  request->counted = true;
  if (request->inner)
    state->calls_open++;
  else
    state->long_open++;
}

/* Refuses at once what would wait so long that its answer is late, so that
   its caller can be served elsewhere or later.  */
static struct bsd_result
bsd_target (const struct bsd_state *state, const struct bsd_request *request,
            clk_us now)
{
  double places = state->declared * bsd_long_percent (state) / 100.0;
  double wait;

  if (request->inner || request->target <= now || state->long_us <= 0)
    return (struct bsd_result){ .kind = BSD_RUN };
  if (state->long_open < places)
    return (struct bsd_result){ .kind = BSD_RUN };
  wait = (state->long_open + 1 - places) * state->long_us
         / (places > 1 ? places : 1);
  if ((double)now + wait + state->long_us * (1 - BSD_LATE_PART)
      > (double)request->target)
    return bsd_refuse (RSN_QUEUE_FULL);
  return (struct bsd_result){ .kind = BSD_RUN };
}

static struct bsd_result
bsd_slot (struct bsd_state *state, struct bsd_request *request, clk_us now)
{
  struct adm_event event;

  memset (&request->ticket, 0, sizeof request->ticket);
  request->ticket.importance = request->inner ? IMP_CALL : request->importance;
  request->ticket.cost = request->inner ? MDL_SHORT : MDL_LONG;
  request->ticket.arrived = now;
  request->ticket.deadline = request->deadline - BSD_MARGIN_US;
  event = adm_submit (state->slots, &request->ticket, now);
  if (event.kind != ADM_REFUSE)
    bsd_count (state, request);
  switch (event.kind)
    {
    case ADM_RUN:
      return (struct bsd_result){ .kind = BSD_RUN };
    case ADM_REFUSE:
      return bsd_refuse (event.reason);
    default:
      return (struct bsd_result){ .kind = BSD_WAIT };
    }
}

static struct bsd_result
bsd_run (struct bsd_state *state, struct bsd_request *request,
         enum bsd_filter filter, clk_us now)
{
  switch (filter)
    {
    case BSD_BACKEND:
      if (state->backend.state == BKD_ABSENT)
        return bsd_refuse (RSN_NO_BACKEND);
      break;
    case BSD_LEAVING:
      if (state->backend.state == BKD_LEAVING || state->stopping)
        return bsd_refuse (RSN_DRAINING);
      break;
    case BSD_SERVICE:
      if (strcmp (state->backend.last.service, request->service) != 0)
        return bsd_refuse (RSN_NO_BACKEND);
      break;
    case BSD_DEADLINE:
      if (request->deadline < now + BSD_MARGIN_US + BSD_LEAST_US)
        return bsd_refuse (RSN_DEADLINE_QUEUED);
      break;
    case BSD_PACE:
      if (request->inner || bsd_fan_out (state, now) < IMP_CHAIN_CALLS)
        break;
      request->pace = pac_take (&state->pace, request->route,
                                request->importance >= IMP_ROUTE_FIRST, now);
      if (request->pace == NULL)
        return bsd_refuse (RSN_UPSTREAM_SHED);
      break;
    case BSD_TARGET:
      return bsd_target (state, request, now);
    case BSD_SLOT:
      return bsd_slot (state, request, now);
    case BSD_END:
      break;
    }
  return (struct bsd_result){ .kind = BSD_RUN };
}

struct bsd_result
bsd_admit (struct bsd_state *state, struct bsd_request *request, clk_us now)
{
  struct bsd_result result = { .kind = BSD_RUN };

  for (const enum bsd_filter *filter = bsd_chain;
       *filter != BSD_END && result.kind == BSD_RUN; filter++)
    result = bsd_run (state, request, *filter, now);
  return result;
}

static void
bsd_fade (struct bsd_state *state, clk_us now)
{
  if (now - state->faded > 20 * BSD_FADE_US)
    state->faded = now;
  for (; now >= state->faded + BSD_FADE_US; state->faded += BSD_FADE_US)
    {
      state->calls *= BSD_FADE;
      state->runs *= BSD_FADE;
    }
}

void
bsd_started (struct bsd_state *state, const struct bsd_request *request,
             clk_us now)
{
  bsd_fade (state, now);
  state->runs++;
  state->haste += (request->haste - state->haste) * BSD_GAIN;
  if (!request->inner)
    return;
  state->call_wait_us
      += ((double)(now - request->arrived) - state->call_wait_us) * BSD_GAIN;
  state->call_wait_at = now;
}

void
bsd_ended (struct bsd_state *state, const struct bsd_request *request,
           clk_us took)
{
  if (!request->inner)
    state->long_us += ((double)took - state->long_us) * BSD_GAIN;
  state->service_us += ((double)took - state->service_us) * BSD_GAIN;
}

void
bsd_release (struct bsd_state *state, struct bsd_request *request,
             enum pac_end end, clk_us wait, clk_us now)
{
  if (request->counted && request->inner)
    state->calls_open--;
  else if (request->counted)
    state->long_open--;
  request->counted = false;
  if (request->pace == NULL)
    return;
  pac_put (request->pace, end, now - request->arrived,
           request->deadline - request->arrived, wait, now);
  request->pace = NULL;
}

void
bsd_called (struct bsd_state *state, double fan_out, clk_us now)
{
  bsd_fade (state, now);
  state->calls += 1 + fan_out;
}

double
bsd_fan_out (struct bsd_state *state, clk_us now)
{
  bsd_fade (state, now);
  return state->runs < BSD_RUNS_LEAST ? 0 : state->calls / state->runs;
}

double
bsd_call_wait (const struct bsd_state *state, clk_us now)
{
  if (state->call_wait_at == 0 || now > state->call_wait_at + BSD_WAIT_KEEP_US)
    return 0;
  return state->call_wait_us;
}

uint32_t
bsd_retry_after_ms (const struct bsd_state *state)
{
  double waiting = adm_waiting (state->slots) + 1;
  double limit = adm_limit (state->slots) > 0 ? adm_limit (state->slots) : 1;
  double ms = waiting * state->service_us / limit / CLK_US_PER_MS;

  if (ms < BSD_RETRY_LEAST_MS)
    return BSD_RETRY_LEAST_MS;
  return ms > BSD_RETRY_MOST_MS ? BSD_RETRY_MOST_MS : (uint32_t)ms;
}
