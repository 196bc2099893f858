#include <stdio.h>
#include <string.h>

#include "core/httpstatus.h"
#include "tasks/front_state.h"

#define FRONT_WRITE_BYTES_MAX (16 * 1024)
#define FRONT_WRITE_CHUNK_HEAD_BYTES 16

/* Writes the status line and the header fields.  */
static int
front_write_head (struct front_call *call)
{
  unsigned char buffer[LWS_PRE + 2 * FRONT_HEADER_BYTES];
  unsigned char *start = buffer + LWS_PRE;
  unsigned char *p = start;
  unsigned char *end = buffer + sizeof buffer - 1;
  struct lws *wsi = call->wsi;

  if (lws_add_http_header_status (wsi, (unsigned)call->answer.status, &p, end))
    return -1;
  list_each (node, &call->answer.fields)
    {
      const struct msg_field *field
          = list_entry (node, struct msg_field, node);

      if (front_http_add_field (wsi, field->name, field->value, &p, end))
        return -1;
    }
  if (call->answer.chunked)
    {
      if (front_http_add_field (wsi, "transfer-encoding", "chunked", &p, end))
        return -1;
    }
  else if (!httpstatus_has_no_body (call->answer.status)
           && lws_add_http_header_content_length (
               wsi, (lws_filepos_t)call->answer.body_len, &p, end))
    return -1;
  if (lws_finalize_write_http_header (wsi, start, &p, end))
    return -1;
  call->answer.head_written = true;
  return 0;
}

/* Appends LEN bytes to a buffer that has room for them.  */
static void
front_write_append (unsigned char *buffer, size_t *used, const void *data,
                    size_t len)
{
  if (len > 0)
    memcpy (buffer + *used, data, len);
  *used += len;
}

/* Appends LEN bytes in chunked encoding; LAST ends the body.  */
static void
front_write_append_chunk (unsigned char *buffer, size_t *used,
                          const void *data, size_t len, bool last)
{
  if (len > 0)
    {
      *used += (size_t)snprintf ((char *)buffer + *used,
                                 FRONT_WRITE_CHUNK_HEAD_BYTES, "%zx\r\n", len);
      front_write_append (buffer, used, data, len);
      front_write_append (buffer, used, "\r\n", strlen ("\r\n"));
    }
  if (last)
    front_write_append (buffer, used, "0\r\n\r\n", strlen ("0\r\n\r\n"));
}

/* Writes the next bytes of the body; sets *LAST after the end.  */
static int
front_write_body (struct front_call *call, bool *last)
{
  unsigned char buffer[LWS_PRE + FRONT_WRITE_BYTES_MAX
                       + 2 * FRONT_WRITE_CHUNK_HEAD_BYTES];
  unsigned char *start = buffer + LWS_PRE;
  struct front_call_answer *answer = &call->answer;
  size_t len;
  size_t used = 0;
  const uint8_t *data = buf_data_from (&answer->body, answer->written, &len);

  if (len > FRONT_WRITE_BYTES_MAX)
    len = FRONT_WRITE_BYTES_MAX;
  *last = answer->complete && answer->written + len == buf_end (&answer->body);
  if (answer->chunked)
    front_write_append_chunk (start, &used, data, len, *last);
  else
    front_write_append (start, &used, data, len);
  answer->written += len;
  front_held_record_bytes (call->front, &call->conn->held, len);
  buf_drop_before (&answer->body, answer->written);
  if (used == 0 && !*last)
    return 0;
  if (lws_write (call->wsi, start, used,
                 *last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
      < (int)used)
    return -1;
  return 0;
}

int
front_write_answer (struct front_call *call)
{
  bool last = false;

  if (call->phase != FRONT_CALL_ANSWERING)
    return 0;
  if (call->answer.aborted)
    return -1;
  if (!call->answer.head_written)
    {
      if (front_write_head (call) != 0)
        return -1;
      lws_callback_on_writable (call->wsi);
      return 0;
    }
  if (front_write_body (call, &last) != 0)
    return -1;
  if (last)
    {
      call->phase = FRONT_CALL_ENDED;
      /* The rest of the request body must not be read as the next request.  */
      if (buf_end (&call->body) < (uint64_t)call->body_len)
        return -1;
      return lws_http_transaction_completed (call->wsi) ? -1 : 0;
    }
  if (call->winner != NULL)
    front_attempt_send_credit (call->winner, call->answer.written);
  if (call->answer.complete || call->answer.body.len > 0)
    lws_callback_on_writable (call->wsi);
  return 0;
}
