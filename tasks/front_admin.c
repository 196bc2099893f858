#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ctr.h"
#include "core/err.h"
#include "core/slog.h"
#include "tasks/front_state.h"
#include "wire/doc.h"
#include "wire/expo.h"
#include "wire/status.h"

#define ADN_BODY_BYTES_MAX (2 * 1024 * 1024)
#define ADN_WRITE_BYTES (16 * 1024)

/* What a path and method stand for.  */
enum adn_op
{
  ADN_NOT_FOUND,
  ADN_BACKEND_PUT,
  ADN_BACKEND_DELETE,
  ADN_READY,
  ADN_STATUS,
  ADN_METRICS,
  ADN_DOCUMENT_GET,
  ADN_DOCUMENT_PUT,
  ADN_VALIDATE,
  ADN_MEMBERS,
  ADN_BEHIND,
  ADN_DRAIN,
  ADN_CONSOLE,
};

struct adn_route
{
  const char *method;
  const char *path;
  enum adn_op op;
  bool change; /* needs the operators' token */
};

static const struct adn_route adn_routes[] = {
  { "PUT", "/v1/backend", ADN_BACKEND_PUT, false },
  { "DELETE", "/v1/backend", ADN_BACKEND_DELETE, false },
  { "GET", "/v1/ready", ADN_READY, false },
  { "GET", "/v1/status", ADN_STATUS, false },
  { "GET", "/metrics", ADN_METRICS, false },
  { "GET", "/v1/document", ADN_DOCUMENT_GET, false },
  { "PUT", "/v1/document", ADN_DOCUMENT_PUT, true },
  { "POST", "/v1/validate", ADN_VALIDATE, false },
  { "GET", "/v1/members", ADN_MEMBERS, false },
  { "GET", "/v1/behind", ADN_BEHIND, false },
  { "POST", "/v1/drain", ADN_DRAIN, true },
  { "GET", "/console", ADN_CONSOLE, false },
  { "POST", "/console", ADN_CONSOLE, false },
};

static void
adn_free (struct admin_request *request)
{
  lst_remove (&request->node);
  buf_free (&request->body);
  cns_free (request);
  free (request->text);
  free (request);
}

/* Sets the answer and asks to write it; TEXT is owned by the request.  */
void
adn_answer (struct admin_request *request, int status, const char *type,
            char *text)
{
  request->status = status;
  request->type = type;
  request->text = text;
  request->len = strlen (text);
  if (request->wsi != NULL)
    lws_callback_on_writable (request->wsi);
}

static void
adn_answer_json (struct admin_request *request, int status, char *text)
{
  adn_answer (request, status, "application/json", text);
}

void
adn_answer_error (struct admin_request *request, int status, const char *text)
{
  adn_answer_json (request, status, sts_encode_error (text));
}

/* Value of a query parameter, or NULL; it ends at "&".  */
static bool
adn_query (const struct admin_request *request, const char *name, char *out,
           size_t size)
{
  const char *part = request->query;
  size_t len = strlen (name);

  while (*part != '\0')
    {
      size_t part_len = strcspn (part, "&");

      if (part_len > len && strncmp (part, name, len) == 0 && part[len] == '=')
        {
          snprintf (out, size, "%.*s", (int)(part_len - len - 1),
                    part + len + 1);
          return true;
        }
      part += part_len + (part[part_len] == '&');
    }
  return false;
}

/* Compares in a time that does not depend on where the texts differ.  */
bool
adn_equal (const char *a, const char *b)
{
  size_t a_len = strlen (a);
  size_t b_len = strlen (b);
  unsigned difference = a_len == b_len ? 0 : 1;

  for (size_t i = 0; i < a_len; i++)
    difference |= (unsigned char)a[i] ^ (unsigned char)b[i % (b_len + 1)];
  return difference == 0;
}

/* Whether the request may change something.  */
static bool
adn_is_authorized (const struct front *front, struct lws *wsi)
{
  char field[512];
  const char *bearer = "Bearer ";

  if (front->opts.operator_token == NULL)
    return fhttp_is_local (wsi);
  fhttp_copy_token (wsi, WSI_TOKEN_HTTP_AUTHORIZATION, field, sizeof field);
  if (strncmp (field, bearer, strlen (bearer)) != 0)
    return false;
  return adn_equal (field + strlen (bearer), front->opts.operator_token);
}

