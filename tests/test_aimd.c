#include "controllers/aimd.h"
#include "core/rng.h"
#include "tests/suite.h"

#define ROUTE 7
#define TIME_LIMIT clk_ms (1200)
#define REQUESTS_MAX 64
/* Bound on the time in which the system recovers from an outage, see
   docs/proof.md.  */
#define OUTAGE_RECOVERY_MAX clk_s (2)

/* Simulated requests that each make ten calls of 55 ms to one downstream
   service.  The calls take longer, the more requests run at once.  */
struct sim
{
  double slots; /* downstream slots that these requests use */
  int running;
  clk_us ends_at[REQUESTS_MAX];
  clk_us started_at[REQUESTS_MAX];
  struct aimd_route *routes[REQUESTS_MAX];
  int answered;
  int late;
  int refused;
};

static clk_us
sim_latency (const struct sim *sim, struct rng *rng)
{
  double load = sim->running / sim->slots;
  double call = load > 1 ? 55.0 * load : 55.0;

  return clk_ms (190 + 10 * call * (0.8 + 0.4 * rng_uniform (rng)));
}

static void
sim_finish (struct sim *sim, clk_us now)
{
  for (int i = 0; i < REQUESTS_MAX; i++)
    {
      clk_us latency;

      if (sim->routes[i] == NULL || now < sim->ends_at[i])
        continue;
      latency = sim->ends_at[i] - sim->started_at[i];
      aimd_release (sim->routes[i],
                    latency >= TIME_LIMIT ? AIMD_FAILED : AIMD_ANSWERED,
                    latency, TIME_LIMIT, clk_ms (20), now);
      sim->answered += latency < TIME_LIMIT;
      sim->late += latency >= TIME_LIMIT;
      sim->routes[i] = NULL;
      sim->running--;
    }
}

static void
sim_start (struct sim *sim, struct aimd *limiter, struct rng *rng, clk_us now)
{
  struct aimd_route *route = aimd_acquire (limiter, ROUTE, false, now);

  if (route == NULL)
    {
      sim->refused++;
      return;
    }
  for (int i = 0; i < REQUESTS_MAX; i++)
    if (sim->routes[i] == NULL)
      {
        clk_us latency;

        sim->running++;
        latency = sim_latency (sim, rng);
        sim->routes[i] = route;
        sim->started_at[i] = now;
        sim->ends_at[i] = now + (latency < TIME_LIMIT ? latency : TIME_LIMIT);
        return;
      }
}

/* Sends requests at RATE_PER_S for 30 s; their calls share SLOTS at the
   downstream service.  */
static struct sim
simulate (double slots, double rate_per_s, uint64_t seed)
{
  struct aimd_opts opts = { .limit_max = REQUESTS_MAX };
  struct sim sim = { .slots = slots };
  struct aimd limiter;
  struct rng rng;

  rng_seed (&rng, seed);
  CU_ASSERT_EQUAL (aimd_init (&limiter), 0);
  aimd_configure (&limiter, &opts);
  for (clk_us now = clk_ms (1); now < clk_s (30); now += clk_ms (5))
    {
      sim_finish (&sim, now);
      if (rng_uniform (&rng) < rate_per_s * 0.005)
        sim_start (&sim, &limiter, &rng, now);
    }
  for (int i = 0; i < REQUESTS_MAX; i++)
    if (sim.routes[i] != NULL)
      aimd_release (sim.routes[i], AIMD_IGNORED, 0, TIME_LIMIT, 0, clk_s (30));
  aimd_fini (&limiter);
  return sim;
}

/* Without a working limit, requests exceed their time limit once more of them
   run than the downstream service can serve, so that few are answered in time.
   Here the load is three times its capacity.  The bounds are the target stated
   in controllers/aimd.h: at most a fifth of the requests exceed the time
   limit, and three quarters of the capacity serves requests answered in
   time.  */
