#include <stdio.h>
#include <string.h>

#include "controllers/lb.h"
#include "tests/suite.h"

#define SERVERS 4
#define ATTEMPTS_MAX 400

/* An attempt in flight at a simulated server.  */
struct attempt
{
  struct lb_server *server;
  struct lb_watch watch;
  clk_us started_at;
  clk_us ends_at;
};

struct sim
{
  struct lb *lb;
  struct rng rng;
  clk_us now;
  clk_us interval;              /* between two requests */
  clk_us service_time[SERVERS]; /* mean service time of each server */
  uint32_t picks[SERVERS];
  struct attempt attempts[ATTEMPTS_MAX];
};

static struct lb_server
make_server (int number)
{
  struct lb_server server = { .incarnation = 1, .slots = 30 };

  snprintf (server.instance, sizeof server.instance, "%d", number);
  snprintf (server.failure_domain, sizeof server.failure_domain, "d%d",
            number % 4);
  return server;
}

static struct lb *
make_lb (int servers, uint32_t ejected_percent, clk_us now)
{
  struct lb_opts opts
      = { .max_ejected_percent = ejected_percent, .failure_domain = "d0" };
  struct lb *lb = lb_new (&opts);

  for (int i = 0; i < servers; i++)
    {
      struct lb_server update = make_server (i);

      lb_update (lb, &update, now);
    }
  return lb;
}

static struct lb_server *
find_server (const struct lb *lb, int number)
{
  char name[12];

  snprintf (name, sizeof name, "%d", number);
  list_each (node, lb_servers (lb))
    {
      struct lb_server *server = list_entry (node, struct lb_server, node);

      if (strcmp (server->instance, name) == 0)
        return server;
    }
  return NULL;
}

static void
sim_init (struct sim *sim, uint64_t seed)
{
  memset (sim, 0, sizeof *sim);
  sim->now = clk_s (100);
  sim->lb = make_lb (SERVERS, 25, sim->now);
  sim->interval = clk_ms (1);
  rng_seed (&sim->rng, seed);
  for (int i = 0; i < SERVERS; i++)
    sim->service_time[i] = 10000;
  sim->now += clk_s (20);
}

static void
sim_start_attempt (struct sim *sim, struct attempt *attempt)
{
  struct lb_query query = { .importance = 50, .cost = MODEL_COST_SHORT };
  struct lb_choice choice = lb_pick (sim->lb, &query, &sim->rng, sim->now);
  int number = choice.server->instance[0] - '0';

  attempt->server = choice.server;
  attempt->started_at = sim->now;
  attempt->ends_at
      = sim->now + sim->service_time[number] / 2
        + rng_below (&sim->rng, (uint32_t)sim->service_time[number]);
  sim->picks[number]++;
  lb_attempt_start (sim->lb, choice.server, sim->now);
  lb_watch_start (choice.server, &attempt->watch, MODEL_COST_SHORT, sim->now);
}

static void
sim_end_attempt (struct sim *sim, struct attempt *attempt,
                 enum lb_result result)
{
  struct lb_server *server = attempt->server;
  clk_us latency = sim->now - attempt->started_at;

  lb_watch_end (&attempt->watch, sim->now);
  lb_attempt_end (sim->lb, server, result, MODEL_COST_SHORT, latency, NULL,
                  sim->now);
  if (result == LB_ANSWERED)
    {
      lb_record_service_time (server, MODEL_COST_SHORT, latency);
      lb_record_load (server, (double)server->in_flight / server->slots, 0,
                      sim->now);
    }
  attempt->server = NULL;
}

/* Sends requests for DURATION.  Attempts are given up after one second.  */
static void
sim_run (struct sim *sim, clk_us duration)
{
  clk_us end = sim->now + duration;

  memset (sim->picks, 0, sizeof sim->picks);
  for (; sim->now < end; sim->now += clk_ms (1))
    {
      bool attempt_started = sim->now % sim->interval != 0;

      for (int i = 0; i < ATTEMPTS_MAX; i++)
        {
          struct attempt *attempt = &sim->attempts[i];

          if (attempt->server != NULL && attempt->ends_at <= sim->now)
            sim_end_attempt (sim, attempt, LB_ANSWERED);
          else if (attempt->server != NULL
                   && sim->now - attempt->started_at > clk_s (1))
            sim_end_attempt (sim, attempt, LB_IGNORED);
          if (attempt->server == NULL && !attempt_started)
            {
              sim_start_attempt (sim, attempt);
              attempt_started = true;
            }
        }
    }
}

static void
sim_free (struct sim *sim)
{
  for (int i = 0; i < ATTEMPTS_MAX; i++)
    if (sim->attempts[i].server != NULL)
      sim_end_attempt (sim, &sim->attempts[i], LB_IGNORED);
  lb_free (sim->lb);
}

/* The slow server gets one of four requests until it is ejected.  In 400 ms
   these are 1 % of the requests of 10 s, so that the 99th percentile of the
   latency is not affected.  */
#define EJECTION_TIME_MAX clk_ms (400)

