#include "controllers/qrt.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Servers remembered for one fingerprint; more add nothing, because two are
   enough for a quarantine.  */
#define QRT_MARKS_MAX 4
/* An imported mark seems younger than it is by the time that it was under
   way, so a mark this little younger than a clear is still one from before. */
#define QRT_TRANSIT_US clk_s (1)

struct qrt_lost
{
  char instance[QRT_INSTANCE_BYTES];
  clk_us at;
};

struct qrt_entry
{
  struct lst_node node; /* by last change, oldest first */
  struct lst_node hash_node;
  uint64_t fingerprint;
  clk_us changed;
  clk_us blocked_until;
  clk_us cleared_at; /* marks up to this time do not count; 0 if none */
  uint32_t count;
  struct qrt_lost marks[QRT_MARKS_MAX];
};

struct qrt
{
  struct qrt_opts opts;
  uint32_t count;
  uint32_t mask;
  struct lst entries;
  struct lst *buckets;
};

struct qrt *
qrt_new (const struct qrt_opts *opts)
{
  struct qrt *qrt = calloc (1, sizeof *qrt);
  uint32_t buckets = 16;

  if (qrt == NULL)
    return NULL;
  while (buckets < opts->most && buckets < 1u << 16)
    buckets *= 2;
  qrt->opts = *opts;
  qrt->mask = buckets - 1;
  lst_init (&qrt->entries);
  qrt->buckets = malloc (buckets * sizeof *qrt->buckets);
  if (qrt->buckets == NULL)
    {
      free (qrt);
      return NULL;
    }
  for (uint32_t i = 0; i < buckets; i++)
    lst_init (&qrt->buckets[i]);
  return qrt;
}

static void
entry_drop (struct qrt *qrt, struct qrt_entry *entry)
{
  lst_remove (&entry->node);
  lst_remove (&entry->hash_node);
  qrt->count--;
  free (entry);
}

/* Drops the oldest entries until at most MOST are left.  */
static void
entries_trim (struct qrt *qrt, uint32_t most)
{
  while (qrt->count > most)
    {
      struct lst_node *oldest = lst_pop_head (&qrt->entries);

      INVARIANT (oldest != NULL);
      entry_drop (qrt, lst_entry (oldest, struct qrt_entry, node));
    }
}

void
qrt_free (struct qrt *qrt)
{
  if (qrt == NULL)
    return;
  entries_trim (qrt, 0);
  free (qrt->buckets);
  free (qrt);
}

void
qrt_configure (struct qrt *qrt, const struct qrt_opts *opts)
{
  qrt->opts = *opts;
  entries_trim (qrt, opts->most);
}

static struct lst *
entry_bucket (struct qrt *qrt, uint64_t fingerprint)
{
  return &qrt->buckets[fingerprint & qrt->mask];
}

static struct qrt_entry *
entry_find (struct qrt *qrt, uint64_t fingerprint)
{
  lst_each (node, entry_bucket (qrt, fingerprint))
    {
      struct qrt_entry *entry = lst_entry (node, struct qrt_entry, hash_node);

      if (entry->fingerprint == fingerprint)
        return entry;
    }
  return NULL;
}

static struct qrt_entry *
entry_new (struct qrt *qrt, uint64_t fingerprint)
{
  struct qrt_entry *entry = calloc (1, sizeof *entry);

  if (entry == NULL)
    return NULL;
  entry->fingerprint = fingerprint;
  lst_push_tail (entry_bucket (qrt, fingerprint), &entry->hash_node);
  lst_push_tail (&qrt->entries, &entry->node);
  qrt->count++;
  return entry;
}

static struct qrt_lost *
mark_find (struct qrt_entry *entry, const char *instance)
{
  for (uint32_t i = 0; i < entry->count; i++)
    if (strcmp (entry->marks[i].instance, instance) == 0)
      return &entry->marks[i];
  return NULL;
}

/* Removes the marks of ENTRY that are too old at NOW.  */
static void
marks_expire (const struct qrt *qrt, struct qrt_entry *entry, clk_us now)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < entry->count; i++)
    if (now < entry->marks[i].at + qrt->opts.keep)
      entry->marks[kept++] = entry->marks[i];
  entry->count = kept;
}

/* Adds a mark for a server that has none.  */
static void
mark_add (struct qrt *qrt, struct qrt_entry *entry, const char *instance,
          clk_us at)
{
  if (entry->count < QRT_MARKS_MAX)
    {
      struct qrt_lost *lost = &entry->marks[entry->count++];

      snprintf (lost->instance, sizeof lost->instance, "%s", instance);
      lost->at = at;
    }
  if (entry->count >= QRT_SERVERS_TO_QUARANTINE
      && entry->blocked_until < at + qrt->opts.keep)
    entry->blocked_until = at + qrt->opts.keep;
}

