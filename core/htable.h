#ifndef CORE_HTABLE_H
#define CORE_HTABLE_H

/**
 * DOC: htable - intrusive hash table with incremental resizing
 *
 * Each bucket is an intrusive list; the link is a member of the stored
 * struct.  After the number of buckets has doubled, each insertion moves a few
 * of the old buckets, so that no single insertion rehashes the whole table.
 */

#include <stddef.h>
#include <stdint.h>

#include "core/list.h"

struct htable_node
{
  struct list_node node;
  uint64_t hash;
};

struct htable
{
  struct list *buckets;
  size_t bucket_count;      /* a power of two */
  struct list *old_buckets; /* while a resize is in progress, else NULL */
  size_t old_bucket_count;
  size_t moved_count; /* old buckets that have been moved */
  size_t item_count;
};

/* Initializes an empty table.  Returns SR_OK or SR_ENOMEM.  */
int htable_init (struct htable *table);

/* Frees the buckets but not the items.  */
void htable_fini (struct htable *table);

/* Adds NODE.  When memory for a resize is short, the number of buckets stays
   and the lists become longer.  */
void htable_add (struct htable *table, struct htable_node *node,
                 uint64_t hash);
void htable_remove (struct htable *table, struct htable_node *node);

/* Returns the bucket of HASH, a list of struct htable_node, which may hold
   items with other hashes too.  */
struct list *htable_bucket (struct htable *table, uint64_t hash);

/* Returns the item with HASH, or NULL.  For tables whose key is the hash.  */
struct htable_node *htable_find (struct htable *table, uint64_t hash);

/* Removes all items and appends them to OUT, linked by htable_node.node.  */
void htable_drain (struct htable *table, struct list *out);

/* Returns the XXH3 hash of LEN bytes.  */
uint64_t htable_hash_bytes (const void *data, size_t len);

/* Returns the XXH3 hash of a string without its NUL.  */
uint64_t htable_hash_text (const char *text);

#endif
