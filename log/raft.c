#include "log/raft_impl.h"

#include <stdlib.h>
#include <string.h>

void
raft_opts_default (struct raft_opts *opts)
{
  opts->snapshot_interval_entries = 1000;
  opts->heartbeat_interval = clk_ms (100);
  opts->election_timeout_min = clk_ms (500);
  opts->election_timeout_max = clk_ms (1000);
  opts->lease_duration = clk_ms (400);
  opts->replace_timeout = clk_s (60);
  opts->tolerance = (struct member_tolerance){
    .instances = (RAFT_VOTERS_MAX - 1) / 2,
  };
  opts->places = NULL;
}

void *
raft_alloc (size_t size)
{
  void *memory = calloc (1, size);

  INVARIANT (memory != NULL);
  return memory;
}

struct raft_out *
raft_add_output (struct raft *raft, enum raft_out_kind kind)
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
      raft_write_free (out->u.write);
      break;
    case RAFT_OUT_APPLY:
      raft_entry_free (out->u.apply.entry);
      break;
    case RAFT_OUT_RESTORE:
      raft_snapshot_unref (out->u.restore);
      break;
    case RAFT_OUT_REFUSED:
    case RAFT_OUT_READ_CONFIRMED:
    case RAFT_OUT_ROLE_CHANGED:
    case RAFT_OUT_MEMBERS_CHANGED:
    case RAFT_OUT_TAKE_SNAPSHOT:
    case RAFT_OUT_ENTRIES_LOST:
      break;
    }
  free (out);
}

struct raft_msg *
raft_msg_new_to (struct raft *raft, enum raft_msg_kind kind, uint64_t to)
{
  struct raft_msg *msg = raft_msg_new (kind);

  msg->from = raft->opts.id;
  msg->to = to;
  msg->term = raft->hard_state.term;
  memcpy (msg->address, raft->opts.address, sizeof msg->address);
  return msg;
}

void
raft_send (struct raft *raft, struct raft_msg *msg)
{
  raft_add_output (raft, RAFT_OUT_SEND)->u.send = msg;
}

uint64_t
raft_last_write_sequence (const struct raft *raft)
{
  bool unwritten = raft->hard_state_dirty
                   || raft->written_index < raft->log.last_index
                   || raft->truncate_from != 0 || raft->new_snapshot != NULL;

  return raft->write_sequence + (unwritten ? 1 : 0);
}

void
raft_send_after_sync (struct raft *raft, struct raft_msg *msg)
{
  struct raft_out *out = raft_add_output (raft, RAFT_OUT_SEND);

  out->u.send = msg;
  out->write_sequence = raft_last_write_sequence (raft);
  if (out->write_sequence <= raft->synced_sequence)
    return;
  list_remove (&out->node);
  list_push_tail (&raft->outputs_awaiting_sync, &out->node);
}

static void
raft_out_list_clear (struct list *list)
{
  struct list_node *node;

  while ((node = list_pop_head (list)) != NULL)
    raft_out_free (list_entry (node, struct raft_out, node));
}

/* Sets ADDRESS to that of the leader; empty when it is not known.  */
static void
raft_leader_address (const struct raft *raft, char *address)
{
  const struct raft_member *member
      = raft_members_find (&raft->members, raft->leader_id);

  memset (address, 0, RAFT_ADDRESS_BYTES);
  if (raft->leader_id != 0 && member != NULL)
    memcpy (address, member->address, RAFT_ADDRESS_BYTES);
}

void
raft_refuse_request (struct raft *raft, uint64_t request_id, int status)
{
  struct raft_out *out = raft_add_output (raft, RAFT_OUT_REFUSED);

  out->u.refused.request_id = request_id;
  out->u.refused.status = status;
  raft_leader_address (raft, out->u.refused.leader_address);
}

bool
raft_is_voter (const struct raft *raft, uint64_t id)
{
  const struct raft_member *member = raft_members_find (&raft->members, id);

  return member != NULL && !member->learner;
}

uint32_t
raft_count_voters (const struct raft_members *members)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < members->count; i++)
    count += members->list[i].learner ? 0 : 1;
  return count;
}

