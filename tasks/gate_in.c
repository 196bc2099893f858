#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* Header bytes and idle time before a configuration sets them.  */
#define GATE_HEADER_BYTES_MAX (32 * 1024)
#define GATE_HEADER_TIMEOUT_MS 5000
#define GATE_IDLE_TIMEOUT_MS 60000
/* Other nodes close idle connections themselves, before this.  */
#define GATE_NODE_IDLE_TIMEOUT_MS 60000
/* Requests of one connection that are served at a time.  More are not read,
   and those that the last read brought are held.  */
#define GATE_PIPELINE_MAX 64
#define GATE_UNACKED_TIMEOUT_MS 8000

static void gate_request_free (struct gate_request *request);
static void gate_in_start_pending (struct gate_in *in);

static const struct route_limits *
gate_limits (const struct gate *gate)
{
  static const struct route_limits initial
      = { GATE_HEADER_BYTES_MAX, GATE_REPLAY_BODY_BYTES_MAX,
          GATE_HEADER_TIMEOUT_MS, GATE_IDLE_TIMEOUT_MS };

  if (gate->dispatch.model == NULL || gate->dispatch.model->routes == NULL)
    return &initial;
  return &gate->dispatch.model->routes->limits;
}

const char *
gate_request_id (const struct gate_request *request)
{
  const char *id = request->head.value[HTTPMSG_REQUEST_ID];

  return id[0] != '\0' ? id : "-";
}

/* Sets the timer of a connection that waits for a request, or for the rest of
   a header.  */
static void
gate_in_set_timeout (struct gate_in *in, bool inside)
{
  uint32_t ms = inside ? gate_limits (in->gate)->header_timeout_ms
                       : gate_limits (in->gate)->idle_timeout_ms;

  if (in->port == GATE_PORT_NODES)
    ms = GATE_NODE_IDLE_TIMEOUT_MS;
  loop_set_timer (in->gate->loop, &in->timer,
                  loop_now (in->gate->loop) + clk_ms (ms));
}

static struct gate_request *
gate_in_first_request (struct gate_in *in)
{
  return list_entry (list_first (&in->requests), struct gate_request, node);
}

static struct gate_request *
gate_in_last_request (struct gate_in *in)
{
  return list_entry (list_last (&in->requests), struct gate_request, node);
}

static void
gate_in_add_request (struct gate_in *in, struct gate_request *request)
{
  request->gate = in->gate;
  request->inbound = in;
  list_push_tail (&in->requests, &request->node);
  in->request_count++;
}

/* The connection takes and answers nothing more.  */
static void
gate_in_drop_requests (struct gate_in *in)
{
  in->ended = true;
  while (!list_empty (&in->requests))
    gate_request_free (gate_in_first_request (in));
  loop_cancel_timer (&in->timer);
}

/* Reads on unless there is enough to do already.  */
static void
gate_in_update_reading (struct gate_in *in)
{
  loop_pause_reading (&in->conn.io,
                      in->request_count >= GATE_PIPELINE_MAX
                          || (!list_empty (&in->requests)
                              && gate_in_last_request (in)->body.len
                                     >= GATE_REPLAY_BODY_BYTES_MAX));
}

void
gate_in_flush_answers (struct gate_in *in)
{
  struct gate_request *request;

  while (!in->ended && !list_empty (&in->requests))
    {
      request = gate_in_first_request (in);
      if (request->answer.len > 0)
        {
          buf_append (&in->conn.send_buf, request->answer.data,
                      request->answer.len);
          buf_free (&request->answer);
        }
      if (!request->answer_complete)
        break;
      if (request->close_after)
        {
          in->ended = true;
          break;
        }
      if (!request->body_complete)
        break;
      gate_request_free (request);
    }
  if (in->ended)
    {
      gate_in_drop_requests (in);
      hconn_flush_and_close (&in->conn);
      return;
    }
  hconn_flush (&in->conn);
  gate_in_start_pending (in);
  if (in->ended)
    return;
  if (!in->no_more_requests)
    gate_in_update_reading (in);
  if (list_empty (&in->requests) && !in->conn.closed)
    gate_in_set_timeout (in, httpmsg_in_message (&in->conn.parser));
}

void
gate_in_close (struct gate_in *in, bool reset)
{
  gate_in_drop_requests (in);
  hconn_close (&in->conn, reset);
}

/* The request goes away with or without its answer.  */
static void
gate_request_free (struct gate_request *request)
{
  list_remove (&request->node);
  request->inbound->request_count--;
  list_remove (&request->api_node);
  request->inbound = NULL;
  switch (request->kind)
    {
    case GATE_KIND_CALL:
      gate_call_cancel (request->u.call);
      break;
    case GATE_KIND_SERVE:
      gate_serve_cancel (request->u.serve);
      break;
    case GATE_KIND_API:
    case GATE_KIND_PENDING:
    case GATE_KIND_NONE:
      break;
    }
  httpmsg_head_fini (&request->head);
  buf_free (&request->body);
  buf_free (&request->answer);
  free (request);
}

