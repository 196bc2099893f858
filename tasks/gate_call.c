#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ctr.h"
#include "core/hist.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

static void gat_call_timer (struct lop_timer *timer);
static void gat_call_try (struct gat_call *call);

void
gat_call_free (struct gat_call *call)
{
  while (!lst_empty (&call->attempts))
    gat_attempt_drop (
        lst_entry (lst_first (&call->attempts), struct gat_attempt, node));
  lop_cancel (&call->timer);
  lst_remove (&call->node);
  ent_release (&call->ent);
  free (call);
}

void
gat_call_break (struct gat_call *call)
{
  gat_answer_break (call->request);
  gat_call_free (call);
}

/* The caller's connection has ended, or its answer is complete.  */
void
gat_call_gone (struct gat_call *call)
{
  struct gat_request *request = call->request;

  if (!lst_empty (&call->attempts))
    {
      ctr_refused (RSN_CANCELLED);
      slog (
          SLOG_INFO, "request cancelled id=%s reason=caller-left age_ms=%llu",
          gat_id (request),
          (unsigned long long)((lop_now (call->gate->loop) - request->arrived)
                               / CLK_US_PER_MS));
    }
  gat_call_free (call);
}

/* Status that tells the truth: those of the first group promise that the
   request has not run.  */
static int
gat_status (enum rsn_refusal reason, enum rsn_run run)
{
  int status = rsn_http_status (reason);

  if (run == RSN_UNKNOWN)
    return status == 504 || reason == RSN_DEADLINE_QUEUED ? 504 : 502;
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
gat_call_refuse (struct gat_call *call, enum rsn_refusal reason,
                 enum rsn_run run, uint32_t retry_after_ms)
{
  struct gat_request *request = call->request;
  clk_us now = lop_now (call->gate->loop);
  int status = gat_status (reason, run);
  char lines[GAT_TEXT_BYTES];
  char text[GAT_TEXT_BYTES];
  int len;

  ctr_refused (reason);
  slog (SLOG_INFO,
        "request refused id=%s route=%s service=%s reason=%s run=%s "
        "status=%d attempts=%u moves=%u age_ms=%llu pressure_ms=%d "
        "retry_after_ms=%u",
        gat_id (request),
        call->ent.route != NULL ? call->ent.route->name : "-",
        call->ent.service != NULL ? call->ent.service->name : "-",
        rsn_name (reason), rsn_run_name (run), status, call->attempt_count,
        call->ent.moves,
        (unsigned long long)((now - request->arrived) / CLK_US_PER_MS),
        call->ent.service != NULL
            ? (int)(ent_pressure (call->ent.service, now) / CLK_US_PER_MS)
            : 0,
        retry_after_ms);
  len = snprintf (lines, sizeof lines,
                  "Proxy-Status: sycamorerudder; error=%s; details=\"%s; "
                  "%s\"\r\n",
                  rsn_proxy_error (reason), rsn_name (reason),
                  rsn_run_name (run));
  if (status == 503 && retry_after_ms > 0)
    snprintf (lines + len, sizeof lines - (size_t)len,
              "Retry-After: %u.%03u\r\n", retry_after_ms / 1000,
              retry_after_ms % 1000);
  len = snprintf (text, sizeof text, "refused: %s (%s)\n", rsn_name (reason),
                  rsn_run_name (run));
  request->kind = GAT_KIND_NONE;
  gat_call_free (call);
  gat_answer_own (request, status, lines, "text/plain", text, (size_t)len);
}

void
gat_call_withdraw_all (struct gate *gate)
{
  lst_each (node, &gate->calls)
    {
      struct gat_call *call = lst_entry (node, struct gat_call, node);

      lst_each (item, &call->attempts)
        {
          struct gat_attempt *attempt
              = lst_entry (item, struct gat_attempt, node);

          if (attempt->out != NULL && !attempt->has_head)
            hcn_half_close (&attempt->out->conn);
        }
    }
}

static enum rsn_run
gat_call_run (const struct gat_call *call)
{
  return call->may_have_run ? RSN_UNKNOWN : RSN_NOT_RUN;
}

void
gat_call_give_up_all (struct gate *gate)
{
  while (!lst_empty (&gate->calls))
    {
      struct gat_call *call
          = lst_entry (lst_first (&gate->calls), struct gat_call, node);

      if (call->request->head_done)
        gat_call_break (call);
      else
        gat_call_refuse (call, RSN_STOPPING, RSN_UNKNOWN, 0);
    }
}

/* Whether an attempt is out whose request may run by now.  */
static bool
gat_call_out (const struct gat_call *call)
{
  lst_each (node, &call->attempts)
    {
      const struct gat_attempt *attempt
          = lst_entry (node, struct gat_attempt, node);

      if (attempt->out != NULL && attempt->out->conn.written)
        return true;
    }
  return false;
}

/* The time of the route or of the caller is over, or a pause is.  */
static void
gat_call_timer (struct lop_timer *timer)
{
  struct gat_call *call = lst_entry (timer, struct gat_call, timer);
  clk_us now = lop_now (call->gate->loop);

  if (call->again_at != 0 && now >= call->again_at)
    {
      call->again_at = 0;
      memset (&call->ent.query, 0, sizeof call->ent.query);
      lop_set (call->gate->loop, &call->timer, call->ent.timeout);
      gat_call_try (call);
      return;
    }
  if (call->request->head_done)
    {
      slog (SLOG_INFO, "answer broken off id=%s reason=timeout route=%s",
            gat_id (call->request), call->ent.route->name);
      gat_call_break (call);
      return;
    }
  ent_ended (&call->ent, now);
  if (gat_call_out (call))
    call->may_have_run = true;
  gat_call_refuse (
      call, call->may_have_run ? RSN_DEADLINE_RUNNING : RSN_DEADLINE_QUEUED,
      gat_call_run (call), 0);
}

/* Chooses a server for the next attempt.  */
static void
gat_call_try (struct gat_call *call)
{
  struct gate *gate = call->gate;
  clk_us now = lop_now (gate->loop);
  struct ent_result result = ent_choose (&gate->entry, &call->ent, now);

  if (result.kind == ENT_GO)
    {
      gat_attempt_start (call);
      return;
    }
  if (call->reason == RSN_NONE)
    call->reason = result.reason;
  gat_call_refuse (call, call->reason, gat_call_run (call),
                   call->retry_after_ms != 0 ? call->retry_after_ms
                                             : result.retry_after_ms);
}

/* An attempt has failed: moves on, waits, or gives up.  */
void
gat_call_failed (struct gat_call *call, const struct ent_failure *failure)
{
  struct gate *gate = call->gate;
  clk_us now = lop_now (gate->loop);
  struct ent_next next;

  if (failure->run == RSN_UNKNOWN)
    call->may_have_run = true;
  if (call->reason == RSN_NONE || failure->run == RSN_UNKNOWN)
    call->reason = failure->reason;
  if (failure->reason == RSN_UPSTREAM_SHED)
    call->retry_after_ms = ent_shed_after_ms (&gate->entry);
  else if (failure->retry_after_ms != 0)
    call->retry_after_ms = failure->retry_after_ms;
  if (call->request->body.base != 0)
    next = (struct ent_next){ .kind = ENT_GIVE_UP };
  else
    next = ent_after (&gate->entry, &call->ent, failure, now);
  switch (next.kind)
    {
    case ENT_AGAIN:
      ctr_retried (failure->run == RSN_NOT_RUN ? RSN_RETRY_REFUSED_BELOW
                                               : RSN_RETRY_BACKEND_CLOSED);
      slog (SLOG_INFO, "retry id=%s reason=%s run=%s attempt=%u",
            gat_id (call->request), rsn_name (failure->reason),
            rsn_run_name (failure->run), call->attempt_count + 1);
      gat_call_try (call);
      break;
    case ENT_LATER:
      call->again_at = next.at;
      lop_set (gate->loop, &call->timer, next.at);
      break;
    case ENT_GIVE_UP:
      gat_call_refuse (call, call->reason, gat_call_run (call),
                       call->retry_after_ms);
      break;
    }
}

void
gat_call_room (struct gat_call *call)
{
  lst_each (node, &call->attempts)
    {
      struct gat_attempt *attempt = lst_entry (node, struct gat_attempt, node);

      if (attempt->out != NULL)
        lop_pause (&attempt->out->conn.io, false);
    }
}

/* Drops body bytes that every attempt has sent, once they are too many to be
   kept for another one.  */
static void
gat_call_trim (struct gat_call *call)
{
  struct gat_request *request = call->request;
  uint64_t sent = buf_end (&request->body);

  if (request->body.len < GAT_KEEP_BYTES)
    return;
  lst_each (node, &call->attempts)
    {
      const struct gat_attempt *attempt
          = lst_entry (node, struct gat_attempt, node);

      if (attempt->body_sent < sent)
        sent = attempt->body_sent;
    }
  if (!lst_empty (&call->attempts))
    buf_drop (&request->body, sent);
  gat_body_room (request);
}

void
gat_call_body (struct gat_call *call)
{
  struct gat_request *request = call->request;

  if (!call->started)
    {
      if (request->body_whole || request->body.len >= GAT_START_BYTES)
        {
          call->started = true;
          gat_call_try (call);
        }
      return;
    }
  lst_each (node, &call->attempts)
    {
      struct gat_attempt *attempt = lst_entry (node, struct gat_attempt, node);

      if (attempt->out != NULL)
        gat_out_body (attempt->out, request, &attempt->body_sent,
                      &attempt->body_done);
    }
  gat_call_trim (call);
}

void
gat_call_head (struct gat_request *request)
{
  struct gate *gate = request->gate;
  struct gat_call *call = calloc (1, sizeof *call);
  struct ent_result result;

  INVARIANT (call != NULL);
  call->gate = gate;
  call->request = request;
  call->timer.fire = gat_call_timer;
  lst_init (&call->attempts);
  lst_push_tail (&gate->calls, &call->node);
  request->kind = GAT_KIND_CALL;
  request->u.call = call;
  call->ent.host = request->head.value[HM_HOST];
  call->ent.path = request->head.target;
  call->ent.wait_ms = strtoull (request->head.value[HM_DEADLINE_MS], NULL, 10);
  call->ent.arrived = request->arrived;
  if (request->head.body_len > 0)
    call->ent.bytes = (uint64_t)request->head.body_len;
  call->ent.haste = gate->beside.haste;
  ctr_add (CTR_CALLS, 1);
  result = ent_admit (&gate->entry, &call->ent, request->arrived);
  if (result.kind == ENT_REFUSE)
    {
      gat_call_refuse (call, result.reason, RSN_NOT_RUN,
                       result.retry_after_ms);
      return;
    }
  if (call->ent.inner)
    bsd_called (&gate->beside, call->ent.service->fan_out, request->arrived);
  lop_set (gate->loop, &call->timer, call->ent.timeout);
}
