#ifndef TESTS_RAFT_SIM_H
#define TESTS_RAFT_SIM_H

/**
 * DOC: raft_sim - a Raft group in virtual time
 *
 * Replicas with their disks and the network between them.  A test decides
 * which processes, disks and links fail, and when.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/msg.h"
#include "core/rng.h"
#include "log/boot.h"
#include "log/raft.h"

#define SIM_NODES_MAX 8
#define SIM_COMMAND_COUNT 20000
#define SIM_INDEX_COUNT 60000
#define SIM_TERM_COUNT 4000
/* Longest time for which a process that is stopped hands over.  */
#define SIM_STOP_LIMIT_US clk_s (2)

/* State machine: the set of commands that were applied.  */
struct sim_state
{
  uint64_t index;
  uint32_t count;
  uint8_t applied[SIM_COMMAND_COUNT / 8];
};

struct sim_disk
{
  struct raft_persistent_state durable;
  struct list pending; /* struct msg of kind MSG_STORE_WRITE */
  clk_us sync_at;
};

struct sim_node
{
  struct raft *raft;
  struct boot *boot;
  uint64_t id; /* changes when the disk is lost */
  char address[RAFT_ADDRESS_BYTES];
  struct sim_disk disk;
  struct sim_state state;
  clk_us down_until;   /* the process is killed */
  clk_us frozen_until; /* the process is stopped and keeps its inbox */
  clk_us hello_at;
  clk_us stop_at;        /* SIGTERM to the process, 0 for none */
  clk_us stop_down_time; /* time until it starts again after its end */
};

struct sim_packet
{
  struct list_node node;
  clk_us due;
  uint32_t to;
  struct raft_msg *msg;
};

struct sim
{
  struct rng rng;
  uint64_t seed;
  clk_us now;
  uint32_t nodes;
  uint32_t seeds; /* the first nodes, which create the group */
  struct member_tolerance tolerance;
  struct places *places;
  clk_us replace_timeout;
  bool join_running;     /* nodes that start join those that run */
  bool calm_network;     /* no message is duplicated or late */
  uint32_t slow_sync_us; /* average duration of a sync; 0: a few ms */
  struct sim_node node[SIM_NODES_MAX];
  bool link_cut[SIM_NODES_MAX][SIM_NODES_MAX]; /* [from][to] */
  clk_us partition_until;
  uint32_t loss_percent;
  clk_us last_transfer_at; /* of the last leadership transfer */
  struct list packets;     /* by due time */
  uint64_t next_id;
  uint32_t next_command;
  bool crash_before_sync; /* slow disks and many short crashes before a sync */
  bool faults_off;        /* inject no more faults */
  bool clients_off;       /* send no more client requests */
  /* State that the checks of invariants need.  */
  uint32_t command_at_index[SIM_INDEX_COUNT]; /* 0: none applied yet */
  uint32_t index_of_command[SIM_COMMAND_COUNT];
  bool acknowledged[SIM_COMMAND_COUNT];
  uint64_t acknowledged_index_max;
  uint64_t read_index_min[SIM_COMMAND_COUNT];
  uint64_t leader_of_term[SIM_TERM_COUNT];
  /* Coverage of the run.  */
  uint32_t acknowledged_count;
  uint32_t read_count;
  uint32_t lost_disk_count;
  uint32_t kill_count;
  uint32_t leader_count;
  uint32_t restore_count;
  int failure_count;
};

/* Counts a failure when HOLDS is false, and prints the first three.  */
static inline void
sim_check (struct sim *sim, bool holds, const char *failure, uint64_t value)
{
  if (holds)
    return;
  sim->failure_count++;
  if (sim->failure_count <= 3)
    printf ("seed %llu at %llu ms: %s (%llu)\n", (unsigned long long)sim->seed,
            (unsigned long long)(sim->now / 1000), failure,
            (unsigned long long)value);
}

