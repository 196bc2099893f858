#include "controllers/budget.h"
#include "core/rng.h"
#include "tests/suite.h"

#define NODES 13
#define STEPS 4000

/* Guards against a retry storm: many nodes whose every request fails send no
   more repeats in any window than the ratio of their requests and the slack
   allow.  */
static void
test_retry_storm (void)
{
  struct budget_opts opts
      = { .ratio = 0.2, .retries_min = 49, .window = clk_s (10) };
  static struct budget nodes[NODES];
  static int requests[STEPS];
  static int repeats[STEPS];
  struct rng rng;

  rng_seed (&rng, 5);
  for (int i = 0; i < NODES; i++)
    budget_init (&nodes[i], &opts, 0);
  for (int step = 0; step < STEPS; step++)
    {
      clk_us now = clk_ms (10) * (clk_us)(step + 1);
      /* A wave of load, with a burst.  */
      uint32_t load = step % 1300 < 400 ? 90 : 20;

      for (int i = 0; i < NODES; i++)
        if (rng_below (&rng, 100) < load)
          {
            budget_count_request (&nodes[i], now);
            requests[step]++;
            for (int again = 0; again < 3; again++)
              repeats[step] += budget_take (&nodes[i], 1, 1, NODES, now);
          }
    }
  for (int from = 1000; from + 1000 <= STEPS; from++)
    {
      int sent = 0;
      int again = 0;
      int before = 0;

      for (int step = from; step < from + 1000; step++)
        {
          sent += requests[step];
          again += repeats[step];
          before += requests[step - 1000];
        }
      sent = sent > before ? sent : before;
      SUITE_SEEDED (again <= 0.2 * sent + 49, 5);
    }
}

/* Guards against work that starts anew and uses up what running chains need.
 */
static void
test_parts (void)
{
  struct budget_opts opts
      = { .ratio = 0.2, .retries_min = 0, .window = clk_s (10) };
  struct budget budget;
  int taken = 0;

  budget_init (&budget, &opts, 0);
  for (int i = 0; i < 1000; i++)
    budget_count_request (&budget, 1);
  while (budget_take (&budget, 1, 0.5, 1, 2))
    taken++;
  CU_ASSERT_TRUE (taken > 80 && taken <= 100);
  CU_ASSERT_TRUE (budget_take (&budget, 1, 1, 1, 2));
  CU_ASSERT_FALSE (budget_take (&budget, 150, 1, 1, 2));
  CU_ASSERT_FALSE (budget_take (&budget, 1, 1, 1, clk_s (30)));
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "retry storm", test_retry_storm },
          { "parts", test_parts },
          { NULL, NULL } };

  return suite_run ("window", tests);
}
