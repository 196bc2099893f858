#include "controllers/share.h"

#include <stdlib.h>

#include "core/err.h"
#include "core/model.h"

#define CAP_BUCKETS 256u

/* A caller with at least one request.  */
struct shr_caller
{
  struct lst_node node;
  uint64_t caller;
  uint32_t held;
};

struct shr
{
  struct shr_opts opts;
  struct lst buckets[CAP_BUCKETS];
};

struct shr *
shr_new (const struct shr_opts *opts)
{
  struct shr *shr = calloc (1, sizeof *shr);

  if (shr == NULL)
    return NULL;
  shr->opts = *opts;
  for (unsigned i = 0; i < CAP_BUCKETS; i++)
    lst_init (&shr->buckets[i]);
  return shr;
}

void
shr_free (struct shr *shr)
{
  if (shr == NULL)
    return;
  for (unsigned i = 0; i < CAP_BUCKETS; i++)
    lst_each (node, &shr->buckets[i])
      {
        lst_remove (node);
        free (lst_entry (node, struct shr_caller, node));
      }
  free (shr);
}

void
shr_configure (struct shr *shr, const struct shr_opts *opts)
{
  shr->opts = *opts;
}

static struct shr_caller *
caller_find (const struct shr *shr, uint64_t caller)
{
  lst_each (node, &shr->buckets[caller % CAP_BUCKETS])
    {
      struct shr_caller *found = lst_entry (node, struct shr_caller, node);

      if (found->caller == caller)
        return found;
    }
  return NULL;
}

/* Most requests of one caller while requests wait; at least one.  */
static uint32_t
shr_most (const struct shr *shr)
{
  uint64_t most = (uint64_t)shr->opts.places * shr->opts.percent / 100;

  if (shr->opts.percent == 0 || shr->opts.percent >= 100)
    return UINT32_MAX;
  return most > 0 ? (uint32_t)most : 1;
}

bool
shr_take (struct shr *shr, uint64_t caller, uint8_t importance,
          uint32_t least_waiting)
{
  struct shr_caller *found = caller_find (shr, caller);
  bool nothing_waits = least_waiting > MDL_IMPORTANCE_MAX;

  if (found != NULL && !nothing_waits && least_waiting >= importance
      && found->held >= shr_most (shr))
    return false;
  if (found == NULL)
    {
      found = calloc (1, sizeof *found);
      if (found == NULL)
        return false;
      found->caller = caller;
      lst_push_tail (&shr->buckets[caller % CAP_BUCKETS], &found->node);
    }
  found->held++;
  return true;
}

void
shr_put (struct shr *shr, uint64_t caller)
{
  struct shr_caller *found = caller_find (shr, caller);

  INVARIANT (found != NULL && found->held > 0);
  found->held--;
  if (found->held > 0)
    return;
  lst_remove (&found->node);
  free (found);
}

uint32_t
shr_held (const struct shr *shr, uint64_t caller)
{
  const struct shr_caller *found = caller_find (shr, caller);

  return found == NULL ? 0 : found->held;
}
