#include "log/raft_impl.h"

#include <stdlib.h>
#include <string.h>

void
raft_opts_default (struct raft_opts *opts)
{
  opts->snapshot_every = 1000;
  opts->heartbeat = clk_ms (100);
  opts->election_min = clk_ms (500);
  opts->election_max = clk_ms (1000);
  opts->lease = clk_ms (400);
  opts->replace_after = clk_s (60);
  opts->voters_most = RAFT_VOTERS_MAX;
}

void *
raft_alloc (size_t size)
{
  void *out = calloc (1, size);

  INVARIANT (out != NULL);
  return out;
}

struct raft_out *
raft_output (struct raft *raft, enum raft_out_kind kind)
{
  struct raft_out *out = raft_alloc (sizeof *out);

  out->kind = kind;
  list_push_tail (&raft->outputs, &out->node);
  return out;
}

void
raft_out_free (struct raft_out *out)
{
  if (out == NULL)
    return;
  switch (out->kind)
    {
    case RAFT_OUT_SEND:
      raft_msg_free (out->u.send);
      break;
    case RAFT_OUT_WRITE:
      wal_write_free (out->u.write);
      break;
    case RAFT_OUT_APPLY:
      raft_entry_free (out->u.apply.entry);
      break;
    case RAFT_OUT_RESTORE:
      raft_snapshot_free (out->u.restore);
      break;
    case RAFT_OUT_REFUSED:
    case RAFT_OUT_READ:
    case RAFT_OUT_ROLE:
    case RAFT_OUT_SNAPSHOT_WANTED:
    case RAFT_OUT_ENTRIES_LOST:
      break;
    }
  free (out);
}

struct raft_msg *
raft_msg_to (struct raft *raft, enum raft_msg_kind kind, uint64_t to)
{
  struct raft_msg *msg = raft_msg_new (kind);

  msg->from = raft->opts.id;
  msg->to = to;
  msg->term = raft->hard.term;
  memcpy (msg->address, raft->opts.address, sizeof msg->address);
  return msg;
}

void
raft_send (struct raft *raft, struct raft_msg *msg)
{
  raft_output (raft, RAFT_OUT_SEND)->u.send = msg;
}

/* Sequence of the write that makes all present state durable.  */
uint64_t
raft_state_sequence (const struct raft *raft)
{
  bool waiting = raft->hard_dirty || raft->written < raft->log.last_index
                 || raft->truncate_from != 0 || raft->new_snapshot != NULL;

  return raft->sequence + (waiting ? 1 : 0);
}

void
raft_send_synced (struct raft *raft, struct raft_msg *msg)
{
  struct raft_out *out = raft_output (raft, RAFT_OUT_SEND);

  out->u.send = msg;
  out->after = raft_state_sequence (raft);
  if (out->after <= raft->synced)
    return;
  list_remove (&out->node);
  list_push_tail (&raft->held, &out->node);
}

static void
raft_out_list_clear (struct list *list)
{
  struct list_node *node;

  while ((node = list_pop_head (list)) != NULL)
    raft_out_free (list_entry (node, struct raft_out, node));
}

/* Address of the known leader, empty when there is none.  */
static void
raft_leader_address (const struct raft *raft, char *out)
{
  const struct raft_member *member
      = raft_members_find (&raft->members, raft->leader);

  memset (out, 0, RAFT_ADDRESS_BYTES);
  if (raft->leader != 0 && member != NULL)
    memcpy (out, member->address, RAFT_ADDRESS_BYTES);
}

void
raft_refuse (struct raft *raft, uint64_t request, int status)
{
  struct raft_out *out = raft_output (raft, RAFT_OUT_REFUSED);

  out->u.refused.request = request;
  out->u.refused.status = status;
  raft_leader_address (raft, out->u.refused.leader);
}

bool
raft_is_voter (const struct raft *raft, uint64_t id)
{
  const struct raft_member *member = raft_members_find (&raft->members, id);

  return member != NULL && !member->learner;
}

uint32_t
raft_voters (const struct raft_members *members)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < members->count; i++)
    count += members->list[i].learner ? 0 : 1;
  return count;
}

