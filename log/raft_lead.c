#include "log/raft_impl.h"

#include <stdlib.h>
#include <string.h>

enum raft_measure
{
  RAFT_MEASURE_MATCH,
  RAFT_MEASURE_ROUND,
  RAFT_MEASURE_SENT,
};

static uint64_t
raft_measure_peer (const struct raft_peer *peer, enum raft_measure measure)
{
  switch (measure)
    {
    case RAFT_MEASURE_MATCH:
      return peer->match;
    case RAFT_MEASURE_ROUND:
      return peer->acked_round;
    case RAFT_MEASURE_SENT:
      return peer->acked_sent;
    }
  return 0;
}

static int
raft_compare_descending (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left < right) - (left > right);
}

/* Largest value that a quorum of voters has reached; OWN is the value of this
   replica.  */
static uint64_t
raft_quorum (const struct raft *raft, enum raft_measure measure, uint64_t own)
{
  uint64_t values[RAFT_MEMBERS_MAX];
  uint32_t count = 0;

  if (raft_is_voter (raft, raft->opts.id))
    values[count++] = own;
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (!peer->member.learner)
        values[count++] = raft_measure_peer (peer, measure);
    }
  INVARIANT (count > 0 && count <= RAFT_MEMBERS_MAX);
  qsort (values, count, sizeof values[0], raft_compare_descending);
  return values[count / 2];
}

bool
raft_lease_valid (const struct raft *raft, clk_us now)
{
  return raft_quorum (raft, RAFT_MEASURE_SENT, now) + raft->opts.lease > now;
}

void
raft_confirm_reads (struct raft *raft)
{
  uint64_t round = raft_quorum (raft, RAFT_MEASURE_ROUND, UINT64_MAX);

  /* Before its first own entry is committed a leader does not know how far
     the log is committed.  */
  if (raft->hard.commit < raft->term_start)
    return;
  list_each (node, &raft->reads)
    {
      struct raft_pending_read *read
          = list_entry (node, struct raft_pending_read, node);

      if (read->round > round)
        break;
      raft_output (raft, RAFT_OUT_READ)->u.read = read->request;
      list_remove (node);
      free (read);
    }
}

void
raft_leader_commit (struct raft *raft, clk_us now)
{
  uint64_t index = raft_quorum (raft, RAFT_MEASURE_MATCH, raft->durable);

  /* Entries of former terms are committed only through one of this term.  */
  if (index > raft->hard.commit && index >= raft->term_start)
    {
      raft_commit_to (raft, index);
      raft_manage_members (raft, now);
    }
  raft_confirm_reads (raft);
}

/* An append from the peer's next entry on, with at most the given entries. */
static struct raft_msg *
raft_append_msg (struct raft *raft, struct raft_peer *peer, uint64_t prev,
                 uint32_t entries)
{
  struct raft_msg *msg = raft_msg_to (raft, RAFT_APPEND, peer->member.id);
  struct raft_entry *entry = raft_log_get (&raft->log, prev + 1);
  size_t bytes = 0;

  msg->u.append.prev_index = prev;
  msg->u.append.prev_term = raft_log_term (&raft->log, prev);
  msg->u.append.commit = raft->hard.commit;
  msg->u.append.round = raft->round;
  msg->u.append.sent_us = raft->now;
  for (uint32_t i = 0; entry != NULL && i < entries; i++)
    {
      if (i > 0 && bytes + entry->len > RAFT_APPEND_BYTES)
        break;
      bytes += entry->len;
      list_push_tail (&msg->u.append.entries, &raft_entry_copy (entry)->node);
      if (entry->index == raft->log.last_index)
        break;
      entry = list_entry (entry->node.next, struct raft_entry, node);
    }
  return msg;
}

static void
raft_send_append (struct raft *raft, struct raft_peer *peer, uint32_t entries)
{
  struct raft_msg *msg = raft_append_msg (raft, peer, peer->next - 1, entries);

  list_each (node, &msg->u.append.entries)
    {
      const struct raft_entry *entry
          = list_entry (node, struct raft_entry, node);

      peer->next = entry->index + 1;
      peer->unanswered += entry->len + sizeof *entry;
    }
  raft_send (raft, msg);
}

