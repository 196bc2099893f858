#include "bench/world_impl.h"

#include <stdlib.h>

#include "core/err.h"

/* Retries of a hop with the fixed limit, and the allowance of a chain of the
   mesh: both are the defaults of docs/design.md.  */
#define CALL_FIXED_TRIES 3u
#define CALL_ALLOWANCE 3u

static struct attempt *
attempt_new (struct world *wld)
{
  struct list_node *node = list_pop_head (&wld->free_attempts);
  struct attempt *attempt;

  if (node == NULL)
    attempt = malloc (sizeof *attempt);
  else
    attempt = list_entry (node, struct attempt, node);
  INVARIANT (attempt != NULL);
  *attempt = (struct attempt){ 0 };
  list_push_tail (&wld->attempts, &attempt->owned);
  return attempt;
}

void
attempt_free (struct world *wld, struct attempt *attempt)
{
  list_remove (&attempt->owned);
  list_remove (&attempt->node);
  list_push_tail (&wld->free_attempts, &attempt->node);
}

/* The entry's own part of an attempt ends.  */
static void
attempt_end (struct world *wld, struct attempt *attempt, enum lb_result result)
{
  struct entry *entry = &wld->entries[attempt->entry];
  clk_us now = wld->sim.now;
  bool level = result == LB_ANSWERED || result == LB_REFUSED;

  list_remove (&attempt->node);
  entry->in_flight[attempt->server]--;
  if (attempt->choice == NULL)
    return;
  lb_unwatch (&attempt->watch, now);
  lb_done (entry->chs, attempt->choice, result,
           wld->opts.kind[attempt->kind].cost, now - attempt->started,
           level ? &attempt->level : NULL, now);
  attempt->choice = NULL;
}

/* Server that was tried last time round, as an entry node knows it.  */
static const struct lb_server *
server_tried (const struct entry *entry, uint32_t number)
{
  list_each (node, lb_servers (entry->chs))
    {
      const struct lb_server *server
          = list_entry (node, struct lb_server, node);

      if (server->instance[0] == (char)('0' + number))
        return server;
    }
  return NULL;
}

static struct lb_choice
choice_chs (struct world *wld, const struct call *call)
{
  const struct world_kind *kind = &wld->opts.kind[call->kind];
  struct entry *entry = &wld->entries[call->entry];
  struct lb_query query
      = { .importance = kind->importance, .cost = kind->cost };

  for (uint32_t i = 0; i < call->tries && i < LB_TRIED_MAX; i++)
    query.tried[query.tried_count++] = server_tried (entry, call->tried[i]);
  return lb_pick (entry->chs, &query, &wld->rng, wld->sim.now);
}

static uint32_t
choice_least (const struct world *wld, const struct entry *entry)
{
  uint32_t best = 0;

  for (uint32_t i = 1; i < wld->opts.servers; i++)
    if (entry->in_flight[i] < entry->in_flight[best])
      best = i;
  return best;
}

static uint32_t
choice_two (struct world *wld, const struct entry *entry)
{
  uint32_t a = rng_below (&wld->rng, wld->opts.servers);
  uint32_t b = rng_below (&wld->rng, wld->opts.servers);

  return entry->in_flight[a] <= entry->in_flight[b] ? a : b;
}

/* Chooses a server; false when the call is to be refused.  */
static bool
attempt_choose (struct world *wld, const struct call *call,
                struct attempt *attempt)
{
  const struct entry *entry = &wld->entries[call->entry];
  struct lb_choice choice;

  switch (wld->opts.choice)
    {
    case WORLD_CHOICE_CHS:
      choice = choice_chs (wld, call);
      if (choice.kind != LB_SERVER)
        return false;
      attempt->choice = choice.server;
      attempt->server = (uint32_t)(choice.server->instance[0] - '0');
      return true;
    case WORLD_CHOICE_RANDOM:
      attempt->server = rng_below (&wld->rng, wld->opts.servers);
      return true;
    case WORLD_CHOICE_LEAST:
      attempt->server = choice_least (wld, entry);
      return true;
    case WORLD_CHOICE_TWO_LOADS:
      attempt->server = choice_two (wld, entry);
      return true;
    }
  return false;
}

static void call_fail (struct world *wld, struct call *call);

static void
attempt_start (struct world *wld, struct call *call)
{
  struct attempt *attempt = attempt_new (wld);
  struct entry *entry = &wld->entries[call->entry];
  clk_us now = wld->sim.now;

  if (!attempt_choose (wld, call, attempt))
    {
      attempt_free (wld, attempt);
      if (list_empty (&call->attempts))
        call_fail (wld, call);
      return;
    }
  wld->result->attempts++;
  call->tried[call->tries++ % LB_TRIED_MAX] = attempt->server;
  attempt->call = call;
  attempt->kind = call->kind;
  attempt->entry = call->entry;
  attempt->started = now;
  list_push_tail (&call->attempts, &attempt->node);
  entry->in_flight[attempt->server]++;
  if (attempt->choice != NULL)
    {
      lb_start (entry->chs, attempt->choice, now);
      lb_watch (attempt->choice, &attempt->watch,
                wld->opts.kind[call->kind].cost, now);
    }
  attempt->event.kind = SIM_REACH;
  sim_set (&wld->sim, &attempt->event, now + wld->opts.hop);
}

