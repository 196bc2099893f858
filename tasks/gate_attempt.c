#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ctr.h"
#include "core/hist.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

static void
gat_attempt_free (struct gat_attempt *attempt)
{
  if (attempt->far)
    ctr_add (CTR_BYTES_FAR, attempt->body_sent + attempt->received);
  lst_remove (&attempt->node);
  hm_head_fini (&attempt->head);
  buf_free (&attempt->answer);
  free (attempt);
}

/* Ends the attempt as far as the choice of server is concerned.  */
static void
gat_attempt_done (struct gat_attempt *attempt, enum chs_result result)
{
  clk_us now = lop_now (attempt->call->gate->loop);
  clk_us end = attempt->head_at != 0 ? attempt->head_at : now;

  chs_unwatch (&attempt->watch, now);
  chs_done (attempt->service->servers, attempt->server, result,
            ent_cost (&attempt->call->ent), end - attempt->started, NULL, now);
}

/* Nobody waits for the attempt any more.  Its connection is closed, which
   tells the other node and the server.  */
void
gat_attempt_drop (struct gat_attempt *attempt)
{
  if (attempt->out != NULL)
    gat_out_give (attempt->out, false);
  gat_attempt_done (attempt, CHS_NO_BLAME);
  gat_attempt_free (attempt);
}

/* Part of the time limit that such requests take: of the requests that the
   own server runs for its calls.  */
static double
gat_haste (const struct gat_call *call)
{
  return call->ent.inner ? call->gate->beside.haste : call->ent.service->haste;
}

/* Writes the request's head to a connection to another node.  */
static void
gat_attempt_send (struct gat_attempt *attempt)
{
  struct gat_call *call = attempt->call;
  struct gat_request *request = call->request;
  clk_us now = lop_now (call->gate->loop);
  struct nh_request told
      = { .importance = call->ent.importance,
          .route = call->ent.route_id,
          .idempotent = call->ent.route->idempotent,
          .repeat = call->ent.reached > 0,
          .inner = call->ent.inner,
          .haste = (uint32_t)(gat_haste (call) * NH_HASTE_UNIT) };
  char text[NH_TEXT_BYTES];
  struct gat_fields fields = { .caller = call->gate->opts.service,
                               .wait = call->ent.deadline - now,
                               .name = NH_REQUEST_FIELD,
                               .value = text };

  memcpy (told.service, call->ent.service->name, sizeof told.service);
  told.timeout_ms = (uint32_t)((call->ent.timeout - now) / CLK_US_PER_MS);
  told.target_ms = ent_target_left_ms (&call->ent, now);
  nh_put_request (&told, text);
  gat_out_request (attempt->out, request, &fields);
  gat_out_body (attempt->out, request, &attempt->body_sent,
                &attempt->body_done);
}

void
gat_attempt_start (struct gat_call *call)
{
  struct gate *gate = call->gate;
  struct chs_server *server = call->ent.server;
  clk_us now = lop_now (gate->loop);
  struct gat_attempt *attempt = calloc (1, sizeof *attempt);

  INVARIANT (attempt != NULL);
  attempt->call = call;
  attempt->service = call->ent.service;
  attempt->server = server;
  attempt->started = now;
  chs_start (attempt->service->servers, server, now);
  chs_watch (server, &attempt->watch, ent_cost (&call->ent), now);
  lst_push_tail (&call->attempts, &attempt->node);
  call->attempt_count++;
  ctr_add (CTR_ATTEMPTS, 1);
  attempt->far
      = strcmp (server->failure_domain, gate->opts.failure_domain) != 0;
  if (attempt->far)
    ctr_add (CTR_ATTEMPTS_FAR, 1);
  attempt->out = gat_out_take (gate, server->address, false, false);
  if (attempt->out == NULL)
    {
      gat_attempt_lost (attempt, RSN_CONNECT_FAILED, RSN_NOT_RUN);
      return;
    }
  attempt->out->state = GAT_OUT_ATTEMPT;
  attempt->out->user.attempt = attempt;
  gat_attempt_send (attempt);
}

void
gat_attempt_lost (struct gat_attempt *attempt, enum rsn_refusal reason,
                  enum rsn_run run)
{
  struct gat_call *call = attempt->call;
  struct ent_failure failure = { .reason = reason, .run = run };
  bool passing = attempt->passing;

  slog (SLOG_INFO, "attempt failed id=%s server=%s reason=%s run=%s",
        gat_id (call->request), attempt->server->instance, rsn_name (reason),
        rsn_run_name (run));
  gat_attempt_done (attempt,
                    reason == RSN_CONNECT_FAILED ? CHS_FAILED : CHS_NO_BLAME);
  gat_attempt_free (attempt);
  if (passing)
    {
      gat_call_break (call);
      return;
    }
  gat_call_failed (call, &failure);
}

