#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/slog.h"
#include "tasks/gate_state.h"

/* A node that starts after its backend server sends it one health check, so
   that it need not wait for the next heartbeat.  */

/* Time for connecting and for the head of the answer.  */
#define GATE_PROBE_TIMEOUT_US clk_s (2)

void
gate_probe_start (struct gate *gate)
{
  const struct model *model = gate->dispatch.model;
  const struct route_service *service;
  struct gate_out_opts opts = { .address = gate->opts.backend_address,
                                .to_server = true,
                                .fresh = true,
                                .request_id = "" };
  struct buf *buf;

  if (gate->probe_done || model == NULL || model->routes == NULL
      || gate->opts.backend_address == NULL
      || gate->opts.backend_address[0] == '\0')
    return;
  service = route_find_service (model->routes, gate->opts.service);
  if (service == NULL || service->health_path[0] != '/')
    return;
  gate->probe_done = true;
  if (gate->admit.backend.heartbeat_at != 0)
    return;
  gate->probe = gate_out_acquire (gate, &opts);
  if (gate->probe == NULL)
    return;
  gate->probe->state = GATE_OUT_PROBE;
  loop_set_timer (gate->loop, &gate->probe->timer,
                  loop_now (gate->loop) + GATE_PROBE_TIMEOUT_US);
  buf = &gate->probe->conn.send_buf;
  httpmsg_add_request_line (buf, "GET", service->health_path);
  httpmsg_add_field (buf, "Host", gate->opts.backend_address);
  httpmsg_add_field (buf, "Connection", "close");
  buf_append (buf, "\r\n", 2);
  hconn_flush (&gate->probe->conn);
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

/* Registers the backend server from the answer to the health check.  */
static void
gate_probe_register (struct gate *gate, const struct httpmsg_head *head)
{
  struct api_heartbeat heartbeat
      = { .state = API_SERVER_READY,
          .slots = gate_probe_parse_slots (head->value[HTTPMSG_SERVER_LOAD]) };
  const char *id = head->value[HTTPMSG_SERVER_ID];

  slog (SLOG_INFO,
        "backend server answered the health check status=%d id=%s slots=%u",
        head->status, id, heartbeat.slots);
  if (head->status != 200 || id[0] == '\0'
      || strlen (id) >= sizeof heartbeat.id || heartbeat.slots == 0
      || gate->admit.backend.heartbeat_at != 0)
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

int
gate_probe_handle_head (struct gate *gate, const struct httpmsg_head *head)
{
  struct gate_out *outbound = gate->probe;

  gate_probe_register (gate, head);
  gate->probe = NULL;
  gate_out_release (outbound, false);
  return SR_EAGAIN;
}
