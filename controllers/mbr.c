#include "controllers/mbr.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/hash.h"

struct mbr_member
{
  struct hsh_node by_instance;
  struct lst_node by_change;
  struct lst_node by_time; /* on mbr.live or mbr.gone */
  struct mem_record record;
  clk_us since;    /* last renewal, or the end of a gone member */
  uint64_t change; /* number of the last change */
  bool left;       /* gone by its own word */
  uint64_t config_number;
  /* A node that last asked before service_since may hold the record under
     service_before, or under an earlier service if it asked before
     before_since.  */
  char service_before[MDL_NAME_BYTES];
  uint64_t service_since;
  uint64_t before_since;
  clk_us moved; /* time of service_since, 0 for a first service */
};

struct mbr
{
  struct mbr_opts opts;
  struct hsh members;   /* by instance, with tombstones */
  struct lst changes;   /* by change number */
  struct lst live;      /* by renewal, oldest first */
  struct lst gone;      /* tombstones, oldest first */
  uint64_t change;      /* number of the last change */
  uint64_t lost_change; /* highest number of a dropped tombstone */
};

struct mbr *
mbr_new (const struct mbr_opts *opts)
{
  struct mbr *mbr = calloc (1, sizeof *mbr);

  INVARIANT (opts->epoch != 0);
  if (mbr == NULL || hsh_init (&mbr->members) != SR_OK)
    {
      free (mbr);
      return NULL;
    }
  mbr->opts = *opts;
  lst_init (&mbr->changes);
  lst_init (&mbr->live);
  lst_init (&mbr->gone);
  return mbr;
}

void
mbr_free (struct mbr *mbr)
{
  struct lst_node *node;

  if (mbr == NULL)
    return;
  while ((node = lst_pop_head (&mbr->changes)) != NULL)
    free (lst_entry (node, struct mbr_member, by_change));
  hsh_fini (&mbr->members);
  free (mbr);
}

static struct mbr_member *
mbr_find (struct mbr *mbr, const char *instance)
{
  uint64_t hash = hsh_text (instance);

  lst_each (node, hsh_bucket (&mbr->members, hash))
    {
      struct mbr_member *member
          = lst_entry (node, struct mbr_member, by_instance.node);

      if (member->by_instance.hash == hash
          && strcmp (member->record.instance, instance) == 0)
        return member;
    }
  return NULL;
}

static bool
mbr_is_live (const struct mbr_member *member)
{
  return member->record.state != MEM_GONE;
}

/* Gives a member the next change number.  */
static void
mbr_touch (struct mbr *mbr, struct mbr_member *member)
{
  member->change = ++mbr->change;
  lst_remove (&member->by_change);
  lst_push_tail (&mbr->changes, &member->by_change);
}

/* Makes a member a tombstone.  */
static void
mbr_end (struct mbr *mbr, struct mbr_member *member, bool left, clk_us now)
{
  member->record.state = MEM_GONE;
  member->left = left;
  member->since = now;
  lst_remove (&member->by_time);
  lst_push_tail (&mbr->gone, &member->by_time);
  mbr_touch (mbr, member);
}

static void
mbr_drop_oldest_gone (struct mbr *mbr)
{
  struct mbr_member *member
      = lst_entry (lst_first (&mbr->gone), struct mbr_member, by_time);

  if (member->change > mbr->lost_change)
    mbr->lost_change = member->change;
  hsh_remove (&mbr->members, &member->by_instance);
  lst_remove (&member->by_change);
  lst_remove (&member->by_time);
  free (member);
}

uint32_t
mbr_expire (struct mbr *mbr, clk_us now)
{
  uint32_t ended = 0;

  lst_each (node, &mbr->live)
    {
      struct mbr_member *member = lst_entry (node, struct mbr_member, by_time);

      if (now - member->since < mbr->opts.lease)
        break;
      mbr_end (mbr, member, false, now);
      ended++;
    }
  lst_each (node, &mbr->gone)
    {
      if (now - lst_entry (node, struct mbr_member, by_time)->since
          < mbr->opts.keep_gone)
        break;
      mbr_drop_oldest_gone (mbr);
    }
  return ended;
}

void
mbr_resume (struct mbr *mbr, clk_us now)
{
  lst_each (node, &mbr->live)
    lst_entry (node, struct mbr_member, by_time)->since = now;
}

int
mbr_leave (struct mbr *mbr, const struct mem_record *record, clk_us now)
{
  struct mbr_member *member = mbr_find (mbr, record->instance);

  if (member == NULL || !mbr_is_live (member)
      || strcmp (member->record.address, record->address) != 0
      || mem_compare (record, &member->record) < 0)
    return SR_ENOENT;
  member->record.incarnation = record->incarnation;
  member->record.sequence = record->sequence;
  mbr_end (mbr, member, true, now);
  return SR_OK;
}

/* Adds a member with RECORD; the oldest tombstone makes room.  */
static int
mbr_add (struct mbr *mbr, const struct mem_record *record,
         struct mbr_member **out)
{
  struct mbr_member *member;

  if (mbr->members.items >= mbr->opts.most)
    {
      if (lst_empty (&mbr->gone))
        return SR_EFULL;
      mbr_drop_oldest_gone (mbr);
    }
  member = calloc (1, sizeof *member);
  if (member == NULL)
    return SR_ENOMEM;
  member->record = *record;
  hsh_add (&mbr->members, &member->by_instance, hsh_text (record->instance));
  mbr_touch (mbr, member);
  member->service_since = member->change;
  *out = member;
  return SR_OK;
}

