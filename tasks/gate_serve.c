#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/hist.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* A caller that leaves this close to the time limit did not change its
   mind.  */
#define GATE_NEAR_LIMIT_US clk_ms (60)

/* Time after the limit of a run from which on nobody can be waiting for it,
   nor an answer be on its way.  */
#define GATE_OVERDUE_US clk_s (1)

/* Early hints (RFC 8297), between nodes only.  */
#define GATE_STATUS_HINTS 103

static void gate_serve_end (struct gate_serve *serve);

double
gate_below_pressure (struct gate *gate)
{
  clk_us now = loop_now (gate->loop);
  double most = 0;

  list_each (node, &gate->entry.services)
    {
      const struct dispatch_service *service
          = list_entry (node, struct dispatch_service, node);
      double pressure = service->called_at != 0
                            ? dispatch_downstream_wait_us (service, now)
                            : 0;

      most = pressure > most ? pressure : most;
    }
  return most;
}

/* What this node tells the node at which the request arrived.  */
static void
gate_serve_told (struct gate_serve *serve, enum nodehdr_end end,
                 enum reason_refusal reason, char text[NODEHDR_TEXT_BYTES])
{
  struct gate *gate = serve->gate;
  struct admit_state *beside = &gate->beside;
  clk_us now = loop_now (gate->loop);
  uint32_t limit = slots_limit (beside->slots);
  struct nodehdr_answer answer
      = { .end = end,
          .reason = reason,
          .waited_us
          = (uint32_t)(serve->dispatched != 0
                           ? serve->dispatched - serve->request->arrived
                           : 0),
          .wait_us = (uint32_t)admit_internal_wait_us (beside, now),
          .pressure_us = (uint32_t)gate_below_pressure (gate),
          .fake_announce_out
          = (uint32_t)(admit_fan_out (beside, now) * NODEHDR_FAN_OUT_UNIT),
          .inner = serve->admit.internal };

  if (end == NODEHDR_NOT_RUN)
    answer.retry_after_ms = admit_retry_after_ms (beside);
  if (limit > 0)
    answer.load
        = (slots_running (beside->slots) + slots_waiting (beside->slots))
          * NODEHDR_LOAD_UNIT / limit;
  nodehdr_put_answer (&answer, text);
}

static void
gate_serve_free (struct gate_serve *serve)
{
  gate_serve_end (serve);
  loop_cancel (&serve->overdue);
  list_remove (&serve->node);
  free (serve);
}

/* Gives the slot back, or leaves the queue.  */
static void
gate_serve_end (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;
  clk_us now = loop_now (gate->loop);

  if (serve->out != NULL)
    gate_out_give (serve->out, false);
  serve->out = NULL;
  if (serve->admit.ticket.state != SLOTS_IDLE)
    slots_withdraw (gate->beside.slots, &serve->admit.ticket, now);
  admit_release (&gate->beside, &serve->admit, AIMD_IGNORED, 0, now);
  serve->running = false;
}

void
gate_serve_gone (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;
  bool held = serve->running;
  clk_us now = loop_now (gate->loop);

  /* A caller that leaves near the time limit has waited in vain.  */
  if (now + GATE_NEAR_LIMIT_US >= serve->admit.deadline)
    admit_release (&gate->beside, &serve->admit, AIMD_FAILED,
                   (clk_us)gate_below_pressure (gate), now);
  if (serve->running && !serve->has_head)
    slog (SLOG_INFO, "run cancelled id=%s reason=caller-left ran_ms=%llu",
          gate_id (serve->request),
          (unsigned long long)((now - serve->dispatched) / CLK_US_PER_MS));
  gate_serve_free (serve);
  if (held)
    gate_serve_run (gate);
}

/* Tells the other node that the request was not served here.  */
static void
gate_serve_refuse (struct gate_serve *serve, enum reason_refusal reason,
                   enum reason_run run)
{
  struct gate_request *request = serve->request;
  char lines[GATE_TEXT_BYTES];
  char told[NODEHDR_TEXT_BYTES];

