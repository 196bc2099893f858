#ifndef CORE_MODEL_H
#define CORE_MODEL_H

/**
 * DOC: model - decoded configuration document
 *
 * Built from a validated document and immutable afterwards.  Shared between
 * tasks by reference counting.
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

/* A request kind of one service: its matching rule and its limits.  */
struct model_kind
{
  struct list_node node;
  char name[MODEL_NAME_BYTES];
  char method[16];
  char path_prefix[MODEL_PATH_BYTES];
  uint8_t importance; /* 0 … 100; lower is shed first */
  bool idempotent;
  enum model_cost cost;
  uint32_t timeout_ms;
  uint32_t retries_max; /* of one call, hedges included */
  uint32_t index;       /* position in the service */
};

struct model_service
{
  struct list_node node;
  char name[MODEL_NAME_BYTES];
  uint32_t slots;           /* concurrent requests of one backend server */
  uint32_t connections_max; /* that one backend server accepts */
  uint32_t queue_max;       /* queued requests at one node */
  uint32_t long_slots_percent;
  uint32_t max_ejected_percent;
  uint32_t index;
  struct list kinds; /* struct model_kind */
};

struct model
{
  _Atomic unsigned refs;
  uint32_t chain_allowance;      /* retries of one call chain */
  uint32_t retry_budget_percent; /* of first attempts, per service */
  uint32_t claim_retention_hours;
  uint32_t claim_answer_bytes_max;
  uint32_t claim_keys_max;
  uint32_t quarantine_s;
  uint32_t drain_limit_ms;
  char caller_header[MODEL_NAME_BYTES]; /* field that names the caller; empty:
                                           callers by IP address */
  uint32_t caller_share_percent;        /* maximum, of one service's queue */
  uint32_t pass_header_count;
  char pass_headers[MODEL_PASS_HEADERS_MAX][MODEL_NAME_BYTES];
  uint32_t service_count;
  struct list services;       /* struct model_service */
  struct route_table *routes; /* NULL without routes by host and path */
};

/* Returns an empty model with one reference, or NULL when memory is short.  */
struct model *model_new (void);

/* Adds a reference; returns MODEL.  */
struct model *model_ref (struct model *model);

/* Drops a reference and frees the model with the last one; NULL is allowed. */
void model_unref (struct model *model);

/* Returns the service called NAME, or NULL.  */
const struct model_service *model_find_service (const struct model *model,
                                                const char *name);

/* Returns the kind with METHOD whose path prefix is the longest one that
   matches PATH, or NULL.  */
const struct model_kind *model_find_kind (const struct model_service *service,
                                          const char *method,
                                          const char *path);

#endif
