#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/hist.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

static void gate_call_handle_timer (struct loop_timer *timer);
static void gate_call_next_attempt (struct gate_call *call);

void
gate_call_free (struct gate_call *call)
{
  while (!list_empty (&call->attempts))
    gate_attempt_cancel (
        list_entry (list_first (&call->attempts), struct gate_attempt, node));
  loop_cancel_timer (&call->timer);
  list_remove (&call->node);
  dispatch_release (&call->dispatch);
  free (call);
}

void
gate_call_abort (struct gate_call *call)
{
  gate_answer_abort (call->request);
  gate_call_free (call);
}

/* The caller's connection has ended, or its answer is complete.  */
void
gate_call_cancel (struct gate_call *call)
{
  struct gate_request *request = call->request;

  if (!list_empty (&call->attempts))
    {
      counter_add_refusal (REASON_CANCELLED);
      slog (SLOG_INFO,
            "request cancelled id=%s reason=caller-left age_ms=%llu",
            gate_request_id (request),
            (unsigned long long)((loop_now (call->gate->loop)
                                  - request->arrived_at)
                                 / CLK_US_PER_MS));
    }
  gate_call_free (call);
}

/* Status that tells the truth: those of the first group promise that the
   request has not run.  */
static int
gate_call_status (enum reason_refusal reason, enum reason_run run)
{
  int status = reason_http_status (reason);

  if (run == REASON_RUN_UNKNOWN)
    return status == 504 || reason == REASON_DEADLINE_QUEUED ? 504 : 502;
  switch (status)
    {
    case 400:
    case 404:
    case 413:
    case 429:
    case 431:
      return status;
    default:
      return 503;
    }
}

/* Answers with a refusal of this node.  */
static void
gate_call_refuse (struct gate_call *call, enum reason_refusal reason,
                  enum reason_run run, uint32_t retry_after_ms)
{
  struct gate_request *request = call->request;
  clk_us now = loop_now (call->gate->loop);
  int status = gate_call_status (reason, run);
  char lines[GATE_TEXT_BYTES];
  char text[GATE_TEXT_BYTES];
  int len;

  counter_add_refusal (reason);
  slog (SLOG_INFO,
        "request refused id=%s route=%s service=%s reason=%s run=%s "
        "status=%d attempts=%u moves=%u age_ms=%llu pressure_ms=%d "
        "retry_after_ms=%u",
        gate_request_id (request),
        call->dispatch.route != NULL ? call->dispatch.route->name : "-",
        call->dispatch.service != NULL ? call->dispatch.service->name : "-",
        reason_name (reason), reason_run_name (run), status,
        call->attempt_count, call->dispatch.attempts_not_run,
        (unsigned long long)((now - request->arrived_at) / CLK_US_PER_MS),
        call->dispatch.service != NULL
            ? (int)(dispatch_downstream_wait_us (call->dispatch.service, now)
                    / CLK_US_PER_MS)
            : 0,
        retry_after_ms);
  len = snprintf (lines, sizeof lines,
                  "Proxy-Status: sycamorerudder; error=%s; details=\"%s; "
                  "%s\"\r\n",
                  reason_proxy_error (reason), reason_name (reason),
                  reason_run_name (run));
  if (status == 503 && retry_after_ms > 0)
    snprintf (lines + len, sizeof lines - (size_t)len,
              "Retry-After: %u.%03u\r\n", retry_after_ms / 1000,
              retry_after_ms % 1000);
  len = snprintf (text, sizeof text, "refused: %s (%s)\n",
                  reason_name (reason), reason_run_name (run));
  request->kind = GATE_KIND_NONE;
  gate_call_free (call);
  gate_answer_own (request, status, lines, "text/plain", text, (size_t)len);
}

void
gate_call_withdraw_all (struct gate *gate)
{
  list_each (node, &gate->calls)
    {
      struct gate_call *call = list_entry (node, struct gate_call, node);

      list_each (item, &call->attempts)
        {
          struct gate_attempt *attempt
              = list_entry (item, struct gate_attempt, node);

          if (attempt->outbound != NULL && !attempt->has_head)
            hconn_half_close (&attempt->outbound->conn);
        }
    }
}

