#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/counter.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* Largest body of an API request, in particular of a configuration.  */
#define GATE_API_BODY_BYTES_MAX (16 * 1024 * 1024)
/* Idle timeouts after which the body of an API request must be complete.  */
#define GATE_API_BODY_IDLE_TIMEOUTS 2
/* Defaults until a configuration is present.  */
#define GATE_IN_HEADER_BYTES_MAX (32 * 1024)
#define GATE_HEADER_TIMEOUT_MS 5000
#define GATE_IDLE_TIMEOUT_MS 60000
/* Other nodes close idle connections earlier themselves.  */
#define GATE_NODE_IDLE_TIMEOUT_MS 60000
/* Part of the descriptors that inbound connections may use.  The rest is for
   connections to the backend server and to other nodes.  */
#define GATE_IN_DESCRIPTORS_PERCENT 75u
/* Requests of one connection that are processed at a time, while memory is not
   short.  Reading is paused at this number; requests beyond it that were
   already read stay pending.  */
#define GATE_PIPELINE_MAX 64
/* Time without an acknowledgement of sent bytes after which a connection
   fails; set as TCP_USER_TIMEOUT.  */
#define GATE_IN_UNACKED_TIMEOUT_MS 8000

static void gate_request_free (struct gate_request *request);
static void gate_in_start_pending (struct gate_in *inbound);

static const struct route_limits *
gate_limits (const struct gate *gate)
{
  static const struct route_limits defaults
      = { GATE_IN_HEADER_BYTES_MAX, GATE_REPLAY_BODY_BYTES_MAX,
          GATE_HEADER_TIMEOUT_MS, GATE_IDLE_TIMEOUT_MS };

  if (gate->dispatch.model == NULL || gate->dispatch.model->routes == NULL)
    return &defaults;
  return &gate->dispatch.model->routes->limits;
}

/* Largest body of a request that arrives on INBOUND.  */
static uint64_t
gate_in_body_bytes_max (const struct gate_in *inbound)
{
  switch (inbound->port)
    {
    case GATE_PORT_CALLERS:
    case GATE_PORT_NODES:
      return gate_limits (inbound->gate)->body_bytes;
    default:
      return GATE_API_BODY_BYTES_MAX;
    }
}

const char *
gate_request_id (const struct gate_request *request)
{
  const char *id = request->head.value[HTTPMSG_REQUEST_ID];

  return id[0] != '\0' ? id : "-";
}

/* Sets the header timeout if a header has been received in part, else the idle
   timeout.  */
static void
gate_in_set_timeout (struct gate_in *inbound, bool header_started)
{
  uint32_t ms = header_started ? gate_limits (inbound->gate)->header_timeout_ms
                               : gate_limits (inbound->gate)->idle_timeout_ms;

  if (inbound->port == GATE_PORT_NODES)
    ms = GATE_NODE_IDLE_TIMEOUT_MS;
  loop_set_timer (inbound->gate->loop, &inbound->timer,
                  loop_now (inbound->gate->loop) + clk_ms (ms));
}

static struct gate_request *
gate_in_first_request (struct gate_in *inbound)
{
  return list_entry (list_first (&inbound->requests), struct gate_request,
                     node);
}

static struct gate_request *
gate_in_last_request (struct gate_in *inbound)
{
  return list_entry (list_last (&inbound->requests), struct gate_request,
                     node);
}

/* Sets the time until the next bytes of the body of the last request must have
   come.  That of an API request, which has no timeout of its own, must be
   complete at some time.  */
static void
gate_in_set_body_timeout (struct gate_in *inbound)
{
  const struct gate_request *request = gate_in_last_request (inbound);
  clk_us idle_timeout = clk_ms (gate_limits (inbound->gate)->idle_timeout_ms);
  clk_us due = loop_now (inbound->gate->loop) + idle_timeout;
  clk_us complete_due
      = request->arrived_at + GATE_API_BODY_IDLE_TIMEOUTS * idle_timeout;

  if (request->kind == GATE_KIND_API && due > complete_due)
    due = complete_due;
  loop_set_timer (inbound->gate->loop, &inbound->timer, due);
}

static void
gate_in_add_request (struct gate_in *inbound, struct gate_request *request)
{
  request->gate = inbound->gate;
  request->inbound = inbound;
  list_push_tail (&inbound->requests, &request->node);
  inbound->request_count++;
}

