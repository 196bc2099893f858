#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/decimal.h"
#include "core/err.h"
#include "core/slog.h"
#include "tasks/front_state.h"
#include "wire/doc.h"
#include "wire/expo.h"
#include "wire/status.h"

#define FRONT_ADMIN_BODY_BYTES_MAX (2 * 1024 * 1024)
#define FRONT_ADMIN_WRITE_BYTES (16 * 1024)
/* Others give way to a longer answer, or it to them.  */
#define FRONT_ADMIN_LONG_ANSWER_BYTES (64 * 1024)

/* Operations of the admin API, each for a method and a path.  */
enum front_admin_op
{
  FRONT_ADMIN_NOT_FOUND,
  FRONT_ADMIN_BACKEND_PUT,
  FRONT_ADMIN_BACKEND_DELETE,
  FRONT_ADMIN_READY,
  FRONT_ADMIN_STATUS,
  FRONT_ADMIN_METRICS,
  FRONT_ADMIN_DOCUMENT_GET,
  FRONT_ADMIN_DOCUMENT_PUT,
  FRONT_ADMIN_VALIDATE,
  FRONT_ADMIN_MEMBERS,
  FRONT_ADMIN_LAGGING,
  FRONT_ADMIN_DRAIN,
  FRONT_ADMIN_CONSOLE,
};

struct front_admin_route
{
  const char *method;
  const char *path;
  enum front_admin_op op;
  bool needs_token; /* requires the operators' token */
};

static const struct front_admin_route front_admin_routes[] = {
  { "PUT", "/v1/backend", FRONT_ADMIN_BACKEND_PUT, false },
  { "DELETE", "/v1/backend", FRONT_ADMIN_BACKEND_DELETE, false },
  { "GET", "/v1/ready", FRONT_ADMIN_READY, false },
  { "GET", "/v1/status", FRONT_ADMIN_STATUS, false },
  { "GET", "/metrics", FRONT_ADMIN_METRICS, false },
  { "GET", "/v1/document", FRONT_ADMIN_DOCUMENT_GET, false },
  { "PUT", "/v1/document", FRONT_ADMIN_DOCUMENT_PUT, true },
  { "POST", "/v1/validate", FRONT_ADMIN_VALIDATE, false },
  { "GET", "/v1/members", FRONT_ADMIN_MEMBERS, false },
  { "GET", "/v1/behind", FRONT_ADMIN_LAGGING, false },
  { "POST", "/v1/drain", FRONT_ADMIN_DRAIN, true },
  { "GET", "/console", FRONT_ADMIN_CONSOLE, false },
  { "POST", "/console", FRONT_ADMIN_CONSOLE, false },
};

static void
front_admin_free (struct front_admin_request *request)
{
  request->conn->admin_request = NULL;
  front_held_update_conn (request->conn);
  list_remove (&request->node);
  buf_free (&request->body);
  front_console_free (request);
  free (request->text);
  free (request);
}

/* Sets the answer and schedules its writing; the request takes over TEXT.  */
void
front_admin_answer (struct front_admin_request *request, int status,
                    const char *type, char *text)
{
  request->status = status;
  request->content_type = type;
  request->text = text;
  request->len = strlen (text);
  buf_free (&request->body);
  front_held_update_conn (request->conn);
  if (request->len > FRONT_ADMIN_LONG_ANSWER_BYTES)
    (void)front_held_make_room (request->front, &request->conn->held);
  if (request->wsi != NULL)
    lws_callback_on_writable (request->wsi);
}

static void
front_admin_answer_json (struct front_admin_request *request, int status,
                         char *text)
{
  front_admin_answer (request, status, "application/json", text);
}

void
front_admin_answer_error (struct front_admin_request *request, int status,
                          const char *text)
{
  front_admin_answer_json (request, status, status_encode_error (text));
}

/* Copies the value of a query parameter to OUT; returns false when it is
   missing or longer than SIZE - 1 bytes.  */
