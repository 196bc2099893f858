#ifndef PROGRAMS_TOOL_CLIENT_H
#define PROGRAMS_TOOL_CLIENT_H

/**
 * DOC: tool_client - HTTP client with a connection pool for the tools
 *
 * Each slot of the pool is a libwebsockets vhost with at most one connection,
 * which stays open between requests.  libwebsockets 4.1 pipelines the requests
 * of a vhost, so with a shared vhost they would wait for each other and the
 * wait would show in every measured latency.
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

/* A request.  tool_client_send() copies all of it.  */
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
  TOOL_CLIENT_COMPLETE,  /* body arrived to its content length or last chunk */
  TOOL_CLIENT_TRUNCATED, /* closed after the head, before the end */
  TOOL_CLIENT_CLOSED,    /* closed before the head */
  TOOL_CLIENT_UNREACHABLE, /* no connection */
  TOOL_CLIENT_TIMED_OUT,
};

/* Result of a request.  @answer is valid for TOOL_CLIENT_COMPLETE and
   TOOL_CLIENT_TRUNCATED.  */
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

/* Called once for each request that is not cancelled, from the event loop.  */
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

/* Frees the slots.  Call it after lws_context_destroy().  */
void tool_client_free (struct tool_client_pool *pool);

/* Starts a request on an idle connection or a new one.  The returned slot is
   valid until DONE is called.  */
struct tool_client_slot *
tool_client_send (struct tool_client_pool *pool,
                  const struct tool_client_request *request,
                  tool_client_done_fn done, void *arg);

/* Cancels a request by closing its connection; DONE is not called.  */
void tool_client_cancel (struct tool_client_slot *slot);

/* Sets the fields of INFO, for a context or a vhost, that the client needs. */
void tool_client_set_context_info (struct lws_context_creation_info *info);

#endif
