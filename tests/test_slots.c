#include <stdlib.h>
#include <string.h>

#include "controllers/slots.h"
#include "core/rng.h"
#include "tests/suite.h"

#define TICKETS 64

/* What the test knows of each ticket, to compare with the controller.  */
enum known
{
  KNOWN_IDLE,
  KNOWN_WAITING,
  KNOWN_RUNNING,
};

struct world
{
  struct slots *slots;
  struct slots_opts opts;
  clk_us now;
  struct slots_ticket tickets[TICKETS];
  enum known known[TICKETS];
  uint32_t submitted;
  uint32_t ended;
};

static struct slots_ticket
ticket_make (uint8_t importance, enum model_cost cost, clk_us now, clk_us left)
{
  return (struct slots_ticket){ .importance = importance,
                                .cost = cost,
                                .kind = cost,
                                .arrived = now,
                                .deadline = now + left };
}

static uint32_t
world_count (const struct world *world, enum known known, int cost)
{
  uint32_t count = 0;

  for (int i = 0; i < TICKETS; i++)
    count += world->known[i] == known
             && (cost < 0 || (int)world->tickets[i].cost == cost);
  return count;
}

/* Least or most importance that waits, at one cost or at any.  */
static int
world_waiting (const struct world *world, bool most, int cost)
{
  int found = most ? -1 : MODEL_IMPORTANCE_MAX + 1;

  for (int i = 0; i < TICKETS; i++)
    {
      int importance = world->tickets[i].importance;

      if (world->known[i] == KNOWN_WAITING
          && (cost < 0 || (int)world->tickets[i].cost == cost)
          && (most ? importance > found : importance < found))
        found = importance;
    }
  return found;
}

static uint32_t
world_long_limit (const struct world *world)
{
  uint32_t most
      = slots_limit (world->slots) * world->opts.long_slots_percent / 100;

  return most > 0 ? most : 1;
}

/* Checks one event against what the test knows, and records it.  */
static void
world_take (struct world *world, struct slots_event event)
{
  struct slots_ticket *ticket = event.ticket;
  enum known *known = &world->known[ticket - world->tickets];
  bool room = world_count (world, KNOWN_RUNNING, MODEL_COST_LONG)
              < world_long_limit (world);

  switch (event.kind)
    {
    case SLOTS_RUN:
      *known = KNOWN_RUNNING;
      CU_ASSERT_TRUE (ticket->deadline > world->now);
      CU_ASSERT_TRUE (world_waiting (world, true, MODEL_COST_SHORT)
                      <= ticket->importance);
      if (room)
        CU_ASSERT_TRUE (world_waiting (world, true, MODEL_COST_LONG)
                        <= ticket->importance);
      if (ticket->cost == MODEL_COST_LONG)
        CU_ASSERT_TRUE (room);
      break;
    case SLOTS_REFUSE:
      *known = KNOWN_IDLE;
      world->ended++;
      if (event.reason == REASON_DEADLINE_QUEUED)
        break;
      CU_ASSERT_TRUE (event.reason == REASON_QUEUE_FULL
                      || event.reason == REASON_EVICTED);
      CU_ASSERT_TRUE (world_waiting (world, false, -1) >= ticket->importance);
      break;
    case SLOTS_QUEUED:
      *known = KNOWN_WAITING;
      break;
    case SLOTS_NOTHING:
      break;
    }
}

static void
world_drain (struct world *world)
{
  struct slots_event event;

  while ((event = slots_next (world->slots, world->now)).kind != SLOTS_NOTHING)
    world_take (world, event);
  CU_ASSERT_EQUAL (slots_running (world->slots),
                   world_count (world, KNOWN_RUNNING, -1));
  CU_ASSERT_EQUAL (slots_waiting (world->slots),
                   world_count (world, KNOWN_WAITING, -1));
  CU_ASSERT_TRUE (slots_limit (world->slots) <= world->opts.slots);
  CU_ASSERT_TRUE (slots_running (world->slots) <= world->opts.slots);
  for (int i = 0; i < TICKETS; i++)
    if (world->known[i] == KNOWN_WAITING)
      CU_ASSERT_TRUE (world->tickets[i].deadline + CLK_US_PER_MS > world->now);
}

