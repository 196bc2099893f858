#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/err.h"
#include "tasks/front_state.h"

/* Whether two endpoints lead to the same node.  */
static bool
front_serve_endpoint_equal (const struct msg_endpoint *a,
                            const struct msg_endpoint *b)
{
  if (a->kind != b->kind)
    return false;
  if (a->kind != MSG_ENDPOINT_REPLY)
    return true;
  return a->u.identity.len == b->u.identity.len
         && memcmp (a->u.identity.bytes, b->u.identity.bytes,
                    a->u.identity.len)
                == 0;
}

/* Returns the hash bucket of a stream; streams of different nodes may have the
   same number.  */
static struct list *
front_serve_bucket (struct front *front, uint64_t stream)
{
  return &front->serve_buckets[stream % FRONT_HASH_BUCKETS];
}

static struct front_serve *
front_serve_find (struct front *front, const struct msg *msg)
{
  list_each (node, front_serve_bucket (front, msg->stream))
    {
      struct front_serve *serve
          = list_entry (node, struct front_serve, hash_node);

      if (serve->stream == msg->stream
          && front_serve_endpoint_equal (&serve->endpoint, &msg->endpoint))
        return serve;
    }
  return NULL;
}

/* Creates the record for a MSG_OPEN; takes over its path and fields.  */
static struct front_serve *
front_serve_new (struct front *front, struct msg *msg)
{
  struct front_serve *serve = calloc (1, sizeof *serve);
  struct msg_open *open = &msg->u.open;
  clk_us now = clk_now ();

  INVARIANT (serve != NULL);
  serve->front = front;
  serve->held.kind = FRONT_HELD_SERVE;
  held_add (&front->held, &serve->held.item, now);
  serve->endpoint = msg->endpoint;
  if (serve->endpoint.kind == MSG_ENDPOINT_LOCAL)
    serve->endpoint.u.to_serve = false;
  serve->stream = msg->stream;
  snprintf (serve->req.service_name, sizeof serve->req.service_name, "%s",
            open->service);
  snprintf (serve->method, sizeof serve->method, "%s", open->method);
  serve->path = open->path;
  open->path = NULL;
  list_init (&serve->fields);
  list_init (&serve->record_fields);
  list_splice_tail (&serve->fields, &open->fields);
  snprintf (serve->caller, sizeof serve->caller, "%s", open->caller);
  snprintf (serve->idempotency_key, sizeof serve->idempotency_key, "%s",
            open->idempotency_key);
  memcpy (serve->req.chain_key, open->chain_key, sizeof open->chain_key);
  memcpy (serve->attempt_id, open->attempt_id, sizeof serve->attempt_id);
  serve->retry_allowance = open->retry_allowance;
  serve->body_len = open->body_len;
  serve->answer_credit = MSG_WINDOW_BYTES;
  serve->req.method = serve->method;
  serve->req.path = serve->path;
  serve->req.caller = serve->caller;
  serve->req.key = serve->idempotency_key;
  serve->req.trace = "";
  serve->req.importance = open->importance;
  serve->req.suspect = open->suspect;
  serve->req.depth = open->depth;
  serve->req.arrived = now;
  serve->req.deadline = now + open->remaining_us;
  return serve;
}

void
front_serve_free (struct front_serve *serve)
{
  struct front *front = serve->front;

  lws_sul_schedule (front->context, 0, &serve->timer, NULL,
                    LWS_SET_TIMER_USEC_CANCEL);
  lws_sul_schedule (front->context, 0, &serve->retry_timer, NULL,
                    LWS_SET_TIMER_USEC_CANCEL);
  if (serve->conn != NULL)
    front_backend_abandon (serve);
  filter_release (&front->state, &serve->req, clk_now ());
  if (serve->hop != NULL)
    hop_end (front->state.hops, serve->hop, clk_now ());
  held_remove (&front->held, &serve->held.item);
  list_remove (&serve->node);
  list_remove (&serve->hash_node);
  list_remove (&serve->probe_node);
  free (serve->path);
  msg_fields_free (&serve->fields);
  msg_fields_free (&serve->record_fields);
  buf_free (&serve->body);
  buf_free (&serve->answer);
  buf_free (&serve->record_body);
  free (serve);
}

void
front_serve_refuse (struct front_serve *serve, enum reason_refusal reason,
                    enum reason_run run)
{
  struct front *front = serve->front;
  struct msg *msg;

  INVARIANT (run == REASON_RUN_UNKNOWN || !serve->sent_to_backend);
  if (!serve->sent_to_backend)
    front_claim_release (serve);
  if (!serve->detached)
    {
      msg = front_serve_new_msg (serve, MSG_REFUSE);
      msg->u.refuse.reason = reason;
      msg->u.refuse.run = run;
      front_answer_fill_trailer (serve, &msg->u.refuse.trailer);
      front_send (front, msg);
    }
  front_serve_free (serve);
  front_serve_run_admission (front);
}

