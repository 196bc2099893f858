#include "controllers/budget.h"

/* Part of the budget that is used.  The rest covers what differs between the
   windows of two nodes, and nodes that are not known yet.  */
#define BUDGET_USED 0.90

void
budget_init (struct budget *budget, const struct budget_opts *opts, clk_us now)
{
  *budget = (struct budget){ .opts = *opts, .step_from = now };
}

/* Forgets the steps that have left the window.  */
static void
budget_advance (struct budget *budget, clk_us now)
{
  clk_us step = budget->opts.length / BUDGET_STEPS + 1;

  for (uint32_t i = 0; i < BUDGET_STEPS && now >= budget->step_from + step;
       i++)
    {
      budget->step = (budget->step + 1) % BUDGET_STEPS;
      budget->requests[budget->step] = 0;
      budget->repeats[budget->step] = 0;
      budget->step_from += step;
    }
  if (now >= budget->step_from + step)
    budget->step_from = now;
}

void
budget_request (struct budget *budget, clk_us now)
{
  budget_advance (budget, now);
  budget->requests[budget->step]++;
}

bool
budget_take (struct budget *budget, double cost, double part, uint32_t nodes,
             clk_us now)
{
  double requests = 0;
  double repeats = 0;
  double most;

  budget_advance (budget, now);
  for (uint32_t i = 0; i < BUDGET_STEPS; i++)
    {
      requests += budget->requests[i];
      repeats += budget->repeats[i];
    }
  most = budget->opts.ratio * requests
         + budget->opts.slack / (nodes > 0 ? nodes : 1);
  if (repeats + cost > most * part * BUDGET_USED)
    return false;
  budget->repeats[budget->step] += cost;
  return true;
}
