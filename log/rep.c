#include "log/rep_impl.h"

#include <stdlib.h>
#include <string.h>

void
rep_opts_default (struct rep_opts *opts)
{
  opts->snapshot_every = 1000;
  opts->heartbeat = clk_ms (100);
  opts->election_min = clk_ms (500);
  opts->election_max = clk_ms (1000);
  opts->lease = clk_ms (400);
  opts->replace_after = clk_s (60);
  opts->voters_most = REP_VOTERS_MAX;
}

void *
rep_alloc (size_t size)
{
  void *out = calloc (1, size);

  INVARIANT (out != NULL);
  return out;
}

struct rep_out *
rep_output (struct rep *rep, enum rep_out_kind kind)
{
  struct rep_out *out = rep_alloc (sizeof *out);

  out->kind = kind;
  lst_push_tail (&rep->outputs, &out->node);
  return out;
}

void
rep_out_free (struct rep_out *out)
{
  if (out == NULL)
    return;
  switch (out->kind)
    {
    case REP_OUT_SEND:
      rep_msg_free (out->u.send);
      break;
    case REP_OUT_WRITE:
      sto_write_free (out->u.write);
      break;
    case REP_OUT_APPLY:
      rep_entry_free (out->u.apply.entry);
      break;
    case REP_OUT_RESTORE:
      rep_snapshot_free (out->u.restore);
      break;
    case REP_OUT_REFUSED:
    case REP_OUT_READ:
    case REP_OUT_ROLE:
    case REP_OUT_SNAPSHOT_WANTED:
    case REP_OUT_ENTRIES_LOST:
      break;
    }
  free (out);
}

struct rep_msg *
rep_msg_to (struct rep *rep, enum rep_msg_kind kind, uint64_t to)
{
  struct rep_msg *msg = rep_msg_new (kind);

  msg->from = rep->opts.id;
  msg->to = to;
  msg->term = rep->hard.term;
  memcpy (msg->address, rep->opts.address, sizeof msg->address);
  return msg;
}

void
rep_send (struct rep *rep, struct rep_msg *msg)
{
  rep_output (rep, REP_OUT_SEND)->u.send = msg;
}

/* Sequence of the write that makes all present state durable.  */
uint64_t
rep_state_sequence (const struct rep *rep)
{
  bool waiting = rep->hard_dirty || rep->written < rep->log.last_index
                 || rep->truncate_from != 0 || rep->new_snapshot != NULL;

  return rep->sequence + (waiting ? 1 : 0);
}

void
rep_send_synced (struct rep *rep, struct rep_msg *msg)
{
  struct rep_out *out = rep_output (rep, REP_OUT_SEND);

  out->u.send = msg;
  out->after = rep_state_sequence (rep);
  if (out->after <= rep->synced)
    return;
  lst_remove (&out->node);
  lst_push_tail (&rep->held, &out->node);
}

static void
rep_out_list_clear (struct lst *list)
{
  struct lst_node *node;

  while ((node = lst_pop_head (list)) != NULL)
    rep_out_free (lst_entry (node, struct rep_out, node));
}

/* Address of the known leader, empty when there is none.  */
static void
rep_leader_address (const struct rep *rep, char *out)
{
  const struct rep_member *member
      = rep_members_find (&rep->members, rep->leader);

  memset (out, 0, REP_ADDRESS_BYTES);
  if (rep->leader != 0 && member != NULL)
    memcpy (out, member->address, REP_ADDRESS_BYTES);
}

void
rep_refuse (struct rep *rep, uint64_t request, int status)
{
  struct rep_out *out = rep_output (rep, REP_OUT_REFUSED);

  out->u.refused.request = request;
  out->u.refused.status = status;
  rep_leader_address (rep, out->u.refused.leader);
}

bool
rep_is_voter (const struct rep *rep, uint64_t id)
{
  const struct rep_member *member = rep_members_find (&rep->members, id);

  return member != NULL && !member->learner;
}

uint32_t
rep_voters (const struct rep_members *members)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < members->count; i++)
    count += members->list[i].learner ? 0 : 1;
  return count;
}

void
rep_reset_election (struct rep *rep, clk_us now)
{
  clk_us spread = rep->opts.election_max - rep->opts.election_min;

  rep->election_deadline = now + rep->opts.election_min
                           + rng_below (&rep->rng, (uint32_t)spread + 1);
}

