#include "controllers/slots.h"

#include <stdlib.h>

#include "controllers/waitq.h"
#include "core/err.h"

/* The server is overloaded when its queue has not been empty for this long,
   which is longer than bursts that drain within a few service times.  */
#define SLOTS_OVERLOAD_US clk_ms (100)
/* The admission level is the lowest importance that has run in the current
   span and the one before.  A span is shorter than the 500 ms for which
   upstream nodes use a level.  */
#define SLOTS_LEVEL_SPAN_US clk_ms (100)
/* No request has run in the span.  */
#define SLOTS_IMPORTANCE_NONE (MODEL_IMPORTANCE_MAX + 1)
/* A request is refused when less than the expected service time divided by
   this is left: many requests take less than the average.  */
#define SLOTS_SERVICE_TIME_DIVISOR 2
/* Weight of an answer in the moving average of the service time.  */
#define SLOTS_SERVICE_TIME_GAIN 0.05

struct slots
{
  struct slots_opts opts;
  struct limiter limiter;
  struct waitq waiting;
  struct wheel expiry; /* timers of the queued tickets, at their deadlines */
  struct list refused; /* tickets to be reported by slots_next() */
  uint32_t running;
  uint32_t running_long;
  clk_us
      queued_since; /* time since which requests are queued; 0 when none is */
  double
      service_time_us; /* moving average of the service time over all kinds */
  clk_us span_start;   /* start of the current span of the level */
  uint8_t span_importance_min;     /* lowest importance that has run in it */
  uint8_t previous_importance_min; /* the same of the span before */
};

struct slots *
slots_new (const struct slots_opts *opts)
{
  struct slots *slots = calloc (1, sizeof *slots);

  if (slots == NULL)
    return NULL;
  slots->opts = *opts;
  limiter_init (&slots->limiter, opts->limit_mode, opts->slots);
  waitq_init (&slots->waiting);
  wheel_init (&slots->expiry, 0);
  list_init (&slots->refused);
  slots->span_importance_min = SLOTS_IMPORTANCE_NONE;
  slots->previous_importance_min = SLOTS_IMPORTANCE_NONE;
  return slots;
}

void
slots_free (struct slots *slots)
{
  if (slots == NULL)
    return;
  INVARIANT (slots->waiting.count == 0 && list_empty (&slots->refused));
  free (slots);
}

void
slots_configure (struct slots *slots, const struct slots_opts *opts)
{
  slots->opts = *opts;
  slots->limiter.mode = opts->limit_mode;
  limiter_set_max (&slots->limiter, opts->slots);
}

static struct slots_event
make_event (enum slots_event_kind kind, struct slots_ticket *ticket,
            enum reason_refusal reason)
{
  return (
      struct slots_event){ .kind = kind, .ticket = ticket, .reason = reason };
}

static bool
slots_overloaded (const struct slots *slots, clk_us now)
{
  return slots->queued_since != 0
         && now >= slots->queued_since + SLOTS_OVERLOAD_US;
}

/* Whether the newest ticket of an importance runs first.  */
static bool
order_newest_first (const struct slots *slots, clk_us now)
{
  switch (slots->opts.order)
    {
    case SLOTS_ORDER_ADAPTIVE:
      return slots_overloaded (slots, now);
    case SLOTS_ORDER_FIFO:
      return false;
    case SLOTS_ORDER_LIFO:
      return true;
    }
  return false;
}

/* Whether a full queue drops its oldest tickets.  */
static bool
evict_oldest_first (const struct slots *slots, clk_us now)
{
  switch (slots->opts.evict)
    {
    case SLOTS_EVICT_LAST:
      return order_newest_first (slots, now);
    case SLOTS_EVICT_NEWEST:
      return false;
    case SLOTS_EVICT_OLDEST:
      return true;
    }
  return false;
}

static void
queue_push (struct slots *slots, struct slots_ticket *ticket, clk_us now)
{
  waitq_push (&slots->waiting, ticket);
  ticket->expiry.at = ticket->deadline;
  wheel_add (&slots->expiry, &ticket->expiry);
  ticket->state = SLOTS_WAITING;
  if (slots->queued_since == 0)
    slots->queued_since = now;
}

