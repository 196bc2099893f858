#include "tasks/gate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ctr.h"
#include "core/slog.h"
#include "tasks/gate_state.h"

/* Time between two looks at what is due; short against every bound of a stop.
 */
#define GAT_TICK_US clk_ms (125)
/* Time between two lines that sum up the traffic.  */
#define GAT_SUM_EVERY_US clk_s (5)
/* Heartbeats that may be missed before the server counts as lost.  */
#define GAT_BEATS_MISSED 4

static void gat_tick (struct lop_timer *timer);
static void gat_woken (void *arg);

/* Wakes the loop from another task.  */
static void
gat_wake (void *arg)
{
  struct gate *gate = arg;

  lop_wake (gate->loop);
}

/* Nodes take requests of others at the same port.  */
static void
gat_note_port (struct gate *gate)
{
  const char *nodes = gate->opts.listen[GAT_NODES];

  if (nodes != NULL && strchr (nodes, ':') != NULL)
    snprintf (gate->request_port, sizeof gate->request_port, "%s",
              strchr (nodes, ':') + 1);
}

struct gate *
gate_new (const struct gat_opts *opts)
{
  struct gate *gate = calloc (1, sizeof *gate);
  struct lop_opts loop
      = { .woken = gat_woken, .arg = gate, .descriptors = opts->descriptors };
  struct inb_opts inbox
      = { .wake = INB_WAKE_CALL, .call = gat_wake, .arg = gate };
  struct ent_opts entry = { .failure_domain = opts->failure_domain,
                            .budget = opts->retry_budget };

  INVARIANT (gate != NULL);
  gate->opts = *opts;
  lst_init (&gate->ins);
  lst_init (&gate->calls);
  lst_init (&gate->serves);
  lst_init (&gate->apis);
  gat_note_port (gate);
  gate->loop = lop_new (&loop);
  gate->inbox = inb_new (&inbox);
  INVARIANT (gate->loop != NULL && gate->inbox != NULL);
  INVARIANT (ent_init (&gate->entry, &entry) == SR_OK);
  INVARIANT (bsd_init (&gate->beside) == SR_OK);
  INVARIANT (hsh_init (&gate->pools) == SR_OK);
  gate->tick.fire = gat_tick;
  if (gat_listen (gate) == SR_OK)
    return gate;
  gate_free (gate);
  return NULL;
}

void
gate_free (struct gate *gate)
{
  /* Connections go with the loop; the process ends.  */
  lop_free (gate->loop);
  inb_free (gate->inbox);
  hsh_fini (&gate->pools);
  ent_fini (&gate->entry);
  bsd_fini (&gate->beside);
  free (gate);
}

struct inb *
gate_inbox (struct gate *gate)
{
  return gate->inbox;
}

void
gate_connect (struct gate *gate, struct inb *peer, struct inb *control)
{
  gate->peer = peer;
  gate->control = control;
}

bool
gat_ready (const struct gate *gate)
{
  return !gate->stopping && gate->entry.model != NULL;
}

/* A node with its backend server, as the members show it.  */
static void
gat_apply_member (struct gate *gate, const struct mem_record *record,
                  clk_us now)
{
  struct chs_server server
      = { .incarnation = record->incarnation, .slots = record->slots };
  struct ent_service *service;

  if (record->service[0] == '\0' || record->control
      || (record->state != MEM_SERVING && record->state != MEM_DRAINING))
    return;
  memcpy (server.instance, record->instance, sizeof server.instance);
  snprintf (server.address, sizeof server.address, "%.*s:%s",
            (int)strcspn (record->address, ":"), record->address,
            gate->request_port);
  memcpy (server.failure_domain, record->failure_domain,
          sizeof server.failure_domain);
  server.local = strcmp (record->instance, gate->opts.instance) == 0;
  server.draining = record->state == MEM_DRAINING;
  service = ent_service (&gate->entry, record->service, now);
  if (chs_update (service->servers, &server, now) != SR_OK)
    slog (SLOG_ERR, "server left out instance=%s reason=too-many",
          record->instance);
}

static void
gat_take_view (struct gate *gate, const struct lst *items)
{
  clk_us now = lop_now (gate->loop);
  uint32_t nodes = 0;

  org_begin (&gate->beside.origins);
  lst_each (node, &gate->entry.services)
    chs_mark (lst_entry (node, struct ent_service, node)->servers);
  lst_each (node, items)
    {
      const struct mem_record *record
          = &lst_entry (node, struct mem_item, node)->record;

      nodes += !record->control;
      if (record->service[0] != '\0' && record->state == MEM_SERVING)
        org_add (&gate->beside.origins, record->service);
      gat_apply_member (gate, record, now);
    }
  lst_each (node, &gate->entry.services)
    chs_sweep (lst_entry (node, struct ent_service, node)->servers);
  gate->entry.nodes = nodes > 0 ? nodes : 1;
  slog (SLOG_INFO, "members changed nodes=%u", nodes);
}

