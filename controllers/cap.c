#include "controllers/cap.h"

#include <stdlib.h>

#include "core/err.h"
#include "core/model.h"

#define CAP_BUCKETS 256u

/* A caller with at least one request.  */
struct cap_caller
{
  struct lst_node node;
  uint64_t caller;
  uint32_t held;
};

struct cap
{
  struct cap_opts opts;
  struct lst buckets[CAP_BUCKETS];
};

struct cap *
cap_new (const struct cap_opts *opts)
{
  struct cap *cap = calloc (1, sizeof *cap);

  if (cap == NULL)
    return NULL;
  cap->opts = *opts;
  for (unsigned i = 0; i < CAP_BUCKETS; i++)
    lst_init (&cap->buckets[i]);
  return cap;
}

void
cap_free (struct cap *cap)
{
  if (cap == NULL)
    return;
  for (unsigned i = 0; i < CAP_BUCKETS; i++)
    lst_each (node, &cap->buckets[i])
      {
        lst_remove (node);
        free (lst_entry (node, struct cap_caller, node));
      }
  free (cap);
}

void
cap_configure (struct cap *cap, const struct cap_opts *opts)
{
  cap->opts = *opts;
}

static struct cap_caller *
caller_find (const struct cap *cap, uint64_t caller)
{
  lst_each (node, &cap->buckets[caller % CAP_BUCKETS])
    {
      struct cap_caller *found = lst_entry (node, struct cap_caller, node);

      if (found->caller == caller)
        return found;
    }
  return NULL;
}

/* Most requests of one caller while requests wait; at least one.  */
static uint32_t
cap_most (const struct cap *cap)
{
  uint64_t most = (uint64_t)cap->opts.places * cap->opts.percent / 100;

  if (cap->opts.percent == 0 || cap->opts.percent >= 100)
    return UINT32_MAX;
  return most > 0 ? (uint32_t)most : 1;
}

bool
cap_take (struct cap *cap, uint64_t caller, uint8_t importance,
          uint32_t least_waiting)
{
  struct cap_caller *found = caller_find (cap, caller);
  bool nothing_waits = least_waiting > MDL_IMPORTANCE_MAX;

  if (found != NULL && !nothing_waits && least_waiting >= importance
      && found->held >= cap_most (cap))
    return false;
  if (found == NULL)
    {
      found = calloc (1, sizeof *found);
      if (found == NULL)
        return false;
      found->caller = caller;
      lst_push_tail (&cap->buckets[caller % CAP_BUCKETS], &found->node);
    }
  found->held++;
  return true;
}

void
cap_put (struct cap *cap, uint64_t caller)
{
  struct cap_caller *found = caller_find (cap, caller);

  INVARIANT (found != NULL && found->held > 0);
  found->held--;
  if (found->held > 0)
    return;
  lst_remove (&found->node);
  free (found);
}

uint32_t
cap_held (const struct cap *cap, uint64_t caller)
{
  const struct cap_caller *found = caller_find (cap, caller);

  return found == NULL ? 0 : found->held;
}
