#include "core/hist.h"

#include <stdatomic.h>

#define HST_FIRST_US 250u

struct hst
{
  _Atomic uint64_t buckets[HST_BUCKETS];
  _Atomic uint64_t count;
  _Atomic uint64_t sum_us;
};

static struct hst hst_all[HST_COUNT];

static const char *const hst_names[HST_COUNT][2] = {
#define HST_X(symbol, name, help) [HST_##symbol] = { name, help },
  HST_TABLE (HST_X)
#undef HST_X
};

double
hst_bound_us (uint32_t bucket)
{
  return (double)HST_FIRST_US * (double)(1u << bucket);
}

void
hst_add (enum hst_id id, clk_us took)
{
  struct hst *histogram = &hst_all[id];
  uint32_t bucket = 0;

  while (bucket < HST_BUCKETS && (double)took > hst_bound_us (bucket))
    bucket++;
  if (bucket < HST_BUCKETS)
    histogram->buckets[bucket]++;
  histogram->count++;
  histogram->sum_us += took;
}

void
hst_each (void (*visit) (void *arg, const char *name, const char *help,
                         const struct hst_view *view),
          void *arg)
{
  for (int id = 0; id < HST_COUNT; id++)
    {
      struct hst_view view;

      for (uint32_t i = 0; i < HST_BUCKETS; i++)
        view.buckets[i] = hst_all[id].buckets[i];
      view.count = hst_all[id].count;
      view.sum_us = hst_all[id].sum_us;
      visit (arg, hst_names[id][0], hst_names[id][1], &view);
    }
}
