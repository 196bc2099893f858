#include "programs/ctl_http.h"

#include <libwebsockets.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clk.h"

#define CTL_HTTP_WRITE_BYTES 16384
#define CTL_HTTP_READ_BYTES 16384
#define CTL_HTTP_VERSION_FIELD "x-version:"

/* One request and its response; the user data of the connection.  */
struct ctl_http_exchange
{
  const struct ctl_http_request *request;
  struct ctl_http_response response;
  char error[CTL_HTTP_ERROR_BYTES];
  size_t sent_bytes;
  bool complete;
  bool ended;
  struct lws_context *context;
  lws_sorted_usec_list_t timer;
};

static void
ctl_http_fail (struct ctl_http_exchange *exchange, const char *error)
{
  if (!exchange->ended)
    snprintf (exchange->error, sizeof exchange->error, "%s", error);
  exchange->ended = true;
}

static void
ctl_http_on_timeout (lws_sorted_usec_list_t *timer)
{
  struct ctl_http_exchange *exchange
      = lws_container_of (timer, struct ctl_http_exchange, timer);

  ctl_http_fail (exchange, "no complete response within the timeout");
  /* After a timer, lws_service() waits for the next event instead of
   returning.  */
  lws_cancel_service (exchange->context);
}

/* Adds a header field with the string VALUE to the request.  */
static int
ctl_http_add_field (struct lws *wsi, enum lws_token_indexes field,
                    const char *value, unsigned char **at, unsigned char *end)
{
  return lws_add_http_header_by_token (
      wsi, field, (const unsigned char *)value, (int)strlen (value), at, end);
}

/* Adds the header fields of the request and asks for a callback to write the
   body, if there is one.  */
static int
ctl_http_add_fields (struct lws *wsi, const struct ctl_http_request *request,
                     unsigned char **at, unsigned char *end)
{
  char text[CTL_HTTP_ERROR_BYTES + 1024];

  if (request->token != NULL)
    {
      snprintf (text, sizeof text, "Bearer %s", request->token);
      if (ctl_http_add_field (wsi, WSI_TOKEN_HTTP_AUTHORIZATION, text, at,
                              end))
        return -1;
    }
  if (strcmp (request->method, "GET") == 0)
    return 0;
  snprintf (text, sizeof text, "%zu", request->body_len);
  if (ctl_http_add_field (wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, text, at, end))
    return -1;
  if (request->body_len == 0)
    return 0;
  if (ctl_http_add_field (wsi, WSI_TOKEN_HTTP_CONTENT_TYPE, "application/json",
                          at, end))
    return -1;
  lws_client_http_body_pending (wsi, 1);
  lws_callback_on_writable (wsi);
  return 0;
}

