#include "controllers/view.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/htable.h"

/* A control replica, and its bit in the bitmaps of struct view_member.  */
struct view_replica
{
  struct list_node node;
  char address[MEMBER_ADDRESS_BYTES];
  uint32_t bit;
  struct member_position position; /* epoch 0 requests the full table */
  uint64_t epoch;                  /* of the last reply, 0 before the first */
  clk_us epoch_since;              /* time of the first reply with @epoch */
  clk_us answered_at;              /* time of the last reply */
};

struct view_member
{
  struct htable_node by_instance;
  struct list_node node;
  uint32_t listed; /* bits of the replicas that list it, or did so before they
                      restarted and are not settled yet */
  uint32_t listed_now; /* bits of the replicas whose current table lists it */
  uint32_t ended; /* bits of the replicas whose current table had it and that
                     have last reported it as ended or moved */
  clk_us hidden_until; /* 0 when visible; set while the newest record is of a
                          service that is not wanted */
  struct member_record record;
};

struct view
{
  struct view_opts opts;
  uint64_t generation; /* number of requests for the full table */
  bool all_services;   /* all services are wanted, not only those listed */
  uint32_t service_count;
  char (*services)[MODEL_NAME_BYTES];
  struct list replicas; /* struct view_replica, oldest answer first */
  uint32_t used_bits;   /* bits in use */
  struct list members;  /* struct view_member */
  struct htable instances;
};

struct view *
view_new (const struct view_opts *opts)
{
  struct view *view = calloc (1, sizeof *view);

  if (view == NULL || htable_init (&view->instances) != SR_OK)
    {
      free (view);
      return NULL;
    }
  view->opts = *opts;
  view->all_services = true;
  list_init (&view->replicas);
  list_init (&view->members);
  return view;
}

void
view_free (struct view *view)
{
  struct list_node *node;

  if (view == NULL)
    return;
  while ((node = list_pop_head (&view->members)) != NULL)
    free (list_entry (node, struct view_member, node));
  while ((node = list_pop_head (&view->replicas)) != NULL)
    free (list_entry (node, struct view_replica, node));
  htable_fini (&view->instances);
  free (view->services);
  free (view);
}

static struct view_replica *
view_find_replica (const struct view *view, const char *address)
{
  list_each (node, &view->replicas)
    {
      struct view_replica *replica
          = list_entry (node, struct view_replica, node);

      if (strcmp (replica->address, address) == 0)
        return replica;
    }
  return NULL;
}

static struct view_member *
view_find_member (struct view *view, const char *instance)
{
  uint64_t hash = htable_hash_text (instance);

  list_each (node, htable_bucket (&view->instances, hash))
    {
      struct view_member *member
          = list_entry (node, struct view_member, by_instance.node);

      if (member->by_instance.hash == hash
          && strcmp (member->record.instance, instance) == 0)
        return member;
    }
  return NULL;
}

/* Removes the replica with the oldest answer.  */
static void
view_remove_replica (struct view *view)
{
  struct view_replica *replica = list_entry (list_pop_head (&view->replicas),
                                             struct view_replica, node);

  list_each (node, &view->members)
    {
      struct view_member *member = list_entry (node, struct view_member, node);

      member->listed &= ~replica->bit;
      member->listed_now &= ~replica->bit;
      member->ended &= ~replica->bit;
    }
  view->used_bits &= ~replica->bit;
  free (replica);
}

/* Adds a replica; the one with the oldest answer is removed when no bit is
   free.  */
static struct view_replica *
view_add_replica (struct view *view, const char *address)
{
  struct view_replica *replica = calloc (1, sizeof *replica);

  if (replica == NULL)
    return NULL;
  if (view->used_bits == UINT32_MAX)
    view_remove_replica (view);
  replica->bit = ~view->used_bits & (view->used_bits + 1);
  view->used_bits |= replica->bit;
  strncpy (replica->address, address, sizeof replica->address - 1);
  replica->position.change = view->generation;
  list_push_tail (&view->replicas, &replica->node);
  return replica;
}

struct member_position
view_position (const struct view *view, const char *address)
{
  const struct view_replica *replica = view_find_replica (view, address);

  if (replica == NULL)
    return (struct member_position){ .change = view->generation };
  return replica->position;
}

