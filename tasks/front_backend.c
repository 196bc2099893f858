#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/err.h"
#include "core/httpstatus.h"
#include "core/slog.h"
#include "tasks/front_state.h"
#include "wire/tracestate.h"

#define FRONT_BACKEND_READ_BYTES (16 * 1024)
#define FRONT_BACKEND_KEEP_WARM_S 40
/* Maximum idle time of a connection that is reused for a non-idempotent
   request.  Servers close idle connections, and a request written to a
   connection that is being closed cannot be repeated.  */
#define FRONT_BACKEND_NON_IDEMPOTENT_IDLE_MAX_US clk_s (1)
/* Connections idle for longer are not reused, because a middlebox may have
   dropped their state; libwebsockets closes them a little later.  */
#define FRONT_BACKEND_IDLE_MAX_US clk_s (30)
/* A reused connection counts as silent when the first byte of the answer takes
   longer than the time to the deadline divided by this.  */
#define FRONT_BACKEND_SILENT_DIVISOR 4
/* Time without redispatches after a new connection was silent.  */
#define FRONT_BACKEND_REDISPATCH_PAUSE_US clk_s (5)

static const struct lws_protocols front_backend_protocols[]
    = { { "backend", front_backend_lws_callback, 0, FRONT_BACKEND_READ_BYTES,
          0, NULL, 0 },
        { NULL, NULL, 0, 0, 0, NULL, 0 } };

/* Creates a connection record with its own vhost.  */
static struct front_backend_conn *
front_backend_new_conn (struct front *front)
{
  struct front_backend_conn *conn = calloc (1, sizeof *conn);
  struct lws_context_creation_info info = { 0 };

  INVARIANT (conn != NULL);
  conn->front = front;
  snprintf (conn->vhost_name, sizeof conn->vhost_name, "backend-%u",
            front->backend.vhost_count++);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = front_backend_protocols;
  info.vhost_name = conn->vhost_name;
  conn->vhost = lws_create_vhost (front->context, &info);
  if (conn->vhost == NULL)
    {
      free (conn);
      return NULL;
    }
  front->backend.conn_count++;
  return conn;
}

/* Returns an idle connection record or a new one; NULL at the declared
   connection limit.  */
static struct front_backend_conn *
front_backend_acquire_conn (struct front *front)
{
  struct front_backend *backend = &front->backend;
  struct list_node *node = list_pop_head (&backend->idle);
  struct front_backend_conn *conn;

  if (node != NULL)
    conn = list_entry (node, struct front_backend_conn, node);
  else if (backend->conn_count < backend->connections_max)
    conn = front_backend_new_conn (front);
  else
    conn = NULL;
  if (conn != NULL)
    list_push_tail (&backend->busy, &conn->node);
  return conn;
}

/* Returns a connection record to the pool; CONNECTED when its connection can
   be reused.  */
static void
front_backend_release_conn (struct front_backend_conn *conn, bool connected)
{
  struct front_backend *backend = &conn->front->backend;

  list_remove (&conn->node);
  connected = connected && conn->keep_alive;
  conn->serve = NULL;
  conn->idle_since = connected ? clk_now () : 0;
  if (connected)
    list_push_head (&backend->idle, &conn->node);
  else
    list_push_tail (&backend->idle, &conn->node);
}

/* Whether the idle connection of CONN may carry the request.  */
static bool
front_backend_may_reuse (const struct front_backend_conn *conn,
                         const struct front_serve *serve)
{
  clk_us idle = clk_now () - conn->idle_since;

  if (conn->idle_since == 0 || idle >= FRONT_BACKEND_IDLE_MAX_US)
    return false;
  return serve->req.kind->idempotent
         || idle < FRONT_BACKEND_NON_IDEMPOTENT_IDLE_MAX_US;
}

