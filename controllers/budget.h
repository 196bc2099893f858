#ifndef CONTROLLERS_BUDGET_H
#define CONTROLLERS_BUDGET_H

/**
 * DOC: budget - retry budget over a sliding window
 *
 * All nodes together may send a service RATIO retries for each request in a
 * window, plus RETRIES_MIN retries.  Each node counts its own requests and has
 * an equal share of RETRIES_MIN.  The window consists of buckets, so that the
 * bound holds for every interval of its length.
 *
 * The requests of the window before count as well, so that the budget lasts
 * while requests are refused because a service fails: the bound is on the
 * maximum of both windows.  A weighted mean, with the same weights at all
 * nodes, keeps the sum over the nodes below it, whatever moves between them.
 *
 * Used by filters/dispatch; filters/retry_policy uses the token bucket of
 * controllers/retry.h.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"

#define BUDGET_BUCKETS 20u /* of one window */
#define BUDGET_BUCKETS_KEPT (2u * BUDGET_BUCKETS)

struct budget_opts
{
  double ratio;       /* retries for each request */
  double retries_min; /* retries allowed without any request, for all nodes */
  clk_us window;      /* length of the sliding window */
};

struct budget
{
  struct budget_opts opts;
  clk_us started_at;
  clk_us bucket_start;                  /* start of the current bucket */
  uint32_t bucket;                      /* index of the current bucket */
  double requests[BUDGET_BUCKETS_KEPT]; /* first attempts in each bucket */
  double retries[BUDGET_BUCKETS_KEPT];  /* retries in each bucket */
};

void budget_init (struct budget *budget, const struct budget_opts *opts,
                  clk_us now);

/* Counts a first attempt, which increases the budget by RATIO.  */
void budget_count_request (struct budget *budget, clk_us now);

/**
 * budget_take() - take retries from the budget
 * @budget: budget
 * @cost: number of retries, including those of the calls that the request
 *	makes downstream
 * @fraction: fraction of the budget that this class of requests may use
 * @node_count: nodes that share RETRIES_MIN
 * @now: current time
 *
 * Return: whether the retries are within the budget; only then they are
 * counted.
 */
bool budget_take (struct budget *budget, double cost, double fraction,
                  uint32_t node_count, clk_us now);

#endif