/* Frees all requests; the connection must be closed next.  */
static void
gate_in_drop_requests (struct gate_in *inbound)
{
  inbound->ended = true;
  while (!list_empty (&inbound->requests))
    gate_request_free (gate_in_first_request (inbound));
  loop_cancel_timer (&inbound->timer);
}

/* Requests of one connection that are processed at a time.  */
static uint32_t
gate_in_pipeline_max (const struct gate_in *inbound)
{
  return held_is_short (&inbound->gate->held) ? 1 : GATE_PIPELINE_MAX;
}

/* Pauses reading while the pipeline or the last request body is at its limit,
   resumes it otherwise.  The body of a request that was started is read, or it
   would never end.  */
static void
gate_in_update_reading (struct gate_in *inbound)
{
  const struct gate_request *last = list_empty (&inbound->requests)
                                        ? NULL
                                        : gate_in_last_request (inbound);
  bool reading_started = inbound->reading_body && last != NULL
                         && last->kind != GATE_KIND_PENDING;
  bool paused = (inbound->request_count >= gate_in_pipeline_max (inbound)
                 && !reading_started)
                || (last != NULL && gate_held_body_is_full (last));

  if (inbound->reading_ended)
    return;
  if (paused && !inbound->conn.io.paused)
    counter_add (COUNTER_REQUEST_READS_PAUSED, 1);
  loop_pause_reading (&inbound->conn.io, paused);
}

/* Reads nothing more until the connection is closed.  */
static void
gate_in_end_reading (struct gate_in *inbound)
{
  inbound->no_more_requests = true;
  inbound->reading_body = false;
  inbound->reading_ended = true;
  loop_cancel_timer (&inbound->timer);
  loop_pause_reading (&inbound->conn.io, true);
}

void
gate_in_flush_answers (struct gate_in *inbound)
{
  struct gate_request *request;

  while (!inbound->ended && !list_empty (&inbound->requests))
    {
      request = gate_in_first_request (inbound);
      if (request->answer.len > 0)
        {
          buf_append (&inbound->conn.send_buf, request->answer.data,
                      request->answer.len);
          buf_free (&request->answer);
        }
      if (!request->answer_complete)
        break;
      if (request->close_after)
        {
          inbound->ended = true;
          break;
        }
      if (!request->body_complete)
        break;
      gate_request_free (request);
    }
  if (inbound->ended)
    {
      gate_in_drop_requests (inbound);
      hconn_flush_and_close (&inbound->conn);
      gate_held_update (inbound);
      return;
    }
  hconn_flush (&inbound->conn);
  gate_in_start_pending (inbound);
  if (inbound->ended)
    return;
  /* The first request may have become it just now.  */
  if (!list_empty (&inbound->requests))
    gate_answer_update_reading (gate_in_first_request (inbound));
  if (!inbound->no_more_requests || inbound->reading_body)
    gate_in_update_reading (inbound);
  if (list_empty (&inbound->requests) && !inbound->conn.closed)
    gate_in_set_timeout (inbound, httpmsg_in_message (&inbound->conn.parser));
}

void
gate_in_close (struct gate_in *inbound, bool reset)
{
  gate_in_drop_requests (inbound);
  held_remove (&inbound->gate->held, &inbound->held);
  hconn_close (&inbound->conn, reset);
}

/* Frees a request; cancels it if it has not been answered.  */
static void
gate_request_free (struct gate_request *request)
{
  list_remove (&request->node);
  request->inbound->request_count--;
  list_remove (&request->api_node);
  gate_held_update (request->inbound);
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
  struct gate_in *inbound = request->inbound;

  if (inbound != NULL && gate_in_last_request (inbound) == request)
    gate_in_update_reading (inbound);
}

/* Answers a header that is malformed, too long or late with STATUS, after the
   requests before it, and ends the connection.  */
static void
gate_in_refuse (struct gate_in *inbound, int status)
{
  struct gate_request *request = calloc (1, sizeof *request);

  INVARIANT (request != NULL);
  request->body_complete = true;
  request->close_after = true;
  gate_in_add_request (inbound, request);
  slog (SLOG_WARNING, "request refused id=- status=%d reason=%s", status,
        status == 431 ? "headers-too-large" : "malformed");
  counter_add_refusal (status == 431 ? REASON_HEADERS_TOO_LARGE
                                     : REASON_MALFORMED);
  gate_answer_local (request, status, "", "text/plain", "refused\n", 8);
}

