#include "controllers/limiter.h"

#include <string.h>

/* Lowest limit; fewer than this would not measure contention.  */
#define LIMITER_MIN 2.0
/* Least answers in a window: the mean of 64 exponential times has a relative
   standard deviation of 12 %.  */
#define LIMITER_WINDOW 64u
/* Least length of a window in service times.  Requests that start together
   and take equally long are answered together; a short window would see one
   such group or two.  */
#define LIMITER_TURNS 3.0
#define LIMITER_SETTLE_TURNS 1.5
#define LIMITER_PROBE_TURNS 2.0
/* Ratio of time spent to baseline that a full server settles at: enough
   requests to use all of its capacity, few enough not to slow it down.  */
#define LIMITER_HEADROOM 1.1
/* Share of the way to the new limit in one window; smooths the noise.  Up is
   faster, since a limit that is too low costs throughput at once.  */
#define LIMITER_GAIN_UP 0.6
#define LIMITER_GAIN_DOWN 0.3
/* Less work than this share after a fall shows that the limit was needed.  */
#define LIMITER_USEFUL 0.85
/* A ratio below this shows that the baselines are too high.  */
#define LIMITER_LOWER 0.85
/* A window with a higher ratio is ignored when the one before it was not: it
   contains a stall.  */
#define LIMITER_STALL_RATIO 4.0
#define LIMITER_PROBE_SHARE 0.7
/* Weight of a probe, unless it shows clearly lower baselines.  */
#define LIMITER_PROBE_GAIN 0.5
#define LIMITER_PROBE_FIRST clk_s (1)
/* One probe has an error of some 6 %; the first few follow soon.  */
#define LIMITER_PROBES_FIRST 3u
#define LIMITER_PROBE_EVERY clk_s (10)
/* A probe that lowers the baselines below this share is soon repeated.  */
#define LIMITER_PROBE_LOWER 0.95
#define LIMITER_EVIDENCE_MAX 128u
/* The first answers of a kind are the fast ones, so these are skipped before
   as many are averaged.  */
#define LIMITER_KIND_SAMPLES 32u
/* Answers that weigh as much as the baseline when kinds are balanced.  */
#define LIMITER_BALANCE 512.0
#define LIMITER_MEAN_GAIN 0.1
#define LIMITER_DOUBT 0.95

void
limiter_init (struct limiter *lim, enum limiter_way way, uint32_t max)
{
  memset (lim, 0, sizeof *lim);
  lim->way = way;
  lim->max = max > 0 ? max : 1;
  lim->limit = lim->max;
  lim->ratio = 1;
}

static double
limit_clamp (const struct limiter *lim, double limit)
{
  double min = lim->max < LIMITER_MIN ? lim->max : LIMITER_MIN;

  if (limit > lim->max)
    return lim->max;
  return limit < min ? min : limit;
}

void
limiter_set_max (struct limiter *lim, uint32_t max)
{
  bool at_max = lim->limit >= lim->max;

  lim->max = max > 0 ? max : 1;
  lim->limit = limit_clamp (lim, at_max ? lim->max : lim->limit);
}

/* Takes the service times of a window with free slots into the baselines.  */
static void
baselines_learn (struct limiter *lim)
{
  for (uint32_t i = 0; i < LIMITER_KINDS; i++)
    {
      struct limiter_kind *kind = &lim->kinds[i];

      if (kind->count == 0 || kind->baseline_us <= 0)
        continue;
      kind->evidence += kind->count;
      kind->baseline_us
          += (kind->sum_us - kind->baseline_us * kind->count) / kind->evidence;
      if (kind->evidence > LIMITER_EVIDENCE_MAX)
        kind->evidence = LIMITER_EVIDENCE_MAX;
    }
}

/* Corrects the baselines of the kinds in relation to each other after a full
   window.  The sum over its answers stays the same.  */
static void
baselines_balance (struct limiter *lim)
{
  double service = 0;
  double work = 0;

  for (uint32_t i = 0; i < LIMITER_KINDS; i++)
    if (lim->kinds[i].baseline_us > 0)
      {
        service += lim->kinds[i].sum_us;
        work += lim->kinds[i].baseline_us * lim->kinds[i].count;
      }
  if (service <= 0)
    return;
  for (uint32_t i = 0; i < LIMITER_KINDS; i++)
    {
      struct limiter_kind *kind = &lim->kinds[i];

      if (kind->baseline_us > 0)
        kind->baseline_us += (kind->sum_us * work / service
                              - kind->baseline_us * kind->count)
                             / (LIMITER_BALANCE + kind->count);
    }
}

