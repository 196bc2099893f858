#include "controllers/budget.h"

/* Part of the budget that is used.  The rest covers what differs between the
   windows of two nodes, and nodes that are not known yet.  */
#define BUDGET_USABLE_FRACTION 0.90

void
budget_init (struct budget *budget, const struct budget_opts *opts, clk_us now)
{
  *budget = (struct budget){ .opts = *opts, .bucket_start = now };
}

/* Forgets the steps that have left the window.  */
static void
budget_advance (struct budget *budget, clk_us now)
{
  clk_us step = budget->opts.window / BUDGET_BUCKETS + 1;

  for (uint32_t i = 0;
       i < BUDGET_BUCKETS && now >= budget->bucket_start + step; i++)
    {
      budget->bucket = (budget->bucket + 1) % BUDGET_BUCKETS;
      budget->requests[budget->bucket] = 0;
      budget->retries[budget->bucket] = 0;
      budget->bucket_start += step;
    }
  if (now >= budget->bucket_start + step)
    budget->bucket_start = now;
}

void
budget_count_request (struct budget *budget, clk_us now)
{
  budget_advance (budget, now);
  budget->requests[budget->bucket]++;
}

bool
budget_take (struct budget *budget, double cost, double part, uint32_t nodes,
             clk_us now)
{
  double requests = 0;
  double repeats = 0;
  double most;

  budget_advance (budget, now);
  for (uint32_t i = 0; i < BUDGET_BUCKETS; i++)
    {
      requests += budget->requests[i];
      repeats += budget->retries[i];
    }
  most = budget->opts.ratio * requests
         + budget->opts.retries_min / (nodes > 0 ? nodes : 1);
  if (repeats + cost > most * part * BUDGET_USABLE_FRACTION)
    return false;
  budget->retries[budget->bucket] += cost;
  return true;
}
