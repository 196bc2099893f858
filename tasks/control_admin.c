#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/slog.h"
#include "tasks/control_state.h"
#include "wire/status.h"

/* Maximum time that an operator's change waits for its result.  */
#define CONTROL_CHANGE_TIMEOUT_MS 5000
/* Maximum time that a read waits for a quorum; longer than an election.  */
#define CONTROL_GET_TIMEOUT_MS 3000

/* Sends the reply to an operator's request; takes over TEXT.  */
static void
control_admin_reply (struct control *control, uint64_t request_id, int status,
                     char *text, uint64_t version)
{
  struct msg *msg = msg_new (MSG_ADMIN_REPLY);

  msg->u.admin_reply.request_id = request_id;
  msg->u.admin_reply.http_status = status;
  msg->u.admin_reply.version = version;
  msg->u.admin_reply.text = text;
  inbox_put (control->opts.front, msg);
}

static const char *
control_state_name (enum member_state state)
{
  switch (state)
    {
    case MEMBER_SERVING:
      return "serving";
    case MEMBER_DRAINING:
      return "draining";
    default:
      return "starting";
    }
}

static const char *
control_role_name (const struct raft_status *status)
{
  if (!status->is_member)
    return "joining";
  if (!status->is_voter)
    return "learner";
  switch (status->role)
    {
    case RAFT_FOLLOWER:
      return "follower";
    case RAFT_PRECANDIDATE:
    case RAFT_CANDIDATE:
      return "candidate";
    case RAFT_LEADER:
      return "leader";
    }
  return "unknown";
}

static void
control_admin_status_groups (struct control *control,
                             struct status_node *status)
{
  static const char *const names[MSG_GROUP_COUNT] = { "config", "claims" };

  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    {
      struct status_group *group = &status->groups[i];

      group->name = names[i];
      group->role = "none";
      memcpy (group->leader, control->leader_addresses[i],
              sizeof group->leader);
      if (control->replica == NULL)
        continue;
      struct raft_status replica;

      replica_status (control->replica, (enum msg_group)i, &replica);
      group->role = control_role_name (&replica);
      group->term = replica.term;
      group->commit = replica.commit_index;
    }
  status->group_count = MSG_GROUP_COUNT;
}

static void
control_admin_status (struct control *control, const struct msg_admin *admin)
{
  struct status_node status = {
    .instance = control->record.instance,
    .failure_domain = control->record.failure_domain,
    .incarnation = control->record.incarnation,
    .state = control_state_name (control->record.state),
    .version = control->version,
    .confirmed = control->confirmed,
    .name_taken = control->name_taken,
    .replicas = control->replica_count,
    .front_json = admin->text,
  };
  clk_us now = clk_now ();
  struct list items;

  list_init (&items);
  status.members = view_list (control->view, NULL, &items);
  member_free_items (&items);
  for (uint32_t i = 0; i < control->replica_count; i++)
    if (control->replicas[i].last_reply != 0
        && now - control->replicas[i].last_reply < CONTROL_LEASE_US)
      status.replicas_reachable++;
  control_admin_status_groups (control, &status);
  control_admin_reply (control, admin->request_id, 200,
                       status_encode_node (&status), 0);
}

/* Reads the configuration through a quorum, because this node may have missed
   changes.  */
static void
control_admin_get (struct control *control, const struct msg_admin *admin,
                   clk_us now)
{
  struct control_origin origin
      = { .kind = CONTROL_ORIGIN_ADMIN_GET, .request_id = admin->request_id };
  struct msg_propose propose = { .kind = MSG_PROPOSE_READ,
                                 .group = MSG_GROUP_CONFIG,
                                 .timeout_ms = CONTROL_GET_TIMEOUT_MS };

  control_propose (control, &origin, &propose, now);
}

/* Replies to an operator's read.  */
void
control_admin_reply_get (struct control *control, uint64_t request_id,
                         const struct msg_result *result)
{
  char text[128];

  if (result->status != SR_OK)
    {
      snprintf (text, sizeof text,
                "no quorum confirms the configuration; version %llu is in "
                "force at this node",
                (unsigned long long)control->version.number);
      control_admin_reply (control, request_id, 503,
                           status_encode_error (text), 0);
    }
  else if (result->len == 0)
    control_admin_reply (control, request_id, 404,
                         status_encode_error ("no configuration is in force"),
                         0);
  else
    control_admin_reply (control, request_id, 200,
                         strndup ((const char *)result->data, result->len),
                         result->version.number);
}

