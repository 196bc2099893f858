#ifndef CONTROLLERS_SLOTS_H
#define CONTROLLERS_SLOTS_H

/**
 * DOC: slots - admission controller for the slots of a backend server
 *
 * Decides which requests hold a slot.  The concurrency limit follows observed
 * latency (controllers/limiter.h), up to the declared number of slots.  Queued
 * requests are ordered by importance, then by age: oldest first, and newest
 * first under overload.  Long requests hold at most a declared share of the
 * limit.
 *
 * Tickets are embedded in the request and owned by the caller; a linked ticket
 * must be withdrawn before it is freed.
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

/* Order of queued requests of equal importance.  */
enum slots_order
{
  SLOTS_ORDER_ADAPTIVE, /* oldest first; newest first under overload */
  SLOTS_ORDER_FIFO,     /* for comparison in the benchmark, like the next */
  SLOTS_ORDER_LIFO,
};

/* Which queued request of the lowest importance is dropped when the queue is
   full.  */
enum slots_evict
{
  SLOTS_EVICT_LAST,   /* the one that would run last */
  SLOTS_EVICT_NEWEST, /* for comparison in the benchmark, like the next */
  SLOTS_EVICT_OLDEST,
};

/* The zero value of each policy is the one for production.  */
struct slots_opts
{
  uint32_t slots;              /* maximum concurrent requests of the server */
  uint32_t queue_max;          /* maximum number of queued requests */
  uint32_t long_slots_percent; /* share of the limit for long requests */
  enum limiter_mode limit_mode;
  enum slots_order order;
  enum slots_evict evict;
};

enum slots_ticket_state
{
  SLOTS_IDLE,    /* neither queued nor running */
  SLOTS_WAITING, /* queued, or refused and not yet reported */
  SLOTS_RUNNING, /* holds a slot */
};

/* Must be zeroed before slots_submit() except for the members that the caller
   sets.  */
struct slots_ticket
{
  struct list_node node;
  struct wheel_timer expiry;
  enum slots_ticket_state state;
  enum reason_refusal reason; /* when refused, until reported */
  uint8_t importance;
  enum model_cost cost;
  uint32_t kind;   /* index of the request kind, for separate service times */
  clk_us arrived;  /* not later than slots_submit() */
  clk_us started;  /* when it got the slot */
  clk_us deadline; /* absolute time */
};

enum slots_event_kind
{
  SLOTS_NOTHING, /* no event */
  SLOTS_RUN,     /* the ticket holds a slot */
  SLOTS_REFUSE,  /* the ticket is refused for a reason and has not run */
  SLOTS_QUEUED,  /* the ticket is queued; slots_next() reports it later */
};

struct slots_event
{
  enum slots_event_kind kind;
  struct slots_ticket *ticket;
  enum reason_refusal reason; /* for SLOTS_REFUSE */
};

/* Admission level, which a node reports upstream with each answer.  */
struct slots_level
{
  uint8_t importance_min; /* lowest importance admitted now; 0 admits all */
  uint32_t wait_us;       /* expected queue wait */
};

/* Returns NULL without memory.  */
struct slots *slots_new (const struct slots_opts *opts);
void slots_free (struct slots *slots);

/* Changes the options; running requests are not affected.  */
void slots_configure (struct slots *slots, const struct slots_opts *opts);

/**
 * slots_submit() - request a slot
 * @slots: controller
 * @ticket: importance, cost, kind, arrived and deadline set by the caller
 * @now: current time
 *
 * A ticket that is evicted for this one is reported by slots_next().
 *
 * Return: SLOTS_RUN, SLOTS_QUEUED or SLOTS_REFUSE for @ticket.
 */
struct slots_event slots_submit (struct slots *slots,
                                 struct slots_ticket *ticket, clk_us now);

/**
 * slots_next() - next queued ticket to run or to refuse
 * @slots: controller
 * @now: current time
 *
 * To be called until it returns SLOTS_NOTHING, after each slots_submit() and
 * slots_finish() and at the time of slots_wakeup_time().
 *
 * Return: SLOTS_RUN, SLOTS_REFUSE (evicted, expired) or SLOTS_NOTHING.
 */
struct slots_event slots_next (struct slots *slots, clk_us now);

/**
 * slots_finish() - release the slot of a running ticket
 * @slots: controller
 * @ticket: running ticket
 * @answered: whether the backend server gave a complete answer; only then the
 *	service time is measured
 * @now: current time
 */
void slots_finish (struct slots *slots, struct slots_ticket *ticket,
                   bool answered, clk_us now);

/* Removes a queued ticket, or releases the slot of a running one without
   measuring its service time.  */
void slots_withdraw (struct slots *slots, struct slots_ticket *ticket,
                     clk_us now);

/* Current admission level.  */
struct slots_level slots_admission_level (const struct slots *slots,
                                          clk_us now);

/* Time at which slots_next() must be called again, 0 for never.  It may be in
   the past, and slots_next() may have nothing to report then.  */
clk_us slots_wakeup_time (const struct slots *slots);

/* Lowest importance in the queue; above MODEL_IMPORTANCE_MAX when the queue is
   empty.  */
uint32_t slots_waiting_importance_min (const struct slots *slots);

/* Number of running requests, of queued requests, and current limit.  */
uint32_t slots_running (const struct slots *slots);
uint32_t slots_waiting (const struct slots *slots);
uint32_t slots_limit (const struct slots *slots);

#endif
