#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/err.h"
#include "core/slog.h"
#include "filters/retry_policy.h"
#include "tasks/front_state.h"

/* Retry-After is the minimum plus a random part, so that refused callers do
   not return at the same time.  */
#define FRONT_CALL_RETRY_AFTER_MIN_S 1
#define FRONT_CALL_RETRY_AFTER_JITTER_S 3
/* Minimum delay of a hedge: libwebsockets rounds the time to the next timer
   down to whole milliseconds and polls without blocking below one, so that
   timers of short calls must not be due within that time.  */
#define FRONT_CALL_HEDGE_MIN_US clk_ms (3)

static void front_call_handle_deadline (lws_sorted_usec_list_t *timer);
static void front_call_handle_hedge_timer (lws_sorted_usec_list_t *timer);

static struct front_call *
front_call_new (struct front *front, struct front_conn *conn, struct lws *wsi)
{
  struct front_call *call = calloc (1, sizeof *call);

  INVARIANT (call != NULL);
  call->front = front;
  call->wsi = wsi;
  call->conn = conn;
  conn->call = call;
  list_init (&call->fields);
  list_init (&call->attempts);
  list_init (&call->answer.fields);
  call->answer.body_len = MSG_LENGTH_UNKNOWN;
  call->req.arrived = clk_now ();
  call->req.deadline = UINT64_MAX;
  call->req.method = call->method;
  call->req.path = call->path;
  call->req.caller = call->caller;
  call->req.key = call->idempotency_key;
  call->req.trace = call->trace_id;
  list_push_tail (&front->calls, &call->node);
  return call;
}

static void
front_call_cancel_timers (struct front_call *call)
{
  lws_sul_schedule (call->front->context, 0, &call->deadline_timer, NULL,
                    LWS_SET_TIMER_USEC_CANCEL);
  lws_sul_schedule (call->front->context, 0, &call->hedge_timer, NULL,
                    LWS_SET_TIMER_USEC_CANCEL);
}

static void
front_call_cancel_attempts (struct front_call *call,
                            const struct front_attempt *except)
{
  list_each (node, &call->attempts)
    {
      struct front_attempt *attempt
          = list_entry (node, struct front_attempt, node);

      if (attempt != except)
        front_attempt_cancel (attempt);
    }
}

static void
front_call_free (struct front_call *call)
{
  front_call_cancel_timers (call);
  front_call_cancel_attempts (call, NULL);
  filter_release (&call->front->state, &call->req, clk_now ());
  call->conn->call = NULL;
  front_held_update_conn (call->conn);
  list_remove (&call->node);
  msg_fields_free (&call->fields);
  msg_fields_free (&call->answer.fields);
  buf_free (&call->body);
  buf_free (&call->answer.body);
  free (call);
}

/* Frees the bytes of the body; later ones keep their offsets.  Reading goes
   on, because libwebsockets writes no answer while it is paused.  */
static void
front_call_release_body (struct front_call *call)
{
  uint64_t end = buf_end (&call->body);

  buf_free (&call->body);
  call->body.base = end;
  if (call->wsi != NULL)
    lws_rx_flow_control (call->wsi, 1);
}

/* Sets an answer that this node generates.  */
static void
front_call_set_local_answer (struct front_call *call, int status,
                             const char *text)
{
  call->answer.status = status;
  msg_field_add (&call->answer.fields, "content-type",
                 "text/plain; charset=utf-8");
  buf_append (&call->answer.body, text, strlen (text));
  call->answer.body_len = (int64_t)strlen (text);
  call->answer.complete = true;
}

/* Adds Proxy-Status with the reason of a refusal, and Retry-After if a resend
   may help.  */
static void
front_call_add_refusal_fields (struct front_call *call,
                               enum reason_refusal reason, enum reason_run run)
{
  char text[256];

