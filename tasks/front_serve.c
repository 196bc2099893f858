#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ctr.h"
#include "core/err.h"
#include "tasks/front_state.h"

/* Whether two routes are the same.  */
static bool
srv_route_equal (const struct msg_route *a, const struct msg_route *b)
{
  if (a->kind != b->kind)
    return false;
  if (a->kind != MSG_ROUTE_REPLY)
    return true;
  return a->u.identity.len == b->u.identity.len
         && memcmp (a->u.identity.bytes, b->u.identity.bytes,
                    a->u.identity.len)
                == 0;
}

/* Bucket of a stream; streams of different nodes may share a number.  */
static struct lst *
srv_bucket (struct front *front, uint64_t stream)
{
  return &front->serve_buckets[stream % FRONT_BUCKETS];
}

static struct serve *
srv_find (struct front *front, const struct msg *msg)
{
  lst_each (node, srv_bucket (front, msg->stream))
    {
      struct serve *serve = lst_entry (node, struct serve, hash_node);

      if (serve->stream == msg->stream
          && srv_route_equal (&serve->route, &msg->route))
        return serve;
    }
  return NULL;
}

/* Takes over what the call side sent.  */
static struct serve *
srv_new (struct front *front, struct msg *msg)
{
  struct serve *serve = calloc (1, sizeof *serve);
  struct msg_open *open = &msg->u.open;
  clk_us now = clk_now ();

  INVARIANT (serve != NULL);
  serve->front = front;
  serve->route = msg->route;
  if (serve->route.kind == MSG_ROUTE_LOCAL)
    serve->route.u.to_serve = false;
  serve->stream = msg->stream;
  snprintf (serve->req.service_name, sizeof serve->req.service_name, "%s",
            open->service);
  snprintf (serve->method, sizeof serve->method, "%s", open->method);
  serve->path = open->path;
  open->path = NULL;
  lst_init (&serve->fields);
  lst_init (&serve->record_fields);
  lst_splice_tail (&serve->fields, &open->fields);
  snprintf (serve->caller, sizeof serve->caller, "%s", open->caller);
  snprintf (serve->key, sizeof serve->key, "%s", open->key);
  memcpy (serve->req.chain_key, open->chain_key, sizeof open->chain_key);
  memcpy (serve->attempt, open->attempt, sizeof serve->attempt);
  serve->allowance = open->allowance;
  serve->body_len = open->body_len;
  serve->answer_credit = MSG_WINDOW_BYTES;
  serve->req.method = serve->method;
  serve->req.path = serve->path;
  serve->req.caller = serve->caller;
  serve->req.key = serve->key;
  serve->req.trace = "";
  serve->req.importance = open->importance;
  serve->req.suspect = open->suspect;
  serve->req.depth = open->depth;
  serve->req.arrived = now;
  serve->req.deadline = now + open->remaining_us;
  return serve;
}

void
srv_free (struct serve *serve)
{
  struct front *front = serve->front;

  lws_sul_schedule (front->context, 0, &serve->timer, NULL,
                    LWS_SET_TIMER_USEC_CANCEL);
  lws_sul_schedule (front->context, 0, &serve->retry_timer, NULL,
                    LWS_SET_TIMER_USEC_CANCEL);
  if (serve->conn != NULL)
    bck_abandon (serve);
  flt_release (&front->state, &serve->req, clk_now ());
  if (serve->hop != NULL)
    hop_end (front->state.hops, serve->hop, clk_now ());
  lst_remove (&serve->node);
  lst_remove (&serve->hash_node);
  lst_remove (&serve->probe_node);
  free (serve->path);
  msg_fields_free (&serve->fields);
  msg_fields_free (&serve->record_fields);
  buf_free (&serve->body);
  buf_free (&serve->answer);
  buf_free (&serve->record);
  free (serve);
}

void
srv_refuse (struct serve *serve, enum rsn_refusal reason, enum rsn_run run)
{
  struct front *front = serve->front;
  struct msg *msg;

  INVARIANT (run == RSN_UNKNOWN || !serve->handed_over);
  if (!serve->handed_over)
    srv_release (serve);
  if (!serve->detached)
    {
      msg = srv_msg (serve, MSG_REFUSE);
      msg->u.refuse.reason = reason;
      msg->u.refuse.run = run;
      srv_trailer (serve, &msg->u.refuse.trailer);
      front_send (front, msg);
    }
  srv_free (serve);
  srv_run_admission (front);
}