void
raft_reset_election_timer (struct raft *raft, clk_us now)
{
  clk_us range
      = raft->opts.election_timeout_max - raft->opts.election_timeout_min;
  clk_us timeout = raft->opts.election_timeout_min
                   + rng_below (&raft->rng, (uint32_t)range + 1);
  uint32_t doublings = raft->elections_lost < RAFT_ELECTION_BACKOFF_MAX
                           ? raft->elections_lost
                           : RAFT_ELECTION_BACKOFF_MAX;

  /* Votes are synced before they are sent.  With syncs slower than the timeout
     no election would end without the backoff.  */
  raft->election_deadline = now + (timeout << doublings);
}

/* Refuses the pending proposals and reads of a former leader.  SR_EAGAIN: a
   later leader may still commit the proposals.  */
static void
raft_refuse_pending (struct raft *raft)
{
  struct list_node *node;

  while ((node = list_pop_head (&raft->pending_proposals)) != NULL)
    {
      struct raft_pending_proposal *proposal
          = list_entry (node, struct raft_pending_proposal, node);

      raft_refuse_request (raft, proposal->request_id, SR_EAGAIN);
      free (proposal);
    }
  while ((node = list_pop_head (&raft->pending_reads)) != NULL)
    {
      struct raft_pending_read *read
          = list_entry (node, struct raft_pending_read, node);

      raft_refuse_request (raft, read->request_id, SR_EAGAIN);
      free (read);
    }
}

static void
raft_incoming_clear (struct raft *raft)
{
  free (raft->incoming_snapshot.data);
  raft->incoming_snapshot = (struct raft_incoming_snapshot){ 0 };
}

void
raft_become_follower (struct raft *raft, uint64_t term, uint64_t leader_id,
                      clk_us now)
{
  bool changed = raft->role != RAFT_FOLLOWER || raft->leader_id != leader_id
                 || raft->hard_state.term != term;

  INVARIANT (term >= raft->hard_state.term);
  if (term > raft->hard_state.term)
    {
      raft->hard_state.term = term;
      raft->hard_state.voted_for = 0;
      raft->hard_state_dirty = true;
      /* Entries that match the log of the previous leader may conflict with
         the next leader's, so they must not be acknowledged to it.  */
      raft_out_list_clear (&raft->outputs_awaiting_sync);
      raft_incoming_clear (raft);
      raft->matched_index = 0;
      raft->acked_index = 0;
    }
  raft->role = RAFT_FOLLOWER;
  raft->leader_id = leader_id;
  if (leader_id != 0)
    raft->elections_lost = 0;
  raft->transfer_target_id = 0;
  raft_refuse_pending (raft);
  raft_reset_election_timer (raft, now);
  if (changed)
    raft_add_output (raft, RAFT_OUT_ROLE_CHANGED);
}

void
raft_become_leader (struct raft *raft, clk_us now)
{
  INVARIANT (raft->role == RAFT_CANDIDATE);
  INVARIANT (raft->hard_state.voted_for == raft->opts.id);
  raft->role = RAFT_LEADER;
  raft->leader_id = raft->opts.id;
  raft->term_start_index = raft->log.last_index + 1;
  raft->leader_since = now;
  raft->elections_lost = 0;
  raft->heartbeat_deadline = now + raft->opts.heartbeat_interval;
  list_each (node, &raft->peers)
    {
      struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      peer->next_index = raft->log.last_index + 1;
      peer->match_index = 0;
      peer->matched_at = now;
      peer->inflight_bytes = 0;
      peer->acked_round = 0;
      peer->acked_sent_at = now;
      peer->snapshot_index = 0;
    }
  raft_adopt_silence (raft);
  raft_append_new_entry (raft, raft_entry_new (RAFT_ENTRY_NOOP));
  raft->broadcast_pending = true;
  raft_add_output (raft, RAFT_OUT_ROLE_CHANGED);
}

