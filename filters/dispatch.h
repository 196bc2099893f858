#ifndef FILTERS_DISPATCH_H
#define FILTERS_DISPATCH_H

/**
 * DOC: dispatch - routing, load balancing and retries at the node of arrival
 *
 * A filter chain finds the route, the deadline and the service of a request,
 * and refuses requests that could not be served.  A second chain, run by
 * dispatch_choose_server(), chooses the server of an attempt;
 * dispatch_decide_retry() decides what follows a failed attempt.
 *
 * Internal requests are calls that backend servers make while they run a
 * request; external requests come from callers.
 *
 * Used by the gate task, which routes by host and path; the front task, which
 * selects by service and request kind, uses filters/filter.h.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/lb.h"
#include "controllers/split.h"
#include "controllers/budget.h"
#include "core/clk.h"
#include "core/model.h"
#include "core/reason.h"
#include "core/rng.h"
#include "filters/suspects.h"

enum dispatch_filter
{
  DISPATCH_READY,      /* a configuration is loaded, not shutting down */
  DISPATCH_ROUTE,      /* host and path match a route */
  DISPATCH_DEADLINE,   /* enough time is left until the deadline */
  DISPATCH_SPLIT,      /* one of the services of the route is chosen */
  DISPATCH_DOWNSTREAM, /* the services downstream are not overloaded */
  DISPATCH_QUARANTINE, /* the request has not crashed several servers */
  DISPATCH_STOP,       /* it can end before the node shuts down */
  DISPATCH_SERVER,     /* a server is chosen */
  DISPATCH_END,
};

/* A service to which this node sends requests.  */
struct dispatch_service
{
  struct list_node node;
  char name[ROUTE_NAME_BYTES];
  struct lb *servers;
  struct budget budget;
  /* Moving average of the time that internal requests wait for a slot at the
     servers of the service or at the services downstream of them, whichever is
     longer; and when the newest sample was measured there, 0 for none.  */
  double downstream_queue_wait_us;
  clk_us downstream_queue_wait_measured_at;
  clk_us called_at; /* when the local backend server last called it; 0 for
                       never */
  double fan_out;   /* average number of calls that a run causes, directly and
                       further downstream */
  /* Moving average, over external requests, of the fraction of their time
     limit that they use.  */
  double timeout_used_fraction;
};

/* What other nodes have reported about a route.  */
struct dispatch_route_info
{
  struct htable_node node; /* dispatch_state.route_infos */
  bool internal;           /* requested only by backend servers */
};

struct dispatch_opts
{
  const char *failure_domain;      /* of this node */
  const struct suspects *suspects; /* of the node; NULL: no quarantine */
  clk_us started_at;               /* start of the process */
  struct budget_opts budget;
};

struct dispatch_state
{
  struct dispatch_opts opts;
  struct model *model;       /* NULL before the first configuration */
  struct list services;      /* struct dispatch_service */
  struct htable route_infos; /* struct dispatch_route_info, by the digest of
                                the route's name */
  struct split *split;
  struct rng rng;
  uint32_t node_count; /* nodes that share the retry budget */
  bool stopping;       /* the node is shutting down, accepts no new requests */
  clk_us stop_at;      /* when the node shuts down, time after which no attempt
                          starts; else 0 */
};

struct dispatch_request
{
  /* from the wire */
  const char *host;
  const char *path;
  uint64_t caller_timeout_ms;  /* time that the caller waits */
  bool caller_timeout_unknown; /* a default counts instead */
  clk_us arrived;
  /* set by the filters */
  struct model *model; /* held while set; the route is part of it */
  struct route_entry *route;
  uint64_t route_id;
  struct dispatch_service *service;
  uint8_t importance;
  bool internal;
  double local_timeout_used_fraction; /* copy of that in struct admit_state,
                                         set by the gate task; used for
                                         internal requests */
  uint64_t body_bytes;                /* declared size of the body, set by the
                                         gate task */
  uint64_t fingerprint;               /* for the quarantine, set by the gate
                                         task before the first attempt */
  clk_us caller_deadline;             /* when the caller stops waiting */
  clk_us route_deadline; /* time limit of the route, at most caller_deadline */
  struct lb_query query; /* holds the servers tried */
  struct lb_server *server;    /* chosen for the attempt */
  uint32_t attempts_maybe_run; /* attempts that may have run */
  uint32_t attempts_not_run;   /* attempts that certainly did not */
  uint32_t attempts_shed;      /* refused because of overload downstream */
};

enum dispatch_result_kind
{
  DISPATCH_CONTINUE,
  DISPATCH_REFUSE,
};

struct dispatch_result
{
  enum dispatch_result_kind kind;
  enum reason_refusal reason; /* for DISPATCH_REFUSE */
  uint32_t retry_after_ms;    /* 0 for none */
};

