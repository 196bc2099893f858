#ifndef CONTROLLERS_LB_H
#define CONTROLLERS_LB_H

/**
 * DOC: lb - load balancer over the backend servers of one service
 *
 * Power of two random choices by what this node observes itself: requests in
 * flight, latency, admission level.  Outliers are ejected after a few answers,
 * probed at a low rate and reinstated gradually (outlier detection).  New
 * servers get slow start: their share of the load grows over a ramp.
 *
 * With lb_opts.by_expected_time the server with the lowest expected time is
 * chosen instead, from the load that the nodes beside the servers report.
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
/* Servers that one call may exclude because it has tried them.  */
#define LB_TRIED_MAX 8

struct lb; /* the servers of one service as seen by this node */

struct lb_opts
{
  uint32_t max_ejected_percent;          /* maximum share of ejected servers */
  char failure_domain[MODEL_NAME_BYTES]; /* of this node; decides between equal
                                            servers */
  /* Choose the server with the lowest expected time from the load that nodes
     report, instead of one of two random servers from what this node
     observes.  */
  bool by_expected_time;
};

/* Short and long requests are measured separately.  */
#define LB_COSTS 2

/* Average latency of a server for requests of one cost.  The time that
   unanswered requests have waited counts as well: a sample is the sum of the
   times that all of them have waited between two answers, which under constant
   load equals the latency (Little's law) and shows that a server is slow
   before its slow answers arrive.  */
struct lb_latency
{
  double average_us;     /* moving average; 0 before the first answer */
  uint32_t answers;      /* samples in the average */
  uint32_t unanswered;   /* attempts that are now unanswered */
  double outstanding_us; /* sum of their waiting times since the last answer */
  clk_us updated_at;     /* time up to which outstanding_us is counted */
  bool watched;          /* lb_watch_start() is used for this server */
};

struct lb_server
{
  struct list_node node;
  char instance[LB_INSTANCE_BYTES];
  char address[LB_ADDRESS_BYTES]; /* peer address of its node */
  char failure_domain[MODEL_NAME_BYTES];
  uint64_t incarnation;
  bool local;    /* the backend server beside this node */
  bool draining; /* receives no new requests */
  bool present;  /* in the membership table */
  uint32_t slots;
  uint32_t in_flight;
  uint32_t refs; /* attempts that hold a pointer to it */
  struct slots_level admission_level;
  clk_us level_at;   /* time of @admission_level, 0 for none */
  double load;       /* running and queued requests per slot, as reported */
  clk_us queue_wait; /* expected time in the queue of a short request */
  clk_us load_at;    /* time of that report, 0 for none */
  /* Start of the first attempt since that report, 0 for none.  */
  clk_us unheard_since;

  double service_time_us[LB_COSTS]; /* moving average of the service time; 0
                                       when unknown */
  clk_us joined_at; /* when this node first listed the incarnation */
  struct lb_latency latency[LB_COSTS];
  double failure_share; /* moving average of the share of failed attempts */
  bool ejected;
  clk_us ejected_at;
  clk_us probe_at;          /* earliest time of the next probe */
  uint32_t probe_picks;     /* picks of the service until the next probe */
  uint32_t probe_successes; /* consecutive, while ejected */
  clk_us ramp_start;        /* start of the slow start or reinstatement */
  clk_us ramp_duration;     /* length of the ramp */
};

/* An attempt without a first byte; embedded in the attempt.  */
struct lb_watch
{
  struct lb_server *server; /* NULL when not watched */
  enum model_cost cost;
};

/* Outcome of an attempt, as used for the choice of servers.  */
enum lb_result
{
  LB_ANSWERED, /* a complete answer */
  LB_REFUSED,  /* refused before dispatch */
  LB_FAILED,   /* the server failed the request on a fresh connection */
  LB_IGNORED,  /* no sign of a fault of the server: silent connection,
                  cancelled, lost peer connection */
};

/* Returns NULL without memory.  */
struct lb *lb_new (const struct lb_opts *opts);
void lb_free (struct lb *lb);
void lb_configure (struct lb *lb, const struct lb_opts *opts);

/* Adds or updates a server from the members of UPDATE up to @slots; a new
   incarnation starts with a slow start ramp.  Returns SR_OK, SR_EFULL or
   SR_ENOMEM.  */
int lb_update (struct lb *lb, const struct lb_server *update, clk_us now);

/* Marks all servers absent.  Those not updated before lb_remove_absent() are
   freed there unless an attempt holds them.  */
void lb_mark_absent (struct lb *lb);
void lb_remove_absent (struct lb *lb);

enum lb_choice_kind
{
  LB_SERVER, /* use the server */
  LB_SHED,   /* every usable server would refuse requests of this importance */
  LB_NONE,   /* no usable server */
};

struct lb_choice
{
  enum lb_choice_kind kind;
  struct lb_server *server;
};

/* A request for which a server is to be chosen.  */
struct lb_query
{
  uint8_t importance;
  enum model_cost cost;
  /* The expected time of a server of another failure domain is increased by
     this fraction.  */
  double cross_domain_penalty;
  uint32_t tried_count;
  const struct lb_server *tried[LB_TRIED_MAX];
};

/**
 * lb_pick() - choose a server for an attempt
 * @lb: servers of the service
 * @query: the request, and the servers that it has tried
 * @rng: source of the random choices
 * @now: current time
 *
 * Return: LB_SERVER with the chosen server, LB_SHED or LB_NONE.
 */
struct lb_choice lb_pick (struct lb *lb, const struct lb_query *query,
                          struct rng *rng, clk_us now);

/* Counts an attempt at SERVER as in flight, until lb_attempt_end().  */
void lb_attempt_start (struct lb *lb, struct lb_server *server, clk_us now);

/* Counts the attempt as unanswered from now on.  To be called together with
   lb_attempt_start(), so that a server that has stopped answering is
   detected.  */
void lb_watch_start (struct lb_server *server, struct lb_watch *watch,
                     enum model_cost cost, clk_us now);

/* Ends lb_watch_start().  To be called at the first byte of the answer, or
   before lb_attempt_end() if there is none; further calls have no effect.  */
void lb_watch_end (struct lb_watch *watch, clk_us now);

/**
 * lb_attempt_end() - end an attempt and record its result
 * @lb: servers of the service
 * @server: server of the attempt
 * @result: how the attempt ended
 * @cost: cost of the request; short and long requests are compared separately
 * @latency: time from the start to the first byte of the answer
 * @admission_level: admission level on the answer, or NULL without one
 * @now: current time
 */
void lb_attempt_end (struct lb *lb, struct lb_server *server,
                     enum lb_result result, enum model_cost cost,
                     clk_us latency, const struct slots_level *admission_level,
                     clk_us now);

/* Records the load, in requests per slot, and the expected queue wait of short
   requests that the node beside SERVER has reported.  */
void lb_record_load (struct lb_server *server, double load, clk_us queue_wait,
                     clk_us now);

/* Records the service time of an answer, without the queue wait.  */
void lb_record_service_time (struct lb_server *server, enum model_cost cost,
                             clk_us service_time);

/* Delay after which an unanswered idempotent attempt may be hedged: the 95th
   percentile of the recent latencies for this cost.  0 while it is unknown, or
   while requests queue at most of the servers.  */
clk_us lb_hedge_delay (const struct lb *lb, enum model_cost cost);

/* Fraction of its full load, 0 to 1, that a server gets during its ramp.  */
double lb_ramp_weight (const struct lb_server *server, clk_us now);

/* All servers (struct lb_server), absent ones that attempts still hold
   included.  */
const struct list *lb_servers (const struct lb *lb);

#endif