/* Puts RECORD in place of the one held.  */
static void
mbr_replace (struct mbr *mbr, struct mbr_member *member,
             const struct mem_record *record, clk_us now)
{
  const struct mem_record *held = &member->record;
  bool unlisted = held->control && !record->control;
  bool moved = strcmp (held->service, record->service) != 0;

  mbr_touch (mbr, member);
  if (moved || unlisted)
    {
      memcpy (member->service_before, held->service, MDL_NAME_BYTES);
      /* The record of a control replica went to all nodes, so all of them
         must hear that it is none any more.  */
      member->before_since = unlisted ? member->change : member->service_since;
      member->service_since = member->change;
      member->moved = now;
    }
  member->record = *record;
}

/* Takes the record of a renewal into the table.  */
static int
mbr_take (struct mbr *mbr, const struct mem_renew *renew, clk_us now)
{
  const struct mem_record *record = &renew->record;
  struct mbr_member *member = mbr_find (mbr, record->instance);
  int order = 1;
  int error;

  if (record->state == MEM_GONE)
    {
      (void)mbr_leave (mbr, record, now);
      return SR_OK;
    }
  if (member == NULL)
    {
      error = mbr_add (mbr, record, &member);
      if (error != SR_OK)
        return error;
    }
  else
    {
      if (mbr_is_live (member)
          && strcmp (member->record.address, record->address) != 0)
        return SR_EEXIST;
      order = mem_compare (record, &member->record);
      if (order < 0 || (order == 0 && member->left))
        return SR_OK;
      if (order > 0 || !mbr_is_live (member))
        mbr_replace (mbr, member, record, now);
    }
  member->left = false;
  member->since = now;
  member->config_number = renew->config.number;
  lst_remove (&member->by_time);
  lst_push_tail (&mbr->live, &member->by_time);
  return SR_OK;
}

static bool
mbr_service_wanted (const struct mem_renew *renew, const char *service)
{
  for (uint32_t i = 0; i < renew->service_count; i++)
    if (strcmp (renew->services[i], service) == 0)
      return true;
  return false;
}

/* Whether the sender of RENEW must hear of MEMBER as it is now.  */
static bool
mbr_wanted (const struct mem_renew *renew, const struct mbr_member *member)
{
  return renew->all_services || member->record.control
         || mbr_service_wanted (renew, member->record.service);
}

/* Whether the sender, which knows all changes up to CHANGE, may hold MEMBER
   under an earlier service that it wants.  */
static bool
mbr_wanted_before (const struct mem_renew *renew,
                   const struct mbr_member *member, uint64_t change)
{
  if (change >= member->service_since)
    return false;
  if (change >= member->before_since)
    return mbr_service_wanted (renew, member->service_before);
  return true;
}

/* Appends the members that changed after the position of RENEW.  */
static int
mbr_list_changes (const struct mbr *mbr, const struct mem_renew *renew,
                  struct lst *out)
{
  const struct lst_node *node = mbr->changes.head.prev;

  for (; node != &mbr->changes.head; node = node->prev)
    {
      const struct mbr_member *member
          = lst_entry (node, struct mbr_member, by_change);

      if (member->change <= renew->position.change)
        break;
      if (!mbr_wanted (renew, member)
          && !mbr_wanted_before (renew, member, renew->position.change))
        continue;
      if (mem_add_item (out, &member->record) != SR_OK)
        return SR_ENOMEM;
    }
  return SR_OK;
}

/* Appends all live members that the sender wants, and those that have moved
   lately: it may learn their old record from a replica that is behind.  */
static int
mbr_list_whole (const struct mbr *mbr, const struct mem_renew *renew,
                struct lst *out, clk_us now)
{
  lst_each (node, &mbr->live)
    {
      const struct mbr_member *member
          = lst_entry (node, struct mbr_member, by_time);
      bool lately = now - member->moved < 2 * mbr->opts.lease;

      if (!mbr_wanted (renew, member)
          && !(lately && mbr_wanted_before (renew, member, 0)))
        continue;
      if (mem_add_item (out, &member->record) != SR_OK)
        return SR_ENOMEM;
    }
  return SR_OK;
}

int
mbr_renew (struct mbr *mbr, const struct mem_renew *renew,
           struct mem_members *reply, clk_us now)
{
  const struct mem_position *position = &renew->position;
  int error;

  reply->status = MEM_OK;
  reply->since = *position;
  reply->position = (struct mem_position){ 0 };
  reply->whole = false;
  lst_init (&reply->items);
  mbr_expire (mbr, now);
  error = mbr_take (mbr, renew, now);
  if (error == SR_EEXIST)
    reply->status = MEM_NAME_TAKEN;
  if (error != SR_OK)
    return error;
  reply->position.epoch = mbr->opts.epoch;
  reply->position.change = mbr->change;
  reply->whole = position->epoch != mbr->opts.epoch
                 || position->change < mbr->lost_change
                 || position->change > mbr->change;
  if (reply->whole)
    return mbr_list_whole (mbr, renew, &reply->items, now);
  return mbr_list_changes (mbr, renew, &reply->items);
}

uint32_t
mbr_list (const struct mbr *mbr, struct lst *out)
{
  uint32_t count = 0;

  lst_each (node, &mbr->live)
    {
      const struct mbr_member *member
          = lst_entry (node, struct mbr_member, by_time);

      if (mem_add_item (out, &member->record) == SR_OK)
        count++;
    }
  return count;
}

uint32_t
mbr_behind (const struct mbr *mbr, uint64_t number, struct lst *out)
{
  uint32_t count = 0;

  lst_each (node, &mbr->live)
    {
      const struct mbr_member *member
          = lst_entry (node, struct mbr_member, by_time);

      if (member->config_number >= number)
        continue;
      /* Without memory for the copy it still counts.  */
      (void)mem_add_item (out, &member->record);
      count++;
    }
  return count;
}
