#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/slog.h"
#include "tasks/gate_state.h"

/* A node that starts after its backend server sends it one health check, so
   that it need not wait for the next heartbeat.  The check also tells whether
   the server is leaving: the node has forgotten what the server said before,
   and a heartbeat from before that may still arrive.  */

/* Time for connecting and for the head of the answer.  */
#define GATE_PROBE_TIMEOUT_US clk_s (2)
/* Time after the start of the node within which a heartbeat may be older than
   the start: heartbeats may be late by some seconds.  */
#define GATE_PROBE_DOUBT_US clk_s (5)

static bool
gate_probe_in_doubt (const struct gate *gate)
{
  return loop_now (gate->loop)
         < gate->dispatch.opts.started_at + GATE_PROBE_DOUBT_US;
}

/* Returns the path of the health check, or NULL when it is not known.  */
static const char *
gate_probe_path (const struct gate *gate)
{
  const struct model *model = gate->dispatch.model;
  const struct route_service *service;

  if (model == NULL || model->routes == NULL
      || gate->opts.backend_address == NULL
      || gate->opts.backend_address[0] == '\0')
    return NULL;
  service = route_find_service (model->routes, gate->opts.service);
  return service != NULL && service->health_path[0] == '/'
             ? service->health_path
             : NULL;
}

/* Sends a health check unless one is in progress.  */
static void
gate_probe_send (struct gate *gate, const char *path)
{
  struct gate_out_opts opts = { .address = gate->opts.backend_address,
                                .to_server = true,
                                .fresh = true,
                                .request_id = "" };
  struct gate_out *outbound;
  struct buf *buf;

  if (gate->probe.outbound != NULL)
    return;
  outbound = gate_out_acquire (gate, &opts);
  if (outbound == NULL)
    return;
  gate->probe.outbound = outbound;
  outbound->state = GATE_OUT_PROBE;
  loop_set_timer (gate->loop, &outbound->timer,
                  loop_now (gate->loop) + GATE_PROBE_TIMEOUT_US);
  buf = &outbound->conn.send_buf;
  httpmsg_add_request_line (buf, "GET", path);
  httpmsg_add_field (buf, "Host", gate->opts.backend_address);
  httpmsg_add_field (buf, "Connection", "close");
  buf_append (buf, "\r\n", 2);
  hconn_flush (&outbound->conn);
}

void
gate_probe_start (struct gate *gate)
{
  const char *path = gate_probe_path (gate);

  if (gate->probe.started || path == NULL)
    return;
  gate->probe.started = true;
  gate_probe_send (gate, path);
}

bool
gate_probe_hold (struct gate *gate, const struct api_heartbeat *heartbeat)
{
  const char *path = gate_probe_path (gate);

  if (heartbeat->state != API_SERVER_READY || path == NULL
      || strcmp (heartbeat->id, gate->probe.failed_id) != 0
      || !gate_probe_in_doubt (gate))
    return false;
  slog (SLOG_INFO, "heartbeat held back id=%s reason=health-check",
        heartbeat->id);
  gate->probe.held = *heartbeat;
  gate_probe_send (gate, path);
  return true;
}

/* Slot count of a load report "RUNNING,WAITING,SLOTS,..."; 0 if malformed.  */
static uint32_t
gate_probe_parse_slots (const char *report)
{
  unsigned running;
  unsigned waiting;
  unsigned slots;

  return sscanf (report, "%u,%u,%u", &running, &waiting, &slots) == 3 ? slots
                                                                      : 0;
}

/* Registers the backend server from its answer to the health check.  */
static void
gate_probe_register (struct gate *gate, const struct httpmsg_head *head)
{
  struct api_heartbeat heartbeat
      = { .state = API_SERVER_READY,
          .slots = gate_probe_parse_slots (head->value[HTTPMSG_SERVER_LOAD]) };
  const char *id = head->value[HTTPMSG_SERVER_ID];

  if (heartbeat.slots == 0 || gate->admit.backend.heartbeat_at != 0)
    return;
  memcpy (heartbeat.id, id, strlen (id) + 1);
  memcpy (heartbeat.service, gate->opts.service,
          strnlen (gate->opts.service, sizeof heartbeat.service - 1));
  memcpy (heartbeat.address, gate->opts.backend_address,
          strnlen (gate->opts.backend_address, sizeof heartbeat.address - 1));
  gate_handle_backend_change (
      gate, backend_apply_heartbeat (&gate->admit.backend, &heartbeat,
                                     loop_now (gate->loop)));
}

/* Handles the answer of a server that is healthy and does not leave.  */
static void
gate_probe_pass (struct gate *gate, const struct httpmsg_head *head)
{
  struct api_heartbeat held = gate->probe.held;

  gate->probe.failed_id[0] = '\0';
  gate->probe.held.id[0] = '\0';
  if (strcmp (held.id, head->value[HTTPMSG_SERVER_ID]) == 0)
    gate_handle_backend_change (
        gate, backend_apply_heartbeat (&gate->admit.backend, &held,
                                       loop_now (gate->loop)));
  else
    gate_probe_register (gate, head);
}

/* Handles the answer of the server ID, which leaves or fails.  A heartbeat
   that has made it available may be from before.  */
static void
gate_probe_fail (struct gate *gate, const char *id)
{
  struct backend *backend = &gate->admit.backend;

  gate->probe.held.id[0] = '\0';
  if (!gate_probe_in_doubt (gate))
    return;
  memcpy (gate->probe.failed_id, id, strlen (id) + 1);
  if (backend->state == BACKEND_UP
      && strcmp (backend->last_heartbeat.id, id) == 0)
    gate_handle_backend_change (gate, backend_mark_lost (backend));
}

int
gate_probe_handle_head (struct gate *gate, const struct httpmsg_head *head)
{
  struct gate_out *outbound = gate->probe.outbound;
  const char *id = head->value[HTTPMSG_SERVER_ID];

  slog (SLOG_INFO, "backend server answered the health check status=%d id=%s",
        head->status, id);
  /* A check that is refused for lack of a slot says nothing of the server.  */
  if (id[0] != '\0' && strlen (id) < API_ID_BYTES
      && head->value[HTTPMSG_NOT_RUN][0] == '\0')
    {
      if (head->status == 200)
        gate_probe_pass (gate, head);
      else
        gate_probe_fail (gate, id);
    }
  gate->probe.outbound = NULL;
  gate_out_release (outbound, false);
  return SR_EAGAIN;
}
