#include "bench/world_impl.h"

#include <stdlib.h>

#include "core/err.h"

/* Attempts per hop with WORLD_FIXED, and retry allowance of a chain with
   WORLD_ADAPTIVE: the defaults in docs/design.md.  */
#define CALL_FIXED_ATTEMPTS 3u
#define CALL_ALLOWANCE 3u

static struct world_attempt *
attempt_new (struct world *world)
{
  struct list_node *node = list_pop_head (&world->free_attempts);
  struct world_attempt *attempt;

  if (node == NULL)
    attempt = malloc (sizeof *attempt);
  else
    attempt = list_entry (node, struct world_attempt, node);
  INVARIANT (attempt != NULL);
  *attempt = (struct world_attempt){ 0 };
  list_push_tail (&world->attempts, &attempt->attempts_node);
  return attempt;
}

void
attempt_free (struct world *world, struct world_attempt *attempt)
{
  list_remove (&attempt->attempts_node);
  list_remove (&attempt->node);
  list_push_tail (&world->free_attempts, &attempt->node);
}

/* Ends the accounting of an attempt at its entry node.  */
static void
attempt_end (struct world *world, struct world_attempt *attempt,
             enum lb_result result)
{
  struct world_entry *entry = &world->entries[attempt->entry];
  clk_us now = world->sim.now;
  bool has_level = result == LB_ANSWERED || result == LB_REFUSED;

  list_remove (&attempt->node);
  entry->in_flight[attempt->server]--;
  if (attempt->lb_server == NULL)
    return;
  lb_watch_end (&attempt->watch, now);
  lb_attempt_end (entry->lb, attempt->lb_server, result,
                  world->opts.kind[attempt->kind].cost,
                  now - attempt->started_at,
                  has_level ? &attempt->level : NULL, now);
  attempt->lb_server = NULL;
}

/* Server with this number, in the load balancer of ENTRY.  */
static const struct lb_server *
server_by_number (const struct world_entry *entry, uint32_t number)
{
  list_each (node, lb_servers (entry->lb))
    {
      const struct lb_server *server
          = list_entry (node, struct lb_server, node);

      if (server->instance[0] == (char)('0' + number))
        return server;
    }
  return NULL;
}

static struct lb_choice
choice_lb (struct world *world, const struct world_call *call)
{
  const struct world_kind *kind = &world->opts.kind[call->kind];
  struct world_entry *entry = &world->entries[call->entry];
  struct lb_query query
      = { .importance = kind->importance, .cost = kind->cost };

  for (uint32_t i = 0; i < call->attempt_count && i < LB_TRIED_MAX; i++)
    query.tried[query.tried_count++]
        = server_by_number (entry, call->tried[i]);
  return lb_pick (entry->lb, &query, &world->rng, world->sim.now);
}

static uint32_t
choice_least_requests (const struct world *world,
                       const struct world_entry *entry)
{
  uint32_t least = 0;

  for (uint32_t i = 1; i < world->opts.servers; i++)
    if (entry->in_flight[i] < entry->in_flight[least])
      least = i;
  return least;
}

static uint32_t
choice_two_random (struct world *world, const struct world_entry *entry)
{
  uint32_t a = rng_below (&world->rng, world->opts.servers);
  uint32_t b = rng_below (&world->rng, world->opts.servers);

  return entry->in_flight[a] <= entry->in_flight[b] ? a : b;
}

/* Chooses a server; false when the call is to be refused.  */
static bool
attempt_choose (struct world *world, const struct world_call *call,
                struct world_attempt *attempt)
{
  const struct world_entry *entry = &world->entries[call->entry];
  struct lb_choice choice;

  switch (world->opts.choice)
    {
    case WORLD_CHOICE_LB:
      choice = choice_lb (world, call);
      if (choice.kind != LB_SERVER)
        return false;
      attempt->lb_server = choice.server;
      attempt->server = (uint32_t)(choice.server->instance[0] - '0');
      return true;
    case WORLD_CHOICE_RANDOM:
      attempt->server = rng_below (&world->rng, world->opts.servers);
      return true;
    case WORLD_CHOICE_LEAST_REQUESTS:
      attempt->server = choice_least_requests (world, entry);
      return true;
    case WORLD_CHOICE_TWO_RANDOM:
      attempt->server = choice_two_random (world, entry);
      return true;
    }
  return false;
}

static void call_fail (struct world *world, struct world_call *call);

static void
attempt_start (struct world *world, struct world_call *call)
{
  struct world_attempt *attempt = attempt_new (world);
  struct world_entry *entry = &world->entries[call->entry];
  clk_us now = world->sim.now;

  if (!attempt_choose (world, call, attempt))
    {
      attempt_free (world, attempt);
      if (list_empty (&call->attempts))
        call_fail (world, call);
      return;
    }
  world->result->attempts++;
  call->tried[call->attempt_count++ % LB_TRIED_MAX] = attempt->server;
  attempt->call = call;
  attempt->kind = call->kind;
  attempt->entry = call->entry;
  attempt->started_at = now;
  list_push_tail (&call->attempts, &attempt->node);
  entry->in_flight[attempt->server]++;
  if (attempt->lb_server != NULL)
    {
      lb_attempt_start (entry->lb, attempt->lb_server, now);
      lb_watch_start (attempt->lb_server, &attempt->watch,
                      world->opts.kind[call->kind].cost, now);
    }
  attempt->event.kind = SIM_REACH;
  sim_schedule (&world->sim, &attempt->event, now + world->opts.hop_delay);
}

