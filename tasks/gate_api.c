#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/slog.h"
#include "tasks/gate_state.h"
#include "wire/expo.h"

static void
gate_api_answer (struct gate_request *request, int status, const char *text)
{
  gate_answer_local (request, status, "", "application/json", text,
                     strlen (text));
}

void
gate_report_backend (struct gate *gate)
{
  const struct backend *backend = &gate->admit.backend;
  struct msg *msg = msg_new (MSG_BACKEND);

  if (gate_stop_done (gate, GATE_STOP_ANNOUNCE)
      || backend->state == BACKEND_DRAINING)
    msg->u.backend.state = MSG_BACKEND_DRAINING;
  else
    msg->u.backend.state
        = backend->state == BACKEND_UP ? MSG_BACKEND_UP : MSG_BACKEND_DOWN;
  memcpy (msg->u.backend.service, backend->last_heartbeat.service,
          sizeof msg->u.backend.service);
  msg->u.backend.slots = backend->last_heartbeat.slots;
  inbox_put (gate->control, msg);
}

void
gate_handle_backend_change (struct gate *gate, enum backend_change change)
{
  const struct backend *backend = &gate->admit.backend;

  switch (change)
    {
    case BACKEND_STALE:
    case BACKEND_UNCHANGED:
      return;
    case BACKEND_STARTED:
    case BACKEND_UPDATED:
      slog (SLOG_NOTICE,
            "backend server up id=%s service=%s address=%s slots=%u "
            "sequence=%llu born_ms=%llu",
            backend->last_heartbeat.id, backend->last_heartbeat.service,
            backend->last_heartbeat.address, backend->last_heartbeat.slots,
            (unsigned long long)backend->last_heartbeat.sequence,
            (unsigned long long)backend->last_heartbeat.started_ms);
      admit_set_slots (&gate->admit, backend->last_heartbeat.slots);
      break;
    case BACKEND_WITHDRAWN:
      slog (SLOG_NOTICE, "backend server takes no new work id=%s state=%s",
            backend->last_heartbeat.id,
            backend->state == BACKEND_DRAINING ? "leaving" : "lost");
      gate_serve_refuse_waiting (gate, backend->state == BACKEND_DRAINING
                                           ? REASON_DRAINING
                                           : REASON_NO_BACKEND);
      break;
    }
  gate_report_backend (gate);
}

/* Applies a heartbeat or a deregistration of the server ID.  What concerns a
   server that is not current is recorded, and acknowledged like the rest.  */
static void
gate_api_apply_backend (struct gate *gate, const char *call, const char *id,
                        uint64_t started_ms, enum backend_change change)
{
  if (change == BACKEND_STALE)
    slog (SLOG_INFO,
          "call of a server that is not current call=%s id=%s born_ms=%llu "
          "current=%s current_born_ms=%llu",
          call, id, (unsigned long long)started_ms,
          gate->admit.backend.last_heartbeat.id,
          (unsigned long long)gate->admit.backend.last_heartbeat.started_ms);
  gate_handle_backend_change (gate, change);
}

void
gate_mark_backend_lost (struct gate *gate, const char *reason)
{
  if (gate->admit.backend.state != BACKEND_UP)
    return;
  gate_crash_confirm (gate);
  slog (SLOG_WARNING, "backend server lost id=%s reason=%s heard_ms=%llu",
        gate->admit.backend.last_heartbeat.id, reason,
        (unsigned long long)((loop_now (gate->loop)
                              - gate->admit.backend.heartbeat_at)
                             / CLK_US_PER_MS));
  gate_handle_backend_change (gate, backend_mark_lost (&gate->admit.backend));
}

void
gate_api_begin (struct gate_request *request)
{
  request->kind = GATE_KIND_API;
  request->u.api_id = 0;
}

/* Sends a request to the control task, whose reply is passed to
   gate_api_handle_reply().  After GATE_STOP_CLOSE the control task may not
   reply any more, so the request is refused.  */
