#include "log/quorum.h"

#include <stddef.h>

/* Members of a group, and what their voters have to bear.  Sets of voters are
   bit masks of member indexes.  */
struct quorum
{
  const struct quorum_member *members;
  uint32_t count;
  const struct member_tolerance *tolerance;
};

enum quorum_unit
{
  QUORUM_UNIT_INSTANCE,
  QUORUM_UNIT_DOMAIN,
  QUORUM_UNIT_REGION,
};

static uint32_t
quorum_size (uint32_t set)
{
  return (uint32_t)__builtin_popcount (set);
}

static uint32_t
quorum_current (const struct quorum *quorum)
{
  uint32_t set = 0;

  for (uint32_t i = 0; i < quorum->count; i++)
    if (quorum->members[i].votes)
      set |= 1u << i;
  return set;
}

/* Returns the members of SET with a state of at most WORST.  */
static uint32_t
quorum_filter (const struct quorum *quorum, uint32_t set,
               enum quorum_state worst)
{
  for (uint32_t i = 0; i < quorum->count; i++)
    if (quorum->members[i].state > worst)
      set &= ~(1u << i);
  return set;
}

/* Returns the members of SET that are lost together with member I.  */
static uint32_t
quorum_unit_of (const struct quorum *quorum, uint32_t set, uint32_t i,
                enum quorum_unit unit)
{
  uint32_t found = 0;

  for (uint32_t k = 0; k < quorum->count; k++)
    {
      bool same = false;

      switch (unit)
        {
        case QUORUM_UNIT_INSTANCE:
          same = k == i;
          break;
        case QUORUM_UNIT_DOMAIN:
          same = quorum->members[k].domain == quorum->members[i].domain;
          break;
        case QUORUM_UNIT_REGION:
          same = quorum->members[k].region == quorum->members[i].region;
          break;
        }
      if (same)
        found |= 1u << k;
    }
  return found & set;
}

/* Returns the members of the unit of SET that has the most.  */
static uint32_t
quorum_largest_unit (const struct quorum *quorum, uint32_t set,
                     enum quorum_unit unit)
{
  uint32_t largest = 0;

  for (uint32_t i = 0; i < quorum->count; i++)
    if (set >> i & 1)
      {
        uint32_t found = quorum_unit_of (quorum, set, i, unit);

        if (quorum_size (found) > quorum_size (largest))
          largest = found;
      }
  return largest;
}

/* Returns how many of WANTED losses of a unit the voters SET do not bear, when
   those outside LIVE are lost already; WANTED + 1 without a majority.  */
static uint32_t
quorum_unit_missing (const struct quorum *quorum, uint32_t set, uint32_t live,
                     enum quorum_unit unit, uint32_t wanted)
{
  uint32_t majority = quorum_size (set) / 2 + 1;
  uint32_t borne = 0;

  if (quorum_size (live) < majority)
    return wanted + 1;
  while (borne < wanted)
    {
      live &= ~quorum_largest_unit (quorum, live, unit);
      if (quorum_size (live) < majority)
        break;
      borne++;
    }
  return wanted - borne;
}

static struct member_tolerance
quorum_set_missing (const struct quorum *quorum, uint32_t set,
                    enum quorum_state worst)
{
  const struct member_tolerance *tolerance = quorum->tolerance;
  uint32_t live = quorum_filter (quorum, set, worst);

  return (struct member_tolerance){
    .instances = quorum_unit_missing (quorum, set, live, QUORUM_UNIT_INSTANCE,
                                      tolerance->instances),
    .domains = quorum_unit_missing (quorum, set, live, QUORUM_UNIT_DOMAIN,
                                    tolerance->domains),
    .regions = quorum_unit_missing (quorum, set, live, QUORUM_UNIT_REGION,
                                    tolerance->regions),
  };
}

/* Returns the losses that SET does not bear once members that are worse than
   WORST are lost.  */
static uint32_t
quorum_deficit (const struct quorum *quorum, uint32_t set,
                enum quorum_state worst)
{
  struct member_tolerance missing = quorum_set_missing (quorum, set, worst);

  return missing.instances + missing.domains + missing.regions;
}

/* What a set of voters bears; compared in the order of the members.  */
struct quorum_rank
{
  uint32_t deficit;     /* when all members that are not lost reply */
  uint32_t deficit_now; /* with the members that reply and stay */
  uint32_t size;
  uint32_t changes; /* against the present voters */
};

static bool
quorum_rank_less (const struct quorum_rank *a, const struct quorum_rank *b)
{
  if (a->deficit != b->deficit)
    return a->deficit < b->deficit;
  if (a->deficit_now != b->deficit_now)
    return a->deficit_now < b->deficit_now;
  if (a->size != b->size)
    return a->size < b->size;
  return a->changes < b->changes;
}

static struct quorum_rank
quorum_rank_of (const struct quorum *quorum, uint32_t set, uint32_t current)
{
  return (struct quorum_rank){
    .deficit = quorum_deficit (quorum, set, QUORUM_AWAY),
    .deficit_now = quorum_deficit (quorum, set, QUORUM_LIVE),
    .size = quorum_size (set),
    .changes = quorum_size (set ^ current),
  };
}

