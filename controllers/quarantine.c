#include "controllers/quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Marks stored per fingerprint; QUARANTINE_SERVERS_MIN of them cause a
   quarantine, so that more are not needed.  */
#define QUARANTINE_MARKS_MAX 4
/* The age of an imported mark lacks its time of transit.  A mark that seems
   later than a clear by less than this is taken for an earlier one.  */
#define QUARANTINE_TRANSIT_US clk_s (1)

struct quarantine_server_loss
{
  char instance[QUARANTINE_INSTANCE_BYTES];
  clk_us lost_at;
};

struct quarantine_entry
{
  struct list_node node; /* by last change, oldest first */
  struct list_node hash_node;
  uint64_t fingerprint;
  clk_us changed_at;
  clk_us blocked_until;
  clk_us cleared_at; /* marks up to this time are ignored; 0 if none */
  uint32_t mark_count;
  struct quarantine_server_loss marks[QUARANTINE_MARKS_MAX];
};

struct quarantine
{
  struct quarantine_opts opts;
  uint32_t count;
  uint32_t mask;
  struct list entries;  /* struct quarantine_entry, by last change */
  struct list *buckets; /* mask + 1 lists */
};

struct quarantine *
quarantine_new (const struct quarantine_opts *opts)
{
  struct quarantine *quarantine = calloc (1, sizeof *quarantine);
  uint32_t buckets = 16;

  if (quarantine == NULL)
    return NULL;
  while (buckets < opts->fingerprints_max && buckets < 1u << 16)
    buckets *= 2;
  quarantine->opts = *opts;
  quarantine->mask = buckets - 1;
  list_init (&quarantine->entries);
  quarantine->buckets = malloc (buckets * sizeof *quarantine->buckets);
  if (quarantine->buckets == NULL)
    {
      free (quarantine);
      return NULL;
    }
  for (uint32_t i = 0; i < buckets; i++)
    list_init (&quarantine->buckets[i]);
  return quarantine;
}

static void
entry_drop (struct quarantine *quarantine, struct quarantine_entry *entry)
{
  list_remove (&entry->node);
  list_remove (&entry->hash_node);
  quarantine->count--;
  free (entry);
}

/* Drops the oldest entries until at most COUNT_MAX are left.  */
static void
entries_trim (struct quarantine *quarantine, uint32_t count_max)
{
  while (quarantine->count > count_max)
    {
      struct list_node *oldest = list_pop_head (&quarantine->entries);

      INVARIANT (oldest != NULL);
      entry_drop (quarantine,
                  list_entry (oldest, struct quarantine_entry, node));
    }
}

void
quarantine_free (struct quarantine *quarantine)
{
  if (quarantine == NULL)
    return;
  entries_trim (quarantine, 0);
  free (quarantine->buckets);
  free (quarantine);
}

void
quarantine_configure (struct quarantine *quarantine,
                      const struct quarantine_opts *opts)
{
  quarantine->opts = *opts;
  entries_trim (quarantine, opts->fingerprints_max);
}

static struct list *
entry_bucket (struct quarantine *quarantine, uint64_t fingerprint)
{
  return &quarantine->buckets[fingerprint & quarantine->mask];
}

static struct quarantine_entry *
entry_find (struct quarantine *quarantine, uint64_t fingerprint)
{
  list_each (node, entry_bucket (quarantine, fingerprint))
    {
      struct quarantine_entry *entry
          = list_entry (node, struct quarantine_entry, hash_node);

      if (entry->fingerprint == fingerprint)
        return entry;
    }
  return NULL;
}

static struct quarantine_entry *
entry_new (struct quarantine *quarantine, uint64_t fingerprint)
{
  struct quarantine_entry *entry = calloc (1, sizeof *entry);

  if (entry == NULL)
    return NULL;
  entry->fingerprint = fingerprint;
  list_push_tail (entry_bucket (quarantine, fingerprint), &entry->hash_node);
  list_push_tail (&quarantine->entries, &entry->node);
  quarantine->count++;
  return entry;
}

static struct quarantine_server_loss *
mark_find (struct quarantine_entry *entry, const char *instance)
{
  for (uint32_t i = 0; i < entry->mark_count; i++)
    if (strcmp (entry->marks[i].instance, instance) == 0)
      return &entry->marks[i];
  return NULL;
}

/* Removes the marks of ENTRY that have expired at NOW.  */
static void
marks_expire (const struct quarantine *quarantine,
              struct quarantine_entry *entry, clk_us now)
{
  uint32_t valid_count = 0;

  for (uint32_t i = 0; i < entry->mark_count; i++)
    if (now < entry->marks[i].lost_at + quarantine->opts.duration)
      entry->marks[valid_count++] = entry->marks[i];
  entry->mark_count = valid_count;
}