/* Closes the connection; its record can be reused at once.  */
static void
front_backend_close_conn (struct front_backend_conn *conn)
{
  if (conn->wsi != NULL)
    lws_set_timeout (conn->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  conn->idle_since = 0;
}

/* Closes all idle connections; a middlebox that dropped one connection may
   have dropped the others as well.  */
static void
front_backend_close_idle (struct front *front)
{
  list_each (node, &front->backend.idle)
    front_backend_close_conn (
        list_entry (node, struct front_backend_conn, node));
}

/* Whether a request without a first byte is sent again on a new connection.
   Not when new connections are silent as well: then the server is slow, and a
   second copy would only add load.  */
static bool
front_backend_may_redispatch (struct front_serve *serve, clk_us now)
{
  struct front *front = serve->front;
  struct filter_service *service
      = filter_find_service (&front->state, serve->req.service_name);

  if (serve->redispatched)
    {
      front->backend.stalled_until = now + FRONT_BACKEND_REDISPATCH_PAUSE_US;
      return false;
    }
  if (now < front->backend.stalled_until || !serve->req.kind->idempotent)
    return false;
  if (service == NULL || serve->hop->allowance.remaining == 0
      || !retry_budget_take (&service->budget, now))
    return false;
  return retry_allowance_take (&serve->hop->allowance);
}

/* Timer: the first byte of the answer was not received in time.  */
static void
front_backend_handle_silence (lws_sorted_usec_list_t *timer)
{
  struct front_serve *serve
      = lws_container_of (timer, struct front_serve, retry_timer);

  if (serve->conn == NULL || serve->head_sent
      || !front_backend_may_redispatch (serve, clk_now ()))
    return;
  counter_add_retry (REASON_RETRY_CONNECTION_SILENT);
  front_backend_close_idle (serve->front);
  front_backend_abandon (serve);
  serve->redispatched = true;
  if (!front_backend_dispatch (serve, true))
    front_serve_refuse (serve, REASON_CONNECTION_SILENT, REASON_RUN_UNKNOWN);
}

/* Arms the timer for the first byte of the answer.  */
static void
front_backend_arm_silence_timer (struct front_serve *serve)
{
  clk_us now = clk_now ();
  clk_us remaining = serve->req.deadline > now ? serve->req.deadline - now : 0;

  if (serve->body.base != 0)
    return;
  lws_sul_schedule (serve->front->context, 0, &serve->retry_timer,
                    front_backend_handle_silence,
                    (lws_usec_t)(remaining / FRONT_BACKEND_SILENT_DIVISOR));
}

bool
front_backend_dispatch (struct front_serve *serve, bool new_connection)
{
  struct front *front = serve->front;
  struct front_backend_conn *conn = front_backend_acquire_conn (front);
  struct lws_client_connect_info info = { 0 };

  if (conn == NULL)
    return false;
  conn->reused = !new_connection && front_backend_may_reuse (conn, serve);
  if (!conn->reused)
    front_backend_close_conn (conn);
  conn->keep_alive = conn->reused || conn->wsi == NULL;
  conn->serve = serve;
  conn->head_received = false;
  conn->received_bytes = 0;
  conn->body_sent_bytes = serve->body.base;
  conn->paused = false;
  serve->conn = conn;
  conn->previous_wsi = conn->wsi;
  conn->wsi = NULL;
  info.context = front->context;
  info.vhost = conn->vhost;
  info.address = front->backend.host;
  info.port = front->backend.port;
  info.host = conn->keep_alive ? front->backend.host : serve->req.service_name;
  info.path = serve->path;
  info.method = serve->method;
  info.protocol = NULL;
  info.local_protocol_name = front_backend_protocols[0].name;
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  /* Without this flag libwebsockets opens a new connection and closes it after
     the answer.  */
  if (conn->keep_alive)
    info.ssl_connection |= LCCSCF_PIPELINE;
  info.keep_warm_secs = FRONT_BACKEND_KEEP_WARM_S;
  info.opaque_user_data = conn;
  info.pwsi = &conn->wsi;
  if (!conn->reused)
    counter_add (COUNTER_CONNECTIONS, 1);
  /* A failure within this call was reported to the callback already, which has
     ended the request.  */
  lws_client_connect_via_info (&info);
  if (conn->serve == serve && (conn->reused || serve->redispatched))
    front_backend_arm_silence_timer (serve);
  return true;
}

void
front_backend_abandon (struct front_serve *serve)
{
  struct front_backend_conn *conn = serve->conn;

  serve->conn = NULL;
  conn->serve = NULL;
  if (conn->wsi != NULL)
    front_backend_close_conn (conn);
  else
    front_backend_release_conn (conn, false);
}

void
front_backend_resume_write (struct front_serve *serve)
{
  if (serve->conn->wsi != NULL && serve->sent_to_backend)
    lws_callback_on_writable (serve->conn->wsi);
}

void
front_backend_resume_read (struct front_serve *serve)
{
  struct front_backend_conn *conn = serve->conn;

  if (conn == NULL || !conn->paused || !front_answer_has_room (serve))
    return;
  conn->paused = false;
  lws_rx_flow_control (conn->wsi, 1);
}

/* Formats tracestate: the member with the hop id, then those of other
   vendors.  */
static void
front_backend_format_tracestate (const struct front_serve *serve, char *out,
                                 size_t size)
{
  const char *state = msg_field_get (&serve->fields, "tracestate");
  char hop[RNG_ID_DIGITS + 1];

  digest_hex (serve->hop->id, RNG_ID_BYTES, hop);
  snprintf (out, size, TRACESTATE_KEY "=%s", hop);
  if (state != NULL)
    tracestate_append_others (state, out, size);
}

/* Formats a traceparent with a new trace id, for a request without one.  */
static void
front_backend_new_traceparent (char *out, size_t size)
{
  uint8_t id[RNG_ID_BYTES + 8];
  char trace[RNG_ID_DIGITS + 1];
  char span[17];

  rng_os_bytes (id, sizeof id);
  digest_hex (id, RNG_ID_BYTES, trace);
  digest_hex (id + RNG_ID_BYTES, 8, span);
  snprintf (out, size, "00-%s-%s-00", trace, span);
}

/* Replaces the Host line, which is the last one before *P, with the service
   name.  The request was created with the address as host, because
   libwebsockets 4.1 reuses an idle connection only when host and address are
   equal.  */
static int
front_backend_set_host (const struct front_serve *serve, unsigned char **p,
                        const unsigned char *end)
{
  char line[MSG_ADDRESS_BYTES + 16];
  size_t len = (size_t)snprintf (line, sizeof line, "\r\nHost: %s\r\n",
                                 serve->front->backend.host);

  if (memcmp (*p - len, line, len) != 0)
    return -1;
  *p -= len;
  len = (size_t)snprintf (line, sizeof line, "\r\nHost: %s\r\n",
                          serve->req.service_name);
  if (*p + len >= end)
    return -1;
  memcpy (*p, line, len);
  *p += len;
  return 0;
}

/* Adds the header fields that this node sets.  */
static int
front_backend_add_own_fields (struct front_serve *serve, struct lws *wsi,
                              unsigned char **p, unsigned char *end)
{
  char text[1024];
  clk_us now = clk_now ();
  clk_us remaining = serve->req.deadline > now ? serve->req.deadline - now : 0;

  front_backend_format_tracestate (serve, text, sizeof text);
  if (front_http_add_field (wsi, "tracestate", text, p, end))
    return -1;
  if (msg_field_get (&serve->fields, "traceparent") == NULL)
    {
      front_backend_new_traceparent (text, sizeof text);
      if (front_http_add_field (wsi, "traceparent", text, p, end))
        return -1;
    }
  snprintf (text, sizeof text, "%llu",
            (unsigned long long)(remaining / CLK_US_PER_MS));
  if (front_http_add_field (wsi, "x-request-timeout-ms", text, p, end))
    return -1;
  if (serve->body_len == 0 && strcmp (serve->method, "GET") == 0)
    return 0;
  snprintf (text, sizeof text, "%lld", (long long)serve->body_len);
  return front_http_add_field (wsi, "content-length", text, p, end);
}

/* Adds all header fields of the request after *P.  */
static int
front_backend_add_fields (struct front_backend_conn *conn, struct lws *wsi,
                          unsigned char **p, unsigned char *end)
{
  struct front_serve *serve = conn->serve;

  if (conn->keep_alive && front_backend_set_host (serve, p, end) != 0)
    return -1;
  list_each (node, &serve->fields)
    {
      const struct msg_field *field
          = list_entry (node, struct msg_field, node);

      if (strcmp (field->name, "tracestate") == 0)
        continue;
      if (front_http_add_field (wsi, field->name, field->value, p, end))
        return -1;
    }
  return front_backend_add_own_fields (serve, wsi, p, end);
}

/* Adds the header fields before libwebsockets writes the request.  */
static int
front_backend_write_head (struct front_backend_conn *conn, struct lws *wsi,
                          unsigned char **p, size_t len)
{
  struct front_serve *serve = conn->serve;

  if (serve == NULL)
    return -1;
  if (front_backend_add_fields (conn, wsi, p, *p + len) != 0)
    {
      serve->refusal = REASON_HEADERS_TOO_LARGE;
      return -1;
    }
  serve->sent_to_backend = true;
  if (serve->body_len > 0)
    {
      lws_client_http_body_pending (wsi, 1);
      lws_callback_on_writable (wsi);
    }
  return 0;
}

/* Writes the next bytes of the request body.  */
static int
front_backend_write_body (struct front_backend_conn *conn, struct lws *wsi)
{
  unsigned char buffer[LWS_PRE + MSG_BODY_BYTES_MAX];
  struct front_serve *serve = conn->serve;
  const uint8_t *data;
  size_t len;
  bool last;

  if (serve == NULL)
    return -1;
  if (conn->body_sent_bytes == (uint64_t)serve->body_len)
    return 0;
  data = buf_data_from (&serve->body, conn->body_sent_bytes, &len);
  if (len == 0)
    return 0;
  if (len > MSG_BODY_BYTES_MAX)
    len = MSG_BODY_BYTES_MAX;
  memcpy (buffer + LWS_PRE, data, len);
  conn->body_sent_bytes += len;
  last = conn->body_sent_bytes == (uint64_t)serve->body_len;
  if (lws_write (wsi, buffer + LWS_PRE, len,
                 last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
      < (int)len)
    return -1;
  /* Shorter bodies are kept, to be sent again on another connection.  */
  if (serve->body_len > FRONT_REPLAY_BODY_BYTES_MAX)
    {
      buf_drop_before (&serve->body, conn->body_sent_bytes);
      front_serve_send_credit (serve);
    }
  if (last)
    lws_client_http_body_pending (wsi, 0);
  else
    lws_callback_on_writable (wsi);
  return 0;
}

/* Reads the status line and header fields of the answer.  */
static int
front_backend_read_head (struct front_backend_conn *conn, struct lws *wsi)
{
  struct front_serve *serve = conn->serve;
  struct list fields;
  int status = front_http_status (wsi);
  bool no_body = status >= 200 && httpstatus_has_no_body (status);

  if (serve == NULL)
    return -1;
  lws_set_timeout (wsi, NO_PENDING_TIMEOUT, 0);
  conn->head_received = true;
  if (status < 0)
    return -1;
  conn->body_len = front_http_content_length (wsi);
  conn->chunked
      = lws_hdr_total_length (wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
  list_init (&fields);
  if (front_http_read_answer_fields (wsi, serve->front->state.model, &fields)
      != SR_OK)
    slog (SLOG_WARNING,
          "response header fields dropped, one is too long "
          "service=%s path=%s",
          serve->req.service_name, serve->path);
  front_answer_send_head (serve, status, &fields,
                          no_body ? 0 : conn->body_len);
  msg_fields_free (&fields);
  if (!no_body || (conn->body_len == 0 && !conn->chunked))
    return 0;
  /* libwebsockets waits for the body that the fields declare.  */
  front_backend_abandon (serve);
  front_answer_complete (serve);
  return -1;
}

/* Reads received body bytes; pauses the connection while the answer buffer is
   full.  */
static int
front_backend_read_body (struct front_backend_conn *conn, struct lws *wsi)
{
  char buffer[LWS_PRE + FRONT_BACKEND_READ_BYTES];
  int len = FRONT_BACKEND_READ_BYTES;
  int result;

  if (conn->serve == NULL)
    return -1;
  if (!front_answer_has_room (conn->serve))
    {
      conn->paused = true;
      lws_rx_flow_control (wsi, 0);
    }
  conn->read_buffer = buffer + LWS_PRE;
  conn->read_position = conn->read_buffer;
  result = lws_http_client_read (wsi, &conn->read_position, &len);
  conn->read_buffer = NULL;
  conn->read_position = NULL;
  return result < 0 ? -1 : 0;
}

/* Ends a request whose answer was not completed on a connection that is about
   to be closed.  The server may have crashed; probe it.  */
static void
front_backend_fail_sent (struct front_serve *serve, bool head_received)
{
  serve->refusal
      = head_received ? REASON_ANSWER_INCOMPLETE : REASON_BACKEND_CLOSED;
  front_health_await_probe (serve);
}

/* Handles the end of the answer as seen by libwebsockets.  It is complete only
   if the declared length or the last chunk was received.  For an answer
   without a length, libwebsockets reports the end of the connection as that of
   the answer, too; only the last chunk comes with bytes of the read in
   progress.  */
static void
front_backend_handle_answer_end (struct front_backend_conn *conn)
{
  struct front_serve *serve = conn->serve;
  bool any_read = conn->read_position != conn->read_buffer;
  bool complete = conn->chunked ? any_read
                                : conn->body_len >= 0
                                      && conn->received_bytes
                                             == (uint64_t)conn->body_len;

  if (serve == NULL)
    return;
  serve->conn = NULL;
  front_backend_release_conn (conn, complete);
  if (complete)
    front_answer_complete (serve);
  else
    front_backend_fail_sent (serve, true);
}

/* Handles a failed connection, or one closed before the answer was
   complete.  */
static void
front_backend_handle_close (struct front_backend_conn *conn, const char *error)
{
  struct front_serve *serve = conn->serve;
  bool head_received = conn->head_received;

  conn->wsi = NULL;
  if (serve == NULL)
    {
      front_backend_release_conn (conn, false);
      return;
    }
  serve->conn = NULL;
  front_backend_release_conn (conn, false);
  if (serve->sent_to_backend)
    {
      front_backend_fail_sent (serve, head_received);
      return;
    }
  if (serve->refusal != REASON_NONE)
    {
      front_serve_refuse (serve, serve->refusal, REASON_NOT_RUN);
      return;
    }
  slog (SLOG_WARNING,
        "cannot connect to the backend server address=%s "
        "error=\"%s\"",
        conn->front->backend.address, error);
  /* Refuse this request first, because marking the server as down refuses all
     waiting requests.  */
  front_serve_refuse (serve, REASON_CONNECT_FAILED, REASON_NOT_RUN);
  front_health_mark_down (conn->front, "connection refused");
}

/* Whether WSI carries the current request.  A reused connection gets a new
   handle, which writes its request before lws_client_connect_via_info() has
   returned it; the end of the previous handle is ignored.  */
static bool
front_backend_is_current (struct front_backend_conn *conn, struct lws *wsi,
                          enum lws_callback_reasons reason)
{
  bool first = reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER
               || reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR;

  if (conn->wsi == NULL && wsi != conn->previous_wsi && first)
    conn->wsi = wsi;
  return conn->wsi == wsi;
}

int
front_backend_lws_callback (struct lws *wsi, enum lws_callback_reasons reason,
                            void *user, void *in, size_t len)
{
  struct front_backend_conn *conn = lws_get_opaque_user_data (wsi);

  (void)user;
  if (conn == NULL || !front_backend_is_current (conn, wsi, reason))
    return 0;
  switch (reason)
    {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return front_backend_write_head (conn, wsi, in, len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return front_backend_write_body (conn, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      return front_backend_read_head (conn, wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return front_backend_read_body (conn, wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      if (conn->serve == NULL)
        return -1;
      conn->received_bytes += len;
      front_answer_append (conn->serve, in, len);
      return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      front_backend_handle_answer_end (conn);
      return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      front_backend_handle_close (conn, in != NULL ? in : "closed");
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      front_backend_handle_close (conn, "closed");
      return 0;
    default:
      return 0;
    }
}

void
front_backend_free (struct front *front)
{
  struct list_node *node;

  list_splice_tail (&front->backend.idle, &front->backend.busy);
  while ((node = list_pop_head (&front->backend.idle)) != NULL)
    free (list_entry (node, struct front_backend_conn, node));
}
