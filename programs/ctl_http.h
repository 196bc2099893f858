#ifndef PROGRAMS_CTL_HTTP_H
#define PROGRAMS_CTL_HTTP_H

/**
 * DOC: ctl_http - blocking HTTP client for the admin port of a node
 */

#include <stddef.h>
#include <stdint.h>

#include "programs/ctl_opts.h"

#define CTL_HTTP_ERROR_BYTES 128
#define CTL_HTTP_RESPONSE_BYTES_MAX (16 * 1024 * 1024)

/**
 * struct ctl_http_request - a request
 * @address: IP address of the node
 * @port: its admin port
 * @method: "GET", "PUT" or "POST"
 * @path: path and query
 * @token: operator's token, or NULL
 * @body: body or NULL; ignored with "GET"
 * @body_len: length of @body in bytes
 * @timeout_ms: time for connection, request and response, in milliseconds
 */
struct ctl_http_request
{
  const char *address;
  uint16_t port;
  const char *method;
  const char *path;
  const char *token;
  const char *body;
  size_t body_len;
  int64_t timeout_ms;
};

enum ctl_http_result_kind
{
  CTL_HTTP_RESPONSE,
  CTL_HTTP_FAILED, /* no complete response; the node may have executed the
                    request */
};

struct ctl_http_response
{
  int status;
  uint64_t version; /* value of x-version, 0 without it */
  char *body;       /* NUL-terminated */
  size_t len;
};

struct ctl_http_result
{
  enum ctl_http_result_kind kind;
  union
  {
    struct ctl_http_response response;
    char error[CTL_HTTP_ERROR_BYTES];
  } u;
};

/* Returns a request without a body to the node that the options name.  It
   points into OPTIONS, METHOD and PATH.  */
struct ctl_http_request ctl_http_make_request (const struct ctl_opts *options,
                                               const char *method,
                                               const char *path);

/* Sends a request and waits for the complete response or a failure.  RESULT is
   to be freed with ctl_http_result_free().  */
void ctl_http_exchange (const struct ctl_http_request *request,
                        struct ctl_http_result *result);

void ctl_http_result_free (struct ctl_http_result *result);

#endif
