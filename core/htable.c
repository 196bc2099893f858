#include "core/htable.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/err.h"

#define HTABLE_BUCKETS_MIN 16u
/* Old buckets moved by one addition.  With two or more the move has ended
   before the table is full again.  */
#define HTABLE_MOVE_STEP 4u

int
htable_init (struct hash *table)
{
  *table = (struct hash){ .count = HTABLE_BUCKETS_MIN };
  table->buckets = calloc (table->count, sizeof *table->buckets);
  return table->buckets != NULL ? SR_OK : SR_ENOMEM;
}

void
htable_fini (struct hash *table)
{
  free (table->buckets);
  free (table->old);
  *table = (struct hash){ 0 };
}

/* Buckets come zeroed from calloc() and become lists on first use, so that
   doubling touches no memory.  */
static struct list *
htable_ready (struct list *bucket)
{
  if (bucket->head.next == NULL)
    list_init (bucket);
  return bucket;
}

struct list *
htable_bucket (struct hash *table, uint64_t hash)
{
  size_t old = hash & (table->old_count - 1);

  if (table->old != NULL && old >= table->moved)
    return htable_ready (&table->old[old]);
  return htable_ready (&table->buckets[hash & (table->count - 1)]);
}

static void
htable_move_bucket (struct hash *table, struct list *from)
{
  struct list_node *node;

  while ((node = list_pop_head (from)) != NULL)
    {
      uint64_t hash = list_entry (node, struct htable_node, node)->hash;
      struct list *to = &table->buckets[hash & (table->count - 1)];

      list_push_tail (htable_ready (to), node);
    }
}

/* Moves a few old buckets and frees the old array after the last one.  */
static void
htable_move (struct hash *table)
{
  for (size_t i = 0; i < HTABLE_MOVE_STEP && table->old != NULL; i++)
    {
      htable_move_bucket (table, htable_ready (&table->old[table->moved]));
      table->moved++;
      if (table->moved < table->old_count)
        continue;
      free (table->old);
      table->old = NULL;
      table->old_count = 0;
    }
}

static void
htable_double (struct hash *table)
{
  struct list *grown = calloc (table->count * 2, sizeof *grown);

  if (grown == NULL)
    return;
  table->old = table->buckets;
  table->old_count = table->count;
  table->moved = 0;
  table->buckets = grown;
  table->count *= 2;
}

void
htable_add (struct hash *table, struct htable_node *node, uint64_t hash)
{
  if (table->old != NULL)
    htable_move (table);
  else if (table->items >= table->count)
    htable_double (table);
  node->hash = hash;
  list_push_tail (htable_bucket (table, hash), &node->node);
  table->items++;
}

void
htable_remove (struct hash *table, struct htable_node *node)
{
  INVARIANT (list_linked (&node->node));
  list_remove (&node->node);
  table->items--;
}

struct htable_node *
htable_find (struct hash *table, uint64_t hash)
{
  list_each (node, htable_bucket (table, hash))
    {
      struct htable_node *found = list_entry (node, struct htable_node, node);

      if (found->hash == hash)
        return found;
    }
  return NULL;
}

void
htable_drain (struct hash *table, struct list *out)
{
  for (size_t i = table->moved; table->old != NULL && i < table->old_count;
       i++)
    list_splice_tail (out, htable_ready (&table->old[i]));
  for (size_t i = 0; i < table->count; i++)
    list_splice_tail (out, htable_ready (&table->buckets[i]));
  table->items = 0;
}

uint64_t
htable_bytes (const void *data, size_t len)
{
  return XXH3_64bits (data, len);
}

uint64_t
htable_text (const char *text)
{
  return htable_bytes (text, strlen (text));
}