  gate_serve_told (serve,
                   run == REASON_NOT_RUN ? NODEHDR_NOT_RUN : NODEHDR_UNKNOWN,
                   reason, told);
  snprintf (lines, sizeof lines, "%s: %s\r\n", NODEHDR_ANSWER_FIELD, told);
  slog (SLOG_INFO,
        "run refused id=%s service=%s reason=%s run=%s waited_ms=%llu "
        "running=%u waiting=%u",
        gate_id (request), serve->admit.service, reason_name (reason),
        reason_run_name (run),
        (unsigned long long)((loop_now (serve->gate->loop) - request->arrived)
                             / CLK_US_PER_MS),
        slots_running (serve->gate->beside.slots),
        slots_waiting (serve->gate->beside.slots));
  request->kind = GATE_KIND_NONE;
  gate_serve_free (serve);
  gate_answer_own (request, run == REASON_NOT_RUN ? 503 : 502, lines,
                   "text/plain", "", 0);
}

/* Writes the request's head to the backend server.  */
static void
gate_serve_send (struct gate_serve *serve)
{
  struct gate_request *request = serve->request;
  struct gate *gate = serve->gate;
  clk_us now = loop_now (gate->loop);
  uint64_t spent_ms = (now - request->arrived) / CLK_US_PER_MS;
  uint64_t wait_ms
      = strtoull (request->head.value[HTTPMSG_DEADLINE_MS], NULL, 10);
  struct gate_fields fields
      = { .caller = request->head.value[HTTPMSG_CALLER],
          .wait = clk_ms (wait_ms > spent_ms ? wait_ms - spent_ms : 1),
          .name = gate->opts.adapter->names->name[HTTPMSG_EXPECT],
          .value = gate->beside.backend.last.id };

  gate_out_request (serve->out, request, &fields);
  gate_out_body (serve->out, request, &serve->body_sent, &serve->body_done);
}

/* The other node gives up at the time limit and closes its connection.  When
   that is not heard of, as after its end, only the server could end the run.
   An answer that is being read may take longer while the other node reads.  */
static void
gate_serve_overdue (struct loop_timer *timer)
{
  struct gate_serve *serve = list_entry (timer, struct gate_serve, overdue);

  if (serve->has_head && !serve->request->in->last)
    loop_set (serve->gate->loop, timer,
              loop_now (serve->gate->loop) + GATE_OVERDUE_US);
  else
    gate_serve_lost (serve, REASON_DEADLINE_RUNNING, REASON_RUN_UNKNOWN);
}

/* The request holds a slot: it goes to the server.  */
static void
gate_serve_dispatch (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;
  clk_us now = loop_now (gate->loop);
  enum backend_state state = gate->beside.backend.state;

  if (state != BACKEND_UP)
    {
      gate_serve_refuse (serve,
                         state == BACKEND_DRAINING ? REASON_DRAINING
                                                   : REASON_NO_BACKEND,
                         REASON_NOT_RUN);
      return;
    }
  serve->running = true;
  serve->dispatched = now;
  hist_add (HIST_QUEUE, now - serve->request->arrived);
  admit_record_start (&gate->beside, &serve->admit, now);
  counter_add (COUNTER_DISPATCHED, 1);
  serve->out = gate_out_take (gate, gate->beside.backend.last.address, true,
                              !serve->told.idempotent);
  if (serve->out == NULL)
    {
      gate_serve_refuse (serve, REASON_CONNECT_FAILED, REASON_NOT_RUN);
      return;
    }
  serve->out->state = GATE_OUT_SERVE;
  serve->out->user.serve = serve;
  serve->overdue.fire = gate_serve_overdue;
  loop_set (gate->loop, &serve->overdue,
            serve->admit.deadline + GATE_OVERDUE_US);
  gate_serve_send (serve);
}

static void
gate_admission_timer (struct loop_timer *timer)
{
  gate_serve_run (list_entry (timer, struct gate, admission));
}

