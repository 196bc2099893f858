#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* Time for a connection to be established; several round trips between
   regions.  */
#define GATE_CONNECT_TIMEOUT_US clk_ms (400)
/* Idle time after which a connection is not used again, without a Keep-Alive
   field; and how much earlier than the peer it is given up.  */
#define GATE_SERVER_IDLE_US clk_s (5)
/* The same between nodes: a new connection costs no one but the nodes, and a
   node may call hundreds of others.  */
#define GATE_NODE_IDLE_US clk_ms (1500)
#define GATE_IDLE_MARGIN_US clk_ms (700)
/* An idle connection that is younger is taken to be alive, so that a request
   that must not run twice is sent on it.  */
#define GATE_FRESH_IDLE_US clk_ms (1500)
/* Unacknowledged bytes fail the connection after this.  */
#define GATE_UNACKED_TIMEOUT_MS 2000
#define GATE_HEADER_BYTES_MAX (64 * 1024)
/* Answers to other requests that are skipped on one connection.  */
#define GATE_MISMATCHED_MAX 3

static void
gate_out_fail (struct gate_out *out, enum reason_refusal reason,
               enum reason_run run)
{
  enum gate_out_state state = out->state;

  out->state = GATE_OUT_IDLE;
  list_remove (&out->node);
  loop_cancel_timer (&out->timer);
  hconn_close (&out->conn, state != GATE_OUT_IDLE);
  switch (state)
    {
    case GATE_OUT_ATTEMPT:
      out->user.attempt->outbound = NULL;
      gate_attempt_fail (out->user.attempt, reason, run);
      break;
    case GATE_OUT_SERVE:
      out->user.serve->outbound = NULL;
      gate_serve_fail (out->user.serve, reason, run);
      break;
    case GATE_OUT_PROBE:
      out->gate->probe = NULL;
      break;
    case GATE_OUT_IDLE:
      break;
    }
}

/* The request that the connection carries.  */
static const struct gate_request *
gate_out_current_request (const struct gate_out *out)
{
  return out->state == GATE_OUT_ATTEMPT ? out->user.attempt->call->request
                                        : out->user.serve->request;
}

/* Whether the answer belongs to the request that was sent.  Servers repeat
   its id; other nodes pass that on.  */
static bool
gate_out_answer_matches (const struct gate_out *out,
                         const struct httpmsg_head *head)
{
  const char *sent
      = gate_out_current_request (out)->head.value[HTTPMSG_REQUEST_ID];
  const char *id = head->value[HTTPMSG_REQUEST_ID];

  if (!out->pool->to_server && head->value[HTTPMSG_NODE_ANSWER][0] == '\0')
    return false;
  return sent[0] == '\0' || strcmp (sent, id) == 0
         || (!out->pool->to_server && id[0] == '\0');
}

static int
gate_out_handle_head (void *arg, struct httpmsg_head *head)
{
  struct gate_out *out
      = list_entry ((struct hconn *)arg, struct gate_out, conn);

  if (out->state == GATE_OUT_IDLE || out->answer_complete)
    return SR_EMALFORMED;
  if (out->state == GATE_OUT_PROBE)
    return gate_probe_handle_head (out->gate, head);
  out->mismatched = !gate_out_answer_matches (out, head);
  if (out->mismatched)
    {
      slog (SLOG_WARNING,
            "answer dropped id=%s reason=other-request other=%s status=%d",
            gate_request_id (gate_out_current_request (out)),
            head->value[HTTPMSG_REQUEST_ID], head->status);
      return head->keep_alive && ++out->mismatched_count <= GATE_MISMATCHED_MAX
                 ? SR_OK
                 : SR_EMALFORMED;
    }
  out->reusable = head->keep_alive;
  out->idle_max
      = out->pool->to_server ? GATE_SERVER_IDLE_US : GATE_NODE_IDLE_US;
  if (head->has_keep_alive_timeout)
    out->idle_max
        = clk_s (head->keep_alive_timeout_s) > GATE_IDLE_MARGIN_US
              ? clk_s (head->keep_alive_timeout_s) - GATE_IDLE_MARGIN_US
              : 0;
  if (out->state == GATE_OUT_ATTEMPT)
    return gate_attempt_handle_head (out->user.attempt, head);
  return gate_serve_handle_head (out->user.serve, head);
}