/* Reads and proposals of a former leader: their fate is not known here.  */
static void
rep_refuse_pending (struct rep *rep)
{
  struct lst_node *node;

  while ((node = lst_pop_head (&rep->proposals)) != NULL)
    {
      struct rep_pending_proposal *proposal
          = lst_entry (node, struct rep_pending_proposal, node);

      rep_refuse (rep, proposal->request, SR_EAGAIN);
      free (proposal);
    }
  while ((node = lst_pop_head (&rep->reads)) != NULL)
    {
      struct rep_pending_read *read
          = lst_entry (node, struct rep_pending_read, node);

      rep_refuse (rep, read->request, SR_EAGAIN);
      free (read);
    }
}

static void
rep_incoming_clear (struct rep *rep)
{
  free (rep->incoming.data);
  rep->incoming = (struct rep_incoming){ 0 };
}

void
rep_follow (struct rep *rep, uint64_t term, uint64_t leader, clk_us now)
{
  bool changed = rep->role != REP_FOLLOWER || rep->leader != leader
                 || rep->hard.term != term;

  INVARIANT (term >= rep->hard.term);
  if (term > rep->hard.term)
    {
      rep->hard.term = term;
      rep->hard.vote = 0;
      rep->hard_dirty = true;
      /* What was equal to a former leader's log may be replaced by this
         one's, so it must not be acknowledged any more.  */
      rep_out_list_clear (&rep->held);
      rep_incoming_clear (rep);
      rep->ack_index = 0;
      rep->ack_sent = 0;
    }
  rep->role = REP_FOLLOWER;
  rep->leader = leader;
  rep->transfer_to = 0;
  rep_refuse_pending (rep);
  rep_reset_election (rep, now);
  if (changed)
    rep_output (rep, REP_OUT_ROLE);
}

void
rep_lead (struct rep *rep, clk_us now)
{
  INVARIANT (rep->role == REP_CANDIDATE);
  INVARIANT (rep->hard.vote == rep->opts.id);
  rep->role = REP_LEADER;
  rep->leader = rep->opts.id;
  rep->term_start = rep->log.last_index + 1;
  rep->heartbeat_deadline = now + rep->opts.heartbeat;
  lst_each (node, &rep->peers)
    {
      struct rep_peer *peer = lst_entry (node, struct rep_peer, node);

      peer->next = rep->log.last_index + 1;
      peer->match = 0;
      peer->matched_at = now;
      peer->unanswered = 0;
      peer->acked_round = 0;
      peer->acked_sent = now;
      peer->heard = now;
      peer->chunk_index = 0;
    }
  rep_append_own (rep, rep_entry_new (REP_NOOP));
  rep->broadcast_wanted = true;
  rep_output (rep, REP_OUT_ROLE);
}

void
rep_append_own (struct rep *rep, struct rep_entry *entry)
{
  const struct rep_entry *last = rep_log_get (&rep->log, rep->log.last_index);

  entry->term = rep->hard.term;
  entry->index = rep->log.last_index + 1;
  /* Time in the state machines never goes back, whatever the clock of a new
     leader says.  */
  if (last != NULL && last->stamp_ms > entry->stamp_ms)
    entry->stamp_ms = last->stamp_ms;
  rep_log_append (&rep->log, entry);
  if (entry->kind == REP_MEMBERSHIP)
    rep_adopt_members (rep, rep->now);
}

void
rep_truncate (struct rep *rep, uint64_t from)
{
  INVARIANT (from > rep->hard.commit);
  rep_log_truncate (&rep->log, from);
  if (rep->written >= from)
    {
      rep->written = from - 1;
      if (rep->truncate_from == 0 || from < rep->truncate_from)
        rep->truncate_from = from;
    }
  if (rep->durable >= from)
    rep->durable = from - 1;
  lst_each (node, &rep->writes)
    {
      struct rep_pending_write *write
          = lst_entry (node, struct rep_pending_write, node);

      if (write->last_index >= from)
        write->last_index = from - 1;
    }
  if (rep->members_index >= from)
    rep_adopt_members (rep, rep->now);
}