/* One random step: a new request, an answer, a withdrawal or time.  */
static void
world_step (struct world *world, struct rng *rng)
{
  int i = (int)rng_below (rng, TICKETS);
  struct slots_ticket *ticket = &world->tickets[i];

  switch (world->known[i])
    {
    case KNOWN_IDLE:
      *ticket = ticket_make ((uint8_t)(rng_below (rng, 5) * 25),
                             (enum model_cost) (rng_below (rng, 3) == 0),
                             world->now, 1000 + rng_below (rng, 200000));
      world->submitted++;
      world_take (world, slots_submit (world->slots, ticket, world->now));
      break;
    case KNOWN_WAITING:
      if (rng_below (rng, 20) != 0)
        return;
      slots_withdraw (world->slots, ticket, world->now);
      world->known[i] = KNOWN_IDLE;
      world->ended++;
      break;
    case KNOWN_RUNNING:
      if (rng_below (rng, 10) == 0)
        slots_withdraw (world->slots, ticket, world->now);
      else
        slots_finish (world->slots, ticket, rng_below (rng, 8) != 0,
                      world->now);
      world->known[i] = KNOWN_IDLE;
      world->ended++;
      break;
    }
  world_drain (world);
  world->now += rng_below (rng, 2000);
  world_drain (world);
}

/* Guards against an important request being refused or left waiting for a
   less important one, against running more than the limit, against requests
   that expire unnoticed and against slots that are never given back.  */
static void
test_random_order (void)
{
  for (uint64_t seed = 1; seed <= 30; seed++)
    {
      struct world world = { .opts = { .slots = 2 + seed % 9,
                                       .queue_max = 1 + seed * 3 % 20,
                                       .long_slots_percent = 10 + seed } };
      struct rng rng;

      rng_seed (&rng, seed);
      world.now = 1000000;
      world.slots = slots_new (&world.opts);
      for (int step = 0; step < 3000; step++)
        world_step (&world, &rng);
      world.now += clk_s (1);
      world_drain (&world);
      for (int i = 0; i < TICKETS; i++)
        if (world.known[i] == KNOWN_RUNNING)
          {
            slots_finish (world.slots, &world.tickets[i], true, world.now);
            world.ended++;
          }
      CU_ASSERT_EQUAL (slots_running (world.slots), 0);
      CU_ASSERT_EQUAL (slots_waiting (world.slots), 0);
      CU_ASSERT_EQUAL (world.submitted, world.ended);
      slots_free (world.slots);
    }
}

/* Runs WAITING until the queue is empty and frees the controller.  */
static void
finish_all (struct slots *slots, clk_us now)
{
  struct slots_event event;

  while ((event = slots_next (slots, now)).kind != SLOTS_NOTHING)
    if (event.kind == SLOTS_RUN)
      slots_withdraw (slots, event.ticket, now);
  slots_free (slots);
}

/* Guards against old requests being run at the cost of fresh ones while the
   server cannot keep up.  */
