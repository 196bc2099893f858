#include "tasks/gate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* Time between two looks at what is due; short against every bound of a stop.
 */
#define GATE_TICK_US clk_ms (125)
/* Time between two lines that sum up the traffic.  */
#define GATE_TRAFFIC_LOG_INTERVAL_US clk_s (5)
/* Heartbeats that may be missed before the server counts as lost.  */
#define GATE_HEARTBEATS_MISSED_MAX 4

static void gate_handle_tick (struct loop_timer *timer);
static void gate_handle_wake (void *arg);

/* Wakes the loop from another task.  */
static void
gate_wake (void *arg)
{
  struct gate *gate = arg;

  loop_wake (gate->loop);
}

/* Nodes take requests of others at the same port.  */
static void
gate_set_node_port (struct gate *gate)
{
  const char *nodes = gate->opts.listen[GATE_PORT_NODES];

  if (nodes != NULL && strchr (nodes, ':') != NULL)
    snprintf (gate->node_port, sizeof gate->node_port, "%s",
              strchr (nodes, ':') + 1);
}

struct gate *
gate_new (const struct gate_opts *opts)
{
  struct gate *gate = calloc (1, sizeof *gate);
  struct loop_opts loop = { .on_wake = gate_handle_wake,
                            .arg = gate,
                            .descriptors_max = opts->descriptors_max };
  struct inbox_opts inbox
      = { .wake = INBOX_WAKE_CALLBACK, .callback = gate_wake, .arg = gate };
  struct dispatch_opts entry = { .failure_domain = opts->failure_domain,
                                 .budget = opts->retry_budget };

  INVARIANT (gate != NULL);
  gate->opts = *opts;
  list_init (&gate->inbound);
  list_init (&gate->calls);
  list_init (&gate->serves);
  list_init (&gate->api_requests);
  gate_set_node_port (gate);
  gate->loop = loop_new (&loop);
  gate->inbox = inbox_new (&inbox);
  INVARIANT (gate->loop != NULL && gate->inbox != NULL);
  INVARIANT (dispatch_init (&gate->dispatch, &entry) == SR_OK);
  INVARIANT (admit_init (&gate->admit) == SR_OK);
  INVARIANT (htable_init (&gate->pools) == SR_OK);
  gate->tick_timer.fire = gate_handle_tick;
  if (gate_listen (gate) == SR_OK)
    return gate;
  gate_free (gate);
  return NULL;
}

void
gate_free (struct gate *gate)
{
  /* Connections go with the loop; the process ends.  */
  loop_free (gate->loop);
  inbox_free (gate->inbox);
  htable_fini (&gate->pools);
  dispatch_fini (&gate->dispatch);
  admit_fini (&gate->admit);
  free (gate);
}

struct inbox *
gate_inbox (struct gate *gate)
{
  return gate->inbox;
}

void
gate_attach (struct gate *gate, struct inbox *peer, struct inbox *control)
{
  gate->peer = peer;
  gate->control = control;
}

bool
gate_ready (const struct gate *gate)
{
  return !gate->stopping && gate->dispatch.model != NULL;
}

/* A node with its backend server, as the members show it.  */
static void
gate_apply_member (struct gate *gate, const struct member_record *record,
                   clk_us now)
{
  struct lb_server server
      = { .incarnation = record->incarnation, .slots = record->slots };
  struct dispatch_service *service;

  if (record->service[0] == '\0' || record->control_replica
      || (record->state != MEMBER_SERVING && record->state != MEMBER_DRAINING))
    return;
  memcpy (server.instance, record->instance, sizeof server.instance);
  snprintf (server.address, sizeof server.address, "%.*s:%s",
            (int)strcspn (record->address, ":"), record->address,
            gate->node_port);
  memcpy (server.failure_domain, record->failure_domain,
          sizeof server.failure_domain);
  server.local = strcmp (record->instance, gate->opts.instance) == 0;
  server.draining = record->state == MEMBER_DRAINING;
  service = dispatch_get_service (&gate->dispatch, record->service, now);
  if (lb_update (service->servers, &server, now) != SR_OK)
    slog (SLOG_ERR, "server left out instance=%s reason=too-many",
          record->instance);
}

static void
gate_handle_view (struct gate *gate, const struct list *items)
{
  clk_us now = loop_now (gate->loop);
  uint32_t nodes = 0;

  origin_reset_nodes (&gate->admit.origins);
  list_each (node, &gate->dispatch.services)
    lb_mark_absent (list_entry (node, struct dispatch_service, node)->servers);
  list_each (node, items)
    {
      const struct member_record *record
          = &list_entry (node, struct member_item, node)->record;

      nodes += !record->control_replica;
      if (record->service[0] != '\0' && record->state == MEMBER_SERVING)
        origin_add_node (&gate->admit.origins, record->service);
      gate_apply_member (gate, record, now);
    }
  list_each (node, &gate->dispatch.services)
    lb_remove_absent (
        list_entry (node, struct dispatch_service, node)->servers);
  gate->dispatch.node_count = nodes > 0 ? nodes : 1;
  slog (SLOG_INFO, "members changed nodes=%u", nodes);
}

