#include "tasks/replica.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/err.h"
#include "core/slog.h"
#include "log/boot.h"

/* A member without messages of a leader for this long sends hello messages,
   because it may have been removed while it was unreachable.  */
#define REPLICA_LEADER_SILENCE_US (clk_ms (1500))
/* Losses that the voters do not bear for longer than a replacement takes are
   logged.  */
#define REPLICA_UNMET_US (clk_s (10))
/* Maximum sender addresses kept; it only bounds memory.  */
#define REPLICA_SENDERS_MAX 32

/* Address that a replica last sent from.  */
struct replica_sender
{
  struct list_node node;
  uint64_t id;
  char address[RAFT_ADDRESS_BYTES];
};

struct replica_group
{
  struct raft *raft;
  struct boot *boot;
  uint64_t members_logged; /* log index of the membership logged last */
  clk_us unmet_since;      /* the tolerance is not met since then, or 0 */
  clk_us unmet_counted;    /* time up to which that is counted */
  bool unmet_logged;
};

struct replica_out_item
{
  struct list_node node;
  struct replica_out out;
};

struct replica
{
  struct replica_opts opts;
  struct replica_group groups[MSG_GROUP_COUNT];
  struct cfg *cfg;
  struct claim *claim;
  struct places *places;         /* of the control replicas */
  struct member_tolerance asked; /* by the settings */
  struct list senders;           /* struct replica_sender, newest first */
  uint32_t sender_count;
  struct list outputs; /* struct replica_out_item */
  bool failed;         /* all calls and outputs are ignored */
};

void
replica_opts_default (struct replica_opts *opts)
{
  struct raft_opts raft;

  raft_opts_default (&raft);
  opts->snapshot_interval_entries = raft.snapshot_interval_entries;
  opts->heartbeat_interval = raft.heartbeat_interval;
  opts->election_timeout_min = raft.election_timeout_min;
  opts->election_timeout_max = raft.election_timeout_max;
  opts->lease_duration = raft.lease_duration;
  opts->replace_timeout = raft.replace_timeout;
  opts->tolerance = raft.tolerance;
  opts->group_exists = false;
  opts->config.results_max = 4096;
  /* Defaults for claims that do not carry the times and the bound of the
     configuration.  The bound is the largest that a document may set.  */
  opts->claims.retention_ms = 72ull * 3600 * 1000;
  opts->claims.keys_max = 10000000;
  opts->claims.bytes_max = 64ull * 1024 * 1024;
}

static struct replica_out *
replica_queue_output (struct replica *replica, enum replica_out_kind kind)
{
  struct replica_out_item *item = calloc (1, sizeof *item);

  INVARIANT (item != NULL);
  item->out.kind = kind;
  list_push_tail (&replica->outputs, &item->node);
  return &item->out;
}

static void
replica_fail (struct replica *replica, const char *component,
              const char *reason)
{
  struct replica_out *out;

  if (replica->failed)
    return;
  replica->failed = true;
  out = replica_queue_output (replica, REPLICA_FATAL);
  snprintf (out->u.fatal, sizeof out->u.fatal, "%s: %.200s", component,
            reason);
}

/* Creates the log and the bootstrap state of one group.  */
static bool
replica_open_group (struct replica *replica, uint32_t group_id, clk_us now)
{
  const struct replica_opts *opts = &replica->opts;
  struct replica_group *group = &replica->groups[group_id];
  struct boot_opts boot = { .id = opts->id,
                            .group_exists = opts->group_exists,
                            .join_count = opts->join_count };
  struct raft_opts raft
      = { .id = opts->id,
          .group = group_id,
          .seed = opts->seed + group_id,
          .snapshot_interval_entries = opts->snapshot_interval_entries,
          .heartbeat_interval = opts->heartbeat_interval,
          .election_timeout_min = opts->election_timeout_min,
          .election_timeout_max = opts->election_timeout_max,
          .lease_duration = opts->lease_duration,
          .replace_timeout = opts->replace_timeout,
          .tolerance = opts->tolerance,
          .places = replica->places };

  memcpy (boot.address, opts->address, sizeof boot.address);
  memcpy (boot.join, opts->join, sizeof boot.join);
  group->boot = boot_new (&boot);
  if (group->boot == NULL)
    return false;
  memcpy (raft.address, opts->address, sizeof raft.address);
  raft.peers_digest = boot_peers_digest (group->boot);
  group->raft = raft_new (&raft, opts->loaded[group_id], now);
  return true;
}