static bool
front_admin_query_param (const struct front_admin_request *request,
                         const char *name, char *out, size_t size)
{
  const char *item = request->query;
  size_t len = strlen (name);

  while (*item != '\0')
    {
      size_t item_len = strcspn (item, "&");

      if (item_len > len && strncmp (item, name, len) == 0 && item[len] == '=')
        {
          return snprintf (out, size, "%.*s", (int)(item_len - len - 1),
                           item + len + 1)
                 < (int)size;
        }
      item += item_len + (item[item_len] == '&');
    }
  return false;
}

/* Compares two strings in a time that does not depend on where they
   differ.  */
bool
front_admin_equal_constant_time (const char *a, const char *b)
{
  size_t a_len = strlen (a);
  size_t b_len = strlen (b);
  unsigned difference = a_len == b_len ? 0 : 1;

  for (size_t i = 0; i < a_len; i++)
    difference |= (unsigned char)a[i] ^ (unsigned char)b[i % (b_len + 1)];
  return difference == 0;
}

/* Whether the request carries the operators' token, or comes from loopback
   when none is set.  */
static bool
front_admin_is_authorized (const struct front *front, struct lws *wsi)
{
  char field[512];
  const char *scheme = "Bearer ";

  if (front->opts.operator_token == NULL)
    return front_http_is_loopback (wsi);
  front_http_copy_token (wsi, WSI_TOKEN_HTTP_AUTHORIZATION, field,
                         sizeof field);
  if (strncmp (field, scheme, strlen (scheme)) != 0)
    return false;
  return front_admin_equal_constant_time (field + strlen (scheme),
                                          front->opts.operator_token);
}

/* Whether a form was sent by a page of this admin port.  */
static bool
front_admin_is_same_origin (struct lws *wsi)
{
  char origin[256];
  char host[256];

  front_http_copy_token (wsi, WSI_TOKEN_ORIGIN, origin, sizeof origin);
  front_http_copy_token (wsi, WSI_TOKEN_HOST, host, sizeof host);
  return console_same_origin (origin[0] != '\0' ? origin : NULL,
                              host[0] != '\0' ? host : NULL);
}

/* Forwards the request to the control task, which replies with
   MSG_ADMIN_REPLY.  */
void
front_admin_forward (struct front_admin_request *request, enum msg_admin_op op)
{
  struct front *front = request->front;
  struct msg *msg = msg_new (MSG_ADMIN);

  request->id = front->next_request_id++;
  msg->u.admin.op = op;
  msg->u.admin.request_id = request->id;
  inbox_put (front->control, msg);
}

static void
front_admin_backend_put (struct front_admin_request *request)
{
  struct status_backend backend;
  char fault[256];

  if (!request->loopback)
    {
      front_admin_answer_error (request, 403,
                                "announcements come from loopback");
      return;
    }
  if (status_decode_backend ((const char *)request->body.data,
                             request->body.len, &backend, fault, sizeof fault)
      != SR_OK)
    {
      front_admin_answer_error (request, 400, fault);
      return;
    }
  if (front_health_handle_announcement (request->front, backend.service,
                                        backend.address, backend.slots,
                                        backend.connections)
      != SR_OK)
    {
      front_admin_answer_error (request, 400, "address is not IP:PORT");
      return;
    }
  front_admin_answer_json (request, 200, strdup ("{}\n"));
}

static void
front_admin_backend_delete (struct front_admin_request *request)
{
  if (!request->loopback)
    {
      front_admin_answer_error (request, 403,
                                "announcements come from loopback");
      return;
    }
  front_health_handle_leave (request->front);
  front_admin_answer_json (request, 200, strdup ("{}\n"));
}

static void
front_admin_ready (struct front_admin_request *request)
{
  const struct front *front = request->front;
  bool ready = front->state.model != NULL && !front->state.draining;

  front_admin_answer_json (
      request, ready ? 200 : 503,
      strdup (ready ? "{\"ready\": true}\n" : "{\"ready\": false}\n"));
}

