#ifndef LOG_QUORUM_H
#define LOG_QUORUM_H

/**
 * DOC: quorum - which members of a log group should vote
 *
 * A group bears a loss as long as the voters that remain are a majority.  The
 * tolerance names losses of three kinds: any instances, all voters of failure
 * domains, all voters of regions.  Each is to be borne alone.  Pure functions
 * without state.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/member.h"

/* Members that are considered; the time needed doubles with each one.  */
#define QUORUM_MEMBERS_MAX 10

enum quorum_state
{
  QUORUM_LIVE,
  QUORUM_LEAVING, /* replies, and will stop */
  QUORUM_AWAY,    /* does not reply; has its disk, as far as known */
  QUORUM_LOST,    /* has lost its disk, or is not expected back */
};

struct quorum_member
{
  enum quorum_state state;
  bool votes;
  bool may_vote; /* a voter, or a member that can become one */
  bool stays;    /* a voter that cannot give up its vote, as the leader */
  uint32_t domain;
  uint32_t region;
};

enum quorum_step_kind
{
  QUORUM_STEP_NONE,
  QUORUM_STEP_REMOVE,  /* a voter that does not reply */
  QUORUM_STEP_PROMOTE, /* a learner becomes a voter */
  QUORUM_STEP_DEMOTE,  /* a voter becomes a learner */
};

struct quorum_step
{
  enum quorum_step_kind kind;
  uint32_t member; /* index */
};

/**
 * quorum_missing() - losses that a set of voters does not bear
 * @members: members of the group
 * @count: number of @members, at most QUORUM_MEMBERS_MAX
 * @tolerance: losses to be borne
 *
 * Voters that are away or lost count as lost already.
 *
 * Return: for each kind the part of @tolerance that is not borne; one more
 * than @tolerance asks when the voters that reply are no majority.
 */
struct member_tolerance
quorum_missing (const struct quorum_member *members, uint32_t count,
                const struct member_tolerance *tolerance);

/**
 * quorum_next_step() - next membership change towards the best set of voters
 * @members: members of the group
 * @count: number of @members, at most QUORUM_MEMBERS_MAX
 * @tolerance: losses to be borne
 *
 * The best set bears most of @tolerance when all its members that are not lost
 * reply, then most of it without those that are away or leave, then has the
 * fewest voters, then needs the fewest changes.
 * The number of voters falls only to what @tolerance needs, as a voter that is
 * away may hold the only copy of an entry besides members that are lost next.
 * A step bears what the present voters do, unless the best set bears more and
 * no step towards it does.
 *
 * Return: the step, QUORUM_STEP_NONE when there is nothing to change.
 */
struct quorum_step quorum_next_step (const struct quorum_member *members,
                                     uint32_t count,
                                     const struct member_tolerance *tolerance);

#endif
