#ifndef CONTROLLERS_BUDGET_H
#define CONTROLLERS_BUDGET_H

/**
 * DOC: budget - retry budget over a sliding window
 *
 * All nodes together may send a service RATIO repeats for each request in a
 * window, and SLACK more.  A node counts its own requests and has an equal
 * part of the slack.  Steps of the window make the bound hold for every span
 * of its length.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"

#define BUDGET_BUCKETS 20u

struct budget_opts
{
  double ratio;       /* repeats for each request */
  double retries_min; /* repeats besides, of all nodes */
  clk_us window;      /* of the window */
};

struct budget
{
  struct budget_opts opts;
  clk_us bucket_start; /* begin of the current step */
  uint32_t bucket;
  double requests[BUDGET_BUCKETS];
  double retries[BUDGET_BUCKETS];
};

void budget_init (struct budget *budget, const struct budget_opts *opts,
                  clk_us now);

/* Counts a request of a caller.  */
void budget_count_request (struct budget *budget, clk_us now);

/**
 * budget_take() - take a part of the budget
 * @budget: budget
 * @cost: repeats that follow, those of the calls below included
 * @part: part of the budget that this kind of work may use up
 * @nodes: nodes among which the slack is divided
 * @now: time
 *
 * Return: whether the repeats are within the budget; they are counted then.
 */
bool budget_take (struct budget *budget, double cost, double part,
                  uint32_t nodes, clk_us now);

#endif
