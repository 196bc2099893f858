#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* Several round trips between regions.  */
#define GATE_CONNECT_TIMEOUT_US clk_ms (400)
/* Idle time after which a connection to the backend server is closed, unless a
   Keep-Alive field sets another.  */
#define GATE_SERVER_IDLE_US clk_s (5)
/* The same for connections to nodes; short, because a node may call hundreds
   of others, and a new connection costs only the two nodes.  */
#define GATE_NODE_IDLE_US clk_ms (1500)
/* A connection is closed this much before the timeout that the peer announced
   with Keep-Alive, so that the peer does not close it while a request is in
   transit.  */
#define GATE_IDLE_MARGIN_US clk_ms (700)
/* Only a connection idle for at most this time is reused for a request that
   must not run twice, because the peer may have closed an older one.  */
#define GATE_FRESH_IDLE_US clk_ms (1500)
/* Time without an acknowledgement of sent bytes after which a connection
   fails; set as TCP_USER_TIMEOUT.  The kernel repeats a lost segment three
   times before.  */
#define GATE_OUT_UNACKED_TIMEOUT_MS 2000
/* The same for a request that can be sent again elsewhere: a fraction of its
   time, so that enough is left, but not before the kernel has repeated a lost
   segment, after 200 ms and a round trip between regions, and got its
   acknowledgement.  */
#define GATE_OUT_UNACKED_FRACTION 3
#define GATE_OUT_UNACKED_TIMEOUT_MIN_MS 400
/* A longer body may wait for the receiver to read.  */
#define GATE_OUT_REPLACEABLE_BODY_BYTES_MAX (16 * 1024)
#define GATE_OUT_HEADER_BYTES_MAX (64 * 1024)
/* Answers to other requests that are skipped before the answer to a request;
   with more the connection fails.  */
#define GATE_MISMATCHED_MAX 3

/* Closes the connection and fails what it is used for.  */
static void
gate_out_fail (struct gate_out *outbound, enum reason_refusal reason,
               enum reason_run run)
{
  enum gate_out_state state = outbound->state;

  outbound->state = GATE_OUT_IDLE;
  list_remove (&outbound->node);
  loop_cancel_timer (&outbound->timer);
  hconn_close (&outbound->conn, state != GATE_OUT_IDLE);
  switch (state)
    {
    case GATE_OUT_ATTEMPT:
      outbound->user.attempt->outbound = NULL;
      gate_attempt_fail (outbound->user.attempt, reason, run);
      break;
    case GATE_OUT_SERVE:
      outbound->user.serve->outbound = NULL;
      gate_serve_fail (outbound->user.serve, reason, run);
      break;
    case GATE_OUT_PROBE:
      slog (SLOG_NOTICE, "health check failed reason=%s",
            reason_name (reason));
      outbound->gate->probe.outbound = NULL;
      break;
    case GATE_OUT_IDLE:
      break;
    }
}

/* The request that is in progress on the connection; it must be in use by an
   attempt or a serve.  */
static const struct gate_request *
gate_out_current_request (const struct gate_out *outbound)
{
  return outbound->state == GATE_OUT_ATTEMPT
             ? outbound->user.attempt->call->request
             : outbound->user.serve->request;
}

/* Whether the answer belongs to the request that was sent: backend servers
   return its id, which other nodes forward.  Answers of other nodes have a
   Rudder-Answer field and may lack the id.  */
static bool
gate_out_answer_matches (const struct gate_out *outbound,
                         const struct httpmsg_head *head)
{
  const char *request_id
      = gate_out_current_request (outbound)->head.value[HTTPMSG_REQUEST_ID];
  const char *answer_id = head->value[HTTPMSG_REQUEST_ID];

  if (!outbound->pool->to_server
      && head->value[HTTPMSG_NODE_ANSWER][0] == '\0')
    return false;
  return request_id[0] == '\0' || strcmp (request_id, answer_id) == 0
         || (!outbound->pool->to_server && answer_id[0] == '\0');
}

