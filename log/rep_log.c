#include "log/rep_impl.h"

#include <stdlib.h>

static struct rep_entry *
rep_log_entry (const struct lst_node *node)
{
  return lst_entry (node, struct rep_entry, node);
}

void
rep_log_init (struct rep_log *log)
{
  *log = (struct rep_log){ 0 };
  lst_init (&log->entries);
}

void
rep_log_clear (struct rep_log *log)
{
  rep_entries_free (&log->entries);
  rep_log_init (log);
}

/* Walks from the nearer end: followers are almost always near the last
   entry.  */
struct rep_entry *
rep_log_get (const struct rep_log *log, uint64_t index)
{
  struct lst_node *node;

  if (index <= log->base_index || index > log->last_index)
    return NULL;
  if (index - log->base_index < log->last_index - index)
    {
      node = log->entries.head.next;
      for (uint64_t at = log->base_index + 1; at < index; at++)
        node = node->next;
    }
  else
    {
      node = log->entries.head.prev;
      for (uint64_t at = log->last_index; at > index; at--)
        node = node->prev;
    }
  INVARIANT (rep_log_entry (node)->index == index);
  return rep_log_entry (node);
}

uint64_t
rep_log_term (const struct rep_log *log, uint64_t index)
{
  const struct rep_entry *entry;

  if (index == log->base_index)
    return log->base_term;
  entry = rep_log_get (log, index);
  return entry == NULL ? 0 : entry->term;
}

uint64_t
rep_log_last_term (const struct rep_log *log)
{
  return rep_log_term (log, log->last_index);
}

void
rep_log_append (struct rep_log *log, struct rep_entry *entry)
{
  INVARIANT (entry->index == log->last_index + 1);
  INVARIANT (entry->term >= rep_log_last_term (log));
  lst_push_tail (&log->entries, &entry->node);
  log->last_index = entry->index;
}

void
rep_log_truncate (struct rep_log *log, uint64_t from)
{
  INVARIANT (from > log->base_index);
  while (log->last_index >= from)
    {
      struct lst_node *node = lst_last (&log->entries);

      lst_remove (node);
      rep_entry_free (rep_log_entry (node));
      log->last_index--;
    }
}

void
rep_log_compact (struct rep_log *log, uint64_t index)
{
  while (log->base_index < index)
    {
      struct rep_entry *entry = rep_log_entry (lst_pop_head (&log->entries));

      if (entry->kind == REP_MEMBERSHIP)
        log->base_members = *entry->members;
      log->base_index = entry->index;
      log->base_term = entry->term;
      rep_entry_free (entry);
    }
}

void
rep_log_reset (struct rep_log *log, const struct rep_snapshot *snapshot)
{
  rep_log_clear (log);
  log->base_index = snapshot->index;
  log->base_term = snapshot->term;
  log->base_members = snapshot->members;
  log->last_index = snapshot->index;
}

const struct rep_members *
rep_log_members (const struct rep_log *log, uint64_t index, uint64_t *at)
{
  for (struct lst_node *node = log->entries.head.prev;
       node != &log->entries.head; node = node->prev)
    {
      const struct rep_entry *entry = rep_log_entry (node);

      if (entry->index <= index && entry->kind == REP_MEMBERSHIP)
        {
          *at = entry->index;
          return entry->members;
        }
    }
  *at = log->base_index;
  return &log->base_members;
}
