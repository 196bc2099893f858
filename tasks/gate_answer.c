#include <string.h>

#include "core/httpstatus.h"
#include "tasks/gate_state.h"

/* Buffer for further bytes of the answer: the connection's send buffer if the
   request is the oldest of the connection, else its own.  */
static struct buf *
gate_answer_buf (struct gate_request *request)
{
  if (list_first (&request->inbound->requests) == &request->node)
    return &request->inbound->conn.send_buf;
  return &request->answer;
}

void
gate_answer_begin (struct gate_request *request, int status, const void *lines,
                   size_t lines_len, int64_t body_len)
{
  struct gate_in *inbound = request->inbound;
  struct buf *buf = gate_answer_buf (request);
  bool no_body = httpmsg_is_head_method (&request->head)
                 || httpstatus_has_no_body (status);

  /* Content-Length is not allowed there (RFC 9110, 8.6).  */
  if (status == 204)
    body_len = HTTPMSG_LENGTH_UNKNOWN;
  request->head_written = true;
  request->chunked = body_len < 0 && !request->head.http_1_0 && !no_body;
  request->close_after
      = request->close_after || !request->head.keep_alive
        || (body_len < 0 && request->head.http_1_0 && !no_body)
        || (inbound->gate->stopping && inbound->port == GATE_PORT_CALLERS
            && list_last (&inbound->requests) == &request->node);
  if (request->close_after)
    inbound->no_more_requests = true;
  httpmsg_add_status_line (buf, status);
  buf_append (buf, lines, lines_len);
  if (request->close_after)
    httpmsg_add_field (buf, "Connection", "close");
  if (body_len < 0 && !request->chunked)
    buf_append (buf, "\r\n", 2);
  else
    httpmsg_end_head (buf, body_len);
}

void
gate_answer_body (struct gate_request *request, const uint8_t *data,
                  size_t len)
{
  httpmsg_add_body (gate_answer_buf (request), request->chunked, data, len);
  if (gate_answer_buf (request) == &request->inbound->conn.send_buf)
    hconn_flush (&request->inbound->conn);
  gate_held_update (request->inbound);
}

void
gate_answer_end (struct gate_request *request)
{
  struct gate_in *inbound = request->inbound;

  INVARIANT (request->kind != GATE_KIND_CALL
             && request->kind != GATE_KIND_SERVE);
  httpmsg_add_body_end (gate_answer_buf (request), request->chunked);
  request->answer_complete = true;
  request->kind = GATE_KIND_NONE;
  /* The rest of the request body is read and discarded.  */
  buf_free (&request->body);
  gate_held_update (inbound);
  gate_in_resume_body (request);
  gate_in_flush_answers (inbound);
}

void
gate_answer_abort (struct gate_request *request)
{
  gate_in_close (request->inbound, true);
}

void
gate_answer_local (struct gate_request *request, int status, const char *lines,
                   const char *type, const char *text, size_t len)
{
  struct buf fields = { 0 };

  buf_append (&fields, lines, strlen (lines));
  if (len > 0)
    httpmsg_add_field (&fields, "Content-Type", type);
  gate_answer_begin (request, status, fields.data, fields.len, (int64_t)len);
  buf_free (&fields);
  if (!httpmsg_is_head_method (&request->head))
    gate_answer_body (request, (const uint8_t *)text, len);
  gate_answer_end (request);
}

/* Whether too many bytes of the answer are unsent to read more of it.  While
   memory is short, one that has to wait for another is not read at all.  */
static bool
gate_answer_is_full (const struct gate_request *request)
{
  if (held_is_short (&request->gate->held)
      && list_first (&request->inbound->requests) != &request->node)
    return true;
  return request->answer.len > HCONN_HIGH_WATER_BYTES
         || hconn_is_full (&request->inbound->conn);
}

void
gate_answer_update_reading (struct gate_request *request)
{
  bool full = gate_answer_is_full (request);

  switch (request->kind)
    {
    case GATE_KIND_CALL:
      gate_call_pause_answer (request->u.call, full);
      break;
    case GATE_KIND_SERVE:
      gate_serve_pause_answer (request->u.serve, full);
      break;
    case GATE_KIND_API:
    case GATE_KIND_PENDING:
    case GATE_KIND_NONE:
      break;
    }
}
