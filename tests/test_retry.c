#include <string.h>

#include "controllers/retry.h"
#include "core/rng.h"
#include "tests/suite.h"

/* Retries spent in one chain.  */
struct chain
{
  struct rng rng;
  uint32_t calls;
  uint32_t attempts;
};

/* One attempt at a call with DEPTH further levels below it; it makes one to
   two calls, and may fail.  Returns the allowance left, or sets LOST when the
   answer is lost.  */
static uint32_t
attempt_run (struct chain *chain, struct retry_allowance own, int depth,
             bool *failed, bool *lost)
{
  int children
      = depth == 0 ? 0 : 1 + (depth < 6 && rng_below (&chain->rng, 3));

  *failed = depth == 0 && rng_below (&chain->rng, 4) != 0;
  for (int child = 0; child < children; child++)
    {
      bool again = true;

      chain->calls++;
      while (again)
        {
          uint32_t grant = retry_grant (&own);
          struct retry_allowance below = { .remaining = grant };
          bool child_failed;
          bool child_lost;
          uint32_t left;

          chain->attempts++;
          left = attempt_run (chain, below, depth - 1, &child_failed,
                              &child_lost);
          retry_return (&own, grant, child_lost ? 0 : left);
          again = (child_failed || child_lost) && retry_take (&own);
          *failed = child_failed || child_lost;
        }
    }
  CU_ASSERT_EQUAL (own.granted, 0);
  *lost = rng_below (&chain->rng, 10) == 0;
  return own.remaining;
}

/* Guards against retries that multiply along a chain: whatever is lost, the
   attempts never exceed the calls by more than the allowance.  */
static void
test_allowance_bounds_attempts (void)
{
  static const int depths[] = { 1, 4, 12, 29 };

  for (uint64_t seed = 1; seed <= 200; seed++)
    for (int i = 0; i < 4; i++)
      {
        uint32_t allowance = (uint32_t)seed % 9;
        struct retry_allowance own = { .remaining = allowance };
        struct chain chain = { .calls = 0 };
        bool failed;
        bool lost;
        uint32_t left;

        rng_seed (&chain.rng, seed);
        left = attempt_run (&chain, own, depths[i], &failed, &lost);
        CU_ASSERT_TRUE (chain.attempts <= chain.calls + allowance);
        CU_ASSERT_TRUE (left <= allowance);
        CU_ASSERT_TRUE (left + chain.attempts - chain.calls <= allowance);
      }
}

/* Guards against a peer that returns more than it was granted.  */
static void
test_return_is_capped (void)
{
  struct retry_allowance own = { .remaining = 3 };
  uint32_t grant = retry_grant (&own);

  CU_ASSERT_EQUAL (grant, 2);
  retry_return (&own, grant, 1000);
  CU_ASSERT_EQUAL (own.remaining, 3);
}

/* Guards against retries that double the load when all first attempts fail,
   and against a quiet service that can never retry.  */
static void
test_budget_share (void)
{
  struct retry_budget budget;
  clk_us now = clk_s (100);
  uint32_t taken = 0;
  uint32_t firsts = 0;

  retry_budget_init (&budget, 10, now);
  for (; firsts < 50000; firsts++, now += 1000)
    {
      retry_budget_earn (&budget, now);
      taken += retry_budget_take (&budget, now);
    }
  CU_ASSERT_TRUE (taken <= firsts / 10 + 10 + 50);
  CU_ASSERT_TRUE (taken >= firsts / 10);
  while (retry_budget_take (&budget, now))
    taken++;
  CU_ASSERT_TRUE (taken <= firsts / 10 + 10 + 50 + 110);
  now += clk_s (2);
  CU_ASSERT_TRUE (retry_budget_take (&budget, now));
}

/* Guards against a burst of retries after a long time without failures, and
   against a token that is lost when its retry is not started.  */
static void
test_budget_burst (void)
{
  struct retry_budget budget;
  clk_us now = clk_s (100);
  uint32_t taken = 0;

  retry_budget_init (&budget, 10, now);
  for (int i = 0; i < 100000; i++, now += 1000)
    retry_budget_earn (&budget, now);
  while (retry_budget_take (&budget, now))
    taken++;
  CU_ASSERT_TRUE (taken <= 10 + 101);
  retry_budget_refund (&budget);
  CU_ASSERT_TRUE (retry_budget_take (&budget, now));
}

/* Guards against a resend that gets an allowance of its own, at the same time
   or later.  */
static void
test_resends_share (void)
{
  struct retry_table_opts opts = { .chains_max = 10, .keep = clk_s (60) };
  struct retry_table *table = retry_table_new (&opts);
  clk_us now = clk_s (1);
  struct retry_chain *a = retry_chain_get (table, 7, 2, now);
  struct retry_chain *b = retry_chain_get (table, 7, 2, now);

  CU_ASSERT_PTR_EQUAL (a, b);
  CU_ASSERT_TRUE (retry_take (&a->allowance));
  retry_chain_put (table, a, now);
  retry_chain_put (table, b, now);
  now += clk_s (59);
  a = retry_chain_get (table, 7, 2, now);
  CU_ASSERT_EQUAL (a->allowance.remaining, 1);
  retry_chain_put (table, a, now);
  now += clk_s (60);
  a = retry_chain_get (table, 7, 2, now);
  CU_ASSERT_EQUAL (a->allowance.remaining, 2);
  retry_chain_put (table, a, now);
  retry_table_free (table);
}

/* Guards against a full table that forgets recent chains, so that a resend
   gets a second allowance.  */
static void
test_full_table (void)
{
  struct retry_table_opts opts = { .chains_max = 100, .keep = clk_s (60) };
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

      if (retry_take (&chain->allowance))
        {
          CU_ASSERT_TRUE (issued[key] == 0 || now >= last[key] + opts.keep);
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
      = { { "allowance bounds attempts", test_allowance_bounds_attempts },
          { "return is capped", test_return_is_capped },
          { "budget share", test_budget_share },
          { "budget burst", test_budget_burst },
          { "resends share", test_resends_share },
          { "full table", test_full_table },
          { NULL, NULL } };

  return suite_run ("rty", tests);
}