/* Whether a form was sent by a page of this admin port.  */
static bool
adn_is_same_origin (struct lws *wsi)
{
  char origin[256];
  char host[256];

  fhttp_copy_token (wsi, WSI_TOKEN_ORIGIN, origin, sizeof origin);
  fhttp_copy_token (wsi, WSI_TOKEN_HOST, host, sizeof host);
  return con_same_origin (origin[0] != '\0' ? origin : NULL,
                          host[0] != '\0' ? host : NULL);
}

/* Passes the request on to the control task.  */
void
adn_ask_control (struct admin_request *request, enum msg_admin_op op)
{
  struct front *front = request->front;
  struct msg *msg = msg_new (MSG_ADMIN);

  request->id = front->next_request++;
  msg->u.admin.op = op;
  msg->u.admin.request = request->id;
  inb_put (front->control, msg);
}

static void
adn_backend_put (struct admin_request *request)
{
  struct sts_backend backend;
  char fault[256];

  if (!request->local)
    {
      adn_answer_error (request, 403, "announcements come from loopback");
      return;
    }
  if (sts_decode_backend ((const char *)request->body.data, request->body.len,
                          &backend, fault, sizeof fault)
      != SR_OK)
    {
      adn_answer_error (request, 400, fault);
      return;
    }
  if (bck_announce (request->front, backend.service, backend.address,
                    backend.slots, backend.connections)
      != SR_OK)
    {
      adn_answer_error (request, 400, "address is not IP:PORT");
      return;
    }
  adn_answer_json (request, 200, strdup ("{}\n"));
}

static void
adn_backend_delete (struct admin_request *request)
{
  if (!request->local)
    {
      adn_answer_error (request, 403, "announcements come from loopback");
      return;
    }
  bck_leave (request->front);
  adn_answer_json (request, 200, strdup ("{}\n"));
}

static void
adn_ready (struct admin_request *request)
{
  const struct front *front = request->front;
  bool ready = front->state.model != NULL && !front->state.draining;

  adn_answer_json (
      request, ready ? 200 : 503,
      strdup (ready ? "{\"ready\": true}\n" : "{\"ready\": false}\n"));
}

static void
adn_status (struct admin_request *request)
{
  struct front *front = request->front;
  struct msg *msg = msg_new (MSG_ADMIN);
  struct adm_level level = adm_level (front->state.admission, clk_now ());
  struct sts_front state = {
    .backend_up = front->state.backend_up,
    .draining = front->state.draining,
    .limit = adm_limit (front->state.admission),
    .running = adm_running (front->state.admission),
    .waiting = adm_waiting (front->state.admission),
    .level = level.importance,
  };

  lst_each (node, &front->calls)
    state.calls++;
  request->id = front->next_request++;
  msg->u.admin.op = MSG_ADMIN_STATUS;
  msg->u.admin.request = request->id;
  msg->u.admin.text = sts_encode_front (&state);
  inb_put (front->control, msg);
}

static void
adn_metrics (struct admin_request *request)
{
  struct buf text = { 0 };

  exp_metrics (&text);
  buf_append (&text, "", 1);
  adn_answer (request, 200, "text/plain; version=0.0.4", (char *)text.data);
}

/* Checks the document in the request's body; answers when it is wrong.  */
static bool
adn_check_document (struct admin_request *request)
{
  struct sts_faults *faults = sts_faults_new ();
  char *text;
  int error = doc_parse ((const char *)request->body.data, request->body.len,
                         sts_faults_add, faults, NULL);

  text = sts_faults_encode (faults);
  if (error == SR_OK)
    {
      free (text);
      return true;
    }
  adn_answer_json (request, 400, text);
  return false;
}

