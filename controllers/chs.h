#ifndef CONTROLLERS_CHS_H
#define CONTROLLERS_CHS_H

/**
 * DOC: chs - choice of a backend server of one service
 *
 * Power of two random choices on what this node sees itself: requests in
 * flight, latency, admission level.  Stragglers are ejected after a few
 * answers, probed at a low rate and reinstated gradually; cold starts ramp.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/adm.h"
#include "core/clk.h"
#include "core/list.h"
#include "core/model.h"
#include "core/rng.h"

#define CHS_INSTANCE_BYTES 64
#define CHS_ADDRESS_BYTES 64
/* Servers that one call may exclude: those that it tried.  */
#define CHS_TRIED_MAX 8

struct chs; /* the servers of one service, as this node sees them */

struct chs_opts
{
  uint32_t max_ejected_percent;
  char failure_domain[MDL_NAME_BYTES]; /* own; used for equal choices */
  /* Choose by the time that nodes tell, instead of two at random by what this
     node sees.  */
  bool by_time;
};

/* Short and long work are measured apart.  */
#define CHS_COSTS 2

/* How fast a server answers requests of one cost.  The time that unanswered
   requests have spent counts as well: the average is that of the time spent
   by all of them from one answer to the next, which for a steady load equals
   the latency (Little's law) and shows slowness before slow answers come.  */
struct chs_speed
{
  double average_us;   /* moving average; 0 before the first answer */
  uint32_t answers;    /* since the average began */
  uint32_t unanswered; /* attempts that are watched now */
  double spent_us;     /* by watched attempts since the last answer */
  clk_us counted_at;   /* SPENT_US holds the time up to here */
  bool watched;        /* chs_watch() is in use for this server */
};

struct chs_server
{
  struct lst_node node;
  char instance[CHS_INSTANCE_BYTES];
  char address[CHS_ADDRESS_BYTES]; /* peer address of its node */
  char failure_domain[MDL_NAME_BYTES];
  uint64_t incarnation;
  bool local;    /* beside this node */
  bool draining; /* receives no new work */
  bool present;  /* listed by membership */
  uint32_t slots;
  uint32_t in_flight;
  uint32_t users; /* attempts that refer to it */
  struct adm_level level;
  clk_us level_at;
  double load; /* running and waiting requests, for each slot */
  clk_us wait; /* for a slot, of short work */
  clk_us load_at;

  double ran_us[CHS_COSTS]; /* smoothed time of a run; 0: not known */
  clk_us joined;
  struct chs_speed speed[CHS_COSTS];
  double failures; /* moving share of attempts that the server failed */
  bool ejected;
  clk_us ejected_at;
  clk_us probe_at;      /* earliest time of the next probe */
  uint32_t probe_picks; /* picks of the service until the next probe */
  uint32_t probes_good; /* in a row, while ejected */
  clk_us ramp_from;     /* start of a cold start or a reinstatement */
  clk_us ramp;          /* its length */
};

/* An attempt that waits for its first byte; embedded in the attempt.  */
struct chs_watch
{
  struct chs_server *server; /* NULL when not watched */
  enum mdl_cost cost;
};

/* How an attempt ended, as far as the choice of server is concerned.  */
enum chs_result
{
  CHS_ANSWERED, /* whole answer */
  CHS_REFUSED,  /* refused before dispatch */
  CHS_FAILED,   /* the server failed the request on a fresh connection */
  CHS_NO_BLAME, /* silent connection, cancelled, lost peer connection */
};

struct chs *chs_new (const struct chs_opts *opts);
void chs_free (struct chs *chs);
void chs_configure (struct chs *chs, const struct chs_opts *opts);

/* Adds or updates a server; a new incarnation is a cold start.  */
int chs_update (struct chs *chs, const struct chs_server *seen, clk_us now);

/* Marks all servers absent; those not updated again before chs_sweep() are
   dropped once no attempt refers to them.  */
void chs_mark (struct chs *chs);
void chs_sweep (struct chs *chs);

enum chs_choice_kind
{
  CHS_SERVER, /* use the server */
  CHS_SHED,   /* every usable server would refuse this importance */
  CHS_NONE,   /* no usable server */
};

struct chs_choice
{
  enum chs_choice_kind kind;
  struct chs_server *server;
};

/* What the choice depends on besides the servers.  */
struct chs_query
{
  uint8_t importance;
  enum mdl_cost cost;
  /* Part of the expected time by which a server of another failure domain has
     to be faster.  */
  double near_gain;
  uint32_t tried_count;
  const struct chs_server *tried[CHS_TRIED_MAX];
};

struct chs_choice chs_pick (struct chs *chs, const struct chs_query *query,
                            struct rng *rng, clk_us now);

/* An attempt at SERVER begins; pairs with one chs_done().  */
void chs_start (struct chs *chs, struct chs_server *server, clk_us now);

/* Counts the attempt as unanswered from now on.  To be called with
   chs_start(), so that a server that stopped answering is noticed.  */
void chs_watch (struct chs_server *server, struct chs_watch *watch,
                enum mdl_cost cost, clk_us now);

/* Ends that, at the first byte or the end of the attempt, whichever is first
   and before chs_done(); does nothing when it was called before.  */
void chs_unwatch (struct chs_watch *watch, clk_us now);

/**
 * chs_done() - an attempt ended
 * @chs: servers
 * @server: the attempt's server
 * @result: how it ended
 * @cost: short and long work are compared apart
 * @latency: from start to the first byte of the answer
 * @level: admission level on the answer, or NULL when there was none
 * @now: time
 */
void chs_done (struct chs *chs, struct chs_server *server,
               enum chs_result result, enum mdl_cost cost, clk_us latency,
               const struct adm_level *level, clk_us now);

/* The node beside SERVER told its load and the wait of short work.  */
void chs_note_load (struct chs_server *server, double load, clk_us wait,
                    clk_us now);

/* An answer took RAN at the server itself.  */
void chs_note_run (struct chs_server *server, enum mdl_cost cost, clk_us ran);

/* Delay after which an unanswered idempotent attempt may be hedged: the p95
   of recent answers of this cost; 0 while it is not known, or while requests
   wait at most of the servers.  */
clk_us chs_hedge_delay (const struct chs *chs, enum mdl_cost cost);

/* Share of its full load that a server gets while it ramps, 0 … 1.  */
double chs_weight (const struct chs_server *server, clk_us now);

/* Servers that are listed, for status pages.  */
const struct lst *chs_servers (const struct chs *chs);

#endif