/* A server that becomes slow must be ejected soon, or it keeps its share of
   the requests.  Probes must be so few that they do not affect the latency,
   and the server must be reinstated after it has recovered.  */
static void
test_slow_server (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct sim sim;

      sim_init (&sim, seed);
      sim_run (&sim, clk_s (3));
      CU_ASSERT_FALSE (find_server (sim.lb, 2)->ejected);
      sim.service_time[2] = 50000;
      sim_run (&sim, EJECTION_TIME_MAX);
      CU_ASSERT_TRUE (find_server (sim.lb, 2)->ejected);
      sim_run (&sim, clk_s (10));
      CU_ASSERT_TRUE (sim.picks[2] < 10000 / 100);
      CU_ASSERT_TRUE (sim.picks[2] > 0);
      sim.service_time[2] = 10000;
      sim_run (&sim, clk_s (10));
      CU_ASSERT_FALSE (find_server (sim.lb, 2)->ejected);
      sim_run (&sim, clk_s (2));
      CU_ASSERT_TRUE (sim.picks[2] > 2000 / 8);
      sim_free (&sim);
    }
}

/* A server that stops answering must be ejected, although no late answers
   arrive that could be measured.  */
static void
test_silent_server (void)
{
  struct sim sim;

  sim_init (&sim, 1);
  sim_run (&sim, clk_s (3));
  sim.service_time[1] = clk_s (1000);
  sim_run (&sim, EJECTION_TIME_MAX);
  CU_ASSERT_TRUE (find_server (sim.lb, 1)->ejected);
  sim_free (&sim);
}

/* Chooses by the expected time.  One server is faster than the others, which
   have restarted, so that it gets all requests and the others have no answers
   to compare with.  The requests in flight stay below its slots.  */
static void
sim_init_fastest (struct sim *sim, uint32_t ejected_percent)
{
  struct lb_opts opts = { .max_ejected_percent = ejected_percent,
                          .failure_domain = "d0",
                          .by_expected_time = true };

  sim_init (sim, 1);
  lb_configure (sim->lb, &opts);
  sim->interval = clk_ms (100);
  sim->service_time[1] = 5000;
  sim_run (sim, clk_s (3));
  for (int i = 0; i < SERVERS; i++)
    {
      struct lb_server update = make_server (i);

      update.incarnation += i != 1;
      lb_update (sim->lb, &update, sim->now);
    }
  sim_run (sim, clk_s (3));
  CU_ASSERT_EQUAL (sim->picks[1], 30);
}

/* The server that was the fastest must not get all requests any more when it
   stops answering, for its last answers say nothing of it then.  */
static void
test_silent_fastest_server (void)
{
  static const uint32_t ejected_percents[] = { 25, 0 };

  for (int i = 0; i < 2; i++)
    {
      struct sim sim;

      sim_init_fastest (&sim, ejected_percents[i]);
      sim.service_time[1] = clk_s (1000);
      sim_run (&sim, clk_s (1));
      sim_run (&sim, clk_s (10));
      CU_ASSERT_TRUE (sim.picks[1] <= 20);
      sim.service_time[1] = 5000;
      sim_run (&sim, clk_s (20));
      sim_run (&sim, clk_s (3));
      CU_ASSERT_TRUE (sim.picks[1] > 20);
      sim_free (&sim);
    }
}

static uint32_t
ejected_count (const struct lb *lb)
{
  uint32_t count = 0;

  list_each (node, lb_servers (lb))
    count += list_entry (node, struct lb_server, node)->ejected;
  return count;
}

/* No more than the configured share of the servers may be ejected, whatever
   the servers do, or the remaining ones would be overloaded.  */
static void
test_max_ejected (void)
{
  struct rng rng;

  rng_seed (&rng, 9);
  for (uint32_t percent = 0; percent <= 100; percent += 10)
    {
      clk_us now = clk_s (100);
      struct lb *lb = make_lb (10, percent, now);
      struct lb_query query = { .importance = 50 };

      for (int i = 0; i < 5000; i++, now += 3000)
        {
          struct lb_server *server = lb_pick (lb, &query, &rng, now).server;
          bool is_faulty = server->instance[0] < '5';

          lb_attempt_start (lb, server, now);
          lb_attempt_end (
              lb, server, is_faulty && i % 2 ? LB_FAILED : LB_ANSWERED,
              (enum model_cost) (i % 7 == 0),
              1000 + rng_below (&rng, is_faulty ? 90000 : 4000), NULL, now);
          CU_ASSERT_TRUE (ejected_count (lb) * 10 <= percent);
        }
      if (percent >= 20)
        CU_ASSERT_TRUE (ejected_count (lb) > 0);
      lb_free (lb);
    }
}

/* Sets the admission levels that the servers have reported.  */
static void
set_levels (struct lb *lb, const uint8_t *levels, int count, clk_us now)
{
  for (int i = 0; i < count; i++)
    {
      struct slots_level level = { .importance_min = levels[i] };
      struct lb_server *server = find_server (lb, i);

      lb_attempt_start (lb, server, now);
      lb_attempt_end (lb, server, LB_REFUSED, MODEL_COST_SHORT, 0, &level,
                      now);
    }
}

