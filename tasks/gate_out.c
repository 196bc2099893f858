#include <stdlib.h>
#include <string.h>

#include "core/ctr.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* Time for a connection to be established; several round trips between
   regions.  */
#define GAT_DIAL_US clk_ms (400)
/* Idle time after which a connection is not used again, without a Keep-Alive
   field; and how much earlier than the peer it is given up.  */
#define GAT_IDLE_US clk_s (5)
/* The same between nodes: a new connection costs no one but the nodes, and a
   node may call hundreds of others.  */
#define GAT_IDLE_NODE_US clk_ms (1500)
#define GAT_IDLE_MARGIN_US clk_ms (700)
/* An idle connection that is younger is taken to be alive, so that a request
   that must not run twice is sent on it.  */
#define GAT_FRESH_US clk_ms (1500)
/* Unacknowledged bytes fail the connection after this.  */
#define GAT_SILENT_MS 2000
#define GAT_HEADER_BYTES (64 * 1024)
/* Answers to other requests that are skipped on one connection.  */
#define GAT_STRAYS_MOST 3

static void
gat_out_fail (struct gat_out *out, enum rsn_refusal reason, enum rsn_run run)
{
  enum gat_out_state state = out->state;

  out->state = GAT_OUT_IDLE;
  lst_remove (&out->node);
  lop_cancel (&out->timer);
  hcn_close (&out->conn, state != GAT_OUT_IDLE);
  switch (state)
    {
    case GAT_OUT_ATTEMPT:
      out->user.attempt->out = NULL;
      gat_attempt_lost (out->user.attempt, reason, run);
      break;
    case GAT_OUT_SERVE:
      out->user.serve->out = NULL;
      gat_serve_lost (out->user.serve, reason, run);
      break;
    case GAT_OUT_PROBE:
      out->gate->probe = NULL;
      break;
    case GAT_OUT_IDLE:
      break;
    }
}

/* The request that the connection carries.  */
static const struct gat_request *
gat_out_carries (const struct gat_out *out)
{
  return out->state == GAT_OUT_ATTEMPT ? out->user.attempt->call->request
                                       : out->user.serve->request;
}

/* Whether the answer belongs to the request that was sent.  Servers repeat
   its id; other nodes pass that on.  */
static bool
gat_out_matches (const struct gat_out *out, const struct hm_head *head)
{
  const char *sent = gat_out_carries (out)->head.value[HM_REQUEST_ID];
  const char *id = head->value[HM_REQUEST_ID];

  if (!out->pool->to_server && head->value[HM_NODE_ANSWER][0] == '\0')
    return false;
  return sent[0] == '\0' || strcmp (sent, id) == 0
         || (!out->pool->to_server && id[0] == '\0');
}

static int
gat_out_head (void *arg, struct hm_head *head)
{
  struct gat_out *out = lst_entry ((struct hcn *)arg, struct gat_out, conn);

  if (out->state == GAT_OUT_IDLE || out->answered)
    return SR_EMALFORMED;
  if (out->state == GAT_OUT_PROBE)
    return gat_probe_head (out->gate, head);
  out->stray = !gat_out_matches (out, head);
  if (out->stray)
    {
      slog (SLOG_WARNING,
            "answer dropped id=%s reason=other-request other=%s status=%d",
            gat_id (gat_out_carries (out)), head->value[HM_REQUEST_ID],
            head->status);
      return head->keep_alive && ++out->strays <= GAT_STRAYS_MOST
                 ? SR_OK
                 : SR_EMALFORMED;
    }
  out->keep = head->keep_alive;
  out->idle_most = out->pool->to_server ? GAT_IDLE_US : GAT_IDLE_NODE_US;
  if (head->idle_known)
    out->idle_most = clk_s (head->idle_s) > GAT_IDLE_MARGIN_US
                         ? clk_s (head->idle_s) - GAT_IDLE_MARGIN_US
                         : 0;
  if (out->state == GAT_OUT_ATTEMPT)
    return gat_attempt_head (out->user.attempt, head);
  return gat_serve_answer_head (out->user.serve, head);
}

