#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ctr.h"
#include "core/hist.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* A caller that leaves this close to the time limit did not change its
   mind.  */
#define GAT_NEAR_LIMIT_US clk_ms (60)

/* Time after the limit of a run from which on nobody can be waiting for it,
   nor an answer be on its way.  */
#define GAT_OVERDUE_US clk_s (1)

/* Early hints (RFC 8297), between nodes only.  */
#define GAT_STATUS_HINTS 103

static void gat_serve_end (struct gat_serve *serve);

double
gat_below_pressure (struct gate *gate)
{
  clk_us now = lop_now (gate->loop);
  double most = 0;

  lst_each (node, &gate->entry.services)
    {
      const struct ent_service *service
          = lst_entry (node, struct ent_service, node);
      double pressure
          = service->called_at != 0 ? ent_pressure (service, now) : 0;

      most = pressure > most ? pressure : most;
    }
  return most;
}

/* What this node tells the node at which the request arrived.  */
static void
gat_serve_told (struct gat_serve *serve, enum nh_end end,
                enum rsn_refusal reason, char text[NH_TEXT_BYTES])
{
  struct gate *gate = serve->gate;
  struct bsd_state *beside = &gate->beside;
  clk_us now = lop_now (gate->loop);
  uint32_t limit = adm_limit (beside->slots);
  struct nh_answer answer
      = { .end = end,
          .reason = reason,
          .waited_us
          = (uint32_t)(serve->dispatched != 0
                           ? serve->dispatched - serve->request->arrived
                           : 0),
          .wait_us = (uint32_t)bsd_call_wait (beside, now),
          .pressure_us = (uint32_t)gat_below_pressure (gate),
          .fan_out = (uint32_t)(bsd_fan_out (beside, now) * NH_FAN_OUT_UNIT),
          .inner = serve->bsd.inner };

  if (end == NH_NOT_RUN)
    answer.retry_after_ms = bsd_retry_after_ms (beside);
  if (limit > 0)
    answer.load = (adm_running (beside->slots) + adm_waiting (beside->slots))
                  * NH_LOAD_UNIT / limit;
  nh_put_answer (&answer, text);
}

static void
gat_serve_free (struct gat_serve *serve)
{
  gat_serve_end (serve);
  lop_cancel (&serve->overdue);
  lst_remove (&serve->node);
  free (serve);
}

/* Gives the slot back, or leaves the queue.  */
static void
gat_serve_end (struct gat_serve *serve)
{
  struct gate *gate = serve->gate;
  clk_us now = lop_now (gate->loop);

  if (serve->out != NULL)
    gat_out_give (serve->out, false);
  serve->out = NULL;
  if (serve->bsd.ticket.state != ADM_IDLE)
    adm_withdraw (gate->beside.slots, &serve->bsd.ticket, now);
  bsd_release (&gate->beside, &serve->bsd, PAC_OTHER, 0, now);
  serve->running = false;
}

void
gat_serve_gone (struct gat_serve *serve)
{
  struct gate *gate = serve->gate;
  bool held = serve->running;
  clk_us now = lop_now (gate->loop);

  /* A caller that leaves near the time limit has waited in vain.  */
  if (now + GAT_NEAR_LIMIT_US >= serve->bsd.deadline)
    bsd_release (&gate->beside, &serve->bsd, PAC_TIMED_OUT,
                 (clk_us)gat_below_pressure (gate), now);
  if (serve->running && !serve->has_head)
    slog (SLOG_INFO, "run cancelled id=%s reason=caller-left ran_ms=%llu",
          gat_id (serve->request),
          (unsigned long long)((now - serve->dispatched) / CLK_US_PER_MS));
  gat_serve_free (serve);
  if (held)
    gat_serve_run (gate);
}

/* Tells the other node that the request was not served here.  */
static void
gat_serve_refuse (struct gat_serve *serve, enum rsn_refusal reason,
                  enum rsn_run run)
{
  struct gat_request *request = serve->request;
  char lines[GAT_TEXT_BYTES];
  char told[NH_TEXT_BYTES];