/* A request must be shed upstream only while every server would refuse it.  A
   few requests must still pass, as their answers bring newer levels, and
   outdated levels must be ignored.  */
static void
test_shedding (void)
{
  struct rng rng;
  clk_us now = clk_s (100);
  struct lb *lb = make_lb (3, 30, now);
  struct lb_query query = { .importance = 50 };
  uint32_t shed = 0;

  rng_seed (&rng, 1);
  set_levels (lb, (const uint8_t[]){ 80, 80, 50 }, 3, now);
  for (int i = 0; i < 100; i++)
    CU_ASSERT_PTR_EQUAL (lb_pick (lb, &query, &rng, now).server,
                         find_server (lb, 2));
  set_levels (lb, (const uint8_t[]){ 80, 80, 51 }, 3, now);
  for (int i = 0; i < 1000; i++)
    shed += lb_pick (lb, &query, &rng, now).kind == LB_SHED;
  CU_ASSERT_TRUE (shed > 900 && shed < 1000);
  now += clk_ms (501);
  for (int i = 0; i < 100; i++)
    CU_ASSERT_EQUAL (lb_pick (lb, &query, &rng, now).kind, LB_SERVER);
  lb_free (lb);
}

/* A retry must not go to a server that has been tried, nor any request to one
   that is draining or absent.  A server must not be freed while an attempt
   holds it.  */
static void
test_unusable_servers (void)
{
  struct rng rng;
  clk_us now = clk_s (100);
  struct lb *lb = make_lb (3, 30, now);
  struct lb_query query = { .tried_count = 2 };
  struct lb_server update = make_server (2);

  rng_seed (&rng, 1);
  query.tried[0] = find_server (lb, 0);
  query.tried[1] = find_server (lb, 1);
  for (int i = 0; i < 50; i++)
    CU_ASSERT_PTR_EQUAL (lb_pick (lb, &query, &rng, now).server,
                         find_server (lb, 2));
  update.draining = true;
  lb_update (lb, &update, now);
  for (int i = 0; i < 50; i++)
    CU_ASSERT_PTR_NOT_EQUAL (lb_pick (lb, &query, &rng, now).server,
                             find_server (lb, 2));
  lb_attempt_start (lb, find_server (lb, 0), now);
  lb_mark_absent (lb);
  lb_remove_absent (lb);
  CU_ASSERT_PTR_NOT_NULL (find_server (lb, 0));
  CU_ASSERT_PTR_NULL (find_server (lb, 1));
  CU_ASSERT_EQUAL (lb_pick (lb, &query, &rng, now).kind, LB_NONE);
  lb_attempt_end (lb, find_server (lb, 0), LB_IGNORED, MODEL_COST_SHORT, 0,
                  NULL, now);
  lb_remove_absent (lb);
  CU_ASSERT_TRUE (list_empty (lb_servers (lb)));
  lb_free (lb);
}

/* A server that has just started must not get its full share of the load (slow
   start).  */
static void
test_slow_start (void)
{
  struct sim sim;
  struct lb_server update = make_server (3);

  sim_init (&sim, 1);
  sim_run (&sim, clk_s (2));
  update.incarnation = 2;
  lb_update (sim.lb, &update, sim.now);
  sim_run (&sim, clk_s (2));
  CU_ASSERT_TRUE (sim.picks[3] < 2000 / 8);
  CU_ASSERT_TRUE (sim.picks[3] > 0);
  sim_run (&sim, clk_s (8));
  sim_run (&sim, clk_s (2));
  CU_ASSERT_TRUE (sim.picks[3] > 2000 / 8);
  sim_free (&sim);
}

/* The hedge delay must be above ordinary latencies, or hedges would be sent
   for ordinary answers.  It must be unknown without measurements.  */
static void
test_hedge_delay (void)
{
  struct sim sim;
  clk_us delay;

  sim_init (&sim, 1);
  CU_ASSERT_EQUAL (lb_hedge_delay (sim.lb, MODEL_COST_SHORT), 0);
  sim_run (&sim, clk_s (3));
  delay = lb_hedge_delay (sim.lb, MODEL_COST_SHORT);
  CU_ASSERT_TRUE (delay >= 14000 && delay <= 20000);
  CU_ASSERT_EQUAL (lb_hedge_delay (sim.lb, MODEL_COST_LONG), 0);
  sim_free (&sim);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "slow server is ejected and reinstated", test_slow_server },
          { "server that stops answering is ejected", test_silent_server },
          { "fastest server that stops answering",
            test_silent_fastest_server },
          { "limit on ejected servers", test_max_ejected },
          { "shedding by admission levels", test_shedding },
          { "tried, draining and absent servers", test_unusable_servers },
          { "slow start of a new server", test_slow_start },
          { "hedge delay above ordinary latencies", test_hedge_delay },
          { NULL, NULL } };

  return suite_run ("lb", tests);
}
