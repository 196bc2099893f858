#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "tasks/control_state.h"
#include "wire/status.h"

/* Longest time that an operator's change waits for its result.  */
#define CTL_CHANGE_TIMEOUT_MS 5000
/* Longest time that a read waits for a quorum; an election takes less.  */
#define CTL_GET_TIMEOUT_MS 3000

/* Answers an operator's request; takes TEXT over.  */
static void
ctl_admin_reply (struct control *control, uint64_t request, int status,
                 char *text, uint64_t version)
{
  struct msg *msg = msg_new (MSG_ADMIN_REPLY);

  msg->u.admin_reply.request = request;
  msg->u.admin_reply.http_status = status;
  msg->u.admin_reply.version = version;
  msg->u.admin_reply.text = text;
  inb_put (control->opts.front, msg);
}

static const char *
ctl_state_name (enum mem_state state)
{
  switch (state)
    {
    case MEM_SERVING:
      return "serving";
    case MEM_DRAINING:
      return "draining";
    default:
      return "starting";
    }
}

static const char *
ctl_role_name (const struct rep_status *status)
{
  if (!status->member)
    return "joining";
  if (!status->voter)
    return "learner";
  switch (status->role)
    {
    case REP_FOLLOWER:
      return "follower";
    case REP_PRECANDIDATE:
    case REP_CANDIDATE:
      return "candidate";
    case REP_LEADER:
      return "leader";
    }
  return "unknown";
}

static void
ctl_status_groups (struct control *control, struct sts_status *status)
{
  static const char *const names[MSG_GROUP_COUNT] = { "config", "claims" };

  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    {
      struct sts_group *group = &status->groups[i];

      group->name = names[i];
      group->role = "none";
      memcpy (group->leader, control->leader[i], sizeof group->leader);
      if (control->replica == NULL)
        continue;
      struct rep_status replica;

      rpl_status (control->replica, (enum msg_group)i, &replica);
      group->role = ctl_role_name (&replica);
      group->term = replica.term;
      group->commit = replica.commit;
    }
  status->group_count = MSG_GROUP_COUNT;
}

static void
ctl_admin_status (struct control *control, const struct msg_admin *admin)
{
  struct sts_status status = {
    .instance = control->record.instance,
    .failure_domain = control->record.failure_domain,
    .incarnation = control->record.incarnation,
    .state = ctl_state_name (control->record.state),
    .version = control->version,
    .confirmed = control->confirmed,
    .name_taken = control->name_taken,
    .replicas = control->replica_count,
    .front = admin->text,
  };
  clk_us now = clk_now ();
  struct lst items;

  lst_init (&items);
  status.members = viw_list (control->view, NULL, &items);
  mem_free_items (&items);
  for (uint32_t i = 0; i < control->replica_count; i++)
    if (control->replicas[i].heard != 0
        && now - control->replicas[i].heard < CTL_LEASE_US)
      status.replicas_heard++;
  ctl_status_groups (control, &status);
  ctl_admin_reply (control, admin->request, 200, sts_encode_status (&status),
                   0);
}

/* Reads through a quorum: this node may have missed changes.  */
static void
ctl_admin_get (struct control *control, const struct msg_admin *admin,
               clk_us now)
{
  struct ctl_origin origin
      = { .kind = CTL_ORIGIN_GET, .request = admin->request };
  struct msg_propose propose = { .kind = MSG_PROPOSE_READ,
                                 .group = MSG_GROUP_CONFIG,
                                 .timeout_ms = CTL_GET_TIMEOUT_MS };

  ctl_propose (control, &origin, &propose, now);
}

/* The result of an operator's read.  */
void
ctl_get_result (struct control *control, uint64_t request,
                const struct msg_result *result)
{
  char text[128];

  if (result->status != SR_OK)
    {
      snprintf (text, sizeof text,
                "no quorum confirms the configuration; version %llu is in "
                "force at this node",
                (unsigned long long)control->version.number);
      ctl_admin_reply (control, request, 503, sts_encode_error (text), 0);
    }
  else if (result->len == 0)
    ctl_admin_reply (control, request, 404,
                     sts_encode_error ("no configuration is in force"), 0);
  else
    ctl_admin_reply (control, request, 200,
                     strndup ((const char *)result->data, result->len),
                     result->version.number);
}

