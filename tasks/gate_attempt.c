#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/hist.h"
#include "core/httpstatus.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

static void
gate_attempt_free (struct gate_attempt *attempt)
{
  if (attempt->cross_domain)
    counter_add (COUNTER_BYTES_CROSS_DOMAIN,
                 attempt->body_sent_bytes + attempt->received_bytes);
  list_remove (&attempt->node);
  httpmsg_head_fini (&attempt->head);
  buf_free (&attempt->answer_body);
  free (attempt);
}

/* Reports the outcome and latency of the attempt to the load balancer.  */
static void
gate_attempt_report_result (struct gate_attempt *attempt,
                            enum lb_result result)
{
  clk_us now = loop_now (attempt->call->gate->loop);
  clk_us ended_at
      = attempt->head_received_at != 0 ? attempt->head_received_at : now;

  lb_watch_end (&attempt->watch, now);
  lb_attempt_end (attempt->service->servers, attempt->server, result,
                  dispatch_cost (&attempt->call->dispatch),
                  ended_at - attempt->started_at, NULL, now);
}

void
gate_attempt_cancel (struct gate_attempt *attempt)
{
  if (attempt->outbound != NULL)
    gate_out_release (attempt->outbound, false);
  gate_attempt_report_result (attempt, LB_IGNORED);
  gate_attempt_free (attempt);
}

/* Average of latency / timeout of the requests to the service; for a call of
   the local backend server, of the requests that run there.  */
static double
gate_call_timeout_used_fraction (const struct gate_call *call)
{
  return call->dispatch.internal
             ? call->gate->admit.timeout_used_fraction
             : call->dispatch.service->timeout_used_fraction;
}

/* Writes the request to the connection to the other node.  */
static void
gate_attempt_send_request (struct gate_attempt *attempt)
{
  struct gate_call *call = attempt->call;
  struct gate_request *request = call->request;
  clk_us now = loop_now (call->gate->loop);
  struct nodehdr_request node_request
      = { .importance = call->dispatch.importance,
          .route_id = call->dispatch.route_id,
          .idempotent = call->dispatch.route->idempotent,
          .may_have_run = call->dispatch.attempts_maybe_run > 0,
          .internal = call->dispatch.internal,
          .timeout_used_fraction
          = (uint32_t)(gate_call_timeout_used_fraction (call)
                       * NODEHDR_FRACTION_SCALE) };
  char text[NODEHDR_TEXT_BYTES];
  struct gate_added_fields fields
      = { .caller_service = call->gate->opts.service,
          .time_left = call->dispatch.caller_deadline - now,
          .extra_name = NODEHDR_REQUEST_FIELD,
          .extra_value = text };

  memcpy (node_request.service, call->dispatch.service->name,
          sizeof node_request.service);
  node_request.timeout_ms
      = (uint32_t)((call->dispatch.route_deadline - now) / CLK_US_PER_MS);
  node_request.target_ms = dispatch_target_left_ms (&call->dispatch, now);
  nodehdr_encode_request (&node_request, text);
  gate_out_write_request (attempt->outbound, request, &fields);
  gate_call_forward_body (call);
}

void
gate_attempt_start (struct gate_call *call)
{
  struct gate *gate = call->gate;
  struct lb_server *server = call->dispatch.server;
  clk_us now = loop_now (gate->loop);
  struct gate_out_opts opts
      = { .address = server->address,
          .replaceable = dispatch_may_repeat (&call->dispatch)
                         && gate_out_is_replaceable (call->request),
          .time_left = call->dispatch.route_deadline - now,
          .request_id = call->request->head.value[HTTPMSG_REQUEST_ID] };
  struct gate_attempt *attempt = calloc (1, sizeof *attempt);

  INVARIANT (attempt != NULL);
  attempt->call = call;
  attempt->service = call->dispatch.service;
  attempt->server = server;
  attempt->started_at = now;
  lb_attempt_start (attempt->service->servers, server, now);
  lb_watch_start (server, &attempt->watch, dispatch_cost (&call->dispatch),
                  now);
  list_push_tail (&call->attempts, &attempt->node);
  call->attempt_count++;
  counter_add (COUNTER_ATTEMPTS, 1);
  attempt->cross_domain
      = strcmp (server->failure_domain, gate->opts.failure_domain) != 0;
  if (attempt->cross_domain)
    counter_add (COUNTER_ATTEMPTS_CROSS_DOMAIN, 1);
  attempt->outbound = gate_out_acquire (gate, &opts);
  if (attempt->outbound == NULL)
    {
      gate_attempt_fail (attempt, REASON_CONNECT_FAILED, REASON_NOT_RUN);
      return;
    }
  attempt->outbound->state = GATE_OUT_ATTEMPT;
  attempt->outbound->user.attempt = attempt;
  gate_attempt_send_request (attempt);
}

void
gate_attempt_fail (struct gate_attempt *attempt, enum reason_refusal reason,
                   enum reason_run run)
{
  struct gate_call *call = attempt->call;
  struct dispatch_failure failure = { .reason = reason, .run = run };
  bool forwarding = attempt->forwarding;

