#include "controllers/hop.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/digest.h"

#define HOP_BUCKETS 4096

struct hop_table
{
  struct list buckets[HOP_BUCKETS];
  struct list ended; /* oldest first */
};

struct hop_table *
hop_table_new (void)
{
  struct hop_table *table = calloc (1, sizeof *table);

  if (table == NULL)
    return NULL;
  for (int i = 0; i < HOP_BUCKETS; i++)
    list_init (&table->buckets[i]);
  list_init (&table->ended);
  return table;
}

void
hop_table_free (struct hop_table *table)
{
  struct list_node *node;

  if (table == NULL)
    return;
  for (int i = 0; i < HOP_BUCKETS; i++)
    while ((node = list_pop_head (&table->buckets[i])) != NULL)
      free (list_entry (node, struct hop, hash_node));
  free (table);
}

static struct list *
hop_bucket (struct hop_table *table, const uint8_t id[RNG_ID_BYTES])
{
  return &table->buckets[digest_buffer_64 (id, RNG_ID_BYTES) % HOP_BUCKETS];
}

struct hop *
hop_open (struct hop_table *table)
{
  struct hop *hop = calloc (1, sizeof *hop);

  INVARIANT (hop != NULL);
  rng_os_bytes (hop->id, sizeof hop->id);
  hop->refs = 1;
  list_push_tail (hop_bucket (table, hop->id), &hop->hash_node);
  return hop;
}

/* Removes a hop without references.  */
static void
hop_free (struct hop *hop)
{
  list_remove (&hop->hash_node);
  list_remove (&hop->age_node);
  free (hop);
}

void
hop_end (struct hop_table *table, struct hop *hop, clk_us now)
{
  INVARIANT (!hop->ended && hop->refs > 0);
  hop->ended = true;
  hop->ended_at = now;
  hop->refs--;
  /* The unused allowance is returned with the answer; a child call that is
     still running must not spend it a second time.  */
  hop->allowance.remaining = 0;
  list_push_tail (&table->ended, &hop->age_node);
}

struct hop *
hop_find (struct hop_table *table, const uint8_t id[RNG_ID_BYTES])
{
  list_each (node, hop_bucket (table, id))
    {
      struct hop *hop = list_entry (node, struct hop, hash_node);

      if (memcmp (hop->id, id, RNG_ID_BYTES) == 0)
        return hop;
    }
  return NULL;
}

void
hop_ref (struct hop *hop)
{
  hop->refs++;
}

void
hop_unref (struct hop *hop)
{
  INVARIANT (hop->refs > 0);
  hop->refs--;
  if (hop->ended)
    hop->allowance.remaining = 0;
}

void
hop_expire (struct hop_table *table, clk_us now)
{
  list_each (node, &table->ended)
    {
      struct hop *hop = list_entry (node, struct hop, age_node);

      if (now - hop->ended_at < HOP_RETENTION_US)
        break;
      if (hop->refs == 0)
        hop_free (hop);
    }
}
