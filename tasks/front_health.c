#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ctr.h"
#include "core/err.h"
#include "core/slog.h"
#include "tasks/front_state.h"

/* A process that exits closes its connections and its listener one by one;
   the probe waits until both are closed.  */
#define BCK_PROBE_WAIT_US clk_ms (20)
/* Announcements that are missing for this long mean that the server is gone.
 */
#define BCK_SILENT_US clk_s (5)

static const struct lws_protocols bck_probe_protocols[]
    = { { "probe", bck_probe_callback, 0, 64, 0, NULL, 0 },
        { NULL, NULL, 0, 0, 0, NULL, 0 } };

/* Marks a request that was in flight when the server was lost.  Marks of one
   server count once.  A request that was marked before ran without other
   suspects, so that its second crash counts even at the same server.  */
static void
bck_mark (const struct serve *serve)
{
  struct front *front = serve->front;
  char name[QRT_INSTANCE_BYTES];

  snprintf (name, sizeof name, "%s%.57s", serve->req.isolated ? "again/" : "",
            front->opts.instance);
  qrt_add (front->state.marks, serve->req.fingerprint, name, clk_now ());
}

/* Ends all requests that wait for the probe.  */
static void
bck_probed (struct front *front, bool alive)
{
  struct lst_node *node;

  front->backend.probing = false;
  if (!alive)
    bck_down (front, "process lost");
  while ((node = lst_pop_head (&front->backend.probed)) != NULL)
    {
      struct serve *serve = lst_entry (node, struct serve, probe_node);

      if (!alive && serve->req.fingerprint != 0)
        bck_mark (serve);
      srv_refuse (serve, alive ? serve->refusal : RSN_BACKEND_CRASHED,
                  RSN_UNKNOWN);
    }
  if (!alive)
    front_send_marks (front);
}

int
bck_probe_callback (struct lws *wsi, enum lws_callback_reasons reason,
                    void *user, void *in, size_t len)
{
  struct front *front = lws_context_user (lws_get_context (wsi));

  (void)user;
  (void)in;
  (void)len;
  switch (reason)
    {
    case LWS_CALLBACK_RAW_CONNECTED:
      bck_probed (front, true);
      return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      if (front->backend.probing)
        bck_probed (front, false);
      return 0;
    default:
      return 0;
    }
}

/* Opens a connection to learn whether the server's process still listens.  */
static void
bck_start_probe (lws_sorted_usec_list_t *timer)
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
  info.local_protocol_name = bck_probe_protocols[0].name;
  if (lws_client_connect_via_info (&info) == NULL && front->backend.probing)
    bck_probed (front, false);
}

void
bck_probe (struct serve *serve)
{
  struct front *front = serve->front;
  struct backend *backend = &front->backend;

  lst_push_tail (&backend->probed, &serve->probe_node);
  if (backend->probing)
    return;
  if (backend->probe_vhost == NULL)
    {
      struct lws_context_creation_info info = { 0 };

      info.port = CONTEXT_PORT_NO_LISTEN;
      info.protocols = bck_probe_protocols;
      info.vhost_name = "probe";
      backend->probe_vhost = lws_create_vhost (front->context, &info);
      INVARIANT (backend->probe_vhost != NULL);
    }
  backend->probing = true;
  lws_sul_schedule (front->context, 0, &backend->probe_timer, bck_start_probe,
                    (lws_usec_t)BCK_PROBE_WAIT_US);
}

/* Splits "IP:PORT"; returns SR_EINVAL when it is not of that form.  */
static int
bck_split_address (struct backend *backend, const char *address)
{
  const char *colon = strrchr (address, ':');
  char *end = NULL;
  long port;

  if (colon == NULL || colon == address)
    return SR_EINVAL;
  port = strtol (colon + 1, &end, 10);
  if (*end != '\0' || port < 1 || port > 65535)
    return SR_EINVAL;
  snprintf (backend->host, sizeof backend->host, "%.*s",
            (int)(colon - address), address);
  snprintf (backend->address, sizeof backend->address, "%s", address);
  backend->port = (int)port;
  return SR_OK;
}

int
bck_announce (struct front *front, const char *service, const char *address,
              uint32_t slots, uint32_t connections)
{
  struct backend *backend = &front->backend;
  bool was_up = front->state.backend_up;

  if (bck_split_address (backend, address) != SR_OK)
    return SR_EINVAL;
  snprintf (backend->service, sizeof backend->service, "%s", service);
  snprintf (front->state.backend_service, sizeof front->state.backend_service,
            "%s", service);
  backend->announced = clk_now ();
  backend->leaving = false;
  if (was_up && backend->slots == slots && backend->connections == connections)
    return SR_OK;
  backend->slots = slots;
  backend->connections = connections;
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
bck_leave (struct front *front)
{
  if (front->backend.leaving)
    return;
  slog (SLOG_NOTICE, "backend server is leaving service=%s",
        front->backend.service);
  front->backend.leaving = true;
  front->state.backend_up = false;
  front_report_backend (front);
  srv_refuse_waiting (front, RSN_DRAINING);
}

void
bck_down (struct front *front, const char *why)
{
  if (!front->state.backend_up)
    return;
  slog (SLOG_WARNING, "backend server is down service=%s reason=\"%s\"",
        front->backend.service, why);
  front->state.backend_up = false;
  front_report_backend (front);
  srv_refuse_waiting (front, RSN_NO_BACKEND);
}

void
bck_check (struct front *front, clk_us now)
{
  if (front->state.backend_up
      && now - front->backend.announced >= BCK_SILENT_US)
    bck_down (front, "announcements are missing");
}
