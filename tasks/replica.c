#include "tasks/replica.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/slog.h"
#include "log/boot.h"

/* A member that has not heard a leader for this long says hello: it may have
   been removed while it was away.  */
#define RPL_SILENCE_US (clk_s (3))
/* Addresses of senders that are not members; a bound on memory only.  */
#define RPL_SENDERS_MAX 32

/* Where a replica that is not a member sent from.  */
struct rpl_sender
{
  struct lst_node node;
  uint64_t id;
  char address[REP_ADDRESS_BYTES];
};

struct rpl_group
{
  struct rep *rep;
  struct boot *boot;
};

struct rpl_item
{
  struct lst_node node;
  struct rpl_out out;
};

struct rpl
{
  struct rpl_opts opts;
  struct rpl_group groups[MSG_GROUP_COUNT];
  struct cfg *cfg;
  struct clm *clm;
  struct lst senders; /* struct rpl_sender, newest first */
  uint32_t sender_count;
  struct lst outputs; /* struct rpl_item */
  bool failed;        /* nothing more is done or told */
};

void
rpl_opts_default (struct rpl_opts *opts)
{
  struct rep_opts rep;

  rep_opts_default (&rep);
  opts->snapshot_every = rep.snapshot_every;
  opts->heartbeat = rep.heartbeat;
  opts->election_min = rep.election_min;
  opts->election_max = rep.election_max;
  opts->lease = rep.lease;
  opts->replace_after = rep.replace_after;
  opts->voters_most = rep.voters_most;
  opts->existing = false;
  opts->config.results_kept = 4096;
  /* Claims carry the times and the bound of the configuration; these hold for
     those that do not.  The bound is the largest that a document may set.  */
  opts->claims.keep_ms = 72ull * 3600 * 1000;
  opts->claims.keys_max = 10000000;
  opts->claims.bytes_max = 64ull * 1024 * 1024;
}

static struct rpl_out *
rpl_output (struct rpl *rpl, enum rpl_out_kind kind)
{
  struct rpl_item *item = calloc (1, sizeof *item);

  INVARIANT (item != NULL);
  item->out.kind = kind;
  lst_push_tail (&rpl->outputs, &item->node);
  return &item->out;
}

static void
rpl_fail (struct rpl *rpl, const char *what, const char *why)
{
  struct rpl_out *out;

  if (rpl->failed)
    return;
  rpl->failed = true;
  out = rpl_output (rpl, RPL_FATAL);
  snprintf (out->u.fatal, sizeof out->u.fatal, "%s: %.200s", what, why);
}

/* Creates log and first start decisions of one group.  */
static bool
rpl_open_group (struct rpl *rpl, uint32_t number, clk_us now)
{
  const struct rpl_opts *from = &rpl->opts;
  struct rpl_group *group = &rpl->groups[number];
  struct boot_opts boot = { .id = from->id,
                            .existing = from->existing,
                            .join_count = from->join_count };
  struct rep_opts rep = { .id = from->id,
                          .group = number,
                          .seed = from->seed + number,
                          .snapshot_every = from->snapshot_every,
                          .heartbeat = from->heartbeat,
                          .election_min = from->election_min,
                          .election_max = from->election_max,
                          .lease = from->lease,
                          .replace_after = from->replace_after,
                          .voters_most = from->voters_most };

  memcpy (boot.address, from->address, sizeof boot.address);
  memcpy (boot.join, from->join, sizeof boot.join);
  group->boot = boot_new (&boot);
  if (group->boot == NULL)
    return false;
  memcpy (rep.address, from->address, sizeof rep.address);
  rep.peers_digest = boot_digest (group->boot);
  group->rep = rep_new (&rep, from->loaded[number], now);
  return true;
}

struct rpl *
rpl_new (const struct rpl_opts *opts, clk_us now)
{
  struct rpl *rpl = calloc (1, sizeof *rpl);

  INVARIANT (rpl != NULL);
  rpl->opts = *opts;
  lst_init (&rpl->senders);
  lst_init (&rpl->outputs);
  rpl->cfg = cfg_new (&opts->config);
  rpl->clm = clm_new (&opts->claims);
  INVARIANT (rpl->cfg != NULL && rpl->clm != NULL);
  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    if (!rpl_open_group (rpl, i, now))
      {
        rpl_free (rpl);
        return NULL;
      }
  return rpl;
}