static inline bool
sim_is_running (const struct sim *sim, uint32_t n)
{
  return sim->node[n].raft != NULL && sim->node[n].frozen_until <= sim->now;
}

static inline void
sim_queue_packet (struct sim *sim, struct sim_packet *packet)
{
  struct list_node *pos = &sim->packets.head;

  while (pos->prev != &sim->packets.head
         && list_entry (pos->prev, struct sim_packet, node)->due > packet->due)
    pos = pos->prev;
  list_insert_before (pos, &packet->node);
}

/* Sends MSG; the network may duplicate, delay or lose it.  */
static inline void
sim_send_message (struct sim *sim, uint32_t from, uint32_t to,
                  struct raft_msg *msg)
{
  uint32_t copies
      = !sim->calm_network && rng_below (&sim->rng, 50) == 0 ? 2 : 1;

  if (to >= sim->nodes || sim->link_cut[from][to]
      || rng_below (&sim->rng, 100) < sim->loss_percent)
    copies = 0;
  for (uint32_t i = 0; i < copies; i++)
    {
      struct sim_packet *packet = calloc (1, sizeof *packet);

      packet->due = sim->now + 500 + rng_below (&sim->rng, 3000);
      if (!sim->calm_network && rng_below (&sim->rng, 100) == 0)
        packet->due += rng_below (&sim->rng, 800000);
      packet->to = to;
      packet->msg = raft_msg_copy (msg);
      sim_queue_packet (sim, packet);
    }
  raft_msg_free (msg);
}

/* Returns the number of the node with ADDRESS, or SIM_NODES_MAX.  */
static inline uint32_t
sim_find_node (const struct sim *sim, const char *address)
{
  for (uint32_t n = 0; n < sim->nodes; n++)
    if (strcmp (sim->node[n].address, address) == 0)
      return n;
  return SIM_NODES_MAX;
}

/* Returns the node number that replica ID contains.  */
static inline uint32_t
sim_node_of_id (uint64_t id)
{
  return (uint32_t)(id % 16);
}

static inline struct raft_entry *
sim_raft_entry (struct list_node *node)
{
  return node == NULL ? NULL : list_entry (node, struct raft_entry, node);
}

static inline void
sim_disk_apply_write (struct sim_disk *disk, struct raft_write *write)
{
  struct raft_persistent_state *durable = &disk->durable;
  struct raft_entry *entry;

  if (write->snapshot != NULL)
    {
      raft_snapshot_unref (durable->snapshot);
      durable->snapshot = write->snapshot;
      write->snapshot = NULL;
    }
  while (write->truncate_from != 0
         && (entry = sim_raft_entry (list_last (&durable->entries))) != NULL
         && entry->index >= write->truncate_from)
    {
      list_remove (&entry->node);
      raft_entry_free (entry);
    }
  list_splice_tail (&durable->entries, &write->entries);
  while (durable->snapshot != NULL
         && (entry = sim_raft_entry (list_first (&durable->entries))) != NULL
         && entry->index <= durable->snapshot->index)
    {
      list_remove (&entry->node);
      raft_entry_free (entry);
    }
  durable->hard_state = write->hard_state;
}

/* Makes the COUNT oldest pending writes durable; returns the sequence number
   of the last one, or 0 if there is none.  */
static inline uint64_t
sim_disk_sync (struct sim_disk *disk, uint32_t count)
{
  uint64_t sequence = 0;
  struct list_node *node;

  while (count-- > 0 && (node = list_pop_head (&disk->pending)) != NULL)
    {
      struct msg *msg = list_entry (node, struct msg, node);

      sequence = msg->u.store_write->sequence;
      sim_disk_apply_write (disk, msg->u.store_write);
      msg_free (msg);
    }
  return sequence;
}

static inline void
sim_disk_drop_pending (struct sim_disk *disk)
{
  struct list_node *node;

  while ((node = list_pop_head (&disk->pending)) != NULL)
    msg_free (list_entry (node, struct msg, node));
}

