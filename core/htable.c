#include "core/htable.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/err.h"

#define HTABLE_BUCKETS_MIN 16u
/* Old buckets moved by one insertion.  With two or more, a resize is complete
   before the next one is due.  */
#define HTABLE_BUCKETS_PER_STEP 4u

int
htable_init (struct htable *table)
{
  *table = (struct htable){ .bucket_count = HTABLE_BUCKETS_MIN };
  table->buckets = calloc (table->bucket_count, sizeof *table->buckets);
  return table->buckets != NULL ? SR_OK : SR_ENOMEM;
}

void
htable_fini (struct htable *table)
{
  free (table->buckets);
  free (table->old_buckets);
  *table = (struct htable){ 0 };
}

/* Initializes a bucket on its first use.  Buckets come zeroed from calloc(),
   so that a resize does not touch their memory.  */
static struct list *
htable_bucket_init (struct list *bucket)
{
  if (bucket->head.next == NULL)
    list_init (bucket);
  return bucket;
}

struct list *
htable_bucket (struct htable *table, uint64_t hash)
{
  size_t old_index = hash & (table->old_bucket_count - 1);

  if (table->old_buckets != NULL && old_index >= table->moved_count)
    return htable_bucket_init (&table->old_buckets[old_index]);
  return htable_bucket_init (
      &table->buckets[hash & (table->bucket_count - 1)]);
}

/* Moves the items of an old bucket to the new buckets.  */
static void
htable_move_bucket (struct htable *table, struct list *from)
{
  struct list_node *node;

  while ((node = list_pop_head (from)) != NULL)
    {
      uint64_t hash = list_entry (node, struct htable_node, node)->hash;
      struct list *to = &table->buckets[hash & (table->bucket_count - 1)];

      list_push_tail (htable_bucket_init (to), node);
    }
}

/* Moves the next old buckets, and frees the old array after the last one.  */
static void
htable_move_step (struct htable *table)
{
  for (size_t i = 0; i < HTABLE_BUCKETS_PER_STEP && table->old_buckets != NULL;
       i++)
    {
      htable_move_bucket (
          table, htable_bucket_init (&table->old_buckets[table->moved_count]));
      table->moved_count++;
      if (table->moved_count < table->old_bucket_count)
        continue;
      free (table->old_buckets);
      table->old_buckets = NULL;
      table->old_bucket_count = 0;
    }
}

/* Starts a resize to twice the number of buckets.  */
static void
htable_grow (struct htable *table)
{
  struct list *grown = calloc (table->bucket_count * 2, sizeof *grown);

  if (grown == NULL)
    return;
  table->old_buckets = table->buckets;
  table->old_bucket_count = table->bucket_count;
  table->moved_count = 0;
  table->buckets = grown;
  table->bucket_count *= 2;
}

void
htable_add (struct htable *table, struct htable_node *node, uint64_t hash)
{
  if (table->old_buckets != NULL)
    htable_move_step (table);
  else if (table->item_count >= table->bucket_count)
    htable_grow (table);
  node->hash = hash;
  list_push_tail (htable_bucket (table, hash), &node->node);
  table->item_count++;
}

void
htable_remove (struct htable *table, struct htable_node *node)
{
  INVARIANT (list_is_linked (&node->node));
  list_remove (&node->node);
  table->item_count--;
}

struct htable_node *
htable_find (struct htable *table, uint64_t hash)
{
  list_each (node, htable_bucket (table, hash))
    {
      struct htable_node *item = list_entry (node, struct htable_node, node);

      if (item->hash == hash)
        return item;
    }
  return NULL;
}

void
htable_drain (struct htable *table, struct list *out)
{
  for (size_t i = table->moved_count;
       table->old_buckets != NULL && i < table->old_bucket_count; i++)
    list_splice_tail (out, htable_bucket_init (&table->old_buckets[i]));
  for (size_t i = 0; i < table->bucket_count; i++)
    list_splice_tail (out, htable_bucket_init (&table->buckets[i]));
  table->item_count = 0;
}

uint64_t
htable_hash_bytes (const void *data, size_t len)
{
  return XXH3_64bits (data, len);
}

uint64_t
htable_hash_text (const char *text)
{
  return htable_hash_bytes (text, strlen (text));
}
