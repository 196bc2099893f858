#include "programs/load_pair.h"

#include "core/err.h"

/* Histogram of latency differences from -50 ms to 50 ms in bins of 5 us.  */
#define LOAD_PAIR_RANGE_US 50000.0
#define LOAD_PAIR_BINS 20000
/* A new connection costs about 1 ms, so the first pairs are not counted.  */
#define LOAD_PAIR_WARMUP_MS 500

void
load_pair_init (struct load_pairs *pairs)
{
  pairs->count = 0;
  pairs->difference = gsl_histogram_alloc (LOAD_PAIR_BINS);
  INVARIANT (pairs->difference != NULL);
  gsl_histogram_set_ranges_uniform (pairs->difference, -LOAD_PAIR_RANGE_US,
                                    LOAD_PAIR_RANGE_US);
  load_stat_init (&pairs->via_nodes);
  load_stat_init (&pairs->direct);
}

void
load_pair_free (struct load_pairs *pairs)
{
  gsl_histogram_free (pairs->difference);
  load_stat_free (&pairs->via_nodes);
  load_stat_free (&pairs->direct);
}

void
load_pair_draw_order (struct load_call *call)
{
  call->route = rng_below (&call->load->rng, 2) == 0 ? LOAD_ROUTE_VIA_NODES
                                                     : LOAD_ROUTE_DIRECT;
}

/* Adds the latencies of a complete pair to the statistics.  */
static void
load_pair_add (struct load_call *call)
{
  struct load_state *load = call->load;
  clk_us via = call->route_latency[LOAD_ROUTE_VIA_NODES];
  clk_us direct = call->route_latency[LOAD_ROUTE_DIRECT];

  if (clk_now () - load->started < clk_ms (LOAD_PAIR_WARMUP_MS))
    return;
  load->pairs.count++;
  load_stat_add_call (&load->pairs.via_nodes, LOAD_WHOLE, via);
  load_stat_add_call (&load->pairs.direct, LOAD_WHOLE, direct);
  gsl_histogram_increment (load->pairs.difference,
                           (double)via - (double)direct);
}

bool
load_pair_next_request (struct load_call *call,
                        const struct load_verdict *verdict)
{
  if (verdict->outcome != LOAD_WHOLE)
    return false;
  if (call->second_of_pair)
    {
      load_pair_add (call);
      return false;
    }
  call->second_of_pair = true;
  call->route = call->route == LOAD_ROUTE_VIA_NODES ? LOAD_ROUTE_DIRECT
                                                    : LOAD_ROUTE_VIA_NODES;
  return true;
}
