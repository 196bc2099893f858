#include "controllers/view.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/hash.h"

/* A replica, and its bit in viw_member.listed and viw_member.recent.  */
struct viw_replica
{
  struct lst_node node;
  char address[MEM_ADDRESS_BYTES];
  uint32_t bit;
  struct mem_position position; /* epoch 0: to be asked for the whole */
  uint64_t epoch;               /* last seen, 0 before the first answer */
  clk_us epoch_since;
  clk_us answered;
};

struct viw_member
{
  struct hsh_node by_instance;
  struct lst_node node;
  uint32_t listed;     /* bits of the replicas that list it, or did so before
                          they restarted and are not yet settled again */
  uint32_t recent;     /* bits of the replicas whose present table lists it */
  uint32_t ended;      /* bits of the replicas whose present table had it and
                          whose last word is that it is gone or has moved */
  clk_us hidden_until; /* 0: shown; the newest record is of a service that
                          is not wanted */
  struct mem_record record;
};

struct viw
{
  struct viw_opts opts;
  uint64_t generation; /* number of the requests for the whole table */
  bool all;            /* services wanted: all, or those listed */
  uint32_t service_count;
  char (*services)[MDL_NAME_BYTES];
  struct lst replicas; /* struct viw_replica, longest silent first */
  uint32_t bits;       /* in use */
  struct lst members;  /* struct viw_member */
  struct hsh instances;
};

struct viw *
viw_new (const struct viw_opts *opts)
{
  struct viw *view = calloc (1, sizeof *view);

  if (view == NULL || hsh_init (&view->instances) != SR_OK)
    {
      free (view);
      return NULL;
    }
  view->opts = *opts;
  view->all = true;
  lst_init (&view->replicas);
  lst_init (&view->members);
  return view;
}

void
viw_free (struct viw *view)
{
  struct lst_node *node;

  if (view == NULL)
    return;
  while ((node = lst_pop_head (&view->members)) != NULL)
    free (lst_entry (node, struct viw_member, node));
  while ((node = lst_pop_head (&view->replicas)) != NULL)
    free (lst_entry (node, struct viw_replica, node));
  hsh_fini (&view->instances);
  free (view->services);
  free (view);
}

static struct viw_replica *
viw_find_replica (const struct viw *view, const char *address)
{
  lst_each (node, &view->replicas)
    {
      struct viw_replica *replica = lst_entry (node, struct viw_replica, node);

      if (strcmp (replica->address, address) == 0)
        return replica;
    }
  return NULL;
}

static struct viw_member *
viw_find_member (struct viw *view, const char *instance)
{
  uint64_t hash = hsh_text (instance);

  lst_each (node, hsh_bucket (&view->instances, hash))
    {
      struct viw_member *member
          = lst_entry (node, struct viw_member, by_instance.node);

      if (member->by_instance.hash == hash
          && strcmp (member->record.instance, instance) == 0)
        return member;
    }
  return NULL;
}

/* Forgets the replica that is silent longest.  */
static void
viw_forget_replica (struct viw *view)
{
  struct viw_replica *replica
      = lst_entry (lst_pop_head (&view->replicas), struct viw_replica, node);

  lst_each (node, &view->members)
    {
      struct viw_member *member = lst_entry (node, struct viw_member, node);

      member->listed &= ~replica->bit;
      member->recent &= ~replica->bit;
      member->ended &= ~replica->bit;
    }
  view->bits &= ~replica->bit;
  free (replica);
}

/* Adds a replica; the one that is silent longest makes room.  */
static struct viw_replica *
viw_add_replica (struct viw *view, const char *address)
{
  struct viw_replica *replica = calloc (1, sizeof *replica);

  if (replica == NULL)
    return NULL;
  if (view->bits == UINT32_MAX)
    viw_forget_replica (view);
  replica->bit = ~view->bits & (view->bits + 1);
  view->bits |= replica->bit;
  strncpy (replica->address, address, sizeof replica->address - 1);
  replica->position.change = view->generation;
  lst_push_tail (&view->replicas, &replica->node);
  return replica;
}