static int
gate_out_handle_head (void *arg, struct httpmsg_head *head)
{
  struct gate_out *outbound
      = list_entry ((struct hconn *)arg, struct gate_out, conn);

  if (outbound->state == GATE_OUT_IDLE || outbound->answer_complete)
    return SR_EMALFORMED;
  if (outbound->state == GATE_OUT_PROBE)
    return gate_probe_handle_head (outbound->gate, head);
  outbound->mismatched = !gate_out_answer_matches (outbound, head);
  if (outbound->mismatched)
    {
      slog (SLOG_WARNING,
            "answer dropped id=%s reason=other-request other=%s status=%d",
            gate_request_id (gate_out_current_request (outbound)),
            head->value[HTTPMSG_REQUEST_ID], head->status);
      return head->keep_alive
                     && ++outbound->mismatched_count <= GATE_MISMATCHED_MAX
                 ? SR_OK
                 : SR_EMALFORMED;
    }
  outbound->reusable = head->keep_alive;
  outbound->idle_max
      = outbound->pool->to_server ? GATE_SERVER_IDLE_US : GATE_NODE_IDLE_US;
  if (head->has_keep_alive_timeout)
    outbound->idle_max
        = clk_s (head->keep_alive_timeout_s) > GATE_IDLE_MARGIN_US
              ? clk_s (head->keep_alive_timeout_s) - GATE_IDLE_MARGIN_US
              : 0;
  if (outbound->state == GATE_OUT_ATTEMPT)
    return gate_attempt_handle_head (outbound->user.attempt, head);
  return gate_serve_handle_head (outbound->user.serve, head);
}

/* Handles Early Hints of a node, which report whether the route is internal.
 */
static void
gate_out_handle_interim (void *arg, const struct httpmsg_head *head)
{
  struct gate_out *outbound
      = list_entry ((struct hconn *)arg, struct gate_out, conn);
  struct nodehdr_answer node_answer;

  if (outbound->state == GATE_OUT_ATTEMPT
      && nodehdr_decode_answer (head->value[HTTPMSG_NODE_ANSWER], &node_answer)
             == SR_OK)
    dispatch_set_route_internal (
        &outbound->gate->dispatch,
        outbound->user.attempt->call->dispatch.route_id, node_answer.internal);
}

static int
gate_out_handle_body (void *arg, const uint8_t *data, size_t len)
{
  struct gate_out *outbound
      = list_entry ((struct hconn *)arg, struct gate_out, conn);

  if (outbound->mismatched)
    return SR_OK;
  if (outbound->state == GATE_OUT_ATTEMPT)
    return gate_attempt_handle_body (outbound->user.attempt, data, len);
  if (outbound->state == GATE_OUT_SERVE)
    return gate_serve_handle_body (outbound->user.serve, data, len);
  return SR_EMALFORMED;
}

static int
gate_out_handle_answer_end (void *arg)
{
  struct gate_out *outbound
      = list_entry ((struct hconn *)arg, struct gate_out, conn);

  if (outbound->mismatched)
    {
      outbound->mismatched = false;
      return SR_OK;
    }
  if (outbound->state == GATE_OUT_IDLE)
    return SR_EMALFORMED;
  outbound->answer_complete = true;
  if (outbound->state == GATE_OUT_ATTEMPT)
    gate_attempt_handle_end (outbound->user.attempt);
  else
    gate_serve_handle_end (outbound->user.serve);
  return SR_OK;
}

static void
gate_out_handle_connected (struct hconn *conn)
{
  struct gate_out *outbound = list_entry (conn, struct gate_out, conn);

  if (outbound->state != GATE_OUT_PROBE)
    loop_cancel_timer (&outbound->timer);
  counter_add (COUNTER_CONNECTIONS, 1);
}