static inline void
sim_copy_loaded (const struct raft_persistent_state *from,
                 struct raft_persistent_state *to)
{
  raft_persistent_state_init (to);
  to->hard_state = from->hard_state;
  to->snapshot = raft_snapshot_ref (from->snapshot);
  list_each (node, &from->entries)
    list_push_tail (&to->entries,
                    &raft_entry_copy (sim_raft_entry (node))->node);
}

static inline void
sim_start_node (struct sim *sim, uint32_t n)
{
  struct sim_node *node = &sim->node[n];
  struct raft_opts opts = { 0 };
  struct boot_opts boot = { 0 };
  struct raft_persistent_state loaded;

  if (node->id == 0)
    node->id = 16 * ++sim->next_id + n;
  boot.id = node->id;
  boot.group_exists = n >= sim->seeds;
  memcpy (boot.address, node->address, sizeof boot.address);
  for (uint32_t i = 0; i < sim->nodes && boot.join_count < sim->seeds; i++)
    if (!sim->join_running || sim->node[i].raft != NULL)
      memcpy (boot.join[boot.join_count++], sim->node[i].address,
              RAFT_ADDRESS_BYTES);
  node->boot = boot_new (&boot);
  raft_opts_default (&opts);
  opts.id = node->id;
  memcpy (opts.address, node->address, sizeof opts.address);
  opts.peers_digest = boot_peers_digest (node->boot);
  opts.seed = rng_below (&sim->rng, 1u << 30);
  opts.snapshot_interval_entries = 40;
  opts.replace_timeout = sim->replace_timeout;
  opts.tolerance = sim->tolerance;
  opts.places = sim->places;
  sim_copy_loaded (&node->disk.durable, &loaded);
  node->state = (struct sim_state){ 0 };
  node->hello_at = sim->now;
  node->stop_at = 0;
  node->raft = raft_new (&opts, &loaded, sim->now);
}

static inline void
sim_kill_node (struct sim *sim, uint32_t n, clk_us down_time)
{
  struct sim_node *node = &sim->node[n];

  node->down_until = sim->now + down_time;
  node->frozen_until = 0;
  if (node->raft == NULL)
    return;
  sim->kill_count++;
  raft_free (node->raft);
  boot_free (node->boot);
  node->raft = NULL;
  node->boot = NULL;
  /* Some of the writes that were not synced survive.  */
  sim_disk_sync (&node->disk, rng_below (&sim->rng, 3));
  sim_disk_drop_pending (&node->disk);
}

static inline void
sim_apply_entry (struct sim *sim, struct sim_node *node,
                 const struct raft_out_apply *apply)
{
  const struct raft_entry *entry = apply->entry;
  uint32_t command;

  INVARIANT (entry->len == sizeof command && entry->index < SIM_INDEX_COUNT);
  memcpy (&command, entry->data, sizeof command);
  sim_check (sim, entry->index > node->state.index, "entry applied twice",
             entry->index);
  sim_check (sim, (node->state.applied[command / 8] >> command % 8 & 1) == 0,
             "command applied twice", command);
  if (sim->command_at_index[entry->index] == 0)
    {
      sim_check (sim, sim->index_of_command[command] == 0,
                 "command at two indexes", command);
      sim->command_at_index[entry->index] = command;
      sim->index_of_command[command] = (uint32_t)entry->index;
    }
  sim_check (sim, sim->command_at_index[entry->index] == command,
             "replicas apply different commands at one index", entry->index);
  node->state.index = entry->index;
  node->state.count++;
  node->state.applied[command / 8] |= (uint8_t)(1 << command % 8);
  if (!apply->proposed_here)
    return;
  sim_check (sim, apply->request_id == command,
             "result has the id of another request", command);
  sim->acknowledged[command] = true;
  sim->acknowledged_count++;
  if (entry->index > sim->acknowledged_index_max)
    sim->acknowledged_index_max = entry->index;
}

