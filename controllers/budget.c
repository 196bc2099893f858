#include "controllers/budget.h"

/* Fraction of the budget that is used; the rest covers the difference between
   the windows of two nodes, and nodes that are not known yet.  */
#define BUDGET_USABLE_FRACTION 0.90

void
budget_init (struct budget *budget, const struct budget_opts *opts, clk_us now)
{
  *budget = (struct budget){ .opts = *opts, .bucket_start = now };
}

/* Clears the buckets that have left the window.  */
static void
budget_advance (struct budget *budget, clk_us now)
{
  clk_us bucket_length = budget->opts.window / BUDGET_BUCKETS + 1;

  for (uint32_t i = 0;
       i < BUDGET_BUCKETS && now >= budget->bucket_start + bucket_length; i++)
    {
      budget->bucket = (budget->bucket + 1) % BUDGET_BUCKETS;
      budget->requests[budget->bucket] = 0;
      budget->retries[budget->bucket] = 0;
      budget->bucket_start += bucket_length;
    }
  if (now >= budget->bucket_start + bucket_length)
    budget->bucket_start = now;
}

void
budget_count_request (struct budget *budget, clk_us now)
{
  budget_advance (budget, now);
  budget->requests[budget->bucket]++;
}

bool
budget_take (struct budget *budget, double cost, double fraction,
             uint32_t node_count, clk_us now)
{
  double requests = 0;
  double retries = 0;
  double retries_max;

  budget_advance (budget, now);
  for (uint32_t i = 0; i < BUDGET_BUCKETS; i++)
    {
      requests += budget->requests[i];
      retries += budget->retries[i];
    }
  retries_max = budget->opts.ratio * requests
                + budget->opts.retries_min / (node_count > 0 ? node_count : 1);
  if (retries + cost > retries_max * fraction * BUDGET_USABLE_FRACTION)
    return false;
  budget->retries[budget->bucket] += cost;
  return true;
}