static bool
view_is_wanted (const struct view *view, const struct member_record *record)
{
  if (view->all_services || record->control_replica)
    return true;
  for (uint32_t i = 0; i < view->service_count; i++)
    if (strcmp (view->services[i], record->service) == 0)
      return true;
  return false;
}

static void
view_remove_member (struct view *view, struct view_member *member)
{
  list_remove (&member->node);
  htable_remove (&view->instances, &member->by_instance);
  free (member);
}

int
view_set_services (struct view *view, bool all,
                   char (*services)[MODEL_NAME_BYTES], uint32_t count)
{
  char (*wanted)[MODEL_NAME_BYTES] = NULL;

  if (!all && count > 0)
    {
      wanted = malloc (count * sizeof *wanted);
      if (wanted == NULL)
        return SR_ENOMEM;
      memcpy (wanted, services, count * sizeof *wanted);
    }
  free (view->services);
  view->services = wanted;
  view->service_count = wanted != NULL ? count : 0;
  view->all_services = all;
  view->generation++;
  list_each (node, &view->replicas)
    list_entry (node, struct view_replica, node)->position
        = (struct member_position){ .change = view->generation };
  list_each (node, &view->members)
    {
      struct view_member *member = list_entry (node, struct view_member, node);

      member->hidden_until = 0;
      if (!view_is_wanted (view, &member->record))
        view_remove_member (view, member);
    }
  return SR_OK;
}

/* Whether REPLY continues from the position known of REPLICA: the changes
   after it, or the full table that was requested or that a restart requires.
 */
static bool
view_continues (const struct view_replica *replica,
                const struct member_renew_reply *reply)
{
  const struct member_position *known = &replica->position;
  const struct member_position *since = &reply->since;

  if (reply->status != MEMBER_OK || reply->position.epoch == 0)
    return false;
  if (since->epoch != known->epoch)
    return false;
  if (known->epoch == 0)
    return reply->full && since->change == known->change;
  if (reply->position.epoch != known->epoch)
    return reply->full;
  return since->change <= known->change
         && reply->position.change >= known->change;
}

static void
view_mark_listed (struct view_member *member,
                  const struct view_replica *replica)
{
  member->listed |= replica->bit;
  member->listed_now |= replica->bit;
  member->ended &= ~replica->bit;
}

static void
view_mark_ended (struct view_member *member,
                 const struct view_replica *replica)
{
  member->listed &= ~replica->bit;
  member->listed_now &= ~replica->bit;
  member->ended |= replica->bit;
}

static struct view_member *
view_add_member (struct view *view, const struct member_record *record)
{
  struct view_member *member = calloc (1, sizeof *member);

  if (member == NULL)
    return NULL;
  member->record = *record;
  list_push_tail (&view->members, &member->node);
  htable_add (&view->instances, &member->by_instance,
              htable_hash_text (record->instance));
  return member;
}

/* Replaces the record of MEMBER.  A record of a service that is not wanted
   shows that the instance has left a wanted one.  It is hidden and kept for
   two leases, so that an older record from a replica that is behind does not
   bring the member back.  */
static void
view_replace_record (struct view *view, struct view_member *member,
                     const struct member_record *record, clk_us now)
{
  member->record = *record;
  member->hidden_until = 0;
  if (!view_is_wanted (view, record))
    member->hidden_until = now + 2 * view->opts.replica_timeout;
}

/* Applies one record of a reply; sets *CHANGED when the set of members
   changes.  */
static int
view_apply_record (struct view *view, const struct view_replica *replica,
                   const struct member_record *record, bool *changed,
                   clk_us now)
{
  struct view_member *member = view_find_member (view, record->instance);
  bool live = record->state != MEMBER_TOMBSTONE;
  int order = 1;

  if (member == NULL && !live)
    return SR_OK;
  if (member == NULL)
    member = view_add_member (view, record);
  else
    order = member_compare (record, &member->record);
  if (member == NULL)
    return SR_ENOMEM;
  if (order > 0 && live)
    {
      view_replace_record (view, member, record, now);
      *changed = true;
    }
  if (live && view_is_wanted (view, record))
    view_mark_listed (member, replica);
  else if (!live || order >= 0)
    view_mark_ended (member, replica);
  return SR_OK;
}

