#include "log/raft_impl.h"

/* Whether a log that ends at (TERM, INDEX) is at least as up to date as this
   one, so that it holds all entries that this one may have acknowledged.  */
static bool
raft_log_up_to_date (const struct raft *raft, uint64_t term, uint64_t index)
{
  uint64_t last_term = raft_log_last_term (&raft->log);

  if (term != last_term)
    return term > last_term;
  return index >= raft->log.last_index;
}

/* Whether this replica leads, or had contact with a leader within the minimum
   election timeout.  */
static bool
raft_has_live_leader (const struct raft *raft, clk_us now)
{
  return raft->role == RAFT_LEADER
         || raft->last_leader_contact + raft->opts.election_timeout_min > now;
}

/* Requests the (pre-)votes of all other voters; those of an election once the
   own vote is durable.  */
static void
raft_request_votes (struct raft *raft, enum raft_msg_kind kind, uint64_t term,
                    bool transfer)
{
  list_each (node, &raft->peers)
    {
      struct raft_peer *peer = list_entry (node, struct raft_peer, node);
      struct raft_msg *msg;

      peer->vote_granted = false;
      if (peer->member.learner)
        continue;
      msg = raft_msg_new_to (raft, kind, peer->member.id);
      msg->term = term;
      msg->u.vote.last_index = raft->log.last_index;
      msg->u.vote.last_term = raft_log_last_term (&raft->log);
      msg->u.vote.leadership_transfer = transfer;
      if (kind == RAFT_VOTE)
        raft_send_after_sync (raft, msg);
      else
        raft_send (raft, msg);
    }
}

void
raft_start_prevote (struct raft *raft, clk_us now)
{
  raft_become_follower (raft, raft->hard_state.term, 0, now);
  raft->role = RAFT_PRECANDIDATE;
  raft_request_votes (raft, RAFT_PREVOTE, raft->hard_state.term + 1, false);
  raft_count_votes (raft, now);
}

void
raft_start_election (struct raft *raft, bool transfer, clk_us now)
{
  raft_become_follower (raft, raft->hard_state.term + 1, 0, now);
  raft->elections_lost++;
  raft->role = RAFT_CANDIDATE;
  raft->hard_state.voted_for = raft->opts.id;
  raft->vote_write_sequence = raft_last_write_sequence (raft);
  raft_request_votes (raft, RAFT_VOTE, raft->hard_state.term, transfer);
}

void
raft_count_votes (struct raft *raft, clk_us now)
{
  uint32_t votes = 0;

  if (raft->role == RAFT_PRECANDIDATE
      || raft->vote_write_sequence <= raft->synced_sequence)
    votes = raft_is_voter (raft, raft->opts.id) ? 1 : 0;
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      votes += !peer->member.learner && peer->vote_granted ? 1 : 0;
    }
  if (votes <= raft_count_voters (&raft->members) / 2)
    return;
  if (raft->role == RAFT_PRECANDIDATE)
    raft_start_election (raft, false, now);
  else if (raft->role == RAFT_CANDIDATE
           && raft->vote_write_sequence <= raft->synced_sequence)
    raft_become_leader (raft, now);
}

void
raft_on_prevote (struct raft *raft, const struct raft_msg *msg, clk_us now)
{
  struct raft_msg *reply
      = raft_msg_new_to (raft, RAFT_PREVOTE_REPLY, msg->from);
  const struct raft_vote *vote = &msg->u.vote;

  reply->u.vote_reply.request_term = msg->term;
  reply->u.vote_reply.granted
      = msg->term > raft->hard_state.term && !raft_has_live_leader (raft, now)
        && raft_log_up_to_date (raft, vote->last_term, vote->last_index);
  raft_send (raft, reply);
}

void
raft_on_vote (struct raft *raft, const struct raft_msg *msg, clk_us now)
{
  const struct raft_vote *vote = &msg->u.vote;
  bool granted
      = msg->term == raft->hard_state.term && raft->role == RAFT_FOLLOWER
        && raft->leader_id == 0
        && (raft->hard_state.voted_for == 0
            || raft->hard_state.voted_for == msg->from)
        && raft_log_up_to_date (raft, vote->last_term, vote->last_index);
  struct raft_msg *reply = raft_msg_new_to (raft, RAFT_VOTE_REPLY, msg->from);

  reply->u.vote_reply.request_term = msg->term;
  reply->u.vote_reply.granted = granted;
  if (!granted)
    {
      raft_send (raft, reply);
      return;
    }
  if (raft->hard_state.voted_for == 0)
    {
      raft->hard_state.voted_for = msg->from;
      raft->hard_state_dirty = true;
      raft->vote_write_sequence = raft_last_write_sequence (raft);
    }
  raft_reset_election_timer (raft, now);
  raft_send_after_sync (raft, reply);
}

void
raft_on_vote_reply (struct raft *raft, const struct raft_msg *msg, clk_us now)
{
  struct raft_peer *peer = raft_peer_find (raft, msg->from);
  bool prevote = msg->kind == RAFT_PREVOTE_REPLY;
  uint64_t request_term = raft->hard_state.term + (prevote ? 1 : 0);

  if (raft->role != (prevote ? RAFT_PRECANDIDATE : RAFT_CANDIDATE)
      || peer == NULL || msg->u.vote_reply.request_term != request_term
      || !msg->u.vote_reply.granted)
    return;
  peer->vote_granted = true;
  raft_count_votes (raft, now);
}
