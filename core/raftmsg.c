#include "core/raftmsg.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Allocates SIZE zeroed bytes; never NULL.  */
static void *
raftmsg_alloc (size_t size)
{
  void *memory = calloc (1, size);

  INVARIANT (memory != NULL);
  return memory;
}

/* Returns a copy of LEN bytes, or NULL when there are none.  */
static void *
raftmsg_dup (const void *data, size_t len)
{
  void *copy;

  if (data == NULL || len == 0)
    return NULL;
  copy = raftmsg_alloc (len);
  memcpy (copy, data, len);
  return copy;
}

struct raft_msg *
raft_msg_new (enum raft_msg_kind kind)
{
  struct raft_msg *msg = raftmsg_alloc (sizeof *msg);

  msg->kind = kind;
  if (kind == RAFT_APPEND)
    list_init (&msg->u.append.entries);
  return msg;
}

void
raft_msg_free (struct raft_msg *msg)
{
  if (msg == NULL)
    return;
  switch (msg->kind)
    {
    case RAFT_APPEND:
      raft_entries_free (&msg->u.append.entries);
      break;
    case RAFT_INSTALL_SNAPSHOT:
      free (msg->u.chunk.data);
      break;
    default:
      break;
    }
  free (msg);
}

struct raft_msg *
raft_msg_copy (const struct raft_msg *msg)
{
  struct raft_msg *copy = raftmsg_dup (msg, sizeof *msg);

  switch (msg->kind)
    {
    case RAFT_APPEND:
      list_init (&copy->u.append.entries);
      list_each (node, &msg->u.append.entries)
        {
          const struct raft_entry *entry
              = list_entry (node, struct raft_entry, node);

          list_push_tail (&copy->u.append.entries,
                          &raft_entry_copy (entry)->node);
        }
      break;
    case RAFT_INSTALL_SNAPSHOT:
      copy->u.chunk.data = raftmsg_dup (msg->u.chunk.data, msg->u.chunk.len);
      break;
    default:
      break;
    }
  return copy;
}

struct raft_entry *
raft_entry_new (enum raft_entry_kind kind)
{
  struct raft_entry *entry = raftmsg_alloc (sizeof *entry);

  entry->kind = kind;
  return entry;
}

void
raft_entry_free (struct raft_entry *entry)
{
  if (entry == NULL)
    return;
  free (entry->data);
  free (entry->members);
  free (entry);
}

struct raft_entry *
raft_entry_copy (const struct raft_entry *entry)
{
  struct raft_entry *copy = raftmsg_dup (entry, sizeof *entry);

  copy->node = (struct list_node){ 0 };
  copy->data = raftmsg_dup (entry->data, entry->len);
  copy->members = raftmsg_dup (entry->members, sizeof *entry->members);
  return copy;
}

void
raft_entries_free (struct list *entries)
{
  struct list_node *node;

  while ((node = list_pop_head (entries)) != NULL)
    raft_entry_free (list_entry (node, struct raft_entry, node));
}

void
raft_snapshot_unref (struct raft_snapshot *snapshot)
{
  if (snapshot == NULL || atomic_fetch_sub (&snapshot->extra_refs, 1) > 0)
    return;
  free (snapshot->data);
  free (snapshot);
}

struct raft_snapshot *
raft_snapshot_ref (struct raft_snapshot *snapshot)
{
  if (snapshot != NULL)
    atomic_fetch_add (&snapshot->extra_refs, 1);
  return snapshot;
}

const struct raft_member *
raft_members_find (const struct raft_members *members, uint64_t id)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (members->list[i].id == id)
      return &members->list[i];
  return NULL;
}

struct raft_write *
raft_write_new (uint32_t group)
{
  struct raft_write *write = raftmsg_alloc (sizeof *write);

  write->group = group;
  list_init (&write->entries);
  return write;
}

void
raft_write_free (struct raft_write *write)
{
  if (write == NULL)
    return;
  raft_entries_free (&write->entries);
  raft_snapshot_unref (write->snapshot);
  free (write);
}

struct raft_write_done *
raft_write_done_new (uint32_t group, uint64_t sequence, int status)
{
  struct raft_write_done *done = raftmsg_alloc (sizeof *done);

  done->group = group;
  done->sequence = sequence;
  done->status = status;
  return done;
}

void
raft_write_done_free (struct raft_write_done *done)
{
  free (done);
}

void
raft_persistent_state_init (struct raft_persistent_state *state)
{
  *state = (struct raft_persistent_state){ 0 };
  list_init (&state->entries);
}

void
raft_persistent_state_clear (struct raft_persistent_state *state)
{
  raft_entries_free (&state->entries);
  raft_snapshot_unref (state->snapshot);
  raft_persistent_state_init (state);
}
