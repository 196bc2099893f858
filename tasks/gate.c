#include "tasks/gate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* Interval of the periodic checks; short against every bound of a shutdown. */
#define GATE_TICK_US clk_ms (125)
/* Interval of the log lines with traffic counters.  */
#define GATE_TRAFFIC_LOG_INTERVAL_US clk_s (5)
/* Missed heartbeats after which the backend server is marked as lost.  */
#define GATE_HEARTBEATS_MISSED_MAX 4

static void gate_handle_tick (struct loop_timer *timer);
static void gate_handle_wake (void *arg);

/* Callback of the inbox, called by other tasks.  */
static void
gate_wake (void *arg)
{
  struct gate *gate = arg;

  loop_wake (gate->loop);
}

/* Sets the port at which nodes accept forwarded requests; it is the same on
   all nodes.  */
static void
gate_set_node_port (struct gate *gate)
{
  const char *address = gate->opts.listen_addresses[GATE_PORT_NODES];

  if (address != NULL && strchr (address, ':') != NULL)
    snprintf (gate->node_port, sizeof gate->node_port, "%s",
              strchr (address, ':') + 1);
}

struct gate *
gate_new (const struct gate_opts *opts)
{
  struct gate *gate = calloc (1, sizeof *gate);
  struct loop_opts loop_opts = { .on_wake = gate_handle_wake,
                                 .arg = gate,
                                 .descriptors_max = opts->descriptors_max };
  struct inbox_opts inbox_opts
      = { .wake = INBOX_WAKE_CALLBACK, .callback = gate_wake, .arg = gate };
  struct dispatch_opts dispatch = { .failure_domain = opts->failure_domain,
                                    .suspects = &gate->suspects,
                                    .started_at = clk_now (),
                                    .budget = opts->retry_budget };
  struct carried_opts carried = { .retention = GATE_CARRIED_RETENTION_US,
                                  .ids_max = GATE_CARRIED_IDS_MAX };

  INVARIANT (gate != NULL);
  gate->opts = *opts;
  list_init (&gate->inbound);
  list_init (&gate->lingering);
  list_init (&gate->calls);
  list_init (&gate->serves);
  list_init (&gate->api_requests);
  gate_held_init (gate);
  gate_set_node_port (gate);
  gate->loop = loop_new (&loop_opts);
  gate->inbox = inbox_new (&inbox_opts);
  INVARIANT (gate->loop != NULL && gate->inbox != NULL);
  INVARIANT (dispatch_init (&gate->dispatch, &dispatch) == SR_OK);
  INVARIANT (admit_init (&gate->admit) == SR_OK);
  gate->admit.suspects = &gate->suspects;
  INVARIANT (gate_crash_init (gate) == SR_OK);
  INVARIANT (htable_init (&gate->pools) == SR_OK);
  INVARIANT (carried_init (&gate->carried, &carried) == SR_OK);
  gate->tick_timer.fire = gate_handle_tick;
  if (gate_listen (gate) == SR_OK)
    return gate;
  gate_free (gate);
  return NULL;
}

void
gate_free (struct gate *gate)
{
  /* The loop closes the sockets; the memory of connections is left to the end
     of the process.  */
  loop_free (gate->loop);
  inbox_free (gate->inbox);
  htable_fini (&gate->pools);
  carried_fini (&gate->carried);
  dispatch_fini (&gate->dispatch);
  admit_fini (&gate->admit);
  gate_crash_fini (gate);
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
gate_is_ready (const struct gate *gate)
{
  return !gate->stopping && gate->dispatch.model != NULL;
}

/* Adds or updates the backend server of a node in the load balancer.  */
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
    slog (SLOG_ERR, "server ignored instance=%s reason=too-many",
          record->instance);
}