static void
baselines_scale (struct limiter *lim, double factor)
{
  for (uint32_t i = 0; i < LIMITER_KINDS; i++)
    lim->kinds[i].baseline_us *= factor;
}

static void
window_clear (struct limiter *lim, clk_us now)
{
  lim->began = now;
  lim->spent_us = 0;
  lim->work_us = 0;
  lim->count = 0;
  lim->full_count = 0;
  for (uint32_t i = 0; i < LIMITER_KINDS; i++)
    if (lim->kinds[i].baseline_us > 0)
      {
        lim->kinds[i].sum_us = 0;
        lim->kinds[i].count = 0;
      }
}

/* Starts a probe when the last one is long ago.  */
static void
probe_start (struct limiter *lim, clk_us now)
{
  if (lim->probe_at == 0)
    lim->probe_at = now + LIMITER_PROBE_FIRST;
  if (now < lim->probe_at)
    return;
  lim->phase = LIMITER_SETTLE;
  lim->from_limit = lim->limit;
  lim->limit = limit_clamp (lim, lim->limit * LIMITER_PROBE_SHARE);
}

static void
probe_end (struct limiter *lim, double ratio, clk_us now)
{
  double gain = ratio < LIMITER_LOWER ? 1 : LIMITER_PROBE_GAIN;
  double factor = 1 + (ratio - 1) * gain;
  bool lower = factor < LIMITER_PROBE_LOWER;

  baselines_scale (lim, factor);
  lim->probes++;
  lim->probe_at
      = now
        + (lower || lim->probes < LIMITER_PROBES_FIRST ? LIMITER_PROBE_FIRST
                                                       : LIMITER_PROBE_EVERY);
  lim->phase = LIMITER_STEADY;
  lim->limit = lim->from_limit;
}

/* Moves the limit towards the one at which the ratio is the headroom.  */
static void
limit_follow (struct limiter *lim, double ratio, double useful)
{
  double target = lim->limit * LIMITER_HEADROOM / ratio;

  if (lim->phase == LIMITER_FALL && lim->limit >= lim->from_limit)
    lim->phase = LIMITER_STEADY;
  if (lim->phase == LIMITER_STEADY && ratio > LIMITER_HEADROOM)
    {
      lim->phase = LIMITER_FALL;
      lim->from_limit = lim->limit;
      lim->from_useful = useful;
    }
  lim->limit = limit_clamp (
      lim,
      lim->limit
          + (target - lim->limit)
                * (target > lim->limit ? LIMITER_GAIN_UP : LIMITER_GAIN_DOWN));
}

/* The limit fell, but not because of contention as it seems.  Probes follow
   soon, because a sudden loss of capacity looks the same at first.  */
static void
fall_undo (struct limiter *lim, double ratio, clk_us now)
{
  baselines_scale (lim, ratio);
  lim->probes = 0;
  lim->probe_at = now + LIMITER_PROBE_FIRST;
  lim->phase = LIMITER_STEADY;
  lim->limit = lim->from_limit;
}

/* Ends a window in which the server was full.  USEFUL is the work done in
   it, in slots.  */
static void
window_full (struct limiter *lim, double ratio, double useful, clk_us now)
{
  switch (lim->phase)
    {
    case LIMITER_SETTLE:
      lim->phase = LIMITER_PROBE;
      return;
    case LIMITER_PROBE:
      probe_end (lim, ratio, now);
      return;
    case LIMITER_FALL:
      if (useful < lim->from_useful * LIMITER_USEFUL
          && ratio > LIMITER_HEADROOM)
        {
          fall_undo (lim, ratio, now);
          return;
        }
      break;
    case LIMITER_STEADY:
      break;
    }
  baselines_balance (lim);
  if (ratio < LIMITER_LOWER)
    baselines_scale (lim, ratio);
  limit_follow (lim, ratio < LIMITER_LOWER ? 1 : ratio, useful);
  probe_start (lim, now);
}