static void
gate_out_handle_drained (struct hconn *conn)
{
  struct gate_out *outbound = list_entry (conn, struct gate_out, conn);

  if (outbound->state == GATE_OUT_ATTEMPT)
    gate_attempt_handle_drained (outbound->user.attempt);
  else if (outbound->state == GATE_OUT_SERVE)
    gate_serve_handle_drained (outbound->user.serve);
}

static void
gate_out_record_silence (const struct gate_out *outbound)
{
  counter_add (COUNTER_CONNECTIONS_SILENT, 1);
  slog (SLOG_NOTICE,
        "connection silent, closed address=%s to=%s connection=%llu "
        "requests_on_it=%u timeout_ms=%u",
        outbound->pool->address, outbound->pool->to_server ? "server" : "node",
        (unsigned long long)outbound->serial, outbound->request_count,
        outbound->conn.opts.unacked_timeout_ms);
}

/* The connection ended.  If the answer is incomplete, the request may have run
   unless none of its bytes was written.  */
static void
gate_out_handle_close (struct hconn *conn, enum hconn_end end)
{
  struct gate_out *outbound = list_entry (conn, struct gate_out, conn);
  enum reason_refusal reason = REASON_BACKEND_CLOSED;
  enum reason_run run = REASON_RUN_UNKNOWN;

  /* An answer without a length ends with the connection.  */
  if (end == HCONN_END_ORDERLY && outbound->state != GATE_OUT_IDLE
      && httpmsg_feed_eof (&conn->parser) == SR_OK
      && outbound->answer_complete)
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
    case HCONN_END_SILENT:
      gate_out_record_silence (outbound);
      if (!outbound->pool->to_server)
        reason = REASON_PEER_LOST;
      break;
    case HCONN_END_ORDERLY:
    case HCONN_END_RESET:
      if (!outbound->pool->to_server)
        reason = REASON_PEER_LOST;
      break;
    }
  if (!conn->any_written)
    run = REASON_NOT_RUN;
  gate_out_fail (outbound, reason, run);
}

static void
gate_out_destroy (struct hconn *conn)
{
  struct gate_out *outbound = list_entry (conn, struct gate_out, conn);

  list_remove (&outbound->node);
  loop_cancel_timer (&outbound->timer);
  carried_conn_fini (&outbound->gate->carried, &outbound->carried);
  outbound->pool->open_count--;
  gate_pool_free_unused (outbound->gate, outbound->pool);
  free (outbound);
}

/* Bytes on an idle connection belong to no request.  The beginning of a header
   would be continued by the answer to the next one.  */
static void
gate_out_handle_received (struct hconn *conn)
{
  struct gate_out *outbound = list_entry (conn, struct gate_out, conn);

  if (outbound->state == GATE_OUT_IDLE && httpmsg_in_message (&conn->parser))
    gate_out_fail (outbound, REASON_BACKEND_CLOSED, REASON_NOT_RUN);
}

static const struct hconn_events gate_out_events
    = { .sink = { gate_out_handle_head, gate_out_handle_body,
                  gate_out_handle_answer_end, gate_out_handle_interim },
        .connected = gate_out_handle_connected,
        .received = gate_out_handle_received,
        .drained = gate_out_handle_drained,
        .ended = gate_out_handle_close,
        .destroy = gate_out_destroy };

/* Connect timeout, idle timeout, or timeout of the health check.  */
static void
gate_out_handle_timeout (struct loop_timer *timer)
{
  struct gate_out *outbound = list_entry (timer, struct gate_out, timer);

  gate_out_fail (outbound, REASON_CONNECT_FAILED, REASON_NOT_RUN);
}

/* Opens a connection to the address of POOL.  NULL if connect() fails at once;
   frees the pool then if it has no other connection.  */