static void
queue_remove (struct slots *slots, struct slots_ticket *ticket)
{
  waitq_remove (&slots->waiting, ticket);
  wheel_remove (&ticket->expiry);
  if (slots->waiting.count == 0)
    slots->queued_since = 0;
}

/* Removes a ticket from the queue and lists it as refused for
   slots_next().  */
static void
queue_refuse (struct slots *slots, struct slots_ticket *ticket,
              enum reason_refusal reason)
{
  queue_remove (slots, ticket);
  ticket->reason = reason;
  list_push_tail (&slots->refused, &ticket->node);
}

static void
queue_expire (struct slots *slots, clk_us now)
{
  struct list due;
  struct list_node *node;

  list_init (&due);
  wheel_advance (&slots->expiry, now, &due);
  while ((node = list_pop_head (&due)) != NULL)
    queue_refuse (slots, list_entry (node, struct slots_ticket, expiry.node),
                  REASON_DEADLINE_QUEUED);
}

/* Maximum number of concurrent long requests: their share of the limit, at
   least one.  */
static uint32_t
long_slots_max (const struct slots *slots)
{
  uint32_t slots_max
      = limiter_limit (&slots->limiter) * slots->opts.long_slots_percent / 100;

  return slots_max > 0 ? slots_max : 1;
}

/* Whether a request of this cost can get a slot.  */
static bool
slot_is_available (const struct slots *slots, enum model_cost cost)
{
  if (slots->running >= limiter_limit (&slots->limiter))
    return false;
  return cost == MODEL_COST_SHORT
         || slots->running_long < long_slots_max (slots);
}

/* Records the importance of a request that runs, for the admission level.  */
static void
level_record (struct slots *slots, uint8_t importance, clk_us now)
{
  if (now >= slots->span_start + SLOTS_LEVEL_SPAN_US)
    {
      bool adjacent = now < slots->span_start + 2 * SLOTS_LEVEL_SPAN_US;

      slots->previous_importance_min
          = adjacent ? slots->span_importance_min : SLOTS_IMPORTANCE_NONE;
      slots->span_importance_min = SLOTS_IMPORTANCE_NONE;
      slots->span_start = now;
    }
  if (importance < slots->span_importance_min)
    slots->span_importance_min = importance;
}

static struct slots_event
ticket_run (struct slots *slots, struct slots_ticket *ticket, clk_us now)
{
  INVARIANT (slot_is_available (slots, ticket->cost));
  slots->running++;
  slots->running_long += ticket->cost == MODEL_COST_LONG;
  limiter_set_running (&slots->limiter, slots->running, now);
  ticket->state = SLOTS_RUNNING;
  ticket->started = now;
  level_record (slots, ticket->importance, now);
  return make_event (SLOTS_RUN, ticket, REASON_NONE);
}

/* Whether the ticket is unlikely to finish before its deadline.  If the
   expected service time is the reason, it is lowered slightly.  */
static bool
ticket_too_late (struct slots *slots, const struct slots_ticket *ticket,
                 clk_us now)
{
  clk_us needed_time
      = limiter_expected_service_time (&slots->limiter, ticket->kind)
        / SLOTS_SERVICE_TIME_DIVISOR;

  if (now >= ticket->deadline)
    return true;
  if (now + needed_time <= ticket->deadline)
    return false;
  limiter_lower_expected_service_time (&slots->limiter, ticket->kind);
  return true;
}

/* First ticket of an importance level in the current order.  */
static struct slots_ticket *
queue_front (const struct slots *slots, enum model_cost cost, int level,
             clk_us now)
{
  return order_newest_first (slots, now)
             ? waitq_newest (&slots->waiting, cost, level)
             : waitq_oldest (&slots->waiting, cost, level);
}

/* The queued ticket to run next, or NULL.  A long ticket that cannot get a
   slot does not block a short one.  */
