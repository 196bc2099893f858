#include "log/raft_impl.h"

#include <stdlib.h>
#include <string.h>

void
raft_send_chunk (struct raft *raft, struct raft_peer *peer, clk_us now)
{
  const struct raft_snapshot *snapshot = raft->snapshot;
  struct raft_chunk *chunk;
  struct raft_msg *msg;

  INVARIANT (snapshot != NULL);
  INVARIANT (snapshot->index >= raft->log.base_index);
  if (peer->chunk_index != snapshot->index)
    {
      peer->chunk_index = snapshot->index;
      peer->chunk_offset = 0;
    }
  else if (peer->chunk_sent + 2 * raft->opts.heartbeat > now)
    return;
  peer->chunk_sent = now;
  msg = raft_msg_to (raft, RAFT_SNAPSHOT, peer->member.id);
  chunk = &msg->u.chunk;
  chunk->index = snapshot->index;
  chunk->term = snapshot->term;
  chunk->members = snapshot->members;
  chunk->total = snapshot->len;
  chunk->offset = peer->chunk_offset;
  chunk->round = raft->round;
  chunk->sent_us = raft->now;
  chunk->len = snapshot->len - peer->chunk_offset;
  if (chunk->len > RAFT_CHUNK_BYTES_MAX)
    chunk->len = RAFT_CHUNK_BYTES_MAX;
  if (chunk->len > 0)
    {
      chunk->data = raft_alloc (chunk->len);
      memcpy (chunk->data, snapshot->data + peer->chunk_offset, chunk->len);
    }
  raft_send (raft, msg);
}

void
raft_on_chunk_reply (struct raft *raft, const struct raft_msg *msg, clk_us now)
{
  const struct raft_chunk_reply *reply = &msg->u.chunk_reply;
  struct raft_peer *peer = raft_peer_find (raft, msg->from);

  if (raft->role != RAFT_LEADER || msg->term != raft->hard.term
      || peer == NULL)
    return;
  raft_peer_heard (peer, reply->round, reply->sent_us, now);
  if (reply->installed)
    raft_peer_has (raft, peer, reply->index, now);
  else if (raft->snapshot != NULL && reply->index == peer->chunk_index
           && reply->index == raft->snapshot->index
           && reply->next <= raft->snapshot->len
           && reply->next != peer->chunk_offset)
    {
      peer->chunk_offset = reply->next;
      peer->chunk_sent = 0;
    }
  raft_leader_commit (raft, now);
}

/* Adds a chunk in order; false when the snapshot is not complete.  */
static bool
raft_collect_chunk (struct raft *raft, const struct raft_chunk *chunk)
{
  struct raft_incoming *in = &raft->incoming;

  if (in->index != chunk->index || in->term != chunk->term
      || in->total != chunk->total)
    {
      if (chunk->total > RAFT_SNAPSHOT_BYTES_MAX)
        return false;
      free (in->data);
      *in = (struct raft_incoming){ .index = chunk->index,
                                    .term = chunk->term,
                                    .total = chunk->total,
                                    .data = raft_alloc (chunk->total + 1) };
    }
  if (chunk->offset != in->received || chunk->len > in->total - in->received)
    return in->received == in->total;
  if (chunk->len > 0)
    memcpy (in->data + in->received, chunk->data, chunk->len);
  in->received += chunk->len;
  return in->received == in->total;
}

/* Replaces log and state by the snapshot.  */
static void
raft_install (struct raft *raft, const struct raft_chunk *chunk)
{
  struct raft_snapshot *snapshot = raft_alloc (sizeof *snapshot);

  snapshot->index = chunk->index;
  snapshot->term = chunk->term;
  snapshot->members = chunk->members;
  snapshot->data = raft->incoming.data;
  snapshot->len = raft->incoming.total;
  raft->incoming = (struct raft_incoming){ 0 };
  raft_log_reset (&raft->log, snapshot);
  raft->hard.commit = snapshot->index;
  raft->written = snapshot->index;
  /* The whole log: an old entry at the snapshot's index would make the files
     look as if the log differed from the snapshot.  */
  raft->truncate_from = 1;
  raft->durable = 0;
  list_each (node, &raft->writes)
    list_entry (node, struct raft_pending_write, node)->last_index = 0;
  raft_snapshot_free (raft->new_snapshot);
  raft->new_snapshot = raft_snapshot_share (snapshot);
  raft_snapshot_free (raft->snapshot);
  raft->snapshot = snapshot;
  raft_adopt_members (raft, raft->now);
  raft_output (raft, RAFT_OUT_RESTORE)->u.restore
      = raft_snapshot_share (snapshot);
}

/* Takes over a complete snapshot unless the log already agrees with it: what
   follows in an equal log may be acknowledged and must stay.  */
static void
raft_finish_snapshot (struct raft *raft, const struct raft_chunk *chunk)
{
  if (chunk->index > raft->hard.commit)
    {
      if (raft_log_term (&raft->log, chunk->index) == chunk->term)
        raft_commit_to (raft, chunk->index);
      else
        raft_install (raft, chunk);
    }
  free (raft->incoming.data);
  raft->incoming = (struct raft_incoming){ 0 };
  if (chunk->index > raft->ack_index)
    raft->ack_index = chunk->index;
}

void
raft_on_chunk (struct raft *raft, struct raft_msg *msg, clk_us now)
{
  struct raft_chunk *chunk = &msg->u.chunk;
  struct raft_msg *reply = raft_msg_to (raft, RAFT_SNAPSHOT_REPLY, msg->from);

  reply->u.chunk_reply.index = chunk->index;
  reply->u.chunk_reply.round = chunk->round;
  reply->u.chunk_reply.sent_us = chunk->sent_us;
  if (msg->term < raft->hard.term)
    {
      raft_send (raft, reply);
      return;
    }
  INVARIANT (raft->role != RAFT_LEADER);
  if (raft->role != RAFT_FOLLOWER || raft->leader != msg->from)
    {
      raft_follow (raft, msg->term, msg->from, now);
      reply->term = raft->hard.term;
    }
  raft->leader_heard = now;
  raft_reset_election (raft, now);
  if (chunk->index <= raft->hard.commit || raft_collect_chunk (raft, chunk))
    {
      raft_finish_snapshot (raft, chunk);
      reply->u.chunk_reply.installed = true;
      raft_send_synced (raft, reply);
      return;
    }
  reply->u.chunk_reply.next = raft->incoming.received;
  raft_send (raft, reply);
}
