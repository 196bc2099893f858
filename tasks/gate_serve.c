#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/hist.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* A request cancelled this close to its deadline counts as timed out, not as
   abandoned by choice.  */
#define GATE_DEADLINE_MARGIN_US clk_ms (60)

/* Time after the deadline of a running request at which the end of the other
   node's connection would have arrived: several round trips between regions,
   and less than the half second that a server may work for nobody.  */
#define GATE_OVERDUE_GRACE_US clk_ms (400)

/* Early Hints (RFC 8297), sent between nodes only.  */
#define GATE_STATUS_EARLY_HINTS 103

static void gate_serve_release (struct gate_serve *serve);

/* Time that calls of the local backend server wait for a slot.  */
static clk_us
gate_downstream_queue_wait (const struct gate *gate)
{
  return (clk_us)dispatch_max_queue_wait (&gate->dispatch,
                                          loop_now (gate->loop))
      .wait_us;
}

/* Encodes the outcome, and the load of this node, for the node at which the
   request arrived.  */
static void
gate_serve_encode_answer_field (struct gate_serve *serve,
                                enum nodehdr_outcome outcome,
                                enum reason_refusal reason,
                                char text[NODEHDR_TEXT_BYTES])
{
  struct gate *gate = serve->gate;
  struct admit_state *admit = &gate->admit;
  clk_us now = loop_now (gate->loop);
  struct dispatch_queue_wait downstream
      = dispatch_max_queue_wait (&gate->dispatch, now);
  uint32_t limit = slots_limit (admit->slots);
  struct nodehdr_answer answer = {
    .outcome = outcome,
    .reason = reason,
    .queue_wait_us
    = (uint32_t)(serve->dispatched_at != 0
                     ? serve->dispatched_at - serve->request->arrived_at
                     : 0),
    .internal_queue_wait_us
    = (uint32_t)admit_internal_queue_wait_us (admit, now),
    .downstream_queue_wait_us = (uint32_t)downstream.wait_us,
    .downstream_queue_wait_age_ms = (uint32_t)(downstream.age / CLK_US_PER_MS),
    .fan_out = (uint32_t)(admit_fan_out (admit, now) * NODEHDR_FAN_OUT_SCALE),
    .internal = serve->admit.internal
  };

  if (outcome == NODEHDR_NOT_RUN)
    answer.retry_after_ms = admit_retry_after_ms (admit);
  if (limit > 0)
    answer.load = (slots_running (admit->slots) + slots_waiting (admit->slots))
                  * NODEHDR_LOAD_SCALE / limit;
  nodehdr_encode_answer (&answer, text);
}

static void
gate_serve_free (struct gate_serve *serve)
{
  gate_serve_release (serve);
  loop_cancel_timer (&serve->overdue_timer);
  list_remove (&serve->node);
  serve->request->kind = GATE_KIND_NONE;
  free (serve);
}

/* Releases the slot, or removes the request from the queue, without a sample
   for the concurrency limiter.  */
static void
gate_serve_release (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;
  clk_us now = loop_now (gate->loop);

  if (serve->outbound != NULL)
    gate_out_release (serve->outbound, false);
  serve->outbound = NULL;
  if (serve->admit.ticket.state != SLOTS_IDLE)
    slots_withdraw (gate->admit.slots, &serve->admit.ticket, now);
  admit_release (&gate->admit, &serve->admit, AIMD_IGNORED, 0, now);
  serve->running = false;
}

void
gate_serve_cancel (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;
  bool was_running = serve->running;
  clk_us now = loop_now (gate->loop);

  /* A cancellation near the deadline is a timeout for the limiter.  */
  if (now + GATE_DEADLINE_MARGIN_US >= serve->admit.deadline)
    admit_release (&gate->admit, &serve->admit, AIMD_FAILED,
                   gate_downstream_queue_wait (gate), now);
  if (serve->running && !serve->has_head)
    slog (SLOG_INFO, "run cancelled id=%s reason=caller-left ran_ms=%llu",
          gate_request_id (serve->request),
          (unsigned long long)((now - serve->dispatched_at) / CLK_US_PER_MS));
  gate_serve_free (serve);
  if (was_running)
    gate_serve_run_admission (gate);
}

