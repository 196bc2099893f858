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

/* A service refuses requests for some seconds, and fewer are sent to it for
   that reason.  The budget must not shrink with them at once, or nothing is
   left to retry the calls of the few that are still let in.  While requests
   move from one half of the nodes to the other, the sum of the nodes must stay
   within the bound.  */
static void
test_fewer_requests (void)
{
  struct budget_opts opts
      = { .ratio = 0.2, .retries_min = 0, .window = clk_s (10) };
  static struct budget nodes[2];
  int requests[400] = { 0 };
  int retries[400] = { 0 };

  for (int i = 0; i < 2; i++)
    budget_init (&nodes[i], &opts, 1);
  for (int step = 0; step < 400; step++)
    {
      clk_us now = clk_ms (100) * (clk_us)(step + 1);

      for (int i = 0; i < 2; i++)
        {
          /* 30 s: all at the first node, 5 s: all at the second one, then a
             tenth at the second one.  */
          int count = step < 300 ? 100 * (i == 0)
                                 : (step < 350 ? 100 : 10) * (i == 1);

          for (int request = 0; request < count; request++)
            {
              budget_count_request (&nodes[i], now);
              requests[step]++;
              if (step >= 300)
                for (int retry = 0; retry < 3; retry++)
                  retries[step] += budget_take (&nodes[i], 1, 1, 2, now);
            }
        }
    }
  for (int start = 200; start + 100 <= 400; start++)
    {
      int sums[2] = { 0 };
      int retry_sum = 0;
      int max = 0;

      for (int step = start; step < start + 100; step++)
        {
          retry_sum += retries[step];
          for (int window = 0; window < 2; window++)
            sums[window] += requests[step - 100 * window];
        }
      for (int window = 0; window < 2; window++)
        max = sums[window] > max ? sums[window] : max;
      CU_ASSERT_TRUE (retry_sum <= 0.2 * max);
    }
  /* One node, a tenth of the requests for 5 s after a steady time: as many
     retries as a budget of three quarters of the requests before.  */
  budget_init (&nodes[0], &opts, 1);
  retries[0] = 0;
  for (int step = 0; step < 350; step++)
    for (int request = 0; request < (step < 300 ? 100 : 10); request++)
      {
        clk_us now = clk_ms (100) * (clk_us)(step + 1);

        budget_count_request (&nodes[0], now);
        for (int retry = 0; step >= 300 && retry < 3; retry++)
          retries[0] += budget_take (&nodes[0], 1, 1, 1, now);
      }
  CU_ASSERT_TRUE (retries[0] >= 0.2 * 0.9 * 0.75 * 100 * 100);
  CU_ASSERT_TRUE (retries[0] <= 0.2 * 100 * 100);
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
          { "budget lasts when fewer requests are sent", test_fewer_requests },
          { NULL, NULL } };

  return suite_run ("budget", tests);
}