void
raft_reset_election (struct raft *raft, clk_us now)
{
  clk_us spread = raft->opts.election_max - raft->opts.election_min;

  raft->election_deadline = now + raft->opts.election_min
                            + rng_below (&raft->rng, (uint32_t)spread + 1);
}

/* Reads and proposals of a former leader: their fate is not known here.  */
static void
raft_refuse_pending (struct raft *raft)
{
  struct list_node *node;

  while ((node = list_pop_head (&raft->proposals)) != NULL)
    {
      struct raft_pending_proposal *proposal
          = list_entry (node, struct raft_pending_proposal, node);

      raft_refuse (raft, proposal->request, SR_EAGAIN);
      free (proposal);
    }
  while ((node = list_pop_head (&raft->reads)) != NULL)
    {
      struct raft_pending_read *read
          = list_entry (node, struct raft_pending_read, node);

      raft_refuse (raft, read->request, SR_EAGAIN);
      free (read);
    }
}

static void
raft_incoming_clear (struct raft *raft)
{
  free (raft->incoming.data);
  raft->incoming = (struct raft_incoming){ 0 };
}

void
raft_follow (struct raft *raft, uint64_t term, uint64_t leader, clk_us now)
{
  bool changed = raft->role != RAFT_FOLLOWER || raft->leader != leader
                 || raft->hard.term != term;

  INVARIANT (term >= raft->hard.term);
  if (term > raft->hard.term)
    {
      raft->hard.term = term;
      raft->hard.vote = 0;
      raft->hard_dirty = true;
      /* What was equal to a former leader's log may be replaced by this
         one's, so it must not be acknowledged any more.  */
      raft_out_list_clear (&raft->held);
      raft_incoming_clear (raft);
      raft->ack_index = 0;
      raft->ack_sent = 0;
    }
  raft->role = RAFT_FOLLOWER;
  raft->leader = leader;
  raft->transfer_to = 0;
  raft_refuse_pending (raft);
  raft_reset_election (raft, now);
  if (changed)
    raft_output (raft, RAFT_OUT_ROLE);
}

void
raft_lead (struct raft *raft, clk_us now)
{
  INVARIANT (raft->role == RAFT_CANDIDATE);
  INVARIANT (raft->hard.vote == raft->opts.id);
  raft->role = RAFT_LEADER;
  raft->leader = raft->opts.id;
  raft->term_start = raft->log.last_index + 1;
  raft->heartbeat_deadline = now + raft->opts.heartbeat;
  list_each (node, &raft->peers)
    {
      struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      peer->next = raft->log.last_index + 1;
      peer->match = 0;
      peer->matched_at = now;
      peer->unanswered = 0;
      peer->acked_round = 0;
      peer->acked_sent = now;
      peer->heard = now;
      peer->chunk_index = 0;
    }
  raft_append_own (raft, raft_entry_new (RAFT_NOOP));
  raft->broadcast_wanted = true;
  raft_output (raft, RAFT_OUT_ROLE);
}

void
raft_append_own (struct raft *raft, struct raft_entry *entry)
{
  const struct raft_entry *last
      = raft_log_get (&raft->log, raft->log.last_index);

  entry->term = raft->hard.term;
  entry->index = raft->log.last_index + 1;
  /* Time in the state machines never goes back, whatever the clock of a new
     leader says.  */
  if (last != NULL && last->stamp_ms > entry->stamp_ms)
    entry->stamp_ms = last->stamp_ms;
  raft_log_append (&raft->log, entry);
  if (entry->kind == RAFT_MEMBERSHIP)
    raft_adopt_members (raft, raft->now);
}

void
raft_truncate (struct raft *raft, uint64_t from)
{
  INVARIANT (from > raft->hard.commit);
  raft_log_truncate (&raft->log, from);
  if (raft->written >= from)
    {
      raft->written = from - 1;
      if (raft->truncate_from == 0 || from < raft->truncate_from)
        raft->truncate_from = from;
    }
  if (raft->durable >= from)
    raft->durable = from - 1;
  list_each (node, &raft->writes)
    {
      struct raft_pending_write *write
          = list_entry (node, struct raft_pending_write, node);

      if (write->last_index >= from)
        write->last_index = from - 1;
    }
  if (raft->members_index >= from)
    raft_adopt_members (raft, raft->now);
}

