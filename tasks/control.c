#include "tasks/control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/rng.h"
#include "core/slog.h"
#include "tasks/control_state.h"

#define CONTROL_MEMBERS_MAX 4096
#define CONTROL_TOMBSTONE_RETENTION_US clk_s (600)
#define CONTROL_FINGERPRINTS_MAX 4096
#define CONTROL_QUARANTINE_DURATION_US clk_s (300)
/* Time for sending the last renewal, which ends the lease.  */
#define CONTROL_STOP_DELAY_US clk_ms (500)
/* Maximum time after that for transferring leadership and votes and recording
   the last responses.  */
#define CONTROL_STOP_LIMIT_US clk_ms (1500)
#define CONTROL_STOP_POLL_US clk_ms (20)

/* Parses the comma-separated replica addresses of the settings.  */
static void
control_parse_join (struct control *control)
{
  const char *item = control->opts.join;

  while (item != NULL && *item != '\0'
         && control->replica_count < CONTROL_REPLICAS_MAX)
    {
      size_t len = strcspn (item, ",");
      struct control_replica *replica
          = &control->replicas[control->replica_count++];

      snprintf (replica->address, sizeof replica->address, "%.*s", (int)len,
                item);
      replica->configured = true;
      item += len + (item[len] == ',');
    }
}

static void
control_init_record (struct control *control)
{
  struct member_record *record = &control->record;

  snprintf (record->instance, sizeof record->instance, "%s",
            control->opts.instance);
  snprintf (record->address, sizeof record->address, "%s",
            control->opts.address);
  snprintf (record->failure_domain, sizeof record->failure_domain, "%s",
            control->opts.failure_domain);
  record->incarnation = clk_wall_ms ();
  record->sequence = 1;
  record->state = MEMBER_STARTING;
}

/* Creates the member table and the log groups of a control replica.  */
static void
control_new_replica (struct control *control)
{
  struct registry_opts members
      = { .lease = CONTROL_LEASE_US,
          .tombstone_retention = CONTROL_TOMBSTONE_RETENTION_US,
          .members_max = CONTROL_MEMBERS_MAX };
  struct replica_opts replica;

  replica_opts_default (&replica);
  replica.group_exists = control->opts.group_exists;
  if (control->opts.replace_timeout != 0)
    replica.replace_timeout = control->opts.replace_timeout;
  snprintf (replica.address, sizeof replica.address, "%s",
            control->opts.address);
  replica.join_count = control->replica_count;
  for (uint32_t i = 0; i < control->replica_count; i++)
    memcpy (replica.join[i], control->replicas[i].address,
            sizeof replica.join[i]);
  replica.id = store_id (control->store);
  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    replica.loaded[i] = store_loaded (control->store, (enum msg_group)i);
  replica.store = store_inbox (control->store);
  rng_os_bytes ((uint8_t *)&replica.seed, sizeof replica.seed);
  rng_os_bytes ((uint8_t *)&members.epoch, sizeof members.epoch);
  members.epoch |= 1;
  control->members = registry_new (&members);
  control->replica = replica_new (&replica, clk_now ());
  INVARIANT (control->members != NULL && control->replica != NULL);
  replica_set_domain (control->replica, control->opts.address,
                      control->opts.failure_domain);
}

struct control *
control_new (const struct control_opts *opts)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_CONDITION };
  struct view_opts view = { .replica_timeout = CONTROL_LEASE_US };
  struct quarantine_opts quarantine
      = { .duration = CONTROL_QUARANTINE_DURATION_US,
          .fingerprints_max = CONTROL_FINGERPRINTS_MAX };
  struct control *control = calloc (1, sizeof *control);

  INVARIANT (control != NULL);
  control->opts = *opts;
  control->inbox = inbox_new (&inbox);
  control->view = view_new (&view);
  control->crash_marks = quarantine_new (&quarantine);
  INVARIANT (control->inbox != NULL && control->view != NULL
             && control->crash_marks != NULL);
  INVARIANT (htable_init (&control->node_table) == SR_OK);
  list_init (&control->nodes);
  list_init (&control->pending);
  /* Start at a random number, so that late results for requests of an earlier
     process match none of this one.  */
  rng_os_bytes ((uint8_t *)&control->next_request_id,
                sizeof control->next_request_id);
  control->unconfirmed_since = clk_now ();
  control->last_run = clk_now ();
  control_parse_join (control);
  control_init_record (control);
  return control;
}

void
control_attach (struct control *control, struct inbox *peer,
                struct store *store)
{
  control->peer = peer;
  control->store = store;
  control->record.control_replica = store != NULL;
}

struct inbox *
control_inbox (struct control *control)
{
  return control->inbox;
}