/* Adds a mark of a server that has none.  */
static void
mark_add (struct quarantine *quarantine, struct quarantine_entry *entry,
          const char *instance, clk_us lost_at)
{
  if (entry->mark_count < QUARANTINE_MARKS_MAX)
    {
      struct quarantine_server_loss *loss = &entry->marks[entry->mark_count++];

      snprintf (loss->instance, sizeof loss->instance, "%s", instance);
      loss->lost_at = lost_at;
    }
  if (entry->mark_count >= QUARANTINE_SERVERS_MIN
      && entry->blocked_until < lost_at + quarantine->opts.duration)
    entry->blocked_until = lost_at + quarantine->opts.duration;
}

/* Makes ENTRY the newest one.  */
static void
entry_touch (struct quarantine *quarantine, struct quarantine_entry *entry,
             clk_us changed_at)
{
  if (changed_at > entry->changed_at)
    entry->changed_at = changed_at;
  list_remove (&entry->node);
  list_push_tail (&quarantine->entries, &entry->node);
}

int
quarantine_add_mark (struct quarantine *quarantine, uint64_t fingerprint,
                     const char *instance, clk_us lost_at)
{
  struct quarantine_entry *entry = entry_find (quarantine, fingerprint);
  struct quarantine_server_loss *loss;

  if (entry == NULL)
    entry = entry_new (quarantine, fingerprint);
  if (entry == NULL)
    return SR_ENOMEM;
  marks_expire (quarantine, entry, lost_at);
  loss = mark_find (entry, instance);
  if (loss != NULL)
    loss->lost_at = lost_at;
  else
    mark_add (quarantine, entry, instance, lost_at);
  entry_touch (quarantine, entry, lost_at);
  entries_trim (quarantine, quarantine->opts.fingerprints_max);
  return SR_OK;
}

void
quarantine_clear_marks (struct quarantine *quarantine, uint64_t fingerprint,
                        clk_us now)
{
  struct quarantine_entry *entry = entry_find (quarantine, fingerprint);

  if (entry == NULL)
    return;
  entry->mark_count = 0;
  entry->blocked_until = 0;
  entry->cleared_at = now;
  entry_touch (quarantine, entry, now);
}

bool
quarantine_is_blocked (struct quarantine *quarantine, uint64_t fingerprint,
                       clk_us now)
{
  const struct quarantine_entry *entry = entry_find (quarantine, fingerprint);

  return entry != NULL && now < entry->blocked_until;
}

bool
quarantine_is_suspect (struct quarantine *quarantine, uint64_t fingerprint,
                       clk_us now)
{
  const struct quarantine_entry *entry = entry_find (quarantine, fingerprint);

  return entry != NULL && entry->mark_count > 0
         && now < entry->changed_at + quarantine->opts.duration;
}

void
quarantine_expire (struct quarantine *quarantine, clk_us now)
{
  list_each (node, &quarantine->entries)
    {
      struct quarantine_entry *entry
          = list_entry (node, struct quarantine_entry, node);

      if (now < entry->changed_at + quarantine->opts.duration
          || now < entry->blocked_until)
        break;
      entry_drop (quarantine, entry);
    }
}

/* Appends a copy of LOSS to OUT; false without memory.  */
static bool
mark_copy (struct list *out, const struct quarantine_entry *entry,
           const struct quarantine_server_loss *loss, clk_us now)
{
  struct quarantine_mark *mark = calloc (1, sizeof *mark);

  if (mark == NULL)
    return false;
  mark->fingerprint = entry->fingerprint;
  memcpy (mark->instance, loss->instance, sizeof mark->instance);
  mark->age_ms = now > loss->lost_at
                     ? (uint32_t)((now - loss->lost_at) / CLK_US_PER_MS)
                     : 0;
  list_push_tail (out, &mark->node);
  return true;
}

uint32_t
quarantine_export_marks (struct quarantine *quarantine, struct list *out,
                         uint32_t count_max, clk_us now)
{
  struct list_node *node = quarantine->entries.head.prev;
  uint32_t count = 0;

  for (; node != &quarantine->entries.head; node = node->prev)
    {
      struct quarantine_entry *entry
          = list_entry (node, struct quarantine_entry, node);

      marks_expire (quarantine, entry, now);
      for (uint32_t i = entry->mark_count; i-- > 0; count++)
        if (count == count_max
            || !mark_copy (out, entry, &entry->marks[i], now))
          return count;
    }
  return count;
}

int
quarantine_import_mark (struct quarantine *quarantine,
                        const struct quarantine_mark *mark, clk_us now)
{
  clk_us age = clk_ms (mark->age_ms);
  clk_us lost_at = now > age ? now - age : 0;
  struct quarantine_entry *entry = entry_find (quarantine, mark->fingerprint);

  if (age >= quarantine->opts.duration)
    return SR_EEXIST;
  if (entry != NULL)
    marks_expire (quarantine, entry, now);
  /* The age of a known mark is not updated: marks that circulate between nodes
     would otherwise never expire.  */
  if (entry != NULL
      && (mark_find (entry, mark->instance) != NULL
          || (entry->cleared_at != 0
              && lost_at <= entry->cleared_at + QUARANTINE_TRANSIT_US)))
    return SR_EEXIST;
  return quarantine_add_mark (quarantine, mark->fingerprint, mark->instance,
                              lost_at);
}