static void
gat_take_model (struct gate *gate, struct msg_model *taken)
{
  bool regained = taken->confirmed && !gate->confirmed;

  if (gate->confirmed && !taken->confirmed)
    slog (SLOG_WARNING, "configuration not confirmed by a quorum version=%llu",
          (unsigned long long)taken->version.number);
  gate->confirmed = taken->confirmed;
  if (taken->model == NULL || taken->model == gate->entry.model)
    return;
  slog (SLOG_NOTICE, "routes in force version=%llu confirmed=%d regained=%d",
        (unsigned long long)taken->version.number, (int)taken->confirmed,
        (int)regained);
  ctr_add (CTR_CONFIG_CHANGES, 1);
  ent_configure (&gate->entry, mdl_ref (taken->model));
  gat_probe_start (gate);
}

static void
gat_take (struct gate *gate, struct msg *msg)
{
  switch (msg->kind)
    {
    case MSG_MODEL:
      gat_take_model (gate, &msg->u.model);
      break;
    case MSG_VIEW:
      gat_take_view (gate, &msg->u.items);
      break;
    case MSG_ADMIN_REPLY:
      gat_api_reply (gate, &msg->u.admin_reply);
      break;
    case MSG_STOP:
      /* The control task has failed: the process must not go on.  */
      gate->exit_status = 1;
      lop_stop (gate->loop);
      break;
    default:
      break;
    }
  msg_free (msg);
}

/* A message, or a signal, has come.  */
static void
gat_woken (void *arg)
{
  struct gate *gate = arg;
  struct lst messages;
  struct lst_node *node;

  lst_init (&messages);
  inb_take (gate->inbox, &messages);
  while ((node = lst_pop_head (&messages)) != NULL)
    gat_take (gate, lst_entry (node, struct msg, node));
}

static void
gat_check_backend (struct gate *gate, clk_us now)
{
  clk_us silent = GAT_BEATS_MISSED * gate->opts.heartbeat;

  if (gate->beside.backend.state == BKD_UP && silent != 0
      && now > gate->beside.backend.heard + silent)
    gat_backend_lost (gate, "silent");
}

/* One line in a while about requests that went well; these have no line of
   their own.  */
static void
gat_log_traffic (struct gate *gate, clk_us now)
{
  if (now < gate->summed_at + GAT_SUM_EVERY_US)
    return;
  gate->summed_at = now;
  slog (SLOG_INFO,
        "traffic calls=%llu answers=%llu attempts=%llu far=%llu "
        "bytes_far=%llu serves=%llu running=%u waiting=%u limit=%u haste=%.2f "
        "fan_out=%.1f",
        (unsigned long long)ctr_get (CTR_CALLS),
        (unsigned long long)ctr_get (CTR_ANSWERS),
        (unsigned long long)ctr_get (CTR_ATTEMPTS),
        (unsigned long long)ctr_get (CTR_ATTEMPTS_FAR),
        (unsigned long long)ctr_get (CTR_BYTES_FAR),
        (unsigned long long)ctr_get (CTR_SERVES),
        adm_running (gate->beside.slots), adm_waiting (gate->beside.slots),
        adm_limit (gate->beside.slots), gate->beside.haste,
        bsd_fan_out (&gate->beside, now));
}

static void
gat_tick (struct lop_timer *timer)
{
  struct gate *gate = lst_entry (timer, struct gate, tick);
  clk_us now = lop_now (gate->loop);

  if (gate->stop_asked != 0 && !gate->stopping)
    gat_stop_begin (gate);
  if (gate->reload_asked != 0)
    {
      gate->reload_asked = 0;
      if (gate->opts.reload != NULL)
        gate->opts.reload (gate->opts.reload_arg, &gate->opts);
    }
  gat_check_backend (gate, now);
  gat_log_traffic (gate, now);
  bsd_sample (&gate->beside);
  if (gate->stopping && gat_stop_run (gate, now))
    {
      slog (SLOG_NOTICE, "connections closed unfinished=%d",
            (int)(!lst_empty (&gate->calls)));
      lop_stop (gate->loop);
      return;
    }
  lop_set (gate->loop, &gate->tick, now + GAT_TICK_US);
}

int
gate_run (struct gate *gate)
{
  lop_set (gate->loop, &gate->tick, clk_now () + 1);
  lop_run (gate->loop);
  return gate->exit_status;
}

void
gate_shut_down (struct gate *gate)
{
  gate->stop_asked = 1;
}

void
gate_reload (struct gate *gate)
{
  gate->reload_asked = 1;
}
