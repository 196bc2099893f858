#ifndef CORE_API_H
#define CORE_API_H

/**
 * DOC: api - control calls that backend servers and operators send to a node
 *
 * A protocol adapter decodes the calls into these types and encodes the
 * replies.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/route.h"

/* Size of an error message about a call or a document.  */
#define API_FAULT_BYTES 160

#define API_ID_BYTES 64
#define API_ADDRESS_BYTES 64

struct model;
struct httpmsg_names;

enum api_server_state
{
  API_SERVER_READY,
  API_SERVER_DRAINING,
};

/* Heartbeat of a backend server.  */
struct api_heartbeat
{
  char id[API_ID_BYTES];
  char service[ROUTE_NAME_BYTES];
  char address[API_ADDRESS_BYTES]; /* IP:PORT */
  enum api_server_state state;
  uint32_t slots;
  uint32_t warmup_ms;  /* remaining warm-up time */
  uint64_t sequence;   /* increases with each heartbeat */
  uint64_t started_ms; /* wall clock time of its start; 0 when unknown */
};

enum api_kind
{
  API_READINESS, /* readiness probe of the node */
  API_HEARTBEAT,
  API_DEREGISTER,   /* removes a backend server */
  API_APPLY_CONFIG, /* replaces the configuration */
  API_GET_CONFIG,   /* reads the newest configuration */
  API_METRICS,
  API_UNKNOWN,   /* no such call */
  API_MALFORMED, /* the call cannot be decoded */
};

struct api_deregister
{
  char id[API_ID_BYTES];
  uint64_t started_ms; /* 0 when unknown */
};

struct api_apply
{
  uint64_t base_version; /* version that the change is based on, 0 for none */
  uint64_t new_version;  /* 1 or higher */
  char change_id[64];    /* the same in all resends of one change */
};

/* A decoded call.  */
struct api_call
{
  enum api_kind kind;
  char fault[API_FAULT_BYTES]; /* error message of API_MALFORMED */
  union
  {
    struct api_heartbeat heartbeat;
    struct api_deregister deregister;
    struct api_apply apply;
  } u;
};

/* Operations of a protocol adapter.  */
struct api_adapter
{
  const struct httpmsg_names *names; /* names of the HTTP fields */
  void (*decode) (const char *method, const char *target,
                  const char *base_version, const char *body, size_t len,
                  struct api_call *out);
  /* Builds the model of a configuration document.  Returns SR_OK, or
     SR_EMALFORMED or SR_EINVAL with an error message in FAULT.  */
  int (*parse) (const char *document, size_t len, struct model **out,
                char fault[API_FAULT_BYTES]);
};

#endif
