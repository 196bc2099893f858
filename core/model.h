#ifndef CORE_MODEL_H
#define CORE_MODEL_H

/**
 * DOC: model - the configuration document as typed structs
 *
 * Built by wire/doc from a validated document and never changed afterwards.
 * Shared between tasks by reference count.
 */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"
#include "core/route.h"

#define MODEL_NAME_BYTES 64
#define MODEL_PATH_BYTES 128
#define MODEL_PASS_HEADERS_MAX 16
#define MODEL_IMPORTANCE_MAX 100

enum model_cost
{
  MODEL_COST_SHORT,
  MODEL_COST_LONG,
};

/* A kind of request of one service.  */
struct model_kind
{
  struct list_node node;
  char name[MODEL_NAME_BYTES];
  char method[16];
  char path_prefix[MODEL_PATH_BYTES];
  uint8_t importance; /* 0 … 100, higher survives longer */
  bool idempotent;
  enum model_cost cost;
  uint32_t timeout_ms;
  uint32_t retries_max; /* most retries of one call */
  uint32_t index;       /* position in the service */
};

struct model_service
{
  struct list_node node;
  char name[MODEL_NAME_BYTES];
  uint32_t slots;           /* concurrent requests of one backend server */
  uint32_t connections_max; /* connections that one backend server accepts */
  uint32_t queue_max;       /* most waiting requests at one node */
  uint32_t long_slots_percent;
  uint32_t max_ejected_percent;
  uint32_t index;
  struct list kinds; /* struct model_kind */
};

struct model
{
  _Atomic unsigned refs;
  uint32_t chain_allowance;      /* retries for one whole chain */
  uint32_t retry_budget_percent; /* of first attempts, per service */
  uint32_t claim_retention_hours;
  uint32_t claim_answer_bytes_max;
  uint32_t claim_keys_max;
  uint32_t quarantine_s;
  uint32_t drain_limit_ms;
  char caller_header[MODEL_NAME_BYTES]; /* empty: the caller's IP address */
  uint32_t caller_share_percent;        /* of one service's queue */
  uint32_t pass_header_count;
  char pass_headers[MODEL_PASS_HEADERS_MAX][MODEL_NAME_BYTES];
  uint32_t service_count;
  struct list services;       /* struct model_service */
  struct route_table *routes; /* of a document that selects by host and path */
};

struct model *model_new (void);
struct model *model_ref (struct model *model);
void model_unref (struct model *model);

const struct model_service *model_find_service (const struct model *model,
                                                const char *name);

/* Kind with METHOD and the longest prefix of PATH, or NULL.  */
const struct model_kind *model_find_kind (const struct model_service *service,
                                          const char *method,
                                          const char *path);

#endif
