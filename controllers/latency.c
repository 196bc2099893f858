#include "controllers/latency.h"

#include <math.h>
#include <stdlib.h>

#include "core/err.h"

/* Weight of one sample in the moving average: a slowdown by a factor of five
   shows after four answers, a single slow answer does not.  */
#define LATENCY_GAIN 0.15
#define LATENCY_BUCKETS_PER_DOUBLING 4.0
#define LATENCY_BUCKET_FIRST_US 64.0
/* The counts are halved at this total, which keeps about the last thousand
   samples.  */
#define LATENCY_SAMPLES_MAX 1024u
/* With fewer samples the 95th percentile would be their maximum.  */
#define LATENCY_QUANTILE_SAMPLES_MIN 20u

void
latency_reset (struct lb_latency *average, clk_us now)
{
  average->average_us = 0;
  average->answers = 0;
  average->outstanding_us = 0;
  average->updated_at = now;
}

/* Sum of the times that unanswered attempts have waited since the last
   answer.  */
static double
latency_outstanding_us (const struct lb_latency *average, clk_us now)
{
  clk_us elapsed = now > average->updated_at ? now - average->updated_at : 0;

  return average->outstanding_us + (double)elapsed * average->unanswered;
}

static void
latency_advance (struct lb_latency *average, clk_us now)
{
  average->outstanding_us = latency_outstanding_us (average, now);
  average->updated_at = now;
}

void
latency_begin (struct lb_latency *average, clk_us now)
{
  latency_advance (average, now);
  average->watched = true;
  average->unanswered++;
}

void
latency_end (struct lb_latency *average, clk_us now)
{
  INVARIANT (average->unanswered > 0);
  latency_advance (average, now);
  average->unanswered--;
}

void
latency_record (struct lb_latency *average, clk_us latency, clk_us now)
{
  double sample = (double)latency;

  if (average->watched)
    {
      latency_advance (average, now);
      sample = average->outstanding_us;
      average->outstanding_us = 0;
    }
  average->answers++;
  /* Arithmetic mean at first, so that the first sample has no excessive
     weight.  */
  if (average->answers * LATENCY_GAIN < 1)
    average->average_us += (sample - average->average_us) / average->answers;
  else
    average->average_us += (sample - average->average_us) * LATENCY_GAIN;
}

double
latency_estimate (const struct lb_latency *average, clk_us now)
{
  double outstanding = latency_outstanding_us (average, now);

  if (outstanding <= average->average_us)
    return average->average_us;
  return average->average_us
         + (outstanding - average->average_us) * LATENCY_GAIN;
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
  double position
      = doublings > 0 ? doublings * LATENCY_BUCKETS_PER_DOUBLING : 0;
  uint32_t bucket = position < LATENCY_BUCKETS - 1 ? (uint32_t)position
                                                   : LATENCY_BUCKETS - 1;

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

/* Upper bound of the bucket at QUANTILE of a histogram that is not empty.  */
static double
histogram_quantile (const struct latency_histogram *histogram, double quantile)
{
  double remaining = histogram->total * quantile;
  uint32_t bucket = 0;

  for (; bucket < LATENCY_BUCKETS - 1; bucket++)
    {
      remaining -= histogram->buckets[bucket];
      if (remaining < 0)
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
