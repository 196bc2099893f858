#include "controllers/limiter.h"

#include <string.h>

/* Minimum limit; with fewer requests contention cannot be measured.  */
#define LIMITER_LIMIT_MIN 2.0
/* Minimum number of answers in a window: the mean of 64 exponentially
   distributed times has a relative standard deviation of 12 %.  */
#define LIMITER_WINDOW_ANSWERS_MIN 64u
/* Minimum length of a window in service times.  Requests that start together
   and take equally long are answered together; a shorter window would contain
   only one or two such groups.  */
#define LIMITER_WINDOW_SERVICE_TIMES 3.0
/* The same for the two phases of a probe.  */
#define LIMITER_SETTLE_SERVICE_TIMES 1.5
#define LIMITER_PROBE_SERVICE_TIMES 2.0
/* Target slowdown of a full server: enough requests to use its capacity, few
   enough not to slow it down.  */
#define LIMITER_HEADROOM 1.1
/* Fraction of the difference to the target limit that is applied per window,
   to smooth noise.  It is higher upwards, because a limit that is too low
   costs throughput at once.  */
#define LIMITER_GAIN_UP 0.6
#define LIMITER_GAIN_DOWN 0.3
/* When less than this fraction of the previous work is done after a decrease,
   the previous limit was needed.  */
#define LIMITER_WORK_SHARE_MIN 0.85
/* A lower slowdown shows that the baselines are too high.  */
#define LIMITER_SLOWDOWN_MIN 0.85
/* A window with a higher slowdown contains a stall and is ignored, unless the
   window before had one as well.  */
#define LIMITER_SLOWDOWN_STALL 4.0
/* Limit during a probe, as a fraction of the limit before.  */
#define LIMITER_PROBE_LIMIT_FRACTION 0.7
/* Weight of a probe, unless it shows clearly lower baselines.  */
#define LIMITER_PROBE_GAIN 0.5
#define LIMITER_PROBE_INTERVAL_SHORT_US clk_s (1)
/* A single probe has an error of about 6 %, so the first few use the short
   interval.  */
#define LIMITER_PROBES_INITIAL 3u
#define LIMITER_PROBE_INTERVAL_US clk_s (10)
/* A probe that lowers the baselines by a smaller factor is repeated after the
   short interval.  */
#define LIMITER_PROBE_REPEAT_FACTOR 0.95
/* Maximum weight of a baseline in samples.  */
#define LIMITER_BASELINE_SAMPLES_MAX 128u
/* The first answers of a kind are the fastest ones; as many are skipped before
   the baseline is averaged.  */
#define LIMITER_BASELINE_SAMPLES_FIRST 32u
/* Weight of a baseline in answers when the baselines of the kinds are
   balanced.  */
#define LIMITER_BALANCE_WEIGHT 512.0
/* Weight of an answer in the expected service time of its kind, and factor for
   each refusal because of it.  */
#define LIMITER_MEAN_GAIN 0.1
#define LIMITER_REFUSAL_FACTOR 0.95

void
limiter_init (struct limiter *limiter, enum limiter_mode mode, uint32_t max)
{
  memset (limiter, 0, sizeof *limiter);
  limiter->mode = mode;
  limiter->max = max > 0 ? max : 1;
  limiter->limit = limiter->max;
  limiter->slowdown = 1;
}

/* Bounds LIMIT by LIMITER_LIMIT_MIN and the maximum.  */
static double
limit_clamp (const struct limiter *limiter, double limit)
{
  double min
      = limiter->max < LIMITER_LIMIT_MIN ? limiter->max : LIMITER_LIMIT_MIN;

  if (limit > limiter->max)
    return limiter->max;
  return limit < min ? min : limit;
}

void
limiter_set_max (struct limiter *limiter, uint32_t max)
{
  bool at_max = limiter->limit >= limiter->max;

  limiter->max = max > 0 ? max : 1;
  limiter->limit
      = limit_clamp (limiter, at_max ? limiter->max : limiter->limit);
}

/* Adds the service times of a window with free slots to the baselines.  */
static void
baselines_update (struct limiter *limiter)
{
  for (uint32_t i = 0; i < LIMITER_KINDS; i++)
    {
      struct limiter_kind *kind = &limiter->kinds[i];

      if (kind->count == 0 || kind->baseline_us <= 0)
        continue;
      kind->baseline_samples += kind->count;
      kind->baseline_us += (kind->sum_us - kind->baseline_us * kind->count)
                           / kind->baseline_samples;
      if (kind->baseline_samples > LIMITER_BASELINE_SAMPLES_MAX)
        kind->baseline_samples = LIMITER_BASELINE_SAMPLES_MAX;
    }
}

/* Adjusts the baselines of the kinds relative to each other after a full
   window.  Their sum over the answers of the window stays the same.  */
