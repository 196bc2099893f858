/* Walk through the losses that DEPLOY.md allows, in virtual time: all
   sequences of two (or DEPTH) losses and replacements, each as early as the
   one before it stops counting.  Usage: test_raft_losses [DEPTH]  */

#include "core/slog.h"
#include "tests/raft_sim.h"
#include "tests/suite.h"

#define LOSSES_STEP_US clk_ms (4)
#define LOSSES_DEPTH_MAX 4
/* The platform's catch_up_s, and the time that passes until a machine that was
   killed starts again.  */
#define LOSSES_CATCH_UP_US clk_s (4)
#define LOSSES_DOWN_US clk_ms (500)
/* Time between the end of one loss and the next one.  */
#define LOSSES_GAP_US clk_ms (100)
/* Two losses that the group bears at once are this far apart.  */
#define LOSSES_OVERLAP_US clk_ms (60)
/* Until after the end of a sequence.  */
#define LOSSES_FOREVER_US clk_s (3600)
/* Longest time without a leader that accepts changes.  */
#define LOSSES_LEADER_MAX_US clk_s (3)

enum losses_kind
{
  LOSSES_RESTART,  /* killed, back with its disk */
  LOSSES_DISK,     /* killed, back with an empty disk */
  LOSSES_PAUSE,    /* stopped for longer than the replace timeout */
  LOSSES_STOP,     /* replaced: the new machine first, then SIGTERM */
  LOSSES_STOP_TWO, /* two at once are replaced so */
  LOSSES_REMOVE,   /* killed for good, the new machine later */
  LOSSES_REPLACED, /* the new machine first, then killed for good */
  LOSSES_KIND_COUNT,
};

static const char *const losses_names[LOSSES_KIND_COUNT]
    = { "restart", "disk", "pause", "stop", "stop-two", "remove", "replaced" };

/* Voter that is lost.  */
enum losses_target
{
  LOSSES_LEADER,
  LOSSES_FIRST_FOLLOWER,
  LOSSES_LAST_FOLLOWER,
  LOSSES_TARGET_COUNT,
};

struct losses_event
{
  enum losses_kind kind;
  enum losses_target target;
  bool new_leader; /* the leader was elected a moment ago */
};

#define LOSSES_EVENT_COUNT (LOSSES_KIND_COUNT * LOSSES_TARGET_COUNT * 2)

static struct losses_event
losses_event_of (uint32_t number)
{
  return (struct losses_event){
    .kind = (enum losses_kind) (number % LOSSES_KIND_COUNT),
    .target
    = (enum losses_target) (number / LOSSES_KIND_COUNT % LOSSES_TARGET_COUNT),
    .new_leader = number / LOSSES_KIND_COUNT / LOSSES_TARGET_COUNT % 2 == 1,
  };
}

static void
losses_run_until (struct sim *sim, clk_us until)
{
  while (sim->now < until)
    {
      sim->now += LOSSES_STEP_US;
      if (!sim->clients_off && rng_below (&sim->rng, 4) == 0)
        sim_send_client_request (sim);
      sim_run_nodes (sim);
    }
}

/* Waits for a leader that has committed an entry of its term; returns its
   node, or SIM_NODES_MAX after LOSSES_LEADER_MAX_US.  */
static uint32_t
losses_wait_for_leader (struct sim *sim, struct raft_status *status)
{
  clk_us limit = sim->now + LOSSES_LEADER_MAX_US;

  while (sim->now < limit)
    {
      uint32_t leader = sim_find_leader (sim, status);
      uint32_t acknowledged_count = sim->acknowledged_count;

      losses_run_until (sim, sim->now + clk_ms (100));
      if (leader != SIM_NODES_MAX && sim->node[leader].raft != NULL
          && sim->acknowledged_count > acknowledged_count
          && sim_find_leader (sim, status) == leader)
        return leader;
    }
  return SIM_NODES_MAX;
}

/* Returns the node of a voter: the leader, or the first or last follower.  */
static uint32_t
losses_find_target (const struct raft_status *status,
                    enum losses_target target)
{
  uint32_t found = SIM_NODES_MAX;

