/* Seeded simulation of a Raft group in virtual time, with lost, duplicated and
   reordered messages, network partitions, killed and frozen processes, and
   lost disks.  Usage: test_raft_sim [SEED [COUNT]]  */

#include "core/slog.h"
#include "tests/raft_sim.h"
#include "tests/suite.h"

#define SIM_STEP_US 1000
#define SIM_FAULT_STEPS 60000 /* with faults, before the network is healed */
#define SIM_HEAL_STEPS 30000
#define SIM_SETTLE_STEPS 2000 /* at the end, without client requests */
#define SIM_SEED_COUNT 24

/* Loses a disk only while all voters have theirs, so that a quorum keeps its
   disks.  This is often just after the last lost disk was replaced.  */
static void
sim_lose_disk (struct sim *sim)
{
  uint32_t n = rng_below (&sim->rng, sim->nodes);
  struct raft_status status;
  uint32_t voter_count = 0;

  if (sim_find_leader (sim, &status) == SIM_NODES_MAX)
    return;
  for (uint32_t i = 0; i < status.members.count; i++)
    {
      const struct raft_member *member = &status.members.list[i];

      if (member->learner)
        continue;
      voter_count++;
      if (sim->node[sim_node_of_id (member->id)].id != member->id)
        return;
    }
  if (voter_count != sim->nodes || !sim->acknowledged_index_max
      || status.commit_index < status.last_index)
    return;
  sim_kill_node (sim, n, clk_ms (rng_below (&sim->rng, 3000)));
  sim_clear_disk (sim, n);
}

static void
sim_partition_node (struct sim *sim)
{
  struct raft_status status;
  uint32_t leader = sim_find_leader (sim, &status);
  uint32_t n = rng_below (&sim->rng, sim->nodes);
  uint32_t direction = rng_below (&sim->rng, 3);

  if (leader != SIM_NODES_MAX && rng_below (&sim->rng, 2) == 0)
    n = leader;
  for (uint32_t i = 0; i < sim->nodes; i++)
    {
      sim->link_cut[n][i]
          = direction != 0 && (direction == 2 || rng_below (&sim->rng, 2));
      sim->link_cut[i][n]
          = direction != 1 && (direction == 2 || rng_below (&sim->rng, 2));
    }
  sim->partition_until
      = sim->now
        + clk_ms (rng_below (&sim->rng, direction == 2 ? 20000 : 4000));
  /* Some partitions last for minutes, until the end of the faults.  */
  if (direction == 2 && rng_below (&sim->rng, 8) == 0)
    sim->partition_until = sim->now + clk_s (120);
}

static void
sim_heal_network (struct sim *sim)
{
  memset (sim->link_cut, 0, sizeof sim->link_cut);
  sim->partition_until = 0;
}

static void
sim_inject_fault (struct sim *sim)
{
  uint32_t n = rng_below (&sim->rng, sim->nodes);

  switch (rng_below (&sim->rng, 9))
    {
    case 0:
      sim_kill_node (sim, n, clk_ms (rng_below (&sim->rng, 2000)));
      break;
    case 1:
      if (sim->node[n].raft != NULL)
        sim->node[n].frozen_until
            = sim->now + clk_ms (rng_below (&sim->rng, 3000));
      break;
    case 2:
    case 3:
      sim_partition_node (sim);
      break;
    case 4:
      sim->loss_percent = rng_below (&sim->rng, 2) * rng_below (&sim->rng, 20);
      break;
    case 5:
      if (rng_below (&sim->rng, 4) == 0)
        for (n = 0; n < sim->nodes; n++)
          sim_kill_node (sim, n, clk_ms (rng_below (&sim->rng, 500)));
      break;
    case 6:
      if (sim_is_running (sim, n)
          && raft_transfer_leadership (sim->node[n].raft, sim->now) == SR_OK)
        sim->last_transfer_at = sim->now;
      break;
    case 7:
      sim_lose_disk (sim);
      break;
    case 8:
      if (sim->node[n].raft != NULL && sim->node[n].stop_at == 0)
        sim_stop_node (sim, n, clk_ms (rng_below (&sim->rng, 2000)));
      break;
    }
}

/* Kills a replica that has unsynced writes, often just after it replied.  */
static void
sim_crash_node (struct sim *sim)
{
  uint32_t n = rng_below (&sim->rng, sim->nodes);

  if (list_empty (&sim->node[n].disk.pending))
    return;
  if (rng_below (&sim->rng, 4) != 0)
    sim_disk_drop_pending (&sim->node[n].disk);
  sim_kill_node (sim, n, clk_ms (rng_below (&sim->rng, 100)));
}