  slog (SLOG_INFO, "attempt failed id=%s server=%s reason=%s run=%s",
        gate_request_id (call->request), attempt->server->instance,
        reason_name (reason), reason_run_name (run));
  gate_attempt_report_result (
      attempt, reason == REASON_CONNECT_FAILED ? LB_FAILED : LB_IGNORED);
  gate_attempt_free (attempt);
  if (forwarding)
    {
      gate_call_abort (call);
      return;
    }
  gate_call_handle_attempt_failure (call, &failure);
}

int
gate_attempt_handle_head (struct gate_attempt *attempt,
                          struct httpmsg_head *head)
{
  struct gate_call *call = attempt->call;
  struct gate *gate = call->gate;
  clk_us now = loop_now (gate->loop);
  struct dispatch_report report;

  if (nodehdr_decode_answer (head->value[HTTPMSG_NODE_ANSWER],
                             &attempt->node_answer)
      != SR_OK)
    return SR_EMALFORMED;
  attempt->has_head = true;
  attempt->head_received_at = now;
  hist_add (HIST_ATTEMPT, now - attempt->started_at);
  attempt->head = *head;
  memset (head, 0, sizeof *head);
  report = (struct dispatch_report){
    .internal_queue_wait_us = attempt->node_answer.internal_queue_wait_us,
    .downstream_queue_wait_us = attempt->node_answer.downstream_queue_wait_us,
    .fan_out = (double)attempt->node_answer.fan_out / NODEHDR_FAN_OUT_SCALE,
    .load = (double)attempt->node_answer.load / NODEHDR_LOAD_SCALE,
    .internal = attempt->node_answer.internal,
    .answered = attempt->node_answer.outcome == NODEHDR_ANSWERED,
    .service_time = now - attempt->started_at
  };
  if (report.service_time > attempt->node_answer.queue_wait_us)
    report.service_time -= attempt->node_answer.queue_wait_us;
  dispatch_record_report (&gate->dispatch, &call->dispatch, &report, now);
  return SR_OK;
}

/* Starts forwarding the answer to the caller.  */
static void
gate_attempt_forward (struct gate_attempt *attempt)
{
  struct gate_request *request = attempt->call->request;
  const struct httpmsg_head *head = &attempt->head;

  attempt->forwarding = true;
  gate_answer_begin (request, head->status, head->field_lines.data,
                     head->field_lines.len, head->body_len);
  gate_answer_body (request, attempt->answer_body.data,
                    attempt->answer_body.len);
  buf_free (&attempt->answer_body);
}

int
gate_attempt_handle_body (struct gate_attempt *attempt, const uint8_t *data,
                          size_t len)
{
  struct gate_request *request = attempt->call->request;

  attempt->received_bytes += len;
  if (attempt->node_answer.outcome != NODEHDR_ANSWERED)
    return SR_OK;
  if (!attempt->forwarding)
    {
      buf_append (&attempt->answer_body, data, len);
      if (attempt->answer_body.len >= GATE_ANSWER_BUFFER_BYTES)
        gate_attempt_forward (attempt);
      gate_held_update (request->inbound);
    }
  else
    gate_answer_body (request, data, len);
  gate_answer_update_reading (request);
  return SR_OK;
}

/* Handles an answer that reports a refusal or failure of the request.  */
static void
gate_attempt_handle_refusal (struct gate_attempt *attempt)
{
  struct gate_call *call = attempt->call;
  struct dispatch_failure failure
      = { .reason = attempt->node_answer.reason,
          .run = attempt->node_answer.outcome == NODEHDR_NOT_RUN
                     ? REASON_NOT_RUN
                     : REASON_RUN_UNKNOWN,
          .retry_after_ms = attempt->node_answer.retry_after_ms };

  slog (SLOG_INFO,
        "attempt refused id=%s server=%s reason=%s run=%s load=%u%%",
        gate_request_id (call->request), attempt->server->instance,
        reason_name (failure.reason), reason_run_name (failure.run),
        attempt->node_answer.load);
  gate_attempt_report_result (
      attempt, failure.run == REASON_NOT_RUN ? LB_REFUSED : LB_FAILED);
  gate_attempt_free (attempt);
  gate_call_handle_attempt_failure (call, &failure);
}

void
gate_attempt_handle_end (struct gate_attempt *attempt)
{
  struct gate_call *call = attempt->call;
  struct gate_request *request = call->request;

  gate_out_release (attempt->outbound, attempt->body_done);
  attempt->outbound = NULL;
  if (attempt->node_answer.outcome != NODEHDR_ANSWERED)
    {
      gate_attempt_handle_refusal (attempt);
      return;
    }
  if (!attempt->forwarding)
    {
      if (!httpmsg_is_head_method (&request->head)
          && !httpstatus_has_no_body (attempt->head.status))
        attempt->head.body_len = (int64_t)attempt->answer_body.len;
      gate_attempt_forward (attempt);
    }
  gate_attempt_report_result (attempt, LB_ANSWERED);
  gate_attempt_free (attempt);
  dispatch_record_end (&call->dispatch, loop_now (call->gate->loop));
  counter_add (COUNTER_ANSWERS, 1);
  hist_add (HIST_CALL, loop_now (call->gate->loop) - request->arrived_at);
  gate_call_free (call);
  gate_answer_end (request);
}

void
gate_attempt_handle_drained (struct gate_attempt *attempt)
{
  gate_call_forward_body (attempt->call);
}
