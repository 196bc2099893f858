#include "log/rep_impl.h"

static struct rep_msg *
rep_append_answer (struct rep *rep, const struct rep_msg *msg, bool accepted)
{
  struct rep_msg *reply = rep_msg_to (rep, REP_APPEND_REPLY, msg->from);

  reply->u.append_reply.accepted = accepted;
  reply->u.append_reply.prev = msg->u.append.prev_index;
  reply->u.append_reply.round = msg->u.append.round;
  reply->u.append_reply.sent_us = msg->u.append.sent_us;
  return reply;
}

/* Index from which the leader should send again after a conflict at INDEX:
   the first one of the conflicting term that is not committed.  */
static uint64_t
rep_conflict_hint (const struct rep *rep, uint64_t index)
{
  uint64_t term = rep_log_term (&rep->log, index);

  while (index > rep->hard.commit + 1
         && rep_log_term (&rep->log, index - 1) == term)
    index--;
  return index;
}

/* Whether the entry before the sent ones is the leader's; sets HINT when it
   is not.  */
static bool
rep_prev_matches (const struct rep *rep, const struct rep_append *append,
                  uint64_t *hint)
{
  if (append->prev_index > rep->log.last_index)
    {
      *hint = rep->log.last_index + 1;
      return false;
    }
  if (append->prev_index <= rep->hard.commit
      || rep_log_term (&rep->log, append->prev_index) == append->prev_term)
    return true;
  *hint = rep_conflict_hint (rep, append->prev_index);
  return false;
}

/* Moves the entries that are new into the log; returns the index of the last
   one that is known to be equal to the leader's.  */
static uint64_t
rep_take_entries (struct rep *rep, struct rep_append *append)
{
  uint64_t last = append->prev_index;
  struct lst_node *node;

  while ((node = lst_pop_head (&append->entries)) != NULL)
    {
      struct rep_entry *entry = lst_entry (node, struct rep_entry, node);

      INVARIANT (entry->index == last + 1);
      last = entry->index;
      if (last <= rep->hard.commit
          || rep_log_term (&rep->log, last) == entry->term)
        {
          rep_entry_free (entry);
          continue;
        }
      if (last <= rep->log.last_index)
        {
          INVARIANT (last > rep->ack_index);
          rep_truncate (rep, last);
        }
      rep_log_append (&rep->log, entry);
      if (entry->kind == REP_MEMBERSHIP)
        rep_adopt_members (rep, rep->now);
    }
  return last;
}

/* Tells the leader how far the log is equal to its own and synced.  */
static void
rep_ack (struct rep *rep, struct rep_msg *reply)
{
  uint64_t match
      = rep->durable < rep->ack_index ? rep->durable : rep->ack_index;

  reply->u.append_reply.match = match;
  if (match > rep->ack_sent)
    rep->ack_sent = match;
  rep_send (rep, reply);
}

void
rep_ack_durable (struct rep *rep)
{
  uint64_t match
      = rep->durable < rep->ack_index ? rep->durable : rep->ack_index;
  struct rep_msg *reply;

  if (rep->leader == 0 || match <= rep->ack_sent)
    return;
  reply = rep_msg_to (rep, REP_APPEND_REPLY, rep->leader);
  reply->u.append_reply.accepted = true;
  rep_ack (rep, reply);
}

void
rep_on_append (struct rep *rep, struct rep_msg *msg, clk_us now)
{
  struct rep_append *append = &msg->u.append;
  bool heartbeat = lst_empty (&append->entries);
  struct rep_msg *reply;
  uint64_t verified;
  uint64_t hint;

  if (msg->term < rep->hard.term)
    {
      rep_send (rep, rep_append_answer (rep, msg, false));
      return;
    }
  INVARIANT (rep->role != REP_LEADER);
  INVARIANT (rep->leader == 0 || rep->leader == msg->from);
  if (rep->role != REP_FOLLOWER || rep->leader != msg->from)
    rep_follow (rep, msg->term, msg->from, now);
  rep->leader_heard = now;
  rep_reset_election (rep, now);
  if (!rep_prev_matches (rep, append, &hint))
    {
      reply = rep_append_answer (rep, msg, false);
      reply->u.append_reply.hint = hint;
      rep_send (rep, reply);
      return;
    }
  verified = rep_take_entries (rep, append);
  if (verified > rep->ack_index)
    rep->ack_index = verified;
  rep_commit_to (rep, append->commit < rep->ack_index ? append->commit
                                                      : rep->ack_index);
  /* New entries are acknowledged when they are synced; a heartbeat at once,
     so that a slow disk does not end the leader's lease.  */
  if (heartbeat || rep->durable >= verified)
    rep_ack (rep, rep_append_answer (rep, msg, true));
}