static enum reason_run
gate_call_run_state (const struct gate_call *call)
{
  return call->may_have_run ? REASON_RUN_UNKNOWN : REASON_NOT_RUN;
}

void
gate_call_give_up_all (struct gate *gate)
{
  while (!list_empty (&gate->calls))
    {
      struct gate_call *call
          = list_entry (list_first (&gate->calls), struct gate_call, node);

      if (call->request->head_written)
        gate_call_abort (call);
      else
        gate_call_refuse (call, REASON_STOPPING, REASON_RUN_UNKNOWN, 0);
    }
}

/* Whether an attempt is out whose request may run by now.  */
static bool
gate_call_has_sent (const struct gate_call *call)
{
  list_each (node, &call->attempts)
    {
      const struct gate_attempt *attempt
          = list_entry (node, struct gate_attempt, node);

      if (attempt->outbound != NULL && attempt->outbound->conn.any_written)
        return true;
    }
  return false;
}

/* The time of the route or of the caller is over, or a pause is.  */
static void
gate_call_handle_timer (struct loop_timer *timer)
{
  struct gate_call *call = list_entry (timer, struct gate_call, timer);
  clk_us now = loop_now (call->gate->loop);

  if (call->retry_at != 0 && now >= call->retry_at)
    {
      call->retry_at = 0;
      memset (&call->dispatch.query, 0, sizeof call->dispatch.query);
      loop_set_timer (call->gate->loop, &call->timer,
                      call->dispatch.route_deadline);
      gate_call_next_attempt (call);
      return;
    }
  if (call->request->head_written)
    {
      slog (SLOG_INFO, "answer broken off id=%s reason=timeout route=%s",
            gate_request_id (call->request), call->dispatch.route->name);
      gate_call_abort (call);
      return;
    }
  dispatch_record_end (&call->dispatch, now);
  if (gate_call_has_sent (call))
    call->may_have_run = true;
  gate_call_refuse (call,
                    call->may_have_run ? REASON_DEADLINE_RUNNING
                                       : REASON_DEADLINE_QUEUED,
                    gate_call_run_state (call), 0);
}

/* Chooses a server for the next attempt.  */
static void
gate_call_next_attempt (struct gate_call *call)
{
  struct gate *gate = call->gate;
  clk_us now = loop_now (gate->loop);
  struct dispatch_result result
      = dispatch_choose_server (&gate->dispatch, &call->dispatch, now);

  if (result.kind == DISPATCH_CONTINUE)
    {
      gate_attempt_start (call);
      return;
    }
  if (call->reason == REASON_NONE)
    call->reason = result.reason;
  gate_call_refuse (call, call->reason, gate_call_run_state (call),
                    call->retry_after_ms != 0 ? call->retry_after_ms
                                              : result.retry_after_ms);
}

/* An attempt has failed: moves on, waits, or gives up.  */
void
gate_call_handle_attempt_failure (struct gate_call *call,
                                  const struct dispatch_failure *failure)
{
  struct gate *gate = call->gate;
  clk_us now = loop_now (gate->loop);
  struct dispatch_next next;

  if (failure->run == REASON_RUN_UNKNOWN)
    call->may_have_run = true;
  if (call->reason == REASON_NONE || failure->run == REASON_RUN_UNKNOWN)
    call->reason = failure->reason;
  if (failure->reason == REASON_UPSTREAM_SHED)
    call->retry_after_ms = dispatch_shed_retry_after_ms (&gate->dispatch);
  else if (failure->retry_after_ms != 0)
    call->retry_after_ms = failure->retry_after_ms;
  if (call->request->body.base != 0)
    next = (struct dispatch_next){ .kind = DISPATCH_GIVE_UP };
  else
    next = dispatch_decide_retry (&gate->dispatch, &call->dispatch, failure,
                                  now);
  switch (next.kind)
    {
    case DISPATCH_RETRY_NOW:
      counter_add_retry (failure->run == REASON_NOT_RUN
                             ? REASON_RETRY_REFUSED_BELOW
                             : REASON_RETRY_BACKEND_CLOSED);
      slog (SLOG_INFO, "retry id=%s reason=%s run=%s attempt=%u",
            gate_request_id (call->request), reason_name (failure->reason),
            reason_run_name (failure->run), call->attempt_count + 1);
      gate_call_next_attempt (call);
      break;
    case DISPATCH_RETRY_LATER:
      call->retry_at = next.retry_at;
      loop_set_timer (gate->loop, &call->timer, next.retry_at);
      break;
    case DISPATCH_GIVE_UP:
      gate_call_refuse (call, call->reason, gate_call_run_state (call),
                        call->retry_after_ms);
      break;
    }
}

