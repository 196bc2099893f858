#ifndef CORE_API_H
#define CORE_API_H

/**
 * DOC: api - what backend servers and operators ask of a node
 *
 * An adapter decodes calls into these types and encodes the answers.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/route.h"

/* What is wrong with a call or a document, in words.  */
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
  uint32_t warmup_ms; /* time for which it will still be slow */
  uint64_t sequence;
  uint64_t started_ms; /* wall clock time of its start; 0 when not told */
};

enum api_kind
{
  API_READINESS, /* may this node be sent requests */
  API_HEARTBEAT,
  API_DEREGISTER,   /* a backend server has left */
  API_APPLY_CONFIG, /* a change of the configuration */
  API_GET_CONFIG,   /* the newest configuration */
  API_METRICS,
  API_UNKNOWN,   /* no such call */
  API_MALFORMED, /* the call cannot be read */
};

struct api_deregister
{
  char id[API_ID_BYTES];
  uint64_t started_ms; /* 0 when not told */
};

struct api_apply
{
  uint64_t base_version;
  uint64_t new_version;
  char change_id[64]; /* equal for resends of the same change only */
};

/* A decoded call.  */
struct api_call
{
  enum api_kind kind;
  char fault[API_FAULT_BYTES]; /* for API_MALFORMED: what is wrong */
  union
  {
    struct api_heartbeat heartbeat;
    struct api_deregister deregister;
    struct api_apply apply;
  } u;
};

/* What the adapter provides.  */
struct api_adapter
{
  const struct httpmsg_names *names; /* of HTTP fields */
  void (*decode) (const char *method, const char *target,
                  const char *base_version, const char *body, size_t len,
                  struct api_call *out);
  /* Builds the routing table of a document; SR_OK, SR_EMALFORMED, SR_EINVAL
     with the reason in FAULT.  */
  int (*parse) (const char *document, size_t len, struct model **out,
                char fault[API_FAULT_BYTES]);
};

#endif