  snprintf (text, sizeof text, "sycamorerudder; error=%s; details=\"%s; %s\"",
            reason_proxy_error (reason), reason_name (reason),
            reason_run_name (run));
  msg_field_add (&call->answer.fields, "proxy-status", text);
  if (!reason_is_retryable (reason))
    return;
  snprintf (text, sizeof text, "%u",
            FRONT_CALL_RETRY_AFTER_MIN_S
                + rng_below (&call->front->state.rng,
                             FRONT_CALL_RETRY_AFTER_JITTER_S));
  msg_field_add (&call->answer.fields, "retry-after", text);
}

void
front_call_refuse (struct front_call *call, enum reason_refusal reason,
                   enum reason_run run)
{
  char text[128];

  if (call->phase >= FRONT_CALL_ANSWERING)
    return;
  counter_add_refusal (reason);
  front_call_cancel_timers (call);
  front_call_cancel_attempts (call, NULL);
  msg_fields_free (&call->answer.fields);
  buf_free (&call->answer.body);
  front_call_add_refusal_fields (call, reason, run);
  snprintf (text, sizeof text, "refused: %s (%s)\n", reason_name (reason),
            reason_run_name (run));
  front_call_set_local_answer (call, reason_http_status (reason), text);
  call->phase = FRONT_CALL_ANSWERING;
  front_call_release_body (call);
  front_held_update_conn (call->conn);
  if (call->wsi != NULL)
    lws_callback_on_writable (call->wsi);
}

/* Runs the filters that choose a server; the result is a refusal when there is
   none.  */
static struct filter_result
front_call_choose_server (struct front_call *call)
{
  filter_start_chain (&call->req, filter_attempt_chain);
  return filter_run_chain (&call->front->state, &call->req, clk_now ());
}

/* Starts an attempt at the chosen server.  */
static void
front_call_start_attempt (struct front_call *call)
{
  struct lb_query *query = &call->req.query;

  if (query->tried_count < LB_TRIED_MAX)
    query->tried[query->tried_count++] = call->req.server;
  front_attempt_start (
      call, call->req.server,
      filter_find_service (&call->front->state, call->req.service_name));
}

/* Chooses a server and starts an attempt; when there is none, sets the reason
   and returns false.  */
static bool
front_call_next_attempt (struct front_call *call)
{
  struct filter_result result = front_call_choose_server (call);

  if (result.kind == FILTER_CONTINUE)
    {
      front_call_start_attempt (call);
      return true;
    }
  call->reason = result.u.refuse.reason;
  call->run = result.u.refuse.run;
  return false;
}

/* Whether an earlier attempt used the chosen server.  */
static bool
front_call_server_was_tried (const struct front_call *call)
{
  const struct lb_query *query = &call->req.query;

  for (uint32_t i = 0; i < query->tried_count; i++)
    if (query->tried[i] == call->req.server)
      return true;
  return false;
}

/* Arms the hedge timer of an idempotent call.  */
static void
front_call_arm_hedge (struct front_call *call)
{
  struct filter_service *service
      = filter_find_service (&call->front->state, call->req.service_name);
  clk_us delay;

  if (!call->req.kind->idempotent || service == NULL)
    return;
  delay = lb_hedge_delay (service->servers, call->req.kind->cost);
  if (delay == 0)
    return;
  if (delay < FRONT_CALL_HEDGE_MIN_US)
    delay = FRONT_CALL_HEDGE_MIN_US;
  lws_sul_schedule (call->front->context, 0, &call->hedge_timer,
                    front_call_handle_hedge_timer, (lws_usec_t)delay);
}

/* Runs the call side filter chain once the body, or as much of it as is kept,
   has been read.  */
