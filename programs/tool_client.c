#include "programs/tool_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/err.h"

#define TOOL_CLIENT_NAME_BYTES 32
#define TOOL_CLIENT_HOST_BYTES 64
#define TOOL_CLIENT_BUFFER_BYTES 8192
#define TOOL_CLIENT_HEADER_DATA_BYTES 8192
#define TOOL_CLIENT_IDLE_S 300

struct tool_client_slot
{
  struct list_node node;      /* in pool->idle */
  struct list_node slot_node; /* in pool->slots */
  struct tool_client_pool *pool;
  struct lws_vhost *vhost;
  char vhost_name[TOOL_CLIENT_NAME_BYTES]; /* vhost keeps the pointer */
  char host[TOOL_CLIENT_HOST_BYTES];
  char ip[TOOL_CLIENT_HOST_BYTES];
  struct lws *wsi;         /* request in progress */
  struct lws *closing_wsi; /* cancelled, not yet closed */
  lws_sorted_usec_list_t timeout_timer;
  lws_sorted_usec_list_t report_timer;
  struct tool_buf request_head; /* header fields */
  struct tool_buf request_body; /* encoded body */
  size_t sent_bytes;
  struct tool_buf answer_body;
  bool connected; /* request head was built, which needs a connection */
  bool head_received;
  bool server_closes; /* answer has "Connection: close" */
  bool ended;
  bool reported;
  long long content_length; /* -1 without the field */
  struct tool_client_result result;
  tool_client_done_fn done;
  void *arg;
};

/* Returns the slot to the pool, unless its cancelled connection is not closed
   yet: a new request would wait for that.  tool_client_on_destroy() returns it
   then.  */
static void
tool_client_release_slot (struct tool_client_slot *slot)
{
  slot->reported = true;
  if (slot->closing_wsi == NULL)
    list_push_head (&slot->pool->idle, &slot->node);
}

/* Returns the slot to the pool, then calls @done, so that the receiver can
   reuse it for its next request.  */
static void
tool_client_report (lws_sorted_usec_list_t *sul)
{
  struct tool_client_slot *slot
      = lws_container_of (sul, struct tool_client_slot, report_timer);
  struct tool_buf body = slot->answer_body;
  struct tool_client_result result = slot->result;

  memset (&slot->answer_body, 0, sizeof slot->answer_body);
  result.answer.body = &body;
  tool_client_release_slot (slot);
  slot->done (slot->arg, &result);
  tool_buf_free (&body);
}

/* Ends the request.  The result is reported by a timer from the event loop,
   because libwebsockets still uses the connection after its callback.  */
static void
tool_client_end_request (struct tool_client_slot *slot,
                         enum tool_client_outcome outcome)
{
  if (slot->ended)
    return;
  slot->ended = true;
  slot->wsi = NULL;
  slot->result.outcome = outcome;
  slot->result.ended = clk_now ();
  lws_sul_cancel (&slot->timeout_timer);
  lws_sul_schedule (slot->pool->context, 0, &slot->report_timer,
                    tool_client_report, 1);
}

/* Makes the event loop close the connection.  */
static void
tool_client_close (struct tool_client_slot *slot)
{
  if (slot->wsi == NULL)
    return;
  slot->closing_wsi = slot->wsi;
  slot->wsi = NULL;
  lws_set_timeout (slot->closing_wsi, PENDING_TIMEOUT_USER_OK,
                   LWS_TO_KILL_ASYNC);
}

static void
tool_client_on_timeout (lws_sorted_usec_list_t *sul)
{
  struct tool_client_slot *slot
      = lws_container_of (sul, struct tool_client_slot, timeout_timer);

  tool_client_close (slot);
  tool_client_end_request (slot, TOOL_CLIENT_TIMED_OUT);
}

void
tool_client_cancel (struct tool_client_slot *slot)
{
  slot->ended = true;
  lws_sul_cancel (&slot->timeout_timer);
  lws_sul_cancel (&slot->report_timer);
  tool_client_close (slot);
  tool_client_release_slot (slot);
}

