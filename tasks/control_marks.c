#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "tasks/control_state.h"

/* Silence after which the way back to a node is forgotten.  */
#define CTL_NODE_SILENT_US clk_s (10)

static struct ctl_node *
ctl_find_node (struct control *control, const char *instance)
{
  uint64_t hash = hsh_text (instance);

  lst_each (item, hsh_bucket (&control->node_table, hash))
    {
      struct hsh_node *hashed = lst_entry (item, struct hsh_node, node);
      struct ctl_node *node = lst_entry (hashed, struct ctl_node, hash_node);

      if (strcmp (node->instance, instance) == 0)
        return node;
    }
  return NULL;
}

/* Remembers how a node that renews its lease can be reached.  */
void
ctl_note_node (struct control *control, const char *instance,
               const struct msg_route *route, clk_us now)
{
  struct ctl_node *node = ctl_find_node (control, instance);

  if (node == NULL)
    {
      node = calloc (1, sizeof *node);
      INVARIANT (node != NULL);
      snprintf (node->instance, sizeof node->instance, "%s", instance);
      hsh_add (&control->node_table, &node->hash_node, hsh_text (instance));
    }
  node->route = *route;
  node->heard = now;
  lst_remove (&node->node);
  lst_push_head (&control->nodes, &node->node);
}

void
ctl_expire_nodes (struct control *control, clk_us now)
{
  struct lst_node *last;

  while ((last = lst_last (&control->nodes)) != NULL)
    {
      struct ctl_node *node = lst_entry (last, struct ctl_node, node);

      if (now - node->heard < CTL_NODE_SILENT_US)
        return;
      lst_remove (last);
      hsh_remove (&control->node_table, &node->hash_node);
      free (node);
    }
}

/* Adds marks that are not known yet; returns whether there was one.  */
static bool
ctl_import_marks (struct control *control, const struct lst *marks, clk_us now)
{
  bool added = false;

  lst_each (node, marks)
    {
      const struct qrt_mark *mark = lst_entry (node, struct qrt_mark, node);

      if (qrt_import (control->marks, mark, now) == SR_OK)
        added = true;
    }
  return added;
}

/* A message with the newest marks.  */
static struct msg *
ctl_marks_msg (struct control *control, clk_us now)
{
  struct msg *msg = msg_new (MSG_MARKS);

  qrt_export (control->marks, &msg->u.items, MEM_MARKS_MAX, now);
  return msg;
}

/* Tells all nodes at once: the caller may resend its request through any of
   them before their next renewal.  */
static void
ctl_push_marks (struct control *control, clk_us now)
{
  lst_each (item, &control->nodes)
    {
      struct msg *msg = ctl_marks_msg (control, now);

      msg->route = lst_entry (item, struct ctl_node, node)->route;
      inb_put (control->peer, msg);
    }
}

/* Whether this node's replica leads the configuration group.  */
static bool
ctl_is_leader (struct control *control)
{
  struct rep_status status;

  rpl_status (control->replica, MSG_GROUP_CONFIG, &status);
  return status.role == REP_LEADER;
}

/* Sends a new configuration to all nodes at once; the leader does this, so
   that it is in force before the next renewal.  */
void
ctl_push_config (struct control *control)
{
  if (!ctl_is_leader (control) || control->document == NULL)
    return;
  lst_each (item, &control->nodes)
    {
      struct msg *msg = msg_new (MSG_RESULT);
      struct msg_result *result = &msg->u.result;

      msg->route = lst_entry (item, struct ctl_node, node)->route;
      result->request = CTL_PUSHED;
      result->version = control->version;
      result->data = malloc (control->document_len);
      INVARIANT (result->data != NULL);
      memcpy (result->data, control->document, control->document_len);
      result->len = control->document_len;
      inb_put (control->peer, msg);
    }
}

/* Asks all nodes to renew at once when members have changed, so that they need
   not find out by themselves; the leader does this.  The notice is a message
   with no marks.  */
void
ctl_tell_members (struct control *control, clk_us now)
{
  if (control->replica == NULL || now < control->next_tell
      || control->members_change == control->members_told
      || !ctl_is_leader (control))
    return;
  control->members_told = control->members_change;
  control->next_tell = now + CTL_TELL_US;
  lst_each (item, &control->nodes)
    {
      struct msg *msg = msg_new (MSG_MARKS);

      msg->route = lst_entry (item, struct ctl_node, node)->route;
      inb_put (control->peer, msg);
    }
}

/* Marks from another node.  */
void
ctl_take_marks (struct control *control, const struct lst *marks, clk_us now)
{
  if (!ctl_import_marks (control, marks, now))
    return;
  inb_put (control->opts.front, ctl_marks_msg (control, now));
  ctl_push_marks (control, now);
}

/* Marks of the own front task.  */
void
ctl_own_marks (struct control *control, const struct lst *marks, clk_us now)
{
  if (!ctl_import_marks (control, marks, now))
    return;
  ctl_renew_all (control, now);
  ctl_push_marks (control, now);
}