void
raft_append_new_entry (struct raft *raft, struct raft_entry *entry)
{
  const struct raft_entry *last
      = raft_log_get (&raft->log, raft->log.last_index);

  entry->term = raft->hard_state.term;
  entry->index = raft->log.last_index + 1;
  /* Timestamps never decrease along the log, even when the clock of a new
     leader is behind.  */
  if (last != NULL && last->timestamp_ms > entry->timestamp_ms)
    entry->timestamp_ms = last->timestamp_ms;
  raft_log_append (&raft->log, entry);
  if (entry->kind == RAFT_ENTRY_MEMBERSHIP)
    raft_update_members (raft, raft->now);
}

void
raft_truncate_log (struct raft *raft, uint64_t from)
{
  INVARIANT (from > raft->hard_state.commit_index);
  raft_log_truncate (&raft->log, from);
  if (raft->written_index >= from)
    {
      raft->written_index = from - 1;
      if (raft->truncate_from == 0 || from < raft->truncate_from)
        raft->truncate_from = from;
    }
  if (raft->durable_index >= from)
    raft->durable_index = from - 1;
  list_each (node, &raft->pending_writes)
    {
      struct raft_pending_write *write
          = list_entry (node, struct raft_pending_write, node);

      if (write->last_index >= from)
        write->last_index = from - 1;
    }
  if (raft->members_index >= from)
    raft_update_members (raft, raft->now);
}

/* Outputs the committed ENTRY for the state machine when it is a command.  */
static void
raft_apply (struct raft *raft, const struct raft_entry *entry)
{
  struct list_node *node = list_first (&raft->pending_proposals);
  struct raft_pending_proposal *proposal
      = node == NULL ? NULL
                     : list_entry (node, struct raft_pending_proposal, node);
  bool proposed_here = proposal != NULL && proposal->index == entry->index;
  struct raft_out *out;

  INVARIANT (proposal == NULL || proposal->index >= entry->index);
  if (entry->kind != RAFT_ENTRY_COMMAND)
    return;
  out = raft_add_output (raft, RAFT_OUT_APPLY);
  out->u.apply.entry = raft_entry_copy (entry);
  out->u.apply.proposed_here = proposed_here;
  if (proposed_here)
    {
      out->u.apply.request_id = proposal->request_id;
      list_remove (node);
      free (proposal);
    }
}

/* Whether a snapshot is being sent to a live peer.  No new one is taken
   meanwhile: under load it would be replaced faster than it can be sent.  */
static bool
raft_is_sending_snapshot (const struct raft *raft)
{
  if (raft->role != RAFT_LEADER)
    return false;
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (peer->snapshot_index != 0
          && peer->last_contact + raft->opts.election_timeout_max > raft->now)
        return true;
    }
  return false;
}

/* Whether both the number and the size of the entries since the last snapshot
   call for a new one.  The size limit keeps the snapshots of a large state in
   proportion to the log.  */
static bool
raft_snapshot_due (const struct raft *raft)
{
  const struct raft_snapshot *last = raft->snapshot;
  uint64_t last_index = last == NULL ? 0 : last->index;
  uint64_t bytes_min
      = last == NULL ? 0 : last->len / RAFT_SNAPSHOT_TO_LOG_RATIO;

  return !raft->snapshot_requested && !raft_is_sending_snapshot (raft)
         && raft->hard_state.commit_index - last_index
                >= raft->opts.snapshot_interval_entries
         && raft->bytes_since_snapshot >= bytes_min;
}

void
raft_advance_commit_index (struct raft *raft, uint64_t index)
{
  struct raft_entry *entry;

  if (index <= raft->hard_state.commit_index)
    return;
  INVARIANT (index <= raft->log.last_index);
  entry = raft_log_get (&raft->log, raft->hard_state.commit_index + 1);
  while (raft->hard_state.commit_index < index)
    {
      INVARIANT (entry->index == raft->hard_state.commit_index + 1);
      raft->hard_state.commit_index = entry->index;
      raft->bytes_since_snapshot += entry->len + sizeof *entry;
      raft_apply (raft, entry);
      entry = list_entry (entry->node.next, struct raft_entry, node);
    }
  if (raft_snapshot_due (raft))
    {
      raft->snapshot_requested = true;
      raft_add_output (raft, RAFT_OUT_TAKE_SNAPSHOT)->u.snapshot_index
          = raft->hard_state.commit_index;
    }
}

