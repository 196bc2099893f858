#ifndef CONTROLLERS_ADM_H
#define CONTROLLERS_ADM_H

/**
 * DOC: adm - admission at the node beside the backend server
 *
 * Decides which requests hold the server's slots.  The concurrency limit
 * follows observed latency (lim.h); the declared slots are its upper bound.
 * Waiting requests are ordered by importance, then age; under overload the
 * newest of an importance comes first.  Long requests hold at most a declared
 * share of the limit.  Tickets are embedded in the request and owned by the
 * caller; a linked ticket must be withdrawn before it is freed.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/lim.h"
#include "controllers/whl.h"
#include "core/clk.h"
#include "core/list.h"
#include "core/model.h"
#include "core/reason.h"

struct adm;

/* Order of waiting requests of one importance.  */
enum adm_order
{
  ADM_ORDER_ADAPTIVE, /* oldest first, newest first under overload */
  ADM_ORDER_FIFO,     /* to compare in the benchmark, like the next */
  ADM_ORDER_LIFO,
};

/* Which waiting request of the least importance a full queue drops.  */
enum adm_evict
{
  ADM_EVICT_LAST,   /* the one that would be served last */
  ADM_EVICT_NEWEST, /* to compare in the benchmark, like the next */
  ADM_EVICT_OLDEST,
};

/* The zero value of each policy is the one that is used in production.  */
struct adm_opts
{
  uint32_t slots;              /* concurrent requests of the server */
  uint32_t queue;              /* most waiting requests */
  uint32_t long_slots_percent; /* share of the limit for long requests */
  enum lim_way limit;
  enum adm_order order;
  enum adm_evict evict;
};

enum adm_state
{
  ADM_IDLE,
  ADM_WAITING,
  ADM_RUNNING,
};

/* Must be zero when it is submitted, but for what the caller sets.  */
struct adm_ticket
{
  struct lst_node node;
  struct whl_timer expiry;
  enum adm_state state;
  enum rsn_refusal reason; /* refused and not yet reported by adm_next() */
  uint8_t importance;
  enum mdl_cost cost;
  uint32_t kind;  /* index of the kind, to learn the cost of each */
  clk_us arrived; /* not after the time of the submit */
  clk_us started;
  clk_us deadline; /* absolute */
};

enum adm_event_kind
{
  ADM_NOTHING, /* no more events now */
  ADM_RUN,     /* the ticket holds a slot */
  ADM_REFUSE,  /* the ticket is refused with a reason, not run */
  ADM_QUEUED,  /* the ticket waits; adm_next() reports it later */
};

struct adm_event
{
  enum adm_event_kind kind;
  struct adm_ticket *ticket;
  enum rsn_refusal reason; /* for ADM_REFUSE */
};

/* What a node tells upstream nodes on each answer.  */
struct adm_level
{
  uint8_t importance; /* least importance admitted now, 0 admits all */
  uint32_t wait_us;   /* expected wait in the queue */
};

struct adm *adm_new (const struct adm_opts *opts);
void adm_free (struct adm *adm);

/* Changes the limits; running requests are not touched.  */
void adm_configure (struct adm *adm, const struct adm_opts *opts);

/**
 * adm_submit() - ask for a slot
 * @adm: controller
 * @ticket: importance, cost, kind, arrived and deadline set by the caller
 * @now: time
 *
 * A ticket that this one displaces is reported by adm_next().
 *
 * Return: ADM_RUN, ADM_QUEUED or ADM_REFUSE for @ticket.
 */
struct adm_event adm_submit (struct adm *adm, struct adm_ticket *ticket,
                             clk_us now);

/**
 * adm_next() - next waiting ticket to run or refuse
 * @adm: controller
 * @now: time
 *
 * To be called until ADM_NOTHING after each submit, finish and timer.
 *
 * Return: ADM_RUN, ADM_REFUSE (evicted, expired) or ADM_NOTHING.
 */
struct adm_event adm_next (struct adm *adm, clk_us now);

/**
 * adm_finish() - give a slot back
 * @adm: controller
 * @ticket: running ticket
 * @ok: whether the backend server gave a whole answer
 * @now: time
 */
void adm_finish (struct adm *adm, struct adm_ticket *ticket, bool ok,
                 clk_us now);

/* Removes a waiting ticket, or frees the slot of a running one, without
   learning from it.  */
void adm_withdraw (struct adm *adm, struct adm_ticket *ticket, clk_us now);

struct adm_level adm_level (const struct adm *adm, clk_us now);

/* Time at which adm_next() has to be called again, 0 when never.  It may be
   in the past, and there may be nothing to report then.  */
clk_us adm_wakeup (const struct adm *adm);

/* Least importance that waits; more than MDL_IMPORTANCE_MAX when none does. */
uint32_t adm_least_waiting (const struct adm *adm);

uint32_t adm_running (const struct adm *adm);
uint32_t adm_waiting (const struct adm *adm);
uint32_t adm_limit (const struct adm *adm);

#endif
