#include "controllers/budget.h"

/* Fraction of the budget that is used; the rest covers the difference between
   the windows of two nodes, and nodes that are not known yet.  */
#define BUDGET_USABLE_FRACTION 0.90
/* Weight of the requests in the current window; the rest is that of the window
   before.  */
#define BUDGET_WEIGHT_CURRENT 0.5

void
budget_init (struct budget *budget, const struct budget_opts *opts, clk_us now)
{
  *budget = (struct budget){ .opts = *opts,
                             .started_at = now,
                             .bucket_start = now };
}

/* Clears the buckets that have left both windows.  */
static void
budget_advance (struct budget *budget, clk_us now)
{
  clk_us bucket_length = budget->opts.window / BUDGET_BUCKETS + 1;

  for (uint32_t i = 0;
       i < BUDGET_BUCKETS_KEPT && now >= budget->bucket_start + bucket_length;
       i++)
    {
      budget->bucket = (budget->bucket + 1) % BUDGET_BUCKETS_KEPT;
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

/* Sum over the window that ended AGE buckets ago.  */
static double
budget_window_sum (const struct budget *budget,
                   const double counts[BUDGET_BUCKETS_KEPT], uint32_t age)
{
  double sum = 0;

  for (uint32_t i = 0; i < BUDGET_BUCKETS; i++)
    sum += counts[(budget->bucket + BUDGET_BUCKETS_KEPT - age - i)
                  % BUDGET_BUCKETS_KEPT];
  return sum;
}

/* Requests from which the budget follows.  */
static double
budget_base (const struct budget *budget, clk_us now)
{
  double current = budget_window_sum (budget, budget->requests, 0);

  if (now < budget->started_at + 2 * budget->opts.window)
    return current;
  return BUDGET_WEIGHT_CURRENT * current
         + (1 - BUDGET_WEIGHT_CURRENT)
               * budget_window_sum (budget, budget->requests, BUDGET_BUCKETS);
}

bool
budget_take (struct budget *budget, double cost, double fraction,
             uint32_t node_count, clk_us now)
{
  double retries;
  double retries_max;

  budget_advance (budget, now);
  retries = budget_window_sum (budget, budget->retries, 0);
  retries_max = budget->opts.ratio * budget_base (budget, now)
                + budget->opts.retries_min / (node_count > 0 ? node_count : 1);
  if (retries + cost > retries_max * fraction * BUDGET_USABLE_FRACTION)
    return false;
  budget->retries[budget->bucket] += cost;
  return true;
}
