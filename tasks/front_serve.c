#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/err.h"
#include "tasks/front_state.h"

/* Whether two endpoints lead to the same node.  */
static bool
serve_endpoint_equal (const struct msg_endpoint *a,
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
serve_bucket (struct front *front, uint64_t stream)
{
  return &front->serve_buckets[stream % FRONT_HASH_BUCKETS];
}

static struct serve *
serve_find (struct front *front, const struct msg *msg)
{
  list_each (node, serve_bucket (front, msg->stream))
    {
      struct serve *serve = list_entry (node, struct serve, hash_node);

      if (serve->stream == msg->stream
          && serve_endpoint_equal (&serve->endpoint, &msg->endpoint))
        return serve;
    }
  return NULL;
}

/* Creates the record for a MSG_OPEN; takes over its path and fields.  */
static struct serve *
serve_new (struct front *front, struct msg *msg)
{
  struct serve *serve = calloc (1, sizeof *serve);
  struct msg_open *open = &msg->u.open;
  clk_us now = clk_now ();

  INVARIANT (serve != NULL);
  serve->front = front;
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
serve_free (struct serve *serve)
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
serve_refuse (struct serve *serve, enum reason_refusal reason,
              enum reason_run run)
{
  struct front *front = serve->front;
  struct msg *msg;

  INVARIANT (run == REASON_RUN_UNKNOWN || !serve->sent_to_backend);
  if (!serve->sent_to_backend)
    serve_release_claim (serve);
  if (!serve->detached)
    {
      msg = serve_new_msg (serve, MSG_REFUSE);
      msg->u.refuse.reason = reason;
      msg->u.refuse.run = run;
      serve_fill_trailer (serve, &msg->u.refuse.trailer);
      front_send (front, msg);
    }
  serve_free (serve);
  serve_run_admission (front);
}

/* Sends the request to the backend server after the filter chain.  */
static void
serve_dispatch (struct serve *serve)
{
  struct front *front = serve->front;

  INVARIANT (serve->hop == NULL && !serve->sent_to_backend);
  /* The server may have gone down while the request waited.  */
  if (!front->state.backend_up || front->state.draining)
    {
      serve_refuse (
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
    serve_refuse (serve, REASON_CONNECT_FAILED, REASON_NOT_RUN);
}

/* Answers with the recorded answer, which needs no slot.  */
static void
serve_replay_answer (struct serve *serve)
{
  if (serve->req.ticket.state != SLOTS_IDLE)
    slots_withdraw (serve->front->state.slots, &serve->req.ticket, clk_now ());
  serve_send_head (serve, serve->record_status, &serve->record_fields,
                   (int64_t)serve->record_body.len);
  serve_append_answer (serve, serve->record_body.data, serve->record_body.len);
  serve_complete (serve);
}

/* Handles FILTER_WAIT.  The claim is requested while the request waits for a
   slot, so that the slot is not held for the round trip.  */
static void
serve_handle_wait (struct serve *serve)
{
  if (!serve->req.kind->idempotent
      && serve->req.claim_state == FILTER_CLAIM_NONE)
    serve_request_claim (serve);
}

void
serve_handle_result (struct serve *serve, const struct filter_result *result)
{
  switch (result->kind)
    {
    case FILTER_CONTINUE:
      serve_dispatch (serve);
      break;
    case FILTER_WAIT:
      serve_handle_wait (serve);
      break;
    case FILTER_REFUSE:
      serve_refuse (serve, result->u.refuse.reason, result->u.refuse.run);
      break;
    case FILTER_ANSWER:
      serve_replay_answer (serve);
      break;
    }
}

void
serve_run_chain (struct serve *serve)
{
  struct filter_result result
      = filter_run_chain (&serve->front->state, &serve->req, clk_now ());

  serve_handle_result (serve, &result);
}

/* Runs the serve side filter chain once the body, or as much of it as is kept,
   has been received.  */
static void
serve_start (struct serve *serve)
{
  size_t len;
  const uint8_t *body = buf_data_from (&serve->body, serve->body.base, &len);
  struct front *front = serve->front;

  serve->chain_started = true;
  if (len > FRONT_REPLAY_BODY_BYTES_MAX)
    len = FRONT_REPLAY_BODY_BYTES_MAX;
  serve->req.body_hash = digest_buffer_64 (body, len);
  serve->req.body_complete = serve->body_complete;
  filter_start_chain (&serve->req, filter_serve_chain);
  serve_run_chain (serve);
  serve_run_admission (front);
}

static void
serve_handle_admission_timer (lws_sorted_usec_list_t *timer)
{
  serve_run_admission (
      lws_container_of (timer, struct front, admission_timer));
}

void
serve_run_admission (struct front *front)
{
  clk_us now = clk_now ();
  clk_us wakeup;

  for (;;)
    {
      struct slots_event event = slots_next (front->state.slots, now);
      struct serve *serve;

      if (event.kind == SLOTS_NOTHING)
        break;
      serve = lws_container_of (event.ticket, struct serve, req.ticket);
      if (event.kind == SLOTS_RUN)
        serve_run_chain (serve);
      else
        serve_refuse (serve, event.reason, REASON_NOT_RUN);
    }
  wakeup = slots_wakeup_time (front->state.slots);
  if (wakeup == 0)
    return;
  lws_sul_schedule (front->context, 0, &front->admission_timer,
                    serve_handle_admission_timer,
                    wakeup > now ? (lws_usec_t)(wakeup - now) : 1000);
}

/* Timer: the deadline, or the time limit for recording the answer.  */
void
serve_handle_timer (lws_sorted_usec_list_t *timer)
{
  struct serve *serve = lws_container_of (timer, struct serve, timer);

  if (serve->awaiting_record)
    {
      /* Do not delay the caller's answer any longer.  */
      serve->awaiting_record = false;
      serve_send_answer (serve);
      return;
    }
  if (!serve->sent_to_backend
      && serve->req.claim_state == FILTER_CLAIM_PENDING)
    serve_refuse (serve, REASON_CLAIM_UNKNOWN, REASON_RUN_UNKNOWN);
  else if (!serve->sent_to_backend)
    serve_refuse (serve, REASON_DEADLINE_QUEUED, REASON_NOT_RUN);
  else
    serve_refuse (serve, REASON_DEADLINE_RUNNING, REASON_RUN_UNKNOWN);
}

static void
serve_handle_open (struct front *front, struct msg *msg)
{
  struct serve *serve;

  if (serve_find (front, msg) != NULL)
    return;
  counter_add (COUNTER_SERVES, 1);
  serve = serve_new (front, msg);
  list_push_tail (&front->serves, &serve->node);
  list_push_tail (serve_bucket (front, serve->stream), &serve->hash_node);
  lws_sul_schedule (front->context, 0, &serve->timer, serve_handle_timer,
                    (lws_usec_t)msg->u.open.remaining_us);
}

/* Sends credit for forwarded body bytes, so that the call side can send
   more.  */
void
serve_send_credit (struct serve *serve)
{
  uint64_t forwarded
      = serve->chain_started ? serve->body.base : buf_end (&serve->body);
  struct msg *msg;

  if (serve->body_complete
      || forwarded < serve->body_credited + MSG_BODY_BYTES_MAX)
    return;
  msg = serve_new_msg (serve, MSG_CREDIT);
  msg->u.credit = (uint32_t)(forwarded - serve->body_credited);
  serve->body_credited = forwarded;
  front_send (serve->front, msg);
}

static void
serve_handle_body (struct serve *serve, const struct msg_body *body)
{
  if (body->sequence != serve->body_sequence
      || (body->end && body->total != buf_end (&serve->body) + body->len))
    {
      serve_refuse (serve, REASON_BODY_INCOMPLETE,
                    serve->sent_to_backend ? REASON_RUN_UNKNOWN
                                           : REASON_NOT_RUN);
      return;
    }
  serve->body_sequence++;
  buf_append (&serve->body, body->data, body->len);
  serve->body_complete = body->end;
  if (serve->conn != NULL)
    front_backend_resume_write (serve);
  serve_send_credit (serve);
  if (!serve->chain_started
      && (body->end || buf_end (&serve->body) >= FRONT_REPLAY_BODY_BYTES_MAX))
    serve_start (serve);
}

/* Ends a request that the call side has cancelled, or whose call side was
   lost.  A claimed request that the server may be running continues, so that
   its answer is recorded for a resend.  */
static void
serve_abandon (struct serve *serve)
{
  struct front *front = serve->front;

  if (serve->sent_to_backend && serve->req.claim_state == FILTER_CLAIM_GRANTED)
    {
      serve->detached = true;
      return;
    }
  if (!serve->sent_to_backend)
    serve_release_claim (serve);
  serve_free (serve);
  serve_run_admission (front);
}

void
serve_handle_message (struct front *front, struct msg *msg)
{
  struct serve *serve;

  if (msg->kind == MSG_OPEN)
    {
      serve_handle_open (front, msg);
      return;
    }
  serve = serve_find (front, msg);
  if (serve == NULL)
    return;
  switch (msg->kind)
    {
    case MSG_BODY:
      serve_handle_body (serve, &msg->u.body);
      break;
    case MSG_CREDIT:
      serve->answer_credit += msg->u.credit;
      serve_send_answer (serve);
      break;
    case MSG_CANCEL:
      serve_abandon (serve);
      break;
    default:
      break;
    }
}

/* Returns the first started request that was not sent to the backend server,
   or NULL.  */
static struct serve *
serve_first_waiting (struct front *front)
{
  list_each (node, &front->serves)
    {
      struct serve *serve = list_entry (node, struct serve, node);

      if (!serve->sent_to_backend && serve->chain_started)
        return serve;
    }
  return NULL;
}

void
serve_refuse_waiting (struct front *front, enum reason_refusal reason)
{
  struct serve *serve;

  while ((serve = serve_first_waiting (front)) != NULL)
    serve_refuse (serve, reason, REASON_NOT_RUN);
}

void
serve_handle_peer_lost (struct front *front,
                        const struct msg_endpoint *endpoint)
{
  list_each (node, &front->serves)
    {
      struct serve *serve = list_entry (node, struct serve, node);

      if (serve_endpoint_equal (&serve->endpoint, endpoint)
          && !serve->detached)
        serve_abandon (serve);
    }
}
