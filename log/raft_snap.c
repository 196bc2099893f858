#include "log/raft_impl.h"

#include <stdlib.h>
#include <string.h>

void
raft_send_chunk (struct raft *rep, struct raft_peer *peer, clk_us now)
{
  const struct raft_snapshot *snapshot = rep->snapshot;
  struct raft_chunk *chunk;
  struct raft_msg *msg;

  INVARIANT (snapshot != NULL);
  INVARIANT (snapshot->index >= rep->log.base_index);
  if (peer->chunk_index != snapshot->index)
    {
      peer->chunk_index = snapshot->index;
      peer->chunk_offset = 0;
    }
  else if (peer->chunk_sent + 2 * rep->opts.heartbeat > now)
    return;
  peer->chunk_sent = now;
  msg = raft_msg_to (rep, RAFT_SNAPSHOT, peer->member.id);
  chunk = &msg->u.chunk;
  chunk->index = snapshot->index;
  chunk->term = snapshot->term;
  chunk->members = snapshot->members;
  chunk->total = snapshot->len;
  chunk->offset = peer->chunk_offset;
  chunk->round = rep->round;
  chunk->sent_us = rep->now;
  chunk->len = snapshot->len - peer->chunk_offset;
  if (chunk->len > RAFT_CHUNK_BYTES_MAX)
    chunk->len = RAFT_CHUNK_BYTES_MAX;
  if (chunk->len > 0)
    {
      chunk->data = raft_alloc (chunk->len);
      memcpy (chunk->data, snapshot->data + peer->chunk_offset, chunk->len);
    }
  raft_send (rep, msg);
}

void
raft_on_chunk_reply (struct raft *rep, const struct raft_msg *msg, clk_us now)
{
  const struct raft_chunk_reply *reply = &msg->u.chunk_reply;
  struct raft_peer *peer = raft_peer_find (rep, msg->from);

  if (rep->role != RAFT_LEADER || msg->term != rep->hard.term || peer == NULL)
    return;
  raft_peer_heard (peer, reply->round, reply->sent_us, now);
  if (reply->installed)
    raft_peer_has (rep, peer, reply->index, now);
  else if (rep->snapshot != NULL && reply->index == peer->chunk_index
           && reply->index == rep->snapshot->index
           && reply->next <= rep->snapshot->len
           && reply->next != peer->chunk_offset)
    {
      peer->chunk_offset = reply->next;
      peer->chunk_sent = 0;
    }
  raft_leader_commit (rep, now);
}

/* Adds a chunk in order; false when the snapshot is not complete.  */
static bool
raft_collect_chunk (struct raft *rep, const struct raft_chunk *chunk)
{
  struct raft_incoming *in = &rep->incoming;

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
raft_install (struct raft *rep, const struct raft_chunk *chunk)
{
  struct raft_snapshot *snapshot = raft_alloc (sizeof *snapshot);

  snapshot->index = chunk->index;
  snapshot->term = chunk->term;
  snapshot->members = chunk->members;
  snapshot->data = rep->incoming.data;
  snapshot->len = rep->incoming.total;
  rep->incoming = (struct raft_incoming){ 0 };
  raft_log_reset (&rep->log, snapshot);
  rep->hard.commit = snapshot->index;
  rep->written = snapshot->index;
  /* The whole log: an old entry at the snapshot's index would make the files
     look as if the log differed from the snapshot.  */
  rep->truncate_from = 1;
  rep->durable = 0;
  list_each (node, &rep->writes)
    list_entry (node, struct raft_pending_write, node)->last_index = 0;
  raft_snapshot_free (rep->new_snapshot);
  rep->new_snapshot = raft_snapshot_share (snapshot);
  raft_snapshot_free (rep->snapshot);
  rep->snapshot = snapshot;
  raft_adopt_members (rep, rep->now);
  raft_output (rep, RAFT_OUT_RESTORE)->u.restore
      = raft_snapshot_share (snapshot);
}

/* Takes over a complete snapshot unless the log already agrees with it: what
   follows in an equal log may be acknowledged and must stay.  */
static void
raft_finish_snapshot (struct raft *rep, const struct raft_chunk *chunk)
{
  if (chunk->index > rep->hard.commit)
    {
      if (raft_log_term (&rep->log, chunk->index) == chunk->term)
        raft_commit_to (rep, chunk->index);
      else
        raft_install (rep, chunk);
    }
  free (rep->incoming.data);
  rep->incoming = (struct raft_incoming){ 0 };
  if (chunk->index > rep->ack_index)
    rep->ack_index = chunk->index;
}

void
raft_on_chunk (struct raft *rep, struct raft_msg *msg, clk_us now)
{
  struct raft_chunk *chunk = &msg->u.chunk;
  struct raft_msg *reply = raft_msg_to (rep, RAFT_SNAPSHOT_REPLY, msg->from);

  reply->u.chunk_reply.index = chunk->index;
  reply->u.chunk_reply.round = chunk->round;
  reply->u.chunk_reply.sent_us = chunk->sent_us;
  if (msg->term < rep->hard.term)
    {
      raft_send (rep, reply);
      return;
    }
  INVARIANT (rep->role != RAFT_LEADER);
  if (rep->role != RAFT_FOLLOWER || rep->leader != msg->from)
    {
      raft_follow (rep, msg->term, msg->from, now);
      reply->term = rep->hard.term;
    }
  rep->leader_heard = now;
  raft_reset_election (rep, now);
  if (chunk->index <= rep->hard.commit || raft_collect_chunk (rep, chunk))
    {
      raft_finish_snapshot (rep, chunk);
      reply->u.chunk_reply.installed = true;
      raft_send_synced (rep, reply);
      return;
    }
  reply->u.chunk_reply.next = rep->incoming.received;
  raft_send (rep, reply);
}