static void
front_admin_status (struct front_admin_request *request)
{
  struct front *front = request->front;
  struct msg *msg = msg_new (MSG_ADMIN);
  struct slots_level level
      = slots_admission_level (front->state.slots, clk_now ());
  struct status_front state = {
    .backend_up = front->state.backend_up,
    .draining = front->state.draining,
    .limit = slots_limit (front->state.slots),
    .running = slots_running (front->state.slots),
    .waiting = slots_waiting (front->state.slots),
    .importance_min = level.importance_min,
  };

  list_each (node, &front->calls)
    state.calls++;
  request->id = front->next_request_id++;
  msg->u.admin.op = MSG_ADMIN_STATUS;
  msg->u.admin.request_id = request->id;
  msg->u.admin.text = status_encode_front (&state);
  inbox_put (front->control, msg);
}

static void
front_admin_metrics (struct front_admin_request *request)
{
  struct buf text = { 0 };

  expo_metrics (&text);
  buf_append (&text, "", 1);
  front_admin_answer (request, 200, "text/plain; version=0.0.4",
                      (char *)text.data);
}

/* Validates the document in the request body; answers with the faults when it
   is invalid.  */
static bool
front_admin_check_document (struct front_admin_request *request)
{
  struct status_faults *faults = status_faults_new ();
  char *text;
  int error = doc_parse ((const char *)request->body.data, request->body.len,
                         status_faults_add, faults, NULL);

  text = status_faults_encode (faults);
  if (error == SR_OK)
    {
      free (text);
      return true;
    }
  front_admin_answer_json (request, 400, text);
  return false;
}

static void
front_admin_document_put (struct front_admin_request *request)
{
  struct front *front = request->front;
  char base[32];
  char change_id[64];
  uint64_t base_version;
  struct msg *msg;

  if (!front_admin_query_param (request, "base", base, sizeof base)
      || decimal_parse (base, UINT64_MAX, &base_version) != SR_OK)
    {
      front_admin_answer_error (request, 400, "base is not a version number");
      return;
    }
  if (!front_admin_query_param (request, "change_id", change_id,
                                sizeof change_id)
      || change_id[0] == '\0')
    {
      front_admin_answer_error (request, 400,
                                "change_id is missing, empty or longer than "
                                "63 characters");
      return;
    }
  if (!front_admin_check_document (request))
    return;
  msg = msg_new (MSG_ADMIN);
  request->id = front->next_request_id++;
  msg->u.admin.op = MSG_ADMIN_APPLY;
  msg->u.admin.request_id = request->id;
  msg->u.admin.base_version = base_version;
  snprintf (msg->u.admin.change_id, sizeof msg->u.admin.change_id, "%s",
            change_id);
  msg->u.admin.text
      = strndup ((const char *)request->body.data, request->body.len);
  msg->u.admin.len = request->body.len;
  inbox_put (front->control, msg);
}

static void
front_admin_validate (struct front_admin_request *request)
{
  if (front_admin_check_document (request))
    front_admin_answer_json (request, 200,
                             strdup ("{\"status\": \"valid\"}\n"));
}

static void
front_admin_lagging (struct front_admin_request *request)
{
  struct msg *msg;
  char version[32];
  uint64_t number;

  if (!front_admin_query_param (request, "version", version, sizeof version)
      || decimal_parse (version, UINT64_MAX, &number) != SR_OK)
    {
      front_admin_answer_error (request, 400,
                                "version is not a version number");
      return;
    }
  msg = msg_new (MSG_ADMIN);
  request->id = request->front->next_request_id++;
  msg->u.admin.op = MSG_ADMIN_LAGGING;
  msg->u.admin.request_id = request->id;
  msg->u.admin.base_version = number;
  inbox_put (request->front->control, msg);
}

static void
front_admin_drain (struct front_admin_request *request)
{
  front_drain (request->front);
  front_admin_answer_json (request, 200,
                           strdup ("{\"status\": \"draining\"}\n"));
}