/* Replaces the Host line, which is the last one before AT, by that of the
   request.  libwebsockets 4.1 reuses an idle connection only when host and
   address are equal, so tool_client_send() passes the address as the host.  */
static int
tool_client_set_host (const struct tool_client_slot *slot, unsigned char **at)
{
  char line[TOOL_CLIENT_HOST_BYTES + 16];
  size_t len
      = (size_t)snprintf (line, sizeof line, "\r\nHost: %s\r\n", slot->ip);

  if (memcmp (*at - len, line, len) != 0)
    return -1;
  *at -= len;
  len = (size_t)snprintf (line, sizeof line, "\r\nHost: %s\r\n", slot->host);
  memcpy (*at, line, len);
  *at += len;
  return 0;
}

/* Appends the header fields of the request and asks for a callback to write
   the body.  */
static int
tool_client_append_head (struct tool_client_slot *slot, struct lws *wsi,
                         unsigned char **at, size_t room)
{
  slot->connected = true;
  if (slot->request_head.len + sizeof slot->host >= room
      || tool_client_set_host (slot, at) != 0)
    return -1;
  memcpy (*at, slot->request_head.data, slot->request_head.len);
  *at += slot->request_head.len;
  if (slot->request_body.len > 0)
    {
      lws_client_http_body_pending (wsi, 1);
      lws_callback_on_writable (wsi);
    }
  return 0;
}