/* Hands the committed ENTRY to the state machine.  */
static void
rep_apply (struct rep *rep, const struct rep_entry *entry)
{
  struct lst_node *node = lst_first (&rep->proposals);
  struct rep_pending_proposal *proposal
      = node == NULL ? NULL
                     : lst_entry (node, struct rep_pending_proposal, node);
  bool here = proposal != NULL && proposal->index == entry->index;
  struct rep_out *out;

  INVARIANT (proposal == NULL || proposal->index >= entry->index);
  if (entry->kind != REP_COMMAND)
    return;
  out = rep_output (rep, REP_OUT_APPLY);
  out->u.apply.entry = rep_entry_copy (entry);
  out->u.apply.proposed_here = here;
  if (here)
    {
      out->u.apply.request = proposal->request;
      lst_remove (node);
      free (proposal);
    }
}

/* A snapshot on its way to a peer is kept until the peer has it; otherwise a
   busy log would replace it faster than it can be sent.  */
static bool
rep_sends_snapshot (const struct rep *rep)
{
  if (rep->role != REP_LEADER)
    return false;
  lst_each (node, &rep->peers)
    {
      const struct rep_peer *peer = lst_entry (node, struct rep_peer, node);

      if (peer->chunk_index != 0
          && peer->heard + rep->opts.election_max > rep->now)
        return true;
    }
  return false;
}

/* A large state is written less often than every so many entries, so that
   snapshots stay in proportion to the log.  */
static bool
rep_snapshot_due (const struct rep *rep)
{
  const struct rep_snapshot *last = rep->snapshot;
  uint64_t from = last == NULL ? 0 : last->index;
  uint64_t bytes = last == NULL ? 0 : last->len / REP_SNAPSHOT_SHARE;

  return !rep->snapshot_wanted && !rep_sends_snapshot (rep)
         && rep->hard.commit - from >= rep->opts.snapshot_every
         && rep->snapshot_bytes >= bytes;
}

void
rep_commit_to (struct rep *rep, uint64_t index)
{
  struct rep_entry *entry;

  if (index <= rep->hard.commit)
    return;
  INVARIANT (index <= rep->log.last_index);
  entry = rep_log_get (&rep->log, rep->hard.commit + 1);
  while (rep->hard.commit < index)
    {
      INVARIANT (entry->index == rep->hard.commit + 1);
      rep->hard.commit = entry->index;
      rep->snapshot_bytes += entry->len + sizeof *entry;
      rep_apply (rep, entry);
      entry = lst_entry (entry->node.next, struct rep_entry, node);
    }
  if (rep_snapshot_due (rep))
    {
      rep->snapshot_wanted = true;
      rep_output (rep, REP_OUT_SNAPSHOT_WANTED)->u.snapshot_index
          = rep->hard.commit;
    }
}

/* Takes over what was loaded from disk.  */
static void
rep_load (struct rep *rep, struct sto_loaded *loaded)
{
  uint64_t commit = loaded->hard.commit;
  struct lst_node *node;

  rep->hard = loaded->hard;
  if (loaded->snapshot != NULL)
    {
      rep->snapshot = loaded->snapshot;
      loaded->snapshot = NULL;
      rep_log_reset (&rep->log, rep->snapshot);
      rep_output (rep, REP_OUT_RESTORE)->u.restore
          = rep_snapshot_share (rep->snapshot);
    }
  while ((node = lst_pop_head (&loaded->entries)) != NULL)
    rep_log_append (&rep->log, lst_entry (node, struct rep_entry, node));
  rep->hard.commit = rep->log.base_index;
  rep->written = rep->log.last_index;
  rep->durable = rep->log.last_index;
  rep_commit_to (rep,
                 commit < rep->log.last_index ? commit : rep->log.last_index);
  rep->commit_written = rep->hard.commit;
}

