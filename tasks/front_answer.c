#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/err.h"
#include "tasks/front_state.h"

/* Maximum time that a complete answer waits for its record.  */
#define SERVE_RECORD_TIMEOUT_US clk_ms (500)

struct msg *
serve_new_msg (const struct serve *serve, enum msg_kind kind)
{
  struct msg *msg = msg_new (kind);

  msg->endpoint = serve->endpoint;
  msg->stream = serve->stream;
  return msg;
}

void
serve_fill_trailer (struct serve *serve, struct msg_trailer *trailer)
{
  struct slots_level level
      = slots_admission_level (serve->front->state.slots, clk_now ());

  trailer->level_importance = level.importance_min;
  trailer->level_wait_us = level.wait_us;
  trailer->unused_retry_allowance = serve->hop != NULL
                                        ? serve->hop->allowance.remaining
                                        : serve->retry_allowance;
}

/* Whether the answer is recorded so that resends get the same one.  */
static bool
serve_needs_record (const struct serve *serve)
{
  return serve->req.claim_state == FILTER_CLAIM_GRANTED;
}

void
serve_send_head (struct serve *serve, int status, struct list *fields,
                 int64_t body_len)
{
  struct msg *msg = serve_new_msg (serve, MSG_HEAD);

  serve->head_sent = true;
  msg->u.head.status = status;
  msg->u.head.body_len = body_len;
  list_each (node, fields)
    {
      const struct msg_field *field
          = list_entry (node, struct msg_field, node);

      msg_field_add (&msg->u.head.fields, field->name, field->value);
    }
  if (serve_needs_record (serve))
    {
      serve->record_status = status;
      list_splice_tail (&serve->record_fields, fields);
    }
  if (serve->detached)
    msg_free (msg);
  else
    front_send (serve->front, msg);
}

void
serve_append_answer (struct serve *serve, const void *data, size_t len)
{
  uint32_t max_bytes = serve->front->state.model->claim_answer_bytes_max;

  if (serve_needs_record (serve) && serve->record_body.len <= max_bytes)
    buf_append (&serve->record_body, data, len);
  if (serve->detached)
    return;
  buf_append (&serve->answer, data, len);
  serve_send_answer (serve);
}

bool
serve_has_answer_room (const struct serve *serve)
{
  return serve->answer.len < MSG_WINDOW_BYTES;
}

/* Handles the end of the answer from the backend server or from the
   record.  */
void
serve_complete (struct serve *serve)
{
  struct front *front = serve->front;

  serve->answer_complete = true;
  if (serve->req.ticket.state == SLOTS_RUNNING)
    slots_finish (front->state.slots, &serve->req.ticket, true, clk_now ());
  if (serve->req.fingerprint != 0)
    quarantine_clear_marks (front->state.quarantine, serve->req.fingerprint,
                            clk_now ());
  if (serve_needs_record (serve))
    {
      serve->awaiting_record = true;
      lws_sul_schedule (front->context, 0, &serve->timer, serve_handle_timer,
                        (lws_usec_t)SERVE_RECORD_TIMEOUT_US);
      serve_record_answer (serve);
    }
  serve_send_answer (serve);
  serve_run_admission (front);
}

/* Sends the next LEN bytes of the answer.  The last message returns the unused
   retry allowance, which must not be spent here afterwards.  */
static void
serve_send_body_msg (struct serve *serve, size_t len, bool end)
{
  struct msg *msg = serve_new_msg (serve, MSG_BODY);
  struct msg_body *body = &msg->u.body;
  size_t available;
  const uint8_t *data
      = buf_data_from (&serve->answer, serve->answer.base, &available);

  if (len > 0)
    {
      body->data = malloc (len);
      INVARIANT (body->data != NULL);
      memcpy (body->data, data, len);
      body->len = len;
      buf_drop_before (&serve->answer, serve->answer.base + len);
    }
  body->sequence = serve->answer_sequence++;
  body->end = end;
  body->total = serve->answer.base;
  if (end)
    serve_fill_trailer (serve, &body->trailer);
  front_send (serve->front, msg);
}

/* Computes the length of the next body message; returns false when none may be
   sent.  */
static bool
serve_next_body_msg (const struct serve *serve, size_t *len, bool *end)
{
  uint64_t credit = serve->answer_credit - serve->answer.base;

  *len = serve->answer.len;
  if (*len > MSG_BODY_BYTES_MAX)
    *len = MSG_BODY_BYTES_MAX;
  if (*len > credit)
    *len = (size_t)credit;
  *end = serve->answer_complete && *len == serve->answer.len;
  if (*end)
    return !serve->awaiting_record;
  return *len > 0;
}

void
serve_send_answer (struct serve *serve)
{
  size_t len;
  bool end;

  if (serve->detached)
    {
      if (serve->answer_complete && !serve->awaiting_record)
        serve_free (serve);
      return;
    }
  while (serve->head_sent && serve_next_body_msg (serve, &len, &end))
    {
      serve_send_body_msg (serve, len, end);
      if (!end)
        continue;
      serve_free (serve);
      return;
    }
  front_backend_resume_read (serve);
}