/* Sends entries that the peer has not been sent yet, or a part of the
   snapshot when they are no longer in the log.  */
static void
raft_send_to (struct raft *raft, struct raft_peer *peer, clk_us now)
{
  if (peer->next <= raft->log.base_index)
    {
      raft_send_chunk (raft, peer, now);
      return;
    }
  peer->chunk_index = 0;
  while (peer->next <= raft->log.last_index
         && peer->unanswered < RAFT_WINDOW_BYTES)
    raft_send_append (raft, peer, RAFT_APPEND_ENTRIES);
}

void
raft_send_pending (struct raft *raft, clk_us now)
{
  list_each (node, &raft->peers)
    raft_send_to (raft, list_entry (node, struct raft_peer, node), now);
}

void
raft_broadcast (struct raft *raft, clk_us now)
{
  raft->broadcast_wanted = false;
  raft->round++;
  list_each (node, &raft->peers)
    {
      struct raft_peer *peer = list_entry (node, struct raft_peer, node);
      uint64_t prev = peer->next - 1;

      raft_send_to (raft, peer, now);
      if (prev < raft->log.base_index)
        prev = raft->log.base_index;
      if (prev > raft->log.last_index)
        prev = raft->log.last_index;
      raft_send (raft, raft_append_msg (raft, peer, prev, 0));
    }
}

void
raft_peer_heard (struct raft_peer *peer, uint64_t round, clk_us sent,
                 clk_us now)
{
  peer->heard = now;
  peer->unanswered = 0;
  if (round > peer->acked_round)
    peer->acked_round = round;
  if (sent > peer->acked_sent)
    peer->acked_sent = sent;
}

bool
raft_peer_has (struct raft *raft, struct raft_peer *peer, uint64_t index,
               clk_us now)
{
  if (index <= peer->match || index > raft->log.last_index)
    return false;
  peer->match = index;
  peer->matched_at = now;
  if (peer->next <= index)
    peer->next = index + 1;
  return true;
}

/* The follower lost entries that it had acknowledged: none of them counts
   for a commit until it acknowledges them again.  */
static void
raft_forget_match (struct raft *raft, struct raft_peer *peer, uint64_t next)
{
  struct raft_out_lost *lost
      = &raft_output (raft, RAFT_OUT_ENTRIES_LOST)->u.lost;

  memcpy (lost->address, peer->member.address, sizeof lost->address);
  lost->acknowledged = peer->match;
  lost->next = next;
  peer->match = 0;
}

/* The follower's log differs before what was sent to it.  A refusal of what
   it has acknowledged is old, unless the append was sent later than that.  */
static void
raft_step_back (struct raft *raft, struct raft_peer *peer,
                const struct raft_append_reply *reply)
{
  uint64_t next = reply->hint;

  if (reply->prev <= peer->match)
    {
      if (reply->sent_us <= peer->matched_at)
        return;
      raft_forget_match (raft, peer, next);
    }
  if (next <= peer->match)
    next = peer->match + 1;
  if (next > raft->log.last_index + 1)
    next = raft->log.last_index + 1;
  if (next < peer->next)
    peer->next = next;
}

void
raft_on_append_reply (struct raft *raft, const struct raft_msg *msg,
                      clk_us now)
{
  const struct raft_append_reply *reply = &msg->u.append_reply;
  struct raft_peer *peer = raft_peer_find (raft, msg->from);

  if (raft->role != RAFT_LEADER || msg->term != raft->hard.term
      || peer == NULL)
    return;
  raft_peer_heard (peer, reply->round, reply->sent_us, now);
  if (!reply->accepted)
    raft_step_back (raft, peer, reply);
  else if (raft_peer_has (raft, peer, reply->match, now)
           && raft->transfer_to == peer->member.id
           && peer->match == raft->log.last_index)
    raft_send (raft, raft_msg_to (raft, RAFT_TIMEOUT_NOW, peer->member.id));
  raft_leader_commit (raft, now);
}