/* The chain is through: hands the request to the backend server.  */
static void
srv_dispatch (struct serve *serve)
{
  struct front *front = serve->front;

  INVARIANT (serve->hop == NULL && !serve->handed_over);
  /* The server may have gone while the request waited.  */
  if (!front->state.backend_up || front->state.draining)
    {
      srv_refuse (serve, front->state.draining ? RSN_DRAINING : RSN_NO_BACKEND,
                  RSN_NOT_RUN);
      return;
    }
  INVARIANT (serve->req.kind->idempotent
             || serve->req.claim == FLT_CLAIM_GRANTED);
  serve->hop = hop_open (front->state.hops);
  serve->hop->importance = serve->req.importance;
  serve->hop->deadline = serve->req.deadline;
  serve->hop->depth = serve->req.depth;
  serve->hop->allowance.remaining = serve->allowance;
  memcpy (serve->hop->chain_key, serve->req.chain_key,
          sizeof serve->hop->chain_key);
  serve->dispatched = clk_now ();
  ctr_add (CTR_DISPATCHED, 1);
  if (!bck_dispatch (serve, false))
    srv_refuse (serve, RSN_CONNECT_FAILED, RSN_NOT_RUN);
}

/* The recorded answer does not need a slot.  */
static void
srv_replay (struct serve *serve)
{
  if (serve->req.ticket.state != ADM_IDLE)
    adm_withdraw (serve->front->state.admission, &serve->req.ticket,
                  clk_now ());
  srv_head (serve, serve->record_status, &serve->record_fields,
            (int64_t)serve->record.len);
  srv_data (serve, serve->record.data, serve->record.len);
  srv_whole (serve);
}

/* Waits for a slot or for the claim.  The claim is asked for while the request
   waits for its slot, so that the slot is not held for a round trip.  */
static void
srv_wait (struct serve *serve)
{
  if (!serve->req.kind->idempotent && serve->req.claim == FLT_CLAIM_NONE)
    srv_claim (serve);
}

void
srv_handle (struct serve *serve, const struct flt_result *result)
{
  switch (result->kind)
    {
    case FLT_CONTINUE:
      srv_dispatch (serve);
      break;
    case FLT_WAIT:
      srv_wait (serve);
      break;
    case FLT_REFUSE:
      srv_refuse (serve, result->u.refuse.reason, result->u.refuse.run);
      break;
    case FLT_ANSWER:
      srv_replay (serve);
      break;
    }
}

void
srv_advance (struct serve *serve)
{
  struct flt_result result
      = flt_run (&serve->front->state, &serve->req, clk_now ());

  srv_handle (serve, &result);
}

/* Runs the serve side chain once the body is there as far as it is kept.  */
static void
srv_start (struct serve *serve)
{
  size_t len;
  const uint8_t *body = buf_from (&serve->body, serve->body.base, &len);
  struct front *front = serve->front;

  serve->started = true;
  if (len > FRONT_BODY_KEEP_BYTES)
    len = FRONT_BODY_KEEP_BYTES;
  serve->req.body_hash = dig_bytes (body, len);
  serve->req.body_whole = serve->body_whole;
  flt_start (&serve->req, flt_serve_chain);
  srv_advance (serve);
  srv_run_admission (front);
}

static void
srv_admission_timer (lws_sorted_usec_list_t *timer)
{
  srv_run_admission (lws_container_of (timer, struct front, admission_timer));
}

void
srv_run_admission (struct front *front)
{
  clk_us now = clk_now ();
  clk_us wakeup;

  for (;;)
    {
      struct adm_event event = adm_next (front->state.admission, now);
      struct serve *serve;

      if (event.kind == ADM_NOTHING)
        break;
      serve = lws_container_of (event.ticket, struct serve, req.ticket);
      if (event.kind == ADM_RUN)
        srv_advance (serve);
      else
        srv_refuse (serve, event.reason, RSN_NOT_RUN);
    }
  wakeup = adm_wakeup (front->state.admission);
  if (wakeup == 0)
    return;
  lws_sul_schedule (front->context, 0, &front->admission_timer,
                    srv_admission_timer,
                    wakeup > now ? (lws_usec_t)(wakeup - now) : 1000);
}