/* Moves the persistent state out of LOADED and applies it up to the stored
   commit index.  */
static void
raft_load_state (struct raft *raft, struct raft_persistent_state *loaded)
{
  uint64_t commit_index = loaded->hard_state.commit_index;
  struct list_node *node;

  raft->hard_state = loaded->hard_state;
  if (loaded->snapshot != NULL)
    {
      raft->snapshot = loaded->snapshot;
      loaded->snapshot = NULL;
      raft_log_reset (&raft->log, raft->snapshot);
      raft_add_output (raft, RAFT_OUT_RESTORE)->u.restore
          = raft_snapshot_ref (raft->snapshot);
    }
  while ((node = list_pop_head (&loaded->entries)) != NULL)
    raft_log_append (&raft->log, list_entry (node, struct raft_entry, node));
  raft->hard_state.commit_index = raft->log.base_index;
  raft->written_index = raft->log.last_index;
  raft->durable_index = raft->log.last_index;
  raft_advance_commit_index (raft, commit_index < raft->log.last_index
                                       ? commit_index
                                       : raft->log.last_index);
  raft->written_commit_index = raft->hard_state.commit_index;
}

struct raft *
raft_new (const struct raft_opts *opts, struct raft_persistent_state *loaded,
          clk_us now)
{
  struct raft *raft = raft_alloc (sizeof *raft);

  INVARIANT (opts->id != 0);
  INVARIANT (opts->lease_duration < opts->election_timeout_min);
  INVARIANT (opts->election_timeout_min < opts->election_timeout_max);
  raft->opts = *opts;
  raft->now = now;
  rng_seed (&raft->rng, opts->seed);
  raft_log_init (&raft->log);
  list_init (&raft->peers);
  list_init (&raft->pending_writes);
  list_init (&raft->pending_proposals);
  list_init (&raft->pending_reads);
  list_init (&raft->outputs_awaiting_sync);
  list_init (&raft->outputs);
  raft_load_state (raft, loaded);
  raft_update_members (raft, now);
  /* A leader may have had contact just before the restart and still rely on
     its lease, so no candidate gets a vote for an election timeout.  */
  raft->last_leader_contact = raft->log.last_index == 0 ? 0 : now;
  raft_reset_election_timer (raft, now);
  return raft;
}

/* Frees the items of a list.  The link must be their first member.  */
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
  raft_snapshot_unref (raft->snapshot);
  raft_snapshot_unref (raft->new_snapshot);
  raft_incoming_clear (raft);
  raft_list_free (&raft->peers);
  raft_list_free (&raft->pending_writes);
  raft_list_free (&raft->pending_proposals);
  raft_list_free (&raft->pending_reads);
  raft_out_list_clear (&raft->outputs_awaiting_sync);
  raft_out_list_clear (&raft->outputs);
  free (raft);
}

int
raft_bootstrap (struct raft *raft, const struct raft_members *members,
                uint64_t term, clk_us now)
{
  struct raft_entry *entry;

  raft->now = now;
  if (raft->log.last_index != 0)
    return SR_EEXIST;
  INVARIANT (raft_members_find (members, raft->opts.id) != NULL);
  raft_become_follower (
      raft, term > raft->hard_state.term ? term : raft->hard_state.term + 1, 0,
      now);
  entry = raft_entry_new (RAFT_ENTRY_MEMBERSHIP);
  entry->members = raft_alloc (sizeof *entry->members);
  *entry->members = *members;
  raft_append_new_entry (raft, entry);
  raft->election_deadline = now;
  return SR_OK;
}

/* Begins the handling of an input.  A leader whose lease has expired, because
   it was suspended or partitioned, steps down before it handles the input.  */
static void
raft_begin_input (struct raft *raft, clk_us now)
{
  raft->now = now;
  if (raft->role == RAFT_LEADER && !raft_lease_valid (raft, now))
    raft_become_follower (raft, raft->hard_state.term, 0, now);
}

