#ifndef CORE_HASH_H
#define CORE_HASH_H

/**
 * DOC: hsh - intrusive hash table
 *
 * Each bucket is an intrusive list; the link is a member of the stored
 * struct.  The table doubles step by step: each addition moves a few buckets,
 * so that no single addition to a large table takes long.
 */

#include <stddef.h>
#include <stdint.h>

#include "core/list.h"

struct hsh_node
{
  struct lst_node node;
  uint64_t hash;
};

struct hsh
{
  struct lst *buckets;
  size_t count;    /* of buckets, a power of two */
  struct lst *old; /* buckets before the last doubling, or NULL */
  size_t old_count;
  size_t moved; /* old buckets that are empty by now */
  size_t items;
};

/* Returns SR_OK or SR_ENOMEM.  */
int hsh_init (struct hsh *table);

/* Frees the buckets, not the items.  */
void hsh_fini (struct hsh *table);

/* Adds NODE.  Without memory for more buckets the lists become longer.  */
void hsh_add (struct hsh *table, struct hsh_node *node, uint64_t hash);
void hsh_remove (struct hsh *table, struct hsh_node *node);

/* List of struct hsh_node in which an item with HASH is, if there is one;
   other items may be in it.  */
struct lst *hsh_bucket (struct hsh *table, uint64_t hash);

/* The item with HASH, or NULL; for tables whose key is the hash itself.  */
struct hsh_node *hsh_find (struct hsh *table, uint64_t hash);

/* Moves all items to the tail of OUT, linked by hsh_node.node.  */
void hsh_drain (struct hsh *table, struct lst *out);

uint64_t hsh_bytes (const void *data, size_t len);
uint64_t hsh_text (const char *text);

#endif
