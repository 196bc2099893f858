#include "programs/fake_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "programs/fake_chunk.h"
#include "programs/fake_report.h"
#include "programs/fake_work.h"

#define FAKE_SERVER_WRITE_BYTES 16384
#define FAKE_SERVER_HEAD_BYTES 1024
#define FAKE_SERVER_REPORT_BYTES 128

/* User data of a connection: its current request, or NULL.  libwebsockets
   clears it after each request; the opaque user data, which stays, is a
   refusal that is sent once more when the next request arrives, or NULL.  */
struct fake_server_connection
{
  struct fake_request *request;
};

struct fake_server_method
{
  enum lws_token_indexes token;
  const char *name;
};

static const struct fake_server_method fake_server_methods[] = {
  { WSI_TOKEN_GET_URI, "GET" },         { WSI_TOKEN_POST_URI, "POST" },
  { WSI_TOKEN_PUT_URI, "PUT" },         { WSI_TOKEN_DELETE_URI, "DELETE" },
  { WSI_TOKEN_PATCH_URI, "PATCH" },     { WSI_TOKEN_HEAD_URI, "HEAD" },
  { WSI_TOKEN_OPTIONS_URI, "OPTIONS" },
};

/* Copies a header that has no token in libwebsockets, or an empty string when
   it is absent; NAME ends with a colon.  */
static void
fake_server_copy_custom_header (struct lws *wsi, char *out, int size,
                                const char *name)
{
  if (lws_hdr_custom_copy (wsi, out, size, name, (int)strlen (name)) < 0)
    out[0] = '\0';
}

/* Copies the method and the request target.  */
static void
fake_server_copy_target (struct fake_request *request, struct lws *wsi)
{
  char *path = request->echo.path;
  size_t len;

  for (size_t i = 0; i < LWS_ARRAY_SIZE (fake_server_methods); i++)
    if (lws_hdr_total_length (wsi, fake_server_methods[i].token) > 0)
      {
        snprintf (request->method, sizeof request->method, "%s",
                  fake_server_methods[i].name);
        if (lws_hdr_copy (wsi, path, TOOL_ANSWER_PATH_BYTES,
                          fake_server_methods[i].token)
            < 0)
          snprintf (path, TOOL_ANSWER_PATH_BYTES, "/path-too-long");
      }
  len = strlen (path);
  if (lws_hdr_total_length (wsi, WSI_TOKEN_HTTP_URI_ARGS) > 0
      && len + 2 < TOOL_ANSWER_PATH_BYTES
      && lws_hdr_copy (wsi, path + len + 1,
                       (int)(TOOL_ANSWER_PATH_BYTES - len - 1),
                       WSI_TOKEN_HTTP_URI_ARGS)
             > 0)
    path[len] = '?';
}

static void
fake_server_copy_headers (struct fake_request *request, struct lws *wsi)
{
  char text[32];

  fake_server_copy_custom_header (wsi, request->echo.caller,
                                  TOOL_ANSWER_FIELD_BYTES, "x-caller-id:");
  fake_server_copy_custom_header (wsi, request->echo.key,
                                  TOOL_ANSWER_FIELD_BYTES, "idempotency-key:");
  fake_server_copy_custom_header (wsi, request->traceparent,
                                  FAKE_TRACEPARENT_BYTES, "traceparent:");
  if (request->fake->options.id_field != NULL)
    fake_server_copy_custom_header (wsi, request->request_id,
                                    FAKE_REQUEST_ID_BYTES,
                                    request->fake->options.id_field_name);
  fake_server_copy_custom_header (wsi, request->tracestate,
                                  FAKE_TRACESTATE_BYTES, "tracestate:");
  fake_server_copy_custom_header (wsi, text, sizeof text,
                                  "x-request-timeout-ms:");
  request->timeout_ms = strtoull (text, NULL, 10);
  if (lws_hdr_copy (wsi, text, sizeof text, WSI_TOKEN_HTTP_TRANSFER_ENCODING)
      > 0)
    request->chunked = strstr (text, "chunked") != NULL;
}

static struct fake_request *
fake_server_new_request (struct lws *wsi)
{
  struct fake_request *request = calloc (1, sizeof *request);

  INVARIANT (request != NULL);
  request->fake = lws_context_user (lws_get_context (wsi));
  request->wsi = wsi;
  request->phase = FAKE_READING;
  fake_server_copy_target (request, wsi);
  fake_server_copy_headers (request, wsi);
  return request;
}