static struct slots_ticket *
queue_pick (const struct slots *slots, clk_us now)
{
  int level[WAITQ_COSTS];
  struct slots_ticket *front[WAITQ_COSTS];

  for (unsigned cost = 0; cost < WAITQ_COSTS; cost++)
    level[cost] = slot_is_available (slots, (enum model_cost)cost)
                      ? waitq_highest (&slots->waiting, (enum model_cost)cost)
                      : WAITQ_NONE;
  if (level[MODEL_COST_SHORT] == WAITQ_NONE
      && level[MODEL_COST_LONG] == WAITQ_NONE)
    return NULL;
  if (level[MODEL_COST_SHORT] != level[MODEL_COST_LONG])
    {
      enum model_cost cost = level[MODEL_COST_SHORT] > level[MODEL_COST_LONG]
                                 ? MODEL_COST_SHORT
                                 : MODEL_COST_LONG;

      return queue_front (slots, cost, level[cost], now);
    }
  for (unsigned cost = 0; cost < WAITQ_COSTS; cost++)
    front[cost] = queue_front (slots, (enum model_cost)cost, level[cost], now);
  if (order_newest_first (slots, now))
    return front[MODEL_COST_LONG]->arrived > front[MODEL_COST_SHORT]->arrived
               ? front[MODEL_COST_LONG]
               : front[MODEL_COST_SHORT];
  return front[MODEL_COST_LONG]->arrived < front[MODEL_COST_SHORT]->arrived
             ? front[MODEL_COST_LONG]
             : front[MODEL_COST_SHORT];
}

/* Cost of the ticket that a full queue drops at LEVEL.  Long ones are dropped
   first while they hold more than their share of the queue.  */
static enum model_cost
victim_cost (const struct slots *slots, int level)
{
  const struct waitq *waiting = &slots->waiting;
  bool has_short = waitq_lowest (waiting, MODEL_COST_SHORT) == level;
  bool has_long = waitq_lowest (waiting, MODEL_COST_LONG) == level;
  uint32_t share
      = slots->opts.queue_max * slots->opts.long_slots_percent / 100;

  if (!has_short)
    return MODEL_COST_LONG;
  return has_long && waiting->counts[MODEL_COST_LONG] > share
             ? MODEL_COST_LONG
             : MODEL_COST_SHORT;
}

/* Lowest importance level in the queue, or WAITQ_NONE.  */
static int
queue_lowest (const struct slots *slots)
{
  int lowest[WAITQ_COSTS];

  for (unsigned cost = 0; cost < WAITQ_COSTS; cost++)
    lowest[cost] = waitq_lowest (&slots->waiting, (enum model_cost)cost);
  if (lowest[MODEL_COST_SHORT] == WAITQ_NONE)
    return lowest[MODEL_COST_LONG];
  if (lowest[MODEL_COST_LONG] == WAITQ_NONE)
    return lowest[MODEL_COST_SHORT];
  return lowest[MODEL_COST_SHORT] < lowest[MODEL_COST_LONG]
             ? lowest[MODEL_COST_SHORT]
             : lowest[MODEL_COST_LONG];
}

/* The queued ticket that a full queue drops for TICKET, or NULL when TICKET
   itself is to be refused.  */
static struct slots_ticket *
queue_victim (const struct slots *slots, const struct slots_ticket *ticket,
              clk_us now)
{
  int level = queue_lowest (slots);
  bool oldest_first = evict_oldest_first (slots, now);
  enum model_cost cost;

  if (level == WAITQ_NONE || level > ticket->importance)
    return NULL;
  cost = victim_cost (slots, level);
  if (level == ticket->importance && !oldest_first && cost == ticket->cost)
    return NULL;
  if (level == ticket->importance && cost == MODEL_COST_SHORT
      && ticket->cost == MODEL_COST_LONG)
    return NULL;
  return oldest_first ? waitq_oldest (&slots->waiting, cost, level)
                      : waitq_newest (&slots->waiting, cost, level);
}

struct slots_event
slots_submit (struct slots *slots, struct slots_ticket *ticket, clk_us now)
{
  INVARIANT (ticket->state == SLOTS_IDLE);
  queue_expire (slots, now);
  if (ticket_too_late (slots, ticket, now))
    return make_event (SLOTS_REFUSE, ticket, REASON_DEADLINE_QUEUED);
  if (slot_is_available (slots, ticket->cost)
      && queue_pick (slots, now) == NULL)
    return ticket_run (slots, ticket, now);
  if (slots->waiting.count >= slots->opts.queue_max)
    {
      struct slots_ticket *victim = queue_victim (slots, ticket, now);

      if (victim == NULL)
        {
          int lowest = queue_lowest (slots);

          INVARIANT (lowest == WAITQ_NONE || lowest >= ticket->importance);
          return make_event (SLOTS_REFUSE, ticket, REASON_QUEUE_FULL);
        }
      INVARIANT (victim->importance <= ticket->importance);
      queue_refuse (slots, victim, REASON_EVICTED);
    }
  queue_push (slots, ticket, now);
  return make_event (SLOTS_QUEUED, ticket, REASON_NONE);
}