/* Answers the other node with a refusal; frees SERVE.  */
static void
gate_serve_refuse (struct gate_serve *serve, enum reason_refusal reason,
                   enum reason_run run)
{
  struct gate_request *request = serve->request;
  char lines[GATE_TEXT_BYTES];
  char answer_field[NODEHDR_TEXT_BYTES];

  gate_serve_encode_answer_field (
      serve, run == REASON_NOT_RUN ? NODEHDR_NOT_RUN : NODEHDR_UNKNOWN, reason,
      answer_field);
  snprintf (lines, sizeof lines, "%s: %s\r\n", NODEHDR_ANSWER_FIELD,
            answer_field);
  slog (
      SLOG_INFO,
      "run refused id=%s service=%s reason=%s run=%s waited_ms=%llu "
      "running=%u waiting=%u",
      gate_request_id (request), serve->admit.service, reason_name (reason),
      reason_run_name (run),
      (unsigned long long)((loop_now (serve->gate->loop) - request->arrived_at)
                           / CLK_US_PER_MS),
      slots_running (serve->gate->admit.slots),
      slots_waiting (serve->gate->admit.slots));
  gate_serve_free (serve);
  gate_answer_local (request, run == REASON_NOT_RUN ? 503 : 502, lines,
                     "text/plain", "", 0);
}

/* Drops body bytes that were sent if no more can be buffered; false if more
   can be.  */
static bool
gate_serve_drop_sent (struct gate_serve *serve)
{
  struct gate_request *request = serve->request;

  if (!gate_held_body_is_full (request))
    return false;
  buf_drop_before (&request->body, serve->body_sent_bytes);
  gate_held_update (request->inbound);
  return true;
}

void
gate_serve_trim_body (struct gate_serve *serve)
{
  if (gate_serve_drop_sent (serve))
    gate_in_resume_body (serve->request);
}

/* Writes the buffered part of the body, if there is room, and lets more of it
   be read.  */
static void
gate_serve_send_body (struct gate_serve *serve)
{
  gate_out_write_body (serve->outbound, serve->request,
                       &serve->body_sent_bytes, &serve->body_done);
  gate_serve_drop_sent (serve);
  gate_in_resume_body (serve->request);
}

/* Time limit of a request of another node, which always gives one.  */
static uint64_t
gate_serve_timeout_ms (const struct gate_request *request)
{
  uint64_t timeout_ms;

  return httpmsg_get_timeout_ms (&request->head, &timeout_ms) ? timeout_ms : 0;
}

/* Writes the request to the backend server.  */
static void
gate_serve_send_request (struct gate_serve *serve)
{
  struct gate_request *request = serve->request;
  struct gate *gate = serve->gate;
  clk_us now = loop_now (gate->loop);
  uint64_t elapsed_ms = (now - request->arrived_at) / CLK_US_PER_MS;
  uint64_t timeout_ms = gate_serve_timeout_ms (request);
  struct gate_added_fields fields
      = { .caller_service = request->head.value[HTTPMSG_CALLER_SERVICE],
          .time_left
          = clk_ms (timeout_ms > elapsed_ms ? timeout_ms - elapsed_ms : 1),
          .extra_name
          = gate->opts.adapter->names->name[HTTPMSG_EXPECTED_SERVER_ID],
          .extra_value = gate->admit.backend.last_heartbeat.id };

  gate_out_write_request (serve->outbound, request, &fields);
  gate_serve_send_body (serve);
}

/* The body has not come by the deadline, or the run goes on after it.  The
   other node closes its connection at the deadline.  If that is not
   noticed, for example because the other node has crashed, the request would
   hold its slot until the backend server answers, so it is ended here.  An
   answer may take longer as long as the other node reads it.  */
static void
gate_serve_handle_overdue (struct loop_timer *timer)
{
  struct gate_serve *serve
      = list_entry (timer, struct gate_serve, overdue_timer);

  if (!serve->running)
    {
      gate_serve_refuse (serve, REASON_DEADLINE_QUEUED, REASON_NOT_RUN);
      return;
    }
  if (serve->has_head && !serve->request->inbound->no_more_requests)
    {
      loop_set_timer (serve->gate->loop, timer,
                      loop_now (serve->gate->loop) + GATE_OVERDUE_GRACE_US);
      return;
    }
  counter_add (COUNTER_SERVES_OVERDUE, 1);
  gate_serve_fail (serve, REASON_DEADLINE_RUNNING, REASON_RUN_UNKNOWN);
}

