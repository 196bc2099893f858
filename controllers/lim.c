#include "controllers/lim.h"

#include <string.h>

/* Lowest limit; fewer than this would not measure contention.  */
#define LIM_MIN 2.0
/* Samples of a window: the mean of 32 exponential times has a relative
   standard deviation of 18 %, well below the tolerance.  */
#define LIM_WINDOW 32u
/* Ratio of service time to baseline above which the limit is cut.  */
#define LIM_TOLERANCE 1.5
/* Largest cut in one window.  */
#define LIM_CUT_MOST 0.7
#define LIM_RISE 1.1
/* A row of cuts is judged when it has reached this share.  */
#define LIM_JUDGE 0.5
#define LIM_PROBE_SHARE 0.5
#define LIM_PROBE_FIRST clk_s (1)
#define LIM_PROBE_EVERY clk_s (10)
/* One sample counts at most this often, so that a stall of some requests does
   not decide alone.  */
#define LIM_RATIO_MAX 8.0
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

/* Moves the baselines to what this window showed: down with weight DOWN, up
   with weight UP.  */
static void
baselines_follow (struct lim *lim, double down, double up)
{
  for (uint32_t i = 0; i < LIM_KINDS; i++)
    {
      struct lim_kind *kind = &lim->kinds[i];
      double mean;

      if (kind->count < LIM_KIND_SAMPLES)
        continue;
      mean = kind->sum_us / kind->count;
      kind->sum_us = 0;
      kind->count = 0;
      if (kind->baseline_us <= 0)
        kind->baseline_us = mean;
      else
        kind->baseline_us += (mean - kind->baseline_us)
                             * (mean < kind->baseline_us ? down : up);
    }
}

static void
baselines_scale (struct lim *lim, double factor)
{
  for (uint32_t i = 0; i < LIM_KINDS; i++)
    lim->kinds[i].baseline_us *= factor;
}

/* Cuts the limit for a window whose service times were RATIO of the
   baseline.  */
static void
limit_cut (struct lim *lim, double ratio, clk_us now)
{
  double share = LIM_TOLERANCE / ratio;

  if (lim->phase != LIM_CUT)
    {
      lim->phase = LIM_CUT;
      lim->cut_limit = lim->limit;
      lim->cut_ratio = ratio;
    }
  if (share < LIM_CUT_MOST)
    share = LIM_CUT_MOST;
  limit_set (lim, lim->limit * share, now);
}

/* Whether the cuts so far were deep enough to judge and did not help: with
   contention the ratio falls with the limit.  */
static bool
cuts_useless (const struct lim *lim, double ratio)
{
  double share = lim->limit / lim->cut_limit;

  return lim->phase == LIM_CUT && share <= LIM_JUDGE
         && ratio > lim->cut_ratio * (1 + share) / 2;
}

/* Starts a probe when the last one is long ago.  */
static void
probe_start (struct lim *lim, clk_us now)
{
  if (lim->probe_at == 0)
    lim->probe_at = now + LIM_PROBE_FIRST;
  if (now < lim->probe_at)
    return;
  lim->probe_at = now + LIM_PROBE_EVERY;
  lim->phase = LIM_PROBE;
  lim->cut_limit = lim->limit;
  limit_set (lim, lim->limit * LIM_PROBE_SHARE, now);
}

/* Ends a window in which the server was full.  */
static void
window_full (struct lim *lim, double ratio, clk_us now)
{
  if (lim->phase == LIM_PROBE)
    {
      baselines_follow (lim, 1.0, 0.0);
      lim->phase = LIM_STEADY;
      limit_set (lim, lim->cut_limit, now);
      return;
    }
  if (cuts_useless (lim, ratio))
    {
      baselines_scale (lim, ratio);
      lim->phase = LIM_STEADY;
      limit_set (lim, lim->cut_limit, now);
      return;
    }
  baselines_follow (lim, 0.3, 0.0);
  if (ratio > LIM_TOLERANCE)
    {
      limit_cut (lim, ratio, now);
      return;
    }
  lim->phase = LIM_STEADY;
  lim->limit = limit_clamp (lim, lim->limit * LIM_RISE + 1);
  probe_start (lim, now);
}

static void
window_end (struct lim *lim, clk_us now)
{
  double ratio = lim->ratio_sum / lim->ratio_count;
  bool full = lim->full_count * 2 >= lim->ratio_count;

  lim->ratio_sum = 0;
  lim->ratio_count = 0;
  lim->full_count = 0;
  if (full)
    {
      window_full (lim, ratio, now);
      return;
    }
  /* With free slots, slowness is not caused by too many requests.  */
  baselines_follow (lim, 0.3, 0.1);
  if (lim->phase != LIM_STEADY)
    limit_set (lim, lim->cut_limit, now);
  lim->phase = LIM_STEADY;
  lim->limit = limit_clamp (lim, lim->limit * LIM_RISE + 1);
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
        kind->baseline_us = kind->sum_us / kind->count;
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