void
rpl_free (struct rpl *rpl)
{
  struct lst_node *node;

  if (rpl == NULL)
    return;
  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    {
      rep_free (rpl->groups[i].rep);
      boot_free (rpl->groups[i].boot);
    }
  cfg_free (rpl->cfg);
  clm_free (rpl->clm);
  while ((node = lst_pop_head (&rpl->senders)) != NULL)
    free (lst_entry (node, struct rpl_sender, node));
  while ((node = lst_pop_head (&rpl->outputs)) != NULL)
    {
      struct rpl_item *item = lst_entry (node, struct rpl_item, node);

      rpl_out_clear (&item->out);
      free (item);
    }
  free (rpl);
}

static void
rpl_put_send (struct rpl *rpl, uint32_t group, const char *address,
              struct rep_msg *msg)
{
  struct rpl_out *out = rpl_output (rpl, RPL_SEND);

  memcpy (out->u.send.address, address,
          strnlen (address, REP_ADDRESS_BYTES - 1));
  out->u.send.group = (enum msg_group)group;
  out->u.send.msg = msg;
}

static void
rpl_hello (struct rpl *rpl, uint32_t group, const char *address)
{
  struct rep_msg *msg = rep_msg_new (REP_HELLO);

  msg->from = rpl->opts.id;
  memcpy (msg->address, rpl->opts.address, sizeof msg->address);
  msg->u.hello.peers_digest = boot_digest (rpl->groups[group].boot);
  rpl_put_send (rpl, group, address, msg);
}

/* Looks for the group while no leader speaks to this replica; returns when to
   go on.  */
static clk_us
rpl_find_group (struct rpl *rpl, uint32_t number, clk_us now)
{
  struct rpl_group *group = &rpl->groups[number];
  struct rep_status status;
  struct boot_step step;

  rep_status (group->rep, &status);
  if (status.member && status.leader_heard + RPL_SILENCE_US > now)
    return status.leader_heard + RPL_SILENCE_US;
  for (;;)
    {
      boot_next (group->boot, status.last_index == 0, now, &step);
      switch (step.kind)
        {
        case BOOT_WAIT:
          return step.u.wait_until;
        case BOOT_HELLO:
          rpl_hello (rpl, number, step.u.address);
          break;
        case BOOT_CREATE:
          slog (SLOG_NOTICE, "creating log group group=%u members=%u", number,
                step.u.create.members.count);
          rep_create (group->rep, &step.u.create.members, step.u.create.term,
                      now);
          return now;
        }
    }
}

clk_us
rpl_tick (struct rpl *rpl, clk_us now)
{
  clk_us next = now + rpl->opts.heartbeat;

  if (rpl->failed)
    return next;
  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    {
      clk_us boot = rpl_find_group (rpl, i, now);
      clk_us rep = rep_tick (rpl->groups[i].rep, now);

      next = rep < next ? rep : next;
      next = boot < next ? boot : next;
    }
  return next;
}

/* Remembers where a replica that may not be a member sends from.  */
static void
rpl_note_sender (struct rpl *rpl, uint64_t id, const char *address)
{
  struct rpl_sender *sender = NULL;

  lst_each (node, &rpl->senders)
    if (lst_entry (node, struct rpl_sender, node)->id == id)
      sender = lst_entry (node, struct rpl_sender, node);
  if (sender == NULL && rpl->sender_count == RPL_SENDERS_MAX)
    sender = lst_entry (lst_last (&rpl->senders), struct rpl_sender, node);
  if (sender == NULL)
    {
      sender = calloc (1, sizeof *sender);
      INVARIANT (sender != NULL);
      rpl->sender_count++;
    }
  sender->id = id;
  memset (sender->address, 0, sizeof sender->address);
  memcpy (sender->address, address, strnlen (address, REP_ADDRESS_BYTES - 1));
  lst_remove (&sender->node);
  lst_push_head (&rpl->senders, &sender->node);
}

/* Address of replica ID, or NULL.  What it last sent from goes first: it may
   have moved since the membership was written.  */
static const char *
rpl_address (const struct rpl *rpl, uint32_t group, uint64_t id)
{
  lst_each (node, &rpl->senders)
    {
      const struct rpl_sender *sender
          = lst_entry (node, struct rpl_sender, node);

      if (sender->id == id)
        return sender->address;
    }
  return rep_address (rpl->groups[group].rep, id);
}

void
rpl_message (struct rpl *rpl, const char *from_address, enum msg_group group,
             struct rep_msg *msg, clk_us now)
{
  struct rpl_group *to = &rpl->groups[group];

  if (rpl->failed)
    {
      rep_msg_free (msg);
      return;
    }
  if (msg->address[0] == '\0')
    memcpy (msg->address, from_address,
            strnlen (from_address, REP_ADDRESS_BYTES - 1));
  if (msg->address[0] != '\0')
    rpl_note_sender (rpl, msg->from, msg->address);
  if (msg->kind == REP_HELLO_REPLY)
    {
      boot_reply (to->boot, msg->address, msg, now);
      rep_msg_free (msg);
      return;
    }
  rep_message (to->rep, msg, now);
}

