#include "core/msg.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/raftmsg.h"

/* Frees the items of a list.  The link must be their first member.  */
static void
msg_free_list (struct list *list)
{
  struct list_node *node;

  while ((node = list_pop_head (list)) != NULL)
    free (node);
}

struct msg *
msg_new (enum msg_kind kind)
{
  struct msg *msg = calloc (1, sizeof *msg);

  INVARIANT (msg != NULL);
  msg->kind = kind;
  switch (kind)
    {
    case MSG_OPEN:
      list_init (&msg->u.open.fields);
      break;
    case MSG_HEAD:
      list_init (&msg->u.head.fields);
      break;
    case MSG_RENEW:
      list_init (&msg->u.renew.crash_marks);
      break;
    case MSG_RENEW_REPLY:
      list_init (&msg->u.renew_reply.items);
      list_init (&msg->u.renew_reply.crash_marks);
      break;
    case MSG_VIEW:
    case MSG_CRASH_MARKS:
      list_init (&msg->u.items);
      break;
    case MSG_TOLERANCE:
      list_init (&msg->u.tolerance.regions);
      break;
    default:
      break;
    }
  return msg;
}

void
msg_free (struct msg *msg)
{
  if (msg == NULL)
    return;
  switch (msg->kind)
    {
    case MSG_OPEN:
      free (msg->u.open.path);
      msg_fields_free (&msg->u.open.fields);
      break;
    case MSG_BODY:
      free (msg->u.body.data);
      break;
    case MSG_HEAD:
      msg_fields_free (&msg->u.head.fields);
      break;
    case MSG_RENEW:
      free (msg->u.renew.services);
      msg_free_list (&msg->u.renew.crash_marks);
      break;
    case MSG_RENEW_REPLY:
      msg_free_list (&msg->u.renew_reply.items);
      msg_free_list (&msg->u.renew_reply.crash_marks);
      break;
    case MSG_PROPOSE:
    case MSG_CLAIM:
      free (msg->u.propose.data);
      break;
    case MSG_RESULT:
      free (msg->u.result.data);
      break;
    case MSG_RAFT:
      raft_msg_free (msg->u.raft.msg);
      break;
    case MSG_MODEL:
      model_unref (msg->u.model.model);
      break;
    case MSG_VIEW:
    case MSG_CRASH_MARKS:
      msg_free_list (&msg->u.items);
      break;
    case MSG_ADMIN:
      free (msg->u.admin.text);
      break;
    case MSG_ADMIN_REPLY:
      free (msg->u.admin_reply.text);
      break;
    case MSG_TOLERANCE:
      msg_free_list (&msg->u.tolerance.regions);
      break;
    case MSG_STORE_WRITE:
      raft_write_free (msg->u.store_write);
      break;
    case MSG_STORE_DONE:
      raft_write_done_free (msg->u.store_done);
      break;
    default:
      break;
    }
  free (msg);
}

int
msg_field_add (struct list *fields, const char *name, const char *value)
{
  struct msg_field *field = calloc (1, sizeof *field);

  if (field == NULL)
    return SR_ENOMEM;
  field->name = strdup (name);
  field->value = strdup (value);
  if (field->name == NULL || field->value == NULL)
    {
      free (field->name);
      free (field->value);
      free (field);
      return SR_ENOMEM;
    }
  list_push_tail (fields, &field->node);
  return SR_OK;
}

const char *
msg_field_get (const struct list *fields, const char *name)
{
  list_each (node, fields)
    {
      const struct msg_field *field
          = list_entry (node, struct msg_field, node);

      if (strcmp (field->name, name) == 0)
        return field->value;
    }
  return NULL;
}

void
msg_fields_free (struct list *fields)
{
  struct list_node *node;

  while ((node = list_pop_head (fields)) != NULL)
    {
      struct msg_field *field = list_entry (node, struct msg_field, node);

      free (field->name);
      free (field->value);
      free (field);
    }
}