/* Sends a request that holds a slot to the backend server.  */
static void
gate_serve_dispatch (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;
  clk_us now = loop_now (gate->loop);
  enum backend_state state = gate->admit.backend.state;
  enum reason_refusal reason;
  struct gate_out_opts opts
      = { .address = gate->admit.backend.last_heartbeat.address,
          .to_server = true,
          .fresh = !serve->node_request.idempotent,
          .replaceable = serve->node_request.idempotent
                         && !serve->node_request.may_have_run
                         && gate_out_is_replaceable (serve->request),
          .time_left = serve->admit.deadline - now,
          .request_id = serve->request->head.value[HTTPMSG_REQUEST_ID] };

  if (state != BACKEND_UP)
    {
      gate_serve_refuse (serve,
                         state == BACKEND_DRAINING ? REASON_DRAINING
                                                   : REASON_NO_BACKEND,
                         REASON_NOT_RUN);
      return;
    }
  /* It may have been quarantined while it was queued.  */
  reason = suspects_check (&gate->suspects, serve->admit.fingerprint, now);
  if (reason != REASON_NONE)
    {
      gate_serve_refuse (serve, reason, REASON_NOT_RUN);
      return;
    }
  serve->running = true;
  serve->dispatched_at = now;
  hist_add (HIST_QUEUE, now - serve->request->arrived_at);
  admit_record_start (&gate->admit, &serve->admit, now);
  counter_add (COUNTER_DISPATCHED, 1);
  serve->outbound = gate_out_acquire (gate, &opts);
  if (serve->outbound == NULL)
    {
      gate_serve_refuse (serve, REASON_CONNECT_FAILED, REASON_NOT_RUN);
      return;
    }
  serve->outbound->state = GATE_OUT_SERVE;
  serve->outbound->user.serve = serve;
  gate_serve_send_request (serve);
}

static void
gate_serve_handle_admission_timer (struct loop_timer *timer)
{
  gate_serve_run_admission (list_entry (timer, struct gate, admission_timer));
}

void
gate_serve_run_admission (struct gate *gate)
{
  clk_us wakeup;

  /* A refusal below may free a slot and call this function again.  */
  if (gate->admission_running)
    return;
  gate->admission_running = true;
  for (;;)
    {
      struct slots_event event
          = slots_next (gate->admit.slots, loop_now (gate->loop));
      struct gate_serve *serve;

      if (event.kind == SLOTS_NOTHING)
        break;
      serve = list_entry (event.ticket, struct gate_serve, admit.ticket);
      if (event.kind == SLOTS_RUN)
        gate_serve_dispatch (serve);
      else
        gate_serve_refuse (serve, event.reason, REASON_NOT_RUN);
    }
  gate->admission_running = false;
  wakeup = slots_wakeup_time (gate->admit.slots);
  if (wakeup == 0)
    return;
  gate->admission_timer.fire = gate_serve_handle_admission_timer;
  if (wakeup <= loop_now (gate->loop))
    wakeup = loop_now (gate->loop) + CLK_US_PER_MS;
  loop_set_timer (gate->loop, &gate->admission_timer, wakeup);
}

void
gate_serve_refuse_waiting (struct gate *gate, enum reason_refusal reason)
{
  list_each (node, &gate->serves)
    {
      struct gate_serve *serve = list_entry (node, struct gate_serve, node);

      if (serve->admitted && !serve->running)
        gate_serve_refuse (serve, reason, REASON_NOT_RUN);
    }
}

void
gate_serve_fail (struct gate_serve *serve, enum reason_refusal reason,
                 enum reason_run run)
{
  struct gate *gate = serve->gate;

  if (reason == REASON_CONNECT_FAILED)
    gate_mark_backend_lost (gate, "connect-failed");
  else if (reason == REASON_BACKEND_CLOSED && run == REASON_RUN_UNKNOWN)
    gate_crash_add_candidate (serve);
  if (serve->request->head_written)
    {
      struct gate_request *request = serve->request;

      slog (SLOG_INFO, "answer aborted id=%s reason=%s",
            gate_request_id (request), reason_name (reason));
      gate_serve_free (serve);
      gate_answer_abort (request);
    }
  else
    gate_serve_refuse (serve, reason, run);
  gate_serve_run_admission (gate);
}

