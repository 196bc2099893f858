#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/address.h"
#include "core/counter.h"
#include "core/err.h"
#include "core/slog.h"
#include "tasks/front_state.h"

/* Delay before the probe.  A process that exits closes its connections and its
   listener one by one; the probe must run after both.  */
#define FRONT_HEALTH_PROBE_DELAY_US clk_ms (20)
/* Time without an announcement after which the server counts as down.  */
#define FRONT_HEALTH_ANNOUNCE_TIMEOUT_US clk_s (5)

static const struct lws_protocols front_health_protocols[]
    = { { "probe", front_health_lws_callback, 0, 64, 0, NULL, 0 },
        { NULL, NULL, 0, 0, 0, NULL, 0 } };

/* Adds a crash mark for a request that was in flight when the server was lost.
   Marks of one server count once.  A request with an earlier mark ran without
   other suspects, so its second crash counts even at the same server.  */
static void
front_health_add_crash_mark (const struct front_serve *serve)
{
  struct front *front = serve->front;
  char server_name[QUARANTINE_INSTANCE_BYTES];

  snprintf (server_name, sizeof server_name, "%s%.57s",
            serve->req.suspect_counted ? "again/" : "", front->opts.instance);
  quarantine_add_mark (front->state.suspects.marks, serve->req.fingerprint,
                       server_name, clk_now ());
}

/* Refuses all requests that wait for the probe.  */
static void
front_health_finish_probe (struct front *front, bool alive)
{
  struct list_node *node;

  front->backend.probing = false;
  if (!alive)
    front_health_mark_down (front, "process lost");
  while ((node = list_pop_head (&front->backend.probe_waiters)) != NULL)
    {
      struct front_serve *serve
          = list_entry (node, struct front_serve, probe_node);

      if (!alive && serve->req.fingerprint != 0)
        front_health_add_crash_mark (serve);
      front_serve_refuse (serve,
                          alive ? serve->refusal : REASON_BACKEND_CRASHED,
                          REASON_RUN_UNKNOWN);
    }
  if (!alive)
    front_send_crash_marks (front);
}

int
front_health_lws_callback (struct lws *wsi, enum lws_callback_reasons reason,
                           void *user, void *in, size_t len)
{
  struct front *front = lws_context_user (lws_get_context (wsi));

  (void)user;
  (void)in;
  (void)len;
  switch (reason)
    {
    case LWS_CALLBACK_RAW_CONNECTED:
      front_health_finish_probe (front, true);
      return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      if (front->backend.probing)
        front_health_finish_probe (front, false);
      return 0;
    default:
      return 0;
    }
}

/* Opens a connection to find out whether the server process still listens.  */
static void
front_health_start_probe (lws_sorted_usec_list_t *timer)
{
  struct front *front
      = lws_container_of (timer, struct front, backend.probe_timer);
  struct lws_client_connect_info info = { 0 };

  info.context = front->context;
  info.vhost = front->backend.probe_vhost;
  info.address = front->backend.host;
  info.port = front->backend.port;
  info.host = front->backend.host;
  info.path = "/";
  info.method = "RAW";
  info.local_protocol_name = front_health_protocols[0].name;
  if (lws_client_connect_via_info (&info) == NULL && front->backend.probing)
    front_health_finish_probe (front, false);
}

void
front_health_await_probe (struct front_serve *serve)
{
  struct front *front = serve->front;
  struct front_backend *backend = &front->backend;

  list_push_tail (&backend->probe_waiters, &serve->probe_node);
  if (backend->probing)
    return;
  if (backend->probe_vhost == NULL)
    {
      struct lws_context_creation_info info = { 0 };

      info.port = CONTEXT_PORT_NO_LISTEN;
      info.protocols = front_health_protocols;
      info.vhost_name = "probe";
      backend->probe_vhost = lws_create_vhost (front->context, &info);
      INVARIANT (backend->probe_vhost != NULL);
    }
  backend->probing = true;
  lws_sul_schedule (front->context, 0, &backend->probe_timer,
                    front_health_start_probe,
                    (lws_usec_t)FRONT_HEALTH_PROBE_DELAY_US);
}

int
front_health_handle_announcement (struct front *front, const char *service,
                                  const char *address, uint32_t slots,
                                  uint32_t connections_max)
{
  struct front_backend *backend = &front->backend;
  bool was_up = front->state.backend_up;
  struct address parsed;

  if (address_parse (address, &parsed) != SR_OK)
    return SR_EINVAL;
  snprintf (backend->host, sizeof backend->host, "%s", parsed.ip);
  snprintf (backend->address, sizeof backend->address, "%s", address);
  backend->port = parsed.port;
  snprintf (backend->service, sizeof backend->service, "%s", service);
  snprintf (front->state.backend_service, sizeof front->state.backend_service,
            "%s", service);
  backend->last_announcement = clk_now ();
  backend->leaving = false;
  if (was_up && backend->slots == slots
      && backend->connections_max == connections_max)
    return SR_OK;
  backend->slots = slots;
  backend->connections_max = connections_max;
  front->state.backend_up = true;
  if (!was_up)
    slog (SLOG_NOTICE,
          "backend server announced service=%s address=%s slots=%u", service,
          address, slots);
  front_configure_admission (front);
  front_report_backend (front);
  return SR_OK;
}

void
front_health_handle_leave (struct front *front)
{
  if (front->backend.leaving)
    return;
  slog (SLOG_NOTICE, "backend server is leaving service=%s",
        front->backend.service);
  front->backend.leaving = true;
  front->state.backend_up = false;
  front_report_backend (front);
  front_serve_refuse_waiting (front, REASON_DRAINING);
}

void
front_health_mark_down (struct front *front, const char *reason)
{
  if (!front->state.backend_up)
    return;
  slog (SLOG_WARNING, "backend server is down service=%s reason=\"%s\"",
        front->backend.service, reason);
  front->state.backend_up = false;
  front_report_backend (front);
  front_serve_refuse_waiting (front, REASON_NO_BACKEND);
}

void
front_health_check_announcement (struct front *front, clk_us now)
{
  if (front->state.backend_up
      && now - front->backend.last_announcement
             >= FRONT_HEALTH_ANNOUNCE_TIMEOUT_US)
    front_health_mark_down (front, "announcements stopped");
}
