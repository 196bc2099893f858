/* Walk through all small groups: three to six members in up to four failure
   domains and two to four regions, all sets of voters, all states of one
   member.  */

#include "core/rng.h"
#include "log/quorum.h"
#include "tests/suite.h"

/* Steps after which a group that still changes does so for ever.  */
#define STEPS_MAX 40
#define DOMAINS_MAX 4

struct group
{
  uint32_t count;
  struct member_tolerance tolerance;
  struct quorum_member members[QUORUM_MEMBERS_MAX];
};

/* Largest number of losses that each tolerance of the walk names.  */
static const struct member_tolerance tolerances[]
    = { { 1, 0, 0 }, { 2, 0, 0 }, { 1, 1, 0 }, { 2, 1, 0 },
        { 1, 0, 1 }, { 2, 2, 0 }, { 2, 1, 1 } };

static uint32_t
count_voters (const struct group *group, uint32_t set)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->count; i++)
    count += (set >> i & 1) && group->members[i].votes;
  return count;
}

/* Whether the voters outside LOST are a majority.  */
static bool
has_majority (const struct group *group, uint32_t lost)
{
  uint32_t all = (1u << group->count) - 1;

  return 2 * count_voters (group, all & ~lost) > count_voters (group, all);
}

static uint32_t
members_away (const struct group *group)
{
  uint32_t set = 0;

  for (uint32_t i = 0; i < group->count; i++)
    if (group->members[i].state >= QUORUM_AWAY)
      set |= 1u << i;
  return set;
}

/* Whether the voters bear any losses that TOLERANCE names besides those that
   have come; by trying all sets of instances, failure domains and regions.  */
static bool
bears (const struct group *group, const struct member_tolerance *tolerance)
{
  uint32_t away = members_away (group);
  uint32_t unit_count
      = group->count < DOMAINS_MAX ? DOMAINS_MAX : group->count;

  for (uint32_t units = 0; units < 1u << unit_count; units++)
    {
      uint32_t size = (uint32_t)__builtin_popcount (units);
      uint32_t by_domain = 0;
      uint32_t by_region = 0;

      for (uint32_t i = 0; i < group->count; i++)
        {
          by_domain |= (units >> group->members[i].domain & 1) << i;
          by_region |= (units >> group->members[i].region & 1) << i;
        }
      if (size <= tolerance->instances && !has_majority (group, away | units))
        return false;
      if (size <= tolerance->domains
          && !has_majority (group, away | by_domain))
        return false;
      if (size <= tolerance->regions
          && !has_majority (group, away | by_region))
        return false;
    }
  return true;
}

static bool
bears_its_tolerance (const struct group *group)
{
  return bears (group, &group->tolerance);
}

/* Whether some set of voters bears the tolerance.  */
static bool
can_bear (const struct group *group)
{
  for (uint32_t set = 1; set < 1u << group->count; set++)
    {
      struct group other = *group;

      for (uint32_t i = 0; i < group->count; i++)
        other.members[i].votes = set >> i & 1;
      if (bears_its_tolerance (&other))
        return true;
    }
  return false;
}

static bool
take_step (struct group *group)
{
  struct quorum_step step
      = quorum_next_step (group->members, group->count, &group->tolerance);
  struct quorum_member *member = &group->members[step.member];

  switch (step.kind)
    {
    case QUORUM_STEP_NONE:
      return false;
    case QUORUM_STEP_PROMOTE:
      CU_ASSERT (!member->votes && member->may_vote);
      member->votes = true;
      return true;
    case QUORUM_STEP_REMOVE:
      CU_ASSERT (member->votes && member->state >= QUORUM_AWAY);
      member->votes = false;
      member->may_vote = false;
      return true;
    case QUORUM_STEP_DEMOTE:
      CU_ASSERT (member->votes && member->state < QUORUM_AWAY);
      CU_ASSERT (!member->stays);
      member->votes = false;
      return true;
    }
  return false;
}