/* Ends a window in which slots were free.  Slowness is then not caused by too
   many requests at a time, so that a low limit is not needed.  With as few
   requests as in a probe, the window serves as one.  */
static void
window_free (struct limiter *lim, double running, clk_us now)
{
  if (running <= lim->limit * LIMITER_PROBE_SHARE)
    {
      baselines_learn (lim);
      lim->probes = LIMITER_PROBES_FIRST;
      lim->probe_at = now + LIMITER_PROBE_EVERY;
    }
  if (lim->phase != LIMITER_STEADY)
    lim->limit = lim->from_limit;
  lim->phase = LIMITER_STEADY;
  lim->limit = limit_clamp (lim, lim->limit * LIMITER_HEADROOM);
}

static void
window_end (struct limiter *lim, clk_us now)
{
  double elapsed = (double)(now - lim->began);

  if (elapsed <= 0)
    return;
  if (lim->full_count * 2 < lim->count || lim->work_us <= 0)
    window_free (lim, lim->spent_us / elapsed, now);
  else
    {
      double before = lim->ratio;

      lim->ratio = lim->spent_us / lim->work_us;
      if (lim->ratio < LIMITER_STALL_RATIO || before >= LIMITER_STALL_RATIO)
        window_full (lim, lim->ratio, lim->work_us / elapsed, now);
    }
  window_clear (lim, now);
}

void
limiter_running (struct limiter *lim, uint32_t running, clk_us now)
{
  if (now > lim->counted_at)
    lim->spent_us += (double)(now - lim->counted_at) * lim->running;
  lim->counted_at = now;
  lim->running = running;
}

/* Whether the window holds enough answers, and enough for each running request
   that those which began before it or end after it matter little.  */
static bool
window_complete (const struct limiter *lim, clk_us now)
{
  static const double turns[] = {
    [LIMITER_STEADY] = LIMITER_TURNS,
    [LIMITER_FALL] = LIMITER_TURNS,
    [LIMITER_SETTLE] = LIMITER_SETTLE_TURNS,
    [LIMITER_PROBE] = LIMITER_PROBE_TURNS,
  };
  double elapsed = (double)(now - lim->began);

  return lim->count >= LIMITER_WINDOW
         && lim->count * elapsed >= turns[lim->phase] * lim->spent_us;
}

/* Measures the first baseline of a kind, without the contention there is
   now.  */
static void
kind_begin (const struct limiter *lim, struct limiter_kind *kind,
            double service)
{
  kind->count++;
  if (kind->count <= LIMITER_KIND_SAMPLES)
    return;
  kind->sum_us += service;
  if (kind->count < 2 * LIMITER_KIND_SAMPLES)
    return;
  kind->evidence = LIMITER_KIND_SAMPLES;
  kind->baseline_us
      = kind->sum_us / kind->evidence / (lim->ratio > 1 ? lim->ratio : 1);
  kind->sum_us = 0;
  kind->count = 0;
}

void
limiter_add (struct limiter *lim, const struct limiter_sample *sample,
             clk_us now)
{
  struct limiter_kind *kind = &lim->kinds[sample->kind % LIMITER_KINDS];
  double service = (double)sample->service;

  if (kind->mean_us <= 0)
    kind->mean_us = service;
  kind->mean_us += (service - kind->mean_us) * LIMITER_MEAN_GAIN;
  if (lim->way == LIMITER_FIXED)
    return;
  if (kind->baseline_us > 0)
    {
      kind->sum_us += service;
      kind->count++;
      lim->work_us += kind->baseline_us;
    }
  else
    {
      kind_begin (lim, kind, service);
      lim->work_us += service;
    }
  lim->count++;
  lim->full_count += sample->full;
  if (window_complete (lim, now))
    window_end (lim, now);
}

uint32_t
limiter_value (const struct limiter *lim)
{
  return (uint32_t)(lim->limit + 0.5);
}

clk_us
limiter_expected (const struct limiter *lim, uint32_t kind)
{
  return (clk_us)lim->kinds[kind % LIMITER_KINDS].mean_us;
}

void
limiter_doubt (struct limiter *lim, uint32_t kind)
{
  lim->kinds[kind % LIMITER_KINDS].mean_us *= LIMITER_DOUBT;
}