struct mem_position
viw_position (const struct viw *view, const char *replica)
{
  const struct viw_replica *known = viw_find_replica (view, replica);

  if (known == NULL)
    return (struct mem_position){ .change = view->generation };
  return known->position;
}

static bool
viw_wanted (const struct viw *view, const struct mem_record *record)
{
  if (view->all || record->control)
    return true;
  for (uint32_t i = 0; i < view->service_count; i++)
    if (strcmp (view->services[i], record->service) == 0)
      return true;
  return false;
}

static void
viw_drop (struct viw *view, struct viw_member *member)
{
  lst_remove (&member->node);
  hsh_remove (&view->instances, &member->by_instance);
  free (member);
}

int
viw_want (struct viw *view, bool all, char (*services)[MDL_NAME_BYTES],
          uint32_t count)
{
  char (*copy)[MDL_NAME_BYTES] = NULL;

  if (!all && count > 0)
    {
      copy = malloc (count * sizeof *copy);
      if (copy == NULL)
        return SR_ENOMEM;
      memcpy (copy, services, count * sizeof *copy);
    }
  free (view->services);
  view->services = copy;
  view->service_count = copy != NULL ? count : 0;
  view->all = all;
  view->generation++;
  lst_each (node, &view->replicas)
    lst_entry (node, struct viw_replica, node)->position
        = (struct mem_position){ .change = view->generation };
  lst_each (node, &view->members)
    {
      struct viw_member *member = lst_entry (node, struct viw_member, node);

      member->hidden_until = 0;
      if (!viw_wanted (view, &member->record))
        viw_drop (view, member);
    }
  return SR_OK;
}

/* Whether REPLY continues what is known of REPLICA.  */
static bool
viw_continues (const struct viw_replica *replica,
               const struct mem_members *reply)
{
  const struct mem_position *held = &replica->position;
  const struct mem_position *since = &reply->since;

  if (reply->status != MEM_OK || reply->position.epoch == 0)
    return false;
  if (since->epoch != held->epoch)
    return false;
  if (held->epoch == 0)
    return reply->whole && since->change == held->change;
  if (reply->position.epoch != held->epoch)
    return reply->whole;
  return since->change <= held->change
         && reply->position.change >= held->change;
}

static void
viw_mark_listed (struct viw_member *member, const struct viw_replica *replica)
{
  member->listed |= replica->bit;
  member->recent |= replica->bit;
  member->ended &= ~replica->bit;
}

static void
viw_mark_ended (struct viw_member *member, const struct viw_replica *replica)
{
  member->listed &= ~replica->bit;
  member->recent &= ~replica->bit;
  member->ended |= replica->bit;
}

static struct viw_member *
viw_add (struct viw *view, const struct mem_record *record)
{
  struct viw_member *member = calloc (1, sizeof *member);

  if (member == NULL)
    return NULL;
  member->record = *record;
  lst_push_tail (&view->members, &member->node);
  hsh_add (&view->instances, &member->by_instance,
           hsh_text (record->instance));
  return member;
}

/* Takes RECORD, which is newer than the one held.  A record of a service that
   is not wanted says that the instance has left a wanted one.  It is hidden,
   and kept for two leases, so that an older record from a replica that is
   behind does not come back.  */
static void
viw_replace (struct viw *view, struct viw_member *member,
             const struct mem_record *record, clk_us now)
{
  member->record = *record;
  member->hidden_until = 0;
  if (!viw_wanted (view, record))
    member->hidden_until = now + 2 * view->opts.replica_silent;
}

/* Takes one record of a reply; *CHANGED is set when the set of members does.
 */
static int
viw_take_record (struct viw *view, const struct viw_replica *replica,
                 const struct mem_record *record, bool *changed, clk_us now)
{
  struct viw_member *member = viw_find_member (view, record->instance);
  bool live = record->state != MEM_GONE;
  bool shown = live && viw_wanted (view, record);
  int order;

  if (member == NULL && !shown)
    return SR_OK;
  if (member == NULL)
    {
      member = viw_add (view, record);
      if (member == NULL)
        return SR_ENOMEM;
      *changed = true;
    }
  order = mem_compare (record, &member->record);
  if (order > 0 && live)
    {
      viw_replace (view, member, record, now);
      *changed = true;
    }
  if (shown)
    viw_mark_listed (member, replica);
  else if (!live || order >= 0)
    viw_mark_ended (member, replica);
  return SR_OK;
}

