#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/err.h"
#include "tasks/front_state.h"

/* Maximum time that a complete answer waits for its record.  */
#define FRONT_ANSWER_RECORD_TIMEOUT_US clk_ms (500)

struct msg *
front_serve_new_msg (const struct front_serve *serve, enum msg_kind kind)
{
  struct msg *msg = msg_new (kind);

  msg->endpoint = serve->endpoint;
  msg->stream = serve->stream;
  return msg;
}

void
front_answer_fill_trailer (struct front_serve *serve,
                           struct msg_trailer *trailer)
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
front_answer_needs_record (const struct front_serve *serve)
{
  return serve->req.claim_state == FILTER_CLAIM_GRANTED;
}

void
front_answer_send_head (struct front_serve *serve, int status,
                        struct list *fields, int64_t body_len)
{
  struct msg *msg = front_serve_new_msg (serve, MSG_HEAD);

  serve->head_sent = true;
  msg->u.head.status = status;
  msg->u.head.body_len = body_len;
  list_each (node, fields)
    {
      const struct msg_field *field
          = list_entry (node, struct msg_field, node);

      msg_field_add (&msg->u.head.fields, field->name, field->value);
    }
  if (front_answer_needs_record (serve))
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
front_answer_append (struct front_serve *serve, const void *data, size_t len)
{
  uint32_t max_bytes = serve->front->state.model->claim_answer_bytes_max;

  if (front_answer_needs_record (serve) && serve->record_body.len <= max_bytes)
    buf_append (&serve->record_body, data, len);
  if (!serve->detached)
    buf_append (&serve->answer, data, len);
  front_held_update_serve (serve);
  if (serve->detached)
    return;
  front_answer_send (serve);
}

bool
front_answer_has_room (const struct front_serve *serve)
{
  return serve->answer.len < MSG_WINDOW_BYTES;
}

void
front_answer_complete (struct front_serve *serve)
{
  struct front *front = serve->front;

  serve->answer_complete = true;
  if (serve->req.ticket.state == SLOTS_RUNNING)
    slots_finish (front->state.slots, &serve->req.ticket, true, clk_now ());
  if (serve->req.fingerprint != 0)
    quarantine_clear_marks (front->state.suspects.marks,
                            serve->req.fingerprint, clk_now ());
  if (front_answer_needs_record (serve))
    {
      serve->awaiting_record = true;
      lws_sul_schedule (front->context, 0, &serve->timer,
                        front_serve_handle_timer,
                        (lws_usec_t)FRONT_ANSWER_RECORD_TIMEOUT_US);
      front_claim_record_answer (serve);
    }
  front_answer_send (serve);
  front_serve_run_admission (front);
}

/* Sends the next LEN bytes of the answer.  The last message returns the unused
   retry allowance, which must not be spent here afterwards.  */
static void
front_answer_send_body_msg (struct front_serve *serve, size_t len, bool end)
{
  struct msg *msg = front_serve_new_msg (serve, MSG_BODY);
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
    front_answer_fill_trailer (serve, &body->trailer);
  front_send (serve->front, msg);
}

/* Computes the length of the next body message; returns false when none may be
   sent.  */
static bool
front_answer_next_body_msg (const struct front_serve *serve, size_t *len,
                            bool *end)
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
front_answer_send (struct front_serve *serve)
{
  size_t len;
  bool end;

  if (serve->detached)
    {
      if (serve->answer_complete && !serve->awaiting_record)
        front_serve_free (serve);
      return;
    }
  while (serve->head_sent && front_answer_next_body_msg (serve, &len, &end))
    {
      front_answer_send_body_msg (serve, len, end);
      if (!end)
        continue;
      front_serve_free (serve);
      return;
    }
  front_backend_resume_read (serve);
}