/* Whether the vote of this replica in the current term is not durable yet.  */
static bool
raft_awaits_vote_sync (const struct raft *raft)
{
  return raft->hard_state.voted_for != 0
         && raft->vote_write_sequence > raft->synced_sequence;
}

clk_us
raft_tick (struct raft *raft, clk_us now)
{
  raft_begin_input (raft, now);
  /* Persists the commit index, so that a replica that restarts without a
     quorum can apply nearly all entries.  At most one additional sync in each
     heartbeat interval.  */
  if (raft->hard_state.commit_index != raft->written_commit_index
      && now >= raft->commit_write_deadline)
    {
      raft->hard_state_dirty = true;
      raft->commit_write_deadline = now + raft->opts.heartbeat_interval;
    }
  if (raft->role == RAFT_LEADER)
    {
      if (raft->transfer_target_id != 0 && now >= raft->transfer_deadline)
        raft->transfer_target_id = 0;
      if (now >= raft->heartbeat_deadline)
        {
          raft->broadcast_pending = true;
          raft->heartbeat_deadline = now + raft->opts.heartbeat_interval;
          raft_send_silent_peers (raft, now);
          raft_manage_members (raft, now);
        }
      return raft->heartbeat_deadline;
    }
  if (now >= raft->election_deadline)
    {
      /* A new term would discard the vote that is being synced.  */
      if (!raft_is_voter (raft, raft->opts.id) || raft_awaits_vote_sync (raft))
        raft_reset_election_timer (raft, now);
      else
        raft_start_prevote (raft, now);
    }
  return raft->election_deadline < now + raft->opts.heartbeat_interval
             ? raft->election_deadline
             : now + raft->opts.heartbeat_interval;
}

/* Adopts a newer term; returns false when the message is to be ignored.  */
static bool
raft_check_term (struct raft *raft, const struct raft_msg *msg, clk_us now)
{
  bool leader_live
      = raft->role == RAFT_LEADER
        || raft->last_leader_contact + raft->opts.election_timeout_min > now;

  if (msg->kind == RAFT_PREVOTE || msg->term <= raft->hard_state.term)
    return true;
  if (msg->kind == RAFT_PREVOTE_REPLY && msg->u.vote_reply.granted)
    return true;
  if (msg->kind == RAFT_VOTE && leader_live
      && !msg->u.vote.leadership_transfer)
    return false;
  raft_become_follower (raft, msg->term, 0, now);
  return true;
}

void
raft_handle_message (struct raft *raft, struct raft_msg *msg, clk_us now)
{
  raft_begin_input (raft, now);
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
      case RAFT_INSTALL_SNAPSHOT:
        raft_on_snapshot_chunk (raft, msg, now);
        break;
      case RAFT_INSTALL_SNAPSHOT_REPLY:
        raft_on_snapshot_chunk_reply (raft, msg, now);
        break;
      case RAFT_TIMEOUT_NOW:
        if (msg->term == raft->hard_state.term
            && raft_is_voter (raft, raft->opts.id))
          raft_start_election (raft, true, now);
        break;
      case RAFT_LEAVE:
        raft_on_leave (raft, msg, now);
        break;
      case RAFT_SILENT_PEERS:
        raft_on_silent_peers (raft, msg, now);
        break;
      case RAFT_HELLO:
      case RAFT_HELLO_REPLY: /* for log/boot */
      case RAFT_MSG_COUNT:
        break;
      }
  raft_msg_free (msg);
}

void
raft_propose (struct raft *raft, uint64_t request_id, uint64_t timestamp_ms,
              uint8_t *data, size_t len, clk_us now)
{
  struct raft_pending_proposal *proposal;
  struct raft_entry *entry;

  raft_begin_input (raft, now);
  if (raft->role != RAFT_LEADER || raft->transfer_target_id != 0)
    {
      free (data);
      raft_refuse_request (raft, request_id,
                           raft->role == RAFT_LEADER ? SR_EAGAIN
                                                     : SR_ENOTLEADER);
      return;
    }
  entry = raft_entry_new (RAFT_ENTRY_COMMAND);
  entry->timestamp_ms = timestamp_ms;
  entry->data = data;
  entry->len = len;
  raft_append_new_entry (raft, entry);
  proposal = raft_alloc (sizeof *proposal);
  proposal->index = entry->index;
  proposal->request_id = request_id;
  list_push_tail (&raft->pending_proposals, &proposal->node);
}