/* Hands the committed ENTRY to the state machine.  */
static void
raft_apply (struct raft *raft, const struct raft_entry *entry)
{
  struct list_node *node = list_first (&raft->proposals);
  struct raft_pending_proposal *proposal
      = node == NULL ? NULL
                     : list_entry (node, struct raft_pending_proposal, node);
  bool here = proposal != NULL && proposal->index == entry->index;
  struct raft_out *out;

  INVARIANT (proposal == NULL || proposal->index >= entry->index);
  if (entry->kind != RAFT_COMMAND)
    return;
  out = raft_output (raft, RAFT_OUT_APPLY);
  out->u.apply.entry = raft_entry_copy (entry);
  out->u.apply.proposed_here = here;
  if (here)
    {
      out->u.apply.request = proposal->request;
      list_remove (node);
      free (proposal);
    }
}

/* A snapshot on its way to a peer is kept until the peer has it; otherwise a
   busy log would replace it faster than it can be sent.  */
static bool
raft_sends_snapshot (const struct raft *raft)
{
  if (raft->role != RAFT_LEADER)
    return false;
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (peer->chunk_index != 0
          && peer->heard + raft->opts.election_max > raft->now)
        return true;
    }
  return false;
}

/* A large state is written less often than every so many entries, so that
   snapshots stay in proportion to the log.  */
static bool
raft_snapshot_due (const struct raft *raft)
{
  const struct raft_snapshot *last = raft->snapshot;
  uint64_t from = last == NULL ? 0 : last->index;
  uint64_t bytes = last == NULL ? 0 : last->len / RAFT_SNAPSHOT_SHARE;

  return !raft->snapshot_wanted && !raft_sends_snapshot (raft)
         && raft->hard.commit - from >= raft->opts.snapshot_every
         && raft->snapshot_bytes >= bytes;
}

void
raft_commit_to (struct raft *raft, uint64_t index)
{
  struct raft_entry *entry;

  if (index <= raft->hard.commit)
    return;
  INVARIANT (index <= raft->log.last_index);
  entry = raft_log_get (&raft->log, raft->hard.commit + 1);
  while (raft->hard.commit < index)
    {
      INVARIANT (entry->index == raft->hard.commit + 1);
      raft->hard.commit = entry->index;
      raft->snapshot_bytes += entry->len + sizeof *entry;
      raft_apply (raft, entry);
      entry = list_entry (entry->node.next, struct raft_entry, node);
    }
  if (raft_snapshot_due (raft))
    {
      raft->snapshot_wanted = true;
      raft_output (raft, RAFT_OUT_SNAPSHOT_WANTED)->u.snapshot_index
          = raft->hard.commit;
    }
}

/* Takes over what was loaded from disk.  */
static void
raft_load (struct raft *raft, struct wal_loaded *loaded)
{
  uint64_t commit = loaded->hard.commit;
  struct list_node *node;

  raft->hard = loaded->hard;
  if (loaded->snapshot != NULL)
    {
      raft->snapshot = loaded->snapshot;
      loaded->snapshot = NULL;
      raft_log_reset (&raft->log, raft->snapshot);
      raft_output (raft, RAFT_OUT_RESTORE)->u.restore
          = raft_snapshot_share (raft->snapshot);
    }
  while ((node = list_pop_head (&loaded->entries)) != NULL)
    raft_log_append (&raft->log, list_entry (node, struct raft_entry, node));
  raft->hard.commit = raft->log.base_index;
  raft->written = raft->log.last_index;
  raft->durable = raft->log.last_index;
  raft_commit_to (raft, commit < raft->log.last_index ? commit
                                                      : raft->log.last_index);
  raft->commit_written = raft->hard.commit;
}

struct raft *
raft_new (const struct raft_opts *opts, struct wal_loaded *loaded, clk_us now)
{
  struct raft *raft = raft_alloc (sizeof *raft);

  INVARIANT (opts->id != 0);
  INVARIANT (opts->lease < opts->election_min);
  INVARIANT (opts->election_min < opts->election_max);
  raft->opts = *opts;
  raft->now = now;
  rng_seed (&raft->rng, opts->seed);
  raft_log_init (&raft->log);
  list_init (&raft->peers);
  list_init (&raft->writes);
  list_init (&raft->proposals);
  list_init (&raft->reads);
  list_init (&raft->held);
  list_init (&raft->outputs);
  raft_load (raft, loaded);
  raft_adopt_members (raft, now);
  /* A restarted replica may have heard a leader just before it stopped.  */
  raft->leader_heard = raft->log.last_index == 0 ? 0 : now;
  raft_reset_election (raft, now);
  return raft;
}