static void
test_downstream_overload (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct sim sim = simulate (10, 40, seed);

      SUITE_SEEDED (sim.answered >= 4 * sim.late, seed);
      /* Capacity: ten concurrent requests of 0.74 s each, for 30 s.  */
      SUITE_SEEDED (sim.answered >= 0.75 * 10 * 30 / 0.74, seed);
    }
}

/* The limiter must not refuse requests while the downstream service has free
   slots for all of them.  */
static void
test_no_overload (void)
{
  struct sim sim = simulate (30, 20, 1);

  CU_ASSERT_TRUE (sim.refused * 50 <= sim.answered);
  CU_ASSERT_TRUE (sim.late * 50 <= sim.answered);
}

/* While the downstream service fails every request, the limit must fall below
   one, so that few requests are admitted as probes.  When requests succeed
   again, the limit must rise above one.  */
static void
test_probes (void)
{
  struct aimd_opts opts = { .limit_max = 30 };
  struct aimd_route *route = NULL;
  struct aimd limiter;
  clk_us now = clk_s (1);
  int probes = 0;

  CU_ASSERT_EQUAL (aimd_init (&limiter), 0);
  aimd_configure (&limiter, &opts);
  for (; now < clk_s (21); now += clk_ms (20))
    {
      route = aimd_acquire (&limiter, ROUTE, false, now);
      if (route == NULL)
        continue;
      aimd_release (route, AIMD_FAILED, TIME_LIMIT, TIME_LIMIT, clk_ms (20),
                    now);
      /* The limit falls during the first 10 s.  */
      probes += now > clk_s (11);
    }
  CU_ASSERT_TRUE (probes >= 2 && probes <= 40);
  for (; now < clk_s (36); now += clk_ms (20))
    {
      route = aimd_acquire (&limiter, ROUTE, false, now);
      if (route != NULL)
        aimd_release (route, AIMD_ANSWERED, clk_ms (500), TIME_LIMIT,
                      clk_ms (20), now);
    }
  route = aimd_acquire (&limiter, ROUTE, false, now + clk_s (4));
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  CU_ASSERT_TRUE (aimd_limit (route) > 1);
  aimd_release (route, AIMD_IGNORED, 0, 0, 0, now);
  aimd_fini (&limiter);
}

/* One in FAIL_ONE_IN requests fails for 8 s under constant load because of the
   downstream service, then all succeed, while calls wait there for
   WAIT_AFTER.  */
static void
simulate_outage (int fail_one_in, clk_us wait_after)
{
  struct aimd_opts opts = { .limit_max = REQUESTS_MAX };
  struct sim sim = { .slots = REQUESTS_MAX };
  struct aimd limiter;
  int refused_before_outage = 0;
  int refused_after_outage = 0;
  int ended = 0;

  CU_ASSERT_EQUAL (aimd_init (&limiter), 0);
  aimd_configure (&limiter, &opts);
  for (clk_us now = clk_ms (1); now < clk_s (18); now += clk_ms (1))
    {
      bool outage = now >= clk_s (4) && now < clk_s (12);
      struct aimd_route *route;

      for (int i = 0; i < REQUESTS_MAX; i++)
        if (sim.routes[i] != NULL && now >= sim.ends_at[i])
          {
            bool failed = outage && ++ended % fail_one_in == 0;

            aimd_release (sim.routes[i], failed ? AIMD_FAILED : AIMD_ANSWERED,
                          clk_ms (250), TIME_LIMIT,
                          now < clk_s (4) ? 0
                          : outage        ? clk_ms (20)
                                          : wait_after,
                          now);
            sim.routes[i] = NULL;
          }
      /* 80 requests a second of 250 ms each.  */
      if (now / clk_ms (1) * 80 % 1000 >= 80)
        continue;
      route = aimd_acquire (&limiter, ROUTE, false, now);
      if (route == NULL)
        {
          refused_before_outage += now < clk_s (4);
          refused_after_outage += now >= clk_s (12) + OUTAGE_RECOVERY_MAX;
          continue;
        }
      for (int i = 0; i < REQUESTS_MAX; i++)
        if (sim.routes[i] == NULL)
          {
            sim.routes[i] = route;
            sim.ends_at[i] = now + clk_ms (250);
            break;
          }
    }
  CU_ASSERT_EQUAL (refused_before_outage, 0);
  /* 2 % of the requests that arrive in the last 4 s.  */
  CU_ASSERT_TRUE (refused_after_outage <= 4 * 80 / 50);
  for (int i = 0; i < REQUESTS_MAX; i++)
    if (sim.routes[i] != NULL)
      aimd_release (sim.routes[i], AIMD_IGNORED, 0, TIME_LIMIT, 0, clk_s (18));
  aimd_fini (&limiter);
}

