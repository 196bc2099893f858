#include "log/rep_impl.h"

#include <stdlib.h>
#include <string.h>

struct rep_peer *
rep_peer_find (const struct rep *rep, uint64_t id)
{
  lst_each (node, &rep->peers)
    {
      struct rep_peer *peer = lst_entry (node, struct rep_peer, node);

      if (peer->member.id == id)
        return peer;
    }
  return NULL;
}

static struct rep_peer *
rep_peer_new (const struct rep *rep, clk_us now)
{
  struct rep_peer *peer = rep_alloc (sizeof *peer);

  peer->next = rep->log.last_index + 1;
  peer->heard = now;
  return peer;
}

/* Takes the newest membership of the log; keeps what is known of peers that
   stay.  */
void
rep_adopt_members (struct rep *rep, clk_us now)
{
  struct lst_node *node;
  struct lst peers;

  rep->members
      = *rep_log_members (&rep->log, rep->log.last_index, &rep->members_index);
  lst_init (&peers);
  for (uint32_t i = 0; i < rep->members.count; i++)
    {
      const struct rep_member *member = &rep->members.list[i];
      struct rep_peer *peer;

      if (member->id == rep->opts.id)
        continue;
      peer = rep_peer_find (rep, member->id);
      if (peer == NULL)
        peer = rep_peer_new (rep, now);
      peer->member = *member;
      lst_remove (&peer->node);
      lst_push_tail (&peers, &peer->node);
    }
  while ((node = lst_pop_head (&rep->peers)) != NULL)
    free (lst_entry (node, struct rep_peer, node));
  lst_splice_tail (&rep->peers, &peers);
}

/* Only one change at a time, and none before the leader's first entry is
   committed: two memberships that differ by one member share a quorum, two
   that differ by more may not.  */
bool
rep_change_allowed (const struct rep *rep)
{
  return rep->role == REP_LEADER && rep->hard.commit >= rep->term_start
         && rep->members_index <= rep->hard.commit && rep->transfer_to == 0;
}

/* Voters of A that are no voters of B.  */
static uint32_t
rep_voters_without (const struct rep_members *a, const struct rep_members *b)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < a->count; i++)
    {
      const struct rep_member *other = rep_members_find (b, a->list[i].id);

      if (!a->list[i].learner && (other == NULL || other->learner))
        count++;
    }
  return count;
}

static void
rep_propose_members (struct rep *rep, const struct rep_members *members)
{
  struct rep_entry *entry = rep_entry_new (REP_MEMBERSHIP);

  INVARIANT (rep_change_allowed (rep));
  INVARIANT (rep_members_find (members, rep->opts.id) != NULL);
  INVARIANT (rep_voters_without (members, &rep->members)
                 + rep_voters_without (&rep->members, members)
             <= 1);
  entry->members = rep_alloc (sizeof *entry->members);
  *entry->members = *members;
  rep_append_own (rep, entry);
}

static void
rep_members_drop (struct rep_members *members, uint64_t id)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < members->count; i++)
    if (members->list[i].id != id)
      members->list[kept++] = members->list[i];
  members->count = kept;
}

int
rep_remove (struct rep *rep, uint64_t id, clk_us now)
{
  struct rep_members members = rep->members;

  rep->now = now;
  if (rep->role != REP_LEADER)
    return SR_ENOTLEADER;
  if (!rep_change_allowed (rep))
    return SR_EAGAIN;
  if (id == rep->opts.id)
    return SR_EINVAL;
  if (rep_members_find (&members, id) == NULL)
    return SR_ENOENT;
  rep_members_drop (&members, id);
  rep_propose_members (rep, &members);
  return SR_OK;
}

static void
rep_promote (struct rep *rep, uint64_t id)
{
  struct rep_members members = rep->members;

  for (uint32_t i = 0; i < members.count; i++)
    if (members.list[i].id == id)
      members.list[i].learner = false;
  rep_propose_members (rep, &members);
}

static bool
rep_caught_up (const struct rep *rep, const struct rep_peer *peer, clk_us now)
{
  return peer->member.learner
         && peer->match + REP_CAUGHT_UP_ENTRIES >= rep->log.last_index
         && peer->match >= rep->term_start
         && peer->heard + rep->opts.lease > now;
}