/* Sends the call from its caller, for the first time or again.  */
static void
call_send (struct world *world, struct world_call *call)
{
  const struct world_kind *kind = &world->opts.kind[call->kind];
  struct world_entry *entry = &world->entries[call->entry];
  clk_us delay;

  call->attempt_count = 0;
  call->deadline = world->sim.now + kind->timeout;
  call->timer.kind = SIM_DEADLINE;
  sim_schedule (&world->sim, &call->timer, call->deadline);
  world->result->first_attempts++;
  if (world->opts.control == WORLD_ADAPTIVE)
    retry_budget_earn (&entry->budget, world->sim.now);
  delay = lb_hedge_delay (entry->lb, kind->cost);
  if (world->opts.hedge && kind->idempotent && delay > 0)
    sim_schedule (&world->sim, &call->hedge, world->sim.now + delay);
  attempt_start (world, call);
}

static uint32_t
kind_draw (struct world *world)
{
  double at = rng_uniform (&world->rng);
  uint32_t kind = 0;

  while (kind + 1 < world->opts.kinds && at >= world->opts.kind[kind].share)
    at -= world->opts.kind[kind++].share;
  return kind;
}

void
call_create (struct world *world)
{
  struct world_call *call = calloc (1, sizeof *call);

  INVARIANT (call != NULL);
  call->kind = kind_draw (world);
  call->entry = rng_below (&world->rng, WORLD_ENTRIES);
  call->resends = world->opts.resends;
  call->created_at = world->sim.now;
  call->allowance.remaining = CALL_ALLOWANCE;
  call->hedge.kind = SIM_HEDGE;
  list_init (&call->attempts);
  list_push_tail (&world->calls, &call->calls_node);
  world->result->calls++;
  call_send (world, call);
}

static void
call_end (struct world *world, struct world_call *call, bool good)
{
  struct world_result_kind *result = &world->result->kind[call->kind];

  sim_cancel (&call->timer);
  if (call->created_at >= world->opts.warmup)
    {
      result->offered++;
      result->good += good;
      /* A failed call took longer than a successful one; the timeout is
         recorded as its latency.  */
      stats_add_sample (&result->latency,
                        good ? world->sim.now - call->created_at
                             : world->opts.kind[call->kind].timeout);
    }
  list_remove (&call->calls_node);
  free (call);
}

/* Cancels the hedge timer and abandons all attempts in flight.  */
static void
call_abandon (struct world *world, struct world_call *call)
{
  sim_cancel (&call->hedge);
  list_each (node, &call->attempts)
    {
      struct world_attempt *attempt
          = list_entry (node, struct world_attempt, node);

      attempt_end (world, attempt, LB_IGNORED);
      node_abandon (world, attempt);
    }
}

static void
call_fail (struct world *world, struct world_call *call)
{
  call_abandon (world, call);
  if (call->resends == 0)
    {
      call_end (world, call, false);
      return;
    }
  call->resends--;
  call->timer.kind = SIM_RESEND;
  sim_schedule (&world->sim, &call->timer,
                world->sim.now + world->opts.resend_delay);
}

void
call_resend (struct world *world, struct world_call *call)
{
  call_send (world, call);
}

void
call_deadline (struct world *world, struct world_call *call)
{
  call_fail (world, call);
}

/* Whether the retry limits of the control allow one more attempt.  */
static bool
call_may_retry (struct world *world, struct world_call *call)
{
  switch (world->opts.control)
    {
    case WORLD_NONE:
      return false;
    case WORLD_FIXED:
      return call->attempt_count < CALL_FIXED_ATTEMPTS;
    case WORLD_ADAPTIVE:
      return retry_budget_take (&world->entries[call->entry].budget,
                                world->sim.now)
             && retry_allowance_take (&call->allowance);
    }
  return false;
}

void
call_hedge (struct world *world, struct world_call *call)
{
  if (call->attempt_count == 1 && call_may_retry (world, call))
    attempt_start (world, call);
}

void
call_answer (struct world *world, struct world_attempt *attempt)
{
  struct world_call *call = attempt->call;

  if (call == NULL)
    {
      attempt_free (world, attempt);
      return;
    }
  attempt_end (world, attempt, attempt->refused ? LB_REFUSED : LB_ANSWERED);
  if (!attempt->refused)
    {
      stats_count_event (&world->result->goodput, world->sim.now);
      call_abandon (world, call);
      call_end (world, call, true);
    }
  else if (call_may_retry (world, call))
    attempt_start (world, call);
  else if (list_empty (&call->attempts))
    call_fail (world, call);
  attempt_free (world, attempt);
}
