#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/err.h"
#include "core/slog.h"
#include "tasks/control_state.h"

static void
control_renew (struct control *control, struct control_replica *replica,
               clk_us now)
{
  struct msg *msg = msg_new (MSG_RENEW);
  struct member_renew *renew = &msg->u.renew;

  msg->endpoint.kind = MSG_ENDPOINT_DIAL;
  snprintf (msg->endpoint.u.address, sizeof msg->endpoint.u.address, "%s",
            replica->address);
  renew->record = control->record;
  renew->position = view_position (control->view, replica->address);
  renew->config_version = control->version;
  renew->all_services = true;
  quarantine_export_marks (control->crash_marks, &renew->crash_marks,
                           MEMBER_CRASH_MARKS_MAX, now);
  replica->last_renewal = now;
  if (replica->first_renewal == 0)
    replica->first_renewal = now;
  inbox_put (control->peer, msg);
}

static struct control_replica *
control_find_replica (struct control *control, const char *address)
{
  for (uint32_t i = 0; i < control->replica_count; i++)
    if (strcmp (control->replicas[i].address, address) == 0)
      return &control->replicas[i];
  return NULL;
}

/* Renews the lease at a replica that reports member changes, which returns
   them.  */
void
control_handle_members_notice (struct control *control, const char *address,
                               clk_us now)
{
  struct control_replica *replica = control_find_replica (control, address);

  if (replica != NULL
      && now >= replica->last_renewal + CONTROL_NOTICE_INTERVAL_US / 2)
    control_renew (control, replica, now);
}

void
control_handle_peer_lost (struct control *control,
                          const struct msg_endpoint *endpoint, clk_us now)
{
  struct control_replica *replica
      = endpoint->kind == MSG_ENDPOINT_DIAL
            ? control_find_replica (control, endpoint->u.address)
            : NULL;

  if (replica != NULL)
    control_renew (control, replica, now);
}

void
control_renew_all (struct control *control, clk_us now)
{
  control->next_renew = now + CONTROL_RENEW_INTERVAL_US;
  for (uint32_t i = 0; i < control->replica_count; i++)
    control_renew (control, &control->replicas[i], now);
}

/* Returns the time since the last reply of a replica, or since the first
   renewal when there was none.  */
static clk_us
control_replica_silence (const struct control_replica *replica, clk_us now)
{
  clk_us since = replica->last_reply != 0 ? replica->last_reply
                                          : replica->first_renewal;

  return since == 0 ? 0 : now - since;
}

void
control_check_replicas (struct control *control, clk_us now)
{
  for (uint32_t i = 0; i < control->replica_count; i++)
    {
      struct control_replica *replica = &control->replicas[i];
      clk_us silence = control_replica_silence (replica, now);

      if (replica->silent || silence < CONTROL_SILENT_US)
        continue;
      replica->silent = true;
      counter_add (COUNTER_CONTROL_SILENT, 1);
      slog (SLOG_WARNING, "control replica silent address=%s silent_ms=%llu",
            replica->address, (unsigned long long)(silence / CLK_US_PER_MS));
    }
}

/* Handles a lease renewal of a node, on a control replica.  */
void
control_handle_renew (struct control *control, struct msg *msg, clk_us now)
{
  struct msg *reply;
  struct member_renew_reply *renew_reply;
  int error;

  if (control->members == NULL)
    return;
  reply = msg_new (MSG_RENEW_REPLY);
  renew_reply = &reply->u.renew_reply;
  reply->endpoint = msg->endpoint;
  error = registry_renew (control->members, &msg->u.renew, renew_reply, now);
  if (error != SR_OK && error != SR_EEXIST)
    {
      slog (SLOG_ERR, "lease renewal refused instance=%s error=\"%s\"",
            msg->u.renew.record.instance, sr_strerror (error));
      msg_free (reply);
      return;
    }
  if (renew_reply->position.change > control->members_change)
    control->members_change = renew_reply->position.change;
  if (msg->u.renew.record.control_replica)
    replica_set_domain (control->replica, msg->u.renew.record.address,
                        msg->u.renew.record.failure_domain);
  control_update_node (control, msg->u.renew.record.instance, &msg->endpoint,
                       now);
  control_handle_peer_crash_marks (control, &msg->u.renew.crash_marks, now);
  renew_reply->config_version = control->version;
  renew_reply->config_confirmed = control->confirmed;
  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    memcpy (renew_reply->leader_addresses[i], control->leader_addresses[i],
            sizeof renew_reply->leader_addresses[i]);
  quarantine_export_marks (control->crash_marks, &renew_reply->crash_marks,
                           MEMBER_CRASH_MARKS_MAX, now);
  inbox_put (control->peer, reply);
}