  gat_serve_told (serve, run == RSN_NOT_RUN ? NH_NOT_RUN : NH_UNKNOWN, reason,
                  told);
  snprintf (lines, sizeof lines, "%s: %s\r\n", NH_ANSWER_FIELD, told);
  slog (SLOG_INFO,
        "run refused id=%s service=%s reason=%s run=%s waited_ms=%llu "
        "running=%u waiting=%u",
        gat_id (request), serve->bsd.service, rsn_name (reason),
        rsn_run_name (run),
        (unsigned long long)((lop_now (serve->gate->loop) - request->arrived)
                             / CLK_US_PER_MS),
        adm_running (serve->gate->beside.slots),
        adm_waiting (serve->gate->beside.slots));
  request->kind = GAT_KIND_NONE;
  gat_serve_free (serve);
  gat_answer_own (request, run == RSN_NOT_RUN ? 503 : 502, lines, "text/plain",
                  "", 0);
}

/* Writes the request's head to the backend server.  */
static void
gat_serve_send (struct gat_serve *serve)
{
  struct gat_request *request = serve->request;
  struct gate *gate = serve->gate;
  clk_us now = lop_now (gate->loop);
  uint64_t spent_ms = (now - request->arrived) / CLK_US_PER_MS;
  uint64_t wait_ms = strtoull (request->head.value[HM_DEADLINE_MS], NULL, 10);
  struct gat_fields fields
      = { .caller = request->head.value[HM_CALLER],
          .wait = clk_ms (wait_ms > spent_ms ? wait_ms - spent_ms : 1),
          .name = gate->opts.adapter->names->name[HM_EXPECT],
          .value = gate->beside.backend.last.id };

  gat_out_request (serve->out, request, &fields);
  gat_out_body (serve->out, request, &serve->body_sent, &serve->body_done);
}

/* The other node gives up at the time limit and closes its connection.  When
   that is not heard of, as after its end, only the server could end the run.
   An answer that is being read may take longer while the other node reads.  */
static void
gat_serve_overdue (struct lop_timer *timer)
{
  struct gat_serve *serve = lst_entry (timer, struct gat_serve, overdue);

  if (serve->has_head && !serve->request->in->last)
    lop_set (serve->gate->loop, timer,
             lop_now (serve->gate->loop) + GAT_OVERDUE_US);
  else
    gat_serve_lost (serve, RSN_DEADLINE_RUNNING, RSN_UNKNOWN);
}

/* The request holds a slot: it goes to the server.  */
static void
gat_serve_dispatch (struct gat_serve *serve)
{
  struct gate *gate = serve->gate;
  clk_us now = lop_now (gate->loop);
  enum bkd_state state = gate->beside.backend.state;

  if (state != BKD_UP)
    {
      gat_serve_refuse (serve,
                        state == BKD_LEAVING ? RSN_DRAINING : RSN_NO_BACKEND,
                        RSN_NOT_RUN);
      return;
    }
  serve->running = true;
  serve->dispatched = now;
  hst_add (HST_QUEUE, now - serve->request->arrived);
  bsd_started (&gate->beside, &serve->bsd, now);
  ctr_add (CTR_DISPATCHED, 1);
  serve->out = gat_out_take (gate, gate->beside.backend.last.address, true,
                             !serve->told.idempotent);
  if (serve->out == NULL)
    {
      gat_serve_refuse (serve, RSN_CONNECT_FAILED, RSN_NOT_RUN);
      return;
    }
  serve->out->state = GAT_OUT_SERVE;
  serve->out->user.serve = serve;
  serve->overdue.fire = gat_serve_overdue;
  lop_set (gate->loop, &serve->overdue, serve->bsd.deadline + GAT_OVERDUE_US);
  gat_serve_send (serve);
}

static void
gat_admission_timer (struct lop_timer *timer)
{
  gat_serve_run (lst_entry (timer, struct gate, admission));
}

void
gat_serve_run (struct gate *gate)
{
  clk_us wakeup;

  /* A refusal below may free a slot and come here again.  */
  if (gate->running_admission)
    return;
  gate->running_admission = true;
  for (;;)
    {
      struct adm_event event
          = adm_next (gate->beside.slots, lop_now (gate->loop));
      struct gat_serve *serve;

      if (event.kind == ADM_NOTHING)
        break;
      serve = lst_entry (event.ticket, struct gat_serve, bsd.ticket);
      if (event.kind == ADM_RUN)
        gat_serve_dispatch (serve);
      else
        gat_serve_refuse (serve, event.reason, RSN_NOT_RUN);
    }
  gate->running_admission = false;
  wakeup = adm_wakeup (gate->beside.slots);
  if (wakeup == 0)
    return;
  gate->admission.fire = gat_admission_timer;
  if (wakeup <= lop_now (gate->loop))
    wakeup = lop_now (gate->loop) + CLK_US_PER_MS;
  lop_set (gate->loop, &gate->admission, wakeup);
}

