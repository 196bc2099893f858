#ifndef CORE_HTABLE_H
#define CORE_HTABLE_H

/**
 * DOC: htable - intrusive hash table
 *
 * Each bucket is an intrusive list; the link is a member of the stored
 * struct.  The table doubles step by step: each addition moves a few buckets,
 * so that no single addition to a large table takes long.
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
  size_t bucket_count;      /* of buckets, a power of two */
  struct list *old_buckets; /* buckets before the last doubling, or NULL */
  size_t old_bucket_count;
  size_t moved_count; /* old buckets that are empty by now */
  size_t item_count;
};

/* Returns SR_OK or SR_ENOMEM.  */
int htable_init (struct htable *table);

/* Frees the buckets, not the items.  */
void htable_fini (struct htable *table);

/* Adds NODE.  Without memory for more buckets the lists become longer.  */
void htable_add (struct htable *table, struct htable_node *node,
                 uint64_t hash);
void htable_remove (struct htable *table, struct htable_node *node);

/* List of struct htable_node in which an item with HASH is, if there is one;
   other items may be in it.  */
struct list *htable_bucket (struct htable *table, uint64_t hash);

/* The item with HASH, or NULL; for tables whose key is the hash itself.  */
struct htable_node *htable_find (struct htable *table, uint64_t hash);

/* Moves all items to the tail of OUT, linked by htable_node.node.  */
void htable_drain (struct htable *table, struct list *out);

uint64_t htable_hash_bytes (const void *data, size_t len);
uint64_t htable_hash_text (const char *text);

#endif
