#ifndef CONTROLLERS_LB_H
#define CONTROLLERS_LB_H

/**
 * DOC: lb - choice of a backend server of one service
 *
 * Power of two random choices on what this node sees itself: requests in
 * flight, latency, admission level.  Stragglers are ejected after a few
 * answers, probed at a low rate and reinstated gradually; cold starts ramp.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/slots.h"
#include "core/clk.h"
#include "core/list.h"
#include "core/model.h"
#include "core/rng.h"

#define LB_INSTANCE_BYTES 64
#define LB_ADDRESS_BYTES 64
/* Servers that one call may exclude: those that it tried.  */
#define LB_TRIED_MAX 8

struct lb; /* the servers of one service, as this node sees them */

struct lb_opts
{
  uint32_t max_ejected_percent;
  char failure_domain[MODEL_NAME_BYTES]; /* own; used for equal choices */
  /* Choose by the time that nodes tell, instead of two at random by what this
     node sees.  */
  bool by_expected_time;
};

/* Short and long work are measured apart.  */
#define LB_COSTS 2

/* How fast a server answers requests of one cost.  The time that unanswered
   requests have spent counts as well: the average is that of the time spent
   by all of them from one answer to the next, which for a steady load equals
   the latency (Little's law) and shows slowness before slow answers come.  */
struct lb_latency
{
  double average_us;     /* moving average; 0 before the first answer */
  uint32_t answers;      /* since the average began */
  uint32_t unanswered;   /* attempts that are watched now */
  double outstanding_us; /* by watched attempts since the last answer */
  clk_us updated_at;     /* SPENT_US holds the time up to here */
  bool watched;          /* lb_watch() is in use for this server */
};

struct lb_server
{
  struct list_node node;
  char instance[LB_INSTANCE_BYTES];
  char address[LB_ADDRESS_BYTES]; /* peer address of its node */
  char failure_domain[MODEL_NAME_BYTES];
  uint64_t incarnation;
  bool local;    /* beside this node */
  bool draining; /* receives no new work */
  bool present;  /* listed by membership */
  uint32_t slots;
  uint32_t in_flight;
  uint32_t refs; /* attempts that refer to it */
  struct slots_level admission_level;
  clk_us level_at;
  double load;       /* running and waiting requests, for each slot */
  clk_us queue_wait; /* for a slot, of short work */
  clk_us load_at;

  double run_us[LB_COSTS]; /* smoothed time of a run; 0: not known */
  clk_us joined_at;
  struct lb_latency latency[LB_COSTS];
  double failure_share; /* moving share of attempts that the server failed */
  bool ejected;
  clk_us ejected_at;
  clk_us probe_at;          /* earliest time of the next probe */
  uint32_t probe_picks;     /* picks of the service until the next probe */
  uint32_t probe_successes; /* in a row, while ejected */
  clk_us ramp_start;        /* start of a cold start or a reinstatement */
  clk_us ramp_duration;     /* its length */
};

/* An attempt that waits for its first byte; embedded in the attempt.  */
struct lb_watch
{
  struct lb_server *server; /* NULL when not watched */
  enum model_cost cost;
};

/* How an attempt ended, as far as the choice of server is concerned.  */
enum lb_result
{
  LB_ANSWERED, /* whole answer */
  LB_REFUSED,  /* refused before dispatch */
  LB_FAILED,   /* the server failed the request on a fresh connection */
  LB_IGNORED,  /* silent connection, cancelled, lost peer connection */
};

struct lb *lb_new (const struct lb_opts *opts);
void lb_free (struct lb *lb);
void lb_configure (struct lb *lb, const struct lb_opts *opts);

/* Adds or updates a server; a new incarnation is a cold start.  */
int lb_update (struct lb *lb, const struct lb_server *seen, clk_us now);

/* Marks all servers absent; those not updated again before lb_remove_absent()
   are dropped once no attempt refers to them.  */
void lb_mark_absent (struct lb *lb);
void lb_remove_absent (struct lb *lb);

enum lb_choice_kind
{
  LB_SERVER, /* use the server */
  LB_SHED,   /* every usable server would refuse this importance */
  LB_NONE,   /* no usable server */
};

struct lb_choice
{
  enum lb_choice_kind kind;
  struct lb_server *server;
};

/* What the choice depends on besides the servers.  */
struct lb_query
{
  uint8_t importance;
  enum model_cost cost;
  /* Part of the expected time by which a server of another failure domain has
     to be faster.  */
  double cross_domain_penalty;
  uint32_t tried_count;
  const struct lb_server *tried[LB_TRIED_MAX];
};

struct lb_choice lb_pick (struct lb *lb, const struct lb_query *query,
                          struct rng *rng, clk_us now);

/* An attempt at SERVER begins; pairs with one lb_attempt_end().  */
void lb_attempt_start (struct lb *lb, struct lb_server *server, clk_us now);

/* Counts the attempt as unanswered from now on.  To be called with
   lb_attempt_start(), so that a server that stopped answering is noticed.  */
void lb_watch (struct lb_server *server, struct lb_watch *watch,
               enum model_cost cost, clk_us now);

/* Ends that, at the first byte or the end of the attempt, whichever is first
   and before lb_attempt_end(); does nothing when it was called before.  */
void lb_unwatch (struct lb_watch *watch, clk_us now);

/**
 * lb_attempt_end() - an attempt ended
 * @lb: servers
 * @server: the attempt's server
 * @result: how it ended
 * @cost: short and long work are compared apart
 * @latency: from start to the first byte of the answer
 * @level: admission level on the answer, or NULL when there was none
 * @now: time
 */
void lb_attempt_end (struct lb *lb, struct lb_server *server,
                     enum lb_result result, enum model_cost cost,
                     clk_us latency, const struct slots_level *level,
                     clk_us now);

/* The node beside SERVER told its load and the wait of short work.  */
void lb_record_load (struct lb_server *server, double load, clk_us wait,
                     clk_us now);

/* An answer took RAN at the server itself.  */
void lb_record_run (struct lb_server *server, enum model_cost cost,
                    clk_us ran);

/* Delay after which an unanswered idempotent attempt may be hedged: the p95
   of recent answers of this cost; 0 while it is not known, or while requests
   wait at most of the servers.  */
clk_us lb_hedge_delay (const struct lb *lb, enum model_cost cost);

/* Share of its full load that a server gets while it ramps, 0 … 1.  */
double lb_ramp_weight (const struct lb_server *server, clk_us now);

/* Servers that are listed, for status pages.  */
const struct list *lb_servers (const struct lb *lb);

#endif