void
gat_serve_refuse_waiting (struct gate *gate, enum rsn_refusal reason)
{
  lst_each (node, &gate->serves)
    {
      struct gat_serve *serve = lst_entry (node, struct gat_serve, node);

      if (serve->admitted && !serve->running)
        gat_serve_refuse (serve, reason, RSN_NOT_RUN);
    }
}

/* The connection to the server has ended without a whole answer.  */
void
gat_serve_lost (struct gat_serve *serve, enum rsn_refusal reason,
                enum rsn_run run)
{
  struct gate *gate = serve->gate;

  if (reason == RSN_CONNECT_FAILED)
    gat_backend_lost (gate, "connect-failed");
  if (serve->request->head_done)
    {
      struct gat_request *request = serve->request;

      slog (SLOG_INFO, "answer broken off id=%s reason=%s", gat_id (request),
            rsn_name (reason));
      request->kind = GAT_KIND_NONE;
      gat_serve_free (serve);
      gat_answer_break (request);
    }
  else
    gat_serve_refuse (serve, reason, run);
  gat_serve_run (gate);
}

/* Whether the server made the answer.  A success without the server's proof,
   or in an encoding that nobody asked for, is not the server's.  */
static bool
gat_answer_sound (const struct hm_head *head)
{
  if (head->value[HM_CONTENT_ENCODING][0] != '\0')
    return false;
  return head->status / 100 != 2 || head->value[HM_SEAL][0] != '\0';
}

int
gat_serve_answer_head (struct gat_serve *serve, struct hm_head *head)
{
  struct gat_request *request = serve->request;
  struct gate *gate = serve->gate;
  struct buf lines = { 0 };
  char told[NH_TEXT_BYTES];
  bool not_run = head->value[HM_NOT_RUN][0] != '\0' || head->status == 421;

  serve->has_head = true;
  serve->status = head->status;
  if (!not_run && !gat_answer_sound (head))
    return SR_EMALFORMED;
  if (not_run)
    {
      /* Not passed on; the rest of the answer is read and dropped.  */
      slog (SLOG_INFO, "server refused id=%s status=%d", gat_id (request),
            head->status);
      serve->refused = true;
      if (head->status == 421)
        gat_backend_lost (gate, "another-server");
      return SR_OK;
    }
  gat_serve_told (serve, NH_ANSWERED, RSN_NONE, told);
  buf_append (&lines, head->lines.data, head->lines.len);
  hm_add (&lines, NH_ANSWER_FIELD, told);
  gat_answer (request, head->status, lines.data, lines.len, head->body_len);
  buf_free (&lines);
  return SR_OK;
}

int
gat_serve_answer_body (struct gat_serve *serve, const uint8_t *data,
                       size_t len)
{
  struct gat_request *request = serve->request;

  if (serve->refused)
    return SR_OK;
  gat_answer_body (request, data, len);
  if (gat_answer_full (request))
    lop_pause (&serve->out->conn.io, true);
  return SR_OK;
}

void
gat_serve_room (struct gat_serve *serve)
{
  if (serve->out != NULL)
    lop_pause (&serve->out->conn.io, false);
}

void
gat_serve_answer_whole (struct gat_serve *serve)
{
  struct gat_request *request = serve->request;
  struct gate *gate = serve->gate;
  clk_us now = lop_now (gate->loop);

  lop_pause (&serve->out->conn.io, false);
  gat_out_give (serve->out, serve->body_done);
  serve->out = NULL;
  if (serve->refused)
    gat_serve_refuse (serve, RSN_SERVER_REFUSED, RSN_NOT_RUN);
  else
    {
      hst_add (HST_RUN, now - serve->dispatched);
      bsd_ended (&gate->beside, &serve->bsd, now - serve->dispatched);
      adm_finish (gate->beside.slots, &serve->bsd.ticket, true, now);
      bsd_release (&gate->beside, &serve->bsd,
                   serve->status / 100 == 5 ? PAC_TIMED_OUT : PAC_ANSWERED,
                   (clk_us)gat_below_pressure (gate), now);
      request->kind = GAT_KIND_NONE;
      gat_serve_free (serve);
      gat_answer_end (request);
    }
  gat_serve_run (gate);
}

