#ifndef BENCH_STA_H
#define BENCH_STA_H

/**
 * DOC: sta - samples and counts over time
 */

#include <stddef.h>
#include <stdint.h>

#include "core/clk.h"

#define STA_BIN_US clk_ms (50)
#define STA_BINS 2000u

struct sta_samples
{
  size_t count;
  size_t room;
  uint32_t *values;
};

/* Events for each bin of time.  */
struct sta_bins
{
  uint32_t counts[STA_BINS];
};

void sta_add (struct sta_samples *samples, clk_us value);
void sta_free (struct sta_samples *samples);

/* Value at QUANTILE in microseconds, 0 without samples; sorts the samples. */
double sta_quantile (struct sta_samples *samples, double quantile);

void sta_count (struct sta_bins *bins, clk_us at);

/* Events per second from FROM to TO.  */
double sta_rate (const struct sta_bins *bins, clk_us from, clk_us to);

#endif