/* Sends the call for the first time, or again by its caller.  */
static void
call_send (struct world *wld, struct call *call)
{
  const struct world_kind *kind = &wld->opts.kind[call->kind];
  struct entry *entry = &wld->entries[call->entry];
  clk_us delay;

  call->tries = 0;
  call->deadline = wld->sim.now + kind->timeout;
  call->timer.kind = SIM_DEADLINE;
  sim_set (&wld->sim, &call->timer, call->deadline);
  wld->result->first_attempts++;
  if (wld->opts.control == WORLD_OURS)
    retry_budget_first (&entry->budget, wld->sim.now);
  delay = lb_hedge_delay (entry->chs, kind->cost);
  if (wld->opts.hedge && kind->idempotent && delay > 0)
    sim_set (&wld->sim, &call->hedge, wld->sim.now + delay);
  attempt_start (wld, call);
}

static uint32_t
kind_draw (struct world *wld)
{
  double at = rng_unit (&wld->rng);
  uint32_t kind = 0;

  while (kind + 1 < wld->opts.kinds && at >= wld->opts.kind[kind].share)
    at -= wld->opts.kind[kind++].share;
  return kind;
}

void
call_create (struct world *wld)
{
  struct call *call = calloc (1, sizeof *call);

  INVARIANT (call != NULL);
  call->kind = kind_draw (wld);
  call->entry = rng_below (&wld->rng, WORLD_ENTRIES);
  call->resends = wld->opts.resends;
  call->born = wld->sim.now;
  call->allowance.remaining = CALL_ALLOWANCE;
  call->hedge.kind = SIM_HEDGE;
  list_init (&call->attempts);
  list_push_tail (&wld->calls, &call->owned);
  wld->result->calls++;
  call_send (wld, call);
}

static void
call_end (struct world *wld, struct call *call, bool good)
{
  struct world_result_kind *result = &wld->result->kind[call->kind];

  sim_cancel (&call->timer);
  if (call->born >= wld->opts.warm)
    {
      result->offered++;
      result->good += good;
      /* A call that failed took longer than any that was answered.  */
      stats_add (&result->latency, good ? wld->sim.now - call->born
                                        : wld->opts.kind[call->kind].timeout);
    }
  list_remove (&call->owned);
  free (call);
}

/* Lets go of what is still under way.  */
static void
call_abandon (struct world *wld, struct call *call)
{
  sim_cancel (&call->hedge);
  list_each (node, &call->attempts)
    {
      struct attempt *attempt = list_entry (node, struct attempt, node);

      attempt_end (wld, attempt, LB_NO_BLAME);
      node_abandon (wld, attempt);
    }
}

static void
call_fail (struct world *wld, struct call *call)
{
  call_abandon (wld, call);
  if (call->resends == 0)
    {
      call_end (wld, call, false);
      return;
    }
  call->resends--;
  call->timer.kind = SIM_RESEND;
  sim_set (&wld->sim, &call->timer, wld->sim.now + wld->opts.resend_after);
}

void
call_resend (struct world *wld, struct call *call)
{
  call_send (wld, call);
}

void
call_deadline (struct world *wld, struct call *call)
{
  call_fail (wld, call);
}

/* Whether one more attempt fits the bounds of the control.  */
static bool
call_may_retry (struct world *wld, struct call *call)
{
  switch (wld->opts.control)
    {
    case WORLD_NONE:
      return false;
    case WORLD_FIXED:
      return call->tries < CALL_FIXED_TRIES;
    case WORLD_OURS:
      return retry_budget_take (&wld->entries[call->entry].budget,
                                wld->sim.now)
             && retry_take (&call->allowance);
    }
  return false;
}

void
call_hedge (struct world *wld, struct call *call)
{
  if (call->tries == 1 && call_may_retry (wld, call))
    attempt_start (wld, call);
}

void
call_answer (struct world *wld, struct attempt *attempt)
{
  struct call *call = attempt->call;

  if (call == NULL)
    {
      attempt_free (wld, attempt);
      return;
    }
  attempt_end (wld, attempt, attempt->refused ? LB_REFUSED : LB_ANSWERED);
  if (!attempt->refused)
    {
      stats_count (&wld->result->good, wld->sim.now);
      call_abandon (wld, call);
      call_end (wld, call, true);
    }
  else if (call_may_retry (wld, call))
    attempt_start (wld, call);
  else if (list_empty (&call->attempts))
    call_fail (wld, call);
  attempt_free (wld, attempt);
}
