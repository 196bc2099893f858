#include "programs/load_run.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "programs/load_call.h"
#include "programs/load_pair.h"
#include "programs/load_report.h"
#include "programs/load_verdict.h"

#define LOAD_RUN_BACKOFF_FIRST_MS 50
#define LOAD_RUN_BACKOFF_MAX_MS 2000

static void load_run_send_attempt (struct load_call *call);
static void load_run_start_call (struct load_state *load, clk_us due);

static void
load_run_on_resend (lws_sorted_usec_list_t *sul)
{
  load_run_send_attempt (
      lws_container_of (sul, struct load_call, resend_timer));
}

/* Schedules a resend, after an exponential backoff with jitter or, with
   --retry-at-once, without a delay.  */
static void
load_run_schedule_resend (struct load_call *call)
{
  struct load_state *load = call->load;
  uint32_t shift = call->resends < 6 ? call->resends : 6;
  uint32_t backoff_ms = (uint32_t)LOAD_RUN_BACKOFF_FIRST_MS << shift;

  load->resends++;
  call->resends++;
  if (backoff_ms > LOAD_RUN_BACKOFF_MAX_MS)
    backoff_ms = LOAD_RUN_BACKOFF_MAX_MS;
  backoff_ms = backoff_ms / 2 + rng_below (&load->rng, backoff_ms / 2 + 1);
  lws_sul_schedule (
      load->context, 0, &call->resend_timer, load_run_on_resend,
      load->options.retry_at_once ? 1 : (lws_usec_t)clk_ms (backoff_ms));
}

/* Makes lws_service() return at the end of the run.  It does not return after
   a timer alone, so the main loop would not detect the end.  */
static void
load_run_wake_when_done (struct load_state *load)
{
  if (load_run_done (load))
    lws_cancel_service (load->context);
}

/* Records and frees a call; in a closed loop starts the next one.  */
static void
load_run_end_call (struct load_call *call, const struct load_verdict *verdict,
                   clk_us ended)
{
  struct load_state *load = call->load;

  load_stat_add_call (&call->mix_entry->stat, verdict->outcome,
                      ended - call->due);
  if (verdict->outcome == LOAD_REFUSED || verdict->outcome == LOAD_ERROR)
    load_stat_count_reason (&load->reasons, verdict->u.reason,
                            verdict->run_state);
  load_report_write_record (call, verdict);
  load_call_free (call);
  if (load->options.concurrency > 0 && !load->arrivals_ended)
    load_run_start_call (load, clk_now ());
  load_run_wake_when_done (load);
}

static void
load_run_on_result (void *arg, const struct tool_client_result *result)
{
  struct load_call *call = arg;
  struct load_state *load = call->load;
  struct load_verdict verdict = load_verdict_classify (call, result);

  call->run_states[call->resends] = "rnu"[verdict.run_state];
  call->route_latency[call->route] = result->ended - call->attempt_start;
  if (load->options.direct && load_pair_next_request (call, &verdict))
    load_run_send_attempt (call);
  else if (call->resends < load->options.retries
           && load_verdict_may_resend (call, &verdict))
    load_run_schedule_resend (call);
  else
    load_run_end_call (call, &verdict, result->ended);
}

/* Chooses the target of the next attempt: the direct one, or round-robin.  */
static struct load_target *
load_run_choose_target (struct load_call *call)
{
  struct load_state *load = call->load;

  if (call->route == LOAD_ROUTE_DIRECT)
    return &load->direct;
  return &load->targets[load->next_target++ % load->options.target_count];
}

static void
load_run_send_attempt (struct load_call *call)
{
  struct load_state *load = call->load;
  struct load_target *target = load_run_choose_target (call);
  struct tool_client_request request;

  load_call_build_request (call, &request);
  request.address = target->address;
  load->attempts++;
  call->attempt_start = clk_now ();
  call->attempt_start_wall_ms = clk_wall_ms ();
  tool_client_send (&target->client, &request, load_run_on_result, call);
}

/* Starts a call that was due at DUE.  Its latency is measured from there.  */
static void
load_run_start_call (struct load_state *load, clk_us due)
{
  struct load_call *call = load_call_new (load, due);

  if (load->options.direct)
    load_pair_draw_order (call);
  load_run_send_attempt (call);
}

/* Draws an exponentially distributed interarrival time.  */
static clk_us
load_run_interarrival (struct load_state *load)
{
  double mean_us = (double)CLK_US_PER_S / (double)load->options.rate;

  return (clk_us)(-log (1 - rng_uniform (&load->rng)) * mean_us);
}

/* Starts all calls that are due and schedules the next arrival.  A call above
   --max-open is counted as not sent.  */
static void
load_run_on_arrival (lws_sorted_usec_list_t *sul)
{
  struct load_state *load
      = lws_container_of (sul, struct load_state, arrival_timer);
  clk_us now = clk_now ();

  while (load->next_due <= now && load->next_due < load->end)
    {
      if (load->open_calls < load->options.max_open)
        load_run_start_call (load, load->next_due);
      else
        load->not_sent++;
      load->next_due += load_run_interarrival (load);
    }
  if (load->next_due < load->end)
    lws_sul_schedule (load->context, 0, sul, load_run_on_arrival,
                      (lws_usec_t)(load->next_due - now) + 1);
}

static void
load_run_on_end (lws_sorted_usec_list_t *sul)
{
  struct load_state *load
      = lws_container_of (sul, struct load_state, end_timer);

  load->arrivals_ended = true;
  load_run_wake_when_done (load);
}

void
load_run_start (struct load_state *load)
{
  load->started = clk_now ();
  load->end = load->started + clk_s (load->options.seconds);
  lws_sul_schedule (load->context, 0, &load->end_timer, load_run_on_end,
                    (lws_usec_t)clk_s (load->options.seconds));
  if (load->options.rate > 0)
    {
      load->next_due = load->started + load_run_interarrival (load);
      load_run_on_arrival (&load->arrival_timer);
      return;
    }
  for (uint64_t i = 0; i < load->options.concurrency; i++)
    load_run_start_call (load, load->started);
}

bool
load_run_done (const struct load_state *load)
{
  return load->arrivals_ended && load->open_calls == 0;
}
