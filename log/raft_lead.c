#include "log/raft_impl.h"

#include <stdlib.h>
#include <string.h>

/* Replication progress of a peer, for the value that a quorum has reached.  */
enum raft_progress
{
  RAFT_PROGRESS_MATCH_INDEX,
  RAFT_PROGRESS_ACKED_ROUND,
  RAFT_PROGRESS_ACKED_SENT_AT,
};

static uint64_t
raft_peer_progress (const struct raft_peer *peer, enum raft_progress progress)
{
  switch (progress)
    {
    case RAFT_PROGRESS_MATCH_INDEX:
      return peer->match_index;
    case RAFT_PROGRESS_ACKED_ROUND:
      return peer->acked_round;
    case RAFT_PROGRESS_ACKED_SENT_AT:
      return peer->acked_sent_at;
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

/* Returns the largest value that a quorum of voters has reached; OWN_VALUE is
   the value of this replica.  */
static uint64_t
raft_quorum_value (const struct raft *raft, enum raft_progress progress,
                   uint64_t own_value)
{
  uint64_t values[RAFT_MEMBERS_MAX];
  uint32_t count = 0;

  if (raft_is_voter (raft, raft->opts.id))
    values[count++] = own_value;
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (!peer->member.learner)
        values[count++] = raft_peer_progress (peer, progress);
    }
  INVARIANT (count > 0 && count <= RAFT_MEMBERS_MAX);
  qsort (values, count, sizeof values[0], raft_compare_descending);
  return values[count / 2];
}

bool
raft_lease_valid (const struct raft *raft, clk_us now)
{
  return raft_quorum_value (raft, RAFT_PROGRESS_ACKED_SENT_AT, now)
             + raft->opts.lease_duration
         > now;
}

void
raft_confirm_reads (struct raft *raft)
{
  uint64_t round
      = raft_quorum_value (raft, RAFT_PROGRESS_ACKED_ROUND, UINT64_MAX);

  /* Until an entry of its own term is committed, a leader does not know the
     commit index.  */
  if (raft->hard_state.commit_index < raft->term_start_index)
    return;
  list_each (node, &raft->pending_reads)
    {
      struct raft_pending_read *read
          = list_entry (node, struct raft_pending_read, node);

      if (read->round > round)
        break;
      raft_add_output (raft, RAFT_OUT_READ_CONFIRMED)->u.read_request_id
          = read->request_id;
      list_remove (node);
      free (read);
    }
}

void
raft_update_commit_index (struct raft *raft, clk_us now)
{
  uint64_t index = raft_quorum_value (raft, RAFT_PROGRESS_MATCH_INDEX,
                                      raft->durable_index);

  /* Entries of earlier terms are committed only together with an entry of the
     current term.  */
  if (index > raft->hard_state.commit_index && index >= raft->term_start_index)
    {
      raft_advance_commit_index (raft, index);
      raft_manage_members (raft, now);
    }
  raft_confirm_reads (raft);
}

/* Returns an append with at most ENTRIES_MAX entries after PREV_INDEX.  */
static struct raft_msg *
raft_new_append (struct raft *raft, struct raft_peer *peer,
                 uint64_t prev_index, uint32_t entries_max)
{
  struct raft_msg *msg = raft_msg_new_to (raft, RAFT_APPEND, peer->member.id);
  struct raft_entry *entry = raft_log_get (&raft->log, prev_index + 1);
  size_t bytes = 0;

  msg->u.append.prev_index = prev_index;
  msg->u.append.prev_term = raft_log_term (&raft->log, prev_index);
  msg->u.append.leader_commit = raft->hard_state.commit_index;
  msg->u.append.round = raft->round;
  msg->u.append.sent_us = raft->now;
  for (uint32_t i = 0; entry != NULL && i < entries_max; i++)
    {
      if (i > 0 && bytes + entry->len > RAFT_APPEND_BYTES_MAX)
        break;
      bytes += entry->len;
      list_push_tail (&msg->u.append.entries, &raft_entry_copy (entry)->node);
      if (entry->index == raft->log.last_index)
        break;
      entry = list_entry (entry->node.next, struct raft_entry, node);
    }
  return msg;
}

/* Sends the peer its next entries, at most ENTRIES_MAX.  */
static void
raft_send_append (struct raft *raft, struct raft_peer *peer,
                  uint32_t entries_max)
{
  struct raft_msg *msg
      = raft_new_append (raft, peer, peer->next_index - 1, entries_max);

  list_each (node, &msg->u.append.entries)
    {
      const struct raft_entry *entry
          = list_entry (node, struct raft_entry, node);

      peer->next_index = entry->index + 1;
      peer->inflight_bytes += entry->len + sizeof *entry;
    }
  raft_send (raft, msg);
}

/* Sends the entries that were not yet sent to the peer, up to the in-flight
   limit, or a chunk of the snapshot when they are no longer in the log.  */
static void
raft_replicate_to (struct raft *raft, struct raft_peer *peer, clk_us now)
{
  if (peer->next_index <= raft->log.base_index)
    {
      raft_send_snapshot_chunk (raft, peer, now);
      return;
    }
  peer->snapshot_index = 0;
  while (peer->next_index <= raft->log.last_index
         && peer->inflight_bytes < RAFT_INFLIGHT_BYTES_MAX)
    raft_send_append (raft, peer, RAFT_APPEND_ENTRIES_MAX);
}

void
raft_replicate_to_all (struct raft *raft, clk_us now)
{
  list_each (node, &raft->peers)
    raft_replicate_to (raft, list_entry (node, struct raft_peer, node), now);
}

void
raft_broadcast_append (struct raft *raft, clk_us now)
{
  raft->broadcast_pending = false;
  raft->round++;
  list_each (node, &raft->peers)
    {
      struct raft_peer *peer = list_entry (node, struct raft_peer, node);
      uint64_t prev_index = peer->next_index - 1;

      raft_replicate_to (raft, peer, now);
      if (prev_index < raft->log.base_index)
        prev_index = raft->log.base_index;
      if (prev_index > raft->log.last_index)
        prev_index = raft->log.last_index;
      raft_send (raft, raft_new_append (raft, peer, prev_index, 0));
    }
}

void
raft_record_reply (struct raft_peer *peer, uint64_t round, clk_us sent_at,
                   clk_us now)
{
  peer->last_contact = now;
  peer->inflight_bytes = 0;
  if (round > peer->acked_round)
    peer->acked_round = round;
  if (sent_at > peer->acked_sent_at)
    peer->acked_sent_at = sent_at;
}

bool
raft_raise_match_index (struct raft *raft, struct raft_peer *peer,
                        uint64_t index, clk_us now)
{
  if (index <= peer->match_index || index > raft->log.last_index)
    return false;
  peer->match_index = index;
  peer->matched_at = now;
  if (peer->next_index <= index)
    peer->next_index = index + 1;
  return true;
}

/* Handles a follower that has lost acknowledged entries: none of them counts
   for a commit until it is acknowledged again.  */
static void
raft_reset_match_index (struct raft *raft, struct raft_peer *peer,
                        uint64_t next_index)
{
  struct raft_out_entries_lost *lost
      = &raft_add_output (raft, RAFT_OUT_ENTRIES_LOST)->u.lost;

  memcpy (lost->address, peer->member.address, sizeof lost->address);
  lost->acknowledged_index = peer->match_index;
  lost->next_index = next_index;
  peer->match_index = 0;
}

/* Lowers the next index after a rejected append.  A rejection at or below the
   match index is outdated, unless the append was sent after that match was
   acknowledged: then the follower has lost entries.  */
static void
raft_lower_next_index (struct raft *raft, struct raft_peer *peer,
                       const struct raft_append_reply *reply)
{
  uint64_t next_index = reply->next_index;

  if (reply->prev_index <= peer->match_index)
    {
      if (reply->sent_us <= peer->matched_at)
        return;
      raft_reset_match_index (raft, peer, next_index);
    }
  if (next_index <= peer->match_index)
    next_index = peer->match_index + 1;
  if (next_index > raft->log.last_index + 1)
    next_index = raft->log.last_index + 1;
  if (next_index < peer->next_index)
    peer->next_index = next_index;
}

void
raft_on_append_reply (struct raft *raft, const struct raft_msg *msg,
                      clk_us now)
{
  const struct raft_append_reply *reply = &msg->u.append_reply;
  struct raft_peer *peer = raft_peer_find (raft, msg->from);

  if (raft->role != RAFT_LEADER || msg->term != raft->hard_state.term
      || peer == NULL)
    return;
  raft_record_reply (peer, reply->round, reply->sent_us, now);
  if (!reply->accepted)
    raft_lower_next_index (raft, peer, reply);
  else if (raft_raise_match_index (raft, peer, reply->match_index, now)
           && raft->transfer_target_id == peer->member.id
           && peer->match_index == raft->log.last_index)
    raft_send (raft,
               raft_msg_new_to (raft, RAFT_TIMEOUT_NOW, peer->member.id));
  raft_update_commit_index (raft, now);
}
