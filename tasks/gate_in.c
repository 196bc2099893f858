#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ctr.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* Header bytes and idle time before a configuration sets them.  */
#define GAT_HEADER_BYTES (32 * 1024)
#define GAT_HEADER_MS 5000
#define GAT_IDLE_MS 60000
/* Other nodes close idle connections themselves, before this.  */
#define GAT_NODE_IDLE_MS 60000
/* Requests of one connection that are served at a time.  More are not read,
   and those that the last read brought are held.  */
#define GAT_PIPELINE_MOST 64
#define GAT_SILENT_MS 8000

static void gat_request_free (struct gat_request *request);
static void gat_in_start_held (struct gat_in *in);

static const struct rte_limits *
gat_limits (const struct gate *gate)
{
  static const struct rte_limits initial
      = { GAT_HEADER_BYTES, GAT_KEEP_BYTES, GAT_HEADER_MS, GAT_IDLE_MS };

  if (gate->entry.model == NULL || gate->entry.model->routes == NULL)
    return &initial;
  return &gate->entry.model->routes->limits;
}

const char *
gat_id (const struct gat_request *request)
{
  const char *id = request->head.value[HM_REQUEST_ID];

  return id[0] != '\0' ? id : "-";
}

/* Sets the timer of a connection that waits for a request, or for the rest of
   a header.  */
static void
gat_in_wait (struct gat_in *in, bool inside)
{
  uint32_t ms = inside ? gat_limits (in->gate)->header_timeout_ms
                       : gat_limits (in->gate)->idle_timeout_ms;

  if (in->port == GAT_NODES)
    ms = GAT_NODE_IDLE_MS;
  lop_set (in->gate->loop, &in->timer, lop_now (in->gate->loop) + clk_ms (ms));
}

static struct gat_request *
gat_in_first (struct gat_in *in)
{
  return lst_entry (lst_first (&in->requests), struct gat_request, node);
}

static struct gat_request *
gat_in_last (struct gat_in *in)
{
  return lst_entry (lst_last (&in->requests), struct gat_request, node);
}

static void
gat_in_push (struct gat_in *in, struct gat_request *request)
{
  request->gate = in->gate;
  request->in = in;
  lst_push_tail (&in->requests, &request->node);
  in->request_count++;
}

/* The connection takes and answers nothing more.  */
static void
gat_in_clear (struct gat_in *in)
{
  in->ended = true;
  while (!lst_empty (&in->requests))
    gat_request_free (gat_in_first (in));
  lop_cancel (&in->timer);
}

/* Reads on unless there is enough to do already.  */
static void
gat_in_flow (struct gat_in *in)
{
  lop_pause (&in->conn.io,
             in->request_count >= GAT_PIPELINE_MOST
                 || (!lst_empty (&in->requests)
                     && gat_in_last (in)->body.len >= GAT_KEEP_BYTES));
}

void
gat_in_advance (struct gat_in *in)
{
  struct gat_request *request;

  while (!in->ended && !lst_empty (&in->requests))
    {
      request = gat_in_first (in);
      if (request->answer.len > 0)
        {
          buf_append (&in->conn.out, request->answer.data,
                      request->answer.len);
          buf_free (&request->answer);
        }
      if (!request->answer_whole)
        break;
      if (request->close_after)
        {
          in->ended = true;
          break;
        }
      if (!request->body_whole)
        break;
      gat_request_free (request);
    }
  if (in->ended)
    {
      gat_in_clear (in);
      hcn_finish (&in->conn);
      return;
    }
  hcn_flush (&in->conn);
  gat_in_start_held (in);
  if (in->ended)
    return;
  if (!in->last)
    gat_in_flow (in);
  if (lst_empty (&in->requests) && !in->conn.closed)
    gat_in_wait (in, hm_inside (&in->conn.parser));
}

void
gat_in_end (struct gat_in *in, bool reset)
{
  gat_in_clear (in);
  hcn_close (&in->conn, reset);
}

/* The request goes away with or without its answer.  */
static void
gat_request_free (struct gat_request *request)
{
  lst_remove (&request->node);
  request->in->request_count--;
  lst_remove (&request->api_node);
  request->in = NULL;
  switch (request->kind)
    {
    case GAT_KIND_CALL:
      gat_call_gone (request->u.call);
      break;
    case GAT_KIND_SERVE:
      gat_serve_gone (request->u.serve);
      break;
    case GAT_KIND_API:
    case GAT_KIND_HELD:
    case GAT_KIND_NONE:
      break;
    }
  hm_head_fini (&request->head);
  buf_free (&request->body);
  buf_free (&request->answer);
  free (request);
}

void
gat_body_room (struct gat_request *request)
{
  struct gat_in *in = request->in;

  if (in != NULL && gat_in_last (in) == request)
    gat_in_flow (in);
}