/* Replicas that have answered within the lease time.  SETTLED is set to those
   whose epoch has been known for longer than that.  */
static uint32_t
view_responding (const struct view *view, clk_us now, uint32_t *settled)
{
  clk_us timeout = view->opts.replica_timeout;
  uint32_t responding = 0;

  *settled = 0;
  list_each (node, &view->replicas)
    {
      const struct view_replica *replica
          = list_entry (node, struct view_replica, node);

      if (replica->epoch == 0 || now - replica->answered_at > timeout)
        continue;
      responding |= replica->bit;
      if (now - replica->epoch_since > timeout)
        *settled |= replica->bit;
    }
  return responding;
}

/* Drops members that no responding replica lists, if one of the responding
   replicas is settled (see view_responding()) or has reported that their lease
   has ended.  Returns whether there were any.  */
static bool
view_remove_unlisted (struct view *view, clk_us now)
{
  uint32_t settled;
  uint32_t responding = view_responding (view, now, &settled);
  bool dropped = false;

  list_each (node, &view->members)
    {
      struct view_member *member = list_entry (node, struct view_member, node);

      member->listed &= member->listed_now | ~settled;
      if ((member->listed & responding) != 0 || now < member->hidden_until
          || ((settled | member->ended) & responding) == 0)
        continue;
      view_remove_member (view, member);
      dropped = true;
    }
  return dropped;
}

/* Prepares for the full table of REPLICA.  After a restart of the replica its
   earlier lists are used until it is settled, unless it had been silent for so
   long that it was ignored.  */
static void
view_begin_full_table (struct view *view, const struct view_replica *replica,
                       bool restarted, clk_us now)
{
  bool timed_out = now - replica->answered_at > view->opts.replica_timeout;

  list_each (node, &view->members)
    {
      struct view_member *member = list_entry (node, struct view_member, node);

      member->listed_now &= ~replica->bit;
      if (restarted)
        member->ended &= ~replica->bit;
      if (restarted && timed_out)
        member->listed &= ~replica->bit;
    }
}

/* Applies the items of a reply that continues from the known position.  */
static int
view_apply_items (struct view *view, const struct view_replica *replica,
                  const struct member_renew_reply *reply, bool *changed,
                  clk_us now)
{
  if (reply->full)
    view_begin_full_table (view, replica,
                           reply->position.epoch != replica->epoch, now);
  list_each (node, &reply->items)
    {
      const struct member_item *item
          = list_entry (node, struct member_item, node);
      int error
          = view_apply_record (view, replica, &item->record, changed, now);

      if (error != SR_OK)
        return error;
    }
  return SR_OK;
}

int
view_apply_reply (struct view *view, const char *address,
                  const struct member_renew_reply *reply, clk_us now)
{
  struct view_replica *replica = view_find_replica (view, address);
  bool changed = false;
  bool dropped;
  int error;

  if (replica == NULL)
    replica = view_add_replica (view, address);
  if (replica == NULL)
    return SR_ENOMEM;
  if (!view_continues (replica, reply))
    return 0;
  error = view_apply_items (view, replica, reply, &changed, now);
  if (error != SR_OK)
    return error;
  if (reply->position.epoch != replica->epoch)
    {
      replica->epoch = reply->position.epoch;
      replica->epoch_since = now;
    }
  replica->position = reply->position;
  replica->answered_at = now;
  list_remove (&replica->node);
  list_push_tail (&view->replicas, &replica->node);
  dropped = view_remove_unlisted (view, now);
  return changed || dropped;
}

uint32_t
view_list (const struct view *view, const char *service, struct list *out)
{
  uint32_t count = 0;

  list_each (node, &view->members)
    {
      const struct view_member *member
          = list_entry (node, struct view_member, node);
      const struct member_record *record = &member->record;

      if (member->hidden_until != 0
          || (service != NULL && strcmp (record->service, service) != 0))
        continue;
      if (member_add_item (out, record) == SR_OK)
        count++;
    }
  return count;
}
