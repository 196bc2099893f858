#include "controllers/budget.h"

/* Part of the budget that is used.  The rest covers what differs between the
   windows of two nodes, and nodes that are not known yet.  */
#define BUDGET_USED 0.90

void
budget_init (struct budget *win, const struct budget_opts *opts, clk_us now)
{
  *win = (struct budget){ .opts = *opts, .step_from = now };
}

/* Forgets the steps that have left the window.  */
static void
budget_advance (struct budget *win, clk_us now)
{
  clk_us step = win->opts.length / BUDGET_STEPS + 1;

  for (uint32_t i = 0; i < BUDGET_STEPS && now >= win->step_from + step; i++)
    {
      win->step = (win->step + 1) % BUDGET_STEPS;
      win->requests[win->step] = 0;
      win->repeats[win->step] = 0;
      win->step_from += step;
    }
  if (now >= win->step_from + step)
    win->step_from = now;
}

void
budget_request (struct budget *win, clk_us now)
{
  budget_advance (win, now);
  win->requests[win->step]++;
}

bool
budget_take (struct budget *win, double cost, double part, uint32_t nodes,
             clk_us now)
{
  double requests = 0;
  double repeats = 0;
  double most;

  budget_advance (win, now);
  for (uint32_t i = 0; i < BUDGET_STEPS; i++)
    {
      requests += win->requests[i];
      repeats += win->repeats[i];
    }
  most
      = win->opts.ratio * requests + win->opts.slack / (nodes > 0 ? nodes : 1);
  if (repeats + cost > most * part * BUDGET_USED)
    return false;
  win->repeats[win->step] += cost;
  return true;
}