static void
front_call_start (struct front_call *call)
{
  struct filter_state *state = &call->front->state;
  struct filter_service *service;
  struct filter_result result;
  clk_us now = clk_now ();
  size_t len;
  const uint8_t *body = buf_data_from (&call->body, call->body.base, &len);

  call->phase = FRONT_CALL_RUNNING;
  counter_add (COUNTER_CALLS, 1);
  if (len > FRONT_REPLAY_BODY_BYTES_MAX)
    len = FRONT_REPLAY_BODY_BYTES_MAX;
  call->req.body_hash = digest_buffer_64 (body, len);
  call->req.body_complete = buf_end (&call->body) == (uint64_t)call->body_len;
  filter_start_chain (&call->req, filter_call_chain);
  result = filter_run_chain (state, &call->req, now);
  if (result.kind != FILTER_CONTINUE)
    {
      front_call_refuse (call, result.u.refuse.reason, result.u.refuse.run);
      return;
    }
  lws_sul_schedule (
      call->front->context, 0, &call->deadline_timer,
      front_call_handle_deadline,
      (lws_usec_t)(call->req.deadline - now + FRONT_DEADLINE_GRACE_US));
  service = filter_find_service (state, call->req.service_name);
  if (service != NULL)
    retry_budget_earn (&service->budget, now);
  if (front_call_next_attempt (call))
    front_call_arm_hedge (call);
  else
    front_call_refuse (call, call->reason, call->run);
}

static void
front_call_handle_deadline (lws_sorted_usec_list_t *timer)
{
  struct front_call *call
      = lws_container_of (timer, struct front_call, deadline_timer);

  if (call->phase == FRONT_CALL_RUNNING)
    {
      front_call_refuse (call, REASON_DEADLINE_RUNNING, REASON_RUN_UNKNOWN);
      return;
    }
  /* The header has been written, so only a closed connection can tell the
     caller that the answer is incomplete.  */
  if (call->phase == FRONT_CALL_ANSWERING && !call->answer.complete)
    {
      counter_add_refusal (REASON_DEADLINE_RUNNING);
      call->answer.aborted = true;
      lws_callback_on_writable (call->wsi);
    }
}

static void
front_call_handle_hedge_timer (lws_sorted_usec_list_t *timer)
{
  struct front_call *call
      = lws_container_of (timer, struct front_call, hedge_timer);

  if (call->phase != FRONT_CALL_RUNNING || call->winner != NULL)
    return;
  /* A second copy at the same server would only add to its load.  */
  if (front_call_choose_server (call).kind != FILTER_CONTINUE
      || front_call_server_was_tried (call))
    return;
  if (!filter_try_hedge (&call->front->state, &call->req, clk_now ()))
    return;
  counter_add_retry (REASON_RETRY_HEDGE);
  front_call_start_attempt (call);
}

/* Drops the buffered answer of a failed attempt.  */
static void
front_call_reset_answer (struct front_call *call)
{
  msg_fields_free (&call->answer.fields);
  buf_free (&call->answer.body);
  call->answer.written = 0;
  call->answer.complete = false;
}

void
front_call_handle_attempt_failure (struct front_call *call, bool winner,
                                   const struct msg_refuse *refuse)
{
  struct filter_failure failure
      = { .reason = refuse->reason, .run = refuse->run };
  struct filter_retry_decision decision;

  if (call->phase == FRONT_CALL_ANSWERING && winner)
    {
      counter_add_refusal (refuse->reason);
      call->answer.aborted = true;
      lws_callback_on_writable (call->wsi);
      return;
    }
  if (call->phase != FRONT_CALL_RUNNING)
    return;
  if (winner)
    front_call_reset_answer (call);
  /* The refusal reports an attempt that may have run rather than one that did
     not run.  */
  if (call->reason == REASON_NONE || refuse->run == REASON_RUN_UNKNOWN
      || call->run == REASON_NOT_RUN)
    call->reason = refuse->reason;
  if (refuse->run == REASON_RUN_UNKNOWN)
    call->run = REASON_RUN_UNKNOWN;
  if (!list_empty (&call->attempts))
    return;
  decision = (struct filter_retry_decision){ .kind = FILTER_GIVE_UP };
  if (call->body.base == 0)
    decision = filter_decide_retry (&call->front->state, &call->req, &failure,
                                    clk_now ());
  if (decision.kind == FILTER_RETRY)
    {
      enum reason_refusal reason = call->reason;
      enum reason_run run = call->run;

      counter_add_retry (decision.reason);
      if (front_call_next_attempt (call))
        return;
      call->reason = reason;
      call->run = run;
    }
  front_call_refuse (call, call->reason, call->run);
}

