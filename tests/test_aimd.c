#include "controllers/aimd.h"
#include "core/rng.h"
#include "tests/suite.h"

#define ROUTE 7
#define TIME_LIMIT clk_ms (1200)
#define RUNS_MOST 64
/* Goal of the recovery from a stall (docs/proof.md).  */
#define OUTAGE_RECOVERY clk_s (2)

/* Chains that share a deep service: each makes ten calls of 55 ms there, and
   the more run at once, the longer a call takes.  */
struct chains
{
  double slots; /* of the deep service for these chains */
  int running;
  clk_us done_at[RUNS_MOST];
  clk_us began[RUNS_MOST];
  struct aimd_route *held[RUNS_MOST];
  int answered;
  int late;
  int refused;
};

static clk_us
chain_time (const struct chains *chains, struct rng *rng)
{
  double crowd = chains->running / chains->slots;
  double call = crowd > 1 ? 55.0 * crowd : 55.0;

  return clk_ms (190 + 10 * call * (0.8 + 0.4 * rng_uniform (rng)));
}

static void
chains_finish (struct chains *chains, clk_us now)
{
  for (int i = 0; i < RUNS_MOST; i++)
    {
      clk_us took;

      if (chains->held[i] == NULL || now < chains->done_at[i])
        continue;
      took = chains->done_at[i] - chains->began[i];
      aimd_release (chains->held[i],
                    took >= TIME_LIMIT ? AIMD_FAILED : AIMD_ANSWERED, took,
                    TIME_LIMIT, clk_ms (20), now);
      chains->answered += took < TIME_LIMIT;
      chains->late += took >= TIME_LIMIT;
      chains->held[i] = NULL;
      chains->running--;
    }
}

static void
chains_start (struct chains *chains, struct aimd *pace, struct rng *rng,
              clk_us now)
{
  struct aimd_route *route = aimd_acquire (pace, ROUTE, false, now);

  if (route == NULL)
    {
      chains->refused++;
      return;
    }
  for (int i = 0; i < RUNS_MOST; i++)
    if (chains->held[i] == NULL)
      {
        clk_us took;

        chains->running++;
        took = chain_time (chains, rng);
        chains->held[i] = route;
        chains->began[i] = now;
        chains->done_at[i] = now + (took < TIME_LIMIT ? took : TIME_LIMIT);
        return;
      }
}

/* RATE chains a second for 30 s at a deep service with SLOTS.  */
static struct chains
run_chains (double slots, double rate, uint64_t seed)
{
  struct aimd_opts opts = { .limit_max = RUNS_MOST };
  struct chains chains = { .slots = slots };
  struct aimd pace;
  struct rng rng;

  rng_seed (&rng, seed);
  CU_ASSERT_EQUAL (aimd_init (&pace), 0);
  aimd_configure (&pace, &opts);
  for (clk_us now = clk_ms (1); now < clk_s (30); now += clk_ms (5))
    {
      chains_finish (&chains, now);
      if (rng_uniform (&rng) < rate * 0.005)
        chains_start (&chains, &pace, &rng, now);
    }
  for (int i = 0; i < RUNS_MOST; i++)
    if (chains.held[i] != NULL)
      aimd_release (chains.held[i], AIMD_IGNORED, 0, TIME_LIMIT, 0,
                    clk_s (30));
  aimd_fini (&pace);
  return chains;
}

/* Guards against the collapse of chains under overload: three times more
   arrive than the deep service carries.  The targets are those of the module:
   a fifth of the runs late, three quarters of the capacity answered.  */
static void
test_overloaded_chains (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct chains chains = run_chains (10, 40, seed);

      SUITE_SEEDED (chains.answered >= 4 * chains.late, seed);
      /* Ten chains of 0.74 s each, for 30 s.  */
      SUITE_SEEDED (chains.answered >= 0.75 * 10 * 30 / 0.74, seed);
    }
}

/* Guards against a limit that refuses what could be served.  */
static void
test_calm_chains (void)
{
  struct chains chains = run_chains (30, 20, 1);

  CU_ASSERT_TRUE (chains.refused * 50 <= chains.answered);
  CU_ASSERT_TRUE (chains.late * 50 <= chains.answered);
}

/* Guards against a deep service that is lost and comes back: the pace falls
   below one run at a time, and recovers.  */
static void
test_recovery (void)
{
  struct aimd_opts opts = { .limit_max = 30 };
  struct aimd_route *route = NULL;
  struct aimd pace;
  clk_us now = clk_s (1);
  int tried = 0;

  CU_ASSERT_EQUAL (aimd_init (&pace), 0);
  aimd_configure (&pace, &opts);
  for (; now < clk_s (21); now += clk_ms (20))
    {
      route = aimd_acquire (&pace, ROUTE, false, now);
      if (route == NULL)
        continue;
      aimd_release (route, AIMD_FAILED, TIME_LIMIT, TIME_LIMIT, clk_ms (20),
                    now);
      tried += now > clk_s (11);
    }
  CU_ASSERT_TRUE (tried >= 2 && tried <= 40);
  for (; now < clk_s (36); now += clk_ms (20))
    {
      route = aimd_acquire (&pace, ROUTE, false, now);
      if (route != NULL)
        aimd_release (route, AIMD_ANSWERED, clk_ms (500), TIME_LIMIT,
                      clk_ms (20), now);
    }
  route = aimd_acquire (&pace, ROUTE, false, now + clk_s (4));
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  CU_ASSERT_TRUE (aimd_limit (route) > 1);
  aimd_release (route, AIMD_IGNORED, 0, 0, 0, now);
  aimd_fini (&pace);
}

