#include "programs/load_pair.h"

#include "core/err.h"

/* Differences from -50 ms to 50 ms in steps of 5 us.  */
#define LOAD_PAIR_RANGE_US 50000.0
#define LOAD_PAIR_BINS 20000
/* New connections cost about 1 ms, so the first pairs are not counted.  */
#define LOAD_PAIR_WARMUP_MS 500

void
load_pair_init (struct load_pairs *pairs)
{
  pairs->count = 0;
  pairs->difference = gsl_histogram_alloc (LOAD_PAIR_BINS);
  INVARIANT (pairs->difference != NULL);
  gsl_histogram_set_ranges_uniform (pairs->difference, -LOAD_PAIR_RANGE_US,
                                    LOAD_PAIR_RANGE_US);
  load_stat_init (&pairs->via);
  load_stat_init (&pairs->direct);
}

void
load_pair_free (struct load_pairs *pairs)
{
  gsl_histogram_free (pairs->difference);
  load_stat_free (&pairs->via);
  load_stat_free (&pairs->direct);
}

void
load_pair_first_leg (struct load_call *call)
{
  call->leg
      = rng_below (&call->load->rng, 2) == 0 ? LOAD_LEG_VIA : LOAD_LEG_DIRECT;
}

/* Adds a complete pair.  */
static void
load_pair_count (struct load_call *call)
{
  struct load *load = call->load;
  clk_us via = call->leg_us[LOAD_LEG_VIA];
  clk_us direct = call->leg_us[LOAD_LEG_DIRECT];

  if (clk_now () - load->started < clk_ms (LOAD_PAIR_WARMUP_MS))
    return;
  load->pairs.count++;
  load_stat_count (&load->pairs.via, LOAD_WHOLE, via);
  load_stat_count (&load->pairs.direct, LOAD_WHOLE, direct);
  gsl_histogram_increment (load->pairs.difference,
                           (double)via - (double)direct);
}

bool
load_pair_next_leg (struct load_call *call, const struct load_verdict *verdict)
{
  if (verdict->outcome != LOAD_WHOLE)
    return false;
  if (call->leg_last)
    {
      load_pair_count (call);
      return false;
    }
  call->leg_last = true;
  call->leg = call->leg == LOAD_LEG_VIA ? LOAD_LEG_DIRECT : LOAD_LEG_VIA;
  return true;
}