static void
front_admin_run (struct front_admin_request *request, enum front_admin_op op)
{
  switch (op)
    {
    case FRONT_ADMIN_BACKEND_PUT:
      front_admin_backend_put (request);
      break;
    case FRONT_ADMIN_BACKEND_DELETE:
      front_admin_backend_delete (request);
      break;
    case FRONT_ADMIN_READY:
      front_admin_ready (request);
      break;
    case FRONT_ADMIN_STATUS:
      front_admin_status (request);
      break;
    case FRONT_ADMIN_METRICS:
      front_admin_metrics (request);
      break;
    case FRONT_ADMIN_DOCUMENT_GET:
      front_admin_forward (request, MSG_ADMIN_GET);
      break;
    case FRONT_ADMIN_DOCUMENT_PUT:
      front_admin_document_put (request);
      break;
    case FRONT_ADMIN_VALIDATE:
      front_admin_validate (request);
      break;
    case FRONT_ADMIN_MEMBERS:
      front_admin_forward (request, MSG_ADMIN_MEMBERS);
      break;
    case FRONT_ADMIN_LAGGING:
      front_admin_lagging (request);
      break;
    case FRONT_ADMIN_DRAIN:
      front_admin_drain (request);
      break;
    case FRONT_ADMIN_CONSOLE:
      front_console_start (request);
      break;
    case FRONT_ADMIN_NOT_FOUND:
      front_admin_answer_error (request, 404, "no such resource");
      break;
    }
}

/* Runs a request that was received completely.  */
static void
front_admin_start (struct front_admin_request *request)
{
  size_t count = sizeof front_admin_routes / sizeof front_admin_routes[0];

  for (size_t i = 0; i < count; i++)
    {
      const struct front_admin_route *route = &front_admin_routes[i];

      if (strcmp (route->method, request->method) != 0
          || strcmp (route->path, request->path) != 0)
        continue;
      if (route->needs_token && !request->authorized)
        front_admin_answer_error (request, 401,
                                  "operators' token missing or wrong");
      else
        front_admin_run (request, route->op);
      return;
    }
  front_admin_run (request, FRONT_ADMIN_NOT_FOUND);
}

static void
front_admin_begin (struct front *front, struct front_conn *conn,
                   struct lws *wsi, struct front_admin_request **user_request)
{
  struct front_admin_request *request = calloc (1, sizeof *request);
  char uri[FRONT_URI_BYTES];
  char *query;

  INVARIANT (request != NULL);
  *user_request = request;
  request->front = front;
  request->conn = conn;
  conn->admin_request = request;
  front_held_begin_request (conn);
  request->wsi = wsi;
  request->loopback = front_http_is_loopback (wsi);
  request->authorized = front_admin_is_authorized (front, wsi);
  request->same_origin = front_admin_is_same_origin (wsi);
  list_push_tail (&front->admin_requests, &request->node);
  if (front_http_read_method (wsi, request->method, sizeof request->method,
                              uri, sizeof uri)
      != SR_OK)
    {
      front_admin_answer_error (request, 400, "malformed request");
      return;
    }
  query = strchr (uri, '?');
  if (query != NULL)
    {
      *query = '\0';
      snprintf (request->query, sizeof request->query, "%.511s", query + 1);
    }
  snprintf (request->path, sizeof request->path, "%.255s", uri);
  if (front_http_content_length (wsi) <= 0)
    front_admin_start (request);
}

static int
front_admin_write_head (struct front_admin_request *request)
{
  unsigned char buffer[LWS_PRE + 2048];
  unsigned char *start = buffer + LWS_PRE;
  unsigned char *p = start;
  unsigned char *end = buffer + sizeof buffer - 1;
  struct lws *wsi = request->wsi;
  char number[32];

  if (lws_add_http_header_status (wsi, (unsigned)request->status, &p, end)
      || front_http_add_field (wsi, "content-type", request->content_type, &p,
                               end)
      || lws_add_http_header_content_length (wsi, request->len, &p, end))
    return -1;
  if (request->content_disposition != NULL
      && front_http_add_field (wsi, "content-disposition",
                               request->content_disposition, &p, end))
    return -1;
  if (request->content_security_policy != NULL
      && front_http_add_field (wsi, "content-security-policy",
                               request->content_security_policy, &p, end))
    return -1;
  snprintf (number, sizeof number, "%llu",
            (unsigned long long)request->version);
  if (request->version != 0
      && front_http_add_field (wsi, "x-version", number, &p, end))
    return -1;
  if (lws_finalize_write_http_header (wsi, start, &p, end))
    return -1;
  request->head_written = true;
  lws_callback_on_writable (wsi);
  return 0;
}

