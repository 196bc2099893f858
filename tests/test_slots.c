#include <stdlib.h>
#include <string.h>

#include "controllers/slots.h"
#include "core/rng.h"
#include "tests/suite.h"

#define TICKETS 64

/* The state that the test expects of a ticket.  */
enum expected_state
{
  EXPECTED_IDLE,
  EXPECTED_WAITING,
  EXPECTED_RUNNING,
};

struct sim
{
  struct slots *slots;
  struct slots_opts opts;
  clk_us now;
  struct slots_ticket tickets[TICKETS];
  enum expected_state expected[TICKETS];
  uint32_t submitted;
  uint32_t ended;
};

static struct slots_ticket
make_ticket (uint8_t importance, enum model_cost cost, clk_us now,
             clk_us time_left)
{
  return (struct slots_ticket){ .importance = importance,
                                .cost = cost,
                                .kind = cost,
                                .arrived = now,
                                .deadline = now + time_left };
}

/* Number of tickets in the state EXPECTED, of COST or of any cost when COST is
   negative.  */
static uint32_t
sim_count (const struct sim *sim, enum expected_state expected, int cost)
{
  uint32_t count = 0;

  for (int i = 0; i < TICKETS; i++)
    count += sim->expected[i] == expected
             && (cost < 0 || (int)sim->tickets[i].cost == cost);
  return count;
}

/* Highest or lowest importance of the queued tickets of COST, or of any cost
   when COST is negative.  */
static int
sim_waiting_importance (const struct sim *sim, bool highest, int cost)
{
  int found = highest ? -1 : MODEL_IMPORTANCE_MAX + 1;

  for (int i = 0; i < TICKETS; i++)
    {
      int importance = sim->tickets[i].importance;

      if (sim->expected[i] == EXPECTED_WAITING
          && (cost < 0 || (int)sim->tickets[i].cost == cost)
          && (highest ? importance > found : importance < found))
        found = importance;
    }
  return found;
}

static uint32_t
sim_long_limit (const struct sim *sim)
{
  uint32_t limit
      = slots_limit (sim->slots) * sim->opts.long_slots_percent / 100;

  return limit > 0 ? limit : 1;
}

/* Checks an event against the expected states, and updates these.  */
static void
sim_check_event (struct sim *sim, struct slots_event event)
{
  struct slots_ticket *ticket = event.ticket;
  enum expected_state *expected = &sim->expected[ticket - sim->tickets];
  bool long_slot_free = sim_count (sim, EXPECTED_RUNNING, MODEL_COST_LONG)
                        < sim_long_limit (sim);

  switch (event.kind)
    {
    case SLOTS_RUN:
      *expected = EXPECTED_RUNNING;
      CU_ASSERT_TRUE (ticket->deadline > sim->now);
      CU_ASSERT_TRUE (sim_waiting_importance (sim, true, MODEL_COST_SHORT)
                      <= ticket->importance);
      if (long_slot_free)
        CU_ASSERT_TRUE (sim_waiting_importance (sim, true, MODEL_COST_LONG)
                        <= ticket->importance);
      if (ticket->cost == MODEL_COST_LONG)
        CU_ASSERT_TRUE (long_slot_free);
      break;
    case SLOTS_REFUSE:
      *expected = EXPECTED_IDLE;
      sim->ended++;
      if (event.reason == REASON_DEADLINE_QUEUED)
        break;
      CU_ASSERT_TRUE (event.reason == REASON_QUEUE_FULL
                      || event.reason == REASON_EVICTED);
      CU_ASSERT_TRUE (sim_waiting_importance (sim, false, -1)
                      >= ticket->importance);
      break;
    case SLOTS_QUEUED:
      *expected = EXPECTED_WAITING;
      break;
    case SLOTS_NOTHING:
      break;
    }
}