void
gate_serve_run (struct gate *gate)
{
  clk_us wakeup;

  /* A refusal below may free a slot and come here again.  */
  if (gate->running_admission)
    return;
  gate->running_admission = true;
  for (;;)
    {
      struct slots_event event
          = slots_next (gate->beside.slots, loop_now (gate->loop));
      struct gate_serve *serve;

      if (event.kind == SLOTS_NOTHING)
        break;
      serve = list_entry (event.ticket, struct gate_serve, admit.ticket);
      if (event.kind == SLOTS_RUN)
        gate_serve_dispatch (serve);
      else
        gate_serve_refuse (serve, event.reason, REASON_NOT_RUN);
    }
  gate->running_admission = false;
  wakeup = slots_wakeup (gate->beside.slots);
  if (wakeup == 0)
    return;
  gate->admission.fire = gate_admission_timer;
  if (wakeup <= loop_now (gate->loop))
    wakeup = loop_now (gate->loop) + CLK_US_PER_MS;
  loop_set (gate->loop, &gate->admission, wakeup);
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

/* The connection to the server has ended without a whole answer.  */
void
gate_serve_lost (struct gate_serve *serve, enum reason_refusal reason,
                 enum reason_run run)
{
  struct gate *gate = serve->gate;

  if (reason == REASON_CONNECT_FAILED)
    gate_backend_lost (gate, "connect-failed");
  if (serve->request->head_done)
    {
      struct gate_request *request = serve->request;

      slog (SLOG_INFO, "answer broken off id=%s reason=%s", gate_id (request),
            reason_name (reason));
      request->kind = GATE_KIND_NONE;
      gate_serve_free (serve);
      gate_answer_break (request);
    }
  else
    gate_serve_refuse (serve, reason, run);
  gate_serve_run (gate);
}

/* Whether the server made the answer.  A success without the server's proof,
   or in an encoding that nobody asked for, is not the server's.  */
static bool
gate_answer_sound (const struct httpmsg_head *head)
{
  if (head->value[HTTPMSG_CONTENT_ENCODING][0] != '\0')
    return false;
  return head->status / 100 != 2 || head->value[HTTPMSG_SEAL][0] != '\0';
}

int
gate_serve_answer_head (struct gate_serve *serve, struct httpmsg_head *head)
{
  struct gate_request *request = serve->request;
  struct gate *gate = serve->gate;
  struct buf lines = { 0 };
  char told[NODEHDR_TEXT_BYTES];
  bool not_run
      = head->value[HTTPMSG_NOT_RUN][0] != '\0' || head->status == 421;

  serve->has_head = true;
  serve->status = head->status;
  if (!not_run && !gate_answer_sound (head))
    return SR_EMALFORMED;
  if (not_run)
    {
      /* Not passed on; the rest of the answer is read and dropped.  */
      slog (SLOG_INFO, "server refused id=%s status=%d", gate_id (request),
            head->status);
      serve->refused = true;
      if (head->status == 421)
        gate_backend_lost (gate, "another-server");
      return SR_OK;
    }
  gate_serve_told (serve, NODEHDR_ANSWERED, REASON_NONE, told);
  buf_append (&lines, head->lines.data, head->lines.len);
  httpmsg_add (&lines, NODEHDR_ANSWER_FIELD, told);
  gate_answer (request, head->status, lines.data, lines.len, head->body_len);
  buf_free (&lines);
  return SR_OK;
}

int
gate_serve_answer_body (struct gate_serve *serve, const uint8_t *data,
                        size_t len)
{
  struct gate_request *request = serve->request;

  if (serve->refused)
    return SR_OK;
  gate_answer_body (request, data, len);
  if (gate_answer_full (request))
    loop_pause (&serve->out->conn.io, true);
  return SR_OK;
}

void
gate_serve_room (struct gate_serve *serve)
{
  if (serve->out != NULL)
    loop_pause (&serve->out->conn.io, false);
}

void
gate_serve_answer_whole (struct gate_serve *serve)
{
  struct gate_request *request = serve->request;
  struct gate *gate = serve->gate;
  clk_us now = loop_now (gate->loop);

  loop_pause (&serve->out->conn.io, false);
  gate_out_give (serve->out, serve->body_done);
  serve->out = NULL;
  if (serve->refused)
    gate_serve_refuse (serve, REASON_SERVER_REFUSED, REASON_NOT_RUN);
  else
    {
      hist_add (HIST_RUN, now - serve->dispatched);
      admit_record_end (&gate->beside, &serve->admit, now - serve->dispatched);
      slots_finish (gate->beside.slots, &serve->admit.ticket, true, now);
      admit_release (&gate->beside, &serve->admit,
                     serve->status / 100 == 5 ? AIMD_FAILED : AIMD_ANSWERED,
                     (clk_us)gate_below_pressure (gate), now);
      request->kind = GATE_KIND_NONE;
      gate_serve_free (serve);
      gate_answer_end (request);
    }
  gate_serve_run (gate);
}

/* The other node will not wait for a request that does not run yet.  */
void
gate_serve_withdraw (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;

  if (serve->running)
    return;
  gate_serve_refuse (serve, REASON_CANCELLED, REASON_NOT_RUN);
  gate_serve_run (gate);
}

void
gate_serve_drained (struct gate_serve *serve)
{
  gate_serve_body (serve);
}

static void
gate_serve_admit (struct gate_serve *serve)
{
  struct gate *gate = serve->gate;
  struct admit_result result
      = admit_run_chain (&gate->beside, &serve->admit, loop_now (gate->loop));

  serve->admitted = true;
  switch (result.kind)
    {
    case ADMIT_RUN:
      gate_serve_dispatch (serve);
      break;
    case ADMIT_WAIT:
      gate_serve_run (gate);
      break;
    case ADMIT_REFUSE:
      gate_serve_refuse (serve, result.reason, REASON_NOT_RUN);
      break;
    }
}

void
gate_serve_body (struct gate_serve *serve)
{
  struct gate_request *request = serve->request;

  if (!serve->admitted)
    {
      if (request->body_whole || request->body.len >= GATE_START_BYTES)
        gate_serve_admit (serve);
      return;
    }
  if (serve->out == NULL)
    return;
  gate_out_body (serve->out, request, &serve->body_sent, &serve->body_done);
  if (request->body.len >= GATE_KEEP_BYTES)
    buf_drop_before (&request->body, serve->body_sent);
  gate_body_room (request);
}

/* Tells the other node that the route is one of calls, if it does not know.
   Calls that never get an answer would not be known as such otherwise, and the
   requests that make them not be limited.  */
static void
gate_serve_tell_route (struct gate_serve *serve)
{
  struct gate_request *request = serve->request;
  struct buf *out = &request->in->conn.out;
  char told[NODEHDR_TEXT_BYTES];

  if (!serve->admit.internal || serve->told.inner
      || list_first (&request->in->requests) != &request->node)
    return;
  gate_serve_told (serve, NODEHDR_UNKNOWN, REASON_NONE, told);
  httpmsg_status_line (out, GATE_STATUS_HINTS);
  httpmsg_add (out, NODEHDR_ANSWER_FIELD, told);
  buf_append (out, "\r\n", 2);
  hconn_flush (&request->in->conn);
}

void
gate_serve_head (struct gate_request *request)
{
  struct gate *gate = request->gate;
  struct gate_serve *serve = calloc (1, sizeof *serve);
  uint64_t wait_ms
      = strtoull (request->head.value[HTTPMSG_DEADLINE_MS], NULL, 10);

  INVARIANT (serve != NULL);
  serve->gate = gate;
  serve->request = request;
  list_push_tail (&gate->serves, &serve->node);
  request->kind = GATE_KIND_SERVE;
  request->u.serve = serve;
  counter_add (COUNTER_SERVES, 1);
  if (nodehdr_get_request (request->head.value[HTTPMSG_NODE_REQUEST],
                           &serve->told)
      != SR_OK)
    {
      gate_serve_refuse (serve, REASON_MALFORMED, REASON_NOT_RUN);
      return;
    }
  memcpy (serve->admit.service, serve->told.service,
          sizeof serve->admit.service);
  serve->admit.importance = (uint8_t)serve->told.importance;
  serve->admit.route = serve->told.route;
  serve->admit.timeout_fraction
      = (double)serve->told.haste / NODEHDR_HASTE_UNIT;
  serve->admit.internal
      = origin_record_request (&gate->beside.origins, serve->told.route,
                               request->head.value[HTTPMSG_CALLER],
                               serve->told.inner ? ORIGIN_SERVERS
                                                 : ORIGIN_CALLERS)
        == ORIGIN_SERVERS;
  serve->admit.arrived = request->arrived;
  gate_serve_tell_route (serve);
  if (serve->told.timeout_ms < wait_ms)
    wait_ms = serve->told.timeout_ms;
  serve->admit.deadline = request->arrived + clk_ms (wait_ms);
  if (serve->told.target_ms != 0)
    serve->admit.target_deadline
        = request->arrived + clk_ms (serve->told.target_ms);
}