static void
gate_api_send (struct gate_request *request, enum msg_admin_op op,
               const struct api_apply *apply)
{
  struct gate *gate = request->gate;
  struct msg *msg;
  struct msg_admin *admin;

  if (gate_stop_done (gate, GATE_STOP_CLOSE))
    {
      gate_api_answer (request, 503, "{\"error\":\"stopping\"}");
      return;
    }
  msg = msg_new (MSG_ADMIN);
  admin = &msg->u.admin;
  admin->op = op;
  admin->request_id = ++gate->next_api_id;
  request->u.api_id = admin->request_id;
  list_push_tail (&gate->api_requests, &request->api_node);
  if (apply != NULL)
    {
      admin->base_version = apply->base_version;
      admin->numbering
          = (struct member_numbering){ .kind = MEMBER_NUMBERING_GIVEN,
                                       .number = apply->new_version };
      memcpy (admin->change_id, apply->change_id, sizeof admin->change_id);
      admin->text = malloc (request->body.len + 1);
      INVARIANT (admin->text != NULL);
      memcpy (admin->text, request->body.data, request->body.len);
      admin->text[request->body.len] = '\0';
      admin->len = request->body.len;
    }
  inbox_put (gate->control, msg);
}

/* Validates a new configuration before it is proposed.  */
static void
gate_api_apply (struct gate_request *request, const struct api_apply *apply)
{
  const struct api_adapter *adapter = request->gate->opts.adapter;
  struct model *model = NULL;
  char fault[API_FAULT_BYTES] = "";
  char text[GATE_TEXT_BYTES];
  int error = adapter->parse ((const char *)request->body.data,
                              request->body.len, &model, fault);

  model_unref (model);
  if (error == SR_OK)
    {
      gate_api_send (request, MSG_ADMIN_APPLY, apply);
      return;
    }
  slog (SLOG_WARNING, "change refused version=%llu base=%llu reason=\"%s\"",
        (unsigned long long)apply->new_version,
        (unsigned long long)apply->base_version, fault);
  snprintf (text, sizeof text, "{\"error\":\"%s\"}", fault);
  gate_api_answer (request, 400, text);
}

static void
gate_api_metrics (struct gate_request *request)
{
  struct buf text = { 0 };

  expo_metrics (&text);
  gate_answer_local (request, 200, "", "text/plain; version=0.0.4",
                     (const char *)text.data, text.len);
  buf_free (&text);
}

void
gate_api_run (struct gate_request *request)
{
  struct gate *gate = request->gate;
  struct backend *backend = &gate->admit.backend;
  struct api_call call;
  char text[GATE_TEXT_BYTES];

  gate->opts.adapter->decode (request->head.method, request->head.target,
                              request->head.value[HTTPMSG_BASE_VERSION],
                              (const char *)request->body.data,
                              request->body.len, &call);
  switch (call.kind)
    {
    case API_READINESS:
      gate_api_answer (request, gate_is_ready (gate) ? 200 : 503, "{}");
      break;
    case API_HEARTBEAT:
      if (gate_probe_hold (gate, &call.u.heartbeat))
        {
          gate_api_answer (request, 200, "{}");
          break;
        }
      if (backend_is_succeeded (backend, &call.u.heartbeat))
        gate_crash_confirm (gate);
      gate_api_apply_backend (
          gate, "heartbeat", call.u.heartbeat.id, call.u.heartbeat.started_ms,
          backend_apply_heartbeat (backend, &call.u.heartbeat,
                                   loop_now (gate->loop)));
      gate_api_answer (request, 200, "{}");
      break;
    case API_DEREGISTER:
      gate_api_apply_backend (
          gate, "deregister", call.u.deregister.id,
          call.u.deregister.started_ms,
          backend_apply_deregister (backend, &call.u.deregister));
      gate_api_answer (request, 200, "{}");
      break;
    case API_APPLY_CONFIG:
      gate_api_apply (request, &call.u.apply);
      break;
    case API_GET_CONFIG:
      gate_api_send (request, MSG_ADMIN_GET, NULL);
      break;
    case API_METRICS:
      gate_api_metrics (request);
      break;
    case API_UNKNOWN:
      gate_api_answer (request, 404, "{\"error\":\"no such call\"}");
      break;
    case API_MALFORMED:
      slog (SLOG_WARNING, "API request refused target=%s reason=\"%s\"",
            request->head.target, call.fault);
      snprintf (text, sizeof text, "{\"error\":\"%s\"}", call.fault);
      gate_api_answer (request, 400, text);
      break;
    }
}

void
gate_api_handle_reply (struct gate *gate, struct msg_admin_reply *reply)
{
  list_each (node, &gate->api_requests)
    {
      struct gate_request *request
          = list_entry (node, struct gate_request, api_node);
      int status = reply->http_status;

      if (request->u.api_id != reply->request_id)
        continue;
      list_remove (&request->api_node);
      /* The control task replies 409 to a change of another base version than
         the current one, and 404 while there is no configuration.  */
      if (status == 409)
        status = 412;
      else if (status == 404)
        status = 503;
      gate_api_answer (request, status, reply->text);
      return;
    }
}
