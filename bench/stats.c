#include "bench/stats.h"

#include <stdlib.h>

#include "core/err.h"

void
stats_add_sample (struct stats_samples *samples, clk_us value)
{
  if (samples->count == samples->capacity)
    {
      samples->capacity = samples->capacity * 2 + 1024;
      samples->values = realloc (samples->values,
                                 samples->capacity * sizeof *samples->values);
      INVARIANT (samples->values != NULL);
    }
  samples->values[samples->count++] = (uint32_t)value;
}

void
stats_free_samples (struct stats_samples *samples)
{
  free (samples->values);
  *samples = (struct stats_samples){ 0 };
}

static int
stats_compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

double
stats_quantile (struct stats_samples *samples, double quantile)
{
  if (samples->count == 0)
    return 0;
  qsort (samples->values, samples->count, sizeof *samples->values,
         stats_compare);
  return samples->values[(size_t)((double)(samples->count - 1) * quantile)];
}

void
stats_count_event (struct stats_bins *bins, clk_us at)
{
  size_t bin = at / STATS_BIN_US;

  if (bin < STATS_BINS)
    bins->counts[bin]++;
}

double
stats_rate (const struct stats_bins *bins, clk_us from, clk_us to)
{
  uint64_t total = 0;

  for (size_t bin = from / STATS_BIN_US; bin < to / STATS_BIN_US; bin++)
    total += bins->counts[bin];
  return (double)total * CLK_US_PER_S / (double)(to - from);
}