/* Starts or continues writing the answer.  */
static void
front_call_flush (struct front_call *call)
{
  if (call->phase == FRONT_CALL_RUNNING)
    call->phase = FRONT_CALL_ANSWERING;
  if (call->wsi != NULL)
    lws_callback_on_writable (call->wsi);
}

void
front_call_handle_head (struct front_call *call, struct front_attempt *attempt,
                        struct msg *msg)
{
  if (call->phase != FRONT_CALL_RUNNING || call->winner != NULL)
    return;
  call->winner = attempt;
  front_call_cancel_attempts (call, attempt);
  call->answer.status = msg->u.head.status;
  call->answer.body_len = msg->u.head.body_len;
  call->answer.chunked = msg->u.head.body_len < 0;
  list_splice_tail (&call->answer.fields, &msg->u.head.fields);
}

/* Handles the end of an answer.  It also clears the crash marks of the
   request, which has proved harmless.  */
static void
front_call_complete (struct front_call *call, struct front_attempt *attempt,
                     const struct msg_trailer *trailer)
{
  quarantine_clear_marks (call->front->state.suspects.marks,
                          call->req.fingerprint, clk_now ());
  front_attempt_end (attempt, LB_ANSWERED, trailer);
  call->answer.complete = true;
  front_call_release_body (call);
  counter_add (COUNTER_ANSWERS, 1);
  front_call_flush (call);
}

void
front_call_handle_body (struct front_call *call, struct front_attempt *attempt,
                        struct msg *msg)
{
  if (call->winner != attempt)
    return;
  buf_append (&call->answer.body, msg->u.body.data, msg->u.body.len);
  if (msg->u.body.end)
    front_call_complete (call, attempt, &msg->u.body.trailer);
  else if (call->phase == FRONT_CALL_ANSWERING
           || buf_end (&call->answer.body) >= FRONT_ANSWER_BUFFER_BYTES)
    front_call_flush (call);
  front_held_update_conn (call->conn);
}

/* Returns the offset up to which all attempts have sent the body.  */
static uint64_t
front_call_body_sent_min (const struct front_call *call)
{
  uint64_t sent = buf_end (&call->body);

  list_each (node, &call->attempts)
    {
      const struct front_attempt *attempt
          = list_entry (node, struct front_attempt, node);

      if (attempt->body_sent_bytes < sent)
        sent = attempt->body_sent_bytes;
    }
  return sent;
}

/* Drops the bytes of a long body that all attempts have sent, and resumes
   reading when there is room.  */
void
front_call_trim_body (struct front_call *call)
{
  /* The body must be read completely before the connection can carry the next
     request; without attempts its bytes are dropped.  */
  if (list_empty (&call->attempts))
    front_call_release_body (call);
  else if (call->body.len > FRONT_REPLAY_BODY_BYTES_MAX)
    buf_drop_before (&call->body, front_call_body_sent_min (call));
  if (call->wsi != NULL)
    lws_rx_flow_control (call->wsi,
                         call->body.len <= FRONT_REPLAY_BODY_BYTES_MAX);
}

/* Returns false when the request was refused because memory is short.  */
static bool
front_call_hold (struct front_call *call)
{
  front_held_update_conn (call->conn);
  return front_held_make_room (call->front, &call->conn->held);
}

/* Appends received bytes of the request body.  A body longer than the kept
   maximum is forwarded while it is received and cannot be sent again.  */
