#include "programs/load_pair.h"

#include "core/err.h"

/* Differences from -50 ms to 50 ms in steps of 5 us.  */
#define LPR_RANGE_US 50000.0
#define LPR_BINS 20000
/* New connections cost about 1 ms, so the first pairs are not counted.  */
#define LPR_WARMUP_MS 500

void
lpr_init (struct load_pairs *pairs)
{
  pairs->count = 0;
  pairs->difference = gsl_histogram_alloc (LPR_BINS);
  INVARIANT (pairs->difference != NULL);
  gsl_histogram_set_ranges_uniform (pairs->difference, -LPR_RANGE_US,
                                    LPR_RANGE_US);
  lsm_init (&pairs->via);
  lsm_init (&pairs->direct);
}

void
lpr_free (struct load_pairs *pairs)
{
  gsl_histogram_free (pairs->difference);
  lsm_free (&pairs->via);
  lsm_free (&pairs->direct);
}

void
lpr_first_leg (struct load_call *call)
{
  call->leg
      = rng_below (&call->load->rng, 2) == 0 ? LOAD_LEG_VIA : LOAD_LEG_DIRECT;
}

/* Adds a complete pair.  */
static void
lpr_count (struct load_call *call)
{
  struct load *load = call->load;
  clk_us via = call->leg_us[LOAD_LEG_VIA];
  clk_us direct = call->leg_us[LOAD_LEG_DIRECT];

  if (clk_now () - load->started < clk_ms (LPR_WARMUP_MS))
    return;
  load->pairs.count++;
  lsm_count (&load->pairs.via, LOAD_WHOLE, via);
  lsm_count (&load->pairs.direct, LOAD_WHOLE, direct);
  gsl_histogram_increment (load->pairs.difference,
                           (double)via - (double)direct);
}

bool
lpr_next_leg (struct load_call *call, const struct load_verdict *verdict)
{
  if (verdict->outcome != LOAD_WHOLE)
    return false;
  if (call->leg_last)
    {
      lpr_count (call);
      return false;
    }
  call->leg_last = true;
  call->leg = call->leg == LOAD_LEG_VIA ? LOAD_LEG_DIRECT : LOAD_LEG_VIA;
  return true;
}