void
gate_in_resume_body (struct gate_request *request)
{
  struct gate_in *in = request->inbound;

  if (in != NULL && gate_in_last_request (in) == request)
    gate_in_update_reading (in);
}

/* Answers a request that cannot be read, after those before it.  */
static void
gate_in_refuse (struct gate_in *in, int status)
{
  struct gate_request *request = calloc (1, sizeof *request);

  INVARIANT (request != NULL);
  request->body_complete = true;
  request->close_after = true;
  gate_in_add_request (in, request);
  slog (SLOG_WARNING, "request refused id=- status=%d reason=%s", status,
        status == 431 ? "headers-too-large" : "malformed");
  counter_add_refusal (status == 431 ? REASON_HEADERS_TOO_LARGE
                                     : REASON_MALFORMED);
  gate_answer_own (request, status, "", "text/plain", "refused\n", 8);
}

/* Hands a request to whoever answers it.  */
static void
gate_in_start_request (struct gate_request *request)
{
  switch (request->inbound->port)
    {
    case GATE_PORT_CALLERS:
      gate_call_begin (request);
      break;
    case GATE_PORT_NODES:
      gate_serve_begin (request);
      break;
    default:
      gate_api_begin (request);
      break;
    }
}

static int
gate_in_handle_head (void *arg, struct httpmsg_head *head)
{
  struct gate_in *in = list_entry ((struct hconn *)arg, struct gate_in, conn);
  struct gate *gate = in->gate;
  struct gate_request *request;

  if (in->ended || in->no_more_requests)
    return SR_EAGAIN;
  request = calloc (1, sizeof *request);
  INVARIANT (request != NULL);
  request->head = *head;
  memset (head, 0, sizeof *head);
  request->arrived_at = loop_now (gate->loop);
  request->close_after = !request->head.keep_alive;
  in->no_more_requests = request->close_after;
  in->reading_body = true;
  loop_cancel_timer (&in->timer);
  gate_in_add_request (in, request);
  gate_in_update_reading (in);
  if (request->head.expects_continue
      && list_first (&in->requests) == &request->node)
    buf_append (&in->conn.send_buf, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  if (request->head.body_len > (int64_t)gate_limits (gate)->body_bytes)
    {
      request->close_after = true;
      gate_answer_own (request, 413, "", "text/plain", "refused\n", 8);
      return SR_EAGAIN;
    }
  if (in->request_count > GATE_PIPELINE_MAX)
    request->kind = GATE_KIND_PENDING;
  else
    gate_in_start_request (request);
  return in->conn.closed || in->ended ? SR_EAGAIN : SR_OK;
}

/* Tells whoever answers the request that more of its body is there.  */
static void
gate_in_notify_body (struct gate_request *request)
{
  switch (request->kind)
    {
    case GATE_KIND_CALL:
      gate_call_forward_body (request->u.call);
      break;
    case GATE_KIND_SERVE:
      gate_serve_forward_body (request->u.serve);
      break;
    case GATE_KIND_API:
      if (request->body_complete)
        gate_api_run (request);
      break;
    case GATE_KIND_PENDING:
    case GATE_KIND_NONE:
      break;
    }
}

/* The first held request that may be served now, or NULL.  */
static struct gate_request *
gate_in_next_pending (struct gate_in *in)
{
  uint32_t at = 0;

  if (in->ended)
    return NULL;
  list_each (node, &in->requests)
    {
      struct gate_request *request
          = list_entry (node, struct gate_request, node);

      if (request->kind == GATE_KIND_PENDING)
        return request;
      if (++at == GATE_PIPELINE_MAX)
        break;
    }
  return NULL;
}

/* Whether REQUEST, which may be freed by now, is still there.  */
static bool
gate_in_has_request (const struct gate_in *in,
                     const struct gate_request *request)
{
  list_each (node, &in->requests)
    if (list_entry (node, struct gate_request, node) == request)
      return true;
  return false;
}

/* Starts what may be served now.  A refusal ends a request at once and comes
   here again.  */
static void
gate_in_start_pending (struct gate_in *in)
{
  struct gate_request *request;

  if (in->starting_pending)
    return;
  in->starting_pending = true;
  while ((request = gate_in_next_pending (in)) != NULL)
    {
      request->kind = GATE_KIND_NONE;
      gate_in_start_request (request);
      if (gate_in_has_request (in, request))
        gate_in_notify_body (request);
    }
  in->starting_pending = false;
}

static int
gate_in_handle_body (void *arg, const uint8_t *data, size_t len)
{
  struct gate_in *in = list_entry ((struct hconn *)arg, struct gate_in, conn);
  struct gate_request *request;

  if (in->ended || list_empty (&in->requests))
    return SR_EAGAIN;
  request = gate_in_last_request (in);
  if (request->kind == GATE_KIND_NONE)
    return SR_OK;
  if (buf_end (&request->body) + len > gate_limits (in->gate)->body_bytes)
    {
      gate_answer_abort (request);
      return SR_EAGAIN;
    }
  buf_append (&request->body, data, len);
  gate_in_notify_body (request);
  if (in->ended)
    return SR_EAGAIN;
  if (!list_empty (&in->requests) && gate_in_last_request (in) == request)
    gate_in_resume_body (request);
  return SR_OK;
}

static int
gate_in_handle_request_end (void *arg)
{
  struct gate_in *in = list_entry ((struct hconn *)arg, struct gate_in, conn);
  struct gate_request *request;

  if (in->ended || list_empty (&in->requests))
    return SR_EAGAIN;
  request = gate_in_last_request (in);
  request->body_complete = true;
  in->reading_body = false;
  if (request->kind == GATE_KIND_NONE)
    gate_in_flush_answers (in);
  else
    gate_in_notify_body (request);
  return in->ended || in->conn.closed ? SR_EAGAIN : SR_OK;
}

/* Bytes of answers have left: their sources may go on.  */
static void
gate_in_handle_drained (struct hconn *conn)
{
  struct gate_in *in = list_entry (conn, struct gate_in, conn);
  struct gate_request *request;

  if (list_empty (&in->requests))
    return;
  request = gate_in_first_request (in);
  if (request->kind == GATE_KIND_CALL)
    gate_call_resume_answer (request->u.call);
  else if (request->kind == GATE_KIND_SERVE)
    gate_serve_resume_answer (request->u.serve);
}

static void
gate_in_handle_close (struct hconn *conn, enum hconn_end end)
{
  struct gate_in *in = list_entry (conn, struct gate_in, conn);
  struct gate_request *request;

  if (in->ended)
    {
      hconn_flush_and_close (conn);
      return;
    }
  switch (end)
    {
    case HCONN_END_MALFORMED:
    case HCONN_END_TOO_LONG:
      if (in->no_more_requests || in->reading_body)
        break;
      gate_in_refuse (in, end == HCONN_END_TOO_LONG ? 431 : 400);
      return;
    default:
      break;
    }
  /* Bytes behind the last request of a connection are not read.  */
  if (in->no_more_requests && end == HCONN_END_MALFORMED
      && !list_empty (&in->requests))
    {
      loop_pause_reading (&in->conn.io, true);
      return;
    }
  if (in->port == GATE_PORT_NODES && end == HCONN_END_ORDERLY
      && !list_empty (&in->requests))
    {
      /* The other node still reads: it withdraws what does not run yet.  */
      in->no_more_requests = true;
      loop_pause_reading (&in->conn.io, true);
      request = gate_in_last_request (in);
      request->close_after = true;
      if (request->kind == GATE_KIND_SERVE)
        gate_serve_withdraw (request->u.serve);
      return;
    }
  gate_in_close (in, end != HCONN_END_ORDERLY);
}

static void
gate_in_destroy (struct hconn *conn)
{
  struct gate_in *in = list_entry (conn, struct gate_in, conn);

  INVARIANT (list_empty (&in->requests));
  loop_cancel_timer (&in->timer);
  list_remove (&in->node);
  free (in);
}

static void
gate_in_handle_connected (struct hconn *conn)
{
  (void)conn;
}

static const struct hconn_events gate_in_events
    = { .sink = { gate_in_handle_head, gate_in_handle_body,
                  gate_in_handle_request_end },
        .connected = gate_in_handle_connected,
        .drained = gate_in_handle_drained,
        .ended = gate_in_handle_close,
        .destroy = gate_in_destroy };

/* No request came in time, or its header was not whole in time.  */
static void
gate_in_handle_timeout (struct loop_timer *timer)
{
  struct gate_in *in = list_entry (timer, struct gate_in, timer);

  if (in->ended || !list_empty (&in->requests))
    return;
  if (httpmsg_in_message (&in->conn.parser))
    gate_in_refuse (in, 408);
  else
    gate_in_close (in, false);
}

void
gate_in_open (struct gate *gate, enum gate_port port, int fd)
{
  struct hconn_opts opts
      = { .loop = gate->loop,
          .events = &gate_in_events,
          .role = HTTPMSG_REQUEST,
          .names = gate->opts.adapter->names,
          .header_bytes_max = gate_limits (gate)->header_bytes,
          .unacked_timeout_ms = GATE_UNACKED_TIMEOUT_MS };
  struct gate_in *in = calloc (1, sizeof *in);

  INVARIANT (in != NULL);
  in->gate = gate;
  in->port = port;
  in->timer.fire = gate_in_handle_timeout;
  list_init (&in->requests);
  if (hconn_adopt (&in->conn, &opts, fd) != SR_OK)
    {
      slog (SLOG_ERR, "connection not accepted reason=descriptors");
      free (in);
      return;
    }
  list_push_tail (&gate->inbound, &in->node);
  gate_in_set_timeout (in, false);
}

/* Closes idle connections of callers while the node stops.  */
void
gate_in_close_idle (struct gate *gate)
{
  list_each (node, &gate->inbound)
    {
      struct gate_in *in = list_entry (node, struct gate_in, node);

      if (in->port == GATE_PORT_CALLERS && !in->ended
          && list_empty (&in->requests)
          && !httpmsg_in_message (&in->conn.parser))
        gate_in_close (in, false);
    }
}