/* Whether the request has a body, so that it is not complete yet.  */
static bool
fake_server_has_body (const struct fake_request *request, struct lws *wsi)
{
  char text[24];

  if (request->chunked)
    return true;
  return lws_hdr_copy (wsi, text, sizeof text, WSI_TOKEN_HTTP_CONTENT_LENGTH)
             > 0
         && strtoull (text, NULL, 10) > 0;
}

static void
fake_server_free_request (struct fake_server_connection *connection)
{
  struct fake_request *request = connection->request;

  if (request == NULL)
    return;
  connection->request = NULL;
  fake_work_on_request_end (request);
  tool_buf_free (&request->body);
  tool_buf_free (&request->answer);
  free (request);
}

static int
fake_server_on_request (struct fake_server_connection *connection,
                        struct lws *wsi)
{
  connection->request = fake_server_new_request (wsi);
  if (lws_get_opaque_user_data (wsi) != NULL)
    lws_callback_on_writable (wsi);
  if (!fake_server_has_body (connection->request, wsi))
    fake_work_on_request (connection->request);
  return 0;
}

static int
fake_server_on_body (struct fake_request *request, const char *bytes,
                     size_t len)
{
  if (request == NULL || request->phase != FAKE_READING)
    return 0;
  if (!request->chunked)
    {
      tool_buf_add (&request->body, bytes, len);
      return 0;
    }
  if (fake_chunk_feed (request, bytes, len) != SR_OK)
    return -1;
  if (request->chunk_state == FAKE_CHUNK_DONE)
    fake_work_on_request (request);
  return 0;
}

static int
fake_server_on_body_end (struct fake_request *request)
{
  if (request != NULL && request->phase == FAKE_READING && !request->chunked)
    fake_work_on_request (request);
  return 0;
}

void
fake_server_send_answer (struct fake_request *request)
{
  lws_callback_on_writable (request->wsi);
}

static int
fake_server_add_header (struct lws *wsi, const char *name, const char *value,
                        unsigned char **at, unsigned char *end)
{
  return lws_add_http_header_by_name (wsi, (const unsigned char *)name,
                                      (const unsigned char *)value,
                                      (int)strlen (value), at, end);
}

/* Adds FIELD, "NAME: VALUE".  */
static int
fake_server_add_field (struct lws *wsi, const char *field, unsigned char **at,
                       unsigned char *end)
{
  char name[TOOL_OPT_FIELD_NAME_BYTES];
  const char *colon = strchr (field, ':');

  snprintf (name, sizeof name, "%.*s:", (int)(colon - field), field);
  return fake_server_add_header (wsi, name, colon + 2, at, end);
}

/* Adds the fields of --answer-field, --refusal-field and --id-field.  */
static int
fake_server_add_fields (const struct fake_request *request, unsigned char **at,
                        unsigned char *end)
{
  const struct fake_options *options = &request->fake->options;
  const struct tool_opt_list *fields = &options->answer_fields;

  for (size_t i = 0; i < fields->count; i++)
    if (fake_server_add_field (request->wsi, fields->items[i], at, end))
      return -1;
  if (request->action.kind == FAKE_ACTION_REFUSE
      && fake_server_add_field (request->wsi, options->refusal_field, at, end))
    return -1;
  if (request->request_id[0] == '\0')
    return 0;
  return fake_server_add_header (request->wsi, options->id_field_name,
                                 request->request_id, at, end);
}

static int
fake_server_send_head (struct fake_request *request)
{
  unsigned char head[LWS_PRE + FAKE_SERVER_HEAD_BYTES];
  unsigned char *start = head + LWS_PRE;
  unsigned char *at = start;
  unsigned char *end = head + sizeof head - 1;
  struct lws *wsi = request->wsi;
  char report[FAKE_SERVER_REPORT_BYTES];

  fake_report_format (request->fake, report, sizeof report);
  if (lws_add_http_header_status (wsi, (unsigned)request->status, &at, end)
      || lws_add_http_header_content_length (wsi, request->answer.len, &at,
                                             end)
      || fake_server_add_header (wsi, "content-type:", "text/plain", &at, end)
      || fake_server_add_header (wsi, "endpoint-load-metrics:", report, &at,
                                 end)
      || fake_server_add_fields (request, &at, end)
      || (request->chunked
          && fake_server_add_header (wsi, "connection:", "close", &at, end))
      || lws_finalize_write_http_header (wsi, start, &at, end))
    return -1;
  request->head_sent = true;
  lws_callback_on_writable (wsi);
  return 0;
}

