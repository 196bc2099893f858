#ifndef CONTROLLERS_SLOTS_H
#define CONTROLLERS_SLOTS_H

/**
 * DOC: slots - admission at the node beside the backend server
 *
 * Decides which requests hold the server's slots.  The concurrency limit
 * follows observed latency (limiter.h); the declared slots are its upper
 * bound. Waiting requests are ordered by importance, then age; under overload
 * the newest of an importance comes first.  Long requests hold at most a
 * declared share of the limit.  Tickets are embedded in the request and owned
 * by the caller; a linked ticket must be withdrawn before it is freed.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/limiter.h"
#include "controllers/wheel.h"
#include "core/clk.h"
#include "core/list.h"
#include "core/model.h"
#include "core/reason.h"

struct slots;

/* Order of waiting requests of one importance.  */
enum slots_order
{
  SLOTS_ORDER_ADAPTIVE, /* oldest first, newest first under overload */
  SLOTS_ORDER_FIFO,     /* to compare in the benchmark, like the next */
  SLOTS_ORDER_LIFO,
};

/* Which waiting request of the least importance a full queue drops.  */
enum slots_evict
{
  SLOTS_EVICT_LAST,   /* the one that would be served last */
  SLOTS_EVICT_NEWEST, /* to compare in the benchmark, like the next */
  SLOTS_EVICT_OLDEST,
};

/* The zero value of each policy is the one that is used in production.  */
struct slots_opts
{
  uint32_t slots;              /* concurrent requests of the server */
  uint32_t queue_max;          /* most waiting requests */
  uint32_t long_slots_percent; /* share of the limit for long requests */
  enum limiter_mode limit_mode;
  enum slots_order order;
  enum slots_evict evict;
};

enum slots_state
{
  SLOTS_IDLE,
  SLOTS_WAITING,
  SLOTS_RUNNING,
};

/* Must be zero when it is submitted, but for what the caller sets.  */
struct slots_ticket
{
  struct list_node node;
  struct wheel_timer expiry;
  enum slots_state state;
  enum reason_refusal
      reason; /* refused and not yet reported by slots_next() */
  uint8_t importance;
  enum model_cost cost;
  uint32_t kind;  /* index of the kind, to learn the cost of each */
  clk_us arrived; /* not after the time of the submit */
  clk_us started;
  clk_us deadline; /* absolute */
};

enum slots_event_kind
{
  SLOTS_NOTHING, /* no more events now */
  SLOTS_RUN,     /* the ticket holds a slot */
  SLOTS_REFUSE,  /* the ticket is refused with a reason, not run */
  SLOTS_QUEUED,  /* the ticket waits; slots_next() reports it later */
};

struct slots_event
{
  enum slots_event_kind kind;
  struct slots_ticket *ticket;
  enum reason_refusal reason; /* for SLOTS_REFUSE */
};

/* What a node tells upstream nodes on each answer.  */
struct slots_level
{
  uint8_t importance_min; /* least importance admitted now, 0 admits all */
  uint32_t wait_us;       /* expected wait in the queue */
};

struct slots *slots_new (const struct slots_opts *opts);
void slots_free (struct slots *slots);

/* Changes the limits; running requests are not touched.  */
void slots_configure (struct slots *slots, const struct slots_opts *opts);

/**
 * slots_submit() - ask for a slot
 * @slots: controller
 * @ticket: importance, cost, kind, arrived and deadline set by the caller
 * @now: time
 *
 * A ticket that this one displaces is reported by slots_next().
 *
 * Return: SLOTS_RUN, SLOTS_QUEUED or SLOTS_REFUSE for @ticket.
 */
struct slots_event slots_submit (struct slots *slots,
                                 struct slots_ticket *ticket, clk_us now);

/**
 * slots_next() - next waiting ticket to run or refuse
 * @slots: controller
 * @now: time
 *
 * To be called until SLOTS_NOTHING after each submit, finish and timer.
 *
 * Return: SLOTS_RUN, SLOTS_REFUSE (evicted, expired) or SLOTS_NOTHING.
 */
struct slots_event slots_next (struct slots *slots, clk_us now);

/**
 * slots_finish() - give a slot back
 * @slots: controller
 * @ticket: running ticket
 * @ok: whether the backend server gave a whole answer
 * @now: time
 */
void slots_finish (struct slots *slots, struct slots_ticket *ticket, bool ok,
                   clk_us now);

/* Removes a waiting ticket, or frees the slot of a running one, without
   learning from it.  */
void slots_withdraw (struct slots *slots, struct slots_ticket *ticket,
                     clk_us now);

struct slots_level slots_level (const struct slots *slots, clk_us now);

/* Time at which slots_next() has to be called again, 0 when never.  It may be
   in the past, and there may be nothing to report then.  */
clk_us slots_wakeup (const struct slots *slots);

/* Least importance that waits; more than MODEL_IMPORTANCE_MAX when none does.
 */
uint32_t slots_waiting_importance_min (const struct slots *slots);

uint32_t slots_running (const struct slots *slots);
uint32_t slots_waiting (const struct slots *slots);
uint32_t slots_limit (const struct slots *slots);

#endif