/* Sends the request to the backend server after the filter chain.  */
static void
front_serve_dispatch (struct front_serve *serve)
{
  struct front *front = serve->front;

  INVARIANT (serve->hop == NULL && !serve->sent_to_backend);
  /* The server may have gone down while the request waited.  */
  if (!front->state.backend_up || front->state.draining)
    {
      front_serve_refuse (
          serve, front->state.draining ? REASON_DRAINING : REASON_NO_BACKEND,
          REASON_NOT_RUN);
      return;
    }
  INVARIANT (serve->req.kind->idempotent
             || serve->req.claim_state == FILTER_CLAIM_GRANTED);
  serve->hop = hop_open (front->state.hops);
  serve->hop->importance = serve->req.importance;
  serve->hop->deadline = serve->req.deadline;
  serve->hop->depth = serve->req.depth;
  serve->hop->allowance.remaining = serve->retry_allowance;
  memcpy (serve->hop->chain_key, serve->req.chain_key,
          sizeof serve->hop->chain_key);
  serve->dispatched_at = clk_now ();
  counter_add (COUNTER_DISPATCHED, 1);
  if (!front_backend_dispatch (serve, false))
    front_serve_refuse (serve, REASON_CONNECT_FAILED, REASON_NOT_RUN);
}

/* Answers with the recorded answer, which needs no slot.  */
static void
front_serve_replay_answer (struct front_serve *serve)
{
  if (serve->req.ticket.state != SLOTS_IDLE)
    slots_withdraw (serve->front->state.slots, &serve->req.ticket, clk_now ());
  front_answer_send_head (serve, serve->record_status, &serve->record_fields,
                          (int64_t)serve->record_body.len);
  front_answer_append (serve, serve->record_body.data, serve->record_body.len);
  front_answer_complete (serve);
}

/* Handles FILTER_WAIT.  The claim is requested while the request waits for a
   slot, so that the slot is not held for the round trip.  */
static void
front_serve_handle_wait (struct front_serve *serve)
{
  if (!serve->req.kind->idempotent
      && serve->req.claim_state == FILTER_CLAIM_NONE)
    front_claim_request (serve);
}

void
front_serve_handle_filter_result (struct front_serve *serve,
                                  const struct filter_result *result)
{
  switch (result->kind)
    {
    case FILTER_CONTINUE:
      front_serve_dispatch (serve);
      break;
    case FILTER_WAIT:
      front_serve_handle_wait (serve);
      break;
    case FILTER_REFUSE:
      front_serve_refuse (serve, result->u.refuse.reason,
                          result->u.refuse.run);
      break;
    case FILTER_ANSWER:
      front_serve_replay_answer (serve);
      break;
    }
}

void
front_serve_run_chain (struct front_serve *serve)
{
  struct filter_result result
      = filter_run_chain (&serve->front->state, &serve->req, clk_now ());

  front_serve_handle_filter_result (serve, &result);
}

/* Runs the serve side filter chain once the body, or as much of it as is kept,
   has been received.  */
static void
front_serve_start (struct front_serve *serve)
{
  size_t len;
  const uint8_t *body = buf_data_from (&serve->body, serve->body.base, &len);
  struct front *front = serve->front;

  serve->chain_started = true;
  front_held_update_serve (serve);
  if (len > FRONT_REPLAY_BODY_BYTES_MAX)
    len = FRONT_REPLAY_BODY_BYTES_MAX;
  serve->req.body_hash = digest_buffer_64 (body, len);
  serve->req.body_complete = serve->body_complete;
  filter_start_chain (&serve->req, filter_serve_chain);
  front_serve_run_chain (serve);
  front_serve_run_admission (front);
}

static void
front_serve_handle_admission_timer (lws_sorted_usec_list_t *timer)
{
  front_serve_run_admission (
      lws_container_of (timer, struct front, admission_timer));
}

void
front_serve_run_admission (struct front *front)
{
  clk_us now = clk_now ();
  clk_us wakeup;

  for (;;)
    {
      struct slots_event event = slots_next (front->state.slots, now);
      struct front_serve *serve;

      if (event.kind == SLOTS_NOTHING)
        break;
      serve = lws_container_of (event.ticket, struct front_serve, req.ticket);
      if (event.kind == SLOTS_RUN)
        front_serve_run_chain (serve);
      else
        front_serve_refuse (serve, event.reason, REASON_NOT_RUN);
    }
  wakeup = slots_wakeup_time (front->state.slots);
  if (wakeup == 0)
    return;
  lws_sul_schedule (front->context, 0, &front->admission_timer,
                    front_serve_handle_admission_timer,
                    wakeup > now ? (lws_usec_t)(wakeup - now) : 1000);
}

/* Timer: the deadline, or the time limit for recording the answer.  */
void
front_serve_handle_timer (lws_sorted_usec_list_t *timer)
{
  struct front_serve *serve
      = lws_container_of (timer, struct front_serve, timer);

  if (serve->awaiting_record)
    {
      /* Do not delay the caller's answer any longer.  */
      serve->awaiting_record = false;
      front_answer_send (serve);
      return;
    }
  if (!serve->sent_to_backend
      && serve->req.claim_state == FILTER_CLAIM_PENDING)
    front_serve_refuse (serve, REASON_CLAIM_UNKNOWN, REASON_RUN_UNKNOWN);
  else if (!serve->sent_to_backend)
    front_serve_refuse (serve, REASON_DEADLINE_QUEUED, REASON_NOT_RUN);
  else
    front_serve_refuse (serve, REASON_DEADLINE_RUNNING, REASON_RUN_UNKNOWN);
}