static void
adn_document_put (struct admin_request *request)
{
  struct front *front = request->front;
  char base[32];
  char change_id[64];
  char *end = NULL;
  struct msg *msg;

  if (!adn_query (request, "base", base, sizeof base)
      || !adn_query (request, "change_id", change_id, sizeof change_id))
    {
      adn_answer_error (request, 400, "base and change_id are required");
      return;
    }
  if (!adn_check_document (request))
    return;
  msg = msg_new (MSG_ADMIN);
  request->id = front->next_request++;
  msg->u.admin.op = MSG_ADMIN_APPLY;
  msg->u.admin.request = request->id;
  msg->u.admin.base = strtoull (base, &end, 10);
  snprintf (msg->u.admin.change_id, sizeof msg->u.admin.change_id, "%s",
            change_id);
  if (*end != '\0' || change_id[0] == '\0')
    {
      msg_free (msg);
      adn_answer_error (request, 400, "base is not a version number");
      return;
    }
  msg->u.admin.text
      = strndup ((const char *)request->body.data, request->body.len);
  msg->u.admin.len = request->body.len;
  inb_put (front->control, msg);
}

static void
adn_validate (struct admin_request *request)
{
  if (adn_check_document (request))
    adn_answer_json (request, 200, strdup ("{\"status\": \"valid\"}\n"));
}

static void
adn_behind (struct admin_request *request)
{
  struct msg *msg;
  char version[32];

  if (!adn_query (request, "version", version, sizeof version))
    {
      adn_answer_error (request, 400, "version is required");
      return;
    }
  msg = msg_new (MSG_ADMIN);
  request->id = request->front->next_request++;
  msg->u.admin.op = MSG_ADMIN_BEHIND;
  msg->u.admin.request = request->id;
  msg->u.admin.base = strtoull (version, NULL, 10);
  inb_put (request->front->control, msg);
}

static void
adn_drain (struct admin_request *request)
{
  front_drain (request->front);
  adn_answer_json (request, 200, strdup ("{\"status\": \"draining\"}\n"));
}

static void
adn_run (struct admin_request *request, enum adn_op op)
{
  switch (op)
    {
    case ADN_BACKEND_PUT:
      adn_backend_put (request);
      break;
    case ADN_BACKEND_DELETE:
      adn_backend_delete (request);
      break;
    case ADN_READY:
      adn_ready (request);
      break;
    case ADN_STATUS:
      adn_status (request);
      break;
    case ADN_METRICS:
      adn_metrics (request);
      break;
    case ADN_DOCUMENT_GET:
      adn_ask_control (request, MSG_ADMIN_GET);
      break;
    case ADN_DOCUMENT_PUT:
      adn_document_put (request);
      break;
    case ADN_VALIDATE:
      adn_validate (request);
      break;
    case ADN_MEMBERS:
      adn_ask_control (request, MSG_ADMIN_MEMBERS);
      break;
    case ADN_BEHIND:
      adn_behind (request);
      break;
    case ADN_DRAIN:
      adn_drain (request);
      break;
    case ADN_CONSOLE:
      cns_start (request);
      break;
    case ADN_NOT_FOUND:
      adn_answer_error (request, 404, "no such resource");
      break;
    }
}

/* The whole request has come.  */
static void
adn_start (struct admin_request *request)
{
  size_t count = sizeof adn_routes / sizeof adn_routes[0];

  for (size_t i = 0; i < count; i++)
    {
      const struct adn_route *route = &adn_routes[i];

      if (strcmp (route->method, request->method) != 0
          || strcmp (route->path, request->path) != 0)
        continue;
      if (route->change && !request->authorized)
        adn_answer_error (request, 401, "operators' token missing or wrong");
      else
        adn_run (request, route->op);
      return;
    }
  adn_run (request, ADN_NOT_FOUND);
}

static void
adn_request (struct front *front, struct lws *wsi, struct admin_request **slot)
{
  struct admin_request *request = calloc (1, sizeof *request);
  char uri[FRONT_URI_BYTES];
  char *query;

  INVARIANT (request != NULL);
  *slot = request;
  request->front = front;
  request->wsi = wsi;
  request->local = fhttp_is_local (wsi);
  request->authorized = adn_is_authorized (front, wsi);
  request->same_origin = adn_is_same_origin (wsi);
  lst_push_tail (&front->admins, &request->node);
  if (fhttp_method (wsi, request->method, sizeof request->method, uri,
                    sizeof uri)
      != SR_OK)
    {
      adn_answer_error (request, 400, "malformed request");
      return;
    }
  query = strchr (uri, '?');
  if (query != NULL)
    {
      *query = '\0';
      snprintf (request->query, sizeof request->query, "%.511s", query + 1);
    }
  snprintf (request->path, sizeof request->path, "%.255s", uri);
  if (fhttp_content_length (wsi) <= 0)
    adn_start (request);
}

