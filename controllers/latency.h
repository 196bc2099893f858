#ifndef CONTROLLERS_LATENCY_H
#define CONTROLLERS_LATENCY_H

/**
 * DOC: spd - measured speed of a backend server and of a service
 */

#include "controllers/lb.h"

/* Buckets of a histogram: four for each doubling, from 64 us to 75 min.  */
#define LATENCY_BUCKETS 104u

/* Latencies of recent answers; older ones lose weight.  */
struct latency_histogram
{
  uint32_t total;
  uint32_t buckets[LATENCY_BUCKETS];
};

/* Starts the averages anew; attempts under way stay counted.  */
void latency_reset (struct lb_latency *speed, clk_us now);
void latency_begin (struct lb_latency *speed, clk_us now);
void latency_end (struct lb_latency *speed, clk_us now);
void latency_record (struct lb_latency *speed, clk_us latency, clk_us now);

/* Average time of an answer, with the time spent since the last answer if
   that makes it higher; 0 when not known.  */
double latency_estimate (const struct lb_latency *speed, clk_us now);

/* Median of VALUES, which are reordered; 0 when there are none.  */
double latency_median (double *values, uint32_t count);

void latency_histogram_add (struct latency_histogram *histogram,
                            clk_us latency);

/* Upper bound of the bucket at this quantile; 0 with too few answers.  */
clk_us latency_histogram_quantile (const struct latency_histogram *histogram,
                                   double quantile);

/* Median latency, 0 when not known.  */
double latency_histogram_median (const struct latency_histogram *histogram);

#endif