/* Writes up to TOOL_CLIENT_BUFFER_BYTES of the body.  */
static int
tool_client_send_body (struct tool_client_slot *slot, struct lws *wsi)
{
  unsigned char buffer[LWS_PRE + TOOL_CLIENT_BUFFER_BYTES];
  size_t remaining = slot->request_body.len - slot->sent_bytes;
  size_t len = remaining < TOOL_CLIENT_BUFFER_BYTES ? remaining
                                                    : TOOL_CLIENT_BUFFER_BYTES;
  bool last = len == remaining;

  if (remaining == 0)
    return 0;
  memcpy (buffer + LWS_PRE, slot->request_body.data + slot->sent_bytes, len);
  if (lws_write (wsi, buffer + LWS_PRE, len,
                 last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
      < 0)
    return -1;
  slot->sent_bytes += len;
  if (last)
    lws_client_http_body_pending (wsi, 0);
  else
    lws_callback_on_writable (wsi);
  return 0;
}

/* Reads the status and the header fields of the answer.  */
static void
tool_client_on_head (struct tool_client_slot *slot, struct lws *wsi)
{
  static const char name[] = "proxy-status:";
  char text[24];

  slot->head_received = true;
  slot->result.answer.status = (int)lws_http_client_http_response (wsi);
  if (lws_hdr_custom_copy (wsi, slot->result.answer.proxy_status,
                           TOOL_CLIENT_VALUE_BYTES, name, (int)strlen (name))
      < 0)
    slot->result.answer.proxy_status[0] = '\0';
  if (lws_hdr_copy (wsi, text, sizeof text, WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0)
    slot->content_length = strtoll (text, NULL, 10);
  if (lws_hdr_copy (wsi, text, sizeof text, WSI_TOKEN_CONNECTION) > 0)
    slot->server_closes = strcasecmp (text, "close") == 0;
}

static int
tool_client_on_readable (struct lws *wsi)
{
  char buffer[LWS_PRE + TOOL_CLIENT_BUFFER_BYTES];
  char *at = buffer + LWS_PRE;
  int len = TOOL_CLIENT_BUFFER_BYTES;

  return lws_http_client_read (wsi, &at, &len) < 0 ? -1 : 0;
}

/* Handles the end of the answer; it is truncated when it is shorter than its
   content length.  A connection that the server closes must not carry the next
   request, so the slot is kept out of the pool until then.  */
static void
tool_client_on_complete (struct tool_client_slot *slot, struct lws *wsi)
{
  bool complete = slot->content_length < 0
                  || slot->answer_body.len == (size_t)slot->content_length;

  if (slot->server_closes)
    slot->closing_wsi = wsi;
  tool_client_end_request (slot, complete ? TOOL_CLIENT_COMPLETE
                                          : TOOL_CLIENT_TRUNCATED);
}

static void
tool_client_on_closed (struct tool_client_slot *slot)
{
  if (slot->head_received)
    tool_client_end_request (slot, TOOL_CLIENT_TRUNCATED);
  else
    tool_client_end_request (slot, slot->connected ? TOOL_CLIENT_CLOSED
                                                   : TOOL_CLIENT_UNREACHABLE);
}

static void
tool_client_on_destroy (struct tool_client_slot *slot, struct lws *wsi)
{
  if (slot->closing_wsi != wsi)
    return;
  slot->closing_wsi = NULL;
  if (slot->reported)
    tool_client_release_slot (slot);
}

static int
tool_client_callback (struct lws *wsi, enum lws_callback_reasons reason,
                      void *user, void *in, size_t len)
{
  struct tool_client_slot *slot
      = wsi != NULL ? lws_get_opaque_user_data (wsi) : NULL;

  (void)user;
  if (slot == NULL)
    return 0;
  if (reason == LWS_CALLBACK_WSI_DESTROY)
    tool_client_on_destroy (slot, wsi);
  if (slot->ended || (slot->wsi != NULL && slot->wsi != wsi))
    return 0;
  switch (reason)
    {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return tool_client_append_head (slot, wsi, in, len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return tool_client_send_body (slot, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      tool_client_on_head (slot, wsi);
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return tool_client_on_readable (wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      tool_buf_add (&slot->answer_body, in, len);
      return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      tool_client_on_complete (slot, wsi);
      return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      tool_client_on_closed (slot);
      return 0;
    default:
      return 0;
    }
}

static const struct lws_protocols tool_client_protocols[]
    = { { "http", tool_client_callback, 0, 0, 0, NULL, 0 },
        { NULL, NULL, 0, 0, 0, NULL, 0 } };

void
tool_client_set_context_info (struct lws_context_creation_info *info)
{
  /* With IPv6, libwebsockets 4.1 binds an IPv4 interface address to "::".  */
  info->options |= LWS_SERVER_OPTION_DISABLE_IPV6;
  info->max_http_header_data = TOOL_CLIENT_HEADER_DATA_BYTES;
  info->pt_serv_buf_size = 2 * TOOL_CLIENT_HEADER_DATA_BYTES;
  info->timeout_secs = TOOL_CLIENT_IDLE_S;
  info->connect_timeout_secs = TOOL_CLIENT_IDLE_S;
  info->keepalive_timeout = TOOL_CLIENT_IDLE_S;
}

void
tool_client_init (struct tool_client_pool *pool, struct lws_context *context)
{
  pool->context = context;
  list_init (&pool->idle);
  list_init (&pool->slots);
}

static struct tool_client_slot *
tool_client_new_slot (struct tool_client_pool *pool)
{
  struct lws_context_creation_info info = { 0 };
  struct tool_client_slot *slot = calloc (1, sizeof *slot);
  static unsigned serial;

  INVARIANT (slot != NULL);
  snprintf (slot->vhost_name, sizeof slot->vhost_name, "client-%u", serial++);
  tool_client_set_context_info (&info);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.vhost_name = slot->vhost_name;
  info.protocols = tool_client_protocols;
  slot->vhost = lws_create_vhost (pool->context, &info);
  INVARIANT (slot->vhost != NULL);
  slot->pool = pool;
  list_push_tail (&pool->slots, &slot->slot_node);
  return slot;
}

/* Encodes the body; a chunked one as one or two chunks.  */
static void
tool_client_build_body (struct tool_client_slot *slot,
                        const struct tool_client_request *request)
{
  size_t half = request->body_len / 2;

  tool_buf_clear (&slot->request_body);
  if (!request->chunked)
    {
      tool_buf_add (&slot->request_body, request->body, request->body_len);
      return;
    }
  if (half > 0)
    {
      tool_buf_addf (&slot->request_body, "%zx\r\n", half);
      tool_buf_add (&slot->request_body, request->body, half);
      tool_buf_addf (&slot->request_body, "\r\n");
    }
  if (request->body_len > half)
    {
      tool_buf_addf (&slot->request_body, "%zx\r\n", request->body_len - half);
      tool_buf_add (&slot->request_body, request->body + half,
                    request->body_len - half);
      tool_buf_addf (&slot->request_body, "\r\n");
    }
  tool_buf_addf (&slot->request_body, "0\r\n\r\n");
}

static void
tool_client_build_head (struct tool_client_slot *slot,
                        const struct tool_client_request *request)
{
  tool_buf_clear (&slot->request_head);
  for (size_t i = 0; i < request->header_count; i++)
    tool_buf_addf (&slot->request_head, "%s %s\r\n", request->headers[i].name,
                   request->headers[i].value);
  if (request->chunked)
    tool_buf_addf (&slot->request_head, "transfer-encoding: chunked\r\n");
  else if (request->body_len > 0 || strcmp (request->method, "GET") != 0)
    tool_buf_addf (&slot->request_head, "content-length: %zu\r\n",
                   request->body_len);
}

/* Resets SLOT and copies REQUEST into it.  */
static void
tool_client_reset (struct tool_client_slot *slot,
                   const struct tool_client_request *request,
                   tool_client_done_fn done, void *arg)
{
  slot->connected = false;
  slot->head_received = false;
  slot->server_closes = false;
  slot->ended = false;
  slot->reported = false;
  slot->sent_bytes = 0;
  slot->content_length = -1;
  slot->done = done;
  slot->arg = arg;
  memset (&slot->result, 0, sizeof slot->result);
  tool_buf_clear (&slot->answer_body);
  snprintf (slot->host, sizeof slot->host, "%s", request->host);
  snprintf (slot->ip, sizeof slot->ip, "%s", request->address.ip);
  tool_client_build_head (slot, request);
  tool_client_build_body (slot, request);
}

struct tool_client_slot *
tool_client_send (struct tool_client_pool *pool,
                  const struct tool_client_request *request,
                  tool_client_done_fn done, void *arg)
{
  struct list_node *node = list_pop_head (&pool->idle);
  struct tool_client_slot *slot
      = node != NULL ? list_entry (node, struct tool_client_slot, node)
                     : tool_client_new_slot (pool);
  struct lws_client_connect_info info = { 0 };

  tool_client_reset (slot, request, done, arg);
  info.context = pool->context;
  info.vhost = slot->vhost;
  info.address = request->address.ip;
  info.port = request->address.port;
  info.path = request->path;
  info.host = request->address.ip;
  info.method = request->method;
  info.local_protocol_name = "http";
  info.ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  info.opaque_user_data = slot;
  info.pwsi = &slot->wsi;
  info.keep_warm_secs = TOOL_CLIENT_IDLE_S;
  if (request->timeout_ms > 0)
    lws_sul_schedule (pool->context, 0, &slot->timeout_timer,
                      tool_client_on_timeout,
                      (lws_usec_t)clk_ms (request->timeout_ms));
  if (lws_client_connect_via_info (&info) == NULL)
    tool_client_on_closed (slot);
  return slot;
}

void
tool_client_free (struct tool_client_pool *pool)
{
  list_each (node, &pool->slots)
    {
      struct tool_client_slot *slot
          = list_entry (node, struct tool_client_slot, slot_node);

      tool_buf_free (&slot->request_head);
      tool_buf_free (&slot->request_body);
      tool_buf_free (&slot->answer_body);
      free (slot);
    }
}