static void
control_admin_members (struct control *control, const struct msg_admin *admin)
{
  struct list items;

  list_init (&items);
  view_list (control->view, NULL, &items);
  control_admin_reply (control, admin->request_id, 200,
                       status_encode_members (&items), 0);
  member_free_items (&items);
}

/* Lists the members that have not installed a version.  A replica knows all
   members only once a lease has passed since its start.  */
static void
control_admin_lagging (struct control *control, const struct msg_admin *admin,
                       clk_us now)
{
  struct list items;
  uint32_t count;

  if (control->members == NULL)
    {
      control_admin_reply (
          control, admin->request_id, 404,
          status_encode_error ("only control replicas know this"), 0);
      return;
    }
  if (now - control->unconfirmed_since < CONTROL_LEASE_US)
    {
      control_admin_reply (
          control, admin->request_id, 503,
          status_encode_error (
              "not all members are known yet after the start"),
          0);
      return;
    }
  list_init (&items);
  count
      = registry_list_lagging (control->members, admin->base_version, &items);
  control_admin_reply (control, admin->request_id, 200,
                       status_encode_lagging (count, &items), 0);
  member_free_items (&items);
}

static void
control_admin_apply (struct control *control, const struct msg_admin *admin,
                     clk_us now)
{
  struct control_origin origin = { .kind = CONTROL_ORIGIN_ADMIN_CHANGE,
                                   .request_id = admin->request_id };
  struct cfg_change change = { .base = admin->base_version,
                               .numbering = admin->numbering,
                               .document = admin->text,
                               .document_len = admin->len };
  struct msg_propose propose = { .kind = MSG_PROPOSE_COMMAND,
                                 .group = MSG_GROUP_CONFIG,
                                 .timeout_ms = CONTROL_CHANGE_TIMEOUT_MS };

  snprintf (change.change_id, sizeof change.change_id, "%s", admin->change_id);
  if (cfg_change_encode (&change, &propose.data, &propose.len) != SR_OK)
    {
      control_admin_reply (
          control, admin->request_id, 400,
          status_encode_error ("change id is empty, version number is not "
                               "allowed or document is too long"),
          0);
      return;
    }
  control_propose (control, &origin, &propose, now);
}

/* Replies to an operator's change.  */
void
control_admin_reply_change (struct control *control, uint64_t request_id,
                            const struct msg_result *result)
{
  struct cfg_result change;

  if (result->status != SR_OK
      || cfg_result_decode (result->data, result->len, &change) != SR_OK)
    {
      control_admin_reply (control, request_id, 503,
                           status_encode_change_result ("unavailable", 0), 0);
      return;
    }
  switch (change.kind)
    {
    case CFG_ACCEPTED:
      slog (SLOG_NOTICE, "change acknowledged version=%llu",
            (unsigned long long)change.number);
      control_admin_reply (
          control, request_id, 200,
          status_encode_change_result ("accepted", change.number),
          change.number);
      break;
    case CFG_CONFLICT:
      control_admin_reply (
          control, request_id, 409,
          status_encode_change_result ("conflict", change.number),
          change.number);
      break;
    }
}

void
control_handle_admin (struct control *control, struct msg *msg, clk_us now)
{
  const struct msg_admin *admin = &msg->u.admin;

  switch (admin->op)
    {
    case MSG_ADMIN_STATUS:
      control_admin_status (control, admin);
      break;
    case MSG_ADMIN_GET:
      control_admin_get (control, admin, now);
      break;
    case MSG_ADMIN_APPLY:
      control_admin_apply (control, admin, now);
      break;
    case MSG_ADMIN_MEMBERS:
      control_admin_members (control, admin);
      break;
    case MSG_ADMIN_LAGGING:
      control_admin_lagging (control, admin, now);
      break;
    }
}