/* The deadline has passed, or recording takes too long.  */
void
srv_timer (lws_sorted_usec_list_t *timer)
{
  struct serve *serve = lws_container_of (timer, struct serve, timer);

  if (serve->holding)
    {
      /* Recording takes too long; the caller's answer must not wait for it. */
      serve->holding = false;
      srv_send_answer (serve);
      return;
    }
  if (!serve->handed_over && serve->req.claim == FLT_CLAIM_ASKED)
    srv_refuse (serve, RSN_CLAIM_UNKNOWN, RSN_UNKNOWN);
  else if (!serve->handed_over)
    srv_refuse (serve, RSN_DEADLINE_QUEUED, RSN_NOT_RUN);
  else
    srv_refuse (serve, RSN_DEADLINE_RUNNING, RSN_UNKNOWN);
}

static void
srv_open (struct front *front, struct msg *msg)
{
  struct serve *serve;

  if (srv_find (front, msg) != NULL)
    return;
  ctr_add (CTR_SERVES, 1);
  serve = srv_new (front, msg);
  lst_push_tail (&front->serves, &serve->node);
  lst_push_tail (srv_bucket (front, serve->stream), &serve->hash_node);
  lws_sul_schedule (front->context, 0, &serve->timer, srv_timer,
                    (lws_usec_t)msg->u.open.remaining_us);
}

/* Credits what has been passed on, so that the next part can come.  */
void
srv_credit_body (struct serve *serve)
{
  uint64_t done = serve->started ? serve->body.base : buf_end (&serve->body);
  struct msg *msg;

  if (serve->body_whole || done < serve->body_credited + MSG_BODY_BYTES_MAX)
    return;
  msg = srv_msg (serve, MSG_CREDIT);
  msg->u.credit = (uint32_t)(done - serve->body_credited);
  serve->body_credited = done;
  front_send (serve->front, msg);
}

static void
srv_body (struct serve *serve, const struct msg_body *body)
{
  if (body->sequence != serve->body_sequence
      || (body->end && body->total != buf_end (&serve->body) + body->len))
    {
      srv_refuse (serve, RSN_BODY_INCOMPLETE,
                  serve->handed_over ? RSN_UNKNOWN : RSN_NOT_RUN);
      return;
    }
  serve->body_sequence++;
  buf_append (&serve->body, body->data, body->len);
  serve->body_whole = body->end;
  if (serve->conn != NULL)
    bck_body_ready (serve);
  srv_credit_body (serve);
  if (!serve->started
      && (body->end || buf_end (&serve->body) >= FRONT_BODY_KEEP_BYTES))
    srv_start (serve);
}

/* Nobody waits for the answer.  A claimed request that the server may be
   running goes on, so that its answer is there for a resend.  */
static void
srv_abandon (struct serve *serve)
{
  struct front *front = serve->front;

  if (serve->handed_over && serve->req.claim == FLT_CLAIM_GRANTED)
    {
      serve->detached = true;
      return;
    }
  if (!serve->handed_over)
    srv_release (serve);
  srv_free (serve);
  srv_run_admission (front);
}

void
srv_message (struct front *front, struct msg *msg)
{
  struct serve *serve;

  if (msg->kind == MSG_OPEN)
    {
      srv_open (front, msg);
      return;
    }
  serve = srv_find (front, msg);
  if (serve == NULL)
    return;
  switch (msg->kind)
    {
    case MSG_BODY:
      srv_body (serve, &msg->u.body);
      break;
    case MSG_CREDIT:
      serve->answer_credit += msg->u.credit;
      srv_send_answer (serve);
      break;
    case MSG_CANCEL:
      srv_abandon (serve);
      break;
    default:
      break;
    }
}

/* First request that has not reached the backend server, or NULL.  */
static struct serve *
srv_first_waiting (struct front *front)
{
  lst_each (node, &front->serves)
    {
      struct serve *serve = lst_entry (node, struct serve, node);

      if (!serve->handed_over && serve->started)
        return serve;
    }
  return NULL;
}

void
srv_refuse_waiting (struct front *front, enum rsn_refusal reason)
{
  struct serve *serve;

  while ((serve = srv_first_waiting (front)) != NULL)
    srv_refuse (serve, reason, RSN_NOT_RUN);
}

void
srv_peer_lost (struct front *front, const struct msg_route *route)
{
  lst_each (node, &front->serves)
    {
      struct serve *serve = lst_entry (node, struct serve, node);

      if (srv_route_equal (&serve->route, route) && !serve->detached)
        srv_abandon (serve);
    }
}