int
gat_attempt_head (struct gat_attempt *attempt, struct hm_head *head)
{
  struct gat_call *call = attempt->call;
  struct gate *gate = call->gate;
  clk_us now = lop_now (gate->loop);
  struct ent_told told;

  if (nh_get_answer (head->value[HM_NODE_ANSWER], &attempt->told) != SR_OK)
    return SR_EMALFORMED;
  attempt->has_head = true;
  attempt->head_at = now;
  hst_add (HST_ATTEMPT, now - attempt->started);
  attempt->head = *head;
  memset (head, 0, sizeof *head);
  told = (struct ent_told){ .wait_us = attempt->told.wait_us,
                            .pressure_us = attempt->told.pressure_us,
                            .fan_out
                            = (double)attempt->told.fan_out / NH_FAN_OUT_UNIT,
                            .load = (double)attempt->told.load / NH_LOAD_UNIT,
                            .inner = attempt->told.inner,
                            .answered = attempt->told.end == NH_ANSWERED,
                            .ran = now - attempt->started };
  if (told.ran > attempt->told.waited_us)
    told.ran -= attempt->told.waited_us;
  ent_learn (&gate->entry, &call->ent, &told, now);
  return SR_OK;
}

/* Begins to pass the answer on.  */
static void
gat_attempt_pass (struct gat_attempt *attempt)
{
  struct gat_request *request = attempt->call->request;
  const struct hm_head *head = &attempt->head;

  attempt->passing = true;
  gat_answer (request, head->status, head->lines.data, head->lines.len,
              head->body_len);
  gat_answer_body (request, attempt->answer.data, attempt->answer.len);
  buf_free (&attempt->answer);
}

int
gat_attempt_body (struct gat_attempt *attempt, const uint8_t *data, size_t len)
{
  struct gat_request *request = attempt->call->request;

  attempt->received += len;
  if (attempt->told.end != NH_ANSWERED)
    return SR_OK;
  if (!attempt->passing)
    {
      buf_append (&attempt->answer, data, len);
      if (attempt->answer.len < GAT_HOLD_BYTES)
        return SR_OK;
      gat_attempt_pass (attempt);
    }
  else
    gat_answer_body (request, data, len);
  if (gat_answer_full (request))
    lop_pause (&attempt->out->conn.io, true);
  return SR_OK;
}

/* The other node refused, or lost the server.  */
static void
gat_attempt_refused (struct gat_attempt *attempt)
{
  struct gat_call *call = attempt->call;
  struct ent_failure failure
      = { .reason = attempt->told.reason,
          .run = attempt->told.end == NH_NOT_RUN ? RSN_NOT_RUN : RSN_UNKNOWN,
          .retry_after_ms = attempt->told.retry_after_ms };

  slog (SLOG_INFO,
        "attempt refused id=%s server=%s reason=%s run=%s load=%u%%",
        gat_id (call->request), attempt->server->instance,
        rsn_name (failure.reason), rsn_run_name (failure.run),
        attempt->told.load);
  gat_attempt_done (attempt,
                    failure.run == RSN_NOT_RUN ? CHS_REFUSED : CHS_FAILED);
  gat_attempt_free (attempt);
  gat_call_failed (call, &failure);
}

void
gat_attempt_whole (struct gat_attempt *attempt)
{
  struct gat_call *call = attempt->call;
  struct gat_request *request = call->request;

  lop_pause (&attempt->out->conn.io, false);
  gat_out_give (attempt->out, attempt->body_done);
  attempt->out = NULL;
  if (attempt->told.end != NH_ANSWERED)
    {
      gat_attempt_refused (attempt);
      return;
    }
  if (!attempt->passing)
    {
      if (!hm_is_head (&request->head))
        attempt->head.body_len = (int64_t)attempt->answer.len;
      gat_attempt_pass (attempt);
    }
  gat_attempt_done (attempt, CHS_ANSWERED);
  gat_attempt_free (attempt);
  ent_ended (&call->ent, lop_now (call->gate->loop));
  ctr_add (CTR_ANSWERS, 1);
  hst_add (HST_CALL, lop_now (call->gate->loop) - request->arrived);
  request->kind = GAT_KIND_NONE;
  gat_call_free (call);
  gat_answer_end (request);
}

void
gat_attempt_drained (struct gat_attempt *attempt)
{
  gat_call_body (attempt->call);
}