/* All calls to the downstream service fail for 8 s under constant load, then
   all succeed.  A limit that recovers too slowly refuses requests for long
   after the outage, although there is capacity for them.  */
static void
test_recovery_after_outage (void)
{
  simulate_outage (1, 0);
}

/* The same while calls wait for a slot for some milliseconds after the outage,
   as they do on a normal day.  */
static void
test_recovery_with_short_waits (void)
{
  simulate_outage (1, clk_ms (20));
}

/* After a failure of the downstream service, while calls still queue there for
   a short time, the first request that ends in time must set the limit to one.
   If the limit grew from below one by steps, several probes, a second or more
   apart, would have to succeed first.  */
static void
test_first_success (void)
{
  struct aimd_opts opts = { .limit_max = REQUESTS_MAX };
  struct aimd_route *route = NULL;
  struct aimd limiter;
  clk_us now = clk_s (1);

  CU_ASSERT_EQUAL (aimd_init (&limiter), 0);
  aimd_configure (&limiter, &opts);
  for (; now < clk_s (21); now += clk_ms (20))
    {
      route = aimd_acquire (&limiter, ROUTE, false, now);
      if (route != NULL)
        aimd_release (route, AIMD_FAILED, TIME_LIMIT, TIME_LIMIT, clk_ms (20),
                      now);
    }
  now += clk_s (2);
  route = aimd_acquire (&limiter, ROUTE, false, now);
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  CU_ASSERT_TRUE (aimd_limit (route) < 1);
  aimd_release (route, AIMD_ANSWERED, clk_ms (250), TIME_LIMIT, clk_ms (20),
                now);
  CU_ASSERT_TRUE (aimd_limit (route) >= 1);
  CU_ASSERT_PTR_EQUAL (aimd_acquire (&limiter, ROUTE, false, now), route);
  aimd_release (route, AIMD_IGNORED, 0, TIME_LIMIT, 0, now);
  aimd_fini (&limiter);
}

/* The limit must not fall when requests are slow for other reasons, such as a
   slow local server, while calls do not queue at the downstream services.  */
static void
test_slow_without_queue (void)
{
  struct aimd_opts opts = { .limit_max = 30 };
  struct aimd_route *route = NULL;
  struct aimd limiter;
  int refused = 0;

  CU_ASSERT_EQUAL (aimd_init (&limiter), 0);
  aimd_configure (&limiter, &opts);
  for (clk_us now = clk_s (1); now < clk_s (20); now += clk_ms (50))
    {
      bool is_slow = now / clk_ms (50) % 3 == 0;

      route = aimd_acquire (&limiter, ROUTE, false, now);
      if (route == NULL)
        refused++;
      else
        aimd_release (route, AIMD_ANSWERED,
                      is_slow ? clk_ms (1100) : clk_ms (700), TIME_LIMIT,
                      clk_ms (1), now);
    }
  CU_ASSERT_EQUAL (refused, 0);
  aimd_fini (&limiter);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "three times the capacity downstream", test_downstream_overload },
          { "no refusals without overload", test_no_overload },
          { "few probes during a failure, then recovery", test_probes },
          { "few refusals after an outage", test_recovery_after_outage },
          { "few refusals after an outage, with short waits",
            test_recovery_with_short_waits },
          { "first success sets the limit to one", test_first_success },
          { "slow requests without a queue downstream",
            test_slow_without_queue },
          { NULL, NULL } };

  return suite_run ("aimd", tests);
}
