#include "log/raft_impl.h"

static struct raft_msg *
raft_append_answer (struct raft *rep, const struct raft_msg *msg,
                    bool accepted)
{
  struct raft_msg *reply = raft_msg_to (rep, RAFT_APPEND_REPLY, msg->from);

  reply->u.append_reply.accepted = accepted;
  reply->u.append_reply.prev = msg->u.append.prev_index;
  reply->u.append_reply.round = msg->u.append.round;
  reply->u.append_reply.sent_us = msg->u.append.sent_us;
  return reply;
}

/* Index from which the leader should send again after a conflict at INDEX:
   the first one of the conflicting term that is not committed.  */
static uint64_t
raft_conflict_hint (const struct raft *rep, uint64_t index)
{
  uint64_t term = raft_log_term (&rep->log, index);

  while (index > rep->hard.commit + 1
         && raft_log_term (&rep->log, index - 1) == term)
    index--;
  return index;
}

/* Whether the entry before the sent ones is the leader's; sets HINT when it
   is not.  */
static bool
raft_prev_matches (const struct raft *rep, const struct raft_append *append,
                   uint64_t *hint)
{
  if (append->prev_index > rep->log.last_index)
    {
      *hint = rep->log.last_index + 1;
      return false;
    }
  if (append->prev_index <= rep->hard.commit
      || raft_log_term (&rep->log, append->prev_index) == append->prev_term)
    return true;
  *hint = raft_conflict_hint (rep, append->prev_index);
  return false;
}

/* Moves the entries that are new into the log; returns the index of the last
   one that is known to be equal to the leader's.  */
static uint64_t
raft_take_entries (struct raft *rep, struct raft_append *append)
{
  uint64_t last = append->prev_index;
  struct list_node *node;

  while ((node = list_pop_head (&append->entries)) != NULL)
    {
      struct raft_entry *entry = list_entry (node, struct raft_entry, node);

      INVARIANT (entry->index == last + 1);
      last = entry->index;
      if (last <= rep->hard.commit
          || raft_log_term (&rep->log, last) == entry->term)
        {
          raft_entry_free (entry);
          continue;
        }
      if (last <= rep->log.last_index)
        {
          INVARIANT (last > rep->ack_index);
          raft_truncate (rep, last);
        }
      raft_log_append (&rep->log, entry);
      if (entry->kind == RAFT_MEMBERSHIP)
        raft_adopt_members (rep, rep->now);
    }
  return last;
}

/* Tells the leader how far the log is equal to its own and synced.  */
static void
raft_ack (struct raft *rep, struct raft_msg *reply)
{
  uint64_t match
      = rep->durable < rep->ack_index ? rep->durable : rep->ack_index;

  reply->u.append_reply.match = match;
  if (match > rep->ack_sent)
    rep->ack_sent = match;
  raft_send (rep, reply);
}

void
raft_ack_durable (struct raft *rep)
{
  uint64_t match
      = rep->durable < rep->ack_index ? rep->durable : rep->ack_index;
  struct raft_msg *reply;

  if (rep->leader == 0 || match <= rep->ack_sent)
    return;
  reply = raft_msg_to (rep, RAFT_APPEND_REPLY, rep->leader);
  reply->u.append_reply.accepted = true;
  raft_ack (rep, reply);
}

void
raft_on_append (struct raft *rep, struct raft_msg *msg, clk_us now)
{
  struct raft_append *append = &msg->u.append;
  bool heartbeat = list_empty (&append->entries);
  struct raft_msg *reply;
  uint64_t verified;
  uint64_t hint;

  if (msg->term < rep->hard.term)
    {
      raft_send (rep, raft_append_answer (rep, msg, false));
      return;
    }
  INVARIANT (rep->role != RAFT_LEADER);
  INVARIANT (rep->leader == 0 || rep->leader == msg->from);
  if (rep->role != RAFT_FOLLOWER || rep->leader != msg->from)
    raft_follow (rep, msg->term, msg->from, now);
  rep->leader_heard = now;
  raft_reset_election (rep, now);
  if (!raft_prev_matches (rep, append, &hint))
    {
      reply = raft_append_answer (rep, msg, false);
      reply->u.append_reply.hint = hint;
      raft_send (rep, reply);
      return;
    }
  verified = raft_take_entries (rep, append);
  if (verified > rep->ack_index)
    rep->ack_index = verified;
  raft_commit_to (rep, append->commit < rep->ack_index ? append->commit
                                                       : rep->ack_index);
  /* New entries are acknowledged when they are synced; a heartbeat at once,
     so that a slow disk does not end the leader's lease.  */
  if (heartbeat || rep->durable >= verified)
    raft_ack (rep, raft_append_answer (rep, msg, true));
}
