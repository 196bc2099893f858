#include "controllers/adm.h"

#include <stdlib.h>

#include "controllers/wtq.h"
#include "core/err.h"

/* A queue that has not been empty for this long counts as overload: longer
   than bursts that drain within a few service times.  */
#define ADM_OVERLOAD_US clk_ms (100)
/* The admission level is the least importance run in the last one to two of
   these spans; shorter than the 500 ms that upstream nodes trust it.  */
#define ADM_LEVEL_SPAN_US clk_ms (100)
#define ADM_IMPORTANCE_NONE (MDL_IMPORTANCE_MAX + 1)
/* A request is refused when less than this part of the expected service time
   is left: many requests take less than the average.  */
#define ADM_SERVICE_PART 2
#define ADM_SERVICE_GAIN 0.05

struct adm
{
  struct adm_opts opts;
  struct lim lim;
  struct wtq waiting;
  struct whl expiry;
  struct lst refused; /* tickets to be reported by adm_next() */
  uint32_t running;
  uint32_t running_long;
  clk_us busy_since;  /* when the queue was last empty; 0 if it is */
  double service_us;  /* moving average over all kinds */
  clk_us span_at;     /* start of the present span of the level */
  uint8_t span_least; /* least importance run in it */
  uint8_t last_least; /* and in the one before */
};

struct adm *
adm_new (const struct adm_opts *opts)
{
  struct adm *adm = calloc (1, sizeof *adm);

  if (adm == NULL)
    return NULL;
  adm->opts = *opts;
  lim_init (&adm->lim, opts->limit, opts->slots);
  wtq_init (&adm->waiting);
  whl_init (&adm->expiry, 0);
  lst_init (&adm->refused);
  adm->span_least = ADM_IMPORTANCE_NONE;
  adm->last_least = ADM_IMPORTANCE_NONE;
  return adm;
}

void
adm_free (struct adm *adm)
{
  if (adm == NULL)
    return;
  INVARIANT (adm->waiting.count == 0 && lst_empty (&adm->refused));
  free (adm);
}

void
adm_configure (struct adm *adm, const struct adm_opts *opts)
{
  adm->opts = *opts;
  adm->lim.way = opts->limit;
  lim_set_max (&adm->lim, opts->slots);
}

static struct adm_event
event (enum adm_event_kind kind, struct adm_ticket *ticket,
       enum rsn_refusal reason)
{
  return (
      struct adm_event){ .kind = kind, .ticket = ticket, .reason = reason };
}

static bool
adm_overloaded (const struct adm *adm, clk_us now)
{
  return adm->busy_since != 0 && now >= adm->busy_since + ADM_OVERLOAD_US;
}

/* Whether the newest ticket of an importance comes first now.  */
static bool
order_newest_first (const struct adm *adm, clk_us now)
{
  switch (adm->opts.order)
    {
    case ADM_ORDER_ADAPTIVE:
      return adm_overloaded (adm, now);
    case ADM_ORDER_FIFO:
      return false;
    case ADM_ORDER_LIFO:
      return true;
    }
  return false;
}

/* Whether a full queue drops its oldest tickets now.  */
static bool
evict_oldest_first (const struct adm *adm, clk_us now)
{
  switch (adm->opts.evict)
    {
    case ADM_EVICT_LAST:
      return order_newest_first (adm, now);
    case ADM_EVICT_NEWEST:
      return false;
    case ADM_EVICT_OLDEST:
      return true;
    }
  return false;
}

static void
queue_push (struct adm *adm, struct adm_ticket *ticket, clk_us now)
{
  wtq_push (&adm->waiting, ticket);
  ticket->expiry.at = ticket->deadline;
  whl_add (&adm->expiry, &ticket->expiry);
  ticket->state = ADM_WAITING;
  if (adm->busy_since == 0)
    adm->busy_since = now;
}

