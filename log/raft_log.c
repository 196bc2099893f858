#include "log/raft_impl.h"

#include <stdlib.h>

static struct raft_entry *
raft_log_entry (const struct list_node *node)
{
  return list_entry (node, struct raft_entry, node);
}

void
raft_log_init (struct raft_log *log)
{
  *log = (struct raft_log){ 0 };
  list_init (&log->entries);
}

void
raft_log_clear (struct raft_log *log)
{
  raft_entries_free (&log->entries);
  raft_log_init (log);
}

/* Walks the list from the nearer end; most lookups are near the last
   entry.  */
struct raft_entry *
raft_log_get (const struct raft_log *log, uint64_t index)
{
  struct list_node *node;

  if (index <= log->base_index || index > log->last_index)
    return NULL;
  if (index - log->base_index < log->last_index - index)
    {
      node = log->entries.head.next;
      for (uint64_t i = log->base_index + 1; i < index; i++)
        node = node->next;
    }
  else
    {
      node = log->entries.head.prev;
      for (uint64_t i = log->last_index; i > index; i--)
        node = node->prev;
    }
  INVARIANT (raft_log_entry (node)->index == index);
  return raft_log_entry (node);
}

uint64_t
raft_log_term (const struct raft_log *log, uint64_t index)
{
  const struct raft_entry *entry;

  if (index == log->base_index)
    return log->base_term;
  entry = raft_log_get (log, index);
  return entry == NULL ? 0 : entry->term;
}

uint64_t
raft_log_last_term (const struct raft_log *log)
{
  return raft_log_term (log, log->last_index);
}

void
raft_log_append (struct raft_log *log, struct raft_entry *entry)
{
  INVARIANT (entry->index == log->last_index + 1);
  INVARIANT (entry->term >= raft_log_last_term (log));
  list_push_tail (&log->entries, &entry->node);
  log->last_index = entry->index;
}

void
raft_log_truncate (struct raft_log *log, uint64_t from)
{
  INVARIANT (from > log->base_index);
  while (log->last_index >= from)
    {
      struct list_node *node = list_last (&log->entries);

      list_remove (node);
      raft_entry_free (raft_log_entry (node));
      log->last_index--;
    }
}

void
raft_log_compact (struct raft_log *log, uint64_t index)
{
  while (log->base_index < index)
    {
      struct raft_entry *entry
          = raft_log_entry (list_pop_head (&log->entries));

      if (entry->kind == RAFT_ENTRY_MEMBERSHIP)
        log->base_members = *entry->members;
      log->base_index = entry->index;
      log->base_term = entry->term;
      raft_entry_free (entry);
    }
}

void
raft_log_reset (struct raft_log *log, const struct raft_snapshot *snapshot)
{
  raft_log_clear (log);
  log->base_index = snapshot->index;
  log->base_term = snapshot->term;
  log->base_members = snapshot->members;
  log->last_index = snapshot->index;
}

const struct raft_members *
raft_log_members (const struct raft_log *log, uint64_t index,
                  uint64_t *members_index)
{
  for (struct list_node *node = log->entries.head.prev;
       node != &log->entries.head; node = node->prev)
    {
      const struct raft_entry *entry = raft_log_entry (node);

      if (entry->index <= index && entry->kind == RAFT_ENTRY_MEMBERSHIP)
        {
          *members_index = entry->index;
          return entry->members;
        }
    }
  *members_index = log->base_index;
  return &log->base_members;
}