static void
ctl_admin_members (struct control *control, const struct msg_admin *admin)
{
  struct lst items;

  lst_init (&items);
  viw_list (control->view, NULL, &items);
  ctl_admin_reply (control, admin->request, 200, sts_encode_members (&items),
                   0);
  mem_free_items (&items);
}

/* Which members have not put a version in force.  A replica knows all of them
   only a lease after its start.  */
static void
ctl_admin_behind (struct control *control, const struct msg_admin *admin,
                  clk_us now)
{
  struct lst items;
  uint32_t behind;

  if (control->members == NULL)
    {
      ctl_admin_reply (control, admin->request, 404,
                       sts_encode_error ("only control replicas know this"),
                       0);
      return;
    }
  if (now - control->unconfirmed_since < CTL_LEASE_US)
    {
      ctl_admin_reply (
          control, admin->request, 503,
          sts_encode_error ("not all members are known yet after the start"),
          0);
      return;
    }
  lst_init (&items);
  behind = mbr_behind (control->members, admin->base, &items);
  ctl_admin_reply (control, admin->request, 200,
                   sts_encode_behind (behind, &items), 0);
  mem_free_items (&items);
}

static void
ctl_admin_apply (struct control *control, const struct msg_admin *admin,
                 clk_us now)
{
  struct ctl_origin origin
      = { .kind = CTL_ORIGIN_CHANGE, .request = admin->request };
  struct cfg_change change = { .base = admin->base,
                               .number = admin->number,
                               .document = admin->text,
                               .document_len = admin->len };
  struct msg_propose propose = { .kind = MSG_PROPOSE_COMMAND,
                                 .group = MSG_GROUP_CONFIG,
                                 .timeout_ms = CTL_CHANGE_TIMEOUT_MS };

  snprintf (change.change_id, sizeof change.change_id, "%s", admin->change_id);
  if (cfg_encode (&change, &propose.data, &propose.len) != SR_OK)
    {
      ctl_admin_reply (
          control, admin->request, 400,
          sts_encode_error ("change id is empty or document is too long"), 0);
      return;
    }
  ctl_propose (control, &origin, &propose, now);
}

/* The result of an operator's change.  */
void
ctl_change_result (struct control *control, uint64_t request,
                   const struct msg_result *result)
{
  struct cfg_result change;

  if (result->status != SR_OK
      || cfg_result_decode (result->data, result->len, &change) != SR_OK)
    {
      ctl_admin_reply (control, request, 503,
                       sts_encode_change ("unavailable", 0), 0);
      return;
    }
  switch (change.kind)
    {
    case CFG_ACCEPTED:
      ctl_admin_reply (control, request, 200,
                       sts_encode_change ("accepted", change.number),
                       change.number);
      break;
    case CFG_CONFLICT:
      ctl_admin_reply (control, request, 409,
                       sts_encode_change ("conflict", change.number),
                       change.number);
      break;
    }
}

void
ctl_take_admin (struct control *control, struct msg *msg, clk_us now)
{
  const struct msg_admin *admin = &msg->u.admin;

  switch (admin->op)
    {
    case MSG_ADMIN_STATUS:
      ctl_admin_status (control, admin);
      break;
    case MSG_ADMIN_GET:
      ctl_admin_get (control, admin, now);
      break;
    case MSG_ADMIN_APPLY:
      ctl_admin_apply (control, admin, now);
      break;
    case MSG_ADMIN_MEMBERS:
      ctl_admin_members (control, admin);
      break;
    case MSG_ADMIN_BEHIND:
      ctl_admin_behind (control, admin, now);
      break;
    }
}