static void
queue_remove (struct adm *adm, struct adm_ticket *ticket)
{
  wtq_remove (&adm->waiting, ticket);
  whl_remove (&ticket->expiry);
  if (adm->waiting.count == 0)
    adm->busy_since = 0;
}

/* Takes a waiting ticket out of the queue, to be reported as refused.  */
static void
queue_refuse (struct adm *adm, struct adm_ticket *ticket,
              enum rsn_refusal reason)
{
  queue_remove (adm, ticket);
  ticket->reason = reason;
  lst_push_tail (&adm->refused, &ticket->node);
}

static void
queue_expire (struct adm *adm, clk_us now)
{
  struct lst due;
  struct lst_node *node;

  lst_init (&due);
  whl_advance (&adm->expiry, now, &due);
  while ((node = lst_pop_head (&due)) != NULL)
    queue_refuse (adm, lst_entry (node, struct adm_ticket, expiry.node),
                  RSN_DEADLINE_QUEUED);
}

/* Most long requests at a time: their share of the limit, at least one.  */
static uint32_t
long_limit (const struct adm *adm)
{
  uint32_t most = lim_value (&adm->lim) * adm->opts.long_slots_percent / 100;

  return most > 0 ? most : 1;
}

/* Whether a request of this cost may take a slot.  */
static bool
slot_free (const struct adm *adm, enum mdl_cost cost)
{
  if (adm->running >= lim_value (&adm->lim))
    return false;
  return cost == MDL_SHORT || adm->running_long < long_limit (adm);
}

/* Records the importance of a request that runs, for the level.  */
static void
level_note (struct adm *adm, uint8_t importance, clk_us now)
{
  if (now >= adm->span_at + ADM_LEVEL_SPAN_US)
    {
      bool next = now < adm->span_at + 2 * ADM_LEVEL_SPAN_US;

      adm->last_least = next ? adm->span_least : ADM_IMPORTANCE_NONE;
      adm->span_least = ADM_IMPORTANCE_NONE;
      adm->span_at = now;
    }
  if (importance < adm->span_least)
    adm->span_least = importance;
}

static struct adm_event
ticket_run (struct adm *adm, struct adm_ticket *ticket, clk_us now)
{
  INVARIANT (slot_free (adm, ticket->cost));
  adm->running++;
  adm->running_long += ticket->cost == MDL_LONG;
  lim_running (&adm->lim, adm->running, now);
  ticket->state = ADM_RUNNING;
  ticket->started = now;
  level_note (adm, ticket->importance, now);
  return event (ADM_RUN, ticket, RSN_NONE);
}

/* Whether the ticket could hardly finish before its deadline.  */
static bool
ticket_too_late (struct adm *adm, const struct adm_ticket *ticket, clk_us now)
{
  clk_us needed = lim_expected (&adm->lim, ticket->kind) / ADM_SERVICE_PART;

  if (now >= ticket->deadline)
    return true;
  if (now + needed <= ticket->deadline)
    return false;
  lim_doubt (&adm->lim, ticket->kind);
  return true;
}

/* First of a level in the present order.  */
static struct adm_ticket *
queue_front (const struct adm *adm, enum mdl_cost cost, int level, clk_us now)
{
  return order_newest_first (adm, now)
             ? wtq_newest (&adm->waiting, cost, level)
             : wtq_oldest (&adm->waiting, cost, level);
}

/* The waiting ticket to run next, or NULL.  A long one that may not run does
   not stand in the way of a short one.  */
