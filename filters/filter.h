#ifndef FILTERS_FILTER_H
#define FILTERS_FILTER_H

/**
 * DOC: filter - filter chains for requests by service and request kind
 *
 * A filter is a function of state, request and time that returns a tagged
 * union.  A chain is a table of filter ids; filter_run_chain() runs a request
 * from its position on until a filter does not continue.  The calling side and
 * the serving side of a request have different chains of the same filters.
 *
 * Used by the front task; the gate task, which routes by host and path, uses
 * filters/dispatch.h and filters/admit.h.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/slots.h"
#include "controllers/lb.h"
#include "controllers/hop.h"
#include "controllers/retry.h"
#include "controllers/share.h"
#include "core/clk.h"
#include "core/model.h"
#include "core/msg.h"
#include "core/reason.h"
#include "core/rng.h"
#include "filters/suspects.h"

/* Maximum depth of a call chain; a deeper one is taken for a loop.  */
#define FILTER_DEPTH_MAX 64

enum filter_id
{
  FILTER_READY,      /* a configuration is loaded */
  FILTER_IDENTIFY,   /* service and request kind are found */
  FILTER_PARENT,     /* rights of a child call, from its hop */
  FILTER_DEADLINE,   /* the deadline has not passed */
  FILTER_KEY,        /* a non-idempotent request has a claim key */
  FILTER_QUARANTINE, /* the fingerprint is not quarantined */
  FILTER_ALLOWANCE,  /* finds the retry allowance of the call chain */
  FILTER_CHOOSE,     /* chooses a backend server */
  FILTER_SUSPECT,    /* no other suspect request runs at the server */
  FILTER_CALLER,     /* the caller holds no more than its share */
  FILTER_DRAINING,   /* the local server accepts new requests */
  FILTER_BACKEND,    /* the local server is available */
  FILTER_ADMISSION,  /* a slot is free */
  FILTER_CLAIM,      /* the claim of a non-idempotent request is granted */
  FILTER_END,
};

enum filter_result_kind
{
  FILTER_CONTINUE,
  FILTER_WAIT, /* until the event of enum filter_wait */
  FILTER_REFUSE,
  FILTER_ANSWER, /* a recorded answer replaces a run */
};

enum filter_wait
{
  FILTER_WAIT_SLOT,
  FILTER_WAIT_CLAIM,
};

struct filter_result
{
  enum filter_result_kind kind;
  union
  {
    enum filter_wait wait;
    struct
    {
      enum reason_refusal reason;
      enum reason_run run;
    } refuse;
  } u;
};

/* State of the claim of a request.  */
enum filter_claim_state
{
  FILTER_CLAIM_NONE,    /* not requested yet */
  FILTER_CLAIM_PENDING, /* requested, no result yet */
  FILTER_CLAIM_GRANTED,
  FILTER_CLAIM_DONE,        /* an answer is recorded */
  FILTER_CLAIM_UNKNOWN,     /* an earlier attempt may have run */
  FILTER_CLAIM_NOT_KEPT,    /* it has run; its answer was too large */
  FILTER_CLAIM_MISMATCH,    /* the key was used with a different body */
  FILTER_CLAIM_FULL,        /* the claim store has no room */
  FILTER_CLAIM_UNAVAILABLE, /* no result from the control replicas */
};

/* A request in a filter chain.  */
struct filter_request
{
  const enum filter_id *filter_chain;
  uint32_t filter_position; /* index of the next filter */

  /* from the wire */
  char service_name[MODEL_NAME_BYTES];
  const char *method;
  const char *path;
  const char *caller;
  const char *key;   /* Idempotency-Key, or empty */
  const char *trace; /* trace id, or empty */
  bool has_hop;      /* hop_id is set, as in a child call */
  uint8_t hop_id[RNG_ID_BYTES];
  uint64_t body_hash; /* of the stored part of the body */
  bool body_complete; /* the whole body is stored */

