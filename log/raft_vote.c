#include "log/raft_impl.h"

/* Whether a log that ends at (TERM, INDEX) holds all that this one may have
   acknowledged.  */
static bool
raft_up_to_date (const struct raft *raft, uint64_t term, uint64_t index)
{
  uint64_t own = raft_log_last_term (&raft->log);

  if (term != own)
    return term > own;
  return index >= raft->log.last_index;
}

static bool
raft_hears_leader (const struct raft *raft, clk_us now)
{
  return raft->role == RAFT_LEADER
         || raft->leader_heard + raft->opts.election_min > now;
}

/* Asks all other voters; real votes are asked for once the own vote is
   durable.  */
static void
raft_ask_votes (struct raft *raft, enum raft_msg_kind kind, uint64_t term,
                bool transfer)
{
  list_each (node, &raft->peers)
    {
      struct raft_peer *peer = list_entry (node, struct raft_peer, node);
      struct raft_msg *msg;

      peer->granted = false;
      if (peer->member.learner)
        continue;
      msg = raft_msg_to (raft, kind, peer->member.id);
      msg->term = term;
      msg->u.vote.last_index = raft->log.last_index;
      msg->u.vote.last_term = raft_log_last_term (&raft->log);
      msg->u.vote.transfer = transfer;
      if (kind == RAFT_VOTE)
        raft_send_synced (raft, msg);
      else
        raft_send (raft, msg);
    }
}

void
raft_start_prevote (struct raft *raft, clk_us now)
{
  raft_follow (raft, raft->hard.term, 0, now);
  raft->role = RAFT_PRECANDIDATE;
  raft_ask_votes (raft, RAFT_PREVOTE, raft->hard.term + 1, false);
  raft_check_votes (raft, now);
}

void
raft_start_vote (struct raft *raft, bool transfer, clk_us now)
{
  raft_follow (raft, raft->hard.term + 1, 0, now);
  raft->role = RAFT_CANDIDATE;
  raft->hard.vote = raft->opts.id;
  raft->vote_sequence = raft_state_sequence (raft);
  raft_ask_votes (raft, RAFT_VOTE, raft->hard.term, transfer);
}

void
raft_check_votes (struct raft *raft, clk_us now)
{
  uint32_t granted = 0;

  if (raft->role == RAFT_PRECANDIDATE || raft->vote_sequence <= raft->synced)
    granted = raft_is_voter (raft, raft->opts.id) ? 1 : 0;
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      granted += !peer->member.learner && peer->granted ? 1 : 0;
    }
  if (granted <= raft_voters (&raft->members) / 2)
    return;
  if (raft->role == RAFT_PRECANDIDATE)
    raft_start_vote (raft, false, now);
  else if (raft->role == RAFT_CANDIDATE && raft->vote_sequence <= raft->synced)
    raft_lead (raft, now);
}

void
raft_on_prevote (struct raft *raft, const struct raft_msg *msg, clk_us now)
{
  struct raft_msg *reply = raft_msg_to (raft, RAFT_PREVOTE_REPLY, msg->from);
  const struct raft_vote *vote = &msg->u.vote;

  reply->u.vote_reply.asked_term = msg->term;
  reply->u.vote_reply.granted
      = msg->term > raft->hard.term && !raft_hears_leader (raft, now)
        && raft_up_to_date (raft, vote->last_term, vote->last_index);
  raft_send (raft, reply);
}

void
raft_on_vote (struct raft *raft, const struct raft_msg *msg, clk_us now)
{
  const struct raft_vote *vote = &msg->u.vote;
  bool granted = msg->term == raft->hard.term && raft->role == RAFT_FOLLOWER
                 && raft->leader == 0
                 && (raft->hard.vote == 0 || raft->hard.vote == msg->from)
                 && raft_up_to_date (raft, vote->last_term, vote->last_index);
  struct raft_msg *reply = raft_msg_to (raft, RAFT_VOTE_REPLY, msg->from);

  reply->u.vote_reply.asked_term = msg->term;
  reply->u.vote_reply.granted = granted;
  if (!granted)
    {
      raft_send (raft, reply);
      return;
    }
  if (raft->hard.vote == 0)
    {
      raft->hard.vote = msg->from;
      raft->hard_dirty = true;
    }
  raft_reset_election (raft, now);
  raft_send_synced (raft, reply);
}

void
raft_on_vote_reply (struct raft *raft, const struct raft_msg *msg, clk_us now)
{
  struct raft_peer *peer = raft_peer_find (raft, msg->from);
  bool pre = msg->kind == RAFT_PREVOTE_REPLY;
  uint64_t asked = raft->hard.term + (pre ? 1 : 0);

  if (raft->role != (pre ? RAFT_PRECANDIDATE : RAFT_CANDIDATE) || peer == NULL
      || msg->u.vote_reply.asked_term != asked || !msg->u.vote_reply.granted)
    return;
  peer->granted = true;
  raft_check_votes (raft, now);
}
