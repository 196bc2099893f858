#ifndef FILTERS_ENTRY_H
#define FILTERS_ENTRY_H

/**
 * DOC: ent - decisions on a request at the node where it arrived
 *
 * A chain of filters finds the route, the time that is left and the service,
 * and refuses what could not be served.  ent_choose() picks the server of an
 * attempt; ent_after() decides what follows a failed one.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/chs.h"
#include "controllers/split.h"
#include "controllers/window.h"
#include "core/clk.h"
#include "core/model.h"
#include "core/reason.h"
#include "core/rng.h"

enum ent_filter
{
  ENT_READY,    /* a configuration is in force */
  ENT_ROUTE,    /* host and path select a route */
  ENT_DEADLINE, /* time is left */
  ENT_SPLIT,    /* one of the services of the route */
  ENT_PRESSURE, /* the services below can carry one more */
  ENT_END,
};

/* A service that this node sends requests to.  */
struct ent_service
{
  struct lst_node node;
  char name[RTE_NAME_BYTES];
  struct chs *servers;
  struct win budget;
  double pressure_us; /* smoothed wait of calls at and below its servers */
  clk_us pressure_at;
  clk_us called_at; /* when the own server last called it; 0 for never */
  double fan_out;   /* calls that a run leads to */
  double haste;     /* part of their time limit that requests take */
};

/* What was learned of a route.  */
struct ent_learned
{
  struct hsh_node node; /* ent_state->learned */
  bool inner;           /* sent by backend servers only */
};

struct ent_opts
{
  const char *failure_domain; /* own */
  struct win_opts budget;
};

struct ent_state
{
  struct ent_opts opts;
  struct mdl *model;   /* NULL before the first configuration */
  struct lst services; /* struct ent_service */
  struct hsh learned;  /* struct ent_learned, by the digest of the route's
                          name */
  struct spl *split;
  struct rng rng;
  uint32_t nodes; /* that share the retry budget */
  bool closing;   /* this node ends and takes no new request */
};

struct ent_request
{
  /* from the wire */
  const char *host;
  const char *path;
  uint64_t wait_ms; /* that the caller waits; 0 when it did not say */
  clk_us arrived;
  /* set by the filters */
  struct mdl *model; /* held while set: the route is part of it */
  struct rte_route *route;
  uint64_t route_id;
  struct ent_service *service;
  uint8_t importance;
  bool inner;
  double haste;           /* of the requests that call it */
  uint64_t bytes;         /* of its body, as far as known */
  clk_us deadline;        /* of the caller */
  clk_us timeout;         /* of the route; not after @deadline */
  struct chs_query query; /* servers that were tried */
  struct chs_server *server;
  uint32_t reached; /* servers that may have run it */
  uint32_t moves;   /* attempts that ended without a run */
  uint32_t sheds;   /* of these, for the load of the services below */
};

enum ent_result_kind
{
  ENT_GO,
  ENT_REFUSE,
};

struct ent_result
{
  enum ent_result_kind kind;
  enum rsn_refusal reason; /* for ENT_REFUSE */
  uint32_t retry_after_ms; /* 0: none */
};

/* How an attempt failed.  */
struct ent_failure
{
  enum rsn_refusal reason;
  enum rsn_run run;
  uint32_t retry_after_ms;
};

enum ent_next_kind
{
  ENT_AGAIN,   /* choose another server now */
  ENT_LATER,   /* choose again at @at */
  ENT_GIVE_UP, /* refuse */
};

struct ent_next
{
  enum ent_next_kind kind;
  clk_us at;
};

int ent_init (struct ent_state *state, const struct ent_opts *opts);
void ent_fini (struct ent_state *state);

/* Puts a configuration in force; takes over the reference.  */
void ent_configure (struct ent_state *state, struct mdl *model);

/* Service by name; created when it is not known yet.  */
struct ent_service *ent_service (struct ent_state *state, const char *name,
                                 clk_us now);

/* Time left until an answer counts as late, in milliseconds; 0 when it is
   over or the route has no target.  */
uint32_t ent_target_left_ms (const struct ent_request *request, clk_us now);

/* Another node has told whether servers alone send a route.  */
void ent_learn_route (struct ent_state *state, uint64_t route, bool inner);

/* The request has been answered by a server, or its time is over.  */
void ent_ended (struct ent_request *request, clk_us now);

/* Releases what the filters hold for a request that has ended.  */
void ent_release (struct ent_request *request);

struct ent_result ent_admit (struct ent_state *state,
                             struct ent_request *request, clk_us now);

/* Calls of running requests and new requests are measured apart.  */
enum mdl_cost ent_cost (const struct ent_request *request);

/* Chooses a server of the request's service.  */
struct ent_result ent_choose (struct ent_state *state,
                              struct ent_request *request, clk_us now);

struct ent_next ent_after (struct ent_state *state,
                           struct ent_request *request,
                           const struct ent_failure *failure, clk_us now);

/* Time after which a caller comes back that was refused for the load of the
   services below; random, so that those refused together do not.  */
uint32_t ent_shed_after_ms (struct ent_state *state);

/* Takes in what the node beside a server told.  */
struct ent_told
{
  uint32_t wait_us;
  uint32_t pressure_us;
  clk_us ran; /* time at the server, without the wait for a slot */
  double fan_out;

  double load;
  bool inner;
  bool answered; /* by the server */
};

void ent_learn (struct ent_state *state, const struct ent_request *request,
                const struct ent_told *told, clk_us now);

/* Wait of calls at and below the service, forgetting old reports.  */
double ent_pressure (const struct ent_service *service, clk_us now);

#endif