static void
gate_handle_model (struct gate *gate, struct msg_model *taken)
{
  bool regained = taken->confirmed && !gate->config_confirmed;

  if (gate->config_confirmed && !taken->confirmed)
    slog (SLOG_WARNING, "configuration not confirmed by a quorum version=%llu",
          (unsigned long long)taken->version.number);
  gate->config_confirmed = taken->confirmed;
  if (taken->model == NULL || taken->model == gate->dispatch.model)
    return;
  slog (SLOG_NOTICE, "routes in force version=%llu confirmed=%d regained=%d",
        (unsigned long long)taken->version.number, (int)taken->confirmed,
        (int)regained);
  counter_add (COUNTER_CONFIG_CHANGES, 1);
  dispatch_configure (&gate->dispatch, model_ref (taken->model));
  gate_probe_start (gate);
}

static void
gate_handle_message (struct gate *gate, struct msg *msg)
{
  switch (msg->kind)
    {
    case MSG_MODEL:
      gate_handle_model (gate, &msg->u.model);
      break;
    case MSG_VIEW:
      gate_handle_view (gate, &msg->u.items);
      break;
    case MSG_ADMIN_REPLY:
      gate_api_handle_reply (gate, &msg->u.admin_reply);
      break;
    case MSG_STOP:
      /* The control task has failed: the process must not go on.  */
      gate->exit_status = 1;
      loop_stop (gate->loop);
      break;
    default:
      break;
    }
  msg_free (msg);
}

/* A message, or a signal, has come.  */
static void
gate_handle_wake (void *arg)
{
  struct gate *gate = arg;
  struct list messages;
  struct list_node *node;

  list_init (&messages);
  inbox_drain (gate->inbox, &messages);
  while ((node = list_pop_head (&messages)) != NULL)
    gate_handle_message (gate, list_entry (node, struct msg, node));
}

static void
gate_check_heartbeat (struct gate *gate, clk_us now)
{
  clk_us silent = GATE_HEARTBEATS_MISSED_MAX * gate->opts.heartbeat_interval;

  if (gate->admit.backend.state == BACKEND_UP && silent != 0
      && now > gate->admit.backend.reported_at + silent)
    gate_mark_backend_lost (gate, "silent");
}

/* One line in a while about requests that went well; these have no line of
   their own.  */
static void
gate_log_traffic (struct gate *gate, clk_us now)
{
  if (now < gate->traffic_logged_at + GATE_TRAFFIC_LOG_INTERVAL_US)
    return;
  gate->traffic_logged_at = now;
  slog (SLOG_INFO,
        "traffic calls=%llu answers=%llu attempts=%llu far=%llu "
        "bytes_far=%llu serves=%llu running=%u waiting=%u limit=%u haste=%.2f "
        "fan_out=%.1f",
        (unsigned long long)counter_get (COUNTER_CALLS),
        (unsigned long long)counter_get (COUNTER_ANSWERS),
        (unsigned long long)counter_get (COUNTER_ATTEMPTS),
        (unsigned long long)counter_get (COUNTER_ATTEMPTS_FAR),
        (unsigned long long)counter_get (COUNTER_BYTES_FAR),
        (unsigned long long)counter_get (COUNTER_SERVES),
        slots_running (gate->admit.slots), slots_waiting (gate->admit.slots),
        slots_limit (gate->admit.slots), gate->admit.timeout_fraction,
        admit_fan_out (&gate->admit, now));
}

static void
gate_handle_tick (struct loop_timer *timer)
{
  struct gate *gate = list_entry (timer, struct gate, tick_timer);
  clk_us now = loop_now (gate->loop);

  if (gate->stop_requested != 0 && !gate->stopping)
    gate_stop_begin (gate);
  if (gate->reload_requested != 0)
    {
      gate->reload_requested = 0;
      if (gate->opts.reload != NULL)
        gate->opts.reload (gate->opts.reload_arg, &gate->opts);
    }
  gate_check_heartbeat (gate, now);
  gate_log_traffic (gate, now);
  admit_update_shares (&gate->admit);
  if (gate->stopping && gate_stop_run (gate, now))
    {
      slog (SLOG_NOTICE, "connections closed unfinished=%d",
            (int)(!list_empty (&gate->calls)));
      loop_stop (gate->loop);
      return;
    }
  loop_set_timer (gate->loop, &gate->tick_timer, now + GATE_TICK_US);
}

int
gate_run (struct gate *gate)
{
  loop_set_timer (gate->loop, &gate->tick_timer, clk_now () + 1);
  loop_run (gate->loop);
  return gate->exit_status;
}

void
gate_shut_down (struct gate *gate)
{
  gate->stop_requested = 1;
}

void
gate_reload (struct gate *gate)
{
  gate->reload_requested = 1;
}
