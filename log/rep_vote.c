#include "log/rep_impl.h"

/* Whether a log that ends at (TERM, INDEX) holds all that this one may have
   acknowledged.  */
static bool
rep_up_to_date (const struct rep *rep, uint64_t term, uint64_t index)
{
  uint64_t own = rep_log_last_term (&rep->log);

  if (term != own)
    return term > own;
  return index >= rep->log.last_index;
}

static bool
rep_hears_leader (const struct rep *rep, clk_us now)
{
  return rep->role == REP_LEADER
         || rep->leader_heard + rep->opts.election_min > now;
}

/* Asks all other voters; real votes are asked for once the own vote is
   durable.  */
static void
rep_ask_votes (struct rep *rep, enum rep_msg_kind kind, uint64_t term,
               bool transfer)
{
  lst_each (node, &rep->peers)
    {
      struct rep_peer *peer = lst_entry (node, struct rep_peer, node);
      struct rep_msg *msg;

      peer->granted = false;
      if (peer->member.learner)
        continue;
      msg = rep_msg_to (rep, kind, peer->member.id);
      msg->term = term;
      msg->u.vote.last_index = rep->log.last_index;
      msg->u.vote.last_term = rep_log_last_term (&rep->log);
      msg->u.vote.transfer = transfer;
      if (kind == REP_VOTE)
        rep_send_synced (rep, msg);
      else
        rep_send (rep, msg);
    }
}

void
rep_start_prevote (struct rep *rep, clk_us now)
{
  rep_follow (rep, rep->hard.term, 0, now);
  rep->role = REP_PRECANDIDATE;
  rep_ask_votes (rep, REP_PREVOTE, rep->hard.term + 1, false);
  rep_check_votes (rep, now);
}

void
rep_start_vote (struct rep *rep, bool transfer, clk_us now)
{
  rep_follow (rep, rep->hard.term + 1, 0, now);
  rep->role = REP_CANDIDATE;
  rep->hard.vote = rep->opts.id;
  rep->vote_sequence = rep_state_sequence (rep);
  rep_ask_votes (rep, REP_VOTE, rep->hard.term, transfer);
}

void
rep_check_votes (struct rep *rep, clk_us now)
{
  uint32_t granted = 0;

  if (rep->role == REP_PRECANDIDATE || rep->vote_sequence <= rep->synced)
    granted = rep_is_voter (rep, rep->opts.id) ? 1 : 0;
  lst_each (node, &rep->peers)
    {
      const struct rep_peer *peer = lst_entry (node, struct rep_peer, node);

      granted += !peer->member.learner && peer->granted ? 1 : 0;
    }
  if (granted <= rep_voters (&rep->members) / 2)
    return;
  if (rep->role == REP_PRECANDIDATE)
    rep_start_vote (rep, false, now);
  else if (rep->role == REP_CANDIDATE && rep->vote_sequence <= rep->synced)
    rep_lead (rep, now);
}

void
rep_on_prevote (struct rep *rep, const struct rep_msg *msg, clk_us now)
{
  struct rep_msg *reply = rep_msg_to (rep, REP_PREVOTE_REPLY, msg->from);
  const struct rep_vote *vote = &msg->u.vote;

  reply->u.vote_reply.asked_term = msg->term;
  reply->u.vote_reply.granted
      = msg->term > rep->hard.term && !rep_hears_leader (rep, now)
        && rep_up_to_date (rep, vote->last_term, vote->last_index);
  rep_send (rep, reply);
}

void
rep_on_vote (struct rep *rep, const struct rep_msg *msg, clk_us now)
{
  const struct rep_vote *vote = &msg->u.vote;
  bool granted = msg->term == rep->hard.term && rep->role == REP_FOLLOWER
                 && rep->leader == 0
                 && (rep->hard.vote == 0 || rep->hard.vote == msg->from)
                 && rep_up_to_date (rep, vote->last_term, vote->last_index);
  struct rep_msg *reply = rep_msg_to (rep, REP_VOTE_REPLY, msg->from);

  reply->u.vote_reply.asked_term = msg->term;
  reply->u.vote_reply.granted = granted;
  if (!granted)
    {
      rep_send (rep, reply);
      return;
    }
  if (rep->hard.vote == 0)
    {
      rep->hard.vote = msg->from;
      rep->hard_dirty = true;
    }
  rep_reset_election (rep, now);
  rep_send_synced (rep, reply);
}

void
rep_on_vote_reply (struct rep *rep, const struct rep_msg *msg, clk_us now)
{
  struct rep_peer *peer = rep_peer_find (rep, msg->from);
  bool pre = msg->kind == REP_PREVOTE_REPLY;
  uint64_t asked = rep->hard.term + (pre ? 1 : 0);

  if (rep->role != (pre ? REP_PRECANDIDATE : REP_CANDIDATE) || peer == NULL
      || msg->u.vote_reply.asked_term != asked || !msg->u.vote_reply.granted)
    return;
  peer->granted = true;
  rep_check_votes (rep, now);
}