/* Frees the items of a list whose link is their first member.  */
static void
raft_list_free (struct list *list)
{
  struct list_node *node;

  while ((node = list_pop_head (list)) != NULL)
    free (node);
}

void
raft_free (struct raft *raft)
{
  if (raft == NULL)
    return;
  raft_log_clear (&raft->log);
  raft_snapshot_free (raft->snapshot);
  raft_snapshot_free (raft->new_snapshot);
  raft_incoming_clear (raft);
  raft_list_free (&raft->peers);
  raft_list_free (&raft->writes);
  raft_list_free (&raft->proposals);
  raft_list_free (&raft->reads);
  raft_out_list_clear (&raft->held);
  raft_out_list_clear (&raft->outputs);
  free (raft);
}

int
raft_create (struct raft *raft, const struct raft_members *members,
             uint64_t term, clk_us now)
{
  struct raft_entry *entry;

  raft->now = now;
  if (raft->log.last_index != 0)
    return SR_EEXIST;
  INVARIANT (raft_members_find (members, raft->opts.id) != NULL);
  raft_follow (raft, term > raft->hard.term ? term : raft->hard.term + 1, 0,
               now);
  entry = raft_entry_new (RAFT_MEMBERSHIP);
  entry->members = raft_alloc (sizeof *entry->members);
  *entry->members = *members;
  raft_append_own (raft, entry);
  raft->election_deadline = now;
  return SR_OK;
}

/* Each input starts here.  A leader that was frozen or cut off finds its
   lease over before it acts on anything else.  */
static void
raft_begin (struct raft *raft, clk_us now)
{
  raft->now = now;
  if (raft->role == RAFT_LEADER && !raft_lease_valid (raft, now))
    raft_follow (raft, raft->hard.term, 0, now);
}

clk_us
raft_tick (struct raft *raft, clk_us now)
{
  raft_begin (raft, now);
  /* Lets a restart without a quorum apply nearly everything.  At most one
     extra sync for each heartbeat.  */
  if (raft->hard.commit != raft->commit_written
      && now >= raft->commit_deadline)
    {
      raft->hard_dirty = true;
      raft->commit_deadline = now + raft->opts.heartbeat;
    }
  if (raft->role == RAFT_LEADER)
    {
      if (raft->transfer_to != 0 && now >= raft->transfer_deadline)
        raft->transfer_to = 0;
      if (now >= raft->heartbeat_deadline)
        {
          raft->broadcast_wanted = true;
          raft->heartbeat_deadline = now + raft->opts.heartbeat;
          raft_manage_members (raft, now);
        }
      return raft->heartbeat_deadline;
    }
  if (now >= raft->election_deadline)
    {
      if (raft_is_voter (raft, raft->opts.id))
        raft_start_prevote (raft, now);
      else
        raft_reset_election (raft, now);
    }
  return raft->election_deadline < now + raft->opts.heartbeat
             ? raft->election_deadline
             : now + raft->opts.heartbeat;
}

/* Adopts a newer term; false when the message is not to be handled.  */
static bool
raft_check_term (struct raft *raft, const struct raft_msg *msg, clk_us now)
{
  bool sticky = raft->role == RAFT_LEADER
                || raft->leader_heard + raft->opts.election_min > now;

  if (msg->kind == RAFT_PREVOTE || msg->term <= raft->hard.term)
    return true;
  if (msg->kind == RAFT_PREVOTE_REPLY && msg->u.vote_reply.granted)
    return true;
  if (msg->kind == RAFT_VOTE && sticky && !msg->u.vote.transfer)
    return false;
  raft_follow (raft, msg->term, 0, now);
  return true;
}