  if (target == LOSSES_LEADER)
    return sim_node_of_id (status->leader_id);
  for (uint32_t i = 0; i < status->members.count; i++)
    {
      const struct raft_member *member = &status->members.list[i];

      if (member->learner || member->id == status->leader_id)
        continue;
      if (found == SIM_NODES_MAX || target == LOSSES_LAST_FOLLOWER)
        found = sim_node_of_id (member->id);
    }
  return found;
}

/* Adds a machine that starts at START_AT; returns its node.  */
static uint32_t
losses_add_machine (struct sim *sim, clk_us start_at)
{
  uint32_t n = sim->nodes++;

  INVARIANT (n < SIM_NODES_MAX);
  sim->node[n].down_until = start_at;
  return n;
}

/* Whether SIM has room for the machines that EVENT adds.  */
static bool
losses_has_room (const struct sim *sim, const struct losses_event *event)
{
  switch (event->kind)
    {
    case LOSSES_STOP_TWO:
      return sim->nodes + 2 <= SIM_NODES_MAX;
    case LOSSES_STOP:
    case LOSSES_REMOVE:
    case LOSSES_REPLACED:
      return sim->nodes + 1 <= SIM_NODES_MAX;
    default:
      return true;
    }
}

/* Starts the new machines that come before the loss.  */
static void
losses_prepare (struct sim *sim, const struct losses_event *event)
{
  switch (event->kind)
    {
    case LOSSES_STOP_TWO:
      losses_add_machine (sim, sim->now);
      losses_add_machine (sim, sim->now);
      break;
    case LOSSES_STOP:
    case LOSSES_REPLACED:
      losses_add_machine (sim, sim->now);
      break;
    default:
      return;
    }
  losses_run_until (sim, sim->now + LOSSES_CATCH_UP_US);
}

/* Loses node N; returns the time at which it stops counting as lost, unless
   its process is stopping.  */
static clk_us
losses_strike (struct sim *sim, const struct losses_event *event, uint32_t n)
{
  clk_us start_at = sim->now + LOSSES_DOWN_US;
  struct raft_status status;

  switch (event->kind)
    {
    case LOSSES_RESTART:
      sim_kill_node (sim, n, LOSSES_DOWN_US);
      return start_at + LOSSES_CATCH_UP_US;
    case LOSSES_DISK:
      sim_kill_node (sim, n, LOSSES_DOWN_US);
      sim_clear_disk (sim, n);
      return start_at + LOSSES_CATCH_UP_US;
    case LOSSES_PAUSE:
      sim->node[n].frozen_until = sim->now + clk_s (3);
      return sim->node[n].frozen_until + LOSSES_CATCH_UP_US;
    case LOSSES_STOP_TWO:
      sim_find_leader (sim, &status);
      sim_stop_node (sim, n, LOSSES_FOREVER_US);
      n = losses_find_target (&status, event->target == LOSSES_LAST_FOLLOWER
                                           ? LOSSES_FIRST_FOLLOWER
                                           : LOSSES_LAST_FOLLOWER);
      sim_stop_node (sim, n, LOSSES_FOREVER_US);
      return sim->now;
    case LOSSES_STOP:
      sim_stop_node (sim, n, LOSSES_FOREVER_US);
      return sim->now;
    case LOSSES_REMOVE:
      sim_kill_node (sim, n, LOSSES_FOREVER_US);
      losses_add_machine (sim, start_at);
      return start_at + LOSSES_CATCH_UP_US;
    case LOSSES_REPLACED:
      sim_kill_node (sim, n, LOSSES_FOREVER_US);
      return sim->now + LOSSES_CATCH_UP_US;
    case LOSSES_KIND_COUNT:
      break;
    }
  return sim->now;
}

static bool
losses_is_stopping (const struct sim *sim)
{
  for (uint32_t n = 0; n < sim->nodes; n++)
    if (sim->node[n].raft != NULL && sim->node[n].stop_at != 0)
      return true;
  return false;
}

/* Runs EVENT at a voter; returns the time at which its loss ends, or 0 when
   the group accepted no changes.  */