/* The other node will not wait for a request that does not run yet.  */
void
gat_serve_withdraw (struct gat_serve *serve)
{
  struct gate *gate = serve->gate;

  if (serve->running)
    return;
  gat_serve_refuse (serve, RSN_CANCELLED, RSN_NOT_RUN);
  gat_serve_run (gate);
}

void
gat_serve_drained (struct gat_serve *serve)
{
  gat_serve_body (serve);
}

static void
gat_serve_admit (struct gat_serve *serve)
{
  struct gate *gate = serve->gate;
  struct bsd_result result
      = bsd_admit (&gate->beside, &serve->bsd, lop_now (gate->loop));

  serve->admitted = true;
  switch (result.kind)
    {
    case BSD_RUN:
      gat_serve_dispatch (serve);
      break;
    case BSD_WAIT:
      gat_serve_run (gate);
      break;
    case BSD_REFUSE:
      gat_serve_refuse (serve, result.reason, RSN_NOT_RUN);
      break;
    }
}

void
gat_serve_body (struct gat_serve *serve)
{
  struct gat_request *request = serve->request;

  if (!serve->admitted)
    {
      if (request->body_whole || request->body.len >= GAT_START_BYTES)
        gat_serve_admit (serve);
      return;
    }
  if (serve->out == NULL)
    return;
  gat_out_body (serve->out, request, &serve->body_sent, &serve->body_done);
  if (request->body.len >= GAT_KEEP_BYTES)
    buf_drop (&request->body, serve->body_sent);
  gat_body_room (request);
}

/* Tells the other node that the route is one of calls, if it does not know.
   Calls that never get an answer would not be known as such otherwise, and the
   requests that make them not be limited.  */
static void
gat_serve_tell_route (struct gat_serve *serve)
{
  struct gat_request *request = serve->request;
  struct buf *out = &request->in->conn.out;
  char told[NH_TEXT_BYTES];

  if (!serve->bsd.inner || serve->told.inner
      || lst_first (&request->in->requests) != &request->node)
    return;
  gat_serve_told (serve, NH_UNKNOWN, RSN_NONE, told);
  hm_status_line (out, GAT_STATUS_HINTS);
  hm_add (out, NH_ANSWER_FIELD, told);
  buf_append (out, "\r\n", 2);
  hcn_flush (&request->in->conn);
}

void
gat_serve_head (struct gat_request *request)
{
  struct gate *gate = request->gate;
  struct gat_serve *serve = calloc (1, sizeof *serve);
  uint64_t wait_ms = strtoull (request->head.value[HM_DEADLINE_MS], NULL, 10);

  INVARIANT (serve != NULL);
  serve->gate = gate;
  serve->request = request;
  lst_push_tail (&gate->serves, &serve->node);
  request->kind = GAT_KIND_SERVE;
  request->u.serve = serve;
  ctr_add (CTR_SERVES, 1);
  if (nh_get_request (request->head.value[HM_NODE_REQUEST], &serve->told)
      != SR_OK)
    {
      gat_serve_refuse (serve, RSN_MALFORMED, RSN_NOT_RUN);
      return;
    }
  memcpy (serve->bsd.service, serve->told.service, sizeof serve->bsd.service);
  serve->bsd.importance = (uint8_t)serve->told.importance;
  serve->bsd.route = serve->told.route;
  serve->bsd.haste = (double)serve->told.haste / NH_HASTE_UNIT;
  serve->bsd.inner = org_note (&gate->beside.origins, serve->told.route,
                               request->head.value[HM_CALLER],
                               serve->told.inner ? ORG_SERVERS : ORG_CALLERS)
                     == ORG_SERVERS;
  serve->bsd.arrived = request->arrived;
  gat_serve_tell_route (serve);
  if (serve->told.timeout_ms < wait_ms)
    wait_ms = serve->told.timeout_ms;
  serve->bsd.deadline = request->arrived + clk_ms (wait_ms);
  if (serve->told.target_ms != 0)
    serve->bsd.target = request->arrived + clk_ms (serve->told.target_ms);
}
