#include "log/raft_impl.h"

/* Returns a reply to the AppendEntries message MSG.  */
static struct raft_msg *
raft_new_append_reply (struct raft *raft, const struct raft_msg *msg,
                       bool accepted)
{
  struct raft_msg *reply
      = raft_msg_new_to (raft, RAFT_APPEND_REPLY, msg->from);

  reply->u.append_reply.accepted = accepted;
  reply->u.append_reply.prev_index = msg->u.append.prev_index;
  reply->u.append_reply.round = msg->u.append.round;
  reply->u.append_reply.sent_us = msg->u.append.sent_us;
  return reply;
}

/* Returns the index from which the leader should send after a conflict at
   INDEX: the first uncommitted entry of the conflicting term.  */
static uint64_t
raft_conflict_next_index (const struct raft *raft, uint64_t index)
{
  uint64_t term = raft_log_term (&raft->log, index);

  while (index > raft->hard_state.commit_index + 1
         && raft_log_term (&raft->log, index - 1) == term)
    index--;
  return index;
}

/* Whether the log matches the leader's at prev_index.  When it does not,
   NEXT_INDEX is set to the index from which the leader should send.  */
static bool
raft_prev_matches (const struct raft *raft, const struct raft_append *append,
                   uint64_t *next_index)
{
  if (append->prev_index > raft->log.last_index)
    {
      *next_index = raft->log.last_index + 1;
      return false;
    }
  if (append->prev_index <= raft->hard_state.commit_index
      || raft_log_term (&raft->log, append->prev_index) == append->prev_term)
    return true;
  *next_index = raft_conflict_next_index (raft, append->prev_index);
  return false;
}

/* Moves the new entries into the log and removes conflicting ones.  Returns
   the last index that is known to match the leader's log.  */
static uint64_t
raft_store_entries (struct raft *raft, struct raft_append *append)
{
  uint64_t match_index = append->prev_index;
  struct list_node *node;

  while ((node = list_pop_head (&append->entries)) != NULL)
    {
      struct raft_entry *entry = list_entry (node, struct raft_entry, node);

      INVARIANT (entry->index == match_index + 1);
      match_index = entry->index;
      if (match_index <= raft->hard_state.commit_index
          || raft_log_term (&raft->log, match_index) == entry->term)
        {
          raft_entry_free (entry);
          continue;
        }
      if (match_index <= raft->log.last_index)
        {
          INVARIANT (match_index > raft->matched_index);
          raft_truncate_log (raft, match_index);
        }
      raft_log_append (&raft->log, entry);
      if (entry->kind == RAFT_ENTRY_MEMBERSHIP)
        raft_update_members (raft, raft->now);
    }
  return match_index;
}

/* Sends REPLY with the last index that is durable and matches the leader.  */
static void
raft_send_ack (struct raft *raft, struct raft_msg *reply)
{
  uint64_t match_index = raft->durable_index < raft->matched_index
                             ? raft->durable_index
                             : raft->matched_index;

  reply->u.append_reply.match_index = match_index;
  if (match_index > raft->acked_index)
    raft->acked_index = match_index;
  raft_send (raft, reply);
}

void
raft_ack_durable_entries (struct raft *raft)
{
  uint64_t match_index = raft->durable_index < raft->matched_index
                             ? raft->durable_index
                             : raft->matched_index;
  struct raft_msg *reply;

  if (raft->leader_id == 0 || match_index <= raft->acked_index)
    return;
  reply = raft_msg_new_to (raft, RAFT_APPEND_REPLY, raft->leader_id);
  reply->u.append_reply.accepted = true;
  raft_send_ack (raft, reply);
}

void
raft_on_append (struct raft *raft, struct raft_msg *msg, clk_us now)
{
  struct raft_append *append = &msg->u.append;
  bool heartbeat = list_empty (&append->entries);
  struct raft_msg *reply;
  uint64_t match_index;
  uint64_t next_index;

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
  if (!raft_prev_matches (raft, append, &next_index))
    {
      reply = raft_new_append_reply (raft, msg, false);
      reply->u.append_reply.next_index = next_index;
      raft_send (raft, reply);
      return;
    }
  match_index = raft_store_entries (raft, append);
  if (match_index > raft->matched_index)
    raft->matched_index = match_index;
  raft_advance_commit_index (raft, append->leader_commit < raft->matched_index
                                       ? append->leader_commit
                                       : raft->matched_index);
  /* Entries are acknowledged once they are durable, a heartbeat at once, so
     that a slow disk does not end the leader's lease.  */
  if (heartbeat || raft->durable_index >= match_index)
    raft_send_ack (raft, raft_new_append_reply (raft, msg, true));
}