/* Sends the member list to the front task.  */
static void
control_send_view (struct control *control)
{
  struct msg *msg = msg_new (MSG_VIEW);

  view_list (control->view, NULL, &msg->u.items);
  inbox_put (control->opts.front, msg);
}

/* Whether a replica stays in the list: it is in the settings, replied recently
   or is a member.  */
static bool
control_replica_is_kept (const struct control_replica *replica,
                         const struct list *items, clk_us now)
{
  if (replica->configured
      || now < replica->last_reply + CONTROL_REPLICA_EXPIRY_US)
    return true;
  list_each (node, items)
    {
      const struct member_record *record
          = &list_entry (node, struct member_item, node)->record;

      if (record->control_replica
          && strcmp (record->address, replica->address) == 0)
        return true;
    }
  return false;
}

/* Updates the list of replicas from the member table; the settings name only
   some of them.  */
void
control_update_replicas (struct control *control, clk_us now)
{
  struct list items;
  uint32_t kept = 0;

  list_init (&items);
  view_list (control->view, NULL, &items);
  for (uint32_t i = 0; i < control->replica_count; i++)
    if (control_replica_is_kept (&control->replicas[i], &items, now))
      control->replicas[kept++] = control->replicas[i];
  control->replica_count = kept;
  list_each (node, &items)
    {
      const struct member_record *record
          = &list_entry (node, struct member_item, node)->record;

      if (!record->control_replica
          || control_find_replica (control, record->address) != NULL
          || control->replica_count == CONTROL_REPLICAS_MAX)
        continue;
      slog (SLOG_NOTICE, "control replica found address=%s instance=%s",
            record->address, record->instance);
      control->replicas[control->replica_count]
          = (struct control_replica){ 0 };
      memcpy (control->replicas[control->replica_count++].address,
              record->address, sizeof record->address);
    }
  member_free_items (&items);
}

/* Logs when another instance holds a lease for this node's name.  */
static void
control_update_name_taken (struct control *control,
                           const struct member_renew_reply *renew_reply)
{
  bool taken = renew_reply->status == MEMBER_NAME_TAKEN;

  if (taken && !control->name_taken)
    slog (SLOG_ERR,
          "instance name is in use by a live lease at another address "
          "setting=--instance value=%s",
          control->record.instance);
  control->name_taken = taken;
}

void
control_handle_renew_reply (struct control *control, struct msg *msg,
                            clk_us now)
{
  const struct member_renew_reply *renew_reply = &msg->u.renew_reply;
  struct control_replica *replica
      = control_find_replica (control, msg->endpoint.u.address);

  if (replica == NULL)
    return;
  if (replica->silent)
    slog (SLOG_NOTICE,
          "control replica answers again address=%s silent_ms=%llu",
          replica->address,
          (unsigned long long)(control_replica_silence (replica, now)
                               / CLK_US_PER_MS));
  replica->silent = false;
  replica->last_reply = now;
  replica->config = renew_reply->config_version;
  control_update_name_taken (control, renew_reply);
  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    if (control->replica == NULL
        && renew_reply->leader_addresses[i][0] != '\0')
      memcpy (control->leader_addresses[i], renew_reply->leader_addresses[i],
              sizeof control->leader_addresses[i]);
  if (view_apply_reply (control->view, replica->address, renew_reply, now)
      == 1)
    {
      control_send_view (control);
      control_update_replicas (control, now);
    }
  control_handle_peer_crash_marks (control, &renew_reply->crash_marks, now);
  control_config_refresh (control, now);
}

void
control_handle_backend (struct control *control, const struct msg_backend *msg,
                        clk_us now)
{
  struct member_record *record = &control->record;

  memcpy (record->service, msg->service, sizeof record->service);
  record->slots = msg->slots;
  record->sequence++;
  switch (msg->state)
    {
    case MSG_BACKEND_UP:
      record->state = MEMBER_SERVING;
      break;
    case MSG_BACKEND_DRAINING:
      record->state = MEMBER_DRAINING;
      break;
    case MSG_BACKEND_DOWN:
      record->state = MEMBER_STARTING;
      break;
    }
  control_renew_all (control, now);
}