/* Sends a Raft message to another replica.  */
static void
control_send_raft (struct control *control, struct replica_send *send)
{
  struct msg *msg = msg_new (MSG_RAFT);

  msg->endpoint.kind = MSG_ENDPOINT_DIAL;
  snprintf (msg->endpoint.u.address, sizeof msg->endpoint.u.address, "%s",
            send->address);
  msg->u.raft.group = send->group;
  snprintf (msg->u.raft.from, sizeof msg->u.raft.from, "%s",
            control->opts.address);
  msg->u.raft.msg = send->msg;
  send->msg = NULL;
  inbox_put (control->peer, msg);
}

/* Copies the leaders that the local replica knows.  */
static void
control_update_leaders (struct control *control)
{
  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    {
      struct raft_status status;

      replica_status (control->replica, (enum msg_group)i, &status);
      snprintf (control->leader_addresses[i],
                sizeof control->leader_addresses[i], "%s",
                status.leader_address);
    }
}

/* Processes all queued outputs of the local replica.  */
void
control_process_replica_outputs (struct control *control, clk_us now)
{
  struct replica_out output;

  if (control->replica == NULL)
    return;
  while (replica_next_output (control->replica, &output))
    {
      switch (output.kind)
        {
        case REPLICA_SEND:
          control_send_raft (control, &output.u.send);
          break;
        case REPLICA_RESULT:
          control_handle_result (control, &output.u.result.result, now);
          break;
        case REPLICA_CONFIG_CHANGED:
          control_config_install_local (control, now);
          break;
        case REPLICA_FATAL:
          slog (SLOG_CRIT, "control replica failed error=\"%s\"",
                output.u.fatal);
          control->failed = true;
          break;
        }
      replica_out_clear (&output);
    }
  control_update_leaders (control);
}

/* Transfers leadership of all groups and logs each group that this node no
   longer leads; returns whether it still leads one.  */
static bool
control_transfer_leadership (struct control *control, clk_us now)
{
  bool leads = false;

  if (control->replica == NULL)
    return false;
  replica_transfer_leadership (control->replica, now);
  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    {
      struct raft_status status;

      replica_status (control->replica, (enum msg_group)i, &status);
      if (status.role == RAFT_LEADER)
        leads = true;
      else if (control->was_leader[i])
        slog (SLOG_NOTICE, "leadership handed over group=%d term=%llu", i,
              (unsigned long long)status.term);
      control->was_leader[i] = status.role == RAFT_LEADER;
    }
  return leads;
}

/* Continues a graceful stop; returns whether the task may end.  */
static bool
control_check_stop (struct control *control, clk_us now)
{
  bool leads;
  bool votes;
  bool busy;

  if (!control->stopping)
    return false;
  leads = control_transfer_leadership (control, now);
  votes = control->replica != NULL && replica_leave (control->replica, now);
  busy = leads || votes || control_has_pending_claims (control);
  if (now >= control->stop_not_before + CONTROL_STOP_LIMIT_US)
    {
      if (busy)
        slog (SLOG_WARNING, "stop limit reached leads=%d votes=%d", (int)leads,
              (int)votes);
      return true;
    }
  return now >= control->stop_not_before && !busy;
}

/* Begins a graceful stop: transfers leadership, then ends the lease.  */
static void
control_begin_stop (struct control *control, clk_us now)
{
  control->stopping = true;
  control->stop_not_before = now + CONTROL_STOP_DELAY_US;
  control_transfer_leadership (control, now);
  control->record.state = MEMBER_TOMBSTONE;
  control->record.sequence++;
  control_renew_all (control, now);
}

/* Passes a Raft message of another replica to the local replica, which takes
   it over.  */
static void
control_handle_raft (struct control *control, struct msg *msg, clk_us now)
{
  if (control->replica == NULL)
    return;
  replica_handle_message (control->replica, msg->u.raft.from,
                          msg->u.raft.group, msg->u.raft.msg, now);
  msg->u.raft.msg = NULL;
}

static void
control_handle_tolerance (struct control *control,
                          const struct msg_tolerance *msg)
{
  if (control->replica == NULL)
    return;
  replica_set_tolerance (control->replica, &msg->losses);
  list_each (node, &msg->regions)
    {
      const struct msg_region *region
          = list_entry (node, struct msg_region, node);

      replica_set_region (control->replica, region->domain, region->region);
    }
}