static void
front_serve_handle_open (struct front *front, struct msg *msg)
{
  struct front_serve *serve;

  if (front_serve_find (front, msg) != NULL)
    return;
  counter_add (COUNTER_SERVES, 1);
  serve = front_serve_new (front, msg);
  list_push_tail (&front->serves, &serve->node);
  list_push_tail (front_serve_bucket (front, serve->stream),
                  &serve->hash_node);
  lws_sul_schedule (front->context, 0, &serve->timer, front_serve_handle_timer,
                    (lws_usec_t)msg->u.open.remaining_us);
}

void
front_serve_send_credit (struct front_serve *serve)
{
  uint64_t forwarded
      = serve->chain_started ? serve->body.base : buf_end (&serve->body);
  struct msg *msg;

  if (serve->body_complete
      || forwarded < serve->body_credited + MSG_BODY_BYTES_MAX)
    return;
  msg = front_serve_new_msg (serve, MSG_CREDIT);
  msg->u.credit = (uint32_t)(forwarded - serve->body_credited);
  serve->body_credited = forwarded;
  front_send (serve->front, msg);
}

static void
front_serve_handle_body (struct front_serve *serve,
                         const struct msg_body *body)
{
  if (body->sequence != serve->body_sequence
      || (body->end && body->total != buf_end (&serve->body) + body->len))
    {
      front_serve_refuse (serve, REASON_BODY_INCOMPLETE,
                          serve->sent_to_backend ? REASON_RUN_UNKNOWN
                                                 : REASON_NOT_RUN);
      return;
    }
  serve->body_sequence++;
  buf_append (&serve->body, body->data, body->len);
  serve->body_complete = body->end;
  front_held_record_bytes (serve->front, &serve->held, body->len);
  front_held_update_serve (serve);
  if (!front_held_make_room (serve->front, &serve->held))
    return;
  if (serve->conn != NULL)
    front_backend_resume_write (serve);
  front_serve_send_credit (serve);
  if (!serve->chain_started
      && (body->end || buf_end (&serve->body) >= FRONT_REPLAY_BODY_BYTES_MAX))
    front_serve_start (serve);
}

/* Ends a request that the call side has cancelled, or whose call side was
   lost.  A claimed request that the server may be running continues, so that
   its answer is recorded for a resend.  */
static void
front_serve_abandon (struct front_serve *serve)
{
  struct front *front = serve->front;

  if (serve->sent_to_backend && serve->req.claim_state == FILTER_CLAIM_GRANTED)
    {
      serve->detached = true;
      return;
    }
  if (!serve->sent_to_backend)
    front_claim_release (serve);
  front_serve_free (serve);
  front_serve_run_admission (front);
}

void
front_serve_handle_message (struct front *front, struct msg *msg)
{
  struct front_serve *serve;

  if (msg->kind == MSG_OPEN)
    {
      front_serve_handle_open (front, msg);
      return;
    }
  serve = front_serve_find (front, msg);
  if (serve == NULL)
    return;
  switch (msg->kind)
    {
    case MSG_BODY:
      front_serve_handle_body (serve, &msg->u.body);
      break;
    case MSG_CREDIT:
      serve->answer_credit += msg->u.credit;
      front_answer_send (serve);
      break;
    case MSG_CANCEL:
      front_serve_abandon (serve);
      break;
    default:
      break;
    }
}

/* Returns the first started request that was not sent to the backend server,
   or NULL.  */
static struct front_serve *
front_serve_first_waiting (struct front *front)
{
  list_each (node, &front->serves)
    {
      struct front_serve *serve = list_entry (node, struct front_serve, node);

      if (!serve->sent_to_backend && serve->chain_started)
        return serve;
    }
  return NULL;
}

void
front_serve_refuse_waiting (struct front *front, enum reason_refusal reason)
{
  struct front_serve *serve;

  while ((serve = front_serve_first_waiting (front)) != NULL)
    front_serve_refuse (serve, reason, REASON_NOT_RUN);
}

/* Returns the first request of the lost node that was not ended, or NULL.  */
static struct front_serve *
front_serve_first_of_peer (struct front *front,
                           const struct msg_endpoint *endpoint)
{
  list_each (node, &front->serves)
    {
      struct front_serve *serve = list_entry (node, struct front_serve, node);

      if (front_serve_endpoint_equal (&serve->endpoint, endpoint)
          && !serve->detached)
        return serve;
    }
  return NULL;
}

void
front_serve_handle_peer_lost (struct front *front,
                              const struct msg_endpoint *endpoint)
{
  struct front_serve *serve;

  /* The slot that one frees may end others, so no list position is kept.  */
  while ((serve = front_serve_first_of_peer (front, endpoint)) != NULL)
    front_serve_abandon (serve);
}