/* A node tells of a route before it has an answer.  */
static void
gate_out_handle_interim (void *arg, const struct httpmsg_head *head)
{
  struct gate_out *out
      = list_entry ((struct hconn *)arg, struct gate_out, conn);
  struct nodehdr_answer told;

  if (out->state == GATE_OUT_ATTEMPT
      && nodehdr_decode_answer (head->value[HTTPMSG_NODE_ANSWER], &told)
             == SR_OK)
    dispatch_set_route_internal (&out->gate->dispatch,
                                 out->user.attempt->call->dispatch.route_id,
                                 told.internal);
}

static int
gate_out_handle_body (void *arg, const uint8_t *data, size_t len)
{
  struct gate_out *out
      = list_entry ((struct hconn *)arg, struct gate_out, conn);

  if (out->mismatched || out->state == GATE_OUT_PROBE)
    return SR_OK;
  if (out->state == GATE_OUT_ATTEMPT)
    return gate_attempt_handle_body (out->user.attempt, data, len);
  if (out->state == GATE_OUT_SERVE)
    return gate_serve_handle_body (out->user.serve, data, len);
  return SR_EMALFORMED;
}

static int
gate_out_handle_answer_end (void *arg)
{
  struct gate_out *out
      = list_entry ((struct hconn *)arg, struct gate_out, conn);

  if (out->mismatched)
    {
      out->mismatched = false;
      return SR_OK;
    }
  if (out->state == GATE_OUT_IDLE)
    return SR_EMALFORMED;
  out->answer_complete = true;
  if (out->state == GATE_OUT_PROBE)
    gate_probe_handle_end (out->gate);
  else if (out->state == GATE_OUT_ATTEMPT)
    gate_attempt_handle_end (out->user.attempt);
  else
    gate_serve_handle_end (out->user.serve);
  return SR_OK;
}

static void
gate_out_handle_connected (struct hconn *conn)
{
  struct gate_out *out = list_entry (conn, struct gate_out, conn);

  loop_cancel_timer (&out->timer);
  counter_add (COUNTER_CONNECTIONS, 1);
}

static void
gate_out_handle_drained (struct hconn *conn)
{
  struct gate_out *out = list_entry (conn, struct gate_out, conn);

  if (out->state == GATE_OUT_ATTEMPT)
    gate_attempt_handle_drained (out->user.attempt);
  else if (out->state == GATE_OUT_SERVE)
    gate_serve_handle_drained (out->user.serve);
}

/* The connection ended before the answer was whole.  Whether the request may
   have run depends on whether any byte of it left.  */
static void
gate_out_handle_close (struct hconn *conn, enum hconn_end end)
{
  struct gate_out *out = list_entry (conn, struct gate_out, conn);
  enum reason_refusal reason = REASON_BACKEND_CLOSED;
  enum reason_run run = REASON_RUN_UNKNOWN;

  /* An answer without a length ends with its connection.  */
  if (end == HCONN_END_ORDERLY && out->state != GATE_OUT_IDLE
      && httpmsg_feed_eof (&conn->parser) == SR_OK && out->answer_complete)
    return;
  if (conn->closed)
    return;
  switch (end)
    {
    case HCONN_END_CONNECT_FAILED:
      reason = REASON_CONNECT_FAILED;
      run = REASON_NOT_RUN;
      break;
    case HCONN_END_MALFORMED:
    case HCONN_END_TOO_LONG:
      reason = REASON_ANSWER_INCOMPLETE;
      break;
    case HCONN_END_ORDERLY:
    case HCONN_END_RESET:
      if (!out->pool->to_server)
        reason = REASON_PEER_LOST;
      break;
    }
  if (!conn->any_written)
    run = REASON_NOT_RUN;
  gate_out_fail (out, reason, run);
}

static void
gate_out_destroy (struct hconn *conn)
{
  struct gate_out *out = list_entry (conn, struct gate_out, conn);

  list_remove (&out->node);
  loop_cancel_timer (&out->timer);
  out->pool->open_count--;
  gate_pool_free_unused (out->gate, out->pool);
  free (out);
}

static const struct hconn_events gate_out_events
    = { .sink = { gate_out_handle_head, gate_out_handle_body,
                  gate_out_handle_answer_end, gate_out_handle_interim },
        .connected = gate_out_handle_connected,
        .drained = gate_out_handle_drained,
        .ended = gate_out_handle_close,
        .destroy = gate_out_destroy };

