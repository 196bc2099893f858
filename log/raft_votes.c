#include "log/raft_impl.h"

#include <string.h>

/* The members of the group that have a vote or may get one.  */
struct raft_votes
{
  uint32_t count;
  uint64_t ids[QUORUM_MEMBERS_MAX];
  struct quorum_member members[QUORUM_MEMBERS_MAX];
};

/* Whether PEER is a live learner that may become a voter.  */
static bool
raft_learner_caught_up (const struct raft *raft, const struct raft_peer *peer,
                        clk_us now)
{
  return peer->member.learner && !raft_peer_leaves (raft, peer)
         && peer->match_index + RAFT_CAUGHT_UP_ENTRIES >= raft->log.last_index
         && peer->match_index >= raft->term_start_index
         && peer->last_contact + raft->opts.lease_duration > now;
}

/* Whether the vote of PEER is lost: it was silent for the replace timeout, or
   has announced that it leaves and is silent.  A new leader first gives all
   peers the time of an election to reply.  */
static bool
raft_peer_gone (const struct raft *raft, const struct raft_peer *peer,
                clk_us now)
{
  clk_us limit = raft_peer_leaves (raft, peer)
                     ? raft->opts.election_timeout_min
                     : raft->opts.replace_timeout;

  return peer->last_contact + limit <= now
         && raft->leader_since + raft->opts.election_timeout_min <= now;
}

/* Whether a caught-up learner has the address of the voter PEER, which has
   then lost its disk.  */
static bool
raft_voter_lost_disk (const struct raft *raft, const struct raft_peer *peer,
                      clk_us now)
{
  list_each (node, &raft->peers)
    {
      const struct raft_peer *other
          = list_entry (node, struct raft_peer, node);

      if (strcmp (other->member.address, peer->member.address) == 0
          && raft_learner_caught_up (raft, other, now))
        return true;
    }
  return false;
}

static enum quorum_state
raft_votes_state (const struct raft *raft, const struct raft_peer *peer,
                  clk_us now)
{
  if (!peer->member.learner && raft_voter_lost_disk (raft, peer, now))
    return QUORUM_LOST;
  if (raft_peer_gone (raft, peer, now))
    return peer->last_contact + RAFT_GONE_TIMEOUTS * raft->opts.replace_timeout
                   <= now
               ? QUORUM_LOST
               : QUORUM_AWAY;
  return raft_peer_leaves (raft, peer) ? QUORUM_LEAVING : QUORUM_LIVE;
}

/* Adds a member that is a voter or can become one; PEER is NULL for this
   replica.  */
static void
raft_votes_add (const struct raft *raft, struct raft_votes *votes,
                const struct raft_member *info, const struct raft_peer *peer,
                clk_us now)
{
  const struct member_tolerance *tolerance = &raft->opts.tolerance;
  struct quorum_member *member = &votes->members[votes->count];
  struct place place;
  bool known = raft->opts.places != NULL
               && places_find (raft->opts.places, info->address, &place);

  /* Without a known place a learner could take the vote of a member in a
     place that the group would then lack.  */
  if (votes->count == QUORUM_MEMBERS_MAX
      || (info->learner && !known
          && (tolerance->domains > 0 || tolerance->regions > 0)))
    return;
  /* An unknown place counts as one of its own.  */
  if (!known)
    place.domain = place.region = UINT32_MAX - votes->count;
  *member = (struct quorum_member){ .votes = !info->learner,
                                    .may_vote = true,
                                    .domain = place.domain,
                                    .region = place.region };
  if (peer != NULL)
    member->state = raft_votes_state (raft, peer, now);
  else
    member->stays = !info->learner;
  votes->ids[votes->count++] = info->id;
}

/* Lists the voters, then the learners that have caught up.  */
static void
raft_votes_list (const struct raft *raft, struct raft_votes *votes, clk_us now)
{
  const struct raft_member *self
      = raft_members_find (&raft->members, raft->opts.id);

  votes->count = 0;
  if (self != NULL && !self->learner)
    raft_votes_add (raft, votes, self, NULL, now);
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (!peer->member.learner)
        raft_votes_add (raft, votes, &peer->member, peer, now);
    }
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (raft_learner_caught_up (raft, peer, now))
        raft_votes_add (raft, votes, &peer->member, peer, now);
    }
}

void
raft_set_tolerance (struct raft *raft,
                    const struct member_tolerance *tolerance)
{
  raft->opts.tolerance = *tolerance;
}

struct member_tolerance
raft_missing_tolerance (const struct raft *raft,
                        const struct member_tolerance *tolerance, clk_us now)
{
  struct raft_votes votes;

  if (raft->role != RAFT_LEADER)
    return (struct member_tolerance){ 0 };
  raft_votes_list (raft, &votes, now);
  return quorum_missing (votes.members, votes.count, tolerance);
}

/* Proposes the next change of the votes; returns whether there is one.  */
static bool
raft_place_votes (struct raft *raft, clk_us now)
{
  struct raft_votes votes;
  struct quorum_step step;
  uint64_t id;

  raft_votes_list (raft, &votes, now);
  step = quorum_next_step (votes.members, votes.count, &raft->opts.tolerance);
  id = votes.ids[step.member];
  switch (step.kind)
    {
    case QUORUM_STEP_NONE:
      return false;
    case QUORUM_STEP_REMOVE:
      raft_propose_removal (raft, id, now);
      return true;
    case QUORUM_STEP_PROMOTE:
      raft_propose_role (raft, id, false);
      return true;
    case QUORUM_STEP_DEMOTE:
      raft_propose_role (raft, id, true);
      return true;
    }
  return false;
}

void
raft_manage_members (struct raft *raft, clk_us now)
{
  if (!raft_member_change_allowed (raft) || raft_place_votes (raft, now))
    return;
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (peer->member.learner
          && peer->last_contact
                     + RAFT_GONE_TIMEOUTS * raft->opts.replace_timeout
                 <= now)
        {
          raft_propose_removal (raft, peer->member.id, now);
          return;
        }
    }
}