static void
baselines_balance (struct limiter *limiter)
{
  double service_time_us = 0;
  double work_us = 0;

  for (uint32_t i = 0; i < LIMITER_KINDS; i++)
    if (limiter->kinds[i].baseline_us > 0)
      {
        service_time_us += limiter->kinds[i].sum_us;
        work_us += limiter->kinds[i].baseline_us * limiter->kinds[i].count;
      }
  if (service_time_us <= 0)
    return;
  for (uint32_t i = 0; i < LIMITER_KINDS; i++)
    {
      struct limiter_kind *kind = &limiter->kinds[i];

      if (kind->baseline_us > 0)
        kind->baseline_us += (kind->sum_us * work_us / service_time_us
                              - kind->baseline_us * kind->count)
                             / (LIMITER_BALANCE_WEIGHT + kind->count);
    }
}

static void
baselines_scale (struct limiter *limiter, double factor)
{
  for (uint32_t i = 0; i < LIMITER_KINDS; i++)
    limiter->kinds[i].baseline_us *= factor;
}

static void
window_clear (struct limiter *limiter, clk_us now)
{
  limiter->window_start = now;
  limiter->spent_us = 0;
  limiter->work_us = 0;
  limiter->count = 0;
  limiter->full_count = 0;
  for (uint32_t i = 0; i < LIMITER_KINDS; i++)
    if (limiter->kinds[i].baseline_us > 0)
      {
        limiter->kinds[i].sum_us = 0;
        limiter->kinds[i].count = 0;
      }
}

/* Starts a probe when one is due.  */
static void
probe_start (struct limiter *limiter, clk_us now)
{
  if (limiter->probe_at == 0)
    limiter->probe_at = now + LIMITER_PROBE_INTERVAL_SHORT_US;
  if (now < limiter->probe_at)
    return;
  limiter->phase = LIMITER_PROBE_SETTLE;
  limiter->previous_limit = limiter->limit;
  limiter->limit
      = limit_clamp (limiter, limiter->limit * LIMITER_PROBE_LIMIT_FRACTION);
}

/* Scales the baselines by the slowdown that the probe has measured, and
   restores the limit.  */
static void
probe_end (struct limiter *limiter, double slowdown, clk_us now)
{
  double gain = slowdown < LIMITER_SLOWDOWN_MIN ? 1 : LIMITER_PROBE_GAIN;
  double factor = 1 + (slowdown - 1) * gain;
  bool lower = factor < LIMITER_PROBE_REPEAT_FACTOR;

  baselines_scale (limiter, factor);
  limiter->probe_count++;
  limiter->probe_at = now
                      + (lower || limiter->probe_count < LIMITER_PROBES_INITIAL
                             ? LIMITER_PROBE_INTERVAL_SHORT_US
                             : LIMITER_PROBE_INTERVAL_US);
  limiter->phase = LIMITER_STEADY;
  limiter->limit = limiter->previous_limit;
}

/* Moves the limit towards the one at which the slowdown is
   LIMITER_HEADROOM.  */
static void
limit_adjust (struct limiter *limiter, double slowdown, double work)
{
  double target = limiter->limit * LIMITER_HEADROOM / slowdown;

  if (limiter->phase == LIMITER_DECREASE
      && limiter->limit >= limiter->previous_limit)
    limiter->phase = LIMITER_STEADY;
  if (limiter->phase == LIMITER_STEADY && slowdown > LIMITER_HEADROOM)
    {
      limiter->phase = LIMITER_DECREASE;
      limiter->previous_limit = limiter->limit;
      limiter->previous_work = work;
    }
  limiter->limit = limit_clamp (
      limiter, limiter->limit
                   + (target - limiter->limit)
                         * (target > limiter->limit ? LIMITER_GAIN_UP
                                                    : LIMITER_GAIN_DOWN));
}

/* Restores the limit after a decrease that was not caused by contention.
   Probes follow after the short interval, because a sudden loss of capacity
   looks the same at first.  */
static void
decrease_undo (struct limiter *limiter, double slowdown, clk_us now)
{
  baselines_scale (limiter, slowdown);
  limiter->probe_count = 0;
  limiter->probe_at = now + LIMITER_PROBE_INTERVAL_SHORT_US;
  limiter->phase = LIMITER_STEADY;
  limiter->limit = limiter->previous_limit;
}

/* Ends a window in which the server was full.  WORK is the work done per time,
   in slots.  */
static void
window_end_full (struct limiter *limiter, double slowdown, double work,
                 clk_us now)
{
  switch (limiter->phase)
    {
    case LIMITER_PROBE_SETTLE:
      limiter->phase = LIMITER_PROBE;
      return;
    case LIMITER_PROBE:
      probe_end (limiter, slowdown, now);
      return;
    case LIMITER_DECREASE:
      if (work < limiter->previous_work * LIMITER_WORK_SHARE_MIN
          && slowdown > LIMITER_HEADROOM)
        {
          decrease_undo (limiter, slowdown, now);
          return;
        }
      break;
    case LIMITER_STEADY:
      break;
    }
  baselines_balance (limiter);
  if (slowdown < LIMITER_SLOWDOWN_MIN)
    baselines_scale (limiter, slowdown);
  limit_adjust (limiter, slowdown < LIMITER_SLOWDOWN_MIN ? 1 : slowdown, work);
  probe_start (limiter, now);
}