/* A node tells of a route before it has an answer.  */
static void
gat_out_interim (void *arg, const struct hm_head *head)
{
  struct gat_out *out = lst_entry ((struct hcn *)arg, struct gat_out, conn);
  struct nh_answer told;

  if (out->state == GAT_OUT_ATTEMPT
      && nh_get_answer (head->value[HM_NODE_ANSWER], &told) == SR_OK)
    ent_learn_route (&out->gate->entry, out->user.attempt->call->ent.route_id,
                     told.inner);
}

static int
gat_out_data (void *arg, const uint8_t *data, size_t len)
{
  struct gat_out *out = lst_entry ((struct hcn *)arg, struct gat_out, conn);

  if (out->stray || out->state == GAT_OUT_PROBE)
    return SR_OK;
  if (out->state == GAT_OUT_ATTEMPT)
    return gat_attempt_body (out->user.attempt, data, len);
  if (out->state == GAT_OUT_SERVE)
    return gat_serve_answer_body (out->user.serve, data, len);
  return SR_EMALFORMED;
}

static int
gat_out_end (void *arg)
{
  struct gat_out *out = lst_entry ((struct hcn *)arg, struct gat_out, conn);

  if (out->stray)
    {
      out->stray = false;
      return SR_OK;
    }
  if (out->state == GAT_OUT_IDLE)
    return SR_EMALFORMED;
  out->answered = true;
  if (out->state == GAT_OUT_PROBE)
    gat_probe_over (out->gate);
  else if (out->state == GAT_OUT_ATTEMPT)
    gat_attempt_whole (out->user.attempt);
  else
    gat_serve_answer_whole (out->user.serve);
  return SR_OK;
}

static void
gat_out_opened (struct hcn *conn)
{
  struct gat_out *out = lst_entry (conn, struct gat_out, conn);

  lop_cancel (&out->timer);
  ctr_add (CTR_CONNECTIONS, 1);
}

static void
gat_out_drained (struct hcn *conn)
{
  struct gat_out *out = lst_entry (conn, struct gat_out, conn);

  if (out->state == GAT_OUT_ATTEMPT)
    gat_attempt_drained (out->user.attempt);
  else if (out->state == GAT_OUT_SERVE)
    gat_serve_drained (out->user.serve);
}

/* The connection ended before the answer was whole.  Whether the request may
   have run depends on whether any byte of it left.  */
static void
gat_out_ended (struct hcn *conn, enum hcn_end end)
{
  struct gat_out *out = lst_entry (conn, struct gat_out, conn);
  enum rsn_refusal reason = RSN_BACKEND_CLOSED;
  enum rsn_run run = RSN_UNKNOWN;

  /* An answer without a length ends with its connection.  */
  if (end == HCN_END_ORDERLY && out->state != GAT_OUT_IDLE
      && hm_feed_end (&conn->parser) == SR_OK && out->answered)
    return;
  if (conn->closed)
    return;
  switch (end)
    {
    case HCN_END_CONNECT_FAILED:
      reason = RSN_CONNECT_FAILED;
      run = RSN_NOT_RUN;
      break;
    case HCN_END_MALFORMED:
    case HCN_END_TOO_LONG:
      reason = RSN_ANSWER_INCOMPLETE;
      break;
    case HCN_END_ORDERLY:
    case HCN_END_RESET:
      if (!out->pool->to_server)
        reason = RSN_PEER_LOST;
      break;
    }
  if (!conn->written)
    run = RSN_NOT_RUN;
  gat_out_fail (out, reason, run);
}

static void
gat_out_release (struct hcn *conn)
{
  struct gat_out *out = lst_entry (conn, struct gat_out, conn);

  lst_remove (&out->node);
  lop_cancel (&out->timer);
  out->pool->open--;
  gat_pool_drop (out->gate, out->pool);
  free (out);
}

static const struct hcn_events gat_out_events
    = { .sink = { gat_out_head, gat_out_data, gat_out_end, gat_out_interim },
        .opened = gat_out_opened,
        .drained = gat_out_drained,
        .ended = gat_out_ended,
        .release = gat_out_release };

