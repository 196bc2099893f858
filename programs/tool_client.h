#ifndef PROGRAMS_TOOL_CLIENT_H
#define PROGRAMS_TOOL_CLIENT_H

/**
 * DOC: client - pooled HTTP client of the tools
 *
 * Each slot of the pool is a libwebsockets vhost with at most one connection,
 * kept open between requests.  In libwebsockets 4.1 pipelined requests of one
 * vhost wait for each other, so a shared vhost would add that wait to every
 * measured latency.
 */

#include <libwebsockets.h>
#include <stdbool.h>

#include "core/clk.h"
#include "core/list.h"
#include "programs/tool_buf.h"
#include "programs/tool_opt.h"

#define TOOL_CLIENT_HEADERS_MAX 8
#define TOOL_CLIENT_VALUE_BYTES 160

struct tool_client_header
{
  const char *name; /* ends with a colon */
  const char *value;
};

/* A request; everything is copied by tool_client_send.  */
struct tool_client_request
{
  struct tool_opt_address address;
  const char *method;
  const char *path;
  const char *host;
  struct tool_client_header headers[TOOL_CLIENT_HEADERS_MAX];
  size_t header_count;
  const char *body;
  size_t body_len;
  bool chunked;
  uint64_t timeout_ms; /* 0: none */
};

enum tool_client_outcome
{
  TOOL_CLIENT_COMPLETE,    /* the declared length or the last chunk arrived */
  TOOL_CLIENT_TRUNCATED,   /* closed after the head, before the end */
  TOOL_CLIENT_CLOSED,      /* closed before the head */
  TOOL_CLIENT_UNREACHABLE, /* no connection */
  TOOL_CLIENT_TIMED_OUT,
};

/* End of a request.  ANSWER is valid for TOOL_CLIENT_COMPLETE and
 * TOOL_CLIENT_TRUNCATED.  */
struct tool_client_result
{
  enum tool_client_outcome outcome;
  clk_us ended;
  struct
  {
    int status;
    char proxy_status[TOOL_CLIENT_VALUE_BYTES];
    struct tool_buf *body; /* valid during the callback only */
  } answer;
};

/* Called once for each request, from the service loop.  */
typedef void (*tool_client_done_fn) (void *arg,
                                     const struct tool_client_result *result);

struct tool_client_slot;

struct tool_client_pool
{
  struct lws_context *context;
  struct list idle;  /* struct tool_client_slot */
  struct list slots; /* struct tool_client_slot, all of them */
};

void tool_client_init (struct tool_client_pool *pool,
                       struct lws_context *context);

/* Frees the slots; call it after lws_context_destroy.  */
void tool_client_free (struct tool_client_pool *pool);

/* Starts a request.  The returned slot is valid until DONE was called.  */
struct tool_client_slot *
tool_client_send (struct tool_client_pool *pool,
                  const struct tool_client_request *request,
                  tool_client_done_fn done, void *arg);

/* Closes the connection of a running request; DONE is not called.  */
void tool_client_cancel (struct tool_client_slot *slot);

/* Context settings that the client needs.  */
void tool_client_set_context_info (struct lws_context_creation_info *info);

#endif