/* Writes the header or the next bytes of the body; returns nonzero to close
   the connection.  */
static int
front_admin_writeable (struct front_admin_request *request)
{
  unsigned char buffer[LWS_PRE + FRONT_ADMIN_WRITE_BYTES];
  size_t len = request->len - request->written;
  bool last;

  if (request->text == NULL)
    return 0;
  if (!request->head_written)
    return front_admin_write_head (request);
  if (len > FRONT_ADMIN_WRITE_BYTES)
    len = FRONT_ADMIN_WRITE_BYTES;
  memcpy (buffer + LWS_PRE, request->text + request->written, len);
  request->written += len;
  front_held_record_bytes (request->front, &request->conn->held, len);
  last = request->written == request->len;
  if (lws_write (request->wsi, buffer + LWS_PRE, len,
                 last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
      < (int)len)
    return -1;
  if (last)
    return lws_http_transaction_completed (request->wsi) ? -1 : 0;
  lws_callback_on_writable (request->wsi);
  return 0;
}

static struct front_admin_request *
front_admin_find (struct front *front, uint64_t id)
{
  list_each (node, &front->admin_requests)
    {
      struct front_admin_request *request
          = list_entry (node, struct front_admin_request, node);

      if (request->id == id)
        return request;
    }
  return NULL;
}

void
front_admin_handle_reply (struct front *front, struct msg *msg)
{
  struct msg_admin_reply *reply = &msg->u.admin_reply;
  struct front_admin_request *request
      = front_admin_find (front, reply->request_id);

  if (request == NULL)
    return;
  if (request->console_state != FRONT_CONSOLE_NONE)
    {
      front_console_handle_reply (request, reply);
      return;
    }
  request->version = reply->version;
  front_admin_answer_json (request, reply->http_status, reply->text);
  reply->text = NULL;
}

static int
front_admin_append_body (struct front_admin_request *request, const void *data,
                         size_t len)
{
  if (request->body.len + len > FRONT_ADMIN_BODY_BYTES_MAX)
    {
      slog (SLOG_WARNING, "admin request body too large limit=%d",
            FRONT_ADMIN_BODY_BYTES_MAX);
      return -1;
    }
  buf_append (&request->body, data, len);
  front_held_record_bytes (request->front, &request->conn->held, len);
  front_held_update_conn (request->conn);
  return front_held_make_room (request->front, &request->conn->held) ? 0 : -1;
}

static int
front_admin_handle_event (struct front_conn *conn, struct lws *wsi,
                          enum lws_callback_reasons reason,
                          struct front_admin_request **user_request, void *in,
                          size_t len)
{
  switch (reason)
    {
    case LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION:
      return -1; /* no WebSocket upgrades */
    case LWS_CALLBACK_HTTP:
      if (*user_request != NULL)
        front_admin_free (*user_request);
      front_admin_begin (conn->front, conn, wsi, user_request);
      return 0;
    case LWS_CALLBACK_HTTP_BODY:
      return *user_request != NULL
                 ? front_admin_append_body (*user_request, in, len)
                 : 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      if (*user_request != NULL && (*user_request)->id == 0
          && (*user_request)->text == NULL)
        front_admin_start (*user_request);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return *user_request != NULL ? front_admin_writeable (*user_request) : 0;
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
    case LWS_CALLBACK_CLOSED_HTTP:
      if (*user_request != NULL)
        front_admin_free (*user_request);
      *user_request = NULL;
      return 0;
    default:
      return 0;
    }
}

int
front_admin_lws_callback (struct lws *wsi, enum lws_callback_reasons reason,
                          void *user, void *in, size_t len)
{
  int result;
  struct front_conn *conn
      = front_held_begin_event (wsi, reason, user, &result);

  if (conn == NULL)
    return result;
  result = front_admin_handle_event (conn, wsi, reason, user, in, len);
  front_held_update_conn (conn);
  return result;
}