static struct adm_ticket *
queue_pick (const struct adm *adm, clk_us now)
{
  int level[WTQ_COSTS];
  struct adm_ticket *front[WTQ_COSTS];

  for (unsigned cost = 0; cost < WTQ_COSTS; cost++)
    level[cost] = slot_free (adm, (enum mdl_cost)cost)
                      ? wtq_highest (&adm->waiting, (enum mdl_cost)cost)
                      : WTQ_NONE;
  if (level[MDL_SHORT] == WTQ_NONE && level[MDL_LONG] == WTQ_NONE)
    return NULL;
  if (level[MDL_SHORT] != level[MDL_LONG])
    {
      enum mdl_cost cost
          = level[MDL_SHORT] > level[MDL_LONG] ? MDL_SHORT : MDL_LONG;

      return queue_front (adm, cost, level[cost], now);
    }
  for (unsigned cost = 0; cost < WTQ_COSTS; cost++)
    front[cost] = queue_front (adm, (enum mdl_cost)cost, level[cost], now);
  if (order_newest_first (adm, now))
    return front[MDL_LONG]->arrived > front[MDL_SHORT]->arrived
               ? front[MDL_LONG]
               : front[MDL_SHORT];
  return front[MDL_LONG]->arrived < front[MDL_SHORT]->arrived
             ? front[MDL_LONG]
             : front[MDL_SHORT];
}

/* Cost of the ticket that a full queue drops at LEVEL.  Long ones go first
   while they hold more than their share of the queue.  */
static enum mdl_cost
victim_cost (const struct adm *adm, int level)
{
  const struct wtq *waiting = &adm->waiting;
  bool has_short = wtq_lowest (waiting, MDL_SHORT) == level;
  bool has_long = wtq_lowest (waiting, MDL_LONG) == level;
  uint32_t share = adm->opts.queue * adm->opts.long_slots_percent / 100;

  if (!has_short)
    return MDL_LONG;
  return has_long && waiting->counts[MDL_LONG] > share ? MDL_LONG : MDL_SHORT;
}

/* Least important level in the queue, or WTQ_NONE.  */
static int
queue_lowest (const struct adm *adm)
{
  int lowest[WTQ_COSTS];

  for (unsigned cost = 0; cost < WTQ_COSTS; cost++)
    lowest[cost] = wtq_lowest (&adm->waiting, (enum mdl_cost)cost);
  if (lowest[MDL_SHORT] == WTQ_NONE)
    return lowest[MDL_LONG];
  if (lowest[MDL_LONG] == WTQ_NONE)
    return lowest[MDL_SHORT];
  return lowest[MDL_SHORT] < lowest[MDL_LONG] ? lowest[MDL_SHORT]
                                              : lowest[MDL_LONG];
}

/* The waiting ticket that a full queue drops for TICKET, or NULL when TICKET
   itself has to go.  */
static struct adm_ticket *
queue_victim (const struct adm *adm, const struct adm_ticket *ticket,
              clk_us now)
{
  int level = queue_lowest (adm);
  bool oldest = evict_oldest_first (adm, now);
  enum mdl_cost cost;

  if (level == WTQ_NONE || level > ticket->importance)
    return NULL;
  cost = victim_cost (adm, level);
  if (level == ticket->importance && !oldest && cost == ticket->cost)
    return NULL;
  if (level == ticket->importance && cost == MDL_SHORT
      && ticket->cost == MDL_LONG)
    return NULL;
  return oldest ? wtq_oldest (&adm->waiting, cost, level)
                : wtq_newest (&adm->waiting, cost, level);
}

struct adm_event
adm_submit (struct adm *adm, struct adm_ticket *ticket, clk_us now)
{
  INVARIANT (ticket->state == ADM_IDLE);
  queue_expire (adm, now);
  if (ticket_too_late (adm, ticket, now))
    return event (ADM_REFUSE, ticket, RSN_DEADLINE_QUEUED);
  if (slot_free (adm, ticket->cost) && queue_pick (adm, now) == NULL)
    return ticket_run (adm, ticket, now);
  if (adm->waiting.count >= adm->opts.queue)
    {
      struct adm_ticket *victim = queue_victim (adm, ticket, now);

      if (victim == NULL)
        {
          int lowest = queue_lowest (adm);

          INVARIANT (lowest == WTQ_NONE || lowest >= ticket->importance);
          return event (ADM_REFUSE, ticket, RSN_QUEUE_FULL);
        }
      INVARIANT (victim->importance <= ticket->importance);
      queue_refuse (adm, victim, RSN_EVICTED);
    }
  queue_push (adm, ticket, now);
  return event (ADM_QUEUED, ticket, RSN_NONE);
}