/* Replicas that have answered within the time of a lease; *SETTLED are those
   whose epoch is known for longer than that.  */
static uint32_t
viw_speaking (const struct viw *view, clk_us now, uint32_t *settled)
{
  clk_us silent = view->opts.replica_silent;
  uint32_t speaking = 0;

  *settled = 0;
  lst_each (node, &view->replicas)
    {
      const struct viw_replica *replica
          = lst_entry (node, struct viw_replica, node);

      if (replica->epoch == 0 || now - replica->answered > silent)
        continue;
      speaking |= replica->bit;
      if (now - replica->epoch_since > silent)
        *settled |= replica->bit;
    }
  return speaking;
}

/* Drops members that no speaking replica lists, if one of the speaking ones
   is settled or has listed it before; returns whether there were any.  */
static bool
viw_sweep (struct viw *view, clk_us now)
{
  uint32_t settled;
  uint32_t speaking = viw_speaking (view, now, &settled);
  bool dropped = false;

  lst_each (node, &view->members)
    {
      struct viw_member *member = lst_entry (node, struct viw_member, node);

      member->listed &= member->recent | ~settled;
      if ((member->listed & speaking) != 0 || now < member->hidden_until
          || ((settled | member->ended) & speaking) == 0)
        continue;
      viw_drop (view, member);
      dropped = true;
    }
  return dropped;
}

/* Prepares for the whole table of REPLICA.  After a restart of the replica its
   earlier word still counts until it is settled, unless it was silent for so
   long that it had no say any more.  */
static void
viw_begin_whole (struct viw *view, const struct viw_replica *replica,
                 bool restarted, clk_us now)
{
  bool silent = now - replica->answered > view->opts.replica_silent;

  lst_each (node, &view->members)
    {
      struct viw_member *member = lst_entry (node, struct viw_member, node);

      member->recent &= ~replica->bit;
      if (restarted)
        member->ended &= ~replica->bit;
      if (restarted && silent)
        member->listed &= ~replica->bit;
    }
}

/* Takes the items of a reply that continues what is known.  */
static int
viw_take_items (struct viw *view, const struct viw_replica *replica,
                const struct mem_members *reply, bool *changed, clk_us now)
{
  if (reply->whole)
    viw_begin_whole (view, replica, reply->position.epoch != replica->epoch,
                     now);
  lst_each (node, &reply->items)
    {
      const struct mem_item *item = lst_entry (node, struct mem_item, node);
      int error = viw_take_record (view, replica, &item->record, changed, now);

      if (error != SR_OK)
        return error;
    }
  return SR_OK;
}

int
viw_take (struct viw *view, const char *address,
          const struct mem_members *reply, clk_us now)
{
  struct viw_replica *replica = viw_find_replica (view, address);
  bool changed = false;
  bool dropped;
  int error;

  if (replica == NULL)
    replica = viw_add_replica (view, address);
  if (replica == NULL)
    return SR_ENOMEM;
  if (!viw_continues (replica, reply))
    return 0;
  error = viw_take_items (view, replica, reply, &changed, now);
  if (error != SR_OK)
    return error;
  if (reply->position.epoch != replica->epoch)
    {
      replica->epoch = reply->position.epoch;
      replica->epoch_since = now;
    }
  replica->position = reply->position;
  replica->answered = now;
  lst_remove (&replica->node);
  lst_push_tail (&view->replicas, &replica->node);
  dropped = viw_sweep (view, now);
  return changed || dropped;
}

uint32_t
viw_list (const struct viw *view, const char *service, struct lst *out)
{
  uint32_t count = 0;

  lst_each (node, &view->members)
    {
      const struct viw_member *member
          = lst_entry (node, struct viw_member, node);
      const struct mem_record *record = &member->record;

      if (member->hidden_until != 0
          || (service != NULL && strcmp (record->service, service) != 0))
        continue;
      if (mem_add_item (out, record) == SR_OK)
        count++;
    }
  return count;
}
