#ifndef CONTROLLERS_LATENCY_H
#define CONTROLLERS_LATENCY_H

/**
 * DOC: latency - moving latency average of a server (struct lb_latency), and
 * latency histogram of a service
 */

#include "controllers/lb.h"

/* Buckets of a histogram: four for each doubling, from 64 us to 75 min.  */
#define LATENCY_BUCKETS 104u

/* Histogram of recent latencies, in which older samples lose weight.  */
struct latency_histogram
{
  uint32_t total;
  uint32_t buckets[LATENCY_BUCKETS];
};

/* Clears the average; unanswered attempts stay counted.  */
void latency_reset (struct lb_latency *average, clk_us now);

/* Counts an attempt as unanswered until latency_end().  */
void latency_begin (struct lb_latency *average, clk_us now);
void latency_end (struct lb_latency *average, clk_us now);

/* Adds the latency of an answer to the average.  */
void latency_record (struct lb_latency *average, clk_us latency, clk_us now);

/* Average latency in microseconds, including the time that attempts have been
   unanswered since the last answer if that makes it higher; 0 when
   unknown.  */
double latency_estimate (const struct lb_latency *average, clk_us now);

/* Median of VALUES, which are reordered; 0 when COUNT is 0.  */
double latency_median (double *values, uint32_t count);

/* Adds the latency of an answer to the histogram.  */
void latency_histogram_add (struct latency_histogram *histogram,
                            clk_us latency);

/* Upper bound of the bucket at QUANTILE (0 to 1); 0 when there are too few
   samples.  */
clk_us latency_histogram_quantile (const struct latency_histogram *histogram,
                                   double quantile);

/* Median latency in microseconds; 0 without samples.  */
double latency_histogram_median (const struct latency_histogram *histogram);

#endif
