#include <string.h>

#include "tasks/gate_state.h"

/* Where the bytes of the answer go now.  */
static struct buf *
gat_answer_to (struct gat_request *request)
{
  if (lst_first (&request->in->requests) == &request->node)
    return &request->in->conn.out;
  return &request->answer;
}

void
gat_answer (struct gat_request *request, int status, const void *lines,
            size_t lines_len, int64_t body_len)
{
  struct gat_in *in = request->in;
  struct buf *out = gat_answer_to (request);

  request->head_done = true;
  request->chunked = body_len < 0 && !request->head.http_1_0
                     && !hm_is_head (&request->head);
  request->close_after = request->close_after || !request->head.keep_alive
                         || (body_len < 0 && request->head.http_1_0)
                         || (in->gate->stopping && in->port == GAT_CALLERS
                             && lst_last (&in->requests) == &request->node);
  if (request->close_after)
    in->last = true;
  hm_status_line (out, status);
  buf_append (out, lines, lines_len);
  if (request->close_after)
    hm_add (out, "Connection", "close");
  if (body_len < 0 && !request->chunked)
    buf_append (out, "\r\n", 2);
  else
    hm_end_head (out, body_len);
}

void
gat_answer_body (struct gat_request *request, const uint8_t *data, size_t len)
{
  hm_body (gat_answer_to (request), request->chunked, data, len);
  if (gat_answer_to (request) == &request->in->conn.out)
    hcn_flush (&request->in->conn);
}

void
gat_answer_end (struct gat_request *request)
{
  struct gat_in *in = request->in;

  hm_body_end (gat_answer_to (request), request->chunked);
  request->answer_whole = true;
  request->kind = GAT_KIND_NONE;
  /* What is left of the body is read and dropped.  */
  buf_free (&request->body);
  gat_body_room (request);
  gat_in_advance (in);
}

void
gat_answer_break (struct gat_request *request)
{
  request->kind = GAT_KIND_NONE;
  gat_in_end (request->in, true);
}

void
gat_answer_own (struct gat_request *request, int status, const char *lines,
                const char *type, const char *text, size_t len)
{
  struct buf fields = { 0 };

  buf_append (&fields, lines, strlen (lines));
  if (len > 0)
    hm_add (&fields, "Content-Type", type);
  gat_answer (request, status, fields.data, fields.len, (int64_t)len);
  buf_free (&fields);
  if (!hm_is_head (&request->head))
    gat_answer_body (request, (const uint8_t *)text, len);
  gat_answer_end (request);
}

bool
gat_answer_full (const struct gat_request *request)
{
  return request->answer.len > HCN_HIGH_BYTES || hcn_full (&request->in->conn);
}