static inline void
sim_take_snapshot (struct sim_node *node, uint64_t index)
{
  /* Some snapshots are larger than one chunk.  */
  size_t len = sizeof node->state + (index % 3 == 0 ? 150000 : 0);
  uint8_t *data = calloc (1, len);

  memcpy (data, &node->state, sizeof node->state);
  raft_store_snapshot (node->raft, index, data, len);
}

static inline void
sim_check_leader (struct sim *sim, struct sim_node *node)
{
  struct raft_status status;

  raft_get_status (node->raft, &status);
  if (status.role != RAFT_LEADER)
    return;
  INVARIANT (status.term < SIM_TERM_COUNT);
  sim->leader_count++;
  sim_check (sim,
             sim->leader_of_term[status.term] == 0
                 || sim->leader_of_term[status.term] == node->id,
             "two leaders in one term", status.term);
  sim->leader_of_term[status.term] = node->id;
}

static inline clk_us
sim_sync_duration (struct sim *sim)
{
  if (sim->slow_sync_us != 0)
    return sim->slow_sync_us / 2 + rng_below (&sim->rng, sim->slow_sync_us);
  if (sim->crash_before_sync && rng_below (&sim->rng, 3) == 0)
    return rng_below (&sim->rng, 150000);
  return 200 + rng_below (&sim->rng, 4000);
}

static inline void
sim_handle_output (struct sim *sim, uint32_t n, struct raft_out *out)
{
  struct sim_node *node = &sim->node[n];
  struct msg *write;

  switch (out->kind)
    {
    case RAFT_OUT_SEND:
      sim_send_message (sim, n, sim_node_of_id (out->u.send->to), out->u.send);
      out->u.send = NULL;
      break;
    case RAFT_OUT_WRITE:
      if (list_empty (&node->disk.pending))
        node->disk.sync_at = sim->now + sim_sync_duration (sim);
      write = msg_new (MSG_STORE_WRITE);
      write->u.store_write = out->u.write;
      out->u.write = NULL;
      list_push_tail (&node->disk.pending, &write->node);
      break;
    case RAFT_OUT_APPLY:
      sim_apply_entry (sim, node, &out->u.apply);
      break;
    case RAFT_OUT_RESTORE:
      sim->restore_count++;
      memcpy (&node->state, out->u.restore->data, sizeof node->state);
      break;
    case RAFT_OUT_READ_CONFIRMED:
      sim->read_count++;
      sim_check (
          sim,
          node->state.index >= sim->read_index_min[out->u.read_request_id],
          "read is older than an acknowledged entry", out->u.read_request_id);
      break;
    case RAFT_OUT_ROLE_CHANGED:
      sim_check_leader (sim, node);
      break;
    case RAFT_OUT_TAKE_SNAPSHOT:
      sim_take_snapshot (node, out->u.snapshot_index);
      break;
    case RAFT_OUT_REFUSED:
    case RAFT_OUT_MEMBERS_CHANGED:
      break;
    case RAFT_OUT_ENTRIES_LOST:
      sim_check (sim, false,
                 "lost entries reported although the disk kept what it synced",
                 out->u.lost.acknowledged_index);
      break;
    }
  raft_out_free (out);
}

/* First start of a replica, and rejoin of one that no leader contacts.  */
static inline void
sim_boot_node (struct sim *sim, uint32_t n)
{
  struct sim_node *node = &sim->node[n];
  struct raft_status status;
  struct boot_step step;
  struct raft_msg *hello;

  raft_get_status (node->raft, &status);
  if (status.is_member
      && status.last_leader_contact + clk_ms (1500) > sim->now)
    return;
  for (;;)
    {
      boot_next_step (node->boot, status.last_index == 0, sim->now, &step);
      switch (step.kind)
        {
        case BOOT_WAIT:
          return;
        case BOOT_HELLO:
          hello = raft_msg_new (RAFT_HELLO);
          hello->from = node->id;
          memcpy (hello->address, node->address, sizeof hello->address);
          sim_send_message (sim, n, sim_find_node (sim, step.u.address),
                            hello);
          break;
        case BOOT_CREATE:
          raft_bootstrap (node->raft, &step.u.create.members,
                          step.u.create.term, sim->now);
          return;
        }
    }
}

