#include "controllers/budget.h"
#include "core/rng.h"
#include "tests/suite.h"

#define NODES 13
#define STEPS 4000

/* When every request fails at many nodes, their retries multiply the load of
   the failing service (retry storm).  In no window may the nodes together send
   more retries than the ratio and the minimum allow.  */
static void
test_retry_storm (void)
{
  struct budget_opts opts
      = { .ratio = 0.2, .retries_min = 49, .window = clk_s (10) };
  static struct budget nodes[NODES];
  static int requests[STEPS];
  static int retries[STEPS];
  struct rng rng;

  rng_seed (&rng, 5);
  for (int i = 0; i < NODES; i++)
    budget_init (&nodes[i], &opts, 0);
  for (int step = 0; step < STEPS; step++)
    {
      clk_us now = clk_ms (10) * (clk_us)(step + 1);
      /* The load changes between a base and a burst.  */
      uint32_t load = step % 1300 < 400 ? 90 : 20;

      for (int i = 0; i < NODES; i++)
        if (rng_below (&rng, 100) < load)
          {
            budget_count_request (&nodes[i], now);
            requests[step]++;
            for (int retry = 0; retry < 3; retry++)
              retries[step] += budget_take (&nodes[i], 1, 1, NODES, now);
          }
    }
  for (int start = 1000; start + 1000 <= STEPS; start++)
    {
      int request_sum = 0;
      int retry_sum = 0;
      int previous_sum = 0;

      for (int step = start; step < start + 1000; step++)
        {
          request_sum += requests[step];
          retry_sum += retries[step];
          previous_sum += requests[step - 1000];
        }
      request_sum = request_sum > previous_sum ? request_sum : previous_sum;
      SUITE_SEEDED (retry_sum <= 0.2 * request_sum + 49, 5);
    }
}

/* Retries of new requests must not use up more than their fraction of the
   budget, so that the rest remains for the calls of running requests.  */
static void
test_fraction (void)
{
  struct budget_opts opts
      = { .ratio = 0.2, .retries_min = 0, .window = clk_s (10) };
  struct budget budget;
  int retries = 0;

  budget_init (&budget, &opts, 0);
  for (int i = 0; i < 1000; i++)
    budget_count_request (&budget, 1);
  while (budget_take (&budget, 1, 0.5, 1, 2))
    retries++;
  CU_ASSERT_TRUE (retries > 80 && retries <= 100);
  CU_ASSERT_TRUE (budget_take (&budget, 1, 1, 1, 2));
  CU_ASSERT_FALSE (budget_take (&budget, 150, 1, 1, 2));
  CU_ASSERT_FALSE (budget_take (&budget, 1, 1, 1, clk_s (30)));
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "bound on the retries of all nodes", test_retry_storm },
          { "fraction of the budget", test_fraction },
          { NULL, NULL } };

  return suite_run ("budget", tests);
}
