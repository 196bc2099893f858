#include "log/raft_impl.h"

static struct raft_msg *
raft_new_append_reply (struct raft *raft, const struct raft_msg *msg,
                       bool accepted)
{
  struct raft_msg *reply = raft_new_msg (raft, RAFT_APPEND_REPLY, msg->from);

  reply->u.append_reply.accepted = accepted;
  reply->u.append_reply.prev_index = msg->u.append.prev_index;
  reply->u.append_reply.round = msg->u.append.round;
  reply->u.append_reply.sent_us = msg->u.append.sent_us;
  return reply;
}

/* Index from which the leader should send again after a conflict at INDEX:
   the first one of the conflicting term that is not committed.  */
static uint64_t
raft_conflict_next_index (const struct raft *raft, uint64_t index)
{
  uint64_t term = raft_log_term (&raft->log, index);

  while (index > raft->hard_state.commit_index + 1
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
  if (append->prev_index <= raft->hard_state.commit_index
      || raft_log_term (&raft->log, append->prev_index) == append->prev_term)
    return true;
  *hint = raft_conflict_next_index (raft, append->prev_index);
  return false;
}

/* Moves the entries that are new into the log; returns the index of the last
   one that is known to be equal to the leader's.  */
static uint64_t
raft_store_entries (struct raft *raft, struct raft_append *append)
{
  uint64_t last = append->prev_index;
  struct list_node *node;

  while ((node = list_pop_head (&append->entries)) != NULL)
    {
      struct raft_entry *entry = list_entry (node, struct raft_entry, node);

      INVARIANT (entry->index == last + 1);
      last = entry->index;
      if (last <= raft->hard_state.commit_index
          || raft_log_term (&raft->log, last) == entry->term)
        {
          raft_entry_free (entry);
          continue;
        }
      if (last <= raft->log.last_index)
        {
          INVARIANT (last > raft->matched_index);
          raft_truncate_log (raft, last);
        }
      raft_log_append (&raft->log, entry);
      if (entry->kind == RAFT_ENTRY_MEMBERSHIP)
        raft_update_members (raft, raft->now);
    }
  return last;
}

/* Tells the leader how far the log is equal to its own and synced.  */
static void
raft_send_ack (struct raft *raft, struct raft_msg *reply)
{
  uint64_t match = raft->durable_index < raft->matched_index
                       ? raft->durable_index
                       : raft->matched_index;

  reply->u.append_reply.match_index = match;
  if (match > raft->acked_index)
    raft->acked_index = match;
  raft_send (raft, reply);
}

void
raft_ack_durable_entries (struct raft *raft)
{
  uint64_t match = raft->durable_index < raft->matched_index
                       ? raft->durable_index
                       : raft->matched_index;
  struct raft_msg *reply;

  if (raft->leader_id == 0 || match <= raft->acked_index)
    return;
  reply = raft_new_msg (raft, RAFT_APPEND_REPLY, raft->leader_id);
  reply->u.append_reply.accepted = true;
  raft_send_ack (raft, reply);
}

void
raft_on_append (struct raft *raft, struct raft_msg *msg, clk_us now)
{
  struct raft_append *append = &msg->u.append;
  bool heartbeat = list_empty (&append->entries);
  struct raft_msg *reply;
  uint64_t verified;
  uint64_t hint;

  if (msg->term < raft->hard_state.term)
    {
      raft_send (raft, raft_new_append_reply (raft, msg, false));
      return;
    }
  INVARIANT (raft->role != RAFT_LEADER);
  INVARIANT (raft->leader_id == 0 || raft->leader_id == msg->from);
  if (raft->role != RAFT_FOLLOWER || raft->leader_id != msg->from)
    raft_become_follower (raft, msg->term, msg->from, now);
  raft->last_leader_contact = now;
  raft_reset_election_timer (raft, now);
  if (!raft_prev_matches (raft, append, &hint))
    {
      reply = raft_new_append_reply (raft, msg, false);
      reply->u.append_reply.next_index = hint;
      raft_send (raft, reply);
      return;
    }
  verified = raft_store_entries (raft, append);
  if (verified > raft->matched_index)
    raft->matched_index = verified;
  raft_advance_commit_index (raft, append->leader_commit < raft->matched_index
                                       ? append->leader_commit
                                       : raft->matched_index);
  /* New entries are acknowledged when they are synced; a heartbeat at once,
     so that a slow disk does not end the leader's lease.  */
  if (heartbeat || raft->durable_index >= verified)
    raft_send_ack (raft, raft_new_append_reply (raft, msg, true));
}