struct replica *
replica_new (const struct replica_opts *opts, clk_us now)
{
  struct replica *replica = calloc (1, sizeof *replica);

  INVARIANT (replica != NULL);
  replica->opts = *opts;
  list_init (&replica->senders);
  list_init (&replica->outputs);
  replica->cfg = cfg_new (&opts->config);
  replica->claim = claim_new (&opts->claims);
  replica->places = places_new ();
  INVARIANT (replica->cfg != NULL && replica->claim != NULL);
  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    if (!replica_open_group (replica, i, now))
      {
        replica_free (replica);
        return NULL;
      }
  return replica;
}

void
replica_free (struct replica *replica)
{
  struct list_node *node;

  if (replica == NULL)
    return;
  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    {
      raft_free (replica->groups[i].raft);
      boot_free (replica->groups[i].boot);
    }
  cfg_free (replica->cfg);
  claim_free (replica->claim);
  places_free (replica->places);
  while ((node = list_pop_head (&replica->senders)) != NULL)
    free (list_entry (node, struct replica_sender, node));
  while ((node = list_pop_head (&replica->outputs)) != NULL)
    {
      struct replica_out_item *item
          = list_entry (node, struct replica_out_item, node);

      replica_out_clear (&item->out);
      free (item);
    }
  free (replica);
}

void
replica_set_tolerance (struct replica *replica,
                       const struct member_tolerance *tolerance)
{
  struct member_tolerance effective = *tolerance;

  /* Also when nothing is asked for, a group outlives one disk if it can.  */
  if (effective.instances == 0)
    effective.instances = 1;
  replica->asked = *tolerance;
  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    raft_set_tolerance (replica->groups[i].raft, &effective);
}

void
replica_set_region (struct replica *replica, const char *domain,
                    const char *region)
{
  places_set_region (replica->places, domain, region);
}

void
replica_set_domain (struct replica *replica, const char *address,
                    const char *domain)
{
  places_set_domain (replica->places, address, domain);
}

static void
replica_queue_send (struct replica *replica, uint32_t group,
                    const char *address, struct raft_msg *msg)
{
  struct replica_out *out = replica_queue_output (replica, REPLICA_SEND);

  memcpy (out->u.send.address, address,
          strnlen (address, RAFT_ADDRESS_BYTES - 1));
  out->u.send.group = (enum msg_group)group;
  out->u.send.msg = msg;
}

static void
replica_send_hello (struct replica *replica, uint32_t group,
                    const char *address)
{
  struct raft_msg *msg = raft_msg_new (RAFT_HELLO);

  msg->from = replica->opts.id;
  memcpy (msg->address, replica->opts.address, sizeof msg->address);
  msg->u.hello.peers_digest = boot_peers_digest (replica->groups[group].boot);
  replica_queue_send (replica, group, address, msg);
}

/* Discovers the group while no leader sends messages to this replica; returns
   the time of the next step.  */
static clk_us
replica_discover_group (struct replica *replica, uint32_t group_id, clk_us now)
{
  struct replica_group *group = &replica->groups[group_id];
  struct raft_status status;
  struct boot_step step;

  raft_get_status (group->raft, &status);
  if (status.is_member
      && status.last_leader_contact + REPLICA_LEADER_SILENCE_US > now)
    return status.last_leader_contact + REPLICA_LEADER_SILENCE_US;
  for (;;)
    {
      boot_next_step (group->boot, status.last_index == 0, now, &step);
      switch (step.kind)
        {
        case BOOT_WAIT:
          return step.u.wait_until;
        case BOOT_HELLO:
          replica_send_hello (replica, group_id, step.u.address);
          break;
        case BOOT_CREATE:
          slog (SLOG_NOTICE, "creating log group group=%u members=%u",
                group_id, step.u.create.members.count);
          raft_bootstrap (group->raft, &step.u.create.members,
                          step.u.create.term, now);
          return now;
        }
    }
}

/* Logs and counts the time for which the voters of a group that is led here do
   not bear the losses that the settings name.  */
static void
replica_check_tolerance (struct replica *replica, uint32_t group_id,
                         clk_us now)
{
  struct replica_group *group = &replica->groups[group_id];
  struct member_tolerance missing
      = raft_missing_tolerance (group->raft, &replica->asked, now);

  if (missing.instances + missing.domains + missing.regions == 0)
    {
      if (group->unmet_logged)
        slog (SLOG_NOTICE, "tolerance is met again group=%u", group_id);
      group->unmet_since = 0;
      group->unmet_logged = false;
      return;
    }
  if (group->unmet_since == 0)
    group->unmet_since = group->unmet_counted = now;
  while (now - group->unmet_counted >= clk_s (1))
    {
      group->unmet_counted += clk_s (1);
      counter_add (COUNTER_TOLERANCE_UNMET, 1);
    }
  if (group->unmet_logged || now - group->unmet_since < REPLICA_UNMET_US)
    return;
  group->unmet_logged = true;
  slog (SLOG_WARNING,
        "tolerance is not met group=%u missing_instances=%u "
        "missing_domains=%u missing_regions=%u",
        group_id, missing.instances, missing.domains, missing.regions);
}