static struct gate_out *
gate_out_connect (struct gate *gate, struct gate_pool *pool)
{
  struct hconn_opts opts = { .loop = gate->loop,
                             .events = &gate_out_events,
                             .role = HTTPMSG_ANSWER,
                             .names = gate->opts.adapter->names,
                             .header_bytes_max = GATE_OUT_HEADER_BYTES_MAX,
                             .unacked_timeout_ms = GATE_OUT_UNACKED_TIMEOUT_MS,
                             .windows = &gate->windows };
  struct gate_out *outbound = calloc (1, sizeof *outbound);

  INVARIANT (outbound != NULL);
  outbound->gate = gate;
  outbound->pool = pool;
  outbound->serial = ++gate->out_serial;
  outbound->timer.fire = gate_out_handle_timeout;
  carried_conn_init (&outbound->carried);
  if (hconn_connect (&outbound->conn, &opts, pool->address) != SR_OK)
    {
      gate_pool_free_unused (gate, pool);
      free (outbound);
      return NULL;
    }
  pool->open_count++;
  loop_set_timer (gate->loop, &outbound->timer,
                  loop_now (gate->loop) + GATE_CONNECT_TIMEOUT_US);
  return outbound;
}

/* The idle connection of POOL that was used last and may carry the request of
   OPTS, whose id has the digest ID; NULL if there is none.  */
static struct gate_out *
gate_out_find_idle (struct gate *gate, struct gate_pool *pool,
                    const struct gate_out_opts *opts, uint64_t id)
{
  clk_us now = loop_now (gate->loop);

  if (opts->to_server && opts->request_id[0] == '\0')
    return NULL;
  list_each (node, &pool->idle)
    {
      struct gate_out *outbound = list_entry (node, struct gate_out, node);

      if (opts->fresh && now > outbound->idle_since + GATE_FRESH_IDLE_US)
        return NULL;
      if (!opts->to_server
          || !carried_has (&gate->carried, &outbound->carried, id, now))
        return outbound;
      slog (SLOG_INFO,
            "connection not reused id=%s connection=%llu requests_on_it=%u "
            "reason=%s",
            opts->request_id, (unsigned long long)outbound->serial,
            outbound->request_count,
            outbound->carried.incomplete ? "ids-dropped" : "id-carried");
    }
  return NULL;
}

/* Closes the connection to the backend server that was idle for longest, if
   there are as many as it has slots: requests whose ids repeat could otherwise
   open more than the server accepts.  */
static void
gate_out_limit_open (const struct gate *gate, const struct gate_pool *pool)
{
  struct list_node *oldest = list_last (&pool->idle);

  if (pool->to_server && oldest != NULL
      && pool->open_count >= gate->admit.backend.last_heartbeat.slots)
    gate_out_fail (list_entry (oldest, struct gate_out, node),
                   REASON_BACKEND_CLOSED, REASON_NOT_RUN);
}

static uint32_t
gate_out_unacked_timeout_ms (const struct gate_out_opts *opts)
{
  clk_us timeout_ms
      = opts->time_left / GATE_OUT_UNACKED_FRACTION / CLK_US_PER_MS;

  if (!opts->replaceable || timeout_ms > GATE_OUT_UNACKED_TIMEOUT_MS)
    return GATE_OUT_UNACKED_TIMEOUT_MS;
  return timeout_ms > GATE_OUT_UNACKED_TIMEOUT_MIN_MS
             ? (uint32_t)timeout_ms
             : GATE_OUT_UNACKED_TIMEOUT_MIN_MS;
}

bool
gate_out_is_replaceable (const struct gate_request *request)
{
  return request->body_complete
         && buf_end (&request->body) <= GATE_OUT_REPLACEABLE_BODY_BYTES_MAX;
}