/* The connection was not established, or has been idle, for too long.  */
static void
gate_out_handle_timeout (struct loop_timer *timer)
{
  struct gate_out *out = list_entry (timer, struct gate_out, timer);

  gate_out_fail (out, REASON_CONNECT_FAILED, REASON_NOT_RUN);
}

static struct gate_out *
gate_out_connect (struct gate *gate, struct gate_pool *pool)
{
  struct hconn_opts opts = { .loop = gate->loop,
                             .events = &gate_out_events,
                             .role = HTTPMSG_ANSWER,
                             .names = gate->opts.adapter->names,
                             .header_bytes_max = GATE_HEADER_BYTES_MAX,
                             .unacked_timeout_ms = GATE_UNACKED_TIMEOUT_MS };
  struct gate_out *out = calloc (1, sizeof *out);

  INVARIANT (out != NULL);
  out->gate = gate;
  out->pool = pool;
  out->timer.fire = gate_out_handle_timeout;
  if (hconn_connect (&out->conn, &opts, pool->address) != SR_OK)
    {
      gate_pool_free_unused (gate, pool);
      free (out);
      return NULL;
    }
  pool->open_count++;
  loop_set_timer (gate->loop, &out->timer,
                  loop_now (gate->loop) + GATE_CONNECT_TIMEOUT_US);
  return out;
}

struct gate_out *
gate_out_acquire (struct gate *gate, const char *address, bool to_server,
                  bool fresh)
{
  struct gate_pool *pool = gate_pool_get (gate, address, to_server);
  clk_us now = loop_now (gate->loop);
  struct gate_out *out = NULL;

  if (!list_empty (&pool->idle))
    out = list_entry (list_first (&pool->idle), struct gate_out, node);
  if (out != NULL && fresh && now > out->idle_since + GATE_FRESH_IDLE_US)
    out = NULL;
  if (out == NULL)
    out = gate_out_connect (gate, pool);
  else
    {
      list_remove (&out->node);
      loop_cancel_timer (&out->timer);
    }
  if (out == NULL)
    return NULL;
  out->answer_complete = false;
  out->mismatched = false;
  out->reusable = false;
  out->conn.any_written = false;
  httpmsg_expect_no_body (&out->conn.parser, false);
  return out;
}

void
gate_out_release (struct gate_out *out, bool keep)
{
  clk_us now = loop_now (out->gate->loop);

  out->state = GATE_OUT_IDLE;
  /* Bytes behind the answer belong to no request.  */
  if (!keep || !out->answer_complete || !out->reusable || out->idle_max == 0
      || out->conn.send_buf.len > 0 || out->conn.closed)
    {
      loop_cancel_timer (&out->timer);
      hconn_close (&out->conn, !out->answer_complete);
      return;
    }
  out->idle_since = now;
  list_push_head (&out->pool->idle, &out->node);
  loop_set_timer (out->gate->loop, &out->timer, now + out->idle_max);
}

void
gate_out_write_request (struct gate_out *out,
                        const struct gate_request *request,
                        const struct gate_added_fields *fields)
{
  const struct httpmsg_names *names = out->gate->opts.adapter->names;
  const struct httpmsg_head *head = &request->head;
  struct buf *to = &out->conn.send_buf;

  httpmsg_expect_no_body (&out->conn.parser, httpmsg_is_head_method (head));
  httpmsg_add_request_line (to, head->method, head->target);
  buf_append (to, head->field_lines.data, head->field_lines.len);
  httpmsg_add_field (to, names->name[HTTPMSG_CALLER_SERVICE],
                     fields->caller_service);
  httpmsg_add_field (to, fields->extra_name, fields->extra_value);
  httpmsg_add_number_field (to, names->name[HTTPMSG_DEADLINE_MS],
                            (long long)(fields->time_left / CLK_US_PER_MS));
  if (head->body_len != 0 || strcmp (head->method, "GET") != 0)
    httpmsg_end_head (to, head->body_len);
  else
    buf_append (to, "\r\n", 2);
}

void
gate_out_write_body (struct gate_out *out, struct gate_request *request,
                     uint64_t *sent, bool *done)
{
  size_t len;
  const uint8_t *data = buf_data_from (&request->body, *sent, &len);
  bool chunked = request->head.chunked;

  if (*done || hconn_full (&out->conn))
    return;
  httpmsg_add_body (&out->conn.send_buf, chunked, data, len);
  *sent += len;
  if (request->body_complete)
    {
      httpmsg_add_body_end (&out->conn.send_buf, chunked);
      *done = true;
    }
  hconn_flush (&out->conn);
}