/* Whether the answer was made by the backend server.  A 2xx status without its
   proof (HTTPMSG_SEAL), or a content encoding, which is never requested, shows
   that it was not.  */
static bool
gate_serve_answer_is_valid (const struct httpmsg_head *head)
{
  if (head->value[HTTPMSG_CONTENT_ENCODING][0] != '\0')
    return false;
  return head->status / 100 != 2 || head->value[HTTPMSG_SEAL][0] != '\0';
}

int
gate_serve_handle_head (struct gate_serve *serve, struct httpmsg_head *head)
{
  struct gate_request *request = serve->request;
  struct gate *gate = serve->gate;
  struct buf lines = { 0 };
  char answer_field[NODEHDR_TEXT_BYTES];
  bool not_run
      = head->value[HTTPMSG_NOT_RUN][0] != '\0' || head->status == 421;

  serve->has_head = true;
  serve->answer_status = head->status;
  if (!not_run && !gate_serve_answer_is_valid (head))
    return SR_EMALFORMED;
  if (not_run)
    {
      /* Not forwarded; the rest of the answer is read and discarded.  */
      slog (
          SLOG_INFO,
          "backend server refused request id=%s status=%d connection=%llu "
          "requests_on_it=%u after_us=%llu",
          gate_request_id (request), head->status,
          (unsigned long long)serve->outbound->serial,
          serve->outbound->request_count,
          (unsigned long long)(loop_now (gate->loop) - serve->dispatched_at));
      serve->server_refused = true;
      if (head->status == 421)
        gate_mark_backend_lost (gate, "another-server");
      return SR_OK;
    }
  gate_serve_encode_answer_field (serve, NODEHDR_ANSWERED, REASON_NONE,
                                  answer_field);
  buf_append (&lines, head->field_lines.data, head->field_lines.len);
  httpmsg_add_field (&lines, NODEHDR_ANSWER_FIELD, answer_field);
  gate_answer_begin (request, head->status, lines.data, lines.len,
                     head->body_len);
  buf_free (&lines);
  return SR_OK;
}

int
gate_serve_handle_body (struct gate_serve *serve, const uint8_t *data,
                        size_t len)
{
  struct gate_request *request = serve->request;

  if (serve->server_refused)
    return SR_OK;
  gate_answer_body (request, data, len);
  gate_answer_update_reading (request);
  return SR_OK;
}

void
gate_serve_pause_answer (struct gate_serve *serve, bool paused)
{
  if (serve->outbound != NULL)
    gate_out_pause_reading (serve->outbound, paused);
}

void
gate_serve_handle_end (struct gate_serve *serve)
{
  struct gate_request *request = serve->request;
  struct gate *gate = serve->gate;
  clk_us now = loop_now (gate->loop);

  if (!serve->server_refused)
    gate_in_record_passed (serve);
  gate_out_release (serve->outbound, serve->body_done);
  serve->outbound = NULL;
  if (serve->server_refused)
    gate_serve_refuse (serve, REASON_SERVER_REFUSED, REASON_NOT_RUN);
  else
    {
      gate_crash_record_answer (serve);
      hist_add (HIST_RUN, now - serve->dispatched_at);
      admit_record_end (&gate->admit, &serve->admit,
                        now - serve->dispatched_at);
      slots_finish (gate->admit.slots, &serve->admit.ticket, true, now);
      admit_release (&gate->admit, &serve->admit,
                     serve->answer_status / 100 == 5 ? AIMD_FAILED
                                                     : AIMD_ANSWERED,
                     gate_downstream_queue_wait (gate), now);
      gate_serve_free (serve);
      gate_answer_end (request);
    }
  gate_serve_run_admission (gate);
}

void
gate_serve_give_way (struct gate_serve *serve)
{
  gate_serve_refuse (serve, REASON_MEMORY_SHORT, REASON_NOT_RUN);
}

void
gate_serve_withdraw (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;

  if (serve->running)
    return;
  gate_serve_refuse (serve, REASON_CANCELLED, REASON_NOT_RUN);
  gate_serve_run_admission (gate);
}

void
gate_serve_handle_drained (struct gate_serve *serve)
{
  gate_serve_forward_body (serve);
}