static void
control_handle_message (struct control *control, struct msg *msg, clk_us now)
{
  struct control_origin front = { .kind = CONTROL_ORIGIN_FRONT };

  switch (msg->kind)
    {
    case MSG_RENEW:
      control_handle_renew (control, msg, now);
      break;
    case MSG_RENEW_REPLY:
      control_handle_renew_reply (control, msg, now);
      break;
    case MSG_PROPOSE:
      control_handle_propose (control, msg, now);
      break;
    case MSG_RESULT:
      control_handle_result (control, &msg->u.result, now);
      break;
    case MSG_CLAIM:
      front.request_id = msg->u.propose.request_id;
      control_propose (control, &front, &msg->u.propose, now);
      break;
    case MSG_RAFT:
      control_handle_raft (control, msg, now);
      break;
    case MSG_STORE_DONE:
      replica_handle_store_done (control->replica, msg->u.store_done, now);
      break;
    case MSG_PEER_LOST:
      control_handle_peer_lost (control, &msg->endpoint, now);
      break;
    case MSG_BACKEND:
      control_handle_backend (control, &msg->u.backend, now);
      break;
    case MSG_CRASH_MARKS:
      if (msg->endpoint.u.address[0] == '\0')
        control_handle_local_crash_marks (control, &msg->u.items, now);
      else if (list_empty (&msg->u.items))
        control_handle_members_notice (control, msg->endpoint.u.address, now);
      else
        control_handle_peer_crash_marks (control, &msg->u.items, now);
      break;
    case MSG_ADMIN:
      control_handle_admin (control, msg, now);
      break;
    case MSG_TOLERANCE:
      control_handle_tolerance (control, &msg->u.tolerance);
      break;
    case MSG_STOP:
      control_begin_stop (control, now);
      break;
    default:
      break;
    }
  msg_free (msg);
}

/* Runs all timers that are due at NOW.  */
static void
control_tick (struct control *control, clk_us now)
{
  if (now >= control->next_renew && !control->stopping)
    control_renew_all (control, now);
  if (control->members != NULL)
    registry_expire (control->members, now);
  control_check_replicas (control, now);
  quarantine_expire (control->crash_marks, now);
  control_expire_nodes (control, now);
  control_send_members_notice (control, now);
  control_push_crash_marks (control, now);
  if (control->replica != NULL && now >= control->next_replica_tick)
    control->next_replica_tick = replica_tick (control->replica, now);
  control_process_replica_outputs (control, now);
  control_tick_pending (control, now);
  control_config_refresh (control, now);
}

/* Returns the time of the next timer.  */
static clk_us
control_wakeup (const struct control *control, clk_us now)
{
  clk_us wakeup = control->next_renew;

  if (control->stopping)
    wakeup = now + CONTROL_STOP_POLL_US;
  if (control->replica != NULL && control->next_replica_tick < wakeup)
    wakeup = control->next_replica_tick;
  return control_pending_wakeup (control, wakeup);
}

/* Detects that the process was suspended and marks the configuration as
   unconfirmed.  */
static void
control_detect_suspension (struct control *control, clk_us now)
{
  if (now - control->last_run > CONTROL_SUSPENDED_MIN_US)
    {
      slog (SLOG_WARNING, "process was suspended ms=%lld",
            (long long)((now - control->last_run) / CLK_US_PER_MS));
      control_config_clear_confirmed (control, now);
      if (control->members != NULL)
        registry_resume (control->members, now);
    }
  control->last_run = now;
}

static void *
control_main (void *arg)
{
  struct control *control = arg;
  struct list messages;
  struct list_node *node;

  if (control->store != NULL)
    control_new_replica (control);
  list_init (&messages);
  while (!control->failed && !control_check_stop (control, clk_now ()))
    {
      inbox_drain_until (control->inbox, control_wakeup (control, clk_now ()),
                         &messages);
      control_detect_suspension (control, clk_now ());
      while ((node = list_pop_head (&messages)) != NULL)
        {
          control_handle_message (control, list_entry (node, struct msg, node),
                                  clk_now ());
          control_process_replica_outputs (control, clk_now ());
        }
      control_tick (control, clk_now ());
    }
  control_fail_pending (control, clk_now ());
  if (control->failed)
    inbox_put (control->opts.front, msg_new (MSG_STOP));
  return NULL;
}

int
control_start (struct control *control)
{
  return pthread_create (&control->thread, NULL, control_main, control) == 0
             ? SR_OK
             : SR_EIO;
}

int
control_join (struct control *control)
{
  pthread_join (control->thread, NULL);
  return control->failed ? 1 : 0;
}

void
control_free (struct control *control)
{
  control_expire_nodes (control, UINT64_MAX);
  htable_fini (&control->node_table);
  replica_free (control->replica);
  registry_free (control->members);
  view_free (control->view);
  quarantine_free (control->crash_marks);
  model_unref (control->model);
  free (control->document);
  inbox_free (control->inbox);
  free (control);
}