struct rep *
rep_new (const struct rep_opts *opts, struct sto_loaded *loaded, clk_us now)
{
  struct rep *rep = rep_alloc (sizeof *rep);

  INVARIANT (opts->id != 0);
  INVARIANT (opts->lease < opts->election_min);
  INVARIANT (opts->election_min < opts->election_max);
  rep->opts = *opts;
  rep->now = now;
  rng_seed (&rep->rng, opts->seed);
  rep_log_init (&rep->log);
  lst_init (&rep->peers);
  lst_init (&rep->writes);
  lst_init (&rep->proposals);
  lst_init (&rep->reads);
  lst_init (&rep->held);
  lst_init (&rep->outputs);
  rep_load (rep, loaded);
  rep_adopt_members (rep, now);
  /* A restarted replica may have heard a leader just before it stopped.  */
  rep->leader_heard = rep->log.last_index == 0 ? 0 : now;
  rep_reset_election (rep, now);
  return rep;
}

/* Frees the items of a list whose link is their first member.  */
static void
rep_list_free (struct lst *list)
{
  struct lst_node *node;

  while ((node = lst_pop_head (list)) != NULL)
    free (node);
}

void
rep_free (struct rep *rep)
{
  if (rep == NULL)
    return;
  rep_log_clear (&rep->log);
  rep_snapshot_free (rep->snapshot);
  rep_snapshot_free (rep->new_snapshot);
  rep_incoming_clear (rep);
  rep_list_free (&rep->peers);
  rep_list_free (&rep->writes);
  rep_list_free (&rep->proposals);
  rep_list_free (&rep->reads);
  rep_out_list_clear (&rep->held);
  rep_out_list_clear (&rep->outputs);
  free (rep);
}

int
rep_create (struct rep *rep, const struct rep_members *members, uint64_t term,
            clk_us now)
{
  struct rep_entry *entry;

  rep->now = now;
  if (rep->log.last_index != 0)
    return SR_EEXIST;
  INVARIANT (rep_members_find (members, rep->opts.id) != NULL);
  rep_follow (rep, term > rep->hard.term ? term : rep->hard.term + 1, 0, now);
  entry = rep_entry_new (REP_MEMBERSHIP);
  entry->members = rep_alloc (sizeof *entry->members);
  *entry->members = *members;
  rep_append_own (rep, entry);
  rep->election_deadline = now;
  return SR_OK;
}

/* Each input starts here.  A leader that was frozen or cut off finds its
   lease over before it acts on anything else.  */
static void
rep_begin (struct rep *rep, clk_us now)
{
  rep->now = now;
  if (rep->role == REP_LEADER && !rep_lease_valid (rep, now))
    rep_follow (rep, rep->hard.term, 0, now);
}

clk_us
rep_tick (struct rep *rep, clk_us now)
{
  rep_begin (rep, now);
  /* Lets a restart without a quorum apply nearly everything.  At most one
     extra sync for each heartbeat.  */
  if (rep->hard.commit != rep->commit_written && now >= rep->commit_deadline)
    {
      rep->hard_dirty = true;
      rep->commit_deadline = now + rep->opts.heartbeat;
    }
  if (rep->role == REP_LEADER)
    {
      if (rep->transfer_to != 0 && now >= rep->transfer_deadline)
        rep->transfer_to = 0;
      if (now >= rep->heartbeat_deadline)
        {
          rep->broadcast_wanted = true;
          rep->heartbeat_deadline = now + rep->opts.heartbeat;
          rep_manage_members (rep, now);
        }
      return rep->heartbeat_deadline;
    }
  if (now >= rep->election_deadline)
    {
      if (rep_is_voter (rep, rep->opts.id))
        rep_start_prevote (rep, now);
      else
        rep_reset_election (rep, now);
    }
  return rep->election_deadline < now + rep->opts.heartbeat
             ? rep->election_deadline
             : now + rep->opts.heartbeat;
}

/* Adopts a newer term; false when the message is not to be handled.  */
static bool
rep_check_term (struct rep *rep, const struct rep_msg *msg, clk_us now)
{
  bool sticky = rep->role == REP_LEADER
                || rep->leader_heard + rep->opts.election_min > now;

  if (msg->kind == REP_PREVOTE || msg->term <= rep->hard.term)
    return true;
  if (msg->kind == REP_PREVOTE_REPLY && msg->u.vote_reply.granted)
    return true;
  if (msg->kind == REP_VOTE && sticky && !msg->u.vote.transfer)
    return false;
  rep_follow (rep, msg->term, 0, now);
  return true;
}

