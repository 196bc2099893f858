#ifndef PROGRAMS_TOOL_CLIENT_H
#define PROGRAMS_TOOL_CLIENT_H

/**
 * DOC: tcl - pooled HTTP client of the tools
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

#define TCL_HEADERS_MAX 8
#define TCL_VALUE_BYTES 160

struct tcl_header
{
  const char *name; /* ends with a colon */
  const char *value;
};

/* A request; everything is copied by tcl_send.  */
struct tcl_request
{
  struct top_address to;
  const char *method;
  const char *path;
  const char *host;
  struct tcl_header headers[TCL_HEADERS_MAX];
  size_t header_count;
  const char *body;
  size_t body_len;
  bool chunked;
  uint64_t timeout_ms; /* 0: none */
};

enum tcl_outcome
{
  TCL_WHOLE,       /* the declared length or the last chunk arrived */
  TCL_TRUNCATED,   /* closed after the head, before the end */
  TCL_CLOSED,      /* closed before the head */
  TCL_UNREACHABLE, /* no connection */
  TCL_TIMED_OUT,
};

/* End of a request.  ANSWER is valid for TCL_WHOLE and TCL_TRUNCATED.  */
struct tcl_result
{
  enum tcl_outcome outcome;
  clk_us ended;
  struct
  {
    int status;
    char proxy_status[TCL_VALUE_BYTES];
    struct tbf *body; /* valid during the callback only */
  } answer;
};

/* Called once for each request, from the service loop.  */
typedef void (*tcl_done_fn) (void *arg, const struct tcl_result *result);

struct tcl_slot;

struct tcl
{
  struct lws_context *context;
  struct lst idle;  /* struct tcl_slot */
  struct lst slots; /* struct tcl_slot, all of them */
};

void tcl_init (struct tcl *pool, struct lws_context *context);

/* Frees the slots; call it after lws_context_destroy.  */
void tcl_free (struct tcl *pool);

/* Starts a request.  The returned slot is valid until DONE was called.  */
struct tcl_slot *tcl_send (struct tcl *pool, const struct tcl_request *request,
                           tcl_done_fn done, void *arg);

/* Closes the connection of a running request; DONE is not called.  */
void tcl_cancel (struct tcl_slot *slot);

/* Context settings that the client needs.  */
void tcl_context_info (struct lws_context_creation_info *info);

#endif
