#ifndef FILTERS_CHAIN_H
#define FILTERS_CHAIN_H

/**
 * DOC: flt - the filter chain for requests
 *
 * A filter is a function of state, request and time that returns a tagged
 * union.  A chain is a table of filter ids; flt_run() runs a request from its
 * position on until a filter does not continue.  The call side and the serve
 * side of a request have different chains of the same filters.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/adm.h"
#include "controllers/chs.h"
#include "controllers/hop.h"
#include "controllers/qrt.h"
#include "controllers/rty.h"
#include "controllers/share.h"
#include "core/clk.h"
#include "core/model.h"
#include "core/msg.h"
#include "core/reason.h"
#include "core/rng.h"

/* Deepest chain; deeper ones are taken for loops.  */
#define FLT_DEPTH_MAX 64

enum flt_id
{
  FLT_READY,      /* a configuration is in force */
  FLT_IDENTIFY,   /* service and kind */
  FLT_PARENT,     /* rights of a child call, from the hop table */
  FLT_DEADLINE,   /* not past the deadline */
  FLT_KEY,        /* idempotency key of a non-idempotent request */
  FLT_QUARANTINE, /* fingerprint not blocked */
  FLT_ALLOWANCE,  /* retry allowance of the chain */
  FLT_CHOOSE,     /* a backend server */
  FLT_SUSPECT,    /* no other request that may crash the server runs */
  FLT_CALLER,     /* the caller holds no more than its share */
  FLT_DRAINING,   /* the own server takes new work */
  FLT_BACKEND,    /* the own server is there */
  FLT_ADMISSION,  /* a slot */
  FLT_CLAIM,      /* the right to run a non-idempotent request */
  FLT_END,
};

enum flt_result_kind
{
  FLT_CONTINUE,
  FLT_WAIT,
  FLT_REFUSE,
  FLT_ANSWER, /* a recorded answer stands in for a run */
};

enum flt_wait
{
  FLT_WAIT_SLOT,
  FLT_WAIT_CLAIM,
};

struct flt_result
{
  enum flt_result_kind kind;
  union
  {
    enum flt_wait wait;
    struct
    {
      enum rsn_refusal reason;
      enum rsn_run run;
    } refuse;
  } u;
};

/* State of the claim of a request.  */
enum flt_claim
{
  FLT_CLAIM_NONE,
  FLT_CLAIM_ASKED,
  FLT_CLAIM_GRANTED,
  FLT_CLAIM_DONE, /* an answer is recorded */
  FLT_CLAIM_UNKNOWN,
  FLT_CLAIM_NOT_KEPT, /* it ran, and its answer was too large to record */
  FLT_CLAIM_MISMATCH,
  FLT_CLAIM_FULL,
  FLT_CLAIM_UNAVAILABLE,
};

/* What the filters know of a request.  */
struct flt_request
{
  const enum flt_id *chain;
  uint32_t position;

  /* from the wire */
  char service_name[MDL_NAME_BYTES];
  const char *method;
  const char *path;
  const char *caller;
  const char *key;   /* Idempotency-Key or empty */
  const char *trace; /* trace id or empty */
  bool has_hop;
  uint8_t hop_id[RNG_ID_BYTES];
  uint64_t body_hash; /* of what is kept */
  bool body_whole;    /* the whole body is kept */

  /* set by filters, or by the receiver of MSG_OPEN */
  struct mdl *model; /* held while set: service and kind are part of it */
  const struct mdl_service *service;
  const struct mdl_kind *kind;
  uint8_t importance;
  uint32_t depth;
  clk_us arrived;
  clk_us deadline;
  uint64_t fingerprint;
  char claim_key[MSG_KEY_BYTES];  /* own or derived key */
  char chain_key[MSG_KEY_BYTES];  /* key of the chain's entry */
  struct hop *parent;             /* held while set */
  struct rty_chain *chain_record; /* held while set */
  struct rty_allowance *allowance;
  struct rty_allowance no_allowance;
  uint32_t retries; /* spent on this call, hedges included */
  struct chs_query query;
  struct chs_server *server; /* chosen */
  struct adm_ticket ticket;
  enum flt_claim claim;
  bool suspect;  /* a server was lost while it was in flight */
  bool isolated; /* counted in suspects_running */
  bool counted;  /* counted for its caller */
};

/* Controllers of one service that this node calls.  */
struct flt_service
{
  struct lst_node node;
  char name[MDL_NAME_BYTES];
  struct chs *servers;
  struct rty_budget budget;
};

/* What the filters may read and change; owned by the front task.  */
struct flt_state
{
  struct mdl *model;   /* NULL before the first configuration */
  struct lst services; /* struct flt_service */
  struct hop_table *hops;
  struct rty_table *chains;
  struct qrt *marks;
  struct adm *admission;
  struct shr *callers;
  struct rng rng;
  uint32_t suspects_running; /* at the own server */
  bool draining;
  bool backend_up;
  char backend_service[MDL_NAME_BYTES]; /* of the own server */
};

extern const enum flt_id flt_call_chain[];
extern const enum flt_id flt_attempt_chain[];
extern const enum flt_id flt_serve_chain[];

/**
 * flt_run() - run a request along its chain
 * @state: controllers
 * @request: request; its position is advanced past filters that continue
 * @now: time
 *
 * After FLT_WAIT the event that ends the wait is put into the request and
 * flt_run() is called again.
 *
 * Return: FLT_CONTINUE at the end of the chain, or the first other result.
 */
struct flt_result flt_run (struct flt_state *state,
                           struct flt_request *request, clk_us now);

/* Starts a request at the head of CHAIN.  */
void flt_start (struct flt_request *request, const enum flt_id *chain);

/* Releases what filters took for a request.  */
void flt_release (struct flt_state *state, struct flt_request *request,
                  clk_us now);

struct flt_service *flt_find_service (struct flt_state *state,
                                      const char *name);

/* Results, for use by filters.  */
struct flt_result flt_continue (void);
struct flt_result flt_refuse (enum rsn_refusal reason, enum rsn_run run);

struct flt_result flt_identify (struct flt_state *state,
                                struct flt_request *request);
struct flt_result flt_parent (struct flt_state *state,
                              struct flt_request *request, clk_us now);
struct flt_result flt_key (struct flt_request *request);
struct flt_result flt_quarantine (struct flt_state *state,
                                  struct flt_request *request, clk_us now);
struct flt_result flt_allowance (struct flt_state *state,
                                 struct flt_request *request, clk_us now);
struct flt_result flt_choose (struct flt_state *state,
                              struct flt_request *request, clk_us now);
struct flt_result flt_suspect (struct flt_state *state,
                               struct flt_request *request, clk_us now);
struct flt_result flt_caller (struct flt_state *state,
                              struct flt_request *request);
struct flt_result flt_admission (struct flt_state *state,
                                 struct flt_request *request, clk_us now);
struct flt_result flt_claim (struct flt_request *request);

uint64_t flt_caller_hash (const struct flt_request *request);

/* Fingerprint of a request for quarantine.  */
uint64_t flt_fingerprint (const struct flt_request *request);

#endif