clk_us
replica_tick (struct replica *replica, clk_us now)
{
  clk_us next = now + replica->opts.heartbeat_interval;

  if (replica->failed)
    return next;
  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    {
      clk_us boot = replica_discover_group (replica, i, now);
      clk_us raft = raft_tick (replica->groups[i].raft, now);

      replica_check_tolerance (replica, i, now);
      next = raft < next ? raft : next;
      next = boot < next ? boot : next;
    }
  return next;
}

/* Records the address that a replica sends from.  */
static void
replica_update_sender (struct replica *replica, uint64_t id,
                       const char *address)
{
  struct replica_sender *sender = NULL;

  list_each (node, &replica->senders)
    if (list_entry (node, struct replica_sender, node)->id == id)
      sender = list_entry (node, struct replica_sender, node);
  if (sender == NULL && replica->sender_count == REPLICA_SENDERS_MAX)
    sender = list_entry (list_last (&replica->senders), struct replica_sender,
                         node);
  if (sender == NULL)
    {
      sender = calloc (1, sizeof *sender);
      INVARIANT (sender != NULL);
      replica->sender_count++;
    }
  sender->id = id;
  memset (sender->address, 0, sizeof sender->address);
  memcpy (sender->address, address, strnlen (address, RAFT_ADDRESS_BYTES - 1));
  list_remove (&sender->node);
  list_push_head (&replica->senders, &sender->node);
}

/* Returns the address of replica ID, or NULL.  The address it last sent from
   comes first, because it may have changed since the membership was
   written.  */
static const char *
replica_address (const struct replica *replica, uint32_t group, uint64_t id)
{
  list_each (node, &replica->senders)
    {
      const struct replica_sender *sender
          = list_entry (node, struct replica_sender, node);

      if (sender->id == id)
        return sender->address;
    }
  return raft_member_address (replica->groups[group].raft, id);
}

void
replica_handle_message (struct replica *replica, const char *from_address,
                        enum msg_group group, struct raft_msg *msg, clk_us now)
{
  struct replica_group *target = &replica->groups[group];

  if (replica->failed)
    {
      raft_msg_free (msg);
      return;
    }
  if (msg->address[0] == '\0')
    memcpy (msg->address, from_address,
            strnlen (from_address, RAFT_ADDRESS_BYTES - 1));
  if (msg->address[0] != '\0')
    replica_update_sender (replica, msg->from, msg->address);
  if (msg->kind == RAFT_HELLO_REPLY)
    {
      boot_handle_reply (target->boot, msg->address, msg, now);
      raft_msg_free (msg);
      return;
    }
  raft_handle_message (target->raft, msg, now);
}

void
replica_propose (struct replica *replica, enum msg_group group,
                 uint64_t request_id, const uint8_t *data, size_t len,
                 clk_us now)
{
  uint8_t *copy;

  if (replica->failed)
    return;
  copy = malloc (len + 1);
  INVARIANT (copy != NULL);
  if (len > 0)
    memcpy (copy, data, len);
  raft_propose (replica->groups[group].raft, request_id, clk_wall_ms (), copy,
                len, now);
}

void
replica_read (struct replica *replica, uint64_t request_id, clk_us now)
{
  if (!replica->failed)
    raft_read_index (replica->groups[MSG_GROUP_CONFIG].raft, request_id, now);
}

void
replica_handle_store_done (struct replica *replica,
                           const struct raft_write_done *done, clk_us now)
{
  if (replica->failed)
    return;
  if (done->status != SR_OK)
    {
      replica_fail (replica, "store", done->error);
      return;
    }
  raft_handle_synced (replica->groups[done->group].raft, done->sequence, now);
}

bool
replica_leave (struct replica *replica, clk_us now)
{
  bool open = false;

  for (uint32_t i = 0; i < MSG_GROUP_COUNT && !replica->failed; i++)
    open |= raft_leave (replica->groups[i].raft, now);
  return open;
}

int
replica_transfer_leadership (struct replica *replica, clk_us now)
{
  int result = SR_OK;

  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    if (raft_transfer_leadership (replica->groups[i].raft, now) == SR_OK)
      result = SR_EAGAIN;
  return result;
}