/* Answers a request that cannot be read, after those before it.  */
static void
gat_in_refuse (struct gat_in *in, int status)
{
  struct gat_request *request = calloc (1, sizeof *request);

  INVARIANT (request != NULL);
  request->body_whole = true;
  request->close_after = true;
  gat_in_push (in, request);
  slog (SLOG_WARNING, "request refused id=- status=%d reason=%s", status,
        status == 431 ? "headers-too-large" : "malformed");
  ctr_refused (status == 431 ? RSN_HEADERS_TOO_LARGE : RSN_MALFORMED);
  gat_answer_own (request, status, "", "text/plain", "refused\n", 8);
}

/* Hands a request to whoever answers it.  */
static void
gat_in_start (struct gat_request *request)
{
  switch (request->in->port)
    {
    case GAT_CALLERS:
      gat_call_head (request);
      break;
    case GAT_NODES:
      gat_serve_head (request);
      break;
    default:
      gat_api_head (request);
      break;
    }
}

static int
gat_in_head (void *arg, struct hm_head *head)
{
  struct gat_in *in = lst_entry ((struct hcn *)arg, struct gat_in, conn);
  struct gate *gate = in->gate;
  struct gat_request *request;

  if (in->ended || in->last)
    return SR_EAGAIN;
  request = calloc (1, sizeof *request);
  INVARIANT (request != NULL);
  request->head = *head;
  memset (head, 0, sizeof *head);
  request->arrived = lop_now (gate->loop);
  request->close_after = !request->head.keep_alive;
  in->last = request->close_after;
  in->reading_body = true;
  lop_cancel (&in->timer);
  gat_in_push (in, request);
  gat_in_flow (in);
  if (request->head.wants_continue
      && lst_first (&in->requests) == &request->node)
    buf_append (&in->conn.out, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  if (request->head.body_len > (int64_t)gat_limits (gate)->body_bytes)
    {
      request->close_after = true;
      gat_answer_own (request, 413, "", "text/plain", "refused\n", 8);
      return SR_EAGAIN;
    }
  if (in->request_count > GAT_PIPELINE_MOST)
    request->kind = GAT_KIND_HELD;
  else
    gat_in_start (request);
  return in->conn.closed || in->ended ? SR_EAGAIN : SR_OK;
}

/* Tells whoever answers the request that more of its body is there.  */
static void
gat_in_body_grew (struct gat_request *request)
{
  switch (request->kind)
    {
    case GAT_KIND_CALL:
      gat_call_body (request->u.call);
      break;
    case GAT_KIND_SERVE:
      gat_serve_body (request->u.serve);
      break;
    case GAT_KIND_API:
      if (request->body_whole)
        gat_api_run (request);
      break;
    case GAT_KIND_HELD:
    case GAT_KIND_NONE:
      break;
    }
}

/* The first held request that may be served now, or NULL.  */
static struct gat_request *
gat_in_next_held (struct gat_in *in)
{
  uint32_t at = 0;

  if (in->ended)
    return NULL;
  lst_each (node, &in->requests)
    {
      struct gat_request *request = lst_entry (node, struct gat_request, node);

      if (request->kind == GAT_KIND_HELD)
        return request;
      if (++at == GAT_PIPELINE_MOST)
        break;
    }
  return NULL;
}

/* Whether REQUEST, which may be freed by now, is still there.  */
static bool
gat_in_has (const struct gat_in *in, const struct gat_request *request)
{
  lst_each (node, &in->requests)
    if (lst_entry (node, struct gat_request, node) == request)
      return true;
  return false;
}

/* Starts what may be served now.  A refusal ends a request at once and comes
   here again.  */
static void
gat_in_start_held (struct gat_in *in)
{
  struct gat_request *request;

  if (in->starting)
    return;
  in->starting = true;
  while ((request = gat_in_next_held (in)) != NULL)
    {
      request->kind = GAT_KIND_NONE;
      gat_in_start (request);
      if (gat_in_has (in, request))
        gat_in_body_grew (request);
    }
  in->starting = false;
}

static int
gat_in_body (void *arg, const uint8_t *data, size_t len)
{
  struct gat_in *in = lst_entry ((struct hcn *)arg, struct gat_in, conn);
  struct gat_request *request;

  if (in->ended || lst_empty (&in->requests))
    return SR_EAGAIN;
  request = gat_in_last (in);
  if (request->kind == GAT_KIND_NONE)
    return SR_OK;
  if (buf_end (&request->body) + len > gat_limits (in->gate)->body_bytes)
    {
      gat_answer_break (request);
      return SR_EAGAIN;
    }
  buf_append (&request->body, data, len);
  gat_in_body_grew (request);
  if (in->ended)
    return SR_EAGAIN;
  if (!lst_empty (&in->requests) && gat_in_last (in) == request)
    gat_body_room (request);
  return SR_OK;
}

static int
gat_in_body_end (void *arg)
{
  struct gat_in *in = lst_entry ((struct hcn *)arg, struct gat_in, conn);
  struct gat_request *request;

  if (in->ended || lst_empty (&in->requests))
    return SR_EAGAIN;
  request = gat_in_last (in);
  request->body_whole = true;
  in->reading_body = false;
  if (request->kind == GAT_KIND_NONE)
    gat_in_advance (in);
  else
    gat_in_body_grew (request);
  return in->ended || in->conn.closed ? SR_EAGAIN : SR_OK;
}

/* Bytes of answers have left: their sources may go on.  */
static void
gat_in_drained (struct hcn *conn)
{
  struct gat_in *in = lst_entry (conn, struct gat_in, conn);
  struct gat_request *request;

  if (lst_empty (&in->requests))
    return;
  request = gat_in_first (in);
  if (request->kind == GAT_KIND_CALL)
    gat_call_room (request->u.call);
  else if (request->kind == GAT_KIND_SERVE)
    gat_serve_room (request->u.serve);
}

static void
gat_in_ended (struct hcn *conn, enum hcn_end end)
{
  struct gat_in *in = lst_entry (conn, struct gat_in, conn);
  struct gat_request *request;

  if (in->ended)
    {
      hcn_finish (conn);
      return;
    }
  switch (end)
    {
    case HCN_END_MALFORMED:
    case HCN_END_TOO_LONG:
      if (in->last || in->reading_body)
        break;
      gat_in_refuse (in, end == HCN_END_TOO_LONG ? 431 : 400);
      return;
    default:
      break;
    }
  /* Bytes behind the last request of a connection are not read.  */
  if (in->last && end == HCN_END_MALFORMED && !lst_empty (&in->requests))
    {
      lop_pause (&in->conn.io, true);
      return;
    }
  if (in->port == GAT_NODES && end == HCN_END_ORDERLY
      && !lst_empty (&in->requests))
    {
      /* The other node still reads: it withdraws what does not run yet.  */
      in->last = true;
      lop_pause (&in->conn.io, true);
      request = gat_in_last (in);
      request->close_after = true;
      if (request->kind == GAT_KIND_SERVE)
        gat_serve_withdraw (request->u.serve);
      return;
    }
  gat_in_end (in, end != HCN_END_ORDERLY);
}

static void
gat_in_release (struct hcn *conn)
{
  struct gat_in *in = lst_entry (conn, struct gat_in, conn);

  INVARIANT (lst_empty (&in->requests));
  lop_cancel (&in->timer);
  lst_remove (&in->node);
  free (in);
}

static void
gat_in_opened (struct hcn *conn)
{
  (void)conn;
}

static const struct hcn_events gat_in_events
    = { .sink = { gat_in_head, gat_in_body, gat_in_body_end },
        .opened = gat_in_opened,
        .drained = gat_in_drained,
        .ended = gat_in_ended,
        .release = gat_in_release };

/* No request came in time, or its header was not whole in time.  */
static void
gat_in_timeout (struct lop_timer *timer)
{
  struct gat_in *in = lst_entry (timer, struct gat_in, timer);

  if (in->ended || !lst_empty (&in->requests))
    return;
  if (hm_inside (&in->conn.parser))
    gat_in_refuse (in, 408);
  else
    gat_in_end (in, false);
}

void
gat_in_open (struct gate *gate, enum gat_port port, int fd)
{
  struct hcn_opts opts = { .loop = gate->loop,
                           .events = &gat_in_events,
                           .reads = HM_REQUEST,
                           .names = gate->opts.adapter->names,
                           .header_bytes = gat_limits (gate)->header_bytes,
                           .silent_ms = GAT_SILENT_MS };
  struct gat_in *in = calloc (1, sizeof *in);

  INVARIANT (in != NULL);
  in->gate = gate;
  in->port = port;
  in->timer.fire = gat_in_timeout;
  lst_init (&in->requests);
  if (hcn_accept (&in->conn, &opts, fd) != SR_OK)
    {
      slog (SLOG_ERR, "connection not accepted reason=descriptors");
      free (in);
      return;
    }
  lst_push_tail (&gate->ins, &in->node);
  gat_in_wait (in, false);
}

/* Closes idle connections of callers while the node stops.  */
void
gat_in_sweep (struct gate *gate)
{
  lst_each (node, &gate->ins)
    {
      struct gat_in *in = lst_entry (node, struct gat_in, node);

      if (in->port == GAT_CALLERS && !in->ended && lst_empty (&in->requests)
          && !hm_inside (&in->conn.parser))
        gat_in_end (in, false);
    }
}
