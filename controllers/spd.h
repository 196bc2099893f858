#ifndef CONTROLLERS_SPD_H
#define CONTROLLERS_SPD_H

/**
 * DOC: spd - measured speed of a backend server and of a service
 */

#include "controllers/chs.h"

/* Buckets of a histogram: four for each doubling, from 64 us to 75 min.  */
#define SPD_BUCKETS 104u

/* Latencies of recent answers; older ones lose weight.  */
struct spd_histogram
{
  uint32_t total;
  uint32_t buckets[SPD_BUCKETS];
};

/* Starts the averages anew; attempts under way stay counted.  */
void spd_reset (struct chs_speed *speed, clk_us now);
void spd_begin (struct chs_speed *speed, clk_us now);
void spd_end (struct chs_speed *speed, clk_us now);
void spd_answer (struct chs_speed *speed, clk_us latency, clk_us now);

/* Average time of an answer, with the time spent since the last answer if
   that makes it higher; 0 when not known.  */
double spd_estimate (const struct chs_speed *speed, clk_us now);

/* Median of VALUES, which are reordered; 0 when there are none.  */
double spd_median (double *values, uint32_t count);

void spd_histogram_add (struct spd_histogram *histogram, clk_us latency);

/* Upper bound of the bucket at this quantile; 0 with too few answers.  */
clk_us spd_quantile (const struct spd_histogram *histogram, double quantile);

/* Median latency, 0 when not known.  */
double spd_usual (const struct spd_histogram *histogram);

#endif
