#include "log/rep_impl.h"

#include <stdlib.h>
#include <string.h>

enum rep_measure
{
  REP_MEASURE_MATCH,
  REP_MEASURE_ROUND,
  REP_MEASURE_SENT,
};

static uint64_t
rep_measure_peer (const struct rep_peer *peer, enum rep_measure measure)
{
  switch (measure)
    {
    case REP_MEASURE_MATCH:
      return peer->match;
    case REP_MEASURE_ROUND:
      return peer->acked_round;
    case REP_MEASURE_SENT:
      return peer->acked_sent;
    }
  return 0;
}

static int
rep_compare_descending (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left < right) - (left > right);
}

/* Largest value that a quorum of voters has reached; OWN is the value of this
   replica.  */
static uint64_t
rep_quorum (const struct rep *rep, enum rep_measure measure, uint64_t own)
{
  uint64_t values[REP_MEMBERS_MAX];
  uint32_t count = 0;

  if (rep_is_voter (rep, rep->opts.id))
    values[count++] = own;
  lst_each (node, &rep->peers)
    {
      const struct rep_peer *peer = lst_entry (node, struct rep_peer, node);

      if (!peer->member.learner)
        values[count++] = rep_measure_peer (peer, measure);
    }
  INVARIANT (count > 0 && count <= REP_MEMBERS_MAX);
  qsort (values, count, sizeof values[0], rep_compare_descending);
  return values[count / 2];
}

bool
rep_lease_valid (const struct rep *rep, clk_us now)
{
  return rep_quorum (rep, REP_MEASURE_SENT, now) + rep->opts.lease > now;
}

void
rep_confirm_reads (struct rep *rep)
{
  uint64_t round = rep_quorum (rep, REP_MEASURE_ROUND, UINT64_MAX);

  /* Before its first own entry is committed a leader does not know how far
     the log is committed.  */
  if (rep->hard.commit < rep->term_start)
    return;
  lst_each (node, &rep->reads)
    {
      struct rep_pending_read *read
          = lst_entry (node, struct rep_pending_read, node);

      if (read->round > round)
        break;
      rep_output (rep, REP_OUT_READ)->u.read = read->request;
      lst_remove (node);
      free (read);
    }
}

void
rep_leader_commit (struct rep *rep, clk_us now)
{
  uint64_t index = rep_quorum (rep, REP_MEASURE_MATCH, rep->durable);

  /* Entries of former terms are committed only through one of this term.  */
  if (index > rep->hard.commit && index >= rep->term_start)
    {
      rep_commit_to (rep, index);
      rep_manage_members (rep, now);
    }
  rep_confirm_reads (rep);
}

/* An append from the peer's next entry on, with at most the given entries. */
static struct rep_msg *
rep_append_msg (struct rep *rep, struct rep_peer *peer, uint64_t prev,
                uint32_t entries)
{
  struct rep_msg *msg = rep_msg_to (rep, REP_APPEND, peer->member.id);
  struct rep_entry *entry = rep_log_get (&rep->log, prev + 1);
  size_t bytes = 0;

  msg->u.append.prev_index = prev;
  msg->u.append.prev_term = rep_log_term (&rep->log, prev);
  msg->u.append.commit = rep->hard.commit;
  msg->u.append.round = rep->round;
  msg->u.append.sent_us = rep->now;
  for (uint32_t i = 0; entry != NULL && i < entries; i++)
    {
      if (i > 0 && bytes + entry->len > REP_APPEND_BYTES)
        break;
      bytes += entry->len;
      lst_push_tail (&msg->u.append.entries, &rep_entry_copy (entry)->node);
      if (entry->index == rep->log.last_index)
        break;
      entry = lst_entry (entry->node.next, struct rep_entry, node);
    }
  return msg;
}