/* Loses the disk of node N, whose process is not running.  */
static inline void
sim_clear_disk (struct sim *sim, uint32_t n)
{
  sim_disk_drop_pending (&sim->node[n].disk);
  raft_persistent_state_clear (&sim->node[n].disk.durable);
  sim->node[n].id = 0;
  sim->lost_disk_count++;
}

/* Sends SIGTERM to node N, which starts again DOWN_TIME after its end.  */
static inline void
sim_stop_node (struct sim *sim, uint32_t n, clk_us down_time)
{
  sim->node[n].stop_at = sim->now;
  sim->node[n].stop_down_time = down_time;
}

/* Continues the graceful stop of node N, as the control task does.  */
static inline void
sim_continue_stop (struct sim *sim, uint32_t n)
{
  struct sim_node *node = &sim->node[n];
  bool leads = raft_transfer_leadership (node->raft, sim->now) == SR_OK;
  bool votes = raft_leave (node->raft, sim->now);

  if (leads)
    sim->last_transfer_at = sim->now;
  if ((!leads && !votes) || sim->now >= node->stop_at + SIM_STOP_LIMIT_US)
    sim_kill_node (sim, n, node->stop_down_time);
}

static inline void
sim_run_node (struct sim *sim, uint32_t n)
{
  struct sim_node *node = &sim->node[n];
  struct raft_out *out;
  uint64_t sequence;

  if (node->raft == NULL && node->down_until <= sim->now)
    sim_start_node (sim, n);
  if (!sim_is_running (sim, n))
    return;
  if (!list_empty (&node->disk.pending) && node->disk.sync_at <= sim->now)
    {
      sequence = sim_disk_sync (&node->disk, UINT32_MAX);
      raft_handle_synced (node->raft, sequence, sim->now);
    }
  raft_tick (node->raft, sim->now);
  sim_boot_node (sim, n);
  if (node->stop_at != 0)
    sim_continue_stop (sim, n);
  if (node->raft == NULL)
    return;
  while ((out = raft_next_output (node->raft)) != NULL)
    sim_handle_output (sim, n, out);
}

static inline void
sim_deliver_packets (struct sim *sim)
{
  struct list_node *first;

  while ((first = list_first (&sim->packets)) != NULL)
    {
      struct sim_packet *packet = list_entry (first, struct sim_packet, node);
      struct sim_node *node = &sim->node[packet->to];

      if (packet->due > sim->now)
        return;
      list_remove (first);
      if (node->raft != NULL && !sim_is_running (sim, packet->to))
        {
          /* The messages stay in the inbox of the frozen process.  */
          packet->due = node->frozen_until;
          sim_queue_packet (sim, packet);
          continue;
        }
      if (node->raft == NULL)
        raft_msg_free (packet->msg);
      else
        {
          if (packet->msg->kind == RAFT_HELLO_REPLY)
            boot_handle_reply (node->boot, packet->msg->address, packet->msg,
                               sim->now);
          raft_handle_message (node->raft, packet->msg, sim->now);
        }
      free (packet);
    }
}

/* Sends a proposal or a read to a random replica, if it is a leader.  */
static inline void
sim_send_client_request (struct sim *sim)
{
  uint32_t n = rng_below (&sim->rng, sim->nodes);
  struct raft_status status;
  uint32_t command;
  uint8_t *data;

  if (!sim_is_running (sim, n) || sim->next_command + 1 >= SIM_COMMAND_COUNT)
    return;
  raft_get_status (sim->node[n].raft, &status);
  if (status.role != RAFT_LEADER)
    return;
  command = ++sim->next_command;
  if (rng_below (&sim->rng, 3) == 0)
    {
      sim->read_index_min[command] = sim->acknowledged_index_max;
      raft_read_index (sim->node[n].raft, command, sim->now);
      return;
    }
  data = malloc (sizeof command);
  memcpy (data, &command, sizeof command);
  raft_propose (sim->node[n].raft, command, sim->now / 1000, data,
                sizeof command, sim->now);
}