void
gate_call_resume_answer (struct gate_call *call)
{
  list_each (node, &call->attempts)
    {
      struct gate_attempt *attempt
          = list_entry (node, struct gate_attempt, node);

      if (attempt->outbound != NULL)
        loop_pause_reading (&attempt->outbound->conn.io, false);
    }
}

/* Drops body bytes that every attempt has sent, once they are too many to be
   kept for another one.  */
static void
gate_call_trim_body (struct gate_call *call)
{
  struct gate_request *request = call->request;
  uint64_t sent = buf_end (&request->body);

  if (request->body.len < GATE_REPLAY_BODY_BYTES_MAX)
    return;
  list_each (node, &call->attempts)
    {
      const struct gate_attempt *attempt
          = list_entry (node, struct gate_attempt, node);

      if (attempt->body_sent_bytes < sent)
        sent = attempt->body_sent_bytes;
    }
  if (!list_empty (&call->attempts))
    buf_drop_before (&request->body, sent);
  gate_in_resume_body (request);
}

void
gate_call_forward_body (struct gate_call *call)
{
  struct gate_request *request = call->request;

  if (!call->started)
    {
      if (request->body_complete || request->body.len >= GATE_BODY_START_BYTES)
        {
          call->started = true;
          gate_call_next_attempt (call);
        }
      return;
    }
  list_each (node, &call->attempts)
    {
      struct gate_attempt *attempt
          = list_entry (node, struct gate_attempt, node);

      if (attempt->outbound != NULL)
        gate_out_write_body (attempt->outbound, request,
                             &attempt->body_sent_bytes, &attempt->body_done);
    }
  gate_call_trim_body (call);
}

void
gate_call_begin (struct gate_request *request)
{
  struct gate *gate = request->gate;
  struct gate_call *call = calloc (1, sizeof *call);
  struct dispatch_result result;

  INVARIANT (call != NULL);
  call->gate = gate;
  call->request = request;
  call->timer.fire = gate_call_handle_timer;
  list_init (&call->attempts);
  list_push_tail (&gate->calls, &call->node);
  request->kind = GATE_KIND_CALL;
  request->u.call = call;
  call->dispatch.host = request->head.value[HTTPMSG_HOST];
  call->dispatch.path = request->head.target;
  call->dispatch.caller_timeout_ms
      = strtoull (request->head.value[HTTPMSG_DEADLINE_MS], NULL, 10);
  call->dispatch.arrived = request->arrived_at;
  if (request->head.body_len > 0)
    call->dispatch.body_bytes = (uint64_t)request->head.body_len;
  call->dispatch.timeout_fraction = gate->admit.timeout_fraction;
  counter_add (COUNTER_CALLS, 1);
  result = dispatch_run_chain (&gate->dispatch, &call->dispatch,
                               request->arrived_at);
  if (result.kind == DISPATCH_REFUSE)
    {
      gate_call_refuse (call, result.reason, REASON_NOT_RUN,
                        result.retry_after_ms);
      return;
    }
  if (call->dispatch.internal)
    admit_record_call (&gate->admit, call->dispatch.service->fan_out,
                       request->arrived_at);
  loop_set_timer (gate->loop, &call->timer, call->dispatch.route_deadline);
}