void
replica_status (const struct replica *replica, enum msg_group group,
                struct raft_status *status)
{
  raft_get_status (replica->groups[group].raft, status);
}

void
replica_config (const struct replica *replica,
                struct member_config_version *version, const char **document,
                size_t *len)
{
  *version = cfg_version (replica->cfg);
  *document = cfg_document (replica->cfg, len);
}

static struct msg_result *
replica_queue_result (struct replica *replica, uint32_t group,
                      uint64_t request_id, int status)
{
  struct replica_out *out = replica_queue_output (replica, REPLICA_RESULT);

  out->u.result.group = (enum msg_group)group;
  out->u.result.result.request_id = request_id;
  out->u.result.result.status = status;
  return &out->u.result.result;
}

/* Applies an entry to the configuration; encodes the result for the
   proposer.  */
static int
replica_apply_config (struct replica *replica, const struct raft_entry *entry,
                      struct msg_result *result)
{
  uint64_t before = cfg_version (replica->cfg).number;
  struct cfg_result applied;
  int status = cfg_apply (replica->cfg, entry->term, entry->index, entry->data,
                          entry->len, &applied);

  if (cfg_version (replica->cfg).number != before)
    replica_queue_output (replica, REPLICA_CONFIG_CHANGED);
  if (status == SR_OK && result != NULL)
    status = cfg_result_encode (&applied, &result->data, &result->len);
  return status;
}

static int
replica_apply_claim (struct replica *replica, const struct raft_entry *entry,
                     struct msg_result *result)
{
  struct claim_result applied;
  int status = claim_apply (replica->claim, entry->timestamp_ms, entry->data,
                            entry->len, &applied);

  if (status == SR_OK && result != NULL)
    status = claim_result_encode (&applied, &result->data, &result->len);
  return status;
}

static void
replica_apply (struct replica *replica, uint32_t group,
               const struct raft_out_apply *apply)
{
  struct msg_result *result = NULL;
  int status;

  if (apply->proposed_here)
    result = replica_queue_result (replica, group, apply->request_id, SR_OK);
  status = group == MSG_GROUP_CONFIG
               ? replica_apply_config (replica, apply->entry, result)
               : replica_apply_claim (replica, apply->entry, result);
  if (result != NULL)
    result->status = status;
  /* A command that cannot be decoded changes nothing on any replica.  One
     that runs out of memory here would make this replica diverge from the
     others.  */
  if (status == SR_ENOMEM || status == SR_EINVAL)
    replica_fail (replica, "state machine", sr_strerror (status));
}

static void
replica_restore (struct replica *replica, uint32_t group,
                 const struct raft_snapshot *snapshot)
{
  int status
      = group == MSG_GROUP_CONFIG
            ? cfg_restore (replica->cfg, snapshot->data, snapshot->len)
            : claim_restore (replica->claim, snapshot->data, snapshot->len);

  if (status != SR_OK)
    replica_fail (replica, "snapshot", sr_strerror (status));
  else if (group == MSG_GROUP_CONFIG)
    replica_queue_output (replica, REPLICA_CONFIG_CHANGED);
}

static void
replica_take_snapshot (struct replica *replica, uint32_t group, uint64_t index)
{
  uint8_t *data = NULL;
  size_t len = 0;
  int status = group == MSG_GROUP_CONFIG
                   ? cfg_snapshot (replica->cfg, &data, &len)
                   : claim_snapshot (replica->claim, &data, &len);

  if (status == SR_OK)
    raft_store_snapshot (replica->groups[group].raft, index, data, len);
  else
    replica_fail (replica, "snapshot", sr_strerror (status));
}

static void
replica_answer_read (struct replica *replica, uint32_t group,
                     uint64_t request_id)
{
  struct msg_result *result
      = replica_queue_result (replica, group, request_id, SR_OK);
  size_t len = 0;
  const char *document = cfg_document (replica->cfg, &len);

  result->version = cfg_version (replica->cfg);
  if (document == NULL || len == 0)
    return;
  result->data = malloc (len);
  INVARIANT (result->data != NULL);
  memcpy (result->data, document, len);
  result->len = len;
}

static void
replica_send_to_member (struct replica *replica, uint32_t group,
                        struct raft_msg *msg)
{
  const char *address = replica_address (replica, group, msg->to);

  if (address == NULL)
    raft_msg_free (msg);
  else
    replica_queue_send (replica, group, address, msg);
}