static int
adn_write_head (struct admin_request *request)
{
  unsigned char buffer[LWS_PRE + 2048];
  unsigned char *start = buffer + LWS_PRE;
  unsigned char *p = start;
  unsigned char *end = buffer + sizeof buffer - 1;
  struct lws *wsi = request->wsi;
  char number[32];

  if (lws_add_http_header_status (wsi, (unsigned)request->status, &p, end)
      || fhttp_add_field (wsi, "content-type", request->type, &p, end)
      || lws_add_http_header_content_length (wsi, request->len, &p, end))
    return -1;
  if (request->disposition != NULL
      && fhttp_add_field (wsi, "content-disposition", request->disposition, &p,
                          end))
    return -1;
  if (request->policy != NULL
      && fhttp_add_field (wsi, "content-security-policy", request->policy, &p,
                          end))
    return -1;
  snprintf (number, sizeof number, "%llu",
            (unsigned long long)request->version);
  if (request->version != 0
      && fhttp_add_field (wsi, "x-version", number, &p, end))
    return -1;
  if (lws_finalize_write_http_header (wsi, start, &p, end))
    return -1;
  request->head_written = true;
  lws_callback_on_writable (wsi);
  return 0;
}

/* Writes the next part; returns nonzero to close the connection.  */
static int
adn_writeable (struct admin_request *request)
{
  unsigned char buffer[LWS_PRE + ADN_WRITE_BYTES];
  size_t len = request->len - request->written;
  bool last;

  if (request->text == NULL)
    return 0;
  if (!request->head_written)
    return adn_write_head (request);
  if (len > ADN_WRITE_BYTES)
    len = ADN_WRITE_BYTES;
  memcpy (buffer + LWS_PRE, request->text + request->written, len);
  request->written += len;
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

static struct admin_request *
adn_find (struct front *front, uint64_t id)
{
  lst_each (node, &front->admins)
    {
      struct admin_request *request
          = lst_entry (node, struct admin_request, node);

      if (request->id == id)
        return request;
    }
  return NULL;
}

void
adn_reply (struct front *front, struct msg *msg)
{
  struct msg_admin_reply *reply = &msg->u.admin_reply;
  struct admin_request *request = adn_find (front, reply->request);

  if (request == NULL)
    return;
  if (request->console != ADMIN_CONSOLE_NONE)
    {
      cns_reply (request, reply);
      return;
    }
  request->version = reply->version;
  adn_answer_json (request, reply->http_status, reply->text);
  reply->text = NULL;
}

static int
adn_body_part (struct admin_request *request, const void *data, size_t len)
{
  if (request->body.len + len > ADN_BODY_BYTES_MAX)
    {
      slog (SLOG_WARNING, "admin request body is too large limit=%d",
            ADN_BODY_BYTES_MAX);
      return -1;
    }
  buf_append (&request->body, data, len);
  return 0;
}

int
adn_callback (struct lws *wsi, enum lws_callback_reasons reason, void *user,
              void *in, size_t len)
{
  struct admin_request **slot = user;
  struct front *front = lws_context_user (lws_get_context (wsi));

  /* A connection that ends before its first request has no user data.  */
  if (slot == NULL)
    return reason == LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION ? -1 : 0;
  switch (reason)
    {
    case LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION:
      return -1; /* no WebSocket upgrades */
    case LWS_CALLBACK_HTTP:
      if (*slot != NULL)
        adn_free (*slot);
      adn_request (front, wsi, slot);
      return 0;
    case LWS_CALLBACK_HTTP_BODY:
      return *slot != NULL ? adn_body_part (*slot, in, len) : 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      if (*slot != NULL && (*slot)->id == 0 && (*slot)->text == NULL)
        adn_start (*slot);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return *slot != NULL ? adn_writeable (*slot) : 0;
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
    case LWS_CALLBACK_CLOSED_HTTP:
      if (*slot != NULL)
        adn_free (*slot);
      *slot = NULL;
      return 0;
    default:
      return 0;
    }
}
