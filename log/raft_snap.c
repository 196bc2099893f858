#include "log/raft_impl.h"

#include <stdlib.h>
#include <string.h>

void
raft_send_snapshot_chunk (struct raft *raft, struct raft_peer *peer,
                          clk_us now)
{
  const struct raft_snapshot *snapshot = raft->snapshot;
  struct raft_snapshot_chunk *chunk;
  struct raft_msg *msg;

  INVARIANT (snapshot != NULL);
  INVARIANT (snapshot->index >= raft->log.base_index);
  if (peer->snapshot_index != snapshot->index)
    {
      peer->snapshot_index = snapshot->index;
      peer->snapshot_offset = 0;
    }
  else if (peer->chunk_sent_at + 2 * raft->opts.heartbeat_interval > now)
    return;
  peer->chunk_sent_at = now;
  msg = raft_msg_new_to (raft, RAFT_INSTALL_SNAPSHOT, peer->member.id);
  chunk = &msg->u.chunk;
  chunk->index = snapshot->index;
  chunk->term = snapshot->term;
  chunk->members = snapshot->members;
  chunk->total = snapshot->len;
  chunk->offset = peer->snapshot_offset;
  chunk->round = raft->round;
  chunk->sent_us = raft->now;
  chunk->len = snapshot->len - peer->snapshot_offset;
  if (chunk->len > RAFT_SNAPSHOT_CHUNK_BYTES_MAX)
    chunk->len = RAFT_SNAPSHOT_CHUNK_BYTES_MAX;
  if (chunk->len > 0)
    {
      chunk->data = raft_alloc (chunk->len);
      memcpy (chunk->data, snapshot->data + peer->snapshot_offset, chunk->len);
    }
  raft_send (raft, msg);
}

void
raft_on_snapshot_chunk_reply (struct raft *raft, const struct raft_msg *msg,
                              clk_us now)
{
  const struct raft_snapshot_chunk_reply *reply = &msg->u.chunk_reply;
  struct raft_peer *peer = raft_peer_find (raft, msg->from);

  if (raft->role != RAFT_LEADER || msg->term != raft->hard_state.term
      || peer == NULL)
    return;
  raft_record_reply (peer, reply->round, reply->sent_us, now);
  if (reply->installed)
    raft_raise_match_index (raft, peer, reply->index, now);
  else if (raft->snapshot != NULL && reply->index == peer->snapshot_index
           && reply->index == raft->snapshot->index
           && reply->next_offset <= raft->snapshot->len
           && reply->next_offset != peer->snapshot_offset)
    {
      peer->snapshot_offset = reply->next_offset;
      peer->chunk_sent_at = 0;
    }
  raft_update_commit_index (raft, now);
}

/* Adds the next chunk to the incoming snapshot; ignores any other chunk.
   Returns whether the snapshot is complete.  */
static bool
raft_add_chunk (struct raft *raft, const struct raft_snapshot_chunk *chunk)
{
  struct raft_incoming_snapshot *incoming = &raft->incoming_snapshot;

  if (incoming->index != chunk->index || incoming->term != chunk->term
      || incoming->total != chunk->total)
    {
      if (chunk->total > RAFT_SNAPSHOT_BYTES_MAX)
        return false;
      free (incoming->data);
      *incoming = (struct raft_incoming_snapshot){ .index = chunk->index,
                                                   .term = chunk->term,
                                                   .total = chunk->total,
                                                   .data = raft_alloc (
                                                       chunk->total + 1) };
    }
  if (chunk->offset != incoming->received
      || chunk->len > incoming->total - incoming->received)
    return incoming->received == incoming->total;
  if (chunk->len > 0)
    memcpy (incoming->data + incoming->received, chunk->data, chunk->len);
  incoming->received += chunk->len;
  return incoming->received == incoming->total;
}

/* Replaces the log and the state machine by the received snapshot.  */
static void
raft_install_snapshot (struct raft *raft,
                       const struct raft_snapshot_chunk *chunk)
{
  struct raft_snapshot *snapshot = raft_alloc (sizeof *snapshot);

  snapshot->index = chunk->index;
  snapshot->term = chunk->term;
  snapshot->members = chunk->members;
  snapshot->data = raft->incoming_snapshot.data;
  snapshot->len = raft->incoming_snapshot.total;
  raft->incoming_snapshot = (struct raft_incoming_snapshot){ 0 };
  raft_log_reset (&raft->log, snapshot);
  raft->hard_state.commit_index = snapshot->index;
  raft->written_index = snapshot->index;
  /* The whole log: with an old entry at the index of the snapshot, the log
     files would conflict with it after a restart.  */
  raft->truncate_from = 1;
  raft->durable_index = 0;
  list_each (node, &raft->pending_writes)
    list_entry (node, struct raft_pending_write, node)->last_index = 0;
  raft_snapshot_unref (raft->new_snapshot);
  raft->new_snapshot = raft_snapshot_ref (snapshot);
  raft_snapshot_unref (raft->snapshot);
  raft->snapshot = snapshot;
  raft_update_members (raft, raft->now);
  raft_add_output (raft, RAFT_OUT_RESTORE)->u.restore
      = raft_snapshot_ref (snapshot);
}

/* Installs a complete snapshot, unless the log matches it at its index: later
   entries of a matching log may be acknowledged and must be kept.  */
static void
raft_finish_snapshot (struct raft *raft,
                      const struct raft_snapshot_chunk *chunk)
{
  if (chunk->index > raft->hard_state.commit_index)
    {
      if (raft_log_term (&raft->log, chunk->index) == chunk->term)
        raft_advance_commit_index (raft, chunk->index);
      else
        raft_install_snapshot (raft, chunk);
    }
  free (raft->incoming_snapshot.data);
  raft->incoming_snapshot = (struct raft_incoming_snapshot){ 0 };
  if (chunk->index > raft->matched_index)
    raft->matched_index = chunk->index;
}

void
raft_on_snapshot_chunk (struct raft *raft, struct raft_msg *msg, clk_us now)
{
  struct raft_snapshot_chunk *chunk = &msg->u.chunk;
  struct raft_msg *reply
      = raft_msg_new_to (raft, RAFT_INSTALL_SNAPSHOT_REPLY, msg->from);

  reply->u.chunk_reply.index = chunk->index;
  reply->u.chunk_reply.round = chunk->round;
  reply->u.chunk_reply.sent_us = chunk->sent_us;
  if (msg->term < raft->hard_state.term)
    {
      raft_send (raft, reply);
      return;
    }
  INVARIANT (raft->role != RAFT_LEADER);
  if (raft->role != RAFT_FOLLOWER || raft->leader_id != msg->from)
    {
      raft_become_follower (raft, msg->term, msg->from, now);
      reply->term = raft->hard_state.term;
    }
  raft->last_leader_contact = now;
  raft_reset_election_timer (raft, now);
  if (chunk->index <= raft->hard_state.commit_index
      || raft_add_chunk (raft, chunk))
    {
      raft_finish_snapshot (raft, chunk);
      reply->u.chunk_reply.installed = true;
      raft_send_after_sync (raft, reply);
      return;
    }
  reply->u.chunk_reply.next_offset = raft->incoming_snapshot.received;
  raft_send (raft, reply);
}
