#include "controllers/quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* The age of an imported mark lacks its time of transit.  A mark that seems
   later than a clear by less than this is taken for an earlier one.  */
#define QUARANTINE_TRANSIT_US clk_s (1)
/* Age up to which a clear is exported: several renewals of a lease.  */
#define QUARANTINE_CLEAR_AGE_MAX_US clk_s (5)

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

static void
quarantine_set_opts (struct quarantine *quarantine,
                     const struct quarantine_opts *opts)
{
  quarantine->opts = *opts;
  if (quarantine->opts.servers_min == 0)
    quarantine->opts.servers_min = QUARANTINE_SERVERS_MIN;
  INVARIANT (quarantine->opts.servers_min <= QUARANTINE_MARKS_MAX);
}

struct quarantine *
quarantine_new (const struct quarantine_opts *opts)
{
  struct quarantine *quarantine = calloc (1, sizeof *quarantine);
  uint32_t buckets = 16;

  if (quarantine == NULL)
    return NULL;
  while (buckets < opts->fingerprints_max && buckets < 1u << 16)
    buckets *= 2;
  quarantine_set_opts (quarantine, opts);
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
  quarantine_set_opts (quarantine, opts);
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
  if (entry->mark_count >= quarantine->opts.servers_min
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

/* Removes the marks of ENTRY up to CLEARED_AT; returns whether there were
   any.  */
static bool
entry_clear (struct quarantine *quarantine, struct quarantine_entry *entry,
             clk_us cleared_at)
{
  uint32_t kept_count = 0;
  bool removed;

  for (uint32_t i = 0; i < entry->mark_count; i++)
    if (entry->marks[i].lost_at > cleared_at)
      entry->marks[kept_count++] = entry->marks[i];
  removed = kept_count < entry->mark_count;
  entry->mark_count = kept_count;
  if (kept_count < quarantine->opts.servers_min)
    entry->blocked_until = 0;
  entry->cleared_at = cleared_at;
  entry_touch (quarantine, entry, cleared_at);
  return removed;
}

bool
quarantine_clear_marks (struct quarantine *quarantine, uint64_t fingerprint,
                        clk_us now)
{
  struct quarantine_entry *entry = entry_find (quarantine, fingerprint);

  return entry != NULL && entry_clear (quarantine, entry, now);
}

clk_us
quarantine_time_left (struct quarantine *quarantine, uint64_t fingerprint,
                      clk_us now)
{
  const struct quarantine_entry *entry = entry_find (quarantine, fingerprint);

  return entry != NULL && now < entry->blocked_until
             ? entry->blocked_until - now
             : 0;
}

bool
quarantine_is_blocked (struct quarantine *quarantine, uint64_t fingerprint,
                       clk_us now)
{
  return quarantine_time_left (quarantine, fingerprint, now) != 0;
}

bool
quarantine_is_suspect (struct quarantine *quarantine, uint64_t fingerprint,
                       clk_us now)
{
  const struct quarantine_entry *entry = entry_find (quarantine, fingerprint);

  return entry != NULL && entry->mark_count + 1 >= quarantine->opts.servers_min
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

/* Appends a mark of INSTANCE, or a clear, that was made at AT to OUT; false
   without memory.  */
static bool
mark_copy (struct list *out, uint64_t fingerprint, const char *instance,
           clk_us at, clk_us now)
{
  struct quarantine_mark *mark = calloc (1, sizeof *mark);

  if (mark == NULL)
    return false;
  mark->fingerprint = fingerprint;
  snprintf (mark->instance, sizeof mark->instance, "%s", instance);
  mark->age_ms = now > at ? (uint32_t)((now - at) / CLK_US_PER_MS) : 0;
  list_push_tail (out, &mark->node);
  return true;
}

/* Appends copies of the clear and the marks of ENTRY to OUT until COUNT is
   COUNT_MAX; returns the new count.  */
static uint32_t
entry_export (const struct quarantine_entry *entry, struct list *out,
              uint32_t count, uint32_t count_max, clk_us now)
{
  if (entry->cleared_at != 0 && count < count_max
      && now < entry->cleared_at + QUARANTINE_CLEAR_AGE_MAX_US
      && mark_copy (out, entry->fingerprint, "", entry->cleared_at, now))
    count++;
  for (uint32_t i = entry->mark_count; i-- > 0 && count < count_max;)
    if (mark_copy (out, entry->fingerprint, entry->marks[i].instance,
                   entry->marks[i].lost_at, now))
      count++;
  return count;
}

uint32_t
quarantine_export_marks (struct quarantine *quarantine, struct list *out,
                         uint32_t count_max, clk_us now)
{
  uint32_t count = 0;

  for (int several = 1; several >= 0; several--)
    for (struct list_node *node = quarantine->entries.head.prev;
         node != &quarantine->entries.head && count < count_max;
         node = node->prev)
      {
        struct quarantine_entry *entry
            = list_entry (node, struct quarantine_entry, node);

        marks_expire (quarantine, entry, now);
        if ((entry->mark_count > 1) == several)
          count = entry_export (entry, out, count, count_max, now);
      }
  return count;
}

/* Adds a clear received from another node.  A clear of an unknown fingerprint
   is recorded, as marks from before it may still arrive.  */
static int
quarantine_import_clear (struct quarantine *quarantine, uint64_t fingerprint,
                         clk_us cleared_at)
{
  struct quarantine_entry *entry = entry_find (quarantine, fingerprint);

  if (entry != NULL && cleared_at <= entry->cleared_at + QUARANTINE_TRANSIT_US)
    return SR_EEXIST;
  if (entry == NULL)
    entry = entry_new (quarantine, fingerprint);
  if (entry == NULL)
    return SR_ENOMEM;
  entry_clear (quarantine, entry, cleared_at);
  entries_trim (quarantine, quarantine->opts.fingerprints_max);
  return SR_OK;
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
  if (mark->instance[0] == '\0')
    return quarantine_import_clear (quarantine, mark->fingerprint, lost_at);
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