void
raft_message (struct raft *raft, struct raft_msg *msg, clk_us now)
{
  raft_begin (raft, now);
  if (msg->kind == RAFT_HELLO)
    raft_on_hello (raft, msg, now);
  else if (msg->to == raft->opts.id && raft_check_term (raft, msg, now))
    switch (msg->kind)
      {
      case RAFT_PREVOTE:
        raft_on_prevote (raft, msg, now);
        break;
      case RAFT_VOTE:
        raft_on_vote (raft, msg, now);
        break;
      case RAFT_PREVOTE_REPLY:
      case RAFT_VOTE_REPLY:
        raft_on_vote_reply (raft, msg, now);
        break;
      case RAFT_APPEND:
        raft_on_append (raft, msg, now);
        break;
      case RAFT_APPEND_REPLY:
        raft_on_append_reply (raft, msg, now);
        break;
      case RAFT_SNAPSHOT:
        raft_on_chunk (raft, msg, now);
        break;
      case RAFT_SNAPSHOT_REPLY:
        raft_on_chunk_reply (raft, msg, now);
        break;
      case RAFT_TIMEOUT_NOW:
        if (msg->term == raft->hard.term
            && raft_is_voter (raft, raft->opts.id))
          raft_start_vote (raft, true, now);
        break;
      case RAFT_HELLO:
      case RAFT_HELLO_REPLY: /* for log/boot */
      case RAFT_MSG_COUNT:
        break;
      }
  raft_msg_free (msg);
}

void
raft_propose (struct raft *raft, uint64_t request, uint64_t stamp_ms,
              uint8_t *data, size_t len, clk_us now)
{
  struct raft_pending_proposal *proposal;
  struct raft_entry *entry;

  raft_begin (raft, now);
  if (raft->role != RAFT_LEADER || raft->transfer_to != 0)
    {
      free (data);
      raft_refuse (raft, request,
                   raft->role == RAFT_LEADER ? SR_EAGAIN : SR_ENOTLEADER);
      return;
    }
  entry = raft_entry_new (RAFT_COMMAND);
  entry->stamp_ms = stamp_ms;
  entry->data = data;
  entry->len = len;
  raft_append_own (raft, entry);
  proposal = raft_alloc (sizeof *proposal);
  proposal->index = entry->index;
  proposal->request = request;
  list_push_tail (&raft->proposals, &proposal->node);
}

void
raft_read (struct raft *raft, uint64_t request, clk_us now)
{
  struct raft_pending_read *read;

  raft_begin (raft, now);
  if (raft->role != RAFT_LEADER)
    {
      raft_refuse (raft, request, SR_ENOTLEADER);
      return;
    }
  read = raft_alloc (sizeof *read);
  read->request = request;
  read->round = raft->round + 1;
  raft->broadcast_wanted = true;
  list_push_tail (&raft->reads, &read->node);
  raft_confirm_reads (raft);
}

/* Sends what waited for writes up to the synced one.  */
static void
raft_release_held (struct raft *raft)
{
  list_each (node, &raft->held)
    {
      if (list_entry (node, struct raft_out, node)->after > raft->synced)
        continue;
      list_remove (node);
      list_push_tail (&raft->outputs, node);
    }
}

void
raft_synced (struct raft *raft, uint64_t sequence, clk_us now)
{
  raft_begin (raft, now);
  INVARIANT (sequence <= raft->sequence);
  list_each (node, &raft->writes)
    {
      struct raft_pending_write *write
          = list_entry (node, struct raft_pending_write, node);

      if (write->sequence > sequence)
        break;
      if (write->last_index > raft->durable)
        raft->durable = write->last_index;
      list_remove (node);
      free (write);
    }
  INVARIANT (raft->durable <= raft->log.last_index);
  if (sequence > raft->synced)
    raft->synced = sequence;
  raft_release_held (raft);
  switch (raft->role)
    {
    case RAFT_LEADER:
      raft_leader_commit (raft, now);
      break;
    case RAFT_CANDIDATE:
      raft_check_votes (raft, now);
      break;
    case RAFT_FOLLOWER:
    case RAFT_PRECANDIDATE:
      raft_ack_durable (raft);
      break;
    }
}

