#ifndef BENCH_STATS_H
#define BENCH_STATS_H

/**
 * DOC: sta - samples and counts over time
 */

#include <stddef.h>
#include <stdint.h>

#include "core/clk.h"

#define STATS_BIN_US clk_ms (50)
#define STATS_BINS 2000u

struct stats_samples
{
  size_t count;
  size_t capacity;
  uint32_t *values;
};

/* Events for each bin of time.  */
struct stats_bins
{
  uint32_t counts[STATS_BINS];
};

void stats_add_sample (struct stats_samples *samples, clk_us value);
void stats_free_samples (struct stats_samples *samples);

/* Value at QUANTILE in microseconds, 0 without samples; sorts the samples. */
double stats_quantile (struct stats_samples *samples, double quantile);

void stats_count_event (struct stats_bins *bins, clk_us at);

/* Events per second from FROM to TO.  */
double stats_rate (const struct stats_bins *bins, clk_us from, clk_us to);

#endif