/* Starts a request by the port on which it arrived.  */
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

/* Ends a request whose body is over the limit, and after its answer the
   connection; the rest of the body is not read.  */
static void
gate_in_refuse_body (struct gate_request *request)
{
  request->close_after = true;
  switch (request->kind)
    {
    case GATE_KIND_CALL:
      gate_call_fail (request->u.call, REASON_BODY_TOO_LARGE);
      break;
    case GATE_KIND_SERVE:
      gate_serve_fail (request->u.serve, REASON_BODY_TOO_LARGE,
                       request->u.serve->running ? REASON_RUN_UNKNOWN
                                                 : REASON_NOT_RUN);
      break;
    case GATE_KIND_API:
    case GATE_KIND_PENDING:
    case GATE_KIND_NONE:
      slog (SLOG_INFO, "request refused id=%s status=413 reason=%s",
            gate_request_id (request), reason_name (REASON_BODY_TOO_LARGE));
      counter_add_refusal (REASON_BODY_TOO_LARGE);
      gate_answer_local (request, 413, "", "text/plain", "refused\n", 8);
      break;
    }
}

static int
gate_in_handle_head (void *arg, struct httpmsg_head *head)
{
  struct gate_in *inbound
      = list_entry ((struct hconn *)arg, struct gate_in, conn);
  struct gate *gate = inbound->gate;
  struct gate_request *request;

  if (inbound->ended || inbound->no_more_requests)
    return SR_EAGAIN;
  request = calloc (1, sizeof *request);
  INVARIANT (request != NULL);
  request->head = *head;
  memset (head, 0, sizeof *head);
  request->arrived_at = loop_now (gate->loop);
  request->close_after = !request->head.keep_alive;
  inbound->no_more_requests = request->close_after;
  inbound->reading_body = true;
  gate_in_add_request (inbound, request);
  gate_in_set_body_timeout (inbound);
  gate_in_update_reading (inbound);
  if (request->head.expects_continue
      && list_first (&inbound->requests) == &request->node)
    buf_append (&inbound->conn.send_buf, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  if (request->head.body_len > (int64_t)gate_in_body_bytes_max (inbound))
    {
      gate_in_refuse_body (request);
      return SR_EAGAIN;
    }
  if (inbound->request_count > gate_in_pipeline_max (inbound))
    request->kind = GATE_KIND_PENDING;
  else
    gate_in_start_request (request);
  return inbound->conn.closed || inbound->ended ? SR_EAGAIN : SR_OK;
}

/* Processes further body bytes of a request, or the end of its body.  */
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

/* The first pending request that may be started now, or NULL.  */
static struct gate_request *
gate_in_next_pending (struct gate_in *inbound)
{
  uint32_t started_count = 0;

  if (inbound->ended)
    return NULL;
  list_each (node, &inbound->requests)
    {
      struct gate_request *request
          = list_entry (node, struct gate_request, node);

      if (request->kind == GATE_KIND_PENDING)
        return request;
      if (++started_count >= gate_in_pipeline_max (inbound))
        break;
    }
  return NULL;
}

/* Whether REQUEST still belongs to the connection; it may have been freed.  */
static bool
gate_in_has_request (const struct gate_in *inbound,
                     const struct gate_request *request)
{
  list_each (node, &inbound->requests)
    if (list_entry (node, struct gate_request, node) == request)
      return true;
  return false;
}

/* Starts pending requests.  One that is refused at once calls this function
   again through gate_in_flush_answers().  */
static void
gate_in_start_pending (struct gate_in *inbound)
{
  struct gate_request *request;

  if (inbound->starting_pending)
    return;
  inbound->starting_pending = true;
  while ((request = gate_in_next_pending (inbound)) != NULL)
    {
      request->kind = GATE_KIND_NONE;
      gate_in_start_request (request);
      if (gate_in_has_request (inbound, request))
        gate_in_notify_body (request);
    }
  inbound->starting_pending = false;
  gate_held_update (inbound);
}

static int
gate_in_handle_body (void *arg, const uint8_t *data, size_t len)
{
  struct gate_in *inbound
      = list_entry ((struct hconn *)arg, struct gate_in, conn);
  struct gate_request *request;

  if (inbound->ended || list_empty (&inbound->requests))
    return SR_EAGAIN;
  request = gate_in_last_request (inbound);
  /* The rest of an answered request is discarded, until the time at which its
     next bytes were due when it was answered.  */
  if (request->kind == GATE_KIND_NONE)
    return SR_OK;
  if (buf_end (&request->body) + len > gate_in_body_bytes_max (inbound))
    {
      gate_in_refuse_body (request);
      return SR_EAGAIN;
    }
  buf_append (&request->body, data, len);
  gate_in_set_body_timeout (inbound);
  gate_in_notify_body (request);
  if (inbound->ended)
    return SR_EAGAIN;
  if (!list_empty (&inbound->requests)
      && gate_in_last_request (inbound) == request)
    gate_in_resume_body (request);
  return SR_OK;
}

static int
gate_in_handle_request_end (void *arg)
{
  struct gate_in *inbound
      = list_entry ((struct hconn *)arg, struct gate_in, conn);
  struct gate_request *request;

  if (inbound->ended || list_empty (&inbound->requests))
    return SR_EAGAIN;
  request = gate_in_last_request (inbound);
  request->body_complete = true;
  inbound->reading_body = false;
  loop_cancel_timer (&inbound->timer);
  if (request->kind == GATE_KIND_NONE)
    gate_in_flush_answers (inbound);
  else
    gate_in_notify_body (request);
  return inbound->ended || inbound->conn.closed ? SR_EAGAIN : SR_OK;
}

static void
gate_in_handle_received (struct hconn *conn)
{
  struct gate_in *inbound = list_entry (conn, struct gate_in, conn);

  held_record_progress (&inbound->gate->held, &inbound->held,
                        loop_now (inbound->gate->loop));
  gate_held_update (inbound);
  gate_held_make_room (inbound);
}

static void
gate_in_handle_sent (struct hconn *conn)
{
  struct gate_in *inbound = list_entry (conn, struct gate_in, conn);

  held_record_progress (&inbound->gate->held, &inbound->held,
                        loop_now (inbound->gate->loop));
  gate_held_update (inbound);
}

/* Few bytes are unsent: more of the first answer can be read.  */
static void
gate_in_handle_drained (struct hconn *conn)
{
  struct gate_in *inbound = list_entry (conn, struct gate_in, conn);

  if (!list_empty (&inbound->requests))
    gate_answer_update_reading (gate_in_first_request (inbound));
}

void
gate_in_record_passed (const struct gate_serve *serve)
{
  struct gate_passed *passed = &serve->request->inbound->passed;
  const char *id = serve->request->head.value[HTTPMSG_REQUEST_ID];

  memcpy (passed->id, id, strlen (id) + 1);
  passed->status = serve->answer_status;
  passed->connection = serve->outbound->serial;
  passed->at = loop_now (serve->gate->loop);
}

/* Logs that the other node may not have got the last answer: the connection
   has failed, and no request that came after that answer is in progress.  */
static void
gate_in_log_passed (const struct gate_in *inbound)
{
  const struct gate_passed *passed = &inbound->passed;

  if (passed->id[0] == '\0' || !list_empty (&inbound->requests))
    return;
  slog (SLOG_INFO,
        "answer may be lost id=%s status=%d connection=%llu age_ms=%llu",
        passed->id, passed->status, (unsigned long long)passed->connection,
        (unsigned long long)((loop_now (inbound->gate->loop) - passed->at)
                             / CLK_US_PER_MS));
}

static void
gate_in_handle_close (struct hconn *conn, enum hconn_end end)
{
  struct gate_in *inbound = list_entry (conn, struct gate_in, conn);
  struct gate_request *request;

  if (inbound->ended)
    {
      /* The end of the stream stays readable until the answer is written.  */
      loop_pause_reading (&conn->io, true);
      hconn_flush_and_close (conn);
      return;
    }
  switch (end)
    {
    case HCONN_END_RESET:
    case HCONN_END_SILENT:
      gate_in_log_passed (inbound);
      break;
    case HCONN_END_MALFORMED:
    case HCONN_END_TOO_LONG:
      if (inbound->no_more_requests || inbound->reading_body)
        break;
      gate_in_refuse (inbound, end == HCONN_END_TOO_LONG ? 431 : 400);
      return;
    default:
      break;
    }
  /* Bytes after the last request of a connection are ignored.  */
  if (inbound->no_more_requests && end == HCONN_END_MALFORMED
      && !list_empty (&inbound->requests))
    {
      gate_in_end_reading (inbound);
      return;
    }
  if (inbound->port == GATE_PORT_NODES && end == HCONN_END_ORDERLY
      && !list_empty (&inbound->requests))
    {
      /* A half-close: the other node still reads, and withdraws the request
         if it is not running yet.  */
      gate_in_end_reading (inbound);
      request = gate_in_last_request (inbound);
      request->close_after = true;
      if (request->kind == GATE_KIND_SERVE)
        gate_serve_withdraw (request->u.serve);
      else
        gate_in_flush_answers (inbound);
      return;
    }
  gate_in_close (inbound, end != HCONN_END_ORDERLY);
}

void
gate_in_give_way (struct gate_in *inbound)
{
  struct gate *gate = inbound->gate;
  clk_us now = loop_now (gate->loop);
  struct gate_request *request = list_empty (&inbound->requests)
                                     ? NULL
                                     : gate_in_last_request (inbound);

  counter_add (COUNTER_CONNECTIONS_GAVE_WAY, 1);
  slog (
      SLOG_NOTICE,
      "connection gives way id=%s port=%d bytes=%llu silent_ms=%llu "
      "held_kb=%llu",
      request != NULL ? gate_request_id (request) : "-", (int)inbound->port,
      (unsigned long long)inbound->held.bytes,
      (unsigned long long)((now - inbound->held.progress_at) / CLK_US_PER_MS),
      (unsigned long long)(gate->held.bytes / 1024));
  held_record_progress (&gate->held, &inbound->held, now);
  if (request == NULL || request->body_complete)
    {
      gate_in_close (inbound, inbound->conn.send_buf.len > 0);
      return;
    }
  request->close_after = true;
  switch (request->kind)
    {
    case GATE_KIND_CALL:
      gate_call_give_way (request->u.call);
      break;
    case GATE_KIND_SERVE:
      gate_serve_give_way (request->u.serve);
      break;
    case GATE_KIND_API:
      gate_answer_local (request, 503, "Retry-After: 1\r\n", "text/plain",
                         "memory short\n", 13);
      break;
    case GATE_KIND_PENDING:
    case GATE_KIND_NONE:
      gate_in_close (inbound, true);
      break;
    }
}

void
gate_in_drop_pending (struct gate_in *inbound)
{
  uint32_t count = 0;

  if (inbound->ended || list_empty (&inbound->requests))
    return;
  while (gate_in_last_request (inbound) != gate_in_first_request (inbound)
         && gate_in_last_request (inbound)->kind == GATE_KIND_PENDING)
    {
      gate_request_free (gate_in_last_request (inbound));
      count++;
    }
  if (count == 0)
    return;
  counter_add (COUNTER_CONNECTIONS_GAVE_WAY, 1);
  slog (SLOG_NOTICE,
        "pipelined requests dropped port=%d count=%u held_kb=%llu",
        (int)inbound->port, count,
        (unsigned long long)(inbound->gate->held.bytes / 1024));
  gate_in_end_reading (inbound);
  gate_in_last_request (inbound)->close_after = true;
}

static void
gate_in_destroy (struct hconn *conn)
{
  struct gate_in *inbound = list_entry (conn, struct gate_in, conn);

  INVARIANT (list_empty (&inbound->requests));
  loop_cancel_timer (&inbound->timer);
  list_remove (&inbound->node);
  inbound->gate->inbound_count--;
  held_remove (&inbound->gate->held, &inbound->held);
  free (inbound);
}

static void
gate_in_handle_connected (struct hconn *conn)
{
  (void)conn;
}

static const struct hconn_events gate_in_events
    = { .sink = { gate_in_handle_head, gate_in_handle_body,
                  gate_in_handle_request_end, NULL },
        .connected = gate_in_handle_connected,
        .received = gate_in_handle_received,
        .sent = gate_in_handle_sent,
        .drained = gate_in_handle_drained,
        .ended = gate_in_handle_close,
        .destroy = gate_in_destroy };

/* Closes a connection on which no more of a request body comes, unless it is
   this node that does not read it.  */
static void
gate_in_handle_body_timeout (struct gate_in *inbound)
{
  if (inbound->conn.io.paused)
    {
      gate_in_set_body_timeout (inbound);
      return;
    }
  counter_add (COUNTER_CONNECTIONS_SILENT, 1);
  slog (SLOG_NOTICE, "connection silent, closed id=%s port=%d reason=body",
        gate_request_id (gate_in_last_request (inbound)), (int)inbound->port);
  gate_in_close (inbound, true);
}

/* Closes an idle connection, or refuses a header that was not received in
   time.  */
static void
gate_in_handle_timeout (struct loop_timer *timer)
{
  struct gate_in *inbound = list_entry (timer, struct gate_in, timer);

  if (inbound->ended)
    return;
  if (!list_empty (&inbound->requests))
    {
      if (inbound->reading_body)
        gate_in_handle_body_timeout (inbound);
      return;
    }
  if (httpmsg_in_message (&inbound->conn.parser))
    gate_in_refuse (inbound, 408);
  else
    gate_in_close (inbound, false);
}

/* Closes the connection that has lingered for longest; false if none does.  */
static bool
gate_in_close_lingering (struct gate *gate)
{
  struct list_node *node = list_first (&gate->lingering);

  if (node == NULL)
    return false;
  gate_in_close (list_entry (list_entry (node, struct hconn, linger_node),
                             struct gate_in, conn),
                 false);
  return true;
}

/* Makes place for another inbound connection; false if it is to be refused,
   because there are as many as there may be and all are in use.  One that
   lingers is closed first, since its answer has been sent.  One that gives way
   does not linger, since the new one needs its descriptor.  Other nodes are
   not refused: the number of their connections is bounded by what this node's
   server runs and queues.  */
static bool
gate_in_make_place (struct gate *gate, enum gate_port port)
{
  uint32_t count_max = (uint32_t)((uint64_t)gate->opts.descriptors_max
                                  * GATE_IN_DESCRIPTORS_PERCENT / 100);
  struct held_item *stopped;
  struct gate_in *inbound;

  if (gate->inbound_count < count_max || gate_in_close_lingering (gate))
    return true;
  stopped = held_find_stopped (&gate->held, loop_now (gate->loop));
  if (stopped == NULL)
    return port != GATE_PORT_CALLERS;
  inbound = list_entry (stopped, struct gate_in, held);
  gate_in_give_way (inbound);
  /* Requests before the one that is refused may be running.  Bytes are unsent
     if the caller does not read.  */
  if (inbound->ended)
    gate_in_close (inbound, inbound->conn.send_buf.len > 0);
  return true;
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
          .unacked_timeout_ms = GATE_IN_UNACKED_TIMEOUT_MS,
          .windows = &gate->windows,
          .lingering = &gate->lingering };
  struct gate_in *inbound;

  if (!gate_in_make_place (gate, port))
    {
      slog (SLOG_NOTICE, "connection not accepted port=%d reason=too-many",
            (int)port);
      counter_add (COUNTER_CONNECTIONS_GAVE_WAY, 1);
      close (fd);
      return;
    }
  inbound = calloc (1, sizeof *inbound);
  INVARIANT (inbound != NULL);
  inbound->gate = gate;
  inbound->port = port;
  inbound->timer.fire = gate_in_handle_timeout;
  list_init (&inbound->requests);
  if (hconn_adopt (&inbound->conn, &opts, fd) != SR_OK)
    {
      slog (SLOG_ERR, "connection not accepted reason=descriptors");
      free (inbound);
      return;
    }
  list_push_tail (&gate->inbound, &inbound->node);
  gate->inbound_count++;
  held_add (&gate->held, &inbound->held, loop_now (gate->loop));
  gate_held_update (inbound);
  gate_in_set_timeout (inbound, false);
}

void
gate_in_close_idle (struct gate *gate)
{
  list_each (node, &gate->inbound)
    {
      struct gate_in *inbound = list_entry (node, struct gate_in, node);

      if (inbound->port == GATE_PORT_CALLERS && !inbound->ended
          && list_empty (&inbound->requests) && inbound->conn.send_buf.len == 0
          && !httpmsg_in_message (&inbound->conn.parser))
        gate_in_close (inbound, false);
    }
}

bool
gate_in_has_unsent (const struct gate *gate)
{
  list_each (node, &gate->inbound)
    {
      const struct gate_in *inbound = list_entry (node, struct gate_in, node);

      if (!inbound->conn.closed && inbound->conn.send_buf.len > 0)
        return true;
    }
  return false;
}