struct gate_out *
gate_out_acquire (struct gate *gate, const struct gate_out_opts *opts)
{
  struct gate_pool *pool
      = gate_pool_get (gate, opts->address, opts->to_server);
  bool is_recorded = opts->to_server && opts->request_id[0] != '\0';
  uint64_t id = is_recorded ? htable_hash_text (opts->request_id) : 0;
  struct gate_out *outbound = gate_out_find_idle (gate, pool, opts, id);

  if (outbound == NULL)
    {
      gate_out_limit_open (gate, pool);
      outbound = gate_out_connect (gate, pool);
    }
  else
    {
      list_remove (&outbound->node);
      loop_cancel_timer (&outbound->timer);
    }
  if (outbound == NULL)
    return NULL;
  hconn_set_unacked_timeout (&outbound->conn,
                             gate_out_unacked_timeout_ms (opts));
  outbound->answer_complete = false;
  outbound->mismatched = false;
  outbound->mismatched_count = 0;
  outbound->reusable = false;
  outbound->conn.any_written = false;
  outbound->request_count++;
  if (is_recorded)
    carried_add (&gate->carried, &outbound->carried, id,
                 loop_now (gate->loop) + opts->time_left,
                 loop_now (gate->loop));
  httpmsg_expect_no_body (&outbound->conn.parser, false);
  return outbound;
}

void
gate_out_pause_reading (struct gate_out *outbound, bool paused)
{
  if (paused && !outbound->conn.io.paused)
    counter_add (COUNTER_ANSWER_READS_PAUSED, 1);
  loop_pause_reading (&outbound->conn.io, paused);
}

void
gate_out_release (struct gate_out *outbound, bool keep)
{
  clk_us now = loop_now (outbound->gate->loop);

  outbound->state = GATE_OUT_IDLE;
  /* With unsent bytes of this request the connection cannot carry another one,
     and bytes received behind the answer belong to no request.  */
  if (!keep || !outbound->answer_complete || !outbound->reusable
      || outbound->idle_max == 0 || outbound->conn.send_buf.len > 0
      || outbound->carried.incomplete
      || httpmsg_has_rest (&outbound->conn.parser) || outbound->conn.closed)
    {
      loop_cancel_timer (&outbound->timer);
      hconn_close (&outbound->conn, !outbound->answer_complete);
      return;
    }
  gate_out_pause_reading (outbound, false);
  outbound->idle_since = now;
  list_push_head (&outbound->pool->idle, &outbound->node);
  loop_set_timer (outbound->gate->loop, &outbound->timer,
                  now + outbound->idle_max);
}

void
gate_out_write_request (struct gate_out *outbound,
                        const struct gate_request *request,
                        const struct gate_added_fields *fields)
{
  const struct httpmsg_names *names = outbound->gate->opts.adapter->names;
  const struct httpmsg_head *head = &request->head;
  struct buf *buf = &outbound->conn.send_buf;

  httpmsg_expect_no_body (&outbound->conn.parser,
                          httpmsg_is_head_method (head));
  httpmsg_add_request_line (buf, head->method, head->target);
  buf_append (buf, head->field_lines.data, head->field_lines.len);
  httpmsg_add_field (buf, names->name[HTTPMSG_CALLER_SERVICE],
                     fields->caller_service);
  httpmsg_add_field (buf, fields->extra_name, fields->extra_value);
  httpmsg_add_number_field (buf, names->name[HTTPMSG_DEADLINE_MS],
                            (long long)(fields->time_left / CLK_US_PER_MS));
  if (head->body_len != 0 || strcmp (head->method, "GET") != 0)
    httpmsg_end_head (buf, head->body_len);
  else
    buf_append (buf, "\r\n", 2);
}

void
gate_out_write_body (struct gate_out *outbound, struct gate_request *request,
                     uint64_t *sent, bool *done)
{
  bool chunked = request->head.chunked;

  while (!*done && !hconn_is_full (&outbound->conn))
    {
      size_t len;
      const uint8_t *data = buf_data_from (&request->body, *sent, &len);
      bool last = len <= HCONN_HIGH_WATER_BYTES;

      if (!last)
        len = HCONN_HIGH_WATER_BYTES;
      httpmsg_add_body (&outbound->conn.send_buf, chunked, data, len);
      *sent += len;
      if (last && request->body_complete)
        {
          httpmsg_add_body_end (&outbound->conn.send_buf, chunked);
          *done = true;
        }
      hconn_flush (&outbound->conn);
      if (last)
        return;
    }
}