/* Returns the leader of the highest term, with its status, or
   SIM_NODES_MAX.  */
static inline uint32_t
sim_find_leader (const struct sim *sim, struct raft_status *status)
{
  uint32_t leader = SIM_NODES_MAX;
  struct raft_status node_status;

  for (uint32_t n = 0; n < sim->nodes; n++)
    {
      if (!sim_is_running (sim, n))
        continue;
      raft_get_status (sim->node[n].raft, &node_status);
      if (node_status.role == RAFT_LEADER
          && (leader == SIM_NODES_MAX || node_status.term > status->term))
        {
          leader = n;
          *status = node_status;
        }
    }
  return leader;
}

/* Checks that there is at most one leader: its lease expires before another
   one is elected.  Only a leadership transfer may leave two for a short
   time.  */
static inline void
sim_check_leases (struct sim *sim)
{
  struct raft_status status;
  uint32_t leader_count = 0;

  for (uint32_t n = 0; n < sim->nodes; n++)
    {
      if (!sim_is_running (sim, n))
        continue;
      raft_get_status (sim->node[n].raft, &status);
      leader_count += status.role == RAFT_LEADER ? 1 : 0;
    }
  sim_check (sim,
             leader_count < 2 || sim->last_transfer_at + clk_s (2) > sim->now,
             "two leaders without a leadership transfer", leader_count);
}

/* Runs the network and all nodes up to the present time.  */
static inline void
sim_run_nodes (struct sim *sim)
{
  sim_deliver_packets (sim);
  for (uint32_t n = 0; n < sim->nodes; n++)
    sim_run_node (sim, n);
  sim_check_leases (sim);
}

/* Returns a simulation of NODES replicas that create a group.  */
static inline struct sim *
sim_new (uint64_t seed, uint32_t nodes)
{
  struct sim *sim = calloc (1, sizeof *sim);

  INVARIANT (sim != NULL && nodes <= SIM_NODES_MAX);
  sim->seed = seed;
  rng_seed (&sim->rng, seed);
  sim->now = clk_s (10);
  sim->nodes = nodes;
  sim->seeds = nodes;
  sim->tolerance.instances = (RAFT_VOTERS_MAX - 1) / 2;
  sim->places = places_new ();
  sim->replace_timeout = clk_s (20);
  list_init (&sim->packets);
  for (uint32_t n = 0; n < SIM_NODES_MAX; n++)
    {
      snprintf (sim->node[n].address, RAFT_ADDRESS_BYTES, "127.0.0.1:%u",
                7000 + n);
      list_init (&sim->node[n].disk.pending);
      raft_persistent_state_init (&sim->node[n].disk.durable);
    }
  return sim;
}

static inline uint32_t
sim_count_voters (const struct raft_status *status)
{
  uint32_t voter_count = 0;

  for (uint32_t i = 0; i < status->members.count; i++)
    voter_count += status->members.list[i].learner ? 0 : 1;
  return voter_count;
}

static inline void
sim_free (struct sim *sim)
{
  struct list_node *node;

  while ((node = list_pop_head (&sim->packets)) != NULL)
    {
      struct sim_packet *packet = list_entry (node, struct sim_packet, node);

      raft_msg_free (packet->msg);
      free (packet);
    }
  for (uint32_t n = 0; n < sim->nodes; n++)
    {
      sim_kill_node (sim, n, 0);
      raft_persistent_state_clear (&sim->node[n].disk.durable);
    }
  places_free (sim->places);
  free (sim);
}

#endif