/* Takes all steps of GROUP; checks that each bears what the voters before it
   bore, and that the missing losses agree with trying them all.  HANDOVER: a
   voter leaves, and its vote may go to a member of the same place, which has
   then both votes for one step.  Only losses of instances are borne meanwhile;
   where it is more than one, the voter that leaves counts.  */
static void
run_group (struct group *group, bool handover, uint64_t seed)
{
  struct member_tolerance instances
      = { .instances = group->tolerance.instances > 1
                           ? group->tolerance.instances - 1
                           : group->tolerance.instances };
  const struct member_tolerance *each
      = handover ? &instances : &group->tolerance;
  uint32_t steps = 0;
  bool bore_all = bears_its_tolerance (group);
  bool bore = bears (group, each);
  bool moved;

  do
    {
      struct member_tolerance missing
          = quorum_missing (group->members, group->count, &group->tolerance);
      bool borne = bears_its_tolerance (group);

      SUITE_SEEDED (
          borne
              == (missing.instances + missing.domains + missing.regions == 0),
          seed);
      borne = bears (group, each);
      SUITE_SEEDED (borne || !bore, seed);
      bore = borne;
      moved = take_step (group);
    }
  while (moved && ++steps < STEPS_MAX);
  SUITE_SEEDED (steps < STEPS_MAX, seed);
  SUITE_SEEDED (bears_its_tolerance (group) || !bore_all, seed);
}

/* Sets a group of COUNT members whose failure domains are the digits of
   DOMAINS in base 4; pairs of failure domains are in one region if PAIRED.  */
static void
set_group (struct group *group, uint32_t count, uint32_t domains,
           uint32_t voters, bool paired)
{
  group->count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t domain = domains >> 2 * i & 3;

      group->members[i]
          = (struct quorum_member){ .votes = voters >> i & 1,
                                    .may_vote = true,
                                    .domain = domain,
                                    .region = paired ? domain / 2 : domain };
    }
}

/* Checks all states of one member of the groups of COUNT members.  */
static void
walk (uint32_t count, enum quorum_state state)
{
  static const uint32_t sample[] = { 11, 211 };
  uint32_t case_count = 0;

  for (uint32_t t = 0; t < sizeof tolerances / sizeof tolerances[0]; t++)
    for (uint32_t domains = 0; domains < 1u << 2 * count; domains++)
      for (uint32_t voters = 1; voters < 1u << count; voters++)
        {
          struct group group = { .tolerance = tolerances[t] };
          uint32_t leader = (uint32_t)__builtin_ctz (voters);
          uint32_t others = voters & (voters - 1);
          bool can;

          /* Larger groups are sampled.  */
          if (count > 4 && (domains * 64 + voters) % sample[count - 5] != t)
            continue;
          set_group (&group, count, domains, voters, t % 2 == 0);
          group.members[leader].stays = true;
          if (state != QUORUM_LIVE && others != 0)
            group.members[__builtin_ctz (others)].state = state;
          if (!has_majority (&group, members_away (&group)))
            continue;
          can = can_bear (&group);
          run_group (&group, state == QUORUM_LEAVING, domains * 64 + voters);
          /* A voter that leaves or is away is replaced when there is another,
             but the loss of another one need not be borne without it.  */
          if (state == QUORUM_LIVE)
            SUITE_SEEDED (bears_its_tolerance (&group) == can,
                          domains * 64 + voters);
          case_count++;
        }
  printf ("%u members, state %d: %u groups\n", count, (int)state, case_count);
}

/* Guards against voters in one place although the members are in several, a
   step after which less is borne than before, and votes that move for ever. */
static void
test_all_groups (void)
{
  printf ("\n");
  for (uint32_t count = 3; count <= 6; count++)
    for (int state = QUORUM_LIVE; state <= QUORUM_LOST; state++)
      walk (count, (enum quorum_state)state);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "all small groups", test_all_groups }, { NULL, NULL } };

  return suite_run ("quorum", tests);
}