void
rpl_propose (struct rpl *rpl, enum msg_group group, uint64_t request,
             const uint8_t *data, size_t len, clk_us now)
{
  uint8_t *copy;

  if (rpl->failed)
    return;
  copy = malloc (len + 1);
  INVARIANT (copy != NULL);
  if (len > 0)
    memcpy (copy, data, len);
  rep_propose (rpl->groups[group].rep, request, clk_wall_ms (), copy, len,
               now);
}

void
rpl_read (struct rpl *rpl, uint64_t request, clk_us now)
{
  if (!rpl->failed)
    rep_read (rpl->groups[MSG_GROUP_CONFIG].rep, request, now);
}

void
rpl_store_done (struct rpl *rpl, const struct sto_done *done, clk_us now)
{
  if (rpl->failed)
    return;
  if (done->status != SR_OK)
    {
      rpl_fail (rpl, "store", done->error);
      return;
    }
  rep_synced (rpl->groups[done->group].rep, done->sequence, now);
}

int
rpl_transfer (struct rpl *rpl, clk_us now)
{
  int result = SR_OK;

  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    if (rep_transfer (rpl->groups[i].rep, now) == SR_OK)
      result = SR_EAGAIN;
  return result;
}

void
rpl_status (const struct rpl *rpl, enum msg_group group,
            struct rep_status *status)
{
  rep_status (rpl->groups[group].rep, status);
}

void
rpl_config (const struct rpl *rpl, struct mem_version *version,
            const char **document, size_t *len)
{
  *version = cfg_version (rpl->cfg);
  *document = cfg_document (rpl->cfg, len);
}

static struct msg_result *
rpl_put_result (struct rpl *rpl, uint32_t group, uint64_t request, int status)
{
  struct rpl_out *out = rpl_output (rpl, RPL_RESULT);

  out->u.result.group = (enum msg_group)group;
  out->u.result.result.request = request;
  out->u.result.result.status = status;
  return &out->u.result.result;
}

/* Applies to the configuration; encodes the result for the proposer.  */
static int
rpl_apply_config (struct rpl *rpl, const struct rep_entry *entry,
                  struct msg_result *result)
{
  uint64_t before = cfg_version (rpl->cfg).number;
  struct cfg_result applied;
  int status = cfg_apply (rpl->cfg, entry->term, entry->index, entry->data,
                          entry->len, &applied);

  if (cfg_version (rpl->cfg).number != before)
    rpl_output (rpl, RPL_CONFIG_CHANGED);
  if (status == SR_OK && result != NULL)
    status = cfg_result_encode (&applied, &result->data, &result->len);
  return status;
}

static int
rpl_apply_claim (struct rpl *rpl, const struct rep_entry *entry,
                 struct msg_result *result)
{
  struct clm_result applied;
  int status = clm_apply (rpl->clm, entry->stamp_ms, entry->data, entry->len,
                          &applied);

  if (status == SR_OK && result != NULL)
    status = clm_result_encode (&applied, &result->data, &result->len);
  return status;
}

static void
rpl_apply (struct rpl *rpl, uint32_t group, const struct rep_out_apply *apply)
{
  struct msg_result *result = NULL;
  int status;

  if (apply->proposed_here)
    result = rpl_put_result (rpl, group, apply->request, SR_OK);
  status = group == MSG_GROUP_CONFIG
               ? rpl_apply_config (rpl, apply->entry, result)
               : rpl_apply_claim (rpl, apply->entry, result);
  if (result != NULL)
    result->status = status;
  /* A command that cannot be decoded changes nothing on any replica; one that
     ran out of memory here would leave this replica behind the others.  */
  if (status == SR_ENOMEM || status == SR_EINVAL)
    rpl_fail (rpl, "state machine", sr_strerror (status));
}

static void
rpl_restore (struct rpl *rpl, uint32_t group,
             const struct rep_snapshot *snapshot)
{
  int status = group == MSG_GROUP_CONFIG
                   ? cfg_restore (rpl->cfg, snapshot->data, snapshot->len)
                   : clm_restore (rpl->clm, snapshot->data, snapshot->len);

  if (status != SR_OK)
    rpl_fail (rpl, "snapshot", sr_strerror (status));
  else if (group == MSG_GROUP_CONFIG)
    rpl_output (rpl, RPL_CONFIG_CHANGED);
}