static void
gate_handle_view (struct gate *gate, const struct list *items)
{
  clk_us now = loop_now (gate->loop);
  uint32_t node_count = 0;

  origin_reset_nodes (&gate->admit.origins);
  list_each (node, &gate->dispatch.services)
    lb_mark_absent (list_entry (node, struct dispatch_service, node)->servers);
  list_each (node, items)
    {
      const struct member_record *record
          = &list_entry (node, struct member_item, node)->record;

      node_count += !record->control_replica;
      if (record->service[0] != '\0' && record->state == MEMBER_SERVING)
        origin_add_node (
            &gate->admit.origins, record->service,
            strcmp (record->failure_domain, gate->opts.failure_domain) == 0);
      gate_apply_member (gate, record, now);
    }
  list_each (node, &gate->dispatch.services)
    lb_remove_absent (
        list_entry (node, struct dispatch_service, node)->servers);
  gate->dispatch.node_count = node_count > 0 ? node_count : 1;
  slog (SLOG_INFO, "members changed nodes=%u", node_count);
}

static void
gate_handle_model (struct gate *gate, struct msg_model *msg)
{
  bool regained = msg->confirmed && !gate->config_confirmed;

  if (gate->config_confirmed && !msg->confirmed)
    slog (SLOG_WARNING, "configuration not confirmed by a quorum version=%llu",
          (unsigned long long)msg->version.number);
  gate->config_confirmed = msg->confirmed;
  if (msg->model == NULL || msg->model == gate->dispatch.model)
    return;
  slog (SLOG_NOTICE, "routes in force version=%llu confirmed=%d regained=%d",
        (unsigned long long)msg->version.number, (int)msg->confirmed,
        (int)regained);
  counter_add (COUNTER_CONFIG_CHANGES, 1);
  dispatch_configure (&gate->dispatch, model_ref (msg->model));
  if (msg->model->routes != NULL)
    carried_extend_retention (
        &gate->carried, clk_ms (route_timeout_max_ms (msg->model->routes)));
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
    case MSG_CRASH_MARKS:
      gate_crash_import (gate, &msg->u.items);
      break;
    case MSG_ADMIN_REPLY:
      gate_api_handle_reply (gate, &msg->u.admin_reply);
      break;
    case MSG_STOP:
      /* The control task has failed, so the process must end.  */
      gate->exit_status = 1;
      loop_stop (gate->loop);
      break;
    default:
      break;
    }
  msg_free (msg);
}

/* Runs in the loop after loop_wake().  */
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
  clk_us silence_limit
      = GATE_HEARTBEATS_MISSED_MAX * gate->opts.heartbeat_interval;

  if (gate->admit.backend.state == BACKEND_UP && silence_limit != 0
      && now > gate->admit.backend.heartbeat_at + silence_limit)
    gate_mark_backend_lost (gate, "silent");
}

/* Logs the traffic counters at intervals, because successful requests have no
   log line of their own.  */
static void
gate_log_traffic (struct gate *gate, clk_us now)
{
  if (now < gate->traffic_logged_at + GATE_TRAFFIC_LOG_INTERVAL_US)
    return;
  gate->traffic_logged_at = now;
  slog (SLOG_INFO,
        "traffic calls=%llu answers=%llu attempts=%llu far=%llu "
        "bytes_far=%llu serves=%llu running=%u waiting=%u limit=%u haste=%.2f "
        "fan_out=%.1f held_kb=%llu",
        (unsigned long long)counter_get (COUNTER_CALLS),
        (unsigned long long)counter_get (COUNTER_ANSWERS),
        (unsigned long long)counter_get (COUNTER_ATTEMPTS),
        (unsigned long long)counter_get (COUNTER_ATTEMPTS_CROSS_DOMAIN),
        (unsigned long long)counter_get (COUNTER_BYTES_CROSS_DOMAIN),
        (unsigned long long)counter_get (COUNTER_SERVES),
        slots_running (gate->admit.slots), slots_waiting (gate->admit.slots),
        slots_limit (gate->admit.slots), gate->admit.timeout_used_fraction,
        admit_fan_out (&gate->admit, now),
        (unsigned long long)(gate->held.bytes / 1024));
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
      gate_held_reload (gate);
    }
  gate_check_heartbeat (gate, now);
  gate_crash_tick (gate, now);
  gate_held_tick (gate);
  gate_log_traffic (gate, now);
  admit_update_slot_shares (&gate->admit);
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
  /* The process may live on while the other tasks end; callers must notice at
     once that nobody reads their requests.  */
  loop_close_all (gate->loop);
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
