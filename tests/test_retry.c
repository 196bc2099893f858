#include <string.h>

#include "controllers/retry.h"
#include "core/rng.h"
#include "tests/suite.h"

/* Calls and attempts of one simulated call chain.  */
struct chain
{
  struct rng rng;
  uint32_t calls;
  uint32_t attempts;
};

/* Runs one attempt at a call with DEPTH levels below it.  Above the lowest
   level it makes one or two calls; it may fail.  Returns the unused allowance;
   LOST is set when the answer does not reach the caller.  */
static uint32_t
run_attempt (struct chain *chain, struct retry_allowance allowance, int depth,
             bool *failed, bool *lost)
{
  int children
      = depth == 0 ? 0 : 1 + (depth < 6 && rng_below (&chain->rng, 3));

  *failed = depth == 0 && rng_below (&chain->rng, 4) != 0;
  for (int child = 0; child < children; child++)
    {
      bool try_again = true;

      chain->calls++;
      while (try_again)
        {
          uint32_t grant = retry_allowance_grant (&allowance);
          struct retry_allowance child_allowance = { .remaining = grant };
          bool child_failed;
          bool child_lost;
          uint32_t unused;

          chain->attempts++;
          unused = run_attempt (chain, child_allowance, depth - 1,
                                &child_failed, &child_lost);
          retry_allowance_return (&allowance, grant, child_lost ? 0 : unused);
          try_again = (child_failed || child_lost)
                      && retry_allowance_take (&allowance);
          *failed = child_failed || child_lost;
        }
    }
  CU_ASSERT_EQUAL (allowance.granted, 0);
  *lost = rng_below (&chain->rng, 10) == 0;
  return allowance.remaining;
}

/* Retries at several levels of a call chain multiply.  Whichever answers are
   lost, the attempts of a chain must not exceed its calls by more than the
   allowance.  */
static void
test_allowance_bounds_attempts (void)
{
  static const int depths[] = { 1, 4, 12, 29 };

  for (uint64_t seed = 1; seed <= 200; seed++)
    for (int i = 0; i < 4; i++)
      {
        uint32_t retries_max = (uint32_t)seed % 9;
        struct retry_allowance allowance = { .remaining = retries_max };
        struct chain chain = { .calls = 0 };
        bool failed;
        bool lost;
        uint32_t unused;

        rng_seed (&chain.rng, seed);
        unused = run_attempt (&chain, allowance, depths[i], &failed, &lost);
        CU_ASSERT_TRUE (chain.attempts <= chain.calls + retries_max);
        CU_ASSERT_TRUE (unused <= retries_max);
        CU_ASSERT_TRUE (unused + chain.attempts - chain.calls <= retries_max);
      }
}

/* A peer must not return more retries than it was granted.  */
static void
test_return_is_capped (void)
{
  struct retry_allowance allowance = { .remaining = 3 };
  uint32_t grant = retry_allowance_grant (&allowance);

  CU_ASSERT_EQUAL (grant, 2);
  retry_allowance_return (&allowance, grant, 1000);
  CU_ASSERT_EQUAL (allowance.remaining, 3);
}

/* When all first attempts fail, retries must not exceed the configured share
   of them.  A service with few requests must still be able to retry.  */
static void
test_budget_ratio (void)
{
  struct retry_budget budget;
  clk_us now = clk_s (100);
  uint32_t retries = 0;
  uint32_t requests = 0;

  retry_budget_init (&budget, 10, now);
  for (; requests < 50000; requests++, now += 1000)
    {
      retry_budget_earn (&budget, now);
      retries += retry_budget_take (&budget, now);
    }
  CU_ASSERT_TRUE (retries <= requests / 10 + 10 + 50);
  CU_ASSERT_TRUE (retries >= requests / 10);
  while (retry_budget_take (&budget, now))
    retries++;
  CU_ASSERT_TRUE (retries <= requests / 10 + 10 + 50 + 110);
  now += clk_s (2);
  CU_ASSERT_TRUE (retry_budget_take (&budget, now));
}

/* After a long time without failures, the burst of retries must be limited.
   The token of a retry that is not started must be returned.  */
static void
test_budget_burst (void)
{
  struct retry_budget budget;
  clk_us now = clk_s (100);
  uint32_t retries = 0;

  retry_budget_init (&budget, 10, now);
  for (int i = 0; i < 100000; i++, now += 1000)
    retry_budget_earn (&budget, now);
  while (retry_budget_take (&budget, now))
    retries++;
  CU_ASSERT_TRUE (retries <= 10 + 101);
  retry_budget_refund (&budget);
  CU_ASSERT_TRUE (retry_budget_take (&budget, now));
}

/* A resend must share the allowance of the first request, while that runs and
   during the retention time afterwards.  */
static void
test_resends_share_allowance (void)
{
  struct retry_table_opts opts = { .chains_max = 10, .retention = clk_s (60) };
  struct retry_table *table = retry_table_new (&opts);
  clk_us now = clk_s (1);
  struct retry_chain *chain = retry_chain_get (table, 7, 2, now);
  struct retry_chain *resend = retry_chain_get (table, 7, 2, now);

  CU_ASSERT_PTR_EQUAL (chain, resend);
  CU_ASSERT_TRUE (retry_allowance_take (&chain->allowance));
  retry_chain_put (table, chain, now);
  retry_chain_put (table, resend, now);
  now += clk_s (59);
  chain = retry_chain_get (table, 7, 2, now);
  CU_ASSERT_EQUAL (chain->allowance.remaining, 1);
  retry_chain_put (table, chain, now);
  now += clk_s (60);
  chain = retry_chain_get (table, 7, 2, now);
  CU_ASSERT_EQUAL (chain->allowance.remaining, 2);
  retry_chain_put (table, chain, now);
  retry_table_free (table);
}

/* A full table must not drop chains before their retention time has passed,
   or a resend would get a second allowance.  */
static void
test_full_table (void)
{
  struct retry_table_opts opts
      = { .chains_max = 100, .retention = clk_s (60) };
  struct retry_table *table = retry_table_new (&opts);
  struct rng rng;
  clk_us now = clk_s (1);
  uint32_t issued[200] = { 0 };
  clk_us last[200] = { 0 };

  rng_seed (&rng, 3);
  for (int i = 0; i < 20000; i++, now += 10000)
    {
      uint32_t key = rng_below (&rng, 200);
      struct retry_chain *chain = retry_chain_get (table, key, 1, now);

      if (retry_allowance_take (&chain->allowance))
        {
          CU_ASSERT_TRUE (issued[key] == 0
                          || now >= last[key] + opts.retention);
          issued[key]++;
        }
      last[key] = now;
      retry_chain_put (table, chain, now);
      CU_ASSERT_TRUE (retry_table_count (table) <= opts.chains_max);
    }
  retry_table_free (table);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "attempts within calls and allowance",
            test_allowance_bounds_attempts },
          { "no more returned than granted", test_return_is_capped },
          { "retries as a share of first attempts", test_budget_ratio },
          { "limited burst of retries", test_budget_burst },
          { "resends share one allowance", test_resends_share_allowance },
          { "full table keeps recent chains", test_full_table },
          { NULL, NULL } };

  return suite_run ("retry", tests);
}