static void
replica_log_role (const struct replica *replica, uint32_t group)
{
  static const char *const names[]
      = { "follower", "precandidate", "candidate", "leader" };
  struct raft_status status;

  raft_get_status (replica->groups[group].raft, &status);
  slog (SLOG_INFO, "log role group=%u role=%s term=%" PRIu64 " leader=%s",
        group, names[status.role], status.term, status.leader_address);
}

/* Appends the addresses of the voters or of the learners to TEXT.  */
static void
replica_list_members (const struct raft_members *members, bool learners,
                      char *text, size_t size)
{
  size_t len = 0;

  text[0] = '\0';
  for (uint32_t i = 0; i < members->count && len < size; i++)
    if (members->list[i].learner == learners)
      len += (size_t)snprintf (text + len, size - len, "%s%s",
                               len == 0 ? "" : ",", members->list[i].address);
}

static void
replica_log_members (struct replica *replica, uint32_t group)
{
  char voters[RAFT_MEMBERS_MAX * RAFT_ADDRESS_BYTES];
  char learners[RAFT_MEMBERS_MAX * RAFT_ADDRESS_BYTES];
  struct raft_status status;

  raft_get_status (replica->groups[group].raft, &status);
  if (status.members_index == replica->groups[group].members_logged)
    return;
  replica->groups[group].members_logged = status.members_index;
  replica_list_members (&status.members, false, voters, sizeof voters);
  replica_list_members (&status.members, true, learners, sizeof learners);
  slog (SLOG_INFO,
        "log members group=%u index=%" PRIu64 " voters=%s learners=%s", group,
        status.members_index, voters, learners);
}

/* Processes one output of a Raft group.  */
static void
replica_handle_output (struct replica *replica, uint32_t group,
                       struct raft_out *out)
{
  struct msg_result *result;
  struct msg *write;

  switch (out->kind)
    {
    case RAFT_OUT_SEND:
      replica_send_to_member (replica, group, out->u.send);
      out->u.send = NULL;
      break;
    case RAFT_OUT_WRITE:
      write = msg_new (MSG_STORE_WRITE);
      write->u.store_write = out->u.write;
      out->u.write = NULL;
      inbox_put (replica->opts.store, write);
      break;
    case RAFT_OUT_APPLY:
      replica_apply (replica, group, &out->u.apply);
      break;
    case RAFT_OUT_RESTORE:
      replica_restore (replica, group, out->u.restore);
      break;
    case RAFT_OUT_REFUSED:
      result = replica_queue_result (replica, group, out->u.refused.request_id,
                                     out->u.refused.status);
      memcpy (result->leader_address, out->u.refused.leader_address,
              sizeof result->leader_address);
      break;
    case RAFT_OUT_READ_CONFIRMED:
      replica_answer_read (replica, group, out->u.read_request_id);
      break;
    case RAFT_OUT_ROLE_CHANGED:
      replica_log_role (replica, group);
      break;
    case RAFT_OUT_MEMBERS_CHANGED:
      replica_log_members (replica, group);
      break;
    case RAFT_OUT_TAKE_SNAPSHOT:
      replica_take_snapshot (replica, group, out->u.snapshot_index);
      break;
    case RAFT_OUT_ENTRIES_LOST:
      slog (SLOG_WARNING,
            "member lost acknowledged entries group=%u member=%s"
            " acknowledged=%" PRIu64 " next=%" PRIu64,
            group, out->u.lost.address, out->u.lost.acknowledged_index,
            out->u.lost.next_index);
      break;
    }
  raft_out_free (out);
}

/* Processes the outputs of all Raft groups, which queues those of the
   replica.  */
static void
replica_collect_outputs (struct replica *replica)
{
  struct raft_out *out;

  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    while (!replica->failed
           && (out = raft_next_output (replica->groups[i].raft)) != NULL)
      replica_handle_output (replica, i, out);
}

bool
replica_next_output (struct replica *replica, struct replica_out *out)
{
  struct list_node *node;
  struct replica_out_item *item;

  if (list_empty (&replica->outputs))
    replica_collect_outputs (replica);
  node = list_pop_head (&replica->outputs);
  if (node == NULL)
    return false;
  item = list_entry (node, struct replica_out_item, node);
  *out = item->out;
  free (item);
  return true;
}

void
replica_out_clear (struct replica_out *out)
{
  switch (out->kind)
    {
    case REPLICA_SEND:
      raft_msg_free (out->u.send.msg);
      break;
    case REPLICA_RESULT:
      free (out->u.result.result.data);
      break;
    case REPLICA_CONFIG_CHANGED:
    case REPLICA_FATAL:
      break;
    }
}