struct slots_event
slots_next (struct slots *slots, clk_us now)
{
  struct list_node *node;
  struct slots_ticket *ticket;

  queue_expire (slots, now);
  node = list_pop_head (&slots->refused);
  if (node != NULL)
    {
      enum reason_refusal reason;

      ticket = list_entry (node, struct slots_ticket, node);
      reason = ticket->reason;
      ticket->reason = REASON_NONE;
      ticket->state = SLOTS_IDLE;
      return make_event (SLOTS_REFUSE, ticket, reason);
    }
  ticket = queue_pick (slots, now);
  if (ticket == NULL)
    return make_event (SLOTS_NOTHING, NULL, REASON_NONE);
  queue_remove (slots, ticket);
  if (!ticket_too_late (slots, ticket, now))
    return ticket_run (slots, ticket, now);
  ticket->state = SLOTS_IDLE;
  return make_event (SLOTS_REFUSE, ticket, REASON_DEADLINE_QUEUED);
}

static void
slot_release (struct slots *slots, struct slots_ticket *ticket, clk_us now)
{
  INVARIANT (ticket->state == SLOTS_RUNNING && slots->running > 0);
  slots->running--;
  if (ticket->cost == MODEL_COST_LONG)
    {
      INVARIANT (slots->running_long > 0);
      slots->running_long--;
    }
  limiter_set_running (&slots->limiter, slots->running, now);
  ticket->state = SLOTS_IDLE;
}

void
slots_finish (struct slots *slots, struct slots_ticket *ticket, bool answered,
              clk_us now)
{
  struct limiter_sample sample = {
    .kind = ticket->kind,
    .service_time = now > ticket->started ? now - ticket->started : 1,
    .full = slots->running >= limiter_limit (&slots->limiter),
  };

  slot_release (slots, ticket, now);
  /* The duration of a failed request is not a sample of the service time.  */
  if (!answered)
    return;
  slots->service_time_us
      += ((double)sample.service_time - slots->service_time_us)
         * (slots->service_time_us > 0 ? SLOTS_SERVICE_TIME_GAIN : 1);
  limiter_add_sample (&slots->limiter, &sample, now);
}

void
slots_withdraw (struct slots *slots, struct slots_ticket *ticket, clk_us now)
{
  switch (ticket->state)
    {
    case SLOTS_IDLE:
      return;
    case SLOTS_RUNNING:
      slot_release (slots, ticket, now);
      return;
    case SLOTS_WAITING:
      if (ticket->reason != REASON_NONE)
        list_remove (&ticket->node);
      else
        queue_remove (slots, ticket);
      ticket->reason = REASON_NONE;
      ticket->state = SLOTS_IDLE;
      return;
    }
}

struct slots_level
slots_admission_level (const struct slots *slots, clk_us now)
{
  struct slots_level level = { 0 };
  uint8_t importance_min
      = slots->span_importance_min < slots->previous_importance_min
            ? slots->span_importance_min
            : slots->previous_importance_min;

  level.wait_us = (uint32_t)(slots->waiting.count * slots->service_time_us
                             / limiter_limit (&slots->limiter));
  if (slots_overloaded (slots, now) && importance_min <= MODEL_IMPORTANCE_MAX)
    level.importance_min = importance_min;
  return level;
}

clk_us
slots_wakeup_time (const struct slots *slots)
{
  return list_empty (&slots->refused) ? wheel_next_time (&slots->expiry) : 1;
}

uint32_t
slots_waiting_importance_min (const struct slots *slots)
{
  int lowest = queue_lowest (slots);

  return lowest == WAITQ_NONE ? SLOTS_IMPORTANCE_NONE : (uint32_t)lowest;
}

uint32_t
slots_running (const struct slots *slots)
{
  return slots->running;
}

uint32_t
slots_waiting (const struct slots *slots)
{
  return slots->waiting.count;
}

uint32_t
slots_limit (const struct slots *slots)
{
  return limiter_limit (&slots->limiter);
}