/* Pattern: every call of a deep service is refused for a while, under load;
   then all is well at once.
   Guards against requests that are refused for long after that, while nothing
   is in their way.  The target is the time in which the mesh recovers from a
   stall.  */
static void
test_outage (void)
{
  struct aimd_opts opts = { .limit_max = RUNS_MOST };
  struct chains chains = { .slots = RUNS_MOST };
  struct aimd pace;
  int refused_before = 0;
  int refused = 0;

  CU_ASSERT_EQUAL (aimd_init (&pace), 0);
  aimd_configure (&pace, &opts);
  for (clk_us now = clk_ms (1); now < clk_s (18); now += clk_ms (1))
    {
      bool outage = now >= clk_s (4) && now < clk_s (12);
      struct aimd_route *route;

      for (int i = 0; i < RUNS_MOST; i++)
        if (chains.held[i] != NULL && now >= chains.done_at[i])
          {
            aimd_release (chains.held[i], outage ? AIMD_FAILED : AIMD_ANSWERED,
                          clk_ms (250), TIME_LIMIT, outage ? clk_ms (20) : 0,
                          now);
            chains.held[i] = NULL;
          }
      /* 80 requests a second of 250 ms each.  */
      if (now / clk_ms (1) * 80 % 1000 >= 80)
        continue;
      route = aimd_acquire (&pace, ROUTE, false, now);
      if (route == NULL)
        {
          refused_before += now < clk_s (4);
          refused += now >= clk_s (12) + OUTAGE_RECOVERY;
          continue;
        }
      for (int i = 0; i < RUNS_MOST; i++)
        if (chains.held[i] == NULL)
          {
            chains.held[i] = route;
            chains.done_at[i] = now + clk_ms (250);
            break;
          }
    }
  CU_ASSERT_EQUAL (refused_before, 0);
  /* One in fifty of those that came in the 4 s.  */
  CU_ASSERT_TRUE (refused <= 4 * 80 / 50);
  for (int i = 0; i < RUNS_MOST; i++)
    if (chains.held[i] != NULL)
      aimd_release (chains.held[i], AIMD_IGNORED, 0, TIME_LIMIT, 0,
                    clk_s (18));
  aimd_fini (&pace);
}

/* Pattern: as before, and calls still wait a little below.
   Guards against several tries, a second or more apart, before the limit is
   one again.  */
static void
test_first_run_in_time (void)
{
  struct aimd_opts opts = { .limit_max = RUNS_MOST };
  struct aimd_route *route = NULL;
  struct aimd pace;
  clk_us now = clk_s (1);

  CU_ASSERT_EQUAL (aimd_init (&pace), 0);
  aimd_configure (&pace, &opts);
  for (; now < clk_s (21); now += clk_ms (20))
    {
      route = aimd_acquire (&pace, ROUTE, false, now);
      if (route != NULL)
        aimd_release (route, AIMD_FAILED, TIME_LIMIT, TIME_LIMIT, clk_ms (20),
                      now);
    }
  now += clk_s (2);
  route = aimd_acquire (&pace, ROUTE, false, now);
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  CU_ASSERT_TRUE (aimd_limit (route) < 1);
  aimd_release (route, AIMD_ANSWERED, clk_ms (250), TIME_LIMIT, clk_ms (20),
                now);
  CU_ASSERT_TRUE (aimd_limit (route) >= 1);
  CU_ASSERT_PTR_EQUAL (aimd_acquire (&pace, ROUTE, false, now), route);
  aimd_release (route, AIMD_IGNORED, 0, TIME_LIMIT, 0, now);
  aimd_fini (&pace);
}

/* Guards against a limit that falls because runs are long by themselves, at
   slow or disturbed servers, while the services below are idle.  */
static void
test_long_runs (void)
{
  struct aimd_opts opts = { .limit_max = 30 };
  struct aimd_route *route = NULL;
  struct aimd pace;
  int refused = 0;

  CU_ASSERT_EQUAL (aimd_init (&pace), 0);
  aimd_configure (&pace, &opts);
  for (clk_us now = clk_s (1); now < clk_s (20); now += clk_ms (50))
    {
      bool is_long = now / clk_ms (50) % 3 == 0;

      route = aimd_acquire (&pace, ROUTE, false, now);
      if (route == NULL)
        refused++;
      else
        aimd_release (route, AIMD_ANSWERED,
                      is_long ? clk_ms (1100) : clk_ms (700), TIME_LIMIT,
                      clk_ms (1), now);
    }
  CU_ASSERT_EQUAL (refused, 0);
  aimd_fini (&pace);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "chains that overload a deep service", test_overloaded_chains },
          { "calm chains", test_calm_chains },
          { "recovery", test_recovery },
          { "outage of a deep service", test_outage },
          { "first run in time", test_first_run_in_time },
          { "runs that are long by themselves", test_long_runs },
          { NULL, NULL } };

  return suite_run ("pace", tests);
}
