#include "controllers/lim.h"

#include <string.h>

/* Lowest limit; fewer than this would not measure contention.  */
#define LIM_MIN 2.0
/* Samples of a window: the mean of 64 exponential times has a relative
   standard deviation of 12 %, about the headroom.  */
#define LIM_WINDOW 64u
/* Ratio of service time to baseline that a full server settles at: enough
   requests to use all of its capacity, few enough not to slow it down.  */
#define LIM_HEADROOM 1.1
/* Share of the way to the new limit in one window; smooths the noise.  */
#define LIM_GAIN 0.3
/* A fall is judged when the limit has reached this share.  */
#define LIM_JUDGE 0.5
#define LIM_PROBE_SHARE 0.7
#define LIM_PROBE_FIRST clk_s (1)
#define LIM_PROBE_EVERY clk_s (10)
/* A probe that finds a baseline lower than this share is soon repeated.  */
#define LIM_PROBE_LOWER 0.9
/* A service time in a full window below this share of the baseline shows that
   the baseline is too high.  */
#define LIM_LOWER 0.85
/* One sample counts at most this often, so that a stall of some requests does
   not decide alone.  */
#define LIM_RATIO_MAX 8.0
#define LIM_EVIDENCE_MAX 128u
#define LIM_KIND_SAMPLES 8u
#define LIM_MEAN_GAIN 0.1
#define LIM_DOUBT 0.95

void
lim_init (struct lim *lim, enum lim_way way, uint32_t max)
{
  memset (lim, 0, sizeof *lim);
  lim->way = way;
  lim->max = max > 0 ? max : 1;
  lim->limit = lim->max;
}

static double
limit_clamp (const struct lim *lim, double limit)
{
  double min = lim->max < LIM_MIN ? lim->max : LIM_MIN;

  if (limit > lim->max)
    return lim->max;
  return limit < min ? min : limit;
}

void
lim_set_max (struct lim *lim, uint32_t max)
{
  bool at_max = lim->limit >= lim->max;

  lim->max = max > 0 ? max : 1;
  lim->limit = limit_clamp (lim, at_max ? lim->max : lim->limit);
}

static void
limit_set (struct lim *lim, double limit, clk_us now)
{
  lim->limit = limit_clamp (lim, limit);
  lim->changed_at = now;
}

/* Takes what this window showed into the baselines, or only what lies clearly
   below them.  Returns the lowest new baseline as a share of the old one.  */
static double
baselines_learn (struct lim *lim, bool only_lower)
{
  double least = 1;

  for (uint32_t i = 0; i < LIM_KINDS; i++)
    {
      struct lim_kind *kind = &lim->kinds[i];
      double before = kind->baseline_us;
      double mean;

      if (kind->count == 0 || before <= 0)
        continue;
      mean = kind->sum_us / kind->count;
      if (only_lower
          && (kind->count < LIM_KIND_SAMPLES || mean > before * LIM_LOWER))
        continue;
      kind->evidence += kind->count;
      kind->baseline_us += (mean - before) * kind->count / kind->evidence;
      if (kind->evidence > LIM_EVIDENCE_MAX)
        kind->evidence = LIM_EVIDENCE_MAX;
      if (kind->baseline_us < before * least)
        least = kind->baseline_us / before;
    }
  return least;
}

static void
baselines_scale (struct lim *lim, double factor)
{
  for (uint32_t i = 0; i < LIM_KINDS; i++)
    lim->kinds[i].baseline_us *= factor;
}

static void
window_clear (struct lim *lim)
{
  lim->ratio_sum = 0;
  lim->ratio_count = 0;
  lim->full_count = 0;
  for (uint32_t i = 0; i < LIM_KINDS; i++)
    if (lim->kinds[i].baseline_us > 0)
      {
        lim->kinds[i].sum_us = 0;
        lim->kinds[i].count = 0;
      }
}

/* Whether the limit fell far enough to judge and that did not help: with
   contention the ratio falls with the limit.  */
static bool
fall_useless (const struct lim *lim, double ratio)
{
  double share = lim->limit / lim->from_limit;

  return lim->phase == LIM_FALL && share <= LIM_JUDGE
         && ratio > lim->from_ratio * (1 + share) / 2;
}

