#include "controllers/share.h"

#include <stdlib.h>

#include "core/err.h"
#include "core/model.h"

#define CAP_BUCKETS 256u

/* A caller with at least one request.  */
struct share_caller
{
  struct list_node node;
  uint64_t caller;
  uint32_t held;
};

struct share
{
  struct share_opts opts;
  struct list buckets[CAP_BUCKETS];
};

struct share *
share_new (const struct share_opts *opts)
{
  struct share *shr = calloc (1, sizeof *shr);

  if (shr == NULL)
    return NULL;
  shr->opts = *opts;
  for (unsigned i = 0; i < CAP_BUCKETS; i++)
    list_init (&shr->buckets[i]);
  return shr;
}

void
share_free (struct share *shr)
{
  if (shr == NULL)
    return;
  for (unsigned i = 0; i < CAP_BUCKETS; i++)
    list_each (node, &shr->buckets[i])
      {
        list_remove (node);
        free (list_entry (node, struct share_caller, node));
      }
  free (shr);
}

void
share_configure (struct share *shr, const struct share_opts *opts)
{
  shr->opts = *opts;
}

static struct share_caller *
caller_find (const struct share *shr, uint64_t caller)
{
  list_each (node, &shr->buckets[caller % CAP_BUCKETS])
    {
      struct share_caller *found
          = list_entry (node, struct share_caller, node);

      if (found->caller == caller)
        return found;
    }
  return NULL;
}

/* Most requests of one caller while requests wait; at least one.  */
static uint32_t
share_most (const struct share *shr)
{
  uint64_t most = (uint64_t)shr->opts.places * shr->opts.percent / 100;

  if (shr->opts.percent == 0 || shr->opts.percent >= 100)
    return UINT32_MAX;
  return most > 0 ? (uint32_t)most : 1;
}

bool
share_take (struct share *shr, uint64_t caller, uint8_t importance,
            uint32_t least_waiting)
{
  struct share_caller *found = caller_find (shr, caller);
  bool nothing_waits = least_waiting > MODEL_IMPORTANCE_MAX;

  if (found != NULL && !nothing_waits && least_waiting >= importance
      && found->held >= share_most (shr))
    return false;
  if (found == NULL)
    {
      found = calloc (1, sizeof *found);
      if (found == NULL)
        return false;
      found->caller = caller;
      list_push_tail (&shr->buckets[caller % CAP_BUCKETS], &found->node);
    }
  found->held++;
  return true;
}

void
share_put (struct share *shr, uint64_t caller)
{
  struct share_caller *found = caller_find (shr, caller);

  INVARIANT (found != NULL && found->held > 0);
  found->held--;
  if (found->held > 0)
    return;
  list_remove (&found->node);
  free (found);
}

uint32_t
share_held (const struct share *shr, uint64_t caller)
{
  const struct share_caller *found = caller_find (shr, caller);

  return found == NULL ? 0 : found->held;
}