static int
front_call_append_body (struct front_call *call, const void *data, size_t len)
{
  buf_append (&call->body, data, len);
  front_held_record_bytes (call->front, &call->conn->held, len);
  if (call->phase == FRONT_CALL_RECEIVING)
    {
      if (front_call_hold (call)
          && buf_end (&call->body) >= FRONT_REPLAY_BODY_BYTES_MAX
          && buf_end (&call->body) < (uint64_t)call->body_len)
        front_call_start (call);
      return 0;
    }
  list_each (node, &call->attempts)
    front_attempt_send_body (list_entry (node, struct front_attempt, node));
  front_call_trim_body (call);
  if (call->phase == FRONT_CALL_RUNNING)
    (void)front_call_hold (call);
  return 0;
}

/* Creates a call for a received request header.  */
static int
front_call_begin (struct front *front, struct front_conn *conn,
                  struct lws *wsi, struct front_call **user_call)
{
  struct front_call *call = front_call_new (front, conn, wsi);
  int error;

  *user_call = call;
  front_held_begin_request (conn);
  lws_set_timeout (wsi, NO_PENDING_TIMEOUT, 0);
  error = front_http_read_request_fields (wsi, front->state.model,
                                          &call->fields);
  front_request_read_identity (call, wsi);
  if (error == SR_OK)
    error = front_http_read_method (wsi, call->method, sizeof call->method,
                                    call->path, sizeof call->path);
  if (error != SR_OK)
    {
      front_call_refuse (call,
                         error == SR_EFULL ? REASON_HEADERS_TOO_LARGE
                                           : REASON_MALFORMED,
                         REASON_NOT_RUN);
      return 0;
    }
  if (lws_hdr_total_length (wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0)
    {
      front_call_refuse (call, REASON_LENGTH_REQUIRED, REASON_NOT_RUN);
      return 0;
    }
  call->body_len = front_http_content_length (wsi);
  if (call->body_len < 0)
    call->body_len = 0;
  if (front_call_hold (call) && call->body_len == 0)
    front_call_start (call);
  return 0;
}

/* Handles the end of the caller's connection.  */
static void
front_call_handle_close (struct front_call *call)
{
  if (call->phase == FRONT_CALL_RECEIVING)
    counter_add_refusal (REASON_BODY_INCOMPLETE);
  else if (call->phase == FRONT_CALL_RUNNING)
    counter_add_refusal (REASON_CANCELLED);
  front_call_free (call);
}

static int
front_call_handle_event (struct front_conn *conn, struct lws *wsi,
                         enum lws_callback_reasons reason,
                         struct front_call **user_call, void *in, size_t len)
{
  switch (reason)
    {
    case LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION:
      return -1; /* no WebSocket upgrades */
    case LWS_CALLBACK_HTTP:
      if (*user_call != NULL)
        front_call_free (*user_call);
      *user_call = NULL;
      return front_call_begin (conn->front, conn, wsi, user_call);
    case LWS_CALLBACK_HTTP_BODY:
      return *user_call != NULL ? front_call_append_body (*user_call, in, len)
                                : 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      if (*user_call != NULL && (*user_call)->phase == FRONT_CALL_RECEIVING)
        front_call_start (*user_call);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return *user_call != NULL ? front_write_answer (*user_call) : 0;
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
      /* The transaction has ended; the connection may carry another one.  */
      if (*user_call != NULL && (*user_call)->phase == FRONT_CALL_ENDED)
        {
          front_call_free (*user_call);
          *user_call = NULL;
        }
      return 0;
    case LWS_CALLBACK_CLOSED_HTTP:
      if (*user_call != NULL)
        {
          (*user_call)->wsi = NULL;
          front_call_handle_close (*user_call);
          *user_call = NULL;
        }
      return 0;
    default:
      return 0;
    }
}

int
front_call_lws_callback (struct lws *wsi, enum lws_callback_reasons reason,
                         void *user, void *in, size_t len)
{
  int result;
  struct front_conn *conn
      = front_held_begin_event (wsi, reason, user, &result);

  if (conn == NULL)
    return result;
  result = front_call_handle_event (conn, wsi, reason, user, in, len);
  front_held_update_conn (conn);
  return result;
}
