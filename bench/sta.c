#include "bench/sta.h"

#include <stdlib.h>

#include "core/err.h"

void
sta_add (struct sta_samples *samples, clk_us value)
{
  if (samples->count == samples->room)
    {
      samples->room = samples->room * 2 + 1024;
      samples->values
          = realloc (samples->values, samples->room * sizeof *samples->values);
      INVARIANT (samples->values != NULL);
    }
  samples->values[samples->count++] = (uint32_t)value;
}

void
sta_free (struct sta_samples *samples)
{
  free (samples->values);
  *samples = (struct sta_samples){ 0 };
}

static int
compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

double
sta_quantile (struct sta_samples *samples, double quantile)
{
  if (samples->count == 0)
    return 0;
  qsort (samples->values, samples->count, sizeof *samples->values, compare);
  return samples->values[(size_t)((double)(samples->count - 1) * quantile)];
}

void
sta_count (struct sta_bins *bins, clk_us at)
{
  size_t bin = at / STA_BIN_US;

  if (bin < STA_BINS)
    bins->counts[bin]++;
}

double
sta_rate (const struct sta_bins *bins, clk_us from, clk_us to)
{
  uint64_t total = 0;

  for (size_t bin = from / STA_BIN_US; bin < to / STA_BIN_US; bin++)
    total += bins->counts[bin];
  return (double)total * CLK_US_PER_S / (double)(to - from);
}
