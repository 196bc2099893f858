#include "log/raft_impl.h"

#include <stdlib.h>
#include <string.h>

struct raft_peer *
raft_peer_find (const struct raft *raft, uint64_t id)
{
  list_each (node, &raft->peers)
    {
      struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (peer->member.id == id)
        return peer;
    }
  return NULL;
}

/* Returns a peer to which the log is sent from its end on.  */
static struct raft_peer *
raft_peer_new (const struct raft *raft, clk_us now)
{
  struct raft_peer *peer = raft_alloc (sizeof *peer);

  peer->next_index = raft->log.last_index + 1;
  peer->last_contact = now;
  return peer;
}

/* A membership is effective as soon as it is in the log.  The progress of
   peers that remain members is kept.  */
void
raft_update_members (struct raft *raft, clk_us now)
{
  struct list_node *node;
  struct list peers;

  raft->members = *raft_log_members (&raft->log, raft->log.last_index,
                                     &raft->members_index);
  list_init (&peers);
  for (uint32_t i = 0; i < raft->members.count; i++)
    {
      const struct raft_member *member = &raft->members.list[i];
      struct raft_peer *peer;

      if (member->id == raft->opts.id)
        continue;
      peer = raft_peer_find (raft, member->id);
      if (peer == NULL)
        peer = raft_peer_new (raft, now);
      peer->member = *member;
      list_remove (&peer->node);
      list_push_tail (&peers, &peer->node);
    }
  while ((node = list_pop_head (&raft->peers)) != NULL)
    free (list_entry (node, struct raft_peer, node));
  list_splice_tail (&raft->peers, &peers);
  raft_add_output (raft, RAFT_OUT_MEMBERS_CHANGED);
}

/* Only one change at a time, and none before an entry of the leader's term is
   committed: the quorums of two memberships that differ by one voter overlap,
   those of two that differ by more may not.  */
bool
raft_member_change_allowed (const struct raft *raft)
{
  return raft->role == RAFT_LEADER
         && raft->hard_state.commit_index >= raft->term_start_index
         && raft->members_index <= raft->hard_state.commit_index
         && raft->transfer_target_id == 0;
}

/* Returns the number of voters of A that are no voters of B.  */
static uint32_t
raft_count_voters_not_in (const struct raft_members *a,
                          const struct raft_members *b)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < a->count; i++)
    {
      const struct raft_member *member = raft_members_find (b, a->list[i].id);

      if (!a->list[i].learner && (member == NULL || member->learner))
        count++;
    }
  return count;
}

/* Appends MEMBERS to the log as the next membership.  */
static void
raft_propose_members (struct raft *raft, const struct raft_members *members)
{
  struct raft_entry *entry = raft_entry_new (RAFT_ENTRY_MEMBERSHIP);

  INVARIANT (raft_member_change_allowed (raft));
  INVARIANT (raft_members_find (members, raft->opts.id) != NULL);
  INVARIANT (raft_count_voters_not_in (members, &raft->members)
                 + raft_count_voters_not_in (&raft->members, members)
             <= 1);
  entry->members = raft_alloc (sizeof *entry->members);
  *entry->members = *members;
  raft_append_new_entry (raft, entry);
}

/* Removes the member ID.  */
static void
raft_members_remove (struct raft_members *members, uint64_t id)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < members->count; i++)
    if (members->list[i].id != id)
      members->list[count++] = members->list[i];
  members->count = count;
}

int
raft_propose_removal (struct raft *raft, uint64_t id, clk_us now)
{
  struct raft_members members = raft->members;

  raft->now = now;
  if (raft->role != RAFT_LEADER)
    return SR_ENOTLEADER;
  if (!raft_member_change_allowed (raft))
    return SR_EAGAIN;
  if (id == raft->opts.id)
    return SR_EINVAL;
  if (raft_members_find (&members, id) == NULL)
    return SR_ENOENT;
  raft_members_remove (&members, id);
  raft_propose_members (raft, &members);
  return SR_OK;
}

void
raft_propose_role (struct raft *raft, uint64_t id, bool learner)
{
  struct raft_members members = raft->members;

  for (uint32_t i = 0; i < members.count; i++)
    if (members.list[i].id == id)
      members.list[i].learner = learner;
  raft_propose_members (raft, &members);
}

bool
raft_peer_leaves (const struct raft *raft, const struct raft_peer *peer)
{
  return peer->left_at != 0
         && peer->last_contact
                < peer->left_at + raft->opts.election_timeout_min;
}

bool
raft_leave (struct raft *raft, clk_us now)
{
  bool has_learner = false;

  raft->now = now;
  list_each (node, &raft->peers)
    has_learner |= list_entry (node, struct raft_peer, node)->member.learner;
  /* Also without a vote, which the leader must not give back.  */
  if (raft->role != RAFT_LEADER && raft->leader_id != 0
      && raft->leave_sent_at + raft->opts.heartbeat_interval <= now)
    {
      raft->leave_sent_at = now;
      raft_send (raft, raft_msg_new_to (raft, RAFT_LEAVE, raft->leader_id));
    }
  return has_learner && raft_is_voter (raft, raft->opts.id);
}

void
raft_on_leave (struct raft *raft, const struct raft_msg *msg, clk_us now)
{
  struct raft_peer *peer = raft_peer_find (raft, msg->from);

  if (raft->role != RAFT_LEADER || peer == NULL)
    return;
  peer->left_at = now;
  raft_manage_members (raft, now);
}

/* Proposes the sender as a learner, which replaces learners with the same
   address, or proposes the new address of a member.  */
static void
raft_propose_learner (struct raft *raft, const struct raft_msg *msg)
{
  struct raft_members members = raft->members;
  struct raft_member *sender = NULL;

  for (uint32_t i = 0; i < members.count; i++)
    if (members.list[i].id == msg->from)
      sender = &members.list[i];
  if (sender != NULL && strcmp (sender->address, msg->address) == 0)
    return;
  if (sender == NULL)
    {
      for (uint32_t i = members.count; i-- > 0;)
        if (members.list[i].learner
            && strcmp (members.list[i].address, msg->address) == 0)
          raft_members_remove (&members, members.list[i].id);
      if (members.count == RAFT_MEMBERS_MAX)
        return;
      sender = &members.list[members.count++];
      *sender = (struct raft_member){ .id = msg->from, .learner = true };
    }
  memcpy (sender->address, msg->address, sizeof sender->address);
  raft_propose_members (raft, &members);
}

void
raft_on_hello (struct raft *raft, const struct raft_msg *msg, clk_us now)
{
  struct raft_msg *reply = raft_msg_new_to (raft, RAFT_HELLO_REPLY, msg->from);
  struct raft_status status;

  (void)now;
  raft_get_status (raft, &status);
  reply->u.hello_reply.in_group = raft->log.last_index > 0;
  reply->u.hello_reply.peers_digest = raft->opts.peers_digest;
  memcpy (reply->u.hello_reply.leader_address, status.leader_address,
          sizeof status.leader_address);
  raft_send (raft, reply);
  if (msg->from != 0 && msg->from != raft->opts.id
      && raft_member_change_allowed (raft))
    raft_propose_learner (raft, msg);
}
