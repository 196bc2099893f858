#include "controllers/share.h"

#include <stdlib.h>

#include "core/err.h"
#include "core/model.h"

#define SHARE_BUCKETS 256u

/* A caller with at least one request.  */
struct share_caller
{
  struct list_node node;
  uint64_t caller; /* hash of its name */
  uint32_t held;   /* requests that are running or queued */
};

struct share
{
  struct share_opts opts;
  struct list buckets[SHARE_BUCKETS];
};

struct share *
share_new (const struct share_opts *opts)
{
  struct share *share = calloc (1, sizeof *share);

  if (share == NULL)
    return NULL;
  share->opts = *opts;
  for (unsigned i = 0; i < SHARE_BUCKETS; i++)
    list_init (&share->buckets[i]);
  return share;
}

void
share_free (struct share *share)
{
  if (share == NULL)
    return;
  for (unsigned i = 0; i < SHARE_BUCKETS; i++)
    list_each (node, &share->buckets[i])
      {
        list_remove (node);
        free (list_entry (node, struct share_caller, node));
      }
  free (share);
}

void
share_configure (struct share *share, const struct share_opts *opts)
{
  share->opts = *opts;
}

static struct share_caller *
caller_find (const struct share *share, uint64_t caller)
{
  list_each (node, &share->buckets[caller % SHARE_BUCKETS])
    {
      struct share_caller *entry
          = list_entry (node, struct share_caller, node);

      if (entry->caller == caller)
        return entry;
    }
  return NULL;
}

/* Maximum number of requests that one caller holds while requests are queued;
   at least one.  */
static uint32_t
share_max (const struct share *share)
{
  uint64_t requests_max
      = (uint64_t)share->opts.capacity * share->opts.percent / 100;

  if (share->opts.percent == 0 || share->opts.percent >= 100)
    return UINT32_MAX;
  return requests_max > 0 ? (uint32_t)requests_max : 1;
}

bool
share_acquire (struct share *share, uint64_t caller, uint8_t importance,
               uint32_t waiting_importance_min)
{
  struct share_caller *entry = caller_find (share, caller);
  bool queue_is_empty = waiting_importance_min > MODEL_IMPORTANCE_MAX;

  if (entry != NULL && !queue_is_empty && waiting_importance_min >= importance
      && entry->held >= share_max (share))
    return false;
  if (entry == NULL)
    {
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return false;
      entry->caller = caller;
      list_push_tail (&share->buckets[caller % SHARE_BUCKETS], &entry->node);
    }
  entry->held++;
  return true;
}

void
share_release (struct share *share, uint64_t caller)
{
  struct share_caller *entry = caller_find (share, caller);

  INVARIANT (entry != NULL && entry->held > 0);
  entry->held--;
  if (entry->held > 0)
    return;
  list_remove (&entry->node);
  free (entry);
}

uint32_t
share_held (const struct share *share, uint64_t caller)
{
  const struct share_caller *entry = caller_find (share, caller);

  return entry == NULL ? 0 : entry->held;
}