static void
gate_serve_admit (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;
  struct admit_result result;

  serve->admit.fingerprint = gate_crash_fingerprint (
      serve->request, serve->request->head.value[HTTPMSG_CALLER_SERVICE]);
  result
      = admit_run_chain (&gate->admit, &serve->admit, loop_now (gate->loop));
  serve->admitted = true;
  switch (result.kind)
    {
    case ADMIT_RUN:
      gate_serve_dispatch (serve);
      break;
    case ADMIT_QUEUED:
      gate_serve_run_admission (gate);
      break;
    case ADMIT_REFUSE:
      gate_serve_refuse (serve, result.reason, REASON_NOT_RUN);
      break;
    }
}

void
gate_serve_forward_body (struct gate_serve *serve)
{
  struct gate_request *request = serve->request;

  if (!serve->admitted)
    {
      if (request->body_complete || request->body.len >= GATE_BODY_START_BYTES)
        gate_serve_admit (serve);
      return;
    }
  if (serve->outbound != NULL)
    gate_serve_send_body (serve);
}

/* Sends an interim response that marks the route as internal if the other node
   does not know.  Otherwise a route whose calls are never answered would not
   be recognised as internal, and the requests that make these calls would not
   be limited.  */
static void
gate_serve_send_route_hint (struct gate_serve *serve)
{
  struct gate_request *request = serve->request;
  struct buf *buf = &request->inbound->conn.send_buf;
  char answer_field[NODEHDR_TEXT_BYTES];

  if (!serve->admit.internal || serve->node_request.internal
      || list_first (&request->inbound->requests) != &request->node)
    return;
  gate_serve_encode_answer_field (serve, NODEHDR_UNKNOWN, REASON_NONE,
                                  answer_field);
  httpmsg_add_status_line (buf, GATE_STATUS_EARLY_HINTS);
  httpmsg_add_field (buf, NODEHDR_ANSWER_FIELD, answer_field);
  buf_append (buf, "\r\n", 2);
  hconn_flush (&request->inbound->conn);
}

void
gate_serve_begin (struct gate_request *request)
{
  struct gate *gate = request->gate;
  struct gate_serve *serve = calloc (1, sizeof *serve);
  uint64_t timeout_ms = gate_serve_timeout_ms (request);

  INVARIANT (serve != NULL);
  serve->gate = gate;
  serve->request = request;
  list_push_tail (&gate->serves, &serve->node);
  request->kind = GATE_KIND_SERVE;
  request->u.serve = serve;
  counter_add (COUNTER_SERVES, 1);
  if (nodehdr_decode_request (request->head.value[HTTPMSG_NODE_REQUEST],
                              &serve->node_request)
      != SR_OK)
    {
      gate_serve_refuse (serve, REASON_MALFORMED, REASON_NOT_RUN);
      return;
    }
  memcpy (serve->admit.service, serve->node_request.service,
          sizeof serve->admit.service);
  serve->admit.importance = (uint8_t)serve->node_request.importance;
  serve->admit.route_id = serve->node_request.route_id;
  serve->admit.idempotent = serve->node_request.idempotent;
  serve->admit.timeout_used_fraction
      = (double)serve->node_request.timeout_used_fraction
        / NODEHDR_FRACTION_SCALE;
  serve->admit.internal
      = origin_record_request (
            &gate->admit.origins, serve->node_request.route_id,
            request->head.value[HTTPMSG_CALLER_SERVICE],
            serve->node_request.internal ? ORIGIN_INTERNAL : ORIGIN_EXTERNAL)
        == ORIGIN_INTERNAL;
  serve->admit.arrived = request->arrived_at;
  gate_serve_send_route_hint (serve);
  if (serve->node_request.timeout_ms < timeout_ms)
    timeout_ms = serve->node_request.timeout_ms;
  serve->admit.deadline = request->arrived_at + clk_ms (timeout_ms);
  serve->overdue_timer.fire = gate_serve_handle_overdue;
  loop_set_timer (gate->loop, &serve->overdue_timer,
                  serve->admit.deadline + GATE_OVERDUE_GRACE_US);
  if (serve->node_request.target_ms != 0)
    serve->admit.target_deadline
        = request->arrived_at + clk_ms (serve->node_request.target_ms);
}