static void
sim_handle_events (struct sim *sim)
{
  struct slots_event event;

  while ((event = slots_next (sim->slots, sim->now)).kind != SLOTS_NOTHING)
    sim_check_event (sim, event);
  CU_ASSERT_EQUAL (slots_running (sim->slots),
                   sim_count (sim, EXPECTED_RUNNING, -1));
  CU_ASSERT_EQUAL (slots_waiting (sim->slots),
                   sim_count (sim, EXPECTED_WAITING, -1));
  CU_ASSERT_TRUE (slots_limit (sim->slots) <= sim->opts.slots);
  CU_ASSERT_TRUE (slots_running (sim->slots) <= sim->opts.slots);
  for (int i = 0; i < TICKETS; i++)
    if (sim->expected[i] == EXPECTED_WAITING)
      CU_ASSERT_TRUE (sim->tickets[i].deadline + CLK_US_PER_MS > sim->now);
}

/* Makes one random step: a new request, an answer, a withdrawal, or time
   passes.  */
static void
sim_step (struct sim *sim, struct rng *rng)
{
  int i = (int)rng_below (rng, TICKETS);
  struct slots_ticket *ticket = &sim->tickets[i];

  switch (sim->expected[i])
    {
    case EXPECTED_IDLE:
      *ticket = make_ticket ((uint8_t)(rng_below (rng, 5) * 25),
                             (enum model_cost) (rng_below (rng, 3) == 0),
                             sim->now, 1000 + rng_below (rng, 200000));
      sim->submitted++;
      sim_check_event (sim, slots_submit (sim->slots, ticket, sim->now));
      break;
    case EXPECTED_WAITING:
      if (rng_below (rng, 20) != 0)
        return;
      slots_withdraw (sim->slots, ticket, sim->now);
      sim->expected[i] = EXPECTED_IDLE;
      sim->ended++;
      break;
    case EXPECTED_RUNNING:
      if (rng_below (rng, 10) == 0)
        slots_withdraw (sim->slots, ticket, sim->now);
      else
        slots_finish (sim->slots, ticket, rng_below (rng, 8) != 0, sim->now);
      sim->expected[i] = EXPECTED_IDLE;
      sim->ended++;
      break;
    }
  sim_handle_events (sim);
  sim->now += rng_below (rng, 2000);
  sim_handle_events (sim);
}

/* Compares random requests with a model.  A request must not be refused or
   left in the queue in favour of a less important one, no more requests may
   run than the limit allows, expired requests must be reported, and every slot
   must be released.  */
static void
test_random_order (void)
{
  for (uint64_t seed = 1; seed <= 30; seed++)
    {
      struct sim sim = { .opts = { .slots = 2 + seed % 9,
                                   .queue_max = 1 + seed * 3 % 20,
                                   .long_slots_percent = 10 + seed } };
      struct rng rng;

      rng_seed (&rng, seed);
      sim.now = 1000000;
      sim.slots = slots_new (&sim.opts);
      for (int step = 0; step < 3000; step++)
        sim_step (&sim, &rng);
      sim.now += clk_s (1);
      sim_handle_events (&sim);
      for (int i = 0; i < TICKETS; i++)
        if (sim.expected[i] == EXPECTED_RUNNING)
          {
            slots_finish (sim.slots, &sim.tickets[i], true, sim.now);
            sim.ended++;
          }
      CU_ASSERT_EQUAL (slots_running (sim.slots), 0);
      CU_ASSERT_EQUAL (slots_waiting (sim.slots), 0);
      CU_ASSERT_EQUAL (sim.submitted, sim.ended);
      slots_free (sim.slots);
    }
}

/* Ends all queued tickets and frees the controller.  */
static void
finish_all (struct slots *slots, clk_us now)
{
  struct slots_event event;

  while ((event = slots_next (slots, now)).kind != SLOTS_NOTHING)
    if (event.kind == SLOTS_RUN)
      slots_withdraw (slots, event.ticket, now);
  slots_free (slots);
}

/* While the server is overloaded, old requests probably miss their deadlines.
   The newest must run first then, and the oldest otherwise.  */