void
raft_read_index (struct raft *raft, uint64_t request_id, clk_us now)
{
  struct raft_pending_read *read;

  raft_begin_input (raft, now);
  if (raft->role != RAFT_LEADER)
    {
      raft_refuse_request (raft, request_id, SR_ENOTLEADER);
      return;
    }
  read = raft_alloc (sizeof *read);
  read->request_id = request_id;
  read->round = raft->round + 1;
  raft->broadcast_pending = true;
  list_push_tail (&raft->pending_reads, &read->node);
  raft_confirm_reads (raft);
}

/* Releases outputs that depend on writes up to the synced one.  */
static void
raft_release_synced_outputs (struct raft *raft)
{
  list_each (node, &raft->outputs_awaiting_sync)
    {
      if (list_entry (node, struct raft_out, node)->write_sequence
          > raft->synced_sequence)
        continue;
      list_remove (node);
      list_push_tail (&raft->outputs, node);
    }
}

void
raft_handle_synced (struct raft *raft, uint64_t sequence, clk_us now)
{
  bool awaited_vote_sync = raft_awaits_vote_sync (raft);

  raft_begin_input (raft, now);
  INVARIANT (sequence <= raft->write_sequence);
  list_each (node, &raft->pending_writes)
    {
      struct raft_pending_write *write
          = list_entry (node, struct raft_pending_write, node);

      if (write->sequence > sequence)
        break;
      if (write->last_index > raft->durable_index)
        raft->durable_index = write->last_index;
      list_remove (node);
      free (write);
    }
  INVARIANT (raft->durable_index <= raft->log.last_index);
  if (sequence > raft->synced_sequence)
    raft->synced_sequence = sequence;
  raft_release_synced_outputs (raft);
  switch (raft->role)
    {
    case RAFT_LEADER:
      raft_update_commit_index (raft, now);
      break;
    case RAFT_CANDIDATE:
      /* The requests for votes are sent now.  */
      if (awaited_vote_sync && !raft_awaits_vote_sync (raft))
        raft_reset_election_timer (raft, now);
      raft_count_votes (raft, now);
      break;
    case RAFT_FOLLOWER:
    case RAFT_PRECANDIDATE:
      raft_ack_durable_entries (raft);
      break;
    }
}

void
raft_store_snapshot (struct raft *raft, uint64_t index, uint8_t *data,
                     size_t len)
{
  struct raft_snapshot *snapshot;
  uint64_t members_index;

  raft->snapshot_requested = false;
  raft->bytes_since_snapshot = 0;
  if (index <= raft->log.base_index
      || (raft->snapshot != NULL && index <= raft->snapshot->index))
    {
      free (data);
      return;
    }
  INVARIANT (index <= raft->hard_state.commit_index);
  snapshot = raft_alloc (sizeof *snapshot);
  snapshot->index = index;
  snapshot->term = raft_log_term (&raft->log, index);
  snapshot->members = *raft_log_members (&raft->log, index, &members_index);
  snapshot->data = data;
  snapshot->len = len;
  raft_snapshot_unref (raft->new_snapshot);
  raft->new_snapshot = raft_snapshot_ref (snapshot);
  raft_snapshot_unref (raft->snapshot);
  raft->snapshot = snapshot;
  /* Keeps the newest entries, so that a follower that was disconnected for a
     short time needs no snapshot.  */
  if (index > raft->opts.snapshot_interval_entries)
    index -= raft->opts.snapshot_interval_entries;
  else
    index = 0;
  raft_log_compact (&raft->log,
                    index < raft->written_index ? index : raft->written_index);
}

/* Whether PEER is a better target of a leadership transfer than BEST, which
   may be NULL.  A peer that leaves itself would hand over at once.  */