static void
sim_step (struct sim *sim)
{
  sim->now += SIM_STEP_US;
  if (sim->partition_until != 0 && sim->partition_until <= sim->now)
    sim_heal_network (sim);
  if (!sim->faults_off && rng_below (&sim->rng, 700) == 0)
    sim_inject_fault (sim);
  if (sim->crash_before_sync && !sim->faults_off
      && rng_below (&sim->rng, 60) == 0)
    sim_crash_node (sim);
  if (!sim->clients_off && rng_below (&sim->rng, 5) == 0)
    sim_send_client_request (sim);
  sim_run_nodes (sim);
}

/* Checks that after healing every voter has every acknowledged command.  */
static void
sim_check_final_state (struct sim *sim)
{
  struct raft_status status;
  uint32_t leader = sim_find_leader (sim, &status);

  sim_check (sim, leader != SIM_NODES_MAX, "no leader after healing", 0);
  if (leader == SIM_NODES_MAX)
    return;
  sim_check (sim, sim_count_voters (&status) == sim->nodes,
             "not all replicas are voters after healing",
             status.members.count);
  for (uint32_t n = 0; n < sim->nodes; n++)
    for (uint32_t c = 1; c <= sim->next_command; c++)
      if (sim->acknowledged[c])
        sim_check (sim, sim->node[n].state.applied[c / 8] >> c % 8 & 1,
                   "acknowledged entry lost", c);
}

/* Runs the simulation with SEED; returns the number of failed checks.  */
static int
sim_run (uint64_t seed)
{
  struct sim *sim = sim_new (seed, seed % 3 == 0 ? 5 : 3);
  int failure_count;

  sim->crash_before_sync = seed % 4 >= 2;
  for (uint32_t i = 0; i < SIM_FAULT_STEPS; i++)
    sim_step (sim);
  sim->faults_off = true;
  sim->loss_percent = 0;
  sim_heal_network (sim);
  for (uint32_t i = 0; i < SIM_HEAL_STEPS; i++)
    {
      sim->clients_off = i > SIM_HEAL_STEPS - SIM_SETTLE_STEPS;
      sim_step (sim);
    }
  sim_check_final_state (sim);
  printf ("seed %llu nodes %u acks %u reads %u kills %u disks lost %u "
          "leaders %u restores %u\n",
          (unsigned long long)seed, sim->nodes, sim->acknowledged_count,
          sim->read_count, sim->kill_count, sim->lost_disk_count,
          sim->leader_count, sim->restore_count);
  failure_count = sim->failure_count;
  sim_free (sim);
  return failure_count;
}

static uint64_t sim_first_seed = 1;
static uint64_t sim_seed_count = SIM_SEED_COUNT;

/* Guards against lost, duplicated or reordered entries, two leaders in a term
   and stale reads, which come about under combinations of faults.  */
static void
test_combined_faults (void)
{
  printf ("\n");
  for (uint64_t seed = sim_first_seed; seed < sim_first_seed + sim_seed_count;
       seed++)
    CU_ASSERT_EQUAL (sim_run (seed), 0);
}

/* Time within which a group with slow disks must accept a command, and
   duration of a sync there: more than the longest election timeout.  */
#define SIM_SLOW_START_US clk_s (20)
#define SIM_SLOW_SYNC_US 1200000

/* Guards against a group that elects no leader because syncs take longer than
   the election timeout: each candidate begins a new term before its own vote,
   or that of another replica, is durable.  */
static void
test_slow_syncs (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct sim *sim = sim_new (seed, seed % 2 == 0 ? 5 : 3);
      clk_us start = sim->now;

      sim->faults_off = true;
      sim->slow_sync_us = SIM_SLOW_SYNC_US;
      while (sim->acknowledged_count == 0
             && sim->now < start + SIM_SLOW_START_US)
        sim_step (sim);
      SUITE_SEEDED (sim->acknowledged_count > 0, seed);
      SUITE_SEEDED (sim->failure_count == 0, seed);
      sim_free (sim);
    }
}

int
main (int argc, char **argv)
{
  static const struct suite_test tests[]
      = { { "combined faults", test_combined_faults },
          { "slow syncs", test_slow_syncs },
          { NULL, NULL } };

  slog_init ("test_raft_sim", SLOG_ERR);
  if (argc > 1)
    sim_first_seed = strtoull (argv[1], NULL, 10);
  if (argc > 1)
    sim_seed_count = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;
  return suite_run ("raft_sim", tests);
}
