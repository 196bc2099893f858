#include "core/repmsg.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"

static void *
repmsg_alloc (size_t size)
{
  void *out = calloc (1, size);

  INVARIANT (out != NULL);
  return out;
}

/* Copy of LEN bytes; NULL when there are none.  */
static void *
repmsg_dup (const void *data, size_t len)
{
  void *out;

  if (data == NULL || len == 0)
    return NULL;
  out = repmsg_alloc (len);
  memcpy (out, data, len);
  return out;
}

struct rep_msg *
rep_msg_new (enum rep_msg_kind kind)
{
  struct rep_msg *msg = repmsg_alloc (sizeof *msg);

  msg->kind = kind;
  if (kind == REP_APPEND)
    lst_init (&msg->u.append.entries);
  return msg;
}

void
rep_msg_free (struct rep_msg *msg)
{
  if (msg == NULL)
    return;
  switch (msg->kind)
    {
    case REP_APPEND:
      rep_entries_free (&msg->u.append.entries);
      break;
    case REP_SNAPSHOT:
      free (msg->u.chunk.data);
      break;
    default:
      break;
    }
  free (msg);
}

struct rep_msg *
rep_msg_copy (const struct rep_msg *msg)
{
  struct rep_msg *out = repmsg_dup (msg, sizeof *msg);

  switch (msg->kind)
    {
    case REP_APPEND:
      lst_init (&out->u.append.entries);
      lst_each (node, &msg->u.append.entries)
        {
          const struct rep_entry *entry
              = lst_entry (node, struct rep_entry, node);

          lst_push_tail (&out->u.append.entries,
                         &rep_entry_copy (entry)->node);
        }
      break;
    case REP_SNAPSHOT:
      out->u.chunk.data = repmsg_dup (msg->u.chunk.data, msg->u.chunk.len);
      break;
    default:
      break;
    }
  return out;
}

struct rep_entry *
rep_entry_new (enum rep_entry_kind kind)
{
  struct rep_entry *entry = repmsg_alloc (sizeof *entry);

  entry->kind = kind;
  return entry;
}

void
rep_entry_free (struct rep_entry *entry)
{
  if (entry == NULL)
    return;
  free (entry->data);
  free (entry->members);
  free (entry);
}

struct rep_entry *
rep_entry_copy (const struct rep_entry *entry)
{
  struct rep_entry *out = repmsg_dup (entry, sizeof *entry);

  out->node = (struct lst_node){ 0 };
  out->data = repmsg_dup (entry->data, entry->len);
  out->members = repmsg_dup (entry->members, sizeof *entry->members);
  return out;
}

void
rep_entries_free (struct lst *entries)
{
  struct lst_node *node;

  while ((node = lst_pop_head (entries)) != NULL)
    rep_entry_free (lst_entry (node, struct rep_entry, node));
}

void
rep_snapshot_free (struct rep_snapshot *snapshot)
{
  if (snapshot == NULL || atomic_fetch_sub (&snapshot->shares, 1) > 0)
    return;
  free (snapshot->data);
  free (snapshot);
}

struct rep_snapshot *
rep_snapshot_share (struct rep_snapshot *snapshot)
{
  if (snapshot != NULL)
    atomic_fetch_add (&snapshot->shares, 1);
  return snapshot;
}

const struct rep_member *
rep_members_find (const struct rep_members *members, uint64_t id)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (members->list[i].id == id)
      return &members->list[i];
  return NULL;
}

struct sto_write *
sto_write_new (uint32_t group)
{
  struct sto_write *write = repmsg_alloc (sizeof *write);

  write->group = group;
  lst_init (&write->entries);
  return write;
}

void
sto_write_free (struct sto_write *write)
{
  if (write == NULL)
    return;
  rep_entries_free (&write->entries);
  rep_snapshot_free (write->snapshot);
  free (write);
}

struct sto_done *
sto_done_new (uint32_t group, uint64_t sequence, int status)
{
  struct sto_done *done = repmsg_alloc (sizeof *done);

  done->group = group;
  done->sequence = sequence;
  done->status = status;
  return done;
}

void
sto_done_free (struct sto_done *done)
{
  free (done);
}

void
sto_loaded_init (struct sto_loaded *loaded)
{
  *loaded = (struct sto_loaded){ 0 };
  lst_init (&loaded->entries);
}

void
sto_loaded_clear (struct sto_loaded *loaded)
{
  rep_entries_free (&loaded->entries);
  rep_snapshot_free (loaded->snapshot);
  sto_loaded_init (loaded);
}
