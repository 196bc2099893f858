#include "log/raft_impl.h"

/* Whether a log that ends at (TERM, INDEX) holds all that this one may have
   acknowledged.  */
static bool
raft_up_to_date (const struct raft *rep, uint64_t term, uint64_t index)
{
  uint64_t own = raft_log_last_term (&rep->log);

  if (term != own)
    return term > own;
  return index >= rep->log.last_index;
}

static bool
raft_hears_leader (const struct raft *rep, clk_us now)
{
  return rep->role == RAFT_LEADER
         || rep->leader_heard + rep->opts.election_min > now;
}

/* Asks all other voters; real votes are asked for once the own vote is
   durable.  */
static void
raft_ask_votes (struct raft *rep, enum raft_msg_kind kind, uint64_t term,
                bool transfer)
{
  list_each (node, &rep->peers)
    {
      struct raft_peer *peer = list_entry (node, struct raft_peer, node);
      struct raft_msg *msg;

      peer->granted = false;
      if (peer->member.learner)
        continue;
      msg = raft_msg_to (rep, kind, peer->member.id);
      msg->term = term;
      msg->u.vote.last_index = rep->log.last_index;
      msg->u.vote.last_term = raft_log_last_term (&rep->log);
      msg->u.vote.transfer = transfer;
      if (kind == RAFT_VOTE)
        raft_send_synced (rep, msg);
      else
        raft_send (rep, msg);
    }
}

void
raft_start_prevote (struct raft *rep, clk_us now)
{
  raft_follow (rep, rep->hard.term, 0, now);
  rep->role = RAFT_PRECANDIDATE;
  raft_ask_votes (rep, RAFT_PREVOTE, rep->hard.term + 1, false);
  raft_check_votes (rep, now);
}

void
raft_start_vote (struct raft *rep, bool transfer, clk_us now)
{
  raft_follow (rep, rep->hard.term + 1, 0, now);
  rep->role = RAFT_CANDIDATE;
  rep->hard.vote = rep->opts.id;
  rep->vote_sequence = raft_state_sequence (rep);
  raft_ask_votes (rep, RAFT_VOTE, rep->hard.term, transfer);
}

void
raft_check_votes (struct raft *rep, clk_us now)
{
  uint32_t granted = 0;

  if (rep->role == RAFT_PRECANDIDATE || rep->vote_sequence <= rep->synced)
    granted = raft_is_voter (rep, rep->opts.id) ? 1 : 0;
  list_each (node, &rep->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      granted += !peer->member.learner && peer->granted ? 1 : 0;
    }
  if (granted <= raft_voters (&rep->members) / 2)
    return;
  if (rep->role == RAFT_PRECANDIDATE)
    raft_start_vote (rep, false, now);
  else if (rep->role == RAFT_CANDIDATE && rep->vote_sequence <= rep->synced)
    raft_lead (rep, now);
}

void
raft_on_prevote (struct raft *rep, const struct raft_msg *msg, clk_us now)
{
  struct raft_msg *reply = raft_msg_to (rep, RAFT_PREVOTE_REPLY, msg->from);
  const struct raft_vote *vote = &msg->u.vote;

  reply->u.vote_reply.asked_term = msg->term;
  reply->u.vote_reply.granted
      = msg->term > rep->hard.term && !raft_hears_leader (rep, now)
        && raft_up_to_date (rep, vote->last_term, vote->last_index);
  raft_send (rep, reply);
}

void
raft_on_vote (struct raft *rep, const struct raft_msg *msg, clk_us now)
{
  const struct raft_vote *vote = &msg->u.vote;
  bool granted = msg->term == rep->hard.term && rep->role == RAFT_FOLLOWER
                 && rep->leader == 0
                 && (rep->hard.vote == 0 || rep->hard.vote == msg->from)
                 && raft_up_to_date (rep, vote->last_term, vote->last_index);
  struct raft_msg *reply = raft_msg_to (rep, RAFT_VOTE_REPLY, msg->from);

  reply->u.vote_reply.asked_term = msg->term;
  reply->u.vote_reply.granted = granted;
  if (!granted)
    {
      raft_send (rep, reply);
      return;
    }
  if (rep->hard.vote == 0)
    {
      rep->hard.vote = msg->from;
      rep->hard_dirty = true;
    }
  raft_reset_election (rep, now);
  raft_send_synced (rep, reply);
}

void
raft_on_vote_reply (struct raft *rep, const struct raft_msg *msg, clk_us now)
{
  struct raft_peer *peer = raft_peer_find (rep, msg->from);
  bool pre = msg->kind == RAFT_PREVOTE_REPLY;
  uint64_t asked = rep->hard.term + (pre ? 1 : 0);

  if (rep->role != (pre ? RAFT_PRECANDIDATE : RAFT_CANDIDATE) || peer == NULL
      || msg->u.vote_reply.asked_term != asked || !msg->u.vote_reply.granted)
    return;
  peer->granted = true;
  raft_check_votes (rep, now);
}