static clk_us
losses_run_event (struct sim *sim, const struct losses_event *event)
{
  struct raft_status status;
  uint32_t leader;

  losses_prepare (sim, event);
  leader = losses_wait_for_leader (sim, &status);
  if (leader != SIM_NODES_MAX && event->new_leader
      && raft_transfer_leadership (sim->node[leader].raft, sim->now) == SR_OK)
    {
      sim->last_transfer_at = sim->now;
      losses_run_until (sim, sim->now + clk_ms (40));
      leader = sim_find_leader (sim, &status);
    }
  sim_check (sim, leader != SIM_NODES_MAX, "no change was accepted", 0);
  if (leader == SIM_NODES_MAX)
    return 0;
  return losses_strike (sim, event,
                        losses_find_target (&status, event->target));
}

/* Waits until a loss that ends at UNTIL no longer counts.  */
static void
losses_wait_for_end (struct sim *sim, clk_us until)
{
  clk_us limit = sim->now + SIM_STOP_LIMIT_US + clk_s (1);

  while (losses_is_stopping (sim) && sim->now < limit)
    losses_run_until (sim, sim->now + LOSSES_STEP_US);
  losses_run_until (sim, until);
  losses_run_until (sim, sim->now + LOSSES_GAP_US);
}

/* Checks that the group accepts changes, has VOTER_COUNT voters that run, and
   that each of these has all acknowledged entries.  */
static void
losses_check_end (struct sim *sim, uint32_t voter_count)
{
  struct raft_status status;
  uint32_t leader = losses_wait_for_leader (sim, &status);
  uint32_t running_count = 0;

  sim_check (sim, leader != SIM_NODES_MAX, "no change is accepted at the end",
             sim->acknowledged_count);
  sim->clients_off = true;
  losses_run_until (sim, sim->now + clk_s (2));
  if (leader == SIM_NODES_MAX
      || sim_find_leader (sim, &status) == SIM_NODES_MAX)
    return;
  for (uint32_t i = 0; i < status.members.count; i++)
    {
      uint32_t n = sim_node_of_id (status.members.list[i].id);

      if (status.members.list[i].learner || !sim_is_running (sim, n))
        continue;
      running_count++;
      for (uint32_t c = 1; c <= sim->next_command; c++)
        if (sim->acknowledged[c])
          sim_check (sim, sim->node[n].state.applied[c / 8] >> c % 8 & 1,
                     "acknowledged entry lost", c);
    }
  sim_check (sim, running_count >= voter_count,
             "the group has fewer live voters than before", running_count);
}

static struct sim *
losses_new (uint32_t seeds)
{
  struct sim *sim = sim_new (seeds, seeds);

  sim->tolerance.instances = (seeds - 1) / 2;
  sim->replace_timeout = LOSSES_CATCH_UP_US / 2;
  sim->calm_network = true;
  losses_run_until (sim, sim->now + clk_s (3));
  sim->join_running = true;
  return sim;
}

/* Prints the events of a sequence that failed.  */
static void
losses_print (const uint32_t *numbers, uint32_t count)
{
  printf ("sequence:");
  for (uint32_t i = 0; i < count; i++)
    {
      struct losses_event event = losses_event_of (numbers[i]);

      printf (" %s(target %d%s)", losses_names[event.kind], (int)event.target,
              event.new_leader ? ", new leader" : "");
    }
  printf ("\n");
}

/* Runs COUNT events, one after the other or, for OVERLAP, the second and later
   ones while the one before them counts; returns whether all checks hold.  */
static bool
losses_run_sequence (uint32_t seeds, const uint32_t *numbers, uint32_t count,
                     bool overlap)
{
  struct sim *sim = losses_new (seeds);
  clk_us until = sim->now;
  bool holds;

  for (uint32_t i = 0; i < count && sim->failure_count == 0; i++)
    {
      struct losses_event event = losses_event_of (numbers[i]);
      clk_us end;

      if (!losses_has_room (sim, &event))
        break;
      end = losses_run_event (sim, &event);
      until = end > until ? end : until;
      if (overlap && i == 0)
        losses_run_until (sim, sim->now + LOSSES_OVERLAP_US);
      else
        losses_wait_for_end (sim, until);
    }
  if (sim->failure_count == 0)
    losses_check_end (sim, seeds);
  holds = sim->failure_count == 0;
  if (!holds)
    losses_print (numbers, count);
  sim_free (sim);
  return holds;
}