static void
test_newest_first (void)
{
  struct slots_opts opts
      = { .slots = 1, .queue_max = 10, .long_slots_percent = 50 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (1);
  struct slots_ticket tickets[6];

  for (int i = 0; i < 6; i++)
    {
      tickets[i] = make_ticket (50, MODEL_COST_SHORT, now, clk_s (10));
      slots_submit (slots, &tickets[i], now);
      now += 1000;
    }
  slots_withdraw (slots, &tickets[0], now);
  CU_ASSERT_PTR_EQUAL (slots_next (slots, now).ticket, &tickets[1]);
  now += clk_s (1);
  slots_withdraw (slots, &tickets[1], now);
  CU_ASSERT_PTR_EQUAL (slots_next (slots, now).ticket, &tickets[5]);
  slots_withdraw (slots, &tickets[5], now);
  finish_all (slots, now);
}

/* Long requests must not occupy all slots.  A queued long request must not
   block the short ones behind it.  */
static void
test_long_share (void)
{
  struct slots_opts opts
      = { .slots = 8, .queue_max = 50, .long_slots_percent = 25 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (1);
  struct slots_ticket long_tickets[10];
  struct slots_ticket short_tickets[6];

  for (int i = 0; i < 10; i++)
    {
      long_tickets[i] = make_ticket (90, MODEL_COST_LONG, now, clk_s (10));
      CU_ASSERT_EQUAL (slots_submit (slots, &long_tickets[i], now).kind,
                       i < 2 ? SLOTS_RUN : SLOTS_QUEUED);
    }
  for (int i = 0; i < 6; i++)
    {
      short_tickets[i] = make_ticket (10, MODEL_COST_SHORT, now, clk_s (10));
      CU_ASSERT_EQUAL (slots_submit (slots, &short_tickets[i], now).kind,
                       SLOTS_RUN);
    }
  CU_ASSERT_EQUAL (slots_next (slots, now).kind, SLOTS_NOTHING);
  slots_withdraw (slots, &long_tickets[0], now);
  CU_ASSERT_PTR_EQUAL (slots_next (slots, now).ticket, &long_tickets[2]);
  for (int i = 0; i < 6; i++)
    slots_withdraw (slots, &short_tickets[i], now);
  slots_withdraw (slots, &long_tickets[1], now);
  slots_withdraw (slots, &long_tickets[2], now);
  finish_all (slots, now);
}

/* slots_wakeup_time() must return a time at most a millisecond after the
   deadline of a queued request, so that the request does not stay in the queue
   after it has expired.  */
static void
test_expiry (void)
{
  struct slots_opts opts
      = { .slots = 1, .queue_max = 9, .long_slots_percent = 50 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (5);
  struct slots_ticket running
      = make_ticket (50, MODEL_COST_SHORT, now, clk_s (900));
  struct slots_ticket queued
      = make_ticket (50, MODEL_COST_SHORT, now, clk_s (300));
  struct slots_event event = { .kind = SLOTS_NOTHING };

  CU_ASSERT_EQUAL (slots_wakeup_time (slots), 0);
  slots_submit (slots, &running, now);
  slots_submit (slots, &queued, now);
  for (int i = 0; i < 10000 && event.kind == SLOTS_NOTHING; i++)
    {
      now = slots_wakeup_time (slots);
      CU_ASSERT_TRUE (now > 0 && now <= queued.deadline + CLK_US_PER_MS);
      event = slots_next (slots, now);
    }
  CU_ASSERT_EQUAL (event.kind, SLOTS_REFUSE);
  CU_ASSERT_EQUAL (event.reason, REASON_DEADLINE_QUEUED);
  CU_ASSERT_TRUE (now >= queued.deadline);
  slots_withdraw (slots, &running, now);
  slots_free (slots);
}

/* Runs as many requests as the limit allows until END.  The service time is
   BASE_US, and grows in proportion to the running requests beyond
   CAPACITY.  */
static clk_us
run_at_limit (struct slots *slots, clk_us now, clk_us end, double base_us,
              uint32_t capacity)
{
  static struct slots_ticket tickets[256];
  clk_us ends_at[256] = { 0 };
  uint32_t limit = 0;

  memset (tickets, 0, sizeof tickets);
  for (; now < end; now += 100)
    for (uint32_t i = 0; i < 100; i++)
      {
        if (tickets[i].state == SLOTS_RUNNING && ends_at[i] <= now)
          slots_finish (slots, &tickets[i], true, now);
        limit = slots_limit (slots);
        if (tickets[i].state == SLOTS_IDLE && slots_running (slots) < limit)
          {
            double load = (slots_running (slots) + 1.0) / capacity;

            tickets[i] = make_ticket (50, MODEL_COST_SHORT, now, clk_s (60));
            slots_submit (slots, &tickets[i], now);
            ends_at[i] = now + (clk_us)(base_us * (load > 1 ? load : 1));
          }
      }
  for (uint32_t i = 0; i < 100; i++)
    slots_withdraw (slots, &tickets[i], now);
  return now;
}

/* When a server can run fewer requests at once than its declared slots, the
   limit must follow, and must rise again when it can run more.  */
static void
test_lower_capacity (void)
{
  struct slots_opts opts
      = { .slots = 80, .queue_max = 9, .long_slots_percent = 50 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (1);

  now = run_at_limit (slots, now, now + clk_s (5), 10000, 20);
  CU_ASSERT_TRUE (slots_limit (slots) <= 40);
  CU_ASSERT_TRUE (slots_limit (slots) >= 18);
  now = run_at_limit (slots, now, now + clk_s (2), 10000, 100);
  CU_ASSERT_EQUAL (slots_limit (slots), 80);
  slots_free (slots);
}

/* The limit must not fall when the server is slow only because it waits for
   another service; a low limit would reduce the throughput without need.  */
static void
test_slow_dependency (void)
{
  struct slots_opts opts
      = { .slots = 80, .queue_max = 9, .long_slots_percent = 50 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (1);

  now = run_at_limit (slots, now, now + clk_s (3), 10000, 100);
  now = run_at_limit (slots, now, now + clk_s (8), 50000, 100);
  CU_ASSERT_EQUAL (slots_limit (slots), 80);
  slots_free (slots);
}

/* The admission level must rise to the importance that is still served, so
   that upstream nodes send no requests that would never run.  It must fall
   when the queue has drained, so that they do not shed requests that would
   run.  */
static void
test_level (void)
{
  struct slots_opts opts
      = { .slots = 1, .queue_max = 8, .long_slots_percent = 50 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (1);
  struct slots_ticket tickets[20];

  CU_ASSERT_EQUAL (slots_admission_level (slots, now).importance_min, 0);
  for (int i = 0; i < 20; i++, now += 20000)
    {
      tickets[i] = make_ticket (i % 2 == 0 ? 80 : 20, MODEL_COST_SHORT, now,
                                clk_s (100));
      slots_submit (slots, &tickets[i], now);
      if (i == 0)
        continue;
      for (int j = 0; j < i; j++)
        if (i % 2 == 0 && tickets[j].state == SLOTS_RUNNING)
          slots_withdraw (slots, &tickets[j], now);
      while (slots_next (slots, now).kind != SLOTS_NOTHING)
        continue;
    }
  CU_ASSERT_EQUAL (slots_admission_level (slots, now).importance_min, 80);
  for (int i = 0; i < 20; i++)
    slots_withdraw (slots, &tickets[i], now);
  CU_ASSERT_EQUAL (slots_admission_level (slots, now).importance_min, 0);
  slots_free (slots);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "random requests against a model", test_random_order },
          { "newest request first under overload", test_newest_first },
          { "slots for long requests are limited", test_long_share },
          { "wakeup in time for expired requests", test_expiry },
          { "limit follows the capacity of the server", test_lower_capacity },
          { "limit is kept with a slow dependency", test_slow_dependency },
          { "admission level follows the queue", test_level },
          { NULL, NULL } };

  return suite_run ("slots", tests);
}
