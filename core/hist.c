#include "core/hist.h"

#include <stdatomic.h>

#define HIST_FIRST_BOUND_US 250u

struct hist
{
  _Atomic uint64_t buckets[HIST_BUCKETS];
  _Atomic uint64_t count;
  _Atomic uint64_t sum_us;
};

static struct hist hist_all[HIST_COUNT];

static const char *const hist_names[HIST_COUNT][2] = {
#define HIST_X(symbol, name, help) [HIST_##symbol] = { name, help },
  HIST_TABLE (HIST_X)
#undef HIST_X
};

double
hist_bound_us (uint32_t bucket)
{
  return (double)HIST_FIRST_BOUND_US * (double)(1u << bucket);
}

void
hist_add (enum hist_id id, clk_us latency)
{
  struct hist *histogram = &hist_all[id];
  uint32_t bucket = 0;

  while (bucket < HIST_BUCKETS && (double)latency > hist_bound_us (bucket))
    bucket++;
  if (bucket < HIST_BUCKETS)
    histogram->buckets[bucket]++;
  histogram->count++;
  histogram->sum_us += latency;
}

void
hist_each (void (*visit) (void *arg, const char *name, const char *help,
                          const struct hist_snapshot *snapshot),
           void *arg)
{
  for (int id = 0; id < HIST_COUNT; id++)
    {
      struct hist_snapshot snapshot;

      for (uint32_t i = 0; i < HIST_BUCKETS; i++)
        snapshot.buckets[i] = hist_all[id].buckets[i];
      snapshot.count = hist_all[id].count;
      snapshot.sum_us = hist_all[id].sum_us;
      visit (arg, hist_names[id][0], hist_names[id][1], &snapshot);
    }
}