static uint32_t losses_depth = 2;

/* Runs all sequences of DEPTH events; returns how many failed.  */
static uint32_t
losses_walk (uint32_t seeds, uint32_t depth, bool overlap)
{
  uint32_t numbers[LOSSES_DEPTH_MAX] = { 0 };
  uint32_t total = 1;
  uint32_t failed_count = 0;

  for (uint32_t i = 0; i < depth; i++)
    total *= LOSSES_EVENT_COUNT;
  for (uint32_t sequence = 0; sequence < total; sequence++)
    {
      for (uint32_t i = 0, rest = sequence; i < depth; i++)
        {
          numbers[i] = rest % LOSSES_EVENT_COUNT;
          rest /= LOSSES_EVENT_COUNT;
        }
      failed_count += !losses_run_sequence (seeds, numbers, depth, overlap);
    }
  printf ("%u sequences of %u, %u failed\n", total, depth, failed_count);
  return failed_count;
}

/* Guards against a group that ends for good because a machine that has left or
   was lost keeps its vote, although its successor has caught up: three
   machines, one loss at a time.  */
static void
test_losses_one_at_a_time (void)
{
  printf ("\n");
  CU_ASSERT_EQUAL (losses_walk (3, losses_depth, false), 0);
}

/* Guards against the same with five machines, of which two may be lost at
   once.  */
static void
test_losses_two_at_once (void)
{
  printf ("\n");
  CU_ASSERT_EQUAL (losses_walk (5, 2, true), 0);
}

/* Machines in failure domains, each in a region of its own; the first SEEDS
   create the group.  */
struct losses_layout
{
  const char *domains; /* one letter for each machine */
  uint32_t seeds;
  struct member_tolerance tolerance;
};

static const struct losses_layout losses_layouts[] = {
  { "aabc", 3, { .instances = 1, .domains = 1 } },
  { "abac", 3, { .instances = 1, .regions = 1 } },
  { "abc", 3, { .instances = 1, .domains = 1 } },
  { "abcd", 3, { .instances = 1, .domains = 1 } },
  { "aaabc", 3, { .instances = 1, .domains = 1 } },
  { "aabbc", 3, { .instances = 2, .domains = 1 } },
  { "aabbccd", 3, { .instances = 2, .domains = 1 } },
};

/* Kinds of losses of a failure domain.  */
static const enum losses_kind losses_domain_kinds[]
    = { LOSSES_RESTART, LOSSES_DISK, LOSSES_PAUSE, LOSSES_REMOVE };

#define LOSSES_DOMAIN_KIND_COUNT 4
#define LOSSES_DOMAINS_MAX 4
/* One of so many sequences is run, all with a DEPTH above 2.  */
#define LOSSES_DOMAIN_SAMPLE 5
/* With and without a new leader.  */
#define LOSSES_DOMAIN_EVENT_COUNT                                             \
  (LOSSES_DOMAIN_KIND_COUNT * LOSSES_DOMAINS_MAX * 2)

static struct sim *
losses_new_layout (const struct losses_layout *layout)
{
  uint32_t count = (uint32_t)strlen (layout->domains);
  struct sim *sim = sim_new (count, count);
  char domain[] = "a";

  sim->seeds = layout->seeds;
  sim->tolerance = layout->tolerance;
  sim->replace_timeout = LOSSES_CATCH_UP_US / 2;
  sim->calm_network = true;
  for (uint32_t n = 0; n < count; n++)
    {
      domain[0] = layout->domains[n];
      places_set_domain (sim->places, sim->node[n].address, domain);
    }
  losses_run_until (sim, sim->now + clk_s (4));
  sim->join_running = true;
  return sim;
}

/* Loses all machines of DOMAIN, of which DOMAINS has the letters; returns the
   time at which the loss ends.  Adds the letters of new machines.  */