/* Starts a probe when the last one is long ago.  */
static void
probe_start (struct lim *lim, clk_us now)
{
  if (lim->probe_at == 0)
    lim->probe_at = now + LIM_PROBE_FIRST;
  if (now < lim->probe_at || lim->phase != LIM_STEADY)
    return;
  lim->phase = LIM_PROBE;
  lim->from_limit = lim->limit;
  limit_set (lim, lim->limit * LIM_PROBE_SHARE, now);
}

static void
probe_end (struct lim *lim, clk_us now)
{
  bool lower = baselines_learn (lim, false) < LIM_PROBE_LOWER;

  lim->probe_at = now + (lower ? LIM_PROBE_FIRST : LIM_PROBE_EVERY);
  lim->phase = LIM_STEADY;
  limit_set (lim, lim->from_limit, now);
}

/* Moves the limit towards the one at which the ratio is the headroom.  */
static void
limit_follow (struct lim *lim, double ratio)
{
  double target = lim->limit * LIM_HEADROOM / ratio;

  if (ratio <= LIM_HEADROOM)
    lim->phase = LIM_STEADY;
  else if (lim->phase == LIM_STEADY)
    {
      lim->phase = LIM_FALL;
      lim->from_limit = lim->limit;
      lim->from_ratio = ratio;
    }
  lim->limit
      = limit_clamp (lim, lim->limit + (target - lim->limit) * LIM_GAIN);
}

/* Ends a window in which the server was full.  */
static void
window_full (struct lim *lim, double ratio, clk_us now)
{
  if (lim->phase == LIM_PROBE)
    {
      probe_end (lim, now);
      return;
    }
  if (fall_useless (lim, ratio))
    {
      baselines_scale (lim, ratio);
      lim->phase = LIM_STEADY;
      limit_set (lim, lim->from_limit, now);
      return;
    }
  baselines_learn (lim, true);
  limit_follow (lim, ratio);
  probe_start (lim, now);
}

/* Ends a window in which slots were free.  Slowness is then not caused by too
   many requests, and a low limit is not needed.  */
static void
window_free (struct lim *lim, clk_us now)
{
  baselines_learn (lim, false);
  if (lim->phase != LIM_STEADY)
    limit_set (lim, lim->from_limit, now);
  lim->phase = LIM_STEADY;
  lim->limit = limit_clamp (lim, lim->limit * LIM_HEADROOM);
}

static void
window_end (struct lim *lim, clk_us now)
{
  double ratio = lim->ratio_sum / lim->ratio_count;

  if (lim->full_count * 2 >= lim->ratio_count)
    window_full (lim, ratio, now);
  else
    window_free (lim, now);
  window_clear (lim);
}

void
lim_add (struct lim *lim, const struct lim_sample *sample, clk_us now)
{
  struct lim_kind *kind = &lim->kinds[sample->kind % LIM_KINDS];
  double service = (double)sample->service;
  double ratio;

  if (kind->mean_us <= 0)
    kind->mean_us = service;
  kind->mean_us += (service - kind->mean_us) * LIM_MEAN_GAIN;
  if (lim->way == LIM_FIXED || sample->started < lim->changed_at)
    return;
  kind->sum_us += service;
  kind->count++;
  if (kind->baseline_us <= 0)
    {
      if (kind->count >= LIM_KIND_SAMPLES)
        {
          kind->baseline_us = kind->sum_us / kind->count;
          kind->evidence = kind->count;
          kind->sum_us = 0;
          kind->count = 0;
        }
      return;
    }
  ratio = service / kind->baseline_us;
  lim->ratio_sum += ratio < LIM_RATIO_MAX ? ratio : LIM_RATIO_MAX;
  lim->ratio_count++;
  lim->full_count += sample->full;
  if (lim->ratio_count >= LIM_WINDOW)
    window_end (lim, now);
}

uint32_t
lim_value (const struct lim *lim)
{
  return (uint32_t)(lim->limit + 0.5);
}

clk_us
lim_expected (const struct lim *lim, uint32_t kind)
{
  return (clk_us)lim->kinds[kind % LIM_KINDS].mean_us;
}

void
lim_doubt (struct lim *lim, uint32_t kind)
{
  lim->kinds[kind % LIM_KINDS].mean_us *= LIM_DOUBT;
}