static void
rpl_take_snapshot (struct rpl *rpl, uint32_t group, uint64_t index)
{
  uint8_t *data = NULL;
  size_t len = 0;
  int status = group == MSG_GROUP_CONFIG
                   ? cfg_snapshot (rpl->cfg, &data, &len)
                   : clm_snapshot (rpl->clm, &data, &len);

  if (status == SR_OK)
    rep_snapshot_taken (rpl->groups[group].rep, index, data, len);
  else
    rpl_fail (rpl, "snapshot", sr_strerror (status));
}

static void
rpl_answer_read (struct rpl *rpl, uint32_t group, uint64_t request)
{
  struct msg_result *result = rpl_put_result (rpl, group, request, SR_OK);
  size_t len = 0;
  const char *document = cfg_document (rpl->cfg, &len);

  result->version = cfg_version (rpl->cfg);
  if (document == NULL || len == 0)
    return;
  result->data = malloc (len);
  INVARIANT (result->data != NULL);
  memcpy (result->data, document, len);
  result->len = len;
}

static void
rpl_send_to_member (struct rpl *rpl, uint32_t group, struct rep_msg *msg)
{
  const char *address = rpl_address (rpl, group, msg->to);

  if (address == NULL)
    rep_msg_free (msg);
  else
    rpl_put_send (rpl, group, address, msg);
}

static void
rpl_log_role (const struct rpl *rpl, uint32_t group)
{
  static const char *const names[]
      = { "follower", "precandidate", "candidate", "leader" };
  struct rep_status status;

  rep_status (rpl->groups[group].rep, &status);
  slog (SLOG_INFO, "log role group=%u role=%s term=%" PRIu64 " leader=%s",
        group, names[status.role], status.term, status.leader_address);
}

/* Handles one output of a log.  */
static void
rpl_handle (struct rpl *rpl, uint32_t group, struct rep_out *out)
{
  struct msg_result *result;
  struct msg *write;

  switch (out->kind)
    {
    case REP_OUT_SEND:
      rpl_send_to_member (rpl, group, out->u.send);
      out->u.send = NULL;
      break;
    case REP_OUT_WRITE:
      write = msg_new (MSG_STORE_WRITE);
      write->u.store_write = out->u.write;
      out->u.write = NULL;
      inb_put (rpl->opts.store, write);
      break;
    case REP_OUT_APPLY:
      rpl_apply (rpl, group, &out->u.apply);
      break;
    case REP_OUT_RESTORE:
      rpl_restore (rpl, group, out->u.restore);
      break;
    case REP_OUT_REFUSED:
      result = rpl_put_result (rpl, group, out->u.refused.request,
                               out->u.refused.status);
      memcpy (result->leader, out->u.refused.leader, sizeof result->leader);
      break;
    case REP_OUT_READ:
      rpl_answer_read (rpl, group, out->u.read);
      break;
    case REP_OUT_ROLE:
      rpl_log_role (rpl, group);
      break;
    case REP_OUT_SNAPSHOT_WANTED:
      rpl_take_snapshot (rpl, group, out->u.snapshot_index);
      break;
    case REP_OUT_ENTRIES_LOST:
      slog (SLOG_WARNING,
            "member lost acknowledged entries group=%u member=%s"
            " acknowledged=%" PRIu64 " next=%" PRIu64,
            group, out->u.lost.address, out->u.lost.acknowledged,
            out->u.lost.next);
      break;
    }
  rep_out_free (out);
}

/* Moves what the logs have to say to the own outputs.  */
static void
rpl_drain (struct rpl *rpl)
{
  struct rep_out *out;

  for (uint32_t i = 0; i < MSG_GROUP_COUNT; i++)
    while (!rpl->failed
           && (out = rep_next_output (rpl->groups[i].rep)) != NULL)
      rpl_handle (rpl, i, out);
}

bool
rpl_next_output (struct rpl *rpl, struct rpl_out *out)
{
  struct lst_node *node;
  struct rpl_item *item;

  if (lst_empty (&rpl->outputs))
    rpl_drain (rpl);
  node = lst_pop_head (&rpl->outputs);
  if (node == NULL)
    return false;
  item = lst_entry (node, struct rpl_item, node);
  *out = item->out;
  free (item);
  return true;
}

void
rpl_out_clear (struct rpl_out *out)
{
  switch (out->kind)
    {
    case RPL_SEND:
      rep_msg_free (out->u.send.msg);
      break;
    case RPL_RESULT:
      free (out->u.result.result.data);
      break;
    case RPL_CONFIG_CHANGED:
    case RPL_FATAL:
      break;
    }
}