/* The connection was not established, or has been idle, for too long.  */
static void
gat_out_timeout (struct lop_timer *timer)
{
  struct gat_out *out = lst_entry (timer, struct gat_out, timer);

  gat_out_fail (out, RSN_CONNECT_FAILED, RSN_NOT_RUN);
}

static struct gat_out *
gat_out_dial (struct gate *gate, struct gat_pool *pool)
{
  struct hcn_opts opts = { .loop = gate->loop,
                           .events = &gat_out_events,
                           .reads = HM_ANSWER,
                           .names = gate->opts.adapter->names,
                           .header_bytes = GAT_HEADER_BYTES,
                           .silent_ms = GAT_SILENT_MS };
  struct gat_out *out = calloc (1, sizeof *out);

  INVARIANT (out != NULL);
  out->gate = gate;
  out->pool = pool;
  out->timer.fire = gat_out_timeout;
  if (hcn_dial (&out->conn, &opts, pool->address) != SR_OK)
    {
      gat_pool_drop (gate, pool);
      free (out);
      return NULL;
    }
  pool->open++;
  lop_set (gate->loop, &out->timer, lop_now (gate->loop) + GAT_DIAL_US);
  return out;
}

struct gat_out *
gat_out_take (struct gate *gate, const char *address, bool to_server,
              bool fresh)
{
  struct gat_pool *pool = gat_pool_get (gate, address, to_server);
  clk_us now = lop_now (gate->loop);
  struct gat_out *out = NULL;

  if (!lst_empty (&pool->idle))
    out = lst_entry (lst_first (&pool->idle), struct gat_out, node);
  if (out != NULL && fresh && now > out->idle_since + GAT_FRESH_US)
    out = NULL;
  if (out == NULL)
    out = gat_out_dial (gate, pool);
  else
    {
      lst_remove (&out->node);
      lop_cancel (&out->timer);
    }
  if (out == NULL)
    return NULL;
  out->answered = false;
  out->stray = false;
  out->keep = false;
  out->conn.written = false;
  hm_expect_head (&out->conn.parser, false);
  return out;
}

void
gat_out_give (struct gat_out *out, bool keep)
{
  clk_us now = lop_now (out->gate->loop);

  out->state = GAT_OUT_IDLE;
  /* Bytes behind the answer belong to no request.  */
  if (!keep || !out->answered || !out->keep || out->idle_most == 0
      || out->conn.out.len > 0 || out->conn.closed)
    {
      lop_cancel (&out->timer);
      hcn_close (&out->conn, !out->answered);
      return;
    }
  out->idle_since = now;
  lst_push_head (&out->pool->idle, &out->node);
  lop_set (out->gate->loop, &out->timer, now + out->idle_most);
}

void
gat_out_request (struct gat_out *out, const struct gat_request *request,
                 const struct gat_fields *fields)
{
  const struct hm_names *names = out->gate->opts.adapter->names;
  const struct hm_head *head = &request->head;
  struct buf *to = &out->conn.out;

  hm_expect_head (&out->conn.parser, hm_is_head (head));
  hm_request_line (to, head->method, head->target);
  buf_append (to, head->lines.data, head->lines.len);
  hm_add (to, names->name[HM_CALLER], fields->caller);
  hm_add (to, fields->name, fields->value);
  hm_add_number (to, names->name[HM_DEADLINE_MS],
                 (long long)(fields->wait / CLK_US_PER_MS));
  if (head->body_len != 0 || strcmp (head->method, "GET") != 0)
    hm_end_head (to, head->body_len);
  else
    buf_append (to, "\r\n", 2);
}

void
gat_out_body (struct gat_out *out, struct gat_request *request, uint64_t *sent,
              bool *done)
{
  size_t len;
  const uint8_t *data = buf_from (&request->body, *sent, &len);
  bool chunked = request->head.chunked;

  if (*done || hcn_full (&out->conn))
    return;
  hm_body (&out->conn.out, chunked, data, len);
  *sent += len;
  if (request->body_whole)
    {
      hm_body_end (&out->conn.out, chunked);
      *done = true;
    }
  hcn_flush (&out->conn);
}