/* Writes up to CTL_HTTP_WRITE_BYTES of the body.  */
static int
ctl_http_write_body (struct lws *wsi, struct ctl_http_exchange *exchange)
{
  unsigned char buffer[LWS_PRE + CTL_HTTP_WRITE_BYTES];
  const struct ctl_http_request *request = exchange->request;
  size_t remaining = request->body_len - exchange->sent_bytes;
  size_t len
      = remaining < CTL_HTTP_WRITE_BYTES ? remaining : CTL_HTTP_WRITE_BYTES;
  bool last = len == remaining;

  if (remaining == 0)
    return 0;
  memcpy (buffer + LWS_PRE, request->body + exchange->sent_bytes, len);
  if (lws_write (wsi, buffer + LWS_PRE, len,
                 last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
      < (int)len)
    return -1;
  exchange->sent_bytes += len;
  lws_client_http_body_pending (wsi, last ? 0 : 1);
  if (!last)
    lws_callback_on_writable (wsi);
  return 0;
}

/* Reads the status and the field x-version of the response.  */
static void
ctl_http_read_head (struct lws *wsi, struct ctl_http_response *response)
{
  char text[32];

  response->status = (int)lws_http_client_http_response (wsi);
  if (lws_hdr_custom_copy (wsi, text, sizeof text, CTL_HTTP_VERSION_FIELD,
                           (int)strlen (CTL_HTTP_VERSION_FIELD))
      > 0)
    response->version = strtoull (text, NULL, 10);
}

/* Appends bytes to the body of the response and a NUL behind them.  */
static int
ctl_http_append_body (struct ctl_http_exchange *exchange, const char *data,
                      size_t len)
{
  struct ctl_http_response *response = &exchange->response;
  char *body;

  if (len > CTL_HTTP_RESPONSE_BYTES_MAX - response->len)
    {
      ctl_http_fail (exchange, "the response is too long");
      return -1;
    }
  body = realloc (response->body, response->len + len + 1);
  if (body == NULL)
    {
      ctl_http_fail (exchange, "out of memory");
      return -1;
    }
  memcpy (body + response->len, data, len);
  response->body = body;
  response->len += len;
  body[response->len] = '\0';
  return 0;
}

/* Reads from the connection.  libwebsockets passes the body to the callback
   with LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ.  */
static int
ctl_http_read_body (struct lws *wsi)
{
  char buffer[LWS_PRE + CTL_HTTP_READ_BYTES];
  char *at = buffer + LWS_PRE;
  int len = CTL_HTTP_READ_BYTES;

  return lws_http_client_read (wsi, &at, &len);
}

/* Callback of libwebsockets.  */
static int
ctl_http_callback (struct lws *wsi, enum lws_callback_reasons reason,
                   void *user, void *in, size_t len)
{
  struct ctl_http_exchange *exchange = user;
  unsigned char **at = in;

  switch (reason)
    {
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      ctl_http_fail (exchange, in != NULL ? in : "the connection failed");
      return 0;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return ctl_http_add_fields (wsi, exchange->request, at, *at + len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return ctl_http_write_body (wsi, exchange);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      ctl_http_read_head (wsi, &exchange->response);
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return ctl_http_read_body (wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      return ctl_http_append_body (exchange, in, len);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      exchange->complete = !exchange->ended;
      exchange->ended = true;
      return -1;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      ctl_http_fail (exchange,
                     "the connection closed before the whole response");
      return 0;
    default:
      return 0;
    }
}

static const struct lws_protocols ctl_http_protocols[]
    = { { .name = "admin",
          .callback = ctl_http_callback,
          .rx_buffer_size = CTL_HTTP_READ_BYTES },
        { .name = NULL } };

static struct lws_context *
ctl_http_new_context (void)
{
  struct lws_context_creation_info info = { 0 };

  lws_set_log_level (0, NULL);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = ctl_http_protocols;
  info.gid = (gid_t)-1;
  info.uid = (uid_t)-1;
  return lws_create_context (&info);
}

/* Connects, then runs the event loop until the exchange has ended.  */
static void
ctl_http_run (struct ctl_http_exchange *exchange)
{
  struct lws_context *context = exchange->context;
  const struct ctl_http_request *request = exchange->request;
  struct lws_client_connect_info info = { 0 };
  char host[64];

  snprintf (host, sizeof host, "%s:%u", request->address,
            (unsigned)request->port);
  info.context = context;
  info.address = request->address;
  info.port = request->port;
  info.path = request->path;
  info.host = host;
  info.origin = host;
  info.method = request->method;
  info.alpn = "http/1.1";
  info.protocol = ctl_http_protocols[0].name;
  info.userdata = exchange;
  lws_sul_schedule (context, 0, &exchange->timer, ctl_http_on_timeout,
                    request->timeout_ms * CLK_US_PER_MS);
  if (lws_client_connect_via_info (&info) == NULL)
    ctl_http_fail (exchange, "the connection failed");
  while (!exchange->ended)
    if (lws_service (context, 0) < 0)
      ctl_http_fail (exchange, "the connection failed");
  lws_sul_cancel (&exchange->timer);
}

struct ctl_http_request
ctl_http_make_request (const struct ctl_opts *options, const char *method,
                       const char *path)
{
  return (struct ctl_http_request){
    .address = options->address,
    .port = options->port,
    .method = method,
    .path = path,
    .token = options->token[0] != '\0' ? options->token : NULL,
    .timeout_ms = options->timeout_ms,
  };
}

void
ctl_http_exchange (const struct ctl_http_request *request,
                   struct ctl_http_result *result)
{
  struct ctl_http_exchange exchange = { .request = request };

  exchange.context = ctl_http_new_context ();
  if (exchange.context == NULL)
    ctl_http_fail (&exchange, "out of memory");
  else
    ctl_http_run (&exchange);
  if (exchange.complete && exchange.response.body == NULL)
    exchange.complete = ctl_http_append_body (&exchange, "", 0) == 0;
  if (exchange.context != NULL)
    lws_context_destroy (exchange.context);
  if (exchange.complete)
    {
      result->kind = CTL_HTTP_RESPONSE;
      result->u.response = exchange.response;
      return;
    }
  free (exchange.response.body);
  result->kind = CTL_HTTP_FAILED;
  memcpy (result->u.error, exchange.error, sizeof result->u.error);
}

void
ctl_http_result_free (struct ctl_http_result *result)
{
  switch (result->kind)
    {
    case CTL_HTTP_RESPONSE:
      free (result->u.response.body);
      result->u.response.body = NULL;
      return;
    case CTL_HTTP_FAILED:
      return;
    }
}