void
rep_message (struct rep *rep, struct rep_msg *msg, clk_us now)
{
  rep_begin (rep, now);
  if (msg->kind == REP_HELLO)
    rep_on_hello (rep, msg, now);
  else if (msg->to == rep->opts.id && rep_check_term (rep, msg, now))
    switch (msg->kind)
      {
      case REP_PREVOTE:
        rep_on_prevote (rep, msg, now);
        break;
      case REP_VOTE:
        rep_on_vote (rep, msg, now);
        break;
      case REP_PREVOTE_REPLY:
      case REP_VOTE_REPLY:
        rep_on_vote_reply (rep, msg, now);
        break;
      case REP_APPEND:
        rep_on_append (rep, msg, now);
        break;
      case REP_APPEND_REPLY:
        rep_on_append_reply (rep, msg, now);
        break;
      case REP_SNAPSHOT:
        rep_on_chunk (rep, msg, now);
        break;
      case REP_SNAPSHOT_REPLY:
        rep_on_chunk_reply (rep, msg, now);
        break;
      case REP_TIMEOUT_NOW:
        if (msg->term == rep->hard.term && rep_is_voter (rep, rep->opts.id))
          rep_start_vote (rep, true, now);
        break;
      case REP_HELLO:
      case REP_HELLO_REPLY: /* for log/boot */
      case REP_MSG_COUNT:
        break;
      }
  rep_msg_free (msg);
}

void
rep_propose (struct rep *rep, uint64_t request, uint64_t stamp_ms,
             uint8_t *data, size_t len, clk_us now)
{
  struct rep_pending_proposal *proposal;
  struct rep_entry *entry;

  rep_begin (rep, now);
  if (rep->role != REP_LEADER || rep->transfer_to != 0)
    {
      free (data);
      rep_refuse (rep, request,
                  rep->role == REP_LEADER ? SR_EAGAIN : SR_ENOTLEADER);
      return;
    }
  entry = rep_entry_new (REP_COMMAND);
  entry->stamp_ms = stamp_ms;
  entry->data = data;
  entry->len = len;
  rep_append_own (rep, entry);
  proposal = rep_alloc (sizeof *proposal);
  proposal->index = entry->index;
  proposal->request = request;
  lst_push_tail (&rep->proposals, &proposal->node);
}

void
rep_read (struct rep *rep, uint64_t request, clk_us now)
{
  struct rep_pending_read *read;

  rep_begin (rep, now);
  if (rep->role != REP_LEADER)
    {
      rep_refuse (rep, request, SR_ENOTLEADER);
      return;
    }
  read = rep_alloc (sizeof *read);
  read->request = request;
  read->round = rep->round + 1;
  rep->broadcast_wanted = true;
  lst_push_tail (&rep->reads, &read->node);
  rep_confirm_reads (rep);
}

/* Sends what waited for writes up to the synced one.  */
static void
rep_release_held (struct rep *rep)
{
  lst_each (node, &rep->held)
    {
      if (lst_entry (node, struct rep_out, node)->after > rep->synced)
        continue;
      lst_remove (node);
      lst_push_tail (&rep->outputs, node);
    }
}

void
rep_synced (struct rep *rep, uint64_t sequence, clk_us now)
{
  rep_begin (rep, now);
  INVARIANT (sequence <= rep->sequence);
  lst_each (node, &rep->writes)
    {
      struct rep_pending_write *write
          = lst_entry (node, struct rep_pending_write, node);

      if (write->sequence > sequence)
        break;
      if (write->last_index > rep->durable)
        rep->durable = write->last_index;
      lst_remove (node);
      free (write);
    }
  INVARIANT (rep->durable <= rep->log.last_index);
  if (sequence > rep->synced)
    rep->synced = sequence;
  rep_release_held (rep);
  switch (rep->role)
    {
    case REP_LEADER:
      rep_leader_commit (rep, now);
      break;
    case REP_CANDIDATE:
      rep_check_votes (rep, now);
      break;
    case REP_FOLLOWER:
    case REP_PRECANDIDATE:
      rep_ack_durable (rep);
      break;
    }
}

