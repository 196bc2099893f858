#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ctr.h"
#include "core/slog.h"
#include "tasks/gate_state.h"
#include "wire/expo.h"

static void
gat_api_answer (struct gat_request *request, int status, const char *text)
{
  gat_answer_own (request, status, "", "application/json", text,
                  strlen (text));
}

void
gat_report_backend (struct gate *gate)
{
  const struct bkd *backend = &gate->beside.backend;
  struct msg *msg = msg_new (MSG_BACKEND);

  if (gat_stop_done (gate, GAT_STOP_ANNOUNCE) || backend->state == BKD_LEAVING)
    msg->u.backend.state = MSG_BACKEND_DRAINING;
  else
    msg->u.backend.state
        = backend->state == BKD_UP ? MSG_BACKEND_UP : MSG_BACKEND_DOWN;
  memcpy (msg->u.backend.service, backend->last.service,
          sizeof msg->u.backend.service);
  msg->u.backend.slots = backend->last.slots;
  inb_put (gate->control, msg);
}

void
gat_backend_changed (struct gate *gate, enum bkd_change change)
{
  const struct bkd *backend = &gate->beside.backend;

  switch (change)
    {
    case BKD_STALE:
    case BKD_SAME:
      return;
    case BKD_STARTED:
    case BKD_UPDATED:
      slog (SLOG_NOTICE,
            "backend server up id=%s service=%s address=%s slots=%u "
            "sequence=%llu born_ms=%llu",
            backend->last.id, backend->last.service, backend->last.address,
            backend->last.slots, (unsigned long long)backend->last.sequence,
            (unsigned long long)backend->last.born_ms);
      bsd_configure (&gate->beside, backend->last.slots);
      break;
    case BKD_LEFT:
      slog (SLOG_NOTICE, "backend server takes no new work id=%s state=%s",
            backend->last.id,
            backend->state == BKD_LEAVING ? "leaving" : "lost");
      gat_serve_refuse_waiting (
          gate, backend->state == BKD_LEAVING ? RSN_DRAINING : RSN_NO_BACKEND);
      break;
    }
  gat_report_backend (gate);
}

void
gat_backend_lost (struct gate *gate, const char *why)
{
  if (gate->beside.backend.state != BKD_UP)
    return;
  slog (
      SLOG_WARNING, "backend server lost id=%s reason=%s heard_ms=%llu",
      gate->beside.backend.last.id, why,
      (unsigned long long)((lop_now (gate->loop) - gate->beside.backend.heard)
                           / CLK_US_PER_MS));
  gat_backend_changed (gate, bkd_lost (&gate->beside.backend));
}

void
gat_api_head (struct gat_request *request)
{
  request->kind = GAT_KIND_API;
  request->u.api = 0;
}

/* Asks the control task; the answer comes through gat_api_reply().  One that
   was told to stop may not answer.  */
static void
gat_api_ask (struct gat_request *request, enum msg_admin_op op,
             const struct api_apply *apply)
{
  struct gate *gate = request->gate;
  struct msg *msg;
  struct msg_admin *admin;

  if (gat_stop_done (gate, GAT_STOP_CLOSE))
    {
      gat_api_answer (request, 503, "{\"error\":\"stopping\"}");
      return;
    }
  msg = msg_new (MSG_ADMIN);
  admin = &msg->u.admin;
  admin->op = op;
  admin->request = ++gate->next_api;
  request->u.api = admin->request;
  lst_push_tail (&gate->apis, &request->api_node);
  if (apply != NULL)
    {
      admin->base = apply->base;
      admin->number = apply->number;
      memcpy (admin->change_id, apply->change_id, sizeof admin->change_id);
      admin->text = malloc (request->body.len + 1);
      INVARIANT (admin->text != NULL);
      memcpy (admin->text, request->body.data, request->body.len);
      admin->text[request->body.len] = '\0';
      admin->len = request->body.len;
    }
  inb_put (gate->control, msg);
}

/* A change is checked here, before it is proposed.  */
static void
gat_api_apply (struct gat_request *request, const struct api_apply *apply)
{
  const struct api_adapter *adapter = request->gate->opts.adapter;
  struct mdl *model = NULL;
  char fault[API_FAULT_BYTES] = "";
  char text[GAT_TEXT_BYTES];
  int error = adapter->parse ((const char *)request->body.data,
                              request->body.len, &model, fault);

  mdl_unref (model);
  if (error == SR_OK)
    {
      gat_api_ask (request, MSG_ADMIN_APPLY, apply);
      return;
    }
  slog (SLOG_WARNING, "change refused version=%llu base=%llu reason=\"%s\"",
        (unsigned long long)apply->number, (unsigned long long)apply->base,
        fault);
  snprintf (text, sizeof text, "{\"error\":\"%s\"}", fault);
  gat_api_answer (request, 400, text);
}

static void
gat_api_metrics (struct gat_request *request)
{
  struct buf text = { 0 };

  exp_metrics (&text);
  gat_answer_own (request, 200, "", "text/plain; version=0.0.4",
                  (const char *)text.data, text.len);
  buf_free (&text);
}

void
gat_api_run (struct gat_request *request)
{
  struct gate *gate = request->gate;
  struct bkd *backend = &gate->beside.backend;
  struct api_call call;
  char text[GAT_TEXT_BYTES];

  gate->opts.adapter->decode (request->head.method, request->head.target,
                              request->head.value[HM_BASE_VERSION],
                              (const char *)request->body.data,
                              request->body.len, &call);
  switch (call.kind)
    {
    case API_READY:
      gat_api_answer (request, gat_ready (gate) ? 200 : 503, "{}");
      break;
    case API_BEAT:
      gat_backend_changed (
          gate, bkd_beat (backend, &call.u.beat, lop_now (gate->loop)));
      gat_api_answer (request, 200, "{}");
      break;
    case API_LEAVE:
      gat_backend_changed (gate, bkd_leave (backend, &call.u.leave));
      gat_api_answer (request, 200, "{}");
      break;
    case API_APPLY:
      gat_api_apply (request, &call.u.apply);
      break;
    case API_GET:
      gat_api_ask (request, MSG_ADMIN_GET, NULL);
      break;
    case API_METRICS:
      gat_api_metrics (request);
      break;
    case API_UNKNOWN:
      gat_api_answer (request, 404, "{\"error\":\"no such call\"}");
      break;
    case API_MALFORMED:
      slog (SLOG_WARNING, "call refused target=%s reason=\"%s\"",
            request->head.target, call.fault);
      snprintf (text, sizeof text, "{\"error\":\"%s\"}", call.fault);
      gat_api_answer (request, 400, text);
      break;
    }
}

void
gat_api_reply (struct gate *gate, struct msg_admin_reply *reply)
{
  lst_each (node, &gate->apis)
    {
      struct gat_request *request
          = lst_entry (node, struct gat_request, api_node);
      int status = reply->http_status;

      if (request->u.api != reply->request)
        continue;
      lst_remove (&request->api_node);
      /* The base of the change is not in force.  */
      if (status == 409)
        status = 412;
      else if (status == 404)
        status = 503;
      gat_api_answer (request, status, reply->text);
      return;
    }
}