struct adm_event
adm_next (struct adm *adm, clk_us now)
{
  struct lst_node *node;
  struct adm_ticket *ticket;

  queue_expire (adm, now);
  node = lst_pop_head (&adm->refused);
  if (node != NULL)
    {
      enum rsn_refusal reason;

      ticket = lst_entry (node, struct adm_ticket, node);
      reason = ticket->reason;
      ticket->reason = RSN_NONE;
      ticket->state = ADM_IDLE;
      return event (ADM_REFUSE, ticket, reason);
    }
  ticket = queue_pick (adm, now);
  if (ticket == NULL)
    return event (ADM_NOTHING, NULL, RSN_NONE);
  queue_remove (adm, ticket);
  if (!ticket_too_late (adm, ticket, now))
    return ticket_run (adm, ticket, now);
  ticket->state = ADM_IDLE;
  return event (ADM_REFUSE, ticket, RSN_DEADLINE_QUEUED);
}

static void
slot_release (struct adm *adm, struct adm_ticket *ticket, clk_us now)
{
  INVARIANT (ticket->state == ADM_RUNNING && adm->running > 0);
  adm->running--;
  if (ticket->cost == MDL_LONG)
    {
      INVARIANT (adm->running_long > 0);
      adm->running_long--;
    }
  lim_running (&adm->lim, adm->running, now);
  ticket->state = ADM_IDLE;
}

void
adm_finish (struct adm *adm, struct adm_ticket *ticket, bool ok, clk_us now)
{
  struct lim_sample sample = {
    .kind = ticket->kind,
    .service = now > ticket->started ? now - ticket->started : 1,
    .full = adm->running >= lim_value (&adm->lim),
  };

  slot_release (adm, ticket, now);
  /* A failure says nothing about the time that an answer takes.  */
  if (!ok)
    return;
  adm->service_us += ((double)sample.service - adm->service_us)
                     * (adm->service_us > 0 ? ADM_SERVICE_GAIN : 1);
  lim_add (&adm->lim, &sample, now);
}

void
adm_withdraw (struct adm *adm, struct adm_ticket *ticket, clk_us now)
{
  switch (ticket->state)
    {
    case ADM_IDLE:
      return;
    case ADM_RUNNING:
      slot_release (adm, ticket, now);
      return;
    case ADM_WAITING:
      if (ticket->reason != RSN_NONE)
        lst_remove (&ticket->node);
      else
        queue_remove (adm, ticket);
      ticket->reason = RSN_NONE;
      ticket->state = ADM_IDLE;
      return;
    }
}

struct adm_level
adm_level (const struct adm *adm, clk_us now)
{
  struct adm_level level = { 0 };
  uint8_t least
      = adm->span_least < adm->last_least ? adm->span_least : adm->last_least;

  level.wait_us = (uint32_t)(adm->waiting.count * adm->service_us
                             / lim_value (&adm->lim));
  if (adm_overloaded (adm, now) && least <= MDL_IMPORTANCE_MAX)
    level.importance = least;
  return level;
}

clk_us
adm_wakeup (const struct adm *adm)
{
  return lst_empty (&adm->refused) ? whl_next (&adm->expiry) : 1;
}

uint32_t
adm_least_waiting (const struct adm *adm)
{
  int lowest = queue_lowest (adm);

  return lowest == WTQ_NONE ? ADM_IMPORTANCE_NONE : (uint32_t)lowest;
}

uint32_t
adm_running (const struct adm *adm)
{
  return adm->running;
}

uint32_t
adm_waiting (const struct adm *adm)
{
  return adm->waiting.count;
}

uint32_t
adm_limit (const struct adm *adm)
{
  return lim_value (&adm->lim);
}