/* Ends a window in which slots were free.  Latency is then not caused by too
   many concurrent requests, so that a low limit is not needed.  When as few
   requests run as in a probe, the window serves as one.  */
static void
window_end_idle (struct limiter *limiter, double running, clk_us now)
{
  if (running <= limiter->limit * LIMITER_PROBE_LIMIT_FRACTION)
    {
      baselines_update (limiter);
      limiter->probe_count = LIMITER_PROBES_INITIAL;
      limiter->probe_at = now + LIMITER_PROBE_INTERVAL_US;
    }
  if (limiter->phase != LIMITER_STEADY)
    limiter->limit = limiter->previous_limit;
  limiter->phase = LIMITER_STEADY;
  limiter->limit = limit_clamp (limiter, limiter->limit * LIMITER_HEADROOM);
}

static void
window_end (struct limiter *limiter, clk_us now)
{
  double elapsed = (double)(now - limiter->window_start);

  if (elapsed <= 0)
    return;
  if (limiter->full_count * 2 < limiter->count || limiter->work_us <= 0)
    window_end_idle (limiter, limiter->spent_us / elapsed, now);
  else
    {
      double previous_slowdown = limiter->slowdown;

      limiter->slowdown = limiter->spent_us / limiter->work_us;
      if (limiter->slowdown < LIMITER_SLOWDOWN_STALL
          || previous_slowdown >= LIMITER_SLOWDOWN_STALL)
        window_end_full (limiter, limiter->slowdown,
                         limiter->work_us / elapsed, now);
    }
  window_clear (limiter, now);
}

void
limiter_set_running (struct limiter *limiter, uint32_t running, clk_us now)
{
  if (now > limiter->spent_until)
    limiter->spent_us
        += (double)(now - limiter->spent_until) * limiter->running;
  limiter->spent_until = now;
  limiter->running = running;
}

/* Whether the window has enough answers, also in relation to the running
   requests, so that requests which overlap its start or its end have little
   effect.  */
static bool
window_complete (const struct limiter *limiter, clk_us now)
{
  static const double service_times[] = {
    [LIMITER_STEADY] = LIMITER_WINDOW_SERVICE_TIMES,
    [LIMITER_DECREASE] = LIMITER_WINDOW_SERVICE_TIMES,
    [LIMITER_PROBE_SETTLE] = LIMITER_SETTLE_SERVICE_TIMES,
    [LIMITER_PROBE] = LIMITER_PROBE_SERVICE_TIMES,
  };
  double elapsed = (double)(now - limiter->window_start);

  return limiter->count >= LIMITER_WINDOW_ANSWERS_MIN
         && limiter->count * elapsed
                >= service_times[limiter->phase] * limiter->spent_us;
}

/* Measures the first baseline of a kind, corrected for the current
   slowdown.  */
static void
kind_init_baseline (const struct limiter *limiter, struct limiter_kind *kind,
                    double service_time_us)
{
  kind->count++;
  if (kind->count <= LIMITER_BASELINE_SAMPLES_FIRST)
    return;
  kind->sum_us += service_time_us;
  if (kind->count < 2 * LIMITER_BASELINE_SAMPLES_FIRST)
    return;
  kind->baseline_samples = LIMITER_BASELINE_SAMPLES_FIRST;
  kind->baseline_us = kind->sum_us / kind->baseline_samples
                      / (limiter->slowdown > 1 ? limiter->slowdown : 1);
  kind->sum_us = 0;
  kind->count = 0;
}

void
limiter_add_sample (struct limiter *limiter,
                    const struct limiter_sample *sample, clk_us now)
{
  struct limiter_kind *kind = &limiter->kinds[sample->kind % LIMITER_KINDS];
  double service_time_us = (double)sample->service_time;

  if (kind->mean_us <= 0)
    kind->mean_us = service_time_us;
  kind->mean_us += (service_time_us - kind->mean_us) * LIMITER_MEAN_GAIN;
  if (limiter->mode == LIMITER_FIXED)
    return;
  if (kind->baseline_us > 0)
    {
      kind->sum_us += service_time_us;
      kind->count++;
      limiter->work_us += kind->baseline_us;
    }
  else
    {
      kind_init_baseline (limiter, kind, service_time_us);
      limiter->work_us += service_time_us;
    }
  limiter->count++;
  limiter->full_count += sample->full;
  if (window_complete (limiter, now))
    window_end (limiter, now);
}

uint32_t
limiter_limit (const struct limiter *limiter)
{
  return (uint32_t)(limiter->limit + 0.5);
}

clk_us
limiter_expected_service_time (const struct limiter *limiter, uint32_t kind)
{
  return (clk_us)limiter->kinds[kind % LIMITER_KINDS].mean_us;
}

void
limiter_lower_expected_service_time (struct limiter *limiter, uint32_t kind)
{
  limiter->kinds[kind % LIMITER_KINDS].mean_us *= LIMITER_REFUSAL_FACTOR;
}
