#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "tasks/control_state.h"

/* Time without a renewal after which the endpoint of a node is removed.  */
#define CONTROL_NODE_EXPIRY_US clk_s (10)

static struct control_node *
control_find_node (struct control *control, const char *instance)
{
  uint64_t hash = htable_hash_text (instance);

  list_each (item, htable_bucket (&control->node_table, hash))
    {
      struct htable_node *hashed = list_entry (item, struct htable_node, node);
      struct control_node *node
          = list_entry (hashed, struct control_node, hash_node);

      if (strcmp (node->instance, instance) == 0)
        return node;
    }
  return NULL;
}

/* Records the endpoint of a node that renews its lease.  */
void
control_update_node (struct control *control, const char *instance,
                     const struct msg_endpoint *endpoint, clk_us now)
{
  struct control_node *node = control_find_node (control, instance);

  if (node == NULL)
    {
      node = calloc (1, sizeof *node);
      INVARIANT (node != NULL);
      snprintf (node->instance, sizeof node->instance, "%s", instance);
      htable_add (&control->node_table, &node->hash_node,
                  htable_hash_text (instance));
    }
  node->endpoint = *endpoint;
  node->last_renewal = now;
  list_remove (&node->node);
  list_push_head (&control->nodes, &node->node);
}

void
control_expire_nodes (struct control *control, clk_us now)
{
  struct list_node *last;

  while ((last = list_last (&control->nodes)) != NULL)
    {
      struct control_node *node = list_entry (last, struct control_node, node);

      if (now - node->last_renewal < CONTROL_NODE_EXPIRY_US)
        return;
      list_remove (last);
      htable_remove (&control->node_table, &node->hash_node);
      free (node);
    }
}

/* Adds unknown crash marks; returns whether any was added.  */
static bool
control_import_crash_marks (struct control *control, const struct list *marks,
                            clk_us now)
{
  bool added = false;

  list_each (node, marks)
    {
      const struct quarantine_mark *mark
          = list_entry (node, struct quarantine_mark, node);

      if (quarantine_import_mark (control->crash_marks, mark, now) == SR_OK)
        added = true;
    }
  return added;
}

/* Creates a message with the newest crash marks.  */
static struct msg *
control_new_crash_marks_msg (struct control *control, clk_us now)
{
  struct msg *msg = msg_new (MSG_CRASH_MARKS);

  quarantine_export_marks (control->crash_marks, &msg->u.items,
                           MEMBER_CRASH_MARKS_MAX, now);
  return msg;
}

/* Sends changed crash marks to all nodes without waiting for their next
   renewals, because the caller may resend the request through any of them.
   Changes that follow soon are sent together.  */
void
control_push_crash_marks (struct control *control, clk_us now)
{
  if (!control->crash_marks_changed || now < control->next_crash_marks)
    return;
  control->crash_marks_changed = false;
  control->next_crash_marks = now + CONTROL_NOTICE_INTERVAL_US;
  list_each (item, &control->nodes)
    {
      struct msg *msg = control_new_crash_marks_msg (control, now);

      msg->endpoint = list_entry (item, struct control_node, node)->endpoint;
      inbox_put (control->peer, msg);
    }
}

/* Whether the local replica leads the configuration group.  */
static bool
control_leads_config (struct control *control)
{
  struct raft_status status;

  replica_status (control->replica, MSG_GROUP_CONFIG, &status);
  return status.role == RAFT_LEADER;
}

/* Sends a new configuration to all nodes if this node is the leader, so that
   they install it before their next renewal.  */
void
control_push_config (struct control *control)
{
  if (!control_leads_config (control) || control->document == NULL)
    return;
  list_each (item, &control->nodes)
    {
      struct msg *msg = msg_new (MSG_RESULT);
      struct msg_result *result = &msg->u.result;

      msg->endpoint = list_entry (item, struct control_node, node)->endpoint;
      result->request_id = CONTROL_REQUEST_UNSOLICITED;
      result->version = control->version;
      result->data = malloc (control->document_len);
      INVARIANT (result->data != NULL);
      memcpy (result->data, control->document, control->document_len);
      result->len = control->document_len;
      inbox_put (control->peer, msg);
    }
}

/* Notifies all nodes of member changes if this node is the leader, so that
   they renew at once and receive the changes.  The notice is a message without
   marks.  */
void
control_send_members_notice (struct control *control, clk_us now)
{
  if (control->replica == NULL || now < control->next_notice
      || control->members_change == control->members_change_sent
      || !control_leads_config (control))
    return;
  control->members_change_sent = control->members_change;
  control->next_notice = now + CONTROL_NOTICE_INTERVAL_US;
  list_each (item, &control->nodes)
    {
      struct msg *msg = msg_new (MSG_CRASH_MARKS);

      msg->endpoint = list_entry (item, struct control_node, node)->endpoint;
      inbox_put (control->peer, msg);
    }
}

/* Handles crash marks from another node.  */
void
control_handle_peer_crash_marks (struct control *control,
                                 const struct list *marks, clk_us now)
{
  if (!control_import_crash_marks (control, marks, now))
    return;
  inbox_put (control->opts.front, control_new_crash_marks_msg (control, now));
  control->crash_marks_changed = true;
  control_push_crash_marks (control, now);
}

/* Handles crash marks from the front task of this node.  */
void
control_handle_local_crash_marks (struct control *control,
                                  const struct list *marks, clk_us now)
{
  if (!control_import_crash_marks (control, marks, now))
    return;
  control_renew_all (control, now);
  control->crash_marks_changed = true;
  control_push_crash_marks (control, now);
}