/* Moves ENTRY to the newest place.  */
static void
entry_touch (struct qrt *qrt, struct qrt_entry *entry, clk_us at)
{
  if (at > entry->changed)
    entry->changed = at;
  lst_remove (&entry->node);
  lst_push_tail (&qrt->entries, &entry->node);
}

int
qrt_add (struct qrt *qrt, uint64_t fingerprint, const char *instance,
         clk_us at)
{
  struct qrt_entry *entry = entry_find (qrt, fingerprint);
  struct qrt_lost *lost;

  if (entry == NULL)
    entry = entry_new (qrt, fingerprint);
  if (entry == NULL)
    return SR_ENOMEM;
  marks_expire (qrt, entry, at);
  lost = mark_find (entry, instance);
  if (lost != NULL)
    lost->at = at;
  else
    mark_add (qrt, entry, instance, at);
  entry_touch (qrt, entry, at);
  entries_trim (qrt, qrt->opts.most);
  return SR_OK;
}

void
qrt_clear (struct qrt *qrt, uint64_t fingerprint, clk_us now)
{
  struct qrt_entry *entry = entry_find (qrt, fingerprint);

  if (entry == NULL)
    return;
  entry->count = 0;
  entry->blocked_until = 0;
  entry->cleared_at = now;
  entry_touch (qrt, entry, now);
}

bool
qrt_blocked (struct qrt *qrt, uint64_t fingerprint, clk_us now)
{
  const struct qrt_entry *entry = entry_find (qrt, fingerprint);

  return entry != NULL && now < entry->blocked_until;
}

bool
qrt_suspected (struct qrt *qrt, uint64_t fingerprint, clk_us now)
{
  const struct qrt_entry *entry = entry_find (qrt, fingerprint);

  return entry != NULL && entry->count > 0
         && now < entry->changed + qrt->opts.keep;
}

void
qrt_expire (struct qrt *qrt, clk_us now)
{
  lst_each (node, &qrt->entries)
    {
      struct qrt_entry *entry = lst_entry (node, struct qrt_entry, node);

      if (now < entry->changed + qrt->opts.keep || now < entry->blocked_until)
        break;
      entry_drop (qrt, entry);
    }
}

/* Appends a copy of LOST to OUT; returns whether there was memory.  */
static bool
mark_copy (struct lst *out, const struct qrt_entry *entry,
           const struct qrt_lost *lost, clk_us now)
{
  struct qrt_mark *mark = calloc (1, sizeof *mark);

  if (mark == NULL)
    return false;
  mark->fingerprint = entry->fingerprint;
  memcpy (mark->instance, lost->instance, sizeof mark->instance);
  mark->age_ms
      = now > lost->at ? (uint32_t)((now - lost->at) / CLK_US_PER_MS) : 0;
  lst_push_tail (out, &mark->node);
  return true;
}

uint32_t
qrt_export (struct qrt *qrt, struct lst *out, uint32_t most, clk_us now)
{
  struct lst_node *node = qrt->entries.head.prev;
  uint32_t count = 0;

  for (; node != &qrt->entries.head; node = node->prev)
    {
      struct qrt_entry *entry = lst_entry (node, struct qrt_entry, node);

      marks_expire (qrt, entry, now);
      for (uint32_t i = entry->count; i-- > 0; count++)
        if (count == most || !mark_copy (out, entry, &entry->marks[i], now))
          return count;
    }
  return count;
}

int
qrt_import (struct qrt *qrt, const struct qrt_mark *mark, clk_us now)
{
  clk_us age = clk_ms (mark->age_ms);
  clk_us at = now > age ? now - age : 0;
  struct qrt_entry *entry = entry_find (qrt, mark->fingerprint);

  if (age >= qrt->opts.keep)
    return SR_EEXIST;
  if (entry != NULL)
    marks_expire (qrt, entry, now);
  /* A known mark is not made younger: marks that circulate between nodes
     would otherwise never end.  */
  if (entry != NULL
      && (mark_find (entry, mark->instance) != NULL
          || (entry->cleared_at != 0
              && at <= entry->cleared_at + QRT_TRANSIT_US)))
    return SR_EEXIST;
  return qrt_add (qrt, mark->fingerprint, mark->instance, at);
}
