#include "controllers/spd.h"

#include <math.h>
#include <stdlib.h>

#include "core/err.h"

/* Weight of one answer in the average: slowness of five times shows after
   four answers, and one slow answer in a row of fast ones does not.  */
#define SPD_GAIN 0.15
#define SPD_BUCKETS_PER_DOUBLING 4.0
#define SPD_BUCKET_FIRST_US 64.0
/* Halving at this total keeps about the last thousand answers.  */
#define SPD_TOTAL_MAX 1024u
/* A p95 of fewer answers would be their maximum.  */
#define SPD_QUANTILE_LEAST 20u

void
spd_reset (struct chs_speed *speed, clk_us now)
{
  speed->average_us = 0;
  speed->answers = 0;
  speed->spent_us = 0;
  speed->counted_at = now;
}

/* Time that watched attempts have spent since the last answer.  */
static double
speed_spent (const struct chs_speed *speed, clk_us now)
{
  clk_us since = now > speed->counted_at ? now - speed->counted_at : 0;

  return speed->spent_us + (double)since * speed->unanswered;
}

static void
speed_count (struct chs_speed *speed, clk_us now)
{
  speed->spent_us = speed_spent (speed, now);
  speed->counted_at = now;
}

void
spd_begin (struct chs_speed *speed, clk_us now)
{
  speed_count (speed, now);
  speed->watched = true;
  speed->unanswered++;
}

void
spd_end (struct chs_speed *speed, clk_us now)
{
  INVARIANT (speed->unanswered > 0);
  speed_count (speed, now);
  speed->unanswered--;
}

void
spd_answer (struct chs_speed *speed, clk_us latency, clk_us now)
{
  double spent = (double)latency;

  if (speed->watched)
    {
      speed_count (speed, now);
      spent = speed->spent_us;
      speed->spent_us = 0;
    }
  speed->answers++;
  /* A plain mean at first, so that the first answer does not count most.  */
  if (speed->answers * SPD_GAIN < 1)
    speed->average_us += (spent - speed->average_us) / speed->answers;
  else
    speed->average_us += (spent - speed->average_us) * SPD_GAIN;
}

double
spd_estimate (const struct chs_speed *speed, clk_us now)
{
  double spent = speed_spent (speed, now);

  if (spent <= speed->average_us)
    return speed->average_us;
  return speed->average_us + (spent - speed->average_us) * SPD_GAIN;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

double
spd_median (double *values, uint32_t count)
{
  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, compare_doubles);
  return count % 2 == 1 ? values[count / 2]
                        : (values[count / 2 - 1] + values[count / 2]) / 2;
}

void
spd_histogram_add (struct spd_histogram *histogram, clk_us latency)
{
  double doublings = log2 ((double)(latency + 1) / SPD_BUCKET_FIRST_US);
  double at = doublings > 0 ? doublings * SPD_BUCKETS_PER_DOUBLING : 0;
  uint32_t bucket = at < SPD_BUCKETS - 1 ? (uint32_t)at : SPD_BUCKETS - 1;

  histogram->buckets[bucket]++;
  histogram->total++;
  if (histogram->total < SPD_TOTAL_MAX)
    return;
  histogram->total = 0;
  for (uint32_t i = 0; i < SPD_BUCKETS; i++)
    {
      histogram->buckets[i] /= 2;
      histogram->total += histogram->buckets[i];
    }
}

/* Upper bound of the bucket at QUANTILE of a histogram that is not empty. */
static double
histogram_value (const struct spd_histogram *histogram, double quantile)
{
  double rest = histogram->total * quantile;
  uint32_t bucket = 0;

  for (; bucket < SPD_BUCKETS - 1; bucket++)
    {
      rest -= histogram->buckets[bucket];
      if (rest < 0)
        break;
    }
  return SPD_BUCKET_FIRST_US * exp2 ((bucket + 1) / SPD_BUCKETS_PER_DOUBLING);
}

clk_us
spd_quantile (const struct spd_histogram *histogram, double quantile)
{
  if (histogram->total < SPD_QUANTILE_LEAST)
    return 0;
  return (clk_us)histogram_value (histogram, quantile);
}

double
spd_usual (const struct spd_histogram *histogram)
{
  return histogram->total == 0 ? 0 : histogram_value (histogram, 0.5);
}