/* A voter whose place the learner takes: one with the same address, whose
   disk is lost, or one that has been silent for long.  */
static const struct rep_peer *
rep_replaced_by (const struct rep *rep, const struct rep_peer *learner,
                 bool silent, clk_us now)
{
  lst_each (node, &rep->peers)
    {
      const struct rep_peer *peer = lst_entry (node, struct rep_peer, node);

      if (peer->member.learner)
        continue;
      if (strcmp (peer->member.address, learner->member.address) == 0)
        return peer;
      if (silent && peer->heard + rep->opts.replace_after <= now)
        return peer;
    }
  return NULL;
}

/* Puts a learner that has caught up into the quorum.  The replaced voter is
   removed first: its vote is lost either way, and the quorum of the
   remaining voters does not wait for it.  */
static bool
rep_place_learner (struct rep *rep, const struct rep_peer *learner,
                   uint32_t ready, clk_us now)
{
  uint32_t voters = rep_voters (&rep->members);
  const struct rep_peer *old = rep_replaced_by (rep, learner, false, now);

  if (old == NULL && voters % 2 == 1)
    old = rep_replaced_by (rep, learner, true, now);
  if (old != NULL)
    {
      rep_remove (rep, old->member.id, now);
      return true;
    }
  /* An even number of voters tolerates no more failures than one less.  */
  if (voters % 2 == 0 || (ready >= 2 && voters + 2 <= rep->opts.voters_most))
    {
      rep_promote (rep, learner->member.id);
      return true;
    }
  return false;
}

/* One step of membership upkeep.  */
void
rep_manage_members (struct rep *rep, clk_us now)
{
  uint32_t ready = 0;

  if (!rep_change_allowed (rep))
    return;
  lst_each (node, &rep->peers)
    ready += rep_caught_up (rep, lst_entry (node, struct rep_peer, node), now);
  lst_each (node, &rep->peers)
    {
      const struct rep_peer *peer = lst_entry (node, struct rep_peer, node);

      if (rep_caught_up (rep, peer, now)
          && rep_place_learner (rep, peer, ready, now))
        return;
      if (peer->member.learner && peer->heard + rep->opts.replace_after <= now)
        {
          rep_remove (rep, peer->member.id, now);
          return;
        }
    }
}

/* Adds the sender as a learner, in the place of a learner with the same
   address; or takes its new address.  */
static void
rep_admit (struct rep *rep, const struct rep_msg *msg)
{
  struct rep_members members = rep->members;
  struct rep_member *self = NULL;

  for (uint32_t i = 0; i < members.count; i++)
    if (members.list[i].id == msg->from)
      self = &members.list[i];
  if (self != NULL && strcmp (self->address, msg->address) == 0)
    return;
  if (self == NULL)
    {
      for (uint32_t i = members.count; i-- > 0;)
        if (members.list[i].learner
            && strcmp (members.list[i].address, msg->address) == 0)
          rep_members_drop (&members, members.list[i].id);
      if (members.count == REP_MEMBERS_MAX)
        return;
      self = &members.list[members.count++];
      *self = (struct rep_member){ .id = msg->from, .learner = true };
    }
  memcpy (self->address, msg->address, sizeof self->address);
  rep_propose_members (rep, &members);
}

void
rep_on_hello (struct rep *rep, const struct rep_msg *msg, clk_us now)
{
  struct rep_msg *reply = rep_msg_to (rep, REP_HELLO_REPLY, msg->from);
  struct rep_status status;

  (void)now;
  rep_status (rep, &status);
  reply->u.hello_reply.belongs = rep->log.last_index > 0;
  reply->u.hello_reply.peers_digest = rep->opts.peers_digest;
  memcpy (reply->u.hello_reply.leader, status.leader_address,
          sizeof status.leader_address);
  rep_send (rep, reply);
  if (msg->from != 0 && msg->from != rep->opts.id && rep_change_allowed (rep))
    rep_admit (rep, msg);
}