void
rep_snapshot_taken (struct rep *rep, uint64_t index, uint8_t *data, size_t len)
{
  struct rep_snapshot *snapshot;
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
  snapshot = rep_alloc (sizeof *snapshot);
  snapshot->index = index;
  snapshot->term = rep_log_term (&rep->log, index);
  snapshot->members = *rep_log_members (&rep->log, index, &at);
  snapshot->data = data;
  snapshot->len = len;
  rep_snapshot_free (rep->new_snapshot);
  rep->new_snapshot = rep_snapshot_share (snapshot);
  rep_snapshot_free (rep->snapshot);
  rep->snapshot = snapshot;
  /* Keeps a tail so that a follower that was away briefly needs no
     snapshot.  */
  if (index > rep->opts.snapshot_every)
    index -= rep->opts.snapshot_every;
  else
    index = 0;
  rep_log_compact (&rep->log, index < rep->written ? index : rep->written);
}

int
rep_transfer (struct rep *rep, clk_us now)
{
  const struct rep_peer *best = NULL;

  rep_begin (rep, now);
  if (rep->role != REP_LEADER)
    return SR_ENOTLEADER;
  if (rep->transfer_to != 0)
    return SR_OK;
  lst_each (node, &rep->peers)
    {
      const struct rep_peer *peer = lst_entry (node, struct rep_peer, node);

      if (!peer->member.learner && peer->heard + rep->opts.lease > now
          && (best == NULL || peer->match > best->match))
        best = peer;
    }
  if (best == NULL)
    return SR_ENOENT;
  rep->transfer_to = best->member.id;
  rep->transfer_deadline = now + rep->opts.election_min;
  if (best->match == rep->log.last_index)
    rep_send (rep, rep_msg_to (rep, REP_TIMEOUT_NOW, best->member.id));
  return SR_OK;
}

const char *
rep_address (const struct rep *rep, uint64_t id)
{
  const struct rep_member *member = rep_members_find (&rep->members, id);

  return member == NULL ? NULL : member->address;
}

void
rep_status (const struct rep *rep, struct rep_status *status)
{
  const struct rep_member *self
      = rep_members_find (&rep->members, rep->opts.id);

  *status = (struct rep_status){
    .role = rep->role,
    .term = rep->hard.term,
    .commit = rep->hard.commit,
    .last_index = rep->log.last_index,
    .snapshot_index = rep->snapshot == NULL ? 0 : rep->snapshot->index,
    .leader = rep->leader,
    .member = self != NULL,
    .voter = self != NULL && !self->learner,
    .leader_heard = rep->role == REP_LEADER ? rep->now : rep->leader_heard,
    .members = rep->members,
  };
  rep_leader_address (rep, status->leader_address);
}

/* Puts everything that is not yet written into one write.  */
static void
rep_flush_write (struct rep *rep)
{
  struct rep_pending_write *pending;
  struct sto_write *write;
  struct rep_entry *entry;

  if (rep_state_sequence (rep) == rep->sequence)
    return;
  write = sto_write_new (rep->opts.group);
  write->sequence = ++rep->sequence;
  write->hard = rep->hard;
  write->truncate_from = rep->truncate_from;
  write->snapshot = rep->new_snapshot;
  entry = rep_log_get (&rep->log, rep->written + 1);
  for (; rep->written < rep->log.last_index; rep->written++)
    {
      lst_push_tail (&write->entries, &rep_entry_copy (entry)->node);
      entry = lst_entry (entry->node.next, struct rep_entry, node);
    }
  rep->hard_dirty = false;
  rep->commit_written = rep->hard.commit;
  rep->truncate_from = 0;
  rep->new_snapshot = NULL;
  pending = rep_alloc (sizeof *pending);
  pending->sequence = write->sequence;
  pending->last_index = rep->written;
  lst_push_tail (&rep->writes, &pending->node);
  rep_output (rep, REP_OUT_WRITE)->u.write = write;
}

struct rep_out *
rep_next_output (struct rep *rep)
{
  struct lst_node *node;

  if (lst_empty (&rep->outputs))
    {
      rep_flush_write (rep);
      if (rep->role == REP_LEADER && rep->broadcast_wanted)
        rep_broadcast (rep, rep->now);
      else if (rep->role == REP_LEADER)
        rep_send_pending (rep, rep->now);
    }
  node = lst_pop_head (&rep->outputs);
  return node == NULL ? NULL : lst_entry (node, struct rep_out, node);
}