/* Draws whether a refusal will be sent once more.  */
static void
fake_server_draw_late_copy (const struct fake_request *request)
{
  struct fake_state *fake = request->fake;
  char *copy = NULL;

  if (request->action.kind != FAKE_ACTION_REFUSE
      || rng_below (&fake->rng, 100) >= fake->options.repeat_percent)
    return;
  if (asprintf (&copy,
                "HTTP/1.1 503 Service Unavailable\r\n%s %s\r\n%s\r\n"
                "Content-Length: 0\r\n\r\n",
                fake->options.id_field_name, request->request_id,
                fake->options.refusal_field)
      < 0)
    copy = NULL;
  lws_set_opaque_user_data (request->wsi, copy);
}

/* Sends the late copy, before anything of the answer in progress.  */
static int
fake_server_send_late_copy (struct lws *wsi)
{
  unsigned char buffer[LWS_PRE + FAKE_SERVER_HEAD_BYTES];
  char *copy = lws_get_opaque_user_data (wsi);
  size_t len = strnlen (copy, FAKE_SERVER_HEAD_BYTES);

  memcpy (buffer + LWS_PRE, copy, len);
  free (copy);
  lws_set_opaque_user_data (wsi, NULL);
  if (lws_write (wsi, buffer + LWS_PRE, len, LWS_WRITE_HTTP_HEADERS)
      < (int)len)
    return -1;
  lws_callback_on_writable (wsi);
  return 0;
}

/* Ends the exchange and keeps the connection open, except after a chunked
   request body, whose end libwebsockets 4.1 does not detect.  */
static int
fake_server_finish (struct fake_server_connection *connection, struct lws *wsi)
{
  bool chunked = connection->request->chunked;

  fake_server_draw_late_copy (connection->request);
  fake_server_free_request (connection);
  if (chunked)
    return -1;
  return lws_http_transaction_completed (wsi) ? -1 : 0;
}

static int
fake_server_on_writeable (struct fake_server_connection *connection,
                          struct lws *wsi)
{
  struct fake_request *request = connection->request;
  unsigned char buffer[LWS_PRE + FAKE_SERVER_WRITE_BYTES];
  size_t remaining;
  size_t len;

  if (request != NULL && lws_get_opaque_user_data (wsi) != NULL)
    return fake_server_send_late_copy (wsi);
  if (request == NULL || request->phase != FAKE_ANSWERING)
    return 0;
  if (!request->head_sent)
    return fake_server_send_head (request);
  remaining = request->answer.len - request->sent_bytes;
  if (request->action.kind == FAKE_ACTION_TRUNCATE
      && request->sent_bytes >= request->action.u.truncate_at)
    return -1;
  if (request->action.kind == FAKE_ACTION_TRUNCATE)
    remaining = request->action.u.truncate_at - request->sent_bytes;
  len = remaining < FAKE_SERVER_WRITE_BYTES ? remaining
                                            : FAKE_SERVER_WRITE_BYTES;
  memcpy (buffer + LWS_PRE, request->answer.data + request->sent_bytes, len);
  if (lws_write (wsi, buffer + LWS_PRE, len,
                 request->sent_bytes + len == request->answer.len
                     ? LWS_WRITE_HTTP_FINAL
                     : LWS_WRITE_HTTP)
      < 0)
    return -1;
  request->sent_bytes += len;
  if (request->sent_bytes == request->answer.len)
    return fake_server_finish (connection, wsi);
  lws_callback_on_writable (wsi);
  return 0;
}

static int
fake_server_callback (struct lws *wsi, enum lws_callback_reasons reason,
                      void *user, void *in, size_t len)
{
  struct fake_server_connection *connection = user;

  switch (reason)
    {
    case LWS_CALLBACK_HTTP:
      return fake_server_on_request (connection, wsi);
    case LWS_CALLBACK_HTTP_BODY:
      return fake_server_on_body (connection->request, in, len);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      return fake_server_on_body_end (connection->request);
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return fake_server_on_writeable (connection, wsi);
    case LWS_CALLBACK_CLOSED_HTTP:
      if (connection != NULL)
        fake_server_free_request (connection);
      free (lws_get_opaque_user_data (wsi));
      lws_set_opaque_user_data (wsi, NULL);
      return 0;
    default:
      return 0;
    }
}

static const struct lws_protocols fake_server_protocols[]
    = { { "http", fake_server_callback, sizeof (struct fake_server_connection),
          0, 0, NULL, 0 },
        { NULL, NULL, 0, 0, 0, NULL, 0 } };

int
fake_server_open (struct fake_state *fake)
{
  struct lws_context_creation_info info = { 0 };

  tool_client_set_context_info (&info);
  info.port = fake->options.listen.port;
  info.iface = fake->options.listen.ip;
  info.vhost_name = "server";
  info.protocols = fake_server_protocols;
  return lws_create_vhost (fake->context, &info) != NULL ? SR_OK : SR_EIO;
}
