#ifndef FILTERS_DISPATCH_H
#define FILTERS_DISPATCH_H

/**
 * DOC: dispatch - decisions on a request at the node where it arrived
 *
 * A chain of filters finds the route, the time that is left and the service,
 * and refuses what could not be served.  dispatch_choose_server() picks the
 * server of an attempt; dispatch_decide_retry() decides what follows a failed
 * one.
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

enum dispatch_filter
{
  DISPATCH_READY,      /* a configuration is in force */
  DISPATCH_ROUTE,      /* host and path select a route */
  DISPATCH_DEADLINE,   /* time is left */
  DISPATCH_SPLIT,      /* one of the services of the route */
  DISPATCH_DOWNSTREAM, /* the services below can carry one more */
  DISPATCH_END,
};

/* A service that this node sends requests to.  */
struct dispatch_service
{
  struct list_node node;
  char name[ROUTE_NAME_BYTES];
  struct lb *servers;
  struct budget budget;
  double
      downstream_wait_us; /* smoothed wait of calls at and below its servers */
  clk_us downstream_wait_at;
  clk_us called_at; /* when the own server last called it; 0 for never */
  double fan_out;   /* calls that a run leads to */
  double timeout_fraction; /* part of their time limit that requests take */
};

/* What was learned of a route.  */
struct dispatch_route_info
{
  struct htable_node node; /* dispatch_state->learned */
  bool internal;           /* sent by backend servers only */
};

struct dispatch_opts
{
  const char *failure_domain; /* own */
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
  uint32_t node_count; /* that share the retry budget */
  bool stopping;       /* this node ends and takes no new request */
};

struct dispatch_request
{
  /* from the wire */
  const char *host;
  const char *path;
  uint64_t
      caller_timeout_ms; /* that the caller waits; 0 when it did not say */
  clk_us arrived;
  /* set by the filters */
  struct model *model; /* held while set: the route is part of it */
  struct route_entry *route;
  uint64_t route_id;
  struct dispatch_service *service;
  uint8_t importance;
  bool internal;
  double timeout_fraction; /* of the requests that call it */
  uint64_t body_bytes;     /* of its body, as far as known */
  clk_us caller_deadline;  /* of the caller */
  clk_us route_deadline;   /* of the route; not after @deadline */
  struct lb_query query;   /* servers that were tried */
  struct lb_server *server;
  uint32_t servers_reached;  /* servers that may have run it */
  uint32_t attempts_not_run; /* attempts that ended without a run */
  uint32_t attempts_shed;    /* of these, for the load of the services below */
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
  uint32_t retry_after_ms;    /* 0: none */
};

/* How an attempt failed.  */
struct dispatch_failure
{
  enum reason_refusal reason;
  enum reason_run run;
  uint32_t retry_after_ms;
};

enum dispatch_next_kind
{
  DISPATCH_RETRY_NOW,   /* choose another server now */
  DISPATCH_RETRY_LATER, /* choose again at @at */
  DISPATCH_GIVE_UP,     /* refuse */
};

struct dispatch_next
{
  enum dispatch_next_kind kind;
  clk_us retry_at;
};

int dispatch_init (struct dispatch_state *state,
                   const struct dispatch_opts *opts);
void dispatch_fini (struct dispatch_state *state);

/* Puts a configuration in force; takes over the reference.  */
void dispatch_configure (struct dispatch_state *state, struct model *model);

/* Service by name; created when it is not known yet.  */
struct dispatch_service *dispatch_service (struct dispatch_state *state,
                                           const char *name, clk_us now);

/* Time left until an answer counts as late, in milliseconds; 0 when it is
   over or the route has no target.  */
uint32_t dispatch_target_left_ms (const struct dispatch_request *request,
                                  clk_us now);

/* Another node has told whether servers alone send a route.  */
void dispatch_set_route_internal (struct dispatch_state *state, uint64_t route,
                                  bool inner);

/* The request has been answered by a server, or its time is over.  */
void dispatch_record_end (struct dispatch_request *request, clk_us now);

/* Releases what the filters hold for a request that has ended.  */
void dispatch_release (struct dispatch_request *request);

struct dispatch_result dispatch_run_chain (struct dispatch_state *state,
                                           struct dispatch_request *request,
                                           clk_us now);

/* Calls of running requests and new requests are measured apart.  */
enum model_cost dispatch_cost (const struct dispatch_request *request);

/* Chooses a server of the request's service.  */
struct dispatch_result
dispatch_choose_server (struct dispatch_state *state,
                        struct dispatch_request *request, clk_us now);

struct dispatch_next
dispatch_decide_retry (struct dispatch_state *state,
                       struct dispatch_request *request,
                       const struct dispatch_failure *failure, clk_us now);

/* Time after which a caller comes back that was refused for the load of the
   services below; random, so that those refused together do not.  */
uint32_t dispatch_shed_retry_after_ms (struct dispatch_state *state);

/* Takes in what the node beside a server told.  */
struct dispatch_report
{
  uint32_t internal_wait_us;
  uint32_t downstream_wait_us;
  clk_us run_time; /* time at the server, without the wait for a slot */
  double fan_out;

  double load;
  bool internal;
  bool answered; /* by the server */
};

void dispatch_record_report (struct dispatch_state *state,
                             const struct dispatch_request *request,
                             const struct dispatch_report *told, clk_us now);

/* Wait of calls at and below the service, forgetting old reports.  */
double dispatch_downstream_wait_us (const struct dispatch_service *service,
                                    clk_us now);

#endif