/* Least number of voters that bears the tolerance.  */
static uint32_t
quorum_size_needed (const struct member_tolerance *tolerance)
{
  uint32_t losses = tolerance->instances;

  if (losses < tolerance->domains)
    losses = tolerance->domains;
  if (losses < tolerance->regions)
    losses = tolerance->regions;
  return 2 * losses + 1;
}

/* Least number of voters that a change may lead to.  */
static uint32_t
quorum_size_min (const struct quorum *quorum, uint32_t current)
{
  uint32_t needed = quorum_size_needed (quorum->tolerance);
  uint32_t present = quorum_size (current);

  /* An even number bears no more losses of instances than one less.  */
  present -= present > 0 && present % 2 == 0;
  return present < needed ? present : needed;
}

static uint32_t
quorum_best_set (const struct quorum *quorum, uint32_t current)
{
  struct quorum_rank best_rank = quorum_rank_of (quorum, current, current);
  uint32_t best = current;
  uint32_t size_min = quorum_size_min (quorum, current);
  uint32_t eligible = current;
  uint32_t fixed = 0;

  for (uint32_t i = 0; i < quorum->count; i++)
    {
      if (quorum->members[i].may_vote)
        eligible |= 1u << i;
      if (quorum->members[i].stays)
        fixed |= 1u << i;
    }
  for (uint32_t set = 0; set < 1u << quorum->count; set++)
    {
      struct quorum_rank rank;

      if ((set & ~eligible) != 0 || (fixed & ~set) != 0
          || quorum_size (set) < size_min)
        continue;
      rank = quorum_rank_of (quorum, set, current);
      if (quorum_rank_less (&rank, &best_rank))
        {
          best_rank = rank;
          best = set;
        }
    }
  return best;
}

/* Kind of the step that changes the vote of member I.  */
static enum quorum_step_kind
quorum_step_kind_of (const struct quorum *quorum, uint32_t i)
{
  if (!quorum->members[i].votes)
    return QUORUM_STEP_PROMOTE;
  return quorum->members[i].state >= QUORUM_AWAY ? QUORUM_STEP_REMOVE
                                                 : QUORUM_STEP_DEMOTE;
}

/* A step, and what the voters do not bear after it, as in struct
   quorum_rank.  */
struct quorum_candidate
{
  struct quorum_step step;
  bool removes_first; /* goes before others that leave the same deficit now */
  uint32_t deficit_now;
  uint32_t deficit;
};

static bool
quorum_candidate_less (const struct quorum_candidate *a,
                       const struct quorum_candidate *b)
{
  if (a->deficit_now != b->deficit_now)
    return a->deficit_now < b->deficit_now;
  if (a->removes_first != b->removes_first)
    return a->removes_first;
  if (a->deficit != b->deficit)
    return a->deficit < b->deficit;
  return a->step.kind < b->step.kind;
}

static struct quorum_candidate
quorum_candidate_of (const struct quorum *quorum, uint32_t current, uint32_t i)
{
  uint32_t set = current ^ 1u << i;
  struct quorum_candidate candidate = {
    .step = { .kind = quorum_step_kind_of (quorum, i), .member = i },
    .deficit_now = quorum_deficit (quorum, set, QUORUM_LIVE),
    .deficit = quorum_deficit (quorum, set, QUORUM_AWAY),
  };

  /* Of an odd number of voters one that is gone is taken out first: the quorum
     of the others does not depend on it.  */
  candidate.removes_first = candidate.step.kind == QUORUM_STEP_REMOVE
                            && quorum_size (current) % 2 == 1;
  return candidate;
}

struct member_tolerance
quorum_missing (const struct quorum_member *members, uint32_t count,
                const struct member_tolerance *tolerance)
{
  struct quorum quorum = { members, count, tolerance };

  return quorum_set_missing (&quorum, quorum_current (&quorum),
                             QUORUM_LEAVING);
}

struct quorum_step
quorum_next_step (const struct quorum_member *members, uint32_t count,
                  const struct member_tolerance *tolerance)
{
  struct quorum quorum = { members, count, tolerance };
  uint32_t current = quorum_current (&quorum);
  struct quorum_rank rank = quorum_rank_of (&quorum, current, current);
  struct quorum_rank goal_rank;
  struct quorum_candidate best
      = { .deficit_now = rank.deficit_now, .deficit = UINT32_MAX };
  uint32_t goal;

  /* No set ranks higher.  */
  if (rank.deficit == 0 && rank.deficit_now == 0
      && rank.size == quorum_size_needed (tolerance))
    return best.step;
  goal = quorum_best_set (&quorum, current);
  goal_rank = quorum_rank_of (&quorum, goal, current);
  /* From three to five voters in three failure domains, for example, no path
     bears the loss of one with each step.  */
  if (goal_rank.deficit < rank.deficit
      || goal_rank.deficit_now < rank.deficit_now)
    best.deficit_now = UINT32_MAX;
  for (uint32_t i = 0; i < count; i++)
    {
      struct quorum_candidate candidate;

      if (((goal ^ current) >> i & 1) == 0)
        continue;
      candidate = quorum_candidate_of (&quorum, current, i);
      if (quorum_candidate_less (&candidate, &best))
        best = candidate;
    }
  return best.step;
}
