#include "log/raft_impl.h"

static struct raft_msg *
raft_append_answer (struct raft *raft, const struct raft_msg *msg,
                    bool accepted)
{
  struct raft_msg *reply = raft_msg_to (raft, RAFT_APPEND_REPLY, msg->from);

  reply->u.append_reply.accepted = accepted;
  reply->u.append_reply.prev = msg->u.append.prev_index;
  reply->u.append_reply.round = msg->u.append.round;
  reply->u.append_reply.sent_us = msg->u.append.sent_us;
  return reply;
}

/* Index from which the leader should send again after a conflict at INDEX:
   the first one of the conflicting term that is not committed.  */
static uint64_t
raft_conflict_hint (const struct raft *raft, uint64_t index)
{
  uint64_t term = raft_log_term (&raft->log, index);

  while (index > raft->hard.commit + 1
         && raft_log_term (&raft->log, index - 1) == term)
    index--;
  return index;
}

/* Whether the entry before the sent ones is the leader's; sets HINT when it
   is not.  */
static bool
raft_prev_matches (const struct raft *raft, const struct raft_append *append,
                   uint64_t *hint)
{
  if (append->prev_index > raft->log.last_index)
    {
      *hint = raft->log.last_index + 1;
      return false;
    }
  if (append->prev_index <= raft->hard.commit
      || raft_log_term (&raft->log, append->prev_index) == append->prev_term)
    return true;
  *hint = raft_conflict_hint (raft, append->prev_index);
  return false;
}

/* Moves the entries that are new into the log; returns the index of the last
   one that is known to be equal to the leader's.  */
static uint64_t
raft_take_entries (struct raft *raft, struct raft_append *append)
{
  uint64_t last = append->prev_index;
  struct list_node *node;

  while ((node = list_pop_head (&append->entries)) != NULL)
    {
      struct raft_entry *entry = list_entry (node, struct raft_entry, node);

      INVARIANT (entry->index == last + 1);
      last = entry->index;
      if (last <= raft->hard.commit
          || raft_log_term (&raft->log, last) == entry->term)
        {
          raft_entry_free (entry);
          continue;
        }
      if (last <= raft->log.last_index)
        {
          INVARIANT (last > raft->ack_index);
          raft_truncate (raft, last);
        }
      raft_log_append (&raft->log, entry);
      if (entry->kind == RAFT_MEMBERSHIP)
        raft_adopt_members (raft, raft->now);
    }
  return last;
}

/* Tells the leader how far the log is equal to its own and synced.  */
static void
raft_ack (struct raft *raft, struct raft_msg *reply)
{
  uint64_t match
      = raft->durable < raft->ack_index ? raft->durable : raft->ack_index;

  reply->u.append_reply.match = match;
  if (match > raft->ack_sent)
    raft->ack_sent = match;
  raft_send (raft, reply);
}

void
raft_ack_durable (struct raft *raft)
{
  uint64_t match
      = raft->durable < raft->ack_index ? raft->durable : raft->ack_index;
  struct raft_msg *reply;

  if (raft->leader == 0 || match <= raft->ack_sent)
    return;
  reply = raft_msg_to (raft, RAFT_APPEND_REPLY, raft->leader);
  reply->u.append_reply.accepted = true;
  raft_ack (raft, reply);
}

void
raft_on_append (struct raft *raft, struct raft_msg *msg, clk_us now)
{
  struct raft_append *append = &msg->u.append;
  bool heartbeat = list_empty (&append->entries);
  struct raft_msg *reply;
  uint64_t verified;
  uint64_t hint;

  if (msg->term < raft->hard.term)
    {
      raft_send (raft, raft_append_answer (raft, msg, false));
      return;
    }
  INVARIANT (raft->role != RAFT_LEADER);
  INVARIANT (raft->leader == 0 || raft->leader == msg->from);
  if (raft->role != RAFT_FOLLOWER || raft->leader != msg->from)
    raft_follow (raft, msg->term, msg->from, now);
  raft->leader_heard = now;
  raft_reset_election (raft, now);
  if (!raft_prev_matches (raft, append, &hint))
    {
      reply = raft_append_answer (raft, msg, false);
      reply->u.append_reply.hint = hint;
      raft_send (raft, reply);
      return;
    }
  verified = raft_take_entries (raft, append);
  if (verified > raft->ack_index)
    raft->ack_index = verified;
  raft_commit_to (raft, append->commit < raft->ack_index ? append->commit
                                                         : raft->ack_index);
  /* New entries are acknowledged when they are synced; a heartbeat at once,
     so that a slow disk does not end the leader's lease.  */
  if (heartbeat || raft->durable >= verified)
    raft_ack (raft, raft_append_answer (raft, msg, true));
}
