#ifndef BENCH_STATS_H
#define BENCH_STATS_H

/**
 * DOC: stats - quantiles of samples, and rates of events over time
 */

#include <stddef.h>
#include <stdint.h>

#include "core/clk.h"

#define STATS_BIN_US clk_ms (50)
#define STATS_BINS 2000u

struct stats_samples
{
  size_t count;
  size_t capacity;  /* allocated values */
  uint32_t *values; /* microseconds */
};

/* Number of events in each bin of STATS_BIN_US.  */
struct stats_bins
{
  uint32_t counts[STATS_BINS];
};

void stats_add_sample (struct stats_samples *samples, clk_us value);
void stats_free_samples (struct stats_samples *samples);

/* Value at QUANTILE (0 to 1) in microseconds; 0 without samples.  Sorts the
   samples.  */
double stats_quantile (struct stats_samples *samples, double quantile);

/* Counts an event at the time AT; ignored after STATS_BINS bins.  */
void stats_count_event (struct stats_bins *bins, clk_us at);

/* Events per second from FROM to TO.  */
double stats_rate (const struct stats_bins *bins, clk_us from, clk_us to);

#endif