static bool
raft_is_better_target (const struct raft *raft, const struct raft_peer *peer,
                       const struct raft_peer *best)
{
  bool leaves = raft_peer_leaves (raft, peer);

  if (best == NULL)
    return true;
  if (leaves != raft_peer_leaves (raft, best))
    return !leaves;
  return peer->match_index > best->match_index;
}

int
raft_transfer_leadership (struct raft *raft, clk_us now)
{
  const struct raft_peer *target = NULL;

  raft_begin_input (raft, now);
  if (raft->role != RAFT_LEADER)
    return SR_ENOTLEADER;
  if (raft->transfer_target_id != 0)
    return SR_OK;
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (!peer->member.learner
          && peer->last_contact + raft->opts.lease_duration > now
          && raft_is_better_target (raft, peer, target))
        target = peer;
    }
  if (target == NULL)
    return SR_ENOENT;
  raft->transfer_target_id = target->member.id;
  raft->transfer_deadline = now + raft->opts.election_timeout_min;
  if (target->match_index == raft->log.last_index)
    raft_send (raft,
               raft_msg_new_to (raft, RAFT_TIMEOUT_NOW, target->member.id));
  return SR_OK;
}

const char *
raft_member_address (const struct raft *raft, uint64_t id)
{
  const struct raft_member *member = raft_members_find (&raft->members, id);

  return member == NULL ? NULL : member->address;
}

void
raft_get_status (const struct raft *raft, struct raft_status *status)
{
  const struct raft_member *self
      = raft_members_find (&raft->members, raft->opts.id);

  *status = (struct raft_status){
    .role = raft->role,
    .term = raft->hard_state.term,
    .commit_index = raft->hard_state.commit_index,
    .last_index = raft->log.last_index,
    .snapshot_index = raft->snapshot == NULL ? 0 : raft->snapshot->index,
    .leader_id = raft->leader_id,
    .is_member = self != NULL,
    .is_voter = self != NULL && !self->learner,
    .last_leader_contact
    = raft->role == RAFT_LEADER ? raft->now : raft->last_leader_contact,
    .members_index = raft->members_index,
    .members = raft->members,
  };
  raft_leader_address (raft, status->leader_address);
}

/* Outputs one write with all state that is not yet written.  */
static void
raft_flush_write (struct raft *raft)
{
  struct raft_pending_write *pending;
  struct raft_write *write;
  struct raft_entry *entry;

  if (raft_last_write_sequence (raft) == raft->write_sequence)
    return;
  write = raft_write_new (raft->opts.group);
  write->sequence = ++raft->write_sequence;
  write->hard_state = raft->hard_state;
  write->truncate_from = raft->truncate_from;
  write->snapshot = raft->new_snapshot;
  entry = raft_log_get (&raft->log, raft->written_index + 1);
  for (; raft->written_index < raft->log.last_index; raft->written_index++)
    {
      list_push_tail (&write->entries, &raft_entry_copy (entry)->node);
      entry = list_entry (entry->node.next, struct raft_entry, node);
    }
  raft->hard_state_dirty = false;
  raft->written_commit_index = raft->hard_state.commit_index;
  raft->truncate_from = 0;
  raft->new_snapshot = NULL;
  pending = raft_alloc (sizeof *pending);
  pending->sequence = write->sequence;
  pending->last_index = raft->written_index;
  list_push_tail (&raft->pending_writes, &pending->node);
  raft_add_output (raft, RAFT_OUT_WRITE)->u.write = write;
}

struct raft_out *
raft_next_output (struct raft *raft)
{
  struct list_node *node;

  if (list_empty (&raft->outputs))
    {
      raft_flush_write (raft);
      if (raft->role == RAFT_LEADER && raft->broadcast_pending)
        raft_broadcast_append (raft, raft->now);
      else if (raft->role == RAFT_LEADER)
        raft_replicate_to_all (raft, raft->now);
    }
  node = list_pop_head (&raft->outputs);
  return node == NULL ? NULL : list_entry (node, struct raft_out, node);
}
