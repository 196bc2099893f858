#ifndef PROGRAMS_CTL_HTTP_H
#define PROGRAMS_CTL_HTTP_H

/**
 * DOC: cth - one HTTP request to the admin port of a node
 */

#include <stddef.h>
#include <stdint.h>

#include "programs/ctl_opts.h"

#define CTH_ERROR_BYTES 128
#define CTH_RESPONSE_BYTES_MAX (16 * 1024 * 1024)

/**
 * struct cth_request - a request
 * @address: IP address of the node
 * @port: its admin port
 * @method: "GET", "PUT" or "POST"
 * @path: with the query
 * @token: operator's token, or NULL
 * @body: NULL for none; not used with "GET"
 * @body_len: length of @body
 * @timeout_ms: for the whole exchange
 */
struct cth_request
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

enum cth_kind
{
  CTH_RESPONSE,
  CTH_FAILED, /* no complete response: the request may have been carried out */
};

struct cth_response
{
  int status;
  uint64_t version; /* of the field x-version; 0 when absent */
  char *body;       /* ends with NUL */
  size_t len;
};

struct cth_result
{
  enum cth_kind kind;
  union
  {
    struct cth_response response;
    char error[CTH_ERROR_BYTES];
  } u;
};

/* A request without body to the node that the options name.  */
struct cth_request cth_request_to (const struct cto_options *options,
                                   const char *method, const char *path);

/* Sends a request and waits for the complete response.  */
void cth_exchange (const struct cth_request *request,
                   struct cth_result *result);

void cth_result_free (struct cth_result *result);

#endif
