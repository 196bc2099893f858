#ifndef CORE_MODEL_H
#define CORE_MODEL_H

/**
 * DOC: mdl - the configuration document as typed structs
 *
 * Built by wire/doc from a validated document and never changed afterwards.
 * Shared between tasks by reference count.
 */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"
#include "core/route.h"

#define MDL_NAME_BYTES 64
#define MDL_PATH_BYTES 128
#define MDL_PASS_HEADERS_MAX 16
#define MDL_IMPORTANCE_MAX 100

enum mdl_cost
{
  MDL_SHORT,
  MDL_LONG,
};

/* A kind of request of one service.  */
struct mdl_kind
{
  struct lst_node node;
  char name[MDL_NAME_BYTES];
  char method[16];
  char path_prefix[MDL_PATH_BYTES];
  uint8_t importance; /* 0 … 100, higher survives longer */
  bool idempotent;
  enum mdl_cost cost;
  uint32_t timeout_ms;
  uint32_t retries; /* most retries of one call */
  uint32_t index;   /* position in the service */
};

struct mdl_service
{
  struct lst_node node;
  char name[MDL_NAME_BYTES];
  uint32_t slots;       /* concurrent requests of one backend server */
  uint32_t connections; /* connections that one backend server accepts */
  uint32_t queue;       /* most waiting requests at one node */
  uint32_t long_slots_percent;
  uint32_t max_ejected_percent;
  uint32_t index;
  struct lst kinds; /* struct mdl_kind */
};

struct mdl
{
  _Atomic unsigned refs;
  uint32_t chain_allowance;      /* retries for one whole chain */
  uint32_t retry_budget_percent; /* of first attempts, per service */
  uint32_t claim_keep_hours;
  uint32_t claim_answer_bytes_max;
  uint32_t claim_keys_max;
  uint32_t quarantine_s;
  uint32_t drain_limit_ms;
  char caller_header[MDL_NAME_BYTES]; /* empty: the caller's IP address */
  uint32_t caller_share_percent;      /* of one service's queue */
  uint32_t pass_header_count;
  char pass_headers[MDL_PASS_HEADERS_MAX][MDL_NAME_BYTES];
  uint32_t service_count;
  struct lst services;      /* struct mdl_service */
  struct rte_table *routes; /* of a document that selects by host and path */
};

struct mdl *mdl_new (void);
struct mdl *mdl_ref (struct mdl *model);
void mdl_unref (struct mdl *model);

const struct mdl_service *mdl_find_service (const struct mdl *model,
                                            const char *name);

/* Kind with METHOD and the longest prefix of PATH, or NULL.  */
const struct mdl_kind *mdl_find_kind (const struct mdl_service *service,
                                      const char *method, const char *path);

#endif