  /* set by filters, or by the receiver of MSG_OPEN */
  struct model *model; /* held while set; service and kind are part of it */
  const struct model_service *service;
  const struct model_kind *kind;
  uint8_t importance;
  uint32_t depth; /* in the call chain; 0 at its entry */
  clk_us arrived;
  clk_us deadline;
  uint64_t fingerprint; /* see filter_fingerprint(); 0 before FILTER_QUARANTINE
                         */
  char claim_key[MSG_KEY_BYTES]; /* own key, or derived from chain_key */
  char chain_key[MSG_KEY_BYTES]; /* key of the request at the entry of the call
                                    chain */
  struct hop *parent;            /* held while set */
  struct retry_chain *chain_record;  /* held while set */
  struct retry_allowance *allowance; /* of the parent, chain_record or
                                        own_allowance */
  struct retry_allowance own_allowance;
  uint32_t retries; /* spent on this call, including hedges */
  struct lb_query query;
  struct lb_server *server; /* chosen for the attempt */
  struct slots_ticket ticket;
  enum filter_claim_state claim_state;
  bool suspect; /* a server was lost while this request was in flight */
  bool suspect_counted; /* counted in suspects.running */
  bool caller_counted;  /* counted in caller_shares */
};

/* Controllers of a service that this node calls.  */
struct filter_service
{
  struct list_node node;
  char name[MODEL_NAME_BYTES];
  struct lb *servers;
  struct retry_budget budget;
};

/* State of the filters; owned by the front task.  */
struct filter_state
{
  struct model *model;  /* NULL before the first configuration */
  struct list services; /* struct filter_service */
  struct hop_table *hops;
  struct retry_table *call_chains; /* started at this node */
  struct suspects suspects;
  struct slots *slots;
  struct share *caller_shares;
  struct rng rng;
  bool draining;
  bool backend_up;
  char backend_service[MODEL_NAME_BYTES]; /* service of the local server */
};

extern const enum filter_id filter_call_chain[];
extern const enum filter_id filter_attempt_chain[];
extern const enum filter_id filter_serve_chain[];

/**
 * filter_run_chain() - run a request along its chain
 * @state: controllers
 * @request: request; its position advances past filters that continue
 * @now: current time
 *
 * After FILTER_WAIT, the event that ends the wait is stored in the request and
 * filter_run_chain() is called again.
 *
 * Return: FILTER_CONTINUE at the end of the chain, or the first other result.
 */
struct filter_result filter_run_chain (struct filter_state *state,
                                       struct filter_request *request,
                                       clk_us now);

/* Sets the chain of a request and its position to the first filter.  */
void filter_start_chain (struct filter_request *request,
                         const enum filter_id *chain);

/* Releases what the filters hold for a request.  */
void filter_release (struct filter_state *state,
                     struct filter_request *request, clk_us now);

/* Service by name, or NULL.  */
struct filter_service *filter_find_service (struct filter_state *state,
                                            const char *name);

/* Return the result FILTER_CONTINUE, and FILTER_REFUSE with REASON and RUN. */
struct filter_result filter_continue (void);
struct filter_result filter_refuse (enum reason_refusal reason,
                                    enum reason_run run);

/* Filters; see enum filter_id.  */
struct filter_result filter_identify (struct filter_state *state,
                                      struct filter_request *request);
struct filter_result filter_parent (struct filter_state *state,
                                    struct filter_request *request,
                                    clk_us now);
struct filter_result filter_key (struct filter_request *request);
struct filter_result filter_quarantine (struct filter_state *state,
                                        struct filter_request *request,
                                        clk_us now);
struct filter_result filter_allowance (struct filter_state *state,
                                       struct filter_request *request,
                                       clk_us now);
struct filter_result filter_choose (struct filter_state *state,
                                    struct filter_request *request,
                                    clk_us now);
struct filter_result filter_suspect (struct filter_state *state,
                                     struct filter_request *request,
                                     clk_us now);
struct filter_result filter_caller_share (struct filter_state *state,
                                          struct filter_request *request);
struct filter_result filter_admission (struct filter_state *state,
                                       struct filter_request *request,
                                       clk_us now);
struct filter_result filter_claim (struct filter_request *request);

/* Hash of the caller's name.  */
uint64_t filter_caller_hash (const struct filter_request *request);

/* Fingerprint of a request for the quarantine.  */
uint64_t filter_fingerprint (const struct filter_request *request);

#endif
