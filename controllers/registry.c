#include "controllers/registry.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/htable.h"

struct registry_member
{
  struct htable_node by_instance;
  struct list_node by_change;
  struct list_node by_time; /* on registry.live or registry.tombstones */
  struct member_record record;
  clk_us updated_at; /* last renewal, or the end of the lease */
  uint64_t change;   /* number of the last change */
  bool deregistered; /* the lease ended at the request of the node */
  uint64_t config_number;
  /* A node whose last renewal was before change service_change may have the
     record with previous_service, or with an earlier service if that renewal
     was before previous_service_change.  */
  char previous_service[MODEL_NAME_BYTES];
  uint64_t service_change;
  uint64_t previous_service_change;
  clk_us moved_at; /* time of service_change, 0 for a first service */
};

struct registry
{
  struct registry_opts opts;
  struct htable members;   /* by instance, tombstones included */
  struct list changes;     /* by change number */
  struct list live;        /* by renewal, oldest first */
  struct list tombstones;  /* oldest first */
  uint64_t last_change;    /* number of the last change */
  uint64_t dropped_change; /* highest change number of a dropped tombstone */
};

struct registry *
registry_new (const struct registry_opts *opts)
{
  struct registry *registry = calloc (1, sizeof *registry);

  INVARIANT (opts->epoch != 0);
  if (registry == NULL || htable_init (&registry->members) != SR_OK)
    {
      free (registry);
      return NULL;
    }
  registry->opts = *opts;
  list_init (&registry->changes);
  list_init (&registry->live);
  list_init (&registry->tombstones);
  return registry;
}

void
registry_free (struct registry *registry)
{
  struct list_node *node;

  if (registry == NULL)
    return;
  while ((node = list_pop_head (&registry->changes)) != NULL)
    free (list_entry (node, struct registry_member, by_change));
  htable_fini (&registry->members);
  free (registry);
}

static struct registry_member *
registry_find (struct registry *registry, const char *instance)
{
  uint64_t hash = htable_hash_text (instance);

  list_each (node, htable_bucket (&registry->members, hash))
    {
      struct registry_member *member
          = list_entry (node, struct registry_member, by_instance.node);

      if (member->by_instance.hash == hash
          && strcmp (member->record.instance, instance) == 0)
        return member;
    }
  return NULL;
}

static bool
registry_is_live (const struct registry_member *member)
{
  return member->record.state != MEMBER_TOMBSTONE;
}

/* Assigns the next change number to a member.  */
static void
registry_touch (struct registry *registry, struct registry_member *member)
{
  member->change = ++registry->last_change;
  list_remove (&member->by_change);
  list_push_tail (&registry->changes, &member->by_change);
}

/* Makes a member a tombstone.  */
static void
registry_end_lease (struct registry *registry, struct registry_member *member,
                    bool left, clk_us now)
{
  member->record.state = MEMBER_TOMBSTONE;
  member->deregistered = left;
  member->updated_at = now;
  list_remove (&member->by_time);
  list_push_tail (&registry->tombstones, &member->by_time);
  registry_touch (registry, member);
}

static void
registry_drop_oldest_tombstone (struct registry *registry)
{
  struct registry_member *member = list_entry (
      list_first (&registry->tombstones), struct registry_member, by_time);

  if (member->change > registry->dropped_change)
    registry->dropped_change = member->change;
  htable_remove (&registry->members, &member->by_instance);
  list_remove (&member->by_change);
  list_remove (&member->by_time);
  free (member);
}

uint32_t
registry_expire (struct registry *registry, clk_us now)
{
  uint32_t ended = 0;

  list_each (node, &registry->live)
    {
      struct registry_member *member
          = list_entry (node, struct registry_member, by_time);

      if (now - member->updated_at < registry->opts.lease)
        break;
      registry_end_lease (registry, member, false, now);
      ended++;
    }
  list_each (node, &registry->tombstones)
    {
      if (now - list_entry (node, struct registry_member, by_time)->updated_at
          < registry->opts.tombstone_retention)
        break;
      registry_drop_oldest_tombstone (registry);
    }
  return ended;
}

void
registry_resume (struct registry *registry, clk_us now)
{
  list_each (node, &registry->live)
    list_entry (node, struct registry_member, by_time)->updated_at = now;
}

int
registry_leave (struct registry *registry, const struct member_record *record,
                clk_us now)
{
  struct registry_member *member = registry_find (registry, record->instance);

  if (member == NULL || !registry_is_live (member)
      || strcmp (member->record.address, record->address) != 0
      || member_compare (record, &member->record) < 0)
    return SR_ENOENT;
  member->record.incarnation = record->incarnation;
  member->record.sequence = record->sequence;
  registry_end_lease (registry, member, true, now);
  return SR_OK;
}

/* Adds a member; the oldest tombstone is dropped when the table is full.  */
static int
registry_add (struct registry *registry, const struct member_record *record,
              struct registry_member **added)
{
  struct registry_member *member;

  if (registry->members.item_count >= registry->opts.members_max)
    {
      if (list_empty (&registry->tombstones))
        return SR_EFULL;
      registry_drop_oldest_tombstone (registry);
    }
  member = calloc (1, sizeof *member);
  if (member == NULL)
    return SR_ENOMEM;
  member->record = *record;
  htable_add (&registry->members, &member->by_instance,
              htable_hash_text (record->instance));
  registry_touch (registry, member);
  member->service_change = member->change;
  *added = member;
  return SR_OK;
}