/* How an attempt failed.  */
struct dispatch_failure
{
  enum reason_refusal reason;
  enum reason_run run;
  uint32_t retry_after_ms;
};

enum dispatch_retry_kind
{
  DISPATCH_RETRY_NOW,   /* choose another server now */
  DISPATCH_RETRY_LATER, /* choose a server at retry_at */
  DISPATCH_GIVE_UP,     /* refuse the request */
};

struct dispatch_retry_decision
{
  enum dispatch_retry_kind kind;
  clk_us retry_at; /* for DISPATCH_RETRY_LATER */
};

/* Returns SR_OK or SR_ENOMEM.  */
int dispatch_init (struct dispatch_state *state,
                   const struct dispatch_opts *opts);
void dispatch_fini (struct dispatch_state *state);

/* Replaces the configuration; takes over the reference to MODEL.  */
void dispatch_configure (struct dispatch_state *state, struct model *model);

/* Finds a service by name, or adds it.  */
struct dispatch_service *dispatch_get_service (struct dispatch_state *state,
                                               const char *name, clk_us now);

/* Milliseconds until an answer misses the latency target of the route; 0 when
   the target is missed or the route has none.  */
uint32_t dispatch_target_left_ms (const struct dispatch_request *request,
                                  clk_us now);

/* Records whether a route, given by the digest of its name, is requested only
   by backend servers, as another node has reported.  */
void dispatch_set_route_internal (struct dispatch_state *state, uint64_t route,
                                  bool internal);

/* Records the latency of an external request that a server has answered or
   that has timed out, as a fraction of its time limit.  */
void dispatch_record_end (struct dispatch_request *request, clk_us now);

/* Releases the model of a request that has ended.  */
void dispatch_release (struct dispatch_request *request);

/**
 * dispatch_run_chain() - run the filter chain on a request
 * @state: state of the node
 * @request: request, with the members from the wire set
 * @now: current time
 *
 * Return: DISPATCH_CONTINUE, or DISPATCH_REFUSE with the reason.
 */
struct dispatch_result dispatch_run_chain (struct dispatch_state *state,
                                           struct dispatch_request *request,
                                           clk_us now);

/* Cost class for the load balancer: internal requests count as short, external
   ones as long, and are measured separately.  */
enum model_cost dispatch_cost (const struct dispatch_request *request);

/* Chooses a server for an attempt; DISPATCH_REFUSE when there is none, when
   the request is quarantined, or when the node shuts down and would probably
   cut it off.  */
struct dispatch_result
dispatch_choose_server (struct dispatch_state *state,
                        struct dispatch_request *request, clk_us now);

/* Whether an attempt that may have run can be followed by another.  */
bool dispatch_may_repeat (const struct dispatch_request *request);

/**
 * dispatch_decide_retry() - decide what follows a failed attempt
 * @state: state of the node
 * @request: request of the attempt
 * @failure: how the attempt failed
 * @now: current time
 *
 * Takes the retry from the retry budget where it counts.
 *
 * Return: retry now, retry later, or give up.
 */
struct dispatch_retry_decision
dispatch_decide_retry (struct dispatch_state *state,
                       struct dispatch_request *request,
                       const struct dispatch_failure *failure, clk_us now);

/* Retry-After in milliseconds for a caller that is refused because of overload
   downstream.  It is random, so that callers refused together do not retry
   together.  */
uint32_t dispatch_shed_retry_after_ms (struct dispatch_state *state);

/* Report of the node beside a server on an answer.  */
struct dispatch_report
{
  uint32_t internal_queue_wait_us;   /* of internal requests there */
  uint32_t downstream_queue_wait_us; /* maximum at its downstream services */
  clk_us downstream_queue_wait_age;  /* time since that was measured */
  clk_us service_time; /* time at the server, without the queue wait */
  double fan_out;      /* average number of calls that a run causes */

  double load;   /* running and queued requests per slot */
  bool internal; /* the route is requested only by backend servers */
  bool answered; /* answered by the server */
};

/* Updates the state of the request's service and server from a report.  */
void dispatch_record_report (struct dispatch_state *state,
                             const struct dispatch_request *request,
                             const struct dispatch_report *report, clk_us now);

/* dispatch_service.downstream_queue_wait_us in microseconds, decayed towards 0
   when it was measured long ago.  */
double
dispatch_downstream_queue_wait_us (const struct dispatch_service *service,
                                   clk_us now);

/* Queue wait of internal requests at other nodes.  */
struct dispatch_queue_wait
{
  double wait_us;
  clk_us age; /* time since it was measured */
};

/* Longest queue wait at the services that the local backend server calls; zero
   if there is none.  */
struct dispatch_queue_wait
dispatch_max_queue_wait (const struct dispatch_state *state, clk_us now);

#endif
