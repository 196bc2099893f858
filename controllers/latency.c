#include "controllers/latency.h"

#include <math.h>
#include <stdlib.h>

#include "core/err.h"

/* Weight of one answer in the average: slowness of five times shows after
   four answers, and one slow answer in a row of fast ones does not.  */
#define LATENCY_GAIN 0.15
#define LATENCY_BUCKETS_PER_DOUBLING 4.0
#define LATENCY_BUCKET_FIRST_US 64.0
/* Halving at this total keeps about the last thousand answers.  */
#define LATENCY_SAMPLES_MAX 1024u
/* A p95 of fewer answers would be their maximum.  */
#define LATENCY_QUANTILE_SAMPLES_MIN 20u

void
latency_reset (struct lb_latency *speed, clk_us now)
{
  speed->average_us = 0;
  speed->answers = 0;
  speed->outstanding_us = 0;
  speed->updated_at = now;
}

/* Time that watched attempts have spent since the last answer.  */
static double
latency_outstanding_us (const struct lb_latency *speed, clk_us now)
{
  clk_us since = now > speed->updated_at ? now - speed->updated_at : 0;

  return speed->outstanding_us + (double)since * speed->unanswered;
}

static void
latency_advance (struct lb_latency *speed, clk_us now)
{
  speed->outstanding_us = latency_outstanding_us (speed, now);
  speed->updated_at = now;
}

void
latency_begin (struct lb_latency *speed, clk_us now)
{
  latency_advance (speed, now);
  speed->watched = true;
  speed->unanswered++;
}

void
latency_end (struct lb_latency *speed, clk_us now)
{
  INVARIANT (speed->unanswered > 0);
  latency_advance (speed, now);
  speed->unanswered--;
}

void
latency_record (struct lb_latency *speed, clk_us latency, clk_us now)
{
  double spent = (double)latency;

  if (speed->watched)
    {
      latency_advance (speed, now);
      spent = speed->outstanding_us;
      speed->outstanding_us = 0;
    }
  speed->answers++;
  /* A plain mean at first, so that the first answer does not count most.  */
  if (speed->answers * LATENCY_GAIN < 1)
    speed->average_us += (spent - speed->average_us) / speed->answers;
  else
    speed->average_us += (spent - speed->average_us) * LATENCY_GAIN;
}

double
latency_estimate (const struct lb_latency *speed, clk_us now)
{
  double spent = latency_outstanding_us (speed, now);

  if (spent <= speed->average_us)
    return speed->average_us;
  return speed->average_us + (spent - speed->average_us) * LATENCY_GAIN;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

double
latency_median (double *values, uint32_t count)
{
  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, compare_doubles);
  return count % 2 == 1 ? values[count / 2]
                        : (values[count / 2 - 1] + values[count / 2]) / 2;
}

void
latency_histogram_add (struct latency_histogram *histogram, clk_us latency)
{
  double doublings = log2 ((double)(latency + 1) / LATENCY_BUCKET_FIRST_US);
  double at = doublings > 0 ? doublings * LATENCY_BUCKETS_PER_DOUBLING : 0;
  uint32_t bucket
      = at < LATENCY_BUCKETS - 1 ? (uint32_t)at : LATENCY_BUCKETS - 1;

  histogram->buckets[bucket]++;
  histogram->total++;
  if (histogram->total < LATENCY_SAMPLES_MAX)
    return;
  histogram->total = 0;
  for (uint32_t i = 0; i < LATENCY_BUCKETS; i++)
    {
      histogram->buckets[i] /= 2;
      histogram->total += histogram->buckets[i];
    }
}

/* Upper bound of the bucket at QUANTILE of a histogram that is not empty. */
static double
histogram_quantile (const struct latency_histogram *histogram, double quantile)
{
  double rest = histogram->total * quantile;
  uint32_t bucket = 0;

  for (; bucket < LATENCY_BUCKETS - 1; bucket++)
    {
      rest -= histogram->buckets[bucket];
      if (rest < 0)
        break;
    }
  return LATENCY_BUCKET_FIRST_US
         * exp2 ((bucket + 1) / LATENCY_BUCKETS_PER_DOUBLING);
}

clk_us
latency_histogram_quantile (const struct latency_histogram *histogram,
                            double quantile)
{
  if (histogram->total < LATENCY_QUANTILE_SAMPLES_MIN)
    return 0;
  return (clk_us)histogram_quantile (histogram, quantile);
}

double
latency_histogram_median (const struct latency_histogram *histogram)
{
  return histogram->total == 0 ? 0 : histogram_quantile (histogram, 0.5);
}