static clk_us
losses_strike_domain (struct sim *sim, enum losses_kind kind, char domain,
                      char domains[SIM_NODES_MAX + 1])
{
  struct losses_event event = { .kind = kind };
  char name[] = { domain, '\0' };
  uint32_t count = sim->nodes;
  clk_us until = sim->now;

  for (uint32_t n = 0; n < count; n++)
    {
      uint32_t added = sim->nodes;
      clk_us end;

      if (domains[n] != domain)
        continue;
      end = losses_strike (sim, &event, n);
      until = end > until ? end : until;
      if (added == sim->nodes)
        continue;
      domains[n] = '-';
      domains[added] = domain;
      places_set_domain (sim->places, sim->node[added].address, name);
    }
  return until;
}

/* Runs the losses of failure domains NUMBERS; returns whether all checks
   hold.  */
static bool
losses_run_domains (const struct losses_layout *layout,
                    const uint32_t *numbers, uint32_t count)
{
  struct sim *sim = losses_new_layout (layout);
  char domains[SIM_NODES_MAX + 1] = "";
  struct raft_status status;
  bool holds;

  memcpy (domains, layout->domains, strlen (layout->domains));
  for (uint32_t i = 0; i < count && sim->failure_count == 0; i++)
    {
      enum losses_kind kind
          = losses_domain_kinds[numbers[i] % LOSSES_DOMAIN_KIND_COUNT];
      char domain = (char)('a'
                           + numbers[i] / LOSSES_DOMAIN_KIND_COUNT
                                 % LOSSES_DOMAINS_MAX);
      uint32_t leader = losses_wait_for_leader (sim, &status);

      sim_check (sim, leader != SIM_NODES_MAX, "no change was accepted", i);
      if (leader == SIM_NODES_MAX || strchr (domains, domain) == NULL
          || sim->nodes + 3 > SIM_NODES_MAX)
        break;
      if (numbers[i] >= LOSSES_DOMAIN_EVENT_COUNT / 2
          && raft_transfer_leadership (sim->node[leader].raft, sim->now)
                 == SR_OK)
        losses_run_until (sim, sim->now + clk_ms (40));
      losses_wait_for_end (sim,
                           losses_strike_domain (sim, kind, domain, domains));
    }
  if (sim->failure_count == 0)
    losses_check_end (sim, 2 * layout->tolerance.instances + 1);
  holds = sim->failure_count == 0;
  if (!holds)
    printf ("layout %s, losses %u %u\n", layout->domains, numbers[0],
            numbers[1]);
  sim_free (sim);
  return holds;
}

/* Guards against votes that are left in one place, where the seeds were, or
   come to be in one by replacements, so that the loss of this place ends the
   group.  */
static void
test_losses_of_domains (void)
{
  uint32_t step = losses_depth > 2 ? 1 : LOSSES_DOMAIN_SAMPLE;
  uint32_t failed_count = 0;
  uint32_t total = 0;

  printf ("\n");
  for (uint32_t i = 0; i < sizeof losses_layouts / sizeof losses_layouts[0];
       i++)
    for (uint32_t first = 0; first < LOSSES_DOMAIN_EVENT_COUNT; first++)
      for (uint32_t second = first % step; second < LOSSES_DOMAIN_EVENT_COUNT;
           second += step)
        {
          const uint32_t numbers[] = { first, second };

          total++;
          failed_count += !losses_run_domains (&losses_layouts[i], numbers, 2);
        }
  printf ("%u sequences of 2, %u failed\n", total, failed_count);
  CU_ASSERT_EQUAL (failed_count, 0);
}

int
main (int argc, char **argv)
{
  static const struct suite_test tests[]
      = { { "losses one at a time", test_losses_one_at_a_time },
          { "losses two at once", test_losses_two_at_once },
          { "losses of failure domains", test_losses_of_domains },
          { NULL, NULL } };

  slog_init ("test_raft_losses", SLOG_ERR);
  if (argc > 1)
    losses_depth = (uint32_t)strtoul (argv[1], NULL, 10);
  if (losses_depth < 1 || losses_depth > LOSSES_DEPTH_MAX)
    {
      fprintf (stderr, "usage: test_raft_losses [DEPTH], 1 to %d\n",
               LOSSES_DEPTH_MAX);
      return 2;
    }
  return suite_run ("raft_losses", tests);
}
