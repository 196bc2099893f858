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
raft_output (struct raft *rep, enum raft_out_kind kind)
{
  struct raft_out *out = raft_alloc (sizeof *out);

  out->kind = kind;
  list_push_tail (&rep->outputs, &out->node);
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
raft_msg_to (struct raft *rep, enum raft_msg_kind kind, uint64_t to)
{
  struct raft_msg *msg = raft_msg_new (kind);

  msg->from = rep->opts.id;
  msg->to = to;
  msg->term = rep->hard.term;
  memcpy (msg->address, rep->opts.address, sizeof msg->address);
  return msg;
}

void
raft_send (struct raft *rep, struct raft_msg *msg)
{
  raft_output (rep, RAFT_OUT_SEND)->u.send = msg;
}

/* Sequence of the write that makes all present state durable.  */
uint64_t
raft_state_sequence (const struct raft *rep)
{
  bool waiting = rep->hard_dirty || rep->written < rep->log.last_index
                 || rep->truncate_from != 0 || rep->new_snapshot != NULL;

  return rep->sequence + (waiting ? 1 : 0);
}

void
raft_send_synced (struct raft *rep, struct raft_msg *msg)
{
  struct raft_out *out = raft_output (rep, RAFT_OUT_SEND);

  out->u.send = msg;
  out->after = raft_state_sequence (rep);
  if (out->after <= rep->synced)
    return;
  list_remove (&out->node);
  list_push_tail (&rep->held, &out->node);
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
raft_leader_address (const struct raft *rep, char *out)
{
  const struct raft_member *member
      = raft_members_find (&rep->members, rep->leader);

  memset (out, 0, RAFT_ADDRESS_BYTES);
  if (rep->leader != 0 && member != NULL)
    memcpy (out, member->address, RAFT_ADDRESS_BYTES);
}

void
raft_refuse (struct raft *rep, uint64_t request, int status)
{
  struct raft_out *out = raft_output (rep, RAFT_OUT_REFUSED);

  out->u.refused.request = request;
  out->u.refused.status = status;
  raft_leader_address (rep, out->u.refused.leader);
}

bool
raft_is_voter (const struct raft *rep, uint64_t id)
{
  const struct raft_member *member = raft_members_find (&rep->members, id);

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
raft_reset_election (struct raft *rep, clk_us now)
{
  clk_us spread = rep->opts.election_max - rep->opts.election_min;

  rep->election_deadline = now + rep->opts.election_min
                           + rng_below (&rep->rng, (uint32_t)spread + 1);
}

/* Reads and proposals of a former leader: their fate is not known here.  */
static void
raft_refuse_pending (struct raft *rep)
{
  struct list_node *node;

  while ((node = list_pop_head (&rep->proposals)) != NULL)
    {
      struct raft_pending_proposal *proposal
          = list_entry (node, struct raft_pending_proposal, node);

      raft_refuse (rep, proposal->request, SR_EAGAIN);
      free (proposal);
    }
  while ((node = list_pop_head (&rep->reads)) != NULL)
    {
      struct raft_pending_read *read
          = list_entry (node, struct raft_pending_read, node);

      raft_refuse (rep, read->request, SR_EAGAIN);
      free (read);
    }
}

static void
raft_incoming_clear (struct raft *rep)
{
  free (rep->incoming.data);
  rep->incoming = (struct raft_incoming){ 0 };
}

void
raft_follow (struct raft *rep, uint64_t term, uint64_t leader, clk_us now)
{
  bool changed = rep->role != RAFT_FOLLOWER || rep->leader != leader
                 || rep->hard.term != term;

  INVARIANT (term >= rep->hard.term);
  if (term > rep->hard.term)
    {
      rep->hard.term = term;
      rep->hard.vote = 0;
      rep->hard_dirty = true;
      /* What was equal to a former leader's log may be replaced by this
         one's, so it must not be acknowledged any more.  */
      raft_out_list_clear (&rep->held);
      raft_incoming_clear (rep);
      rep->ack_index = 0;
      rep->ack_sent = 0;
    }
  rep->role = RAFT_FOLLOWER;
  rep->leader = leader;
  rep->transfer_to = 0;
  raft_refuse_pending (rep);
  raft_reset_election (rep, now);
  if (changed)
    raft_output (rep, RAFT_OUT_ROLE);
}

void
raft_lead (struct raft *rep, clk_us now)
{
  INVARIANT (rep->role == RAFT_CANDIDATE);
  INVARIANT (rep->hard.vote == rep->opts.id);
  rep->role = RAFT_LEADER;
  rep->leader = rep->opts.id;
  rep->term_start = rep->log.last_index + 1;
  rep->heartbeat_deadline = now + rep->opts.heartbeat;
  list_each (node, &rep->peers)
    {
      struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      peer->next = rep->log.last_index + 1;
      peer->match = 0;
      peer->matched_at = now;
      peer->unanswered = 0;
      peer->acked_round = 0;
      peer->acked_sent = now;
      peer->heard = now;
      peer->chunk_index = 0;
    }
  raft_append_own (rep, raft_entry_new (RAFT_NOOP));
  rep->broadcast_wanted = true;
  raft_output (rep, RAFT_OUT_ROLE);
}

void
raft_append_own (struct raft *rep, struct raft_entry *entry)
{
  const struct raft_entry *last
      = raft_log_get (&rep->log, rep->log.last_index);

  entry->term = rep->hard.term;
  entry->index = rep->log.last_index + 1;
  /* Time in the state machines never goes back, whatever the clock of a new
     leader says.  */
  if (last != NULL && last->stamp_ms > entry->stamp_ms)
    entry->stamp_ms = last->stamp_ms;
  raft_log_append (&rep->log, entry);
  if (entry->kind == RAFT_MEMBERSHIP)
    raft_adopt_members (rep, rep->now);
}

void
raft_truncate (struct raft *rep, uint64_t from)
{
  INVARIANT (from > rep->hard.commit);
  raft_log_truncate (&rep->log, from);
  if (rep->written >= from)
    {
      rep->written = from - 1;
      if (rep->truncate_from == 0 || from < rep->truncate_from)
        rep->truncate_from = from;
    }
  if (rep->durable >= from)
    rep->durable = from - 1;
  list_each (node, &rep->writes)
    {
      struct raft_pending_write *write
          = list_entry (node, struct raft_pending_write, node);

      if (write->last_index >= from)
        write->last_index = from - 1;
    }
  if (rep->members_index >= from)
    raft_adopt_members (rep, rep->now);
}

/* Hands the committed ENTRY to the state machine.  */
static void
raft_apply (struct raft *rep, const struct raft_entry *entry)
{
  struct list_node *node = list_first (&rep->proposals);
  struct raft_pending_proposal *proposal
      = node == NULL ? NULL
                     : list_entry (node, struct raft_pending_proposal, node);
  bool here = proposal != NULL && proposal->index == entry->index;
  struct raft_out *out;

  INVARIANT (proposal == NULL || proposal->index >= entry->index);
  if (entry->kind != RAFT_COMMAND)
    return;
  out = raft_output (rep, RAFT_OUT_APPLY);
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
raft_sends_snapshot (const struct raft *rep)
{
  if (rep->role != RAFT_LEADER)
    return false;
  list_each (node, &rep->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (peer->chunk_index != 0
          && peer->heard + rep->opts.election_max > rep->now)
        return true;
    }
  return false;
}

/* A large state is written less often than every so many entries, so that
   snapshots stay in proportion to the log.  */
static bool
raft_snapshot_due (const struct raft *rep)
{
  const struct raft_snapshot *last = rep->snapshot;
  uint64_t from = last == NULL ? 0 : last->index;
  uint64_t bytes = last == NULL ? 0 : last->len / RAFT_SNAPSHOT_SHARE;

  return !rep->snapshot_wanted && !raft_sends_snapshot (rep)
         && rep->hard.commit - from >= rep->opts.snapshot_every
         && rep->snapshot_bytes >= bytes;
}

void
raft_commit_to (struct raft *rep, uint64_t index)
{
  struct raft_entry *entry;

  if (index <= rep->hard.commit)
    return;
  INVARIANT (index <= rep->log.last_index);
  entry = raft_log_get (&rep->log, rep->hard.commit + 1);
  while (rep->hard.commit < index)
    {
      INVARIANT (entry->index == rep->hard.commit + 1);
      rep->hard.commit = entry->index;
      rep->snapshot_bytes += entry->len + sizeof *entry;
      raft_apply (rep, entry);
      entry = list_entry (entry->node.next, struct raft_entry, node);
    }
  if (raft_snapshot_due (rep))
    {
      rep->snapshot_wanted = true;
      raft_output (rep, RAFT_OUT_SNAPSHOT_WANTED)->u.snapshot_index
          = rep->hard.commit;
    }
}

/* Takes over what was loaded from disk.  */
static void
raft_load (struct raft *rep, struct wal_loaded *loaded)
{
  uint64_t commit = loaded->hard.commit;
  struct list_node *node;

  rep->hard = loaded->hard;
  if (loaded->snapshot != NULL)
    {
      rep->snapshot = loaded->snapshot;
      loaded->snapshot = NULL;
      raft_log_reset (&rep->log, rep->snapshot);
      raft_output (rep, RAFT_OUT_RESTORE)->u.restore
          = raft_snapshot_share (rep->snapshot);
    }
  while ((node = list_pop_head (&loaded->entries)) != NULL)
    raft_log_append (&rep->log, list_entry (node, struct raft_entry, node));
  rep->hard.commit = rep->log.base_index;
  rep->written = rep->log.last_index;
  rep->durable = rep->log.last_index;
  raft_commit_to (rep,
                  commit < rep->log.last_index ? commit : rep->log.last_index);
  rep->commit_written = rep->hard.commit;
}

struct raft *
raft_new (const struct raft_opts *opts, struct wal_loaded *loaded, clk_us now)
{
  struct raft *rep = raft_alloc (sizeof *rep);

  INVARIANT (opts->id != 0);
  INVARIANT (opts->lease < opts->election_min);
  INVARIANT (opts->election_min < opts->election_max);
  rep->opts = *opts;
  rep->now = now;
  rng_seed (&rep->rng, opts->seed);
  raft_log_init (&rep->log);
  list_init (&rep->peers);
  list_init (&rep->writes);
  list_init (&rep->proposals);
  list_init (&rep->reads);
  list_init (&rep->held);
  list_init (&rep->outputs);
  raft_load (rep, loaded);
  raft_adopt_members (rep, now);
  /* A restarted replica may have heard a leader just before it stopped.  */
  rep->leader_heard = rep->log.last_index == 0 ? 0 : now;
  raft_reset_election (rep, now);
  return rep;
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
raft_free (struct raft *rep)
{
  if (rep == NULL)
    return;
  raft_log_clear (&rep->log);
  raft_snapshot_free (rep->snapshot);
  raft_snapshot_free (rep->new_snapshot);
  raft_incoming_clear (rep);
  raft_list_free (&rep->peers);
  raft_list_free (&rep->writes);
  raft_list_free (&rep->proposals);
  raft_list_free (&rep->reads);
  raft_out_list_clear (&rep->held);
  raft_out_list_clear (&rep->outputs);
  free (rep);
}

int
raft_create (struct raft *rep, const struct raft_members *members,
             uint64_t term, clk_us now)
{
  struct raft_entry *entry;

  rep->now = now;
  if (rep->log.last_index != 0)
    return SR_EEXIST;
  INVARIANT (raft_members_find (members, rep->opts.id) != NULL);
  raft_follow (rep, term > rep->hard.term ? term : rep->hard.term + 1, 0, now);
  entry = raft_entry_new (RAFT_MEMBERSHIP);
  entry->members = raft_alloc (sizeof *entry->members);
  *entry->members = *members;
  raft_append_own (rep, entry);
  rep->election_deadline = now;
  return SR_OK;
}

/* Each input starts here.  A leader that was frozen or cut off finds its
   lease over before it acts on anything else.  */
static void
raft_begin (struct raft *rep, clk_us now)
{
  rep->now = now;
  if (rep->role == RAFT_LEADER && !raft_lease_valid (rep, now))
    raft_follow (rep, rep->hard.term, 0, now);
}

clk_us
raft_tick (struct raft *rep, clk_us now)
{
  raft_begin (rep, now);
  /* Lets a restart without a quorum apply nearly everything.  At most one
     extra sync for each heartbeat.  */
  if (rep->hard.commit != rep->commit_written && now >= rep->commit_deadline)
    {
      rep->hard_dirty = true;
      rep->commit_deadline = now + rep->opts.heartbeat;
    }
  if (rep->role == RAFT_LEADER)
    {
      if (rep->transfer_to != 0 && now >= rep->transfer_deadline)
        rep->transfer_to = 0;
      if (now >= rep->heartbeat_deadline)
        {
          rep->broadcast_wanted = true;
          rep->heartbeat_deadline = now + rep->opts.heartbeat;
          raft_manage_members (rep, now);
        }
      return rep->heartbeat_deadline;
    }
  if (now >= rep->election_deadline)
    {
      if (raft_is_voter (rep, rep->opts.id))
        raft_start_prevote (rep, now);
      else
        raft_reset_election (rep, now);
    }
  return rep->election_deadline < now + rep->opts.heartbeat
             ? rep->election_deadline
             : now + rep->opts.heartbeat;
}

/* Adopts a newer term; false when the message is not to be handled.  */
static bool
raft_check_term (struct raft *rep, const struct raft_msg *msg, clk_us now)
{
  bool sticky = rep->role == RAFT_LEADER
                || rep->leader_heard + rep->opts.election_min > now;

  if (msg->kind == RAFT_PREVOTE || msg->term <= rep->hard.term)
    return true;
  if (msg->kind == RAFT_PREVOTE_REPLY && msg->u.vote_reply.granted)
    return true;
  if (msg->kind == RAFT_VOTE && sticky && !msg->u.vote.transfer)
    return false;
  raft_follow (rep, msg->term, 0, now);
  return true;
}

void
raft_message (struct raft *rep, struct raft_msg *msg, clk_us now)
{
  raft_begin (rep, now);
  if (msg->kind == RAFT_HELLO)
    raft_on_hello (rep, msg, now);
  else if (msg->to == rep->opts.id && raft_check_term (rep, msg, now))
    switch (msg->kind)
      {
      case RAFT_PREVOTE:
        raft_on_prevote (rep, msg, now);
        break;
      case RAFT_VOTE:
        raft_on_vote (rep, msg, now);
        break;
      case RAFT_PREVOTE_REPLY:
      case RAFT_VOTE_REPLY:
        raft_on_vote_reply (rep, msg, now);
        break;
      case RAFT_APPEND:
        raft_on_append (rep, msg, now);
        break;
      case RAFT_APPEND_REPLY:
        raft_on_append_reply (rep, msg, now);
        break;
      case RAFT_SNAPSHOT:
        raft_on_chunk (rep, msg, now);
        break;
      case RAFT_SNAPSHOT_REPLY:
        raft_on_chunk_reply (rep, msg, now);
        break;
      case RAFT_TIMEOUT_NOW:
        if (msg->term == rep->hard.term && raft_is_voter (rep, rep->opts.id))
          raft_start_vote (rep, true, now);
        break;
      case RAFT_HELLO:
      case RAFT_HELLO_REPLY: /* for log/boot */
      case RAFT_MSG_COUNT:
        break;
      }
  raft_msg_free (msg);
}

void
raft_propose (struct raft *rep, uint64_t request, uint64_t stamp_ms,
              uint8_t *data, size_t len, clk_us now)
{
  struct raft_pending_proposal *proposal;
  struct raft_entry *entry;

  raft_begin (rep, now);
  if (rep->role != RAFT_LEADER || rep->transfer_to != 0)
    {
      free (data);
      raft_refuse (rep, request,
                   rep->role == RAFT_LEADER ? SR_EAGAIN : SR_ENOTLEADER);
      return;
    }
  entry = raft_entry_new (RAFT_COMMAND);
  entry->stamp_ms = stamp_ms;
  entry->data = data;
  entry->len = len;
  raft_append_own (rep, entry);
  proposal = raft_alloc (sizeof *proposal);
  proposal->index = entry->index;
  proposal->request = request;
  list_push_tail (&rep->proposals, &proposal->node);
}

void
raft_read (struct raft *rep, uint64_t request, clk_us now)
{
  struct raft_pending_read *read;

  raft_begin (rep, now);
  if (rep->role != RAFT_LEADER)
    {
      raft_refuse (rep, request, SR_ENOTLEADER);
      return;
    }
  read = raft_alloc (sizeof *read);
  read->request = request;
  read->round = rep->round + 1;
  rep->broadcast_wanted = true;
  list_push_tail (&rep->reads, &read->node);
  raft_confirm_reads (rep);
}

/* Sends what waited for writes up to the synced one.  */
static void
raft_release_held (struct raft *rep)
{
  list_each (node, &rep->held)
    {
      if (list_entry (node, struct raft_out, node)->after > rep->synced)
        continue;
      list_remove (node);
      list_push_tail (&rep->outputs, node);
    }
}

void
raft_synced (struct raft *rep, uint64_t sequence, clk_us now)
{
  raft_begin (rep, now);
  INVARIANT (sequence <= rep->sequence);
  list_each (node, &rep->writes)
    {
      struct raft_pending_write *write
          = list_entry (node, struct raft_pending_write, node);

      if (write->sequence > sequence)
        break;
      if (write->last_index > rep->durable)
        rep->durable = write->last_index;
      list_remove (node);
      free (write);
    }
  INVARIANT (rep->durable <= rep->log.last_index);
  if (sequence > rep->synced)
    rep->synced = sequence;
  raft_release_held (rep);
  switch (rep->role)
    {
    case RAFT_LEADER:
      raft_leader_commit (rep, now);
      break;
    case RAFT_CANDIDATE:
      raft_check_votes (rep, now);
      break;
    case RAFT_FOLLOWER:
    case RAFT_PRECANDIDATE:
      raft_ack_durable (rep);
      break;
    }
}

void
raft_snapshot_taken (struct raft *rep, uint64_t index, uint8_t *data,
                     size_t len)
{
  struct raft_snapshot *snapshot;
  uint64_t at;

  rep->snapshot_wanted = false;
  rep->snapshot_bytes = 0;
  if (index <= rep->log.base_index
      || (rep->snapshot != NULL && index <= rep->snapshot->index))
    {
      free (data);
      return;
    }
  INVARIANT (index <= rep->hard.commit);
  snapshot = raft_alloc (sizeof *snapshot);
  snapshot->index = index;
  snapshot->term = raft_log_term (&rep->log, index);
  snapshot->members = *raft_log_members (&rep->log, index, &at);
  snapshot->data = data;
  snapshot->len = len;
  raft_snapshot_free (rep->new_snapshot);
  rep->new_snapshot = raft_snapshot_share (snapshot);
  raft_snapshot_free (rep->snapshot);
  rep->snapshot = snapshot;
  /* Keeps a tail so that a follower that was away briefly needs no
     snapshot.  */
  if (index > rep->opts.snapshot_every)
    index -= rep->opts.snapshot_every;
  else
    index = 0;
  raft_log_compact (&rep->log, index < rep->written ? index : rep->written);
}

int
raft_transfer (struct raft *rep, clk_us now)
{
  const struct raft_peer *best = NULL;

  raft_begin (rep, now);
  if (rep->role != RAFT_LEADER)
    return SR_ENOTLEADER;
  if (rep->transfer_to != 0)
    return SR_OK;
  list_each (node, &rep->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (!peer->member.learner && peer->heard + rep->opts.lease > now
          && (best == NULL || peer->match > best->match))
        best = peer;
    }
  if (best == NULL)
    return SR_ENOENT;
  rep->transfer_to = best->member.id;
  rep->transfer_deadline = now + rep->opts.election_min;
  if (best->match == rep->log.last_index)
    raft_send (rep, raft_msg_to (rep, RAFT_TIMEOUT_NOW, best->member.id));
  return SR_OK;
}

const char *
raft_address (const struct raft *rep, uint64_t id)
{
  const struct raft_member *member = raft_members_find (&rep->members, id);

  return member == NULL ? NULL : member->address;
}

void
raft_status (const struct raft *rep, struct raft_status *status)
{
  const struct raft_member *self
      = raft_members_find (&rep->members, rep->opts.id);

  *status = (struct raft_status){
    .role = rep->role,
    .term = rep->hard.term,
    .commit = rep->hard.commit,
    .last_index = rep->log.last_index,
    .snapshot_index = rep->snapshot == NULL ? 0 : rep->snapshot->index,
    .leader = rep->leader,
    .member = self != NULL,
    .voter = self != NULL && !self->learner,
    .leader_heard = rep->role == RAFT_LEADER ? rep->now : rep->leader_heard,
    .members = rep->members,
  };
  raft_leader_address (rep, status->leader_address);
}

/* Puts everything that is not yet written into one write.  */
static void
raft_flush_write (struct raft *rep)
{
  struct raft_pending_write *pending;
  struct wal_write *write;
  struct raft_entry *entry;

  if (raft_state_sequence (rep) == rep->sequence)
    return;
  write = wal_write_new (rep->opts.group);
  write->sequence = ++rep->sequence;
  write->hard = rep->hard;
  write->truncate_from = rep->truncate_from;
  write->snapshot = rep->new_snapshot;
  entry = raft_log_get (&rep->log, rep->written + 1);
  for (; rep->written < rep->log.last_index; rep->written++)
    {
      list_push_tail (&write->entries, &raft_entry_copy (entry)->node);
      entry = list_entry (entry->node.next, struct raft_entry, node);
    }
  rep->hard_dirty = false;
  rep->commit_written = rep->hard.commit;
  rep->truncate_from = 0;
  rep->new_snapshot = NULL;
  pending = raft_alloc (sizeof *pending);
  pending->sequence = write->sequence;
  pending->last_index = rep->written;
  list_push_tail (&rep->writes, &pending->node);
  raft_output (rep, RAFT_OUT_WRITE)->u.write = write;
}

struct raft_out *
raft_next_output (struct raft *rep)
{
  struct list_node *node;

  if (list_empty (&rep->outputs))
    {
      raft_flush_write (rep);
      if (rep->role == RAFT_LEADER && rep->broadcast_wanted)
        raft_broadcast (rep, rep->now);
      else if (rep->role == RAFT_LEADER)
        raft_send_pending (rep, rep->now);
    }
  node = list_pop_head (&rep->outputs);
  return node == NULL ? NULL : list_entry (node, struct raft_out, node);
}