static void
rep_send_append (struct rep *rep, struct rep_peer *peer, uint32_t entries)
{
  struct rep_msg *msg = rep_append_msg (rep, peer, peer->next - 1, entries);

  lst_each (node, &msg->u.append.entries)
    {
      const struct rep_entry *entry = lst_entry (node, struct rep_entry, node);

      peer->next = entry->index + 1;
      peer->unanswered += entry->len + sizeof *entry;
    }
  rep_send (rep, msg);
}

/* Sends entries that the peer has not been sent yet, or a part of the
   snapshot when they are no longer in the log.  */
static void
rep_send_to (struct rep *rep, struct rep_peer *peer, clk_us now)
{
  if (peer->next <= rep->log.base_index)
    {
      rep_send_chunk (rep, peer, now);
      return;
    }
  peer->chunk_index = 0;
  while (peer->next <= rep->log.last_index
         && peer->unanswered < REP_WINDOW_BYTES)
    rep_send_append (rep, peer, REP_APPEND_ENTRIES);
}

void
rep_send_pending (struct rep *rep, clk_us now)
{
  lst_each (node, &rep->peers)
    rep_send_to (rep, lst_entry (node, struct rep_peer, node), now);
}

void
rep_broadcast (struct rep *rep, clk_us now)
{
  rep->broadcast_wanted = false;
  rep->round++;
  lst_each (node, &rep->peers)
    {
      struct rep_peer *peer = lst_entry (node, struct rep_peer, node);
      uint64_t prev = peer->next - 1;

      rep_send_to (rep, peer, now);
      if (prev < rep->log.base_index)
        prev = rep->log.base_index;
      if (prev > rep->log.last_index)
        prev = rep->log.last_index;
      rep_send (rep, rep_append_msg (rep, peer, prev, 0));
    }
}

void
rep_peer_heard (struct rep_peer *peer, uint64_t round, clk_us sent, clk_us now)
{
  peer->heard = now;
  peer->unanswered = 0;
  if (round > peer->acked_round)
    peer->acked_round = round;
  if (sent > peer->acked_sent)
    peer->acked_sent = sent;
}

bool
rep_peer_has (struct rep *rep, struct rep_peer *peer, uint64_t index,
              clk_us now)
{
  if (index <= peer->match || index > rep->log.last_index)
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
rep_forget_match (struct rep *rep, struct rep_peer *peer, uint64_t next)
{
  struct rep_out_lost *lost = &rep_output (rep, REP_OUT_ENTRIES_LOST)->u.lost;

  memcpy (lost->address, peer->member.address, sizeof lost->address);
  lost->acknowledged = peer->match;
  lost->next = next;
  peer->match = 0;
}

/* The follower's log differs before what was sent to it.  A refusal of what
   it has acknowledged is old, unless the append was sent later than that.  */
static void
rep_step_back (struct rep *rep, struct rep_peer *peer,
               const struct rep_append_reply *reply)
{
  uint64_t next = reply->hint;

  if (reply->prev <= peer->match)
    {
      if (reply->sent_us <= peer->matched_at)
        return;
      rep_forget_match (rep, peer, next);
    }
  if (next <= peer->match)
    next = peer->match + 1;
  if (next > rep->log.last_index + 1)
    next = rep->log.last_index + 1;
  if (next < peer->next)
    peer->next = next;
}

void
rep_on_append_reply (struct rep *rep, const struct rep_msg *msg, clk_us now)
{
  const struct rep_append_reply *reply = &msg->u.append_reply;
  struct rep_peer *peer = rep_peer_find (rep, msg->from);

  if (rep->role != REP_LEADER || msg->term != rep->hard.term || peer == NULL)
    return;
  rep_peer_heard (peer, reply->round, reply->sent_us, now);
  if (!reply->accepted)
    rep_step_back (rep, peer, reply);
  else if (rep_peer_has (rep, peer, reply->match, now)
           && rep->transfer_to == peer->member.id
           && peer->match == rep->log.last_index)
    rep_send (rep, rep_msg_to (rep, REP_TIMEOUT_NOW, peer->member.id));
  rep_leader_commit (rep, now);
}