/* Replaces the record of a member.  */
static void
registry_replace (struct registry *registry, struct registry_member *member,
                  const struct member_record *record, clk_us now)
{
  const struct member_record *current = &member->record;
  bool control_lost = current->control_replica && !record->control_replica;
  bool service_changed = strcmp (current->service, record->service) != 0;

  registry_touch (registry, member);
  if (service_changed || control_lost)
    {
      memcpy (member->previous_service, current->service, MODEL_NAME_BYTES);
      /* The record of a control replica was sent to all nodes, so all of them
         must learn that it is none any more.  */
      member->previous_service_change
          = control_lost ? member->change : member->service_change;
      member->service_change = member->change;
      member->moved_at = now;
    }
  member->record = *record;
}

/* Applies the record of a renewal.  */
static int
registry_apply_record (struct registry *registry,
                       const struct member_renew *renew, clk_us now)
{
  const struct member_record *record = &renew->record;
  struct registry_member *member = registry_find (registry, record->instance);
  int order = 1;
  int error;

  if (record->state == MEMBER_TOMBSTONE)
    {
      (void)registry_leave (registry, record, now);
      return SR_OK;
    }
  if (member == NULL)
    {
      error = registry_add (registry, record, &member);
      if (error != SR_OK)
        return error;
    }
  else
    {
      if (registry_is_live (member)
          && strcmp (member->record.address, record->address) != 0)
        return SR_EEXIST;
      order = member_compare (record, &member->record);
      if (order < 0 || (order == 0 && member->deregistered))
        return SR_OK;
      if (order > 0 || !registry_is_live (member))
        registry_replace (registry, member, record, now);
    }
  member->deregistered = false;
  member->updated_at = now;
  member->config_number = renew->config_version.number;
  list_remove (&member->by_time);
  list_push_tail (&registry->live, &member->by_time);
  return SR_OK;
}

static bool
registry_service_is_wanted (const struct member_renew *renew,
                            const char *service)
{
  for (uint32_t i = 0; i < renew->service_count; i++)
    if (strcmp (renew->services[i], service) == 0)
      return true;
  return false;
}

/* Whether the sender of RENEW needs the current record of MEMBER.  */
static bool
registry_is_wanted (const struct member_renew *renew,
                    const struct registry_member *member)
{
  return renew->all_services || member->record.control_replica
         || registry_service_is_wanted (renew, member->record.service);
}

/* Whether the sender, which knows all changes up to CHANGE, may have MEMBER
   with an earlier service that it wants.  */
static bool
registry_was_wanted (const struct member_renew *renew,
                     const struct registry_member *member, uint64_t change)
{
  if (change >= member->service_change)
    return false;
  if (change >= member->previous_service_change)
    return registry_service_is_wanted (renew, member->previous_service);
  return true;
}

/* Appends the members that have changed since the position of RENEW.  */
static int
registry_list_changes (const struct registry *registry,
                       const struct member_renew *renew, struct list *out)
{
  const struct list_node *node = registry->changes.head.prev;

  for (; node != &registry->changes.head; node = node->prev)
    {
      const struct registry_member *member
          = list_entry (node, struct registry_member, by_change);

      if (member->change <= renew->position.change)
        break;
      if (!registry_is_wanted (renew, member)
          && !registry_was_wanted (renew, member, renew->position.change))
        continue;
      if (member_add_item (out, &member->record) != SR_OK)
        return SR_ENOMEM;
    }
  return SR_OK;
}

/* Appends all live members that the sender wants, and those that have changed
   their service recently: it may get their old record from a replica that is
   behind.  */
static int
registry_list_full (const struct registry *registry,
                    const struct member_renew *renew, struct list *out,
                    clk_us now)
{
  list_each (node, &registry->live)
    {
      const struct registry_member *member
          = list_entry (node, struct registry_member, by_time);
      bool recently_moved = now - member->moved_at < 2 * registry->opts.lease;

      if (!registry_is_wanted (renew, member)
          && !(recently_moved && registry_was_wanted (renew, member, 0)))
        continue;
      if (member_add_item (out, &member->record) != SR_OK)
        return SR_ENOMEM;
    }
  return SR_OK;
}

int
registry_renew (struct registry *registry, const struct member_renew *renew,
                struct member_renew_reply *reply, clk_us now)
{
  const struct member_position *position = &renew->position;
  int error;

  reply->status = MEMBER_OK;
  reply->since = *position;
  reply->position = (struct member_position){ 0 };
  reply->full = false;
  list_init (&reply->items);
  registry_expire (registry, now);
  error = registry_apply_record (registry, renew, now);
  if (error == SR_EEXIST)
    reply->status = MEMBER_NAME_TAKEN;
  if (error != SR_OK)
    return error;
  reply->position.epoch = registry->opts.epoch;
  reply->position.change = registry->last_change;
  reply->full = position->epoch != registry->opts.epoch
                || position->change < registry->dropped_change
                || position->change > registry->last_change;
  if (reply->full)
    return registry_list_full (registry, renew, &reply->items, now);
  return registry_list_changes (registry, renew, &reply->items);
}

uint32_t
registry_list (const struct registry *registry, struct list *out)
{
  uint32_t count = 0;

  list_each (node, &registry->live)
    {
      const struct registry_member *member
          = list_entry (node, struct registry_member, by_time);

      if (member_add_item (out, &member->record) == SR_OK)
        count++;
    }
  return count;
}

uint32_t
registry_list_lagging (const struct registry *registry, uint64_t number,
                       struct list *out)
{
  uint32_t count = 0;

  list_each (node, &registry->live)
    {
      const struct registry_member *member
          = list_entry (node, struct registry_member, by_time);

      if (member->config_number >= number)
        continue;
      /* Counted even without memory for the copy.  */
      (void)member_add_item (out, &member->record);
      count++;
    }
  return count;
}