static void
test_newest_first_under_overload (void)
{
  struct slots_opts opts
      = { .slots = 1, .queue_max = 10, .long_slots_percent = 50 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (1);
  struct slots_ticket tickets[6];

  for (int i = 0; i < 6; i++)
    {
      tickets[i] = ticket_make (50, MODEL_COST_SHORT, now, clk_s (10));
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

/* Guards against long requests that take all slots, or whose wait holds back
   short ones behind them.  */
static void
test_long_share (void)
{
  struct slots_opts opts
      = { .slots = 8, .queue_max = 50, .long_slots_percent = 25 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (1);
  struct slots_ticket sheets[10];
  struct slots_ticket glances[6];

  for (int i = 0; i < 10; i++)
    {
      sheets[i] = ticket_make (90, MODEL_COST_LONG, now, clk_s (10));
      CU_ASSERT_EQUAL (slots_submit (slots, &sheets[i], now).kind,
                       i < 2 ? SLOTS_RUN : SLOTS_QUEUED);
    }
  for (int i = 0; i < 6; i++)
    {
      glances[i] = ticket_make (10, MODEL_COST_SHORT, now, clk_s (10));
      CU_ASSERT_EQUAL (slots_submit (slots, &glances[i], now).kind, SLOTS_RUN);
    }
  CU_ASSERT_EQUAL (slots_next (slots, now).kind, SLOTS_NOTHING);
  slots_withdraw (slots, &sheets[0], now);
  CU_ASSERT_PTR_EQUAL (slots_next (slots, now).ticket, &sheets[2]);
  for (int i = 0; i < 6; i++)
    slots_withdraw (slots, &glances[i], now);
  slots_withdraw (slots, &sheets[1], now);
  slots_withdraw (slots, &sheets[2], now);
  finish_all (slots, now);
}

/* Guards against a wakeup that comes after a deadline, so that a request
   waits longer than it may.  */
static void
test_wakeup_reports_expiry (void)
{
  struct slots_opts opts
      = { .slots = 1, .queue_max = 9, .long_slots_percent = 50 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (5);
  struct slots_ticket holder
      = ticket_make (50, MODEL_COST_SHORT, now, clk_s (900));
  struct slots_ticket late
      = ticket_make (50, MODEL_COST_SHORT, now, clk_s (300));
  struct slots_event event = { .kind = SLOTS_NOTHING };

  CU_ASSERT_EQUAL (slots_wakeup (slots), 0);
  slots_submit (slots, &holder, now);
  slots_submit (slots, &late, now);
  for (int i = 0; i < 10000 && event.kind == SLOTS_NOTHING; i++)
    {
      now = slots_wakeup (slots);
      CU_ASSERT_TRUE (now > 0 && now <= late.deadline + CLK_US_PER_MS);
      event = slots_next (slots, now);
    }
  CU_ASSERT_EQUAL (event.kind, SLOTS_REFUSE);
  CU_ASSERT_EQUAL (event.reason, REASON_DEADLINE_QUEUED);
  CU_ASSERT_TRUE (now >= late.deadline);
  slots_withdraw (slots, &holder, now);
  slots_free (slots);
}

/* Runs a full server for a time.  Its service time is BASE_US, which grows in
   proportion to the running requests beyond CAPACITY.  */
static clk_us
run_full (struct slots *slots, clk_us now, clk_us until, double base_us,
          uint32_t capacity)
{
  static struct slots_ticket tickets[256];
  clk_us ends[256] = { 0 };
  uint32_t limit = 0;

  memset (tickets, 0, sizeof tickets);
  for (; now < until; now += 100)
    for (uint32_t i = 0; i < 100; i++)
      {
        if (tickets[i].state == SLOTS_RUNNING && ends[i] <= now)
          slots_finish (slots, &tickets[i], true, now);
        limit = slots_limit (slots);
        if (tickets[i].state == SLOTS_IDLE && slots_running (slots) < limit)
          {
            double over = (slots_running (slots) + 1.0) / capacity;

            tickets[i] = ticket_make (50, MODEL_COST_SHORT, now, clk_s (60));
            slots_submit (slots, &tickets[i], now);
            ends[i] = now + (clk_us)(base_us * (over > 1 ? over : 1));
          }
      }
  for (uint32_t i = 0; i < 100; i++)
    slots_withdraw (slots, &tickets[i], now);
  return now;
}

/* Guards against a limit that trusts the declared slots of a server that can
   do less, or that stays low when it can do them again.  */
static void
test_limit_follows_capacity (void)
{
  struct slots_opts opts
      = { .slots = 80, .queue_max = 9, .long_slots_percent = 50 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (1);

  now = run_full (slots, now, now + clk_s (5), 10000, 20);
  CU_ASSERT_TRUE (slots_limit (slots) <= 40);
  CU_ASSERT_TRUE (slots_limit (slots) >= 18);
  now = run_full (slots, now, now + clk_s (2), 10000, 100);
  CU_ASSERT_EQUAL (slots_limit (slots), 80);
  slots_free (slots);
}

/* Guards against a limit that is cut although the server is only slow because
   it waits for another service; a low limit would then cost throughput.  */
static void
test_limit_ignores_slow_dependency (void)
{
  struct slots_opts opts
      = { .slots = 80, .queue_max = 9, .long_slots_percent = 50 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (1);

  now = run_full (slots, now, now + clk_s (3), 10000, 100);
  now = run_full (slots, now, now + clk_s (8), 50000, 100);
  CU_ASSERT_EQUAL (slots_limit (slots), 80);
  slots_free (slots);
}

/* Guards against upstream nodes that shed work which would still be run, or
   that keep sending work which never will.  */
static void
test_level (void)
{
  struct slots_opts opts
      = { .slots = 1, .queue_max = 8, .long_slots_percent = 50 };
  struct slots *slots = slots_new (&opts);
  clk_us now = clk_s (1);
  struct slots_ticket tickets[20];

  CU_ASSERT_EQUAL (slots_level (slots, now).importance_min, 0);
  for (int i = 0; i < 20; i++, now += 20000)
    {
      tickets[i] = ticket_make (i % 2 == 0 ? 80 : 20, MODEL_COST_SHORT, now,
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
  CU_ASSERT_EQUAL (slots_level (slots, now).importance_min, 80);
  for (int i = 0; i < 20; i++)
    slots_withdraw (slots, &tickets[i], now);
  CU_ASSERT_EQUAL (slots_level (slots, now).importance_min, 0);
  slots_free (slots);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "random order", test_random_order },
          { "newest first under overload", test_newest_first_under_overload },
          { "long share", test_long_share },
          { "wakeup reports expiry", test_wakeup_reports_expiry },
          { "limit follows capacity", test_limit_follows_capacity },
          { "limit ignores slow dependency",
            test_limit_ignores_slow_dependency },
          { "level", test_level },
          { NULL, NULL } };

  return suite_run ("adm", tests);
}
