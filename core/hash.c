#include "core/hash.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/err.h"

#define HSH_BUCKETS_MIN 16u
/* Old buckets moved by one addition.  With two or more the move has ended
   before the table is full again.  */
#define HSH_MOVE_STEP 4u

int
hsh_init (struct hsh *table)
{
  *table = (struct hsh){ .count = HSH_BUCKETS_MIN };
  table->buckets = calloc (table->count, sizeof *table->buckets);
  return table->buckets != NULL ? SR_OK : SR_ENOMEM;
}

void
hsh_fini (struct hsh *table)
{
  free (table->buckets);
  free (table->old);
  *table = (struct hsh){ 0 };
}

/* Buckets come zeroed from calloc() and become lists on first use, so that
   doubling touches no memory.  */
static struct lst *
hsh_ready (struct lst *bucket)
{
  if (bucket->head.next == NULL)
    lst_init (bucket);
  return bucket;
}

struct lst *
hsh_bucket (struct hsh *table, uint64_t hash)
{
  size_t old = hash & (table->old_count - 1);

  if (table->old != NULL && old >= table->moved)
    return hsh_ready (&table->old[old]);
  return hsh_ready (&table->buckets[hash & (table->count - 1)]);
}

static void
hsh_move_bucket (struct hsh *table, struct lst *from)
{
  struct lst_node *node;

  while ((node = lst_pop_head (from)) != NULL)
    {
      uint64_t hash = lst_entry (node, struct hsh_node, node)->hash;
      struct lst *to = &table->buckets[hash & (table->count - 1)];

      lst_push_tail (hsh_ready (to), node);
    }
}

/* Moves a few old buckets and frees the old array after the last one.  */
static void
hsh_move (struct hsh *table)
{
  for (size_t i = 0; i < HSH_MOVE_STEP && table->old != NULL; i++)
    {
      hsh_move_bucket (table, hsh_ready (&table->old[table->moved]));
      table->moved++;
      if (table->moved < table->old_count)
        continue;
      free (table->old);
      table->old = NULL;
      table->old_count = 0;
    }
}

static void
hsh_double (struct hsh *table)
{
  struct lst *grown = calloc (table->count * 2, sizeof *grown);

  if (grown == NULL)
    return;
  table->old = table->buckets;
  table->old_count = table->count;
  table->moved = 0;
  table->buckets = grown;
  table->count *= 2;
}

void
hsh_add (struct hsh *table, struct hsh_node *node, uint64_t hash)
{
  if (table->old != NULL)
    hsh_move (table);
  else if (table->items >= table->count)
    hsh_double (table);
  node->hash = hash;
  lst_push_tail (hsh_bucket (table, hash), &node->node);
  table->items++;
}

void
hsh_remove (struct hsh *table, struct hsh_node *node)
{
  INVARIANT (lst_linked (&node->node));
  lst_remove (&node->node);
  table->items--;
}

struct hsh_node *
hsh_find (struct hsh *table, uint64_t hash)
{
  lst_each (node, hsh_bucket (table, hash))
    {
      struct hsh_node *found = lst_entry (node, struct hsh_node, node);

      if (found->hash == hash)
        return found;
    }
  return NULL;
}

void
hsh_drain (struct hsh *table, struct lst *out)
{
  for (size_t i = table->moved; table->old != NULL && i < table->old_count;
       i++)
    lst_splice_tail (out, hsh_ready (&table->old[i]));
  for (size_t i = 0; i < table->count; i++)
    lst_splice_tail (out, hsh_ready (&table->buckets[i]));
  table->items = 0;
}

uint64_t
hsh_bytes (const void *data, size_t len)
{
  return XXH3_64bits (data, len);
}

uint64_t
hsh_text (const char *text)
{
  return hsh_bytes (text, strlen (text));
}