void
raft_snapshot_taken (struct raft *raft, uint64_t index, uint8_t *data,
                     size_t len)
{
  struct raft_snapshot *snapshot;
  uint64_t at;

  raft->snapshot_wanted = false;
  raft->snapshot_bytes = 0;
  if (index <= raft->log.base_index
      || (raft->snapshot != NULL && index <= raft->snapshot->index))
    {
      free (data);
      return;
    }
  INVARIANT (index <= raft->hard.commit);
  snapshot = raft_alloc (sizeof *snapshot);
  snapshot->index = index;
  snapshot->term = raft_log_term (&raft->log, index);
  snapshot->members = *raft_log_members (&raft->log, index, &at);
  snapshot->data = data;
  snapshot->len = len;
  raft_snapshot_free (raft->new_snapshot);
  raft->new_snapshot = raft_snapshot_share (snapshot);
  raft_snapshot_free (raft->snapshot);
  raft->snapshot = snapshot;
  /* Keeps a tail so that a follower that was away briefly needs no
     snapshot.  */
  if (index > raft->opts.snapshot_every)
    index -= raft->opts.snapshot_every;
  else
    index = 0;
  raft_log_compact (&raft->log, index < raft->written ? index : raft->written);
}

int
raft_transfer (struct raft *raft, clk_us now)
{
  const struct raft_peer *best = NULL;

  raft_begin (raft, now);
  if (raft->role != RAFT_LEADER)
    return SR_ENOTLEADER;
  if (raft->transfer_to != 0)
    return SR_OK;
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (!peer->member.learner && peer->heard + raft->opts.lease > now
          && (best == NULL || peer->match > best->match))
        best = peer;
    }
  if (best == NULL)
    return SR_ENOENT;
  raft->transfer_to = best->member.id;
  raft->transfer_deadline = now + raft->opts.election_min;
  if (best->match == raft->log.last_index)
    raft_send (raft, raft_msg_to (raft, RAFT_TIMEOUT_NOW, best->member.id));
  return SR_OK;
}

const char *
raft_address (const struct raft *raft, uint64_t id)
{
  const struct raft_member *member = raft_members_find (&raft->members, id);

  return member == NULL ? NULL : member->address;
}

void
raft_status (const struct raft *raft, struct raft_status *status)
{
  const struct raft_member *self
      = raft_members_find (&raft->members, raft->opts.id);

  *status = (struct raft_status){
    .role = raft->role,
    .term = raft->hard.term,
    .commit = raft->hard.commit,
    .last_index = raft->log.last_index,
    .snapshot_index = raft->snapshot == NULL ? 0 : raft->snapshot->index,
    .leader = raft->leader,
    .member = self != NULL,
    .voter = self != NULL && !self->learner,
    .leader_heard = raft->role == RAFT_LEADER ? raft->now : raft->leader_heard,
    .members = raft->members,
  };
  raft_leader_address (raft, status->leader_address);
}

/* Puts everything that is not yet written into one write.  */
static void
raft_flush_write (struct raft *raft)
{
  struct raft_pending_write *pending;
  struct wal_write *write;
  struct raft_entry *entry;

  if (raft_state_sequence (raft) == raft->sequence)
    return;
  write = wal_write_new (raft->opts.group);
  write->sequence = ++raft->sequence;
  write->hard = raft->hard;
  write->truncate_from = raft->truncate_from;
  write->snapshot = raft->new_snapshot;
  entry = raft_log_get (&raft->log, raft->written + 1);
  for (; raft->written < raft->log.last_index; raft->written++)
    {
      list_push_tail (&write->entries, &raft_entry_copy (entry)->node);
      entry = list_entry (entry->node.next, struct raft_entry, node);
    }
  raft->hard_dirty = false;
  raft->commit_written = raft->hard.commit;
  raft->truncate_from = 0;
  raft->new_snapshot = NULL;
  pending = raft_alloc (sizeof *pending);
  pending->sequence = write->sequence;
  pending->last_index = raft->written;
  list_push_tail (&raft->writes, &pending->node);
  raft_output (raft, RAFT_OUT_WRITE)->u.write = write;
}

struct raft_out *
raft_next_output (struct raft *raft)
{
  struct list_node *node;

  if (list_empty (&raft->outputs))
    {
      raft_flush_write (raft);
      if (raft->role == RAFT_LEADER && raft->broadcast_wanted)
        raft_broadcast (raft, raft->now);
      else if (raft->role == RAFT_LEADER)
        raft_send_pending (raft, raft->now);
    }
  node = list_pop_head (&raft->outputs);
  return node == NULL ? NULL : list_entry (node, struct raft_out, node);
}
