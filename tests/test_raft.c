#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "log/raft.h"
#include "tests/suite.h"

#define OWN_ID 1
#define OUTPUTS_MAX 32

/* One replica with id OWN_ID in a group of ids 1 … 3; the test sends the
   messages of the others.  */
struct fixture
{
  struct raft *raft;
  clk_us now;
  uint64_t write_sequence; /* of the last RAFT_OUT_WRITE */
  /* Outputs of the last drain_outputs().  */
  struct raft_out *outputs[OUTPUTS_MAX];
  uint32_t output_count;
};

static void
drain_outputs (struct fixture *fixture)
{
  struct raft_out *out;

  for (uint32_t i = 0; i < fixture->output_count; i++)
    raft_out_free (fixture->outputs[i]);
  fixture->output_count = 0;
  while ((out = raft_next_output (fixture->raft)) != NULL)
    {
      CU_ASSERT_TRUE_FATAL (fixture->output_count < OUTPUTS_MAX);
      fixture->outputs[fixture->output_count++] = out;
      if (out->kind == RAFT_OUT_WRITE)
        fixture->write_sequence = out->u.write->sequence;
    }
}

/* Returns the NTH message of KIND among the last outputs, or NULL.  */
static struct raft_msg *
find_sent (struct fixture *fixture, enum raft_msg_kind kind, uint32_t nth)
{
  for (uint32_t i = 0; i < fixture->output_count; i++)
    if (fixture->outputs[i]->kind == RAFT_OUT_SEND
        && fixture->outputs[i]->u.send->kind == kind && nth-- == 0)
      return fixture->outputs[i]->u.send;
  return NULL;
}

/* Returns the only output of KIND among the last ones, or NULL.  */
static struct raft_out *
find_output (struct fixture *fixture, enum raft_out_kind kind)
{
  struct raft_out *found = NULL;

  for (uint32_t i = 0; i < fixture->output_count; i++)
    if (fixture->outputs[i]->kind == kind)
      {
        CU_ASSERT_PTR_NULL (found);
        found = fixture->outputs[i];
      }
  return found;
}

static void
complete_sync (struct fixture *fixture)
{
  raft_handle_synced (fixture->raft, fixture->write_sequence, fixture->now);
  drain_outputs (fixture);
}

static void
deliver (struct fixture *fixture, struct raft_msg *msg)
{
  raft_handle_message (fixture->raft, msg, fixture->now);
  drain_outputs (fixture);
}

static struct raft_msg *
new_message (enum raft_msg_kind kind, uint64_t id, uint64_t term)
{
  struct raft_msg *msg = raft_msg_new (kind);

  msg->from = id;
  msg->to = OWN_ID;
  msg->term = term;
  return msg;
}

/* Creates the group in term 1 with VOTER_COUNT voters and one learner, id
   9.  */
static void
start_group (struct fixture *fixture, uint32_t voter_count)
{
  struct raft_opts opts = { .id = OWN_ID };
  struct raft_members members = { .count = voter_count + 1 };
  struct raft_persistent_state loaded;

  raft_opts_default (&opts);
  raft_persistent_state_init (&loaded);
  *fixture = (struct fixture){ .now = clk_s (100) };
  fixture->raft = raft_new (&opts, &loaded, fixture->now);
  for (uint32_t i = 0; i <= voter_count; i++)
    {
      members.list[i].id = i < voter_count ? 1 + i : 9;
      members.list[i].address[0] = (char)('a' + i);
    }
  members.list[voter_count].learner = true;
  CU_ASSERT_EQUAL (raft_bootstrap (fixture->raft, &members, 1, fixture->now),
                   SR_OK);
  drain_outputs (fixture);
  complete_sync (fixture);
}

static void
free_fixture (struct fixture *fixture)
{
  for (uint32_t i = 0; i < fixture->output_count; i++)
    raft_out_free (fixture->outputs[i]);
  raft_free (fixture->raft);
}

static struct raft_status
get_status (const struct fixture *fixture)
{
  struct raft_status status;

  raft_get_status (fixture->raft, &status);
  return status;
}

/* Wins the election of term 2 with the vote of replica 2.  */
static void
win_election (struct fixture *fixture)
{
  struct raft_msg *reply;

  raft_tick (fixture->raft, fixture->now);
  drain_outputs (fixture);
  CU_ASSERT_PTR_NOT_NULL (find_sent (fixture, RAFT_PREVOTE, 0));
  reply = new_message (RAFT_PREVOTE_REPLY, 2, 1);
  reply->u.vote_reply = (struct raft_vote_reply){ 2, true };
  deliver (fixture, reply);
  complete_sync (fixture);
  CU_ASSERT_PTR_NOT_NULL (find_sent (fixture, RAFT_VOTE, 0));
  reply = new_message (RAFT_VOTE_REPLY, 2, 2);
  reply->u.vote_reply = (struct raft_vote_reply){ 2, true };
  deliver (fixture, reply);
  CU_ASSERT_EQUAL_FATAL (get_status (fixture).role, RAFT_LEADER);
}

/* Replica ID acknowledges all entries up to MATCH_INDEX, in ROUND.  */
static void
acknowledge (struct fixture *fixture, uint64_t id, uint64_t match_index,
             uint64_t round)
{
  struct raft_msg *reply = new_message (RAFT_APPEND_REPLY, id, 2);

  reply->u.append_reply.accepted = true;
  reply->u.append_reply.match_index = match_index;
  reply->u.append_reply.round = round;
  reply->u.append_reply.sent_us = fixture->now;
  deliver (fixture, reply);
}

/* Returns an append of replica ID in TERM with one entry after PREV_INDEX.  */
static struct raft_msg *
new_append (uint64_t id, uint64_t term, uint64_t prev_index,
            uint64_t prev_term)
{
  struct raft_msg *append = new_message (RAFT_APPEND, id, term);
  struct raft_entry *entry = raft_entry_new (RAFT_ENTRY_NOOP);

  append->u.append.prev_index = prev_index;
  append->u.append.prev_term = prev_term;
  entry->term = term;
  entry->index = prev_index + 1;
  list_push_tail (&append->u.append.entries, &entry->node);
  return append;
}

static void
propose (struct fixture *fixture, uint64_t request_id)
{
  raft_propose (fixture->raft, request_id, 1000, calloc (1, 8), 8,
                fixture->now);
}

/* Guards against a vote that is counted or sent before it is synced: after a
   crash the replica could vote a second time in the term.  */
static void
test_vote_is_synced_before_reply (void)
{
  struct fixture fixture;
  struct raft_msg *vote;
  struct raft_msg *reply;

  start_group (&fixture, 3);
  fixture.now += clk_s (2);
  vote = new_message (RAFT_VOTE, 2, 5);
  vote->u.vote = (struct raft_vote){ .last_index = 9, .last_term = 4 };
  deliver (&fixture, vote);
  CU_ASSERT_PTR_NULL (find_sent (&fixture, RAFT_VOTE_REPLY, 0));
  CU_ASSERT_EQUAL (
      find_output (&fixture, RAFT_OUT_WRITE)->u.write->hard_state.voted_for,
      2);
  complete_sync (&fixture);
  reply = find_sent (&fixture, RAFT_VOTE_REPLY, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (reply);
  CU_ASSERT_TRUE (reply->u.vote_reply.granted);
  vote = new_message (RAFT_VOTE, 3, 5);
  vote->u.vote = (struct raft_vote){ .last_index = 9, .last_term = 4 };
  deliver (&fixture, vote);
  CU_ASSERT_FALSE (
      find_sent (&fixture, RAFT_VOTE_REPLY, 0)->u.vote_reply.granted);
  free_fixture (&fixture);
}

/* Guards against a second vote in the same term after a restart, because the
   vote was not loaded from the disk.  */
static void
test_vote_survives_restart (void)
{
  struct raft_opts opts = { .id = OWN_ID };
  struct raft_msg *vote = new_message (RAFT_VOTE, 3, 5);
  struct raft_persistent_state loaded;
  struct fixture fixture = { .now = clk_s (100) };

  raft_opts_default (&opts);
  raft_persistent_state_init (&loaded);
  loaded.hard_state = (struct raft_hard_state){ .term = 5, .voted_for = 2 };
  fixture.raft = raft_new (&opts, &loaded, fixture.now);
  deliver (&fixture, vote);
  CU_ASSERT_FALSE (
      find_sent (&fixture, RAFT_VOTE_REPLY, 0)->u.vote_reply.granted);
  deliver (&fixture, new_message (RAFT_VOTE, 2, 5));
  CU_ASSERT_TRUE (
      find_sent (&fixture, RAFT_VOTE_REPLY, 0)->u.vote_reply.granted);
  free_fixture (&fixture);
}

/* Guards against a candidate that begins a new term while its own vote is
   being synced: with slow disks it would never ask for votes.  */
static void
test_election_waits_for_own_vote (void)
{
  struct fixture fixture;
  struct raft_msg *reply;

  start_group (&fixture, 3);
  raft_tick (fixture.raft, fixture.now);
  drain_outputs (&fixture);
  reply = new_message (RAFT_PREVOTE_REPLY, 2, 1);
  reply->u.vote_reply = (struct raft_vote_reply){ 2, true };
  deliver (&fixture, reply);
  for (int i = 0; i < 50; i++)
    {
      fixture.now += clk_ms (100);
      raft_tick (fixture.raft, fixture.now);
      drain_outputs (&fixture);
      CU_ASSERT_PTR_NULL (find_sent (&fixture, RAFT_PREVOTE, 0));
      CU_ASSERT_PTR_NULL (find_sent (&fixture, RAFT_VOTE, 0));
    }
  CU_ASSERT_EQUAL (get_status (&fixture).term, 2);
  complete_sync (&fixture);
  CU_ASSERT_PTR_NOT_NULL (find_sent (&fixture, RAFT_VOTE, 0));
  free_fixture (&fixture);
}

/* Guards against a vote for a candidate whose log is behind: as leader it
   could lack committed entries.  */
static void
test_vote_needs_current_log (void)
{
  struct fixture fixture;
  struct raft_msg *vote = new_message (RAFT_VOTE, 2, 5);

  start_group (&fixture, 3);
  fixture.now += clk_s (2);
  deliver (&fixture, vote);
  CU_ASSERT_FALSE (
      find_sent (&fixture, RAFT_VOTE_REPLY, 0)->u.vote_reply.granted);
  free_fixture (&fixture);
}

/* Guards against a rejoined replica that deposes a live leader: votes are
   refused within the election timeout after a message of the leader, except in
   a leadership transfer.  */
static void
test_no_vote_against_live_leader (void)
{
  struct fixture fixture;
  struct raft_msg *vote;

  start_group (&fixture, 3);
  deliver (&fixture, new_message (RAFT_APPEND, 2, 3));
  vote = new_message (RAFT_PREVOTE, 3, 4);
  vote->u.vote = (struct raft_vote){ .last_index = 9, .last_term = 4 };
  deliver (&fixture, vote);
  CU_ASSERT_FALSE (
      find_sent (&fixture, RAFT_PREVOTE_REPLY, 0)->u.vote_reply.granted);
  vote = new_message (RAFT_VOTE, 3, 4);
  vote->u.vote = (struct raft_vote){ .last_index = 9, .last_term = 4 };
  deliver (&fixture, vote);
  CU_ASSERT_EQUAL (get_status (&fixture).term, 3);
  vote = new_message (RAFT_VOTE, 3, 4);
  vote->u.vote = (struct raft_vote){ 9, 4, true };
  deliver (&fixture, vote);
  CU_ASSERT_EQUAL (get_status (&fixture).term, 4);
  free_fixture (&fixture);
}

/* Guards against entries that a crash loses after they were acknowledged,
   because the follower replied before they were synced.  */
static void
test_follower_syncs_before_reply (void)
{
  struct fixture fixture;

  start_group (&fixture, 3);
  deliver (&fixture, new_append (2, 3, 1, 1));
  CU_ASSERT_PTR_NULL (find_sent (&fixture, RAFT_APPEND_REPLY, 0));
  complete_sync (&fixture);
  CU_ASSERT_EQUAL (
      find_sent (&fixture, RAFT_APPEND_REPLY, 0)->u.append_reply.match_index,
      2);
  free_fixture (&fixture);
}

/* Guards against an early commit, because the leader counts its own entries
   before they are synced, or counts a learner.  */
static void
test_commit_needs_synced_quorum (void)
{
  struct fixture fixture;

  start_group (&fixture, 3);
  win_election (&fixture);
  CU_ASSERT_PTR_NOT_NULL (find_output (&fixture, RAFT_OUT_WRITE));
  acknowledge (&fixture, 9, 2, 1);
  acknowledge (&fixture, 2, 1, 1);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 0);
  acknowledge (&fixture, 2, 2, 1);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 0);
  complete_sync (&fixture);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 2);
  propose (&fixture, 1);
  drain_outputs (&fixture);
  acknowledge (&fixture, 9, 3, 1);
  complete_sync (&fixture);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 2);
  free_fixture (&fixture);
}

/* Guards against an entry of an earlier term that is committed because a
   quorum holds it: a leader of a term in between may still replace it.  */
static void
test_no_commit_of_earlier_term (void)
{
  struct fixture fixture;

  start_group (&fixture, 3);
  win_election (&fixture);
  complete_sync (&fixture);
  acknowledge (&fixture, 2, 1, 1);
  acknowledge (&fixture, 3, 1, 1);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 0);
  acknowledge (&fixture, 3, 2, 1);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 2);
  free_fixture (&fixture);
}

/* Guards against an acknowledgement to a new leader that includes entries of
   the former leader, which the new one may not have.  */
static void
test_reply_to_new_leader (void)
{
  struct fixture fixture;
  struct raft_msg *heartbeat = new_message (RAFT_APPEND, 3, 4);

  start_group (&fixture, 3);
  deliver (&fixture, new_append (2, 3, 1, 1));
  complete_sync (&fixture);
  CU_ASSERT_EQUAL (
      find_sent (&fixture, RAFT_APPEND_REPLY, 0)->u.append_reply.match_index,
      2);
  heartbeat->u.append.prev_index = 1;
  heartbeat->u.append.prev_term = 1;
  heartbeat->u.append.leader_commit = 9;
  deliver (&fixture, heartbeat);
  CU_ASSERT_EQUAL (
      find_sent (&fixture, RAFT_APPEND_REPLY, 0)->u.append_reply.match_index,
      1);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 1);
  free_fixture (&fixture);
}

/* Guards against acknowledged entries after a snapshot that are dropped when
   the snapshot arrives late, and against a log that is kept although it
   conflicts with the snapshot.  */
static void
test_snapshot_keeps_matching_log (void)
{
  struct fixture fixture;
  struct raft_msg *chunk;

  start_group (&fixture, 3);
  deliver (&fixture, new_append (2, 3, 1, 1));
  deliver (&fixture, new_append (2, 3, 2, 3));
  chunk = new_message (RAFT_INSTALL_SNAPSHOT, 2, 3);
  chunk->u.chunk.index = 2;
  chunk->u.chunk.term = 3;
  deliver (&fixture, chunk);
  CU_ASSERT_EQUAL (get_status (&fixture).last_index, 3);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 2);
  chunk = new_message (RAFT_INSTALL_SNAPSHOT, 3, 4);
  chunk->u.chunk.index = 3;
  chunk->u.chunk.term = 4;
  deliver (&fixture, chunk);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 3);
  CU_ASSERT_PTR_NOT_NULL (find_output (&fixture, RAFT_OUT_RESTORE));
  CU_ASSERT_PTR_NULL (find_sent (&fixture, RAFT_INSTALL_SNAPSHOT_REPLY, 0));
  complete_sync (&fixture);
  CU_ASSERT_TRUE (find_sent (&fixture, RAFT_INSTALL_SNAPSHOT_REPLY, 0)
                      ->u.chunk_reply.installed);
  free_fixture (&fixture);
}

/* Guards against a write and an append for each of many concurrent proposals,
   and against results with the request id of another proposal.  */
static void
test_group_commit (void)
{
  struct fixture fixture;

  start_group (&fixture, 3);
  win_election (&fixture);
  complete_sync (&fixture);
  acknowledge (&fixture, 2, 2, 1);
  for (uint64_t i = 0; i < 10; i++)
    propose (&fixture, 500 + i);
  drain_outputs (&fixture);
  CU_ASSERT_PTR_NOT_NULL (find_output (&fixture, RAFT_OUT_WRITE));
  CU_ASSERT_PTR_NOT_NULL (find_sent (&fixture, RAFT_APPEND, 2));
  CU_ASSERT_PTR_NULL (find_sent (&fixture, RAFT_APPEND, 3));
  complete_sync (&fixture);
  acknowledge (&fixture, 3, 12, 1);
  CU_ASSERT_EQUAL (fixture.output_count, 10);
  for (uint32_t i = 0; i < fixture.output_count; i++)
    {
      CU_ASSERT_EQUAL (fixture.outputs[i]->kind, RAFT_OUT_APPLY);
      CU_ASSERT_EQUAL (fixture.outputs[i]->u.apply.request_id, 500 + i);
    }
  free_fixture (&fixture);
}

/* Guards against a leader that serves reads or proposals after its lease has
   expired, because its process was frozen or the network partitioned.  */
static void
test_lease_expiry (void)
{
  struct fixture fixture;
  struct raft_out *read_refused;

  start_group (&fixture, 3);
  win_election (&fixture);
  complete_sync (&fixture);
  propose (&fixture, 7);
  drain_outputs (&fixture);
  fixture.now += clk_ms (400);
  raft_read_index (fixture.raft, 8, fixture.now);
  drain_outputs (&fixture);
  CU_ASSERT_EQUAL (get_status (&fixture).role, RAFT_FOLLOWER);
  CU_ASSERT_EQUAL_FATAL (fixture.output_count, 3);
  CU_ASSERT_EQUAL (fixture.outputs[0]->u.refused.request_id, 7);
  CU_ASSERT_EQUAL (fixture.outputs[0]->u.refused.status, SR_EAGAIN);
  read_refused = fixture.outputs[2];
  CU_ASSERT_EQUAL (read_refused->u.refused.request_id, 8);
  CU_ASSERT_EQUAL (read_refused->u.refused.status, SR_ENOTLEADER);
  free_fixture (&fixture);
}

/* Guards against a stale read: it is confirmed by replies to a heartbeat round
   before the read, or before an entry of the term is committed.  */
static void
test_read_needs_quorum (void)
{
  struct fixture fixture;
  uint64_t round;

  start_group (&fixture, 3);
  win_election (&fixture);
  round = find_sent (&fixture, RAFT_APPEND, 0)->u.append.round;
  complete_sync (&fixture);
  raft_read_index (fixture.raft, 8, fixture.now);
  drain_outputs (&fixture);
  CU_ASSERT_EQUAL (find_sent (&fixture, RAFT_APPEND, 0)->u.append.round,
                   round + 1);
  acknowledge (&fixture, 2, 0, round + 1);
  CU_ASSERT_PTR_NULL (find_output (&fixture, RAFT_OUT_READ_CONFIRMED));
  acknowledge (&fixture, 2, 2, round);
  CU_ASSERT_PTR_NOT_NULL (find_output (&fixture, RAFT_OUT_READ_CONFIRMED));
  raft_read_index (fixture.raft, 9, fixture.now);
  drain_outputs (&fixture);
  acknowledge (&fixture, 3, 2, round + 1);
  CU_ASSERT_PTR_NULL (find_output (&fixture, RAFT_OUT_READ_CONFIRMED));
  acknowledge (&fixture, 3, 2, round + 2);
  CU_ASSERT_EQUAL (
      find_output (&fixture, RAFT_OUT_READ_CONFIRMED)->u.read_request_id, 9);
  free_fixture (&fixture);
}

/* Guards against two membership changes at the same time, whose quorums may
   not overlap, and against a leader that removes itself.  */
static void
test_one_membership_change (void)
{
  struct fixture fixture;

  start_group (&fixture, 3);
  win_election (&fixture);
  CU_ASSERT_EQUAL (raft_propose_removal (fixture.raft, 3, fixture.now),
                   SR_EAGAIN);
  complete_sync (&fixture);
  acknowledge (&fixture, 2, 2, 1);
  CU_ASSERT_EQUAL (raft_propose_removal (fixture.raft, OWN_ID, fixture.now),
                   SR_EINVAL);
  CU_ASSERT_EQUAL (raft_propose_removal (fixture.raft, 77, fixture.now),
                   SR_ENOENT);
  CU_ASSERT_EQUAL (raft_propose_removal (fixture.raft, 3, fixture.now), SR_OK);
  CU_ASSERT_EQUAL (raft_propose_removal (fixture.raft, 2, fixture.now),
                   SR_EAGAIN);
  free_fixture (&fixture);
}

/* Returns whether replica ID is a voter.  */
static bool
is_voter (const struct fixture *fixture, uint64_t id)
{
  struct raft_status current = get_status (fixture);

  for (uint32_t i = 0; i < current.members.count; i++)
    if (current.members.list[i].id == id)
      return !current.members.list[i].learner;
  return false;
}

/* Commits all entries of the log with replicas 2 and 9.  */
static void
commit_log (struct fixture *fixture)
{
  complete_sync (fixture);
  acknowledge (fixture, 2, get_status (fixture).last_index, 1);
  complete_sync (fixture);
  acknowledge (fixture, 9, get_status (fixture).last_index, 1);
}

/* Guards against a fourth voter, against a learner that becomes a voter before
   it has caught up, and against a dead voter that stays a voter although a
   learner could replace it.  */
static void
test_learner_replaces_dead_voter (void)
{
  struct fixture fixture;

  start_group (&fixture, 3);
  win_election (&fixture);
  complete_sync (&fixture);
  acknowledge (&fixture, 2, 2, 1);
  for (int i = 0; i < 700; i++)
    {
      CU_ASSERT_TRUE (is_voter (&fixture, 3));
      CU_ASSERT_FALSE (is_voter (&fixture, 9));
      fixture.now += clk_ms (100);
      raft_tick (fixture.raft, fixture.now);
      drain_outputs (&fixture);
      acknowledge (&fixture, 2, 2, 1);
      /* Replica 9 lags until near the end; replica 3 is silent for 60 s.  */
      acknowledge (&fixture, 9, i < 690 ? 0 : 2, 1);
      if (!is_voter (&fixture, 3))
        break;
    }
  CU_ASSERT_FALSE (is_voter (&fixture, 3));
  for (int i = 0; i < 3; i++)
    commit_log (&fixture);
  CU_ASSERT_TRUE (is_voter (&fixture, 9));
  CU_ASSERT_EQUAL (get_status (&fixture).members.count, 3);
  free_fixture (&fixture);
}

/* Guards against a replica that stops for good and keeps its vote although a
   learner has caught up, against a group with one voter less meanwhile, and
   against a replica that is not told that it may end.  */
static void
test_leaving_voter_hands_over (void)
{
  struct fixture fixture;

  start_group (&fixture, 3);
  win_election (&fixture);
  complete_sync (&fixture);
  acknowledge (&fixture, 2, 2, 1);
  acknowledge (&fixture, 3, 2, 1);
  acknowledge (&fixture, 9, 2, 1);
  CU_ASSERT_FALSE (is_voter (&fixture, 9));
  deliver (&fixture, new_message (RAFT_LEAVE, 3, 2));
  CU_ASSERT_TRUE (is_voter (&fixture, 9));
  CU_ASSERT_TRUE (is_voter (&fixture, 3));
  commit_log (&fixture);
  CU_ASSERT_FALSE (is_voter (&fixture, 3));
  CU_ASSERT_EQUAL (get_status (&fixture).members.count, 4);
  commit_log (&fixture);
  CU_ASSERT_EQUAL (get_status (&fixture).members.count, 4);
  CU_ASSERT_FALSE (is_voter (&fixture, 3));
  free_fixture (&fixture);
}

/* Guards against a restart that shrinks the group: without a learner, a
   replica that stops keeps its vote.  */
static void
test_leaving_voter_without_learner (void)
{
  struct fixture fixture;

  start_group (&fixture, 3);
  win_election (&fixture);
  complete_sync (&fixture);
  acknowledge (&fixture, 2, 2, 1);
  /* Replica 9 lags.  */
  acknowledge (&fixture, 9, 0, 1);
  for (int i = 0; i < 20; i++)
    {
      fixture.now += clk_ms (100);
      deliver (&fixture, new_message (RAFT_LEAVE, 3, 2));
      raft_tick (fixture.raft, fixture.now);
      drain_outputs (&fixture);
      acknowledge (&fixture, 2, 2, 1);
    }
  CU_ASSERT_TRUE (is_voter (&fixture, 3));
  CU_ASSERT_FALSE (is_voter (&fixture, 9));
  free_fixture (&fixture);
}

/* Runs the leader for DURATION, with replies of replicas 2 and 9.  */
static void
run_without_replica_3 (struct fixture *fixture, clk_us duration)
{
  clk_us end = fixture->now + duration;

  while (fixture->now < end)
    {
      fixture->now += clk_ms (100);
      raft_tick (fixture->raft, fixture->now);
      drain_outputs (fixture);
      commit_log (fixture);
    }
}

/* Guards against elections that restart the wait for a silent voter: a new
   leader takes over what the last one knew.  Without its report, the whole
   replace timeout (60 s) passes.  */
static void
test_silence_survives_election (void)
{
  struct fixture fixture;
  struct raft_msg *msg;

  for (int reported = 0; reported < 2; reported++)
    {
      start_group (&fixture, 3);
      msg = new_message (RAFT_APPEND, 2, 1);
      msg->u.append.prev_index = 1;
      msg->u.append.prev_term = 1;
      deliver (&fixture, msg);
      msg = new_message (RAFT_SILENT_PEERS, 2, 1);
      msg->u.silent_peers.count = (uint32_t)reported;
      msg->u.silent_peers.list[0]
          = (struct raft_silent_peer){ .id = 3, .silent_us = clk_s (59) };
      deliver (&fixture, msg);
      fixture.now += clk_s (2);
      win_election (&fixture);
      complete_sync (&fixture);
      run_without_replica_3 (&fixture, clk_ms (400));
      CU_ASSERT_TRUE (is_voter (&fixture, 3));
      run_without_replica_3 (&fixture, clk_s (1));
      CU_ASSERT_EQUAL (is_voter (&fixture, 3), !reported);
      CU_ASSERT_EQUAL (is_voter (&fixture, 9), reported);
      free_fixture (&fixture);
    }
}

/* Guards against a leader that does not tell its followers which members are
   silent.  */
static void
test_silence_is_reported (void)
{
  struct fixture fixture;
  const struct raft_msg *report;

  start_group (&fixture, 3);
  win_election (&fixture);
  complete_sync (&fixture);
  run_without_replica_3 (&fixture, clk_s (1));
  fixture.now += clk_ms (100);
  raft_tick (fixture.raft, fixture.now);
  drain_outputs (&fixture);
  report = find_sent (&fixture, RAFT_SILENT_PEERS, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (report);
  CU_ASSERT_NOT_EQUAL (report->to, 3);
  CU_ASSERT_EQUAL (report->u.silent_peers.count, 1);
  CU_ASSERT_EQUAL (report->u.silent_peers.list[0].id, 3);
  CU_ASSERT_TRUE (report->u.silent_peers.list[0].silent_us >= clk_s (1));
  free_fixture (&fixture);
}

/* Guards against a replica with a new disk, and so a new id, that handles
   messages to its former id.  */
static void
test_message_to_former_id (void)
{
  struct fixture fixture;
  struct raft_msg *vote = new_message (RAFT_VOTE, 2, 5);

  start_group (&fixture, 3);
  fixture.now += clk_s (2);
  vote->to = 4;
  vote->u.vote = (struct raft_vote){ .last_index = 9, .last_term = 4 };
  deliver (&fixture, vote);
  CU_ASSERT_EQUAL (fixture.output_count, 0);
  CU_ASSERT_EQUAL (get_status (&fixture).term, 1);
  free_fixture (&fixture);
}

/* Guards against a leadership transfer to a voter that lacks entries, and
   against proposals that are accepted during the transfer.  */
static void
test_leadership_transfer (void)
{
  struct fixture fixture;

  start_group (&fixture, 3);
  win_election (&fixture);
  complete_sync (&fixture);
  acknowledge (&fixture, 2, 2, 1);
  propose (&fixture, 1);
  CU_ASSERT_EQUAL (raft_transfer_leadership (fixture.raft, fixture.now),
                   SR_OK);
  propose (&fixture, 2);
  drain_outputs (&fixture);
  CU_ASSERT_PTR_NULL (find_sent (&fixture, RAFT_TIMEOUT_NOW, 0));
  CU_ASSERT_EQUAL (find_output (&fixture, RAFT_OUT_REFUSED)->u.refused.status,
                   SR_EAGAIN);
  acknowledge (&fixture, 2, 3, 1);
  CU_ASSERT_EQUAL (find_sent (&fixture, RAFT_TIMEOUT_NOW, 0)->to, 2);
  free_fixture (&fixture);
}

/* Replica 2 rejects an append after PREV_INDEX that was sent at SENT_US, and
   asks for NEXT_INDEX.  */
static void
reject_append (struct fixture *fixture, uint64_t prev_index,
               uint64_t next_index, clk_us sent_us)
{
  struct raft_msg *reply = new_message (RAFT_APPEND_REPLY, 2, 2);

  reply->u.append_reply.prev_index = prev_index;
  reply->u.append_reply.next_index = next_index;
  reply->u.append_reply.sent_us = sent_us;
  deliver (fixture, reply);
}

/* Guards against a leader that does not resend entries which a follower
   acknowledged and then lost with the end of its file, and that goes on
   counting them for the commit.  */
static void
test_follower_lost_tail (void)
{
  struct fixture fixture;
  struct raft_msg *append;
  struct raft_out *entries_lost;

  start_group (&fixture, 3);
  win_election (&fixture);
  complete_sync (&fixture);
  acknowledge (&fixture, 2, 2, 1);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 2);
  /* This append was sent before the acknowledgement arrived.  */
  reject_append (&fixture, 1, 1, fixture.now);
  CU_ASSERT_PTR_NULL (find_output (&fixture, RAFT_OUT_ENTRIES_LOST));
  fixture.now += clk_ms (100);
  raft_tick (fixture.raft, fixture.now);
  drain_outputs (&fixture);
  reject_append (&fixture, 2, 2, fixture.now);
  entries_lost = find_output (&fixture, RAFT_OUT_ENTRIES_LOST);
  CU_ASSERT_PTR_NOT_NULL_FATAL (entries_lost);
  CU_ASSERT_EQUAL (entries_lost->u.lost.acknowledged_index, 2);
  CU_ASSERT_EQUAL (entries_lost->u.lost.next_index, 2);
  append = find_sent (&fixture, RAFT_APPEND, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (append);
  CU_ASSERT_EQUAL (append->to, 2);
  CU_ASSERT_EQUAL (append->u.append.prev_index, 1);
  CU_ASSERT_FALSE (list_empty (&append->u.append.entries));
  propose (&fixture, 1);
  drain_outputs (&fixture);
  complete_sync (&fixture);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 2);
  acknowledge (&fixture, 2, 3, 1);
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, 3);
  free_fixture (&fixture);
}

/* A snapshot of three chunks, and the index that it covers.  */
#define SNAPSHOT_BYTES (2 * RAFT_SNAPSHOT_CHUNK_BYTES_MAX + 100)
#define SNAPSHOT_INDEX 5
/* The leader repeats a message that may be lost within this time, so that a
   replica with an empty disk has its snapshot in time although a connection
   was replaced.  */
#define REPEAT_MAX_US clk_ms (300)

/* Starts replica 1 of three with a snapshot and an empty log after it.  */
static void
start_with_snapshot (struct fixture *fixture)
{
  struct raft_opts opts = { .id = OWN_ID };
  struct raft_persistent_state loaded;

  raft_opts_default (&opts);
  raft_persistent_state_init (&loaded);
  loaded.hard_state.term = 1;
  loaded.hard_state.commit_index = SNAPSHOT_INDEX;
  loaded.snapshot = calloc (1, sizeof *loaded.snapshot);
  loaded.snapshot->index = SNAPSHOT_INDEX;
  loaded.snapshot->term = 1;
  loaded.snapshot->members.count = 3;
  for (uint32_t i = 0; i < 3; i++)
    {
      loaded.snapshot->members.list[i].id = 1 + i;
      loaded.snapshot->members.list[i].address[0] = (char)('a' + i);
    }
  loaded.snapshot->data = calloc (1, SNAPSHOT_BYTES);
  loaded.snapshot->len = SNAPSHOT_BYTES;
  *fixture = (struct fixture){ .now = clk_s (100) };
  fixture->raft = raft_new (&opts, &loaded, fixture->now);
  drain_outputs (fixture);
  fixture->now += clk_s (5);
}

/* Runs the leader, with replica 3 answering, until it sends a chunk to replica
   2; returns the offset of the chunk, or -1 after REPEAT_MAX_US.  */
static int64_t
wait_for_chunk (struct fixture *fixture)
{
  clk_us start = fixture->now;
  struct raft_msg *chunk;

  while ((chunk = find_sent (fixture, RAFT_INSTALL_SNAPSHOT, 0)) == NULL)
    {
      if (fixture->now >= start + REPEAT_MAX_US)
        return -1;
      fixture->now += clk_ms (10);
      raft_tick (fixture->raft, fixture->now);
      drain_outputs (fixture);
      if (find_sent (fixture, RAFT_INSTALL_SNAPSHOT, 0) == NULL)
        acknowledge (fixture, 3, SNAPSHOT_INDEX + 1, 1000);
    }
  CU_ASSERT_EQUAL (chunk->to, 2);
  return (int64_t)chunk->u.chunk.offset;
}

/* Replica 2 reports that it has the first LEN bytes of the snapshot.  */
static void
confirm_chunk (struct fixture *fixture, uint64_t len)
{
  struct raft_msg *reply = new_message (RAFT_INSTALL_SNAPSHOT_REPLY, 2, 2);

  reply->u.chunk_reply.index = SNAPSHOT_INDEX;
  reply->u.chunk_reply.next_offset = len;
  deliver (fixture, reply);
}

/* Guards against a snapshot that is never complete, because a chunk or its
   confirmation was lost with a connection.  */
static void
test_lost_chunks_are_repeated (void)
{
  struct fixture fixture;

  start_with_snapshot (&fixture);
  win_election (&fixture);
  complete_sync (&fixture);
  reject_append (&fixture, SNAPSHOT_INDEX, 1, fixture.now);
  for (int lost_count = 0; lost_count < 20; lost_count++)
    {
      CU_ASSERT_EQUAL_FATAL (wait_for_chunk (&fixture), 0);
      drain_outputs (&fixture);
    }
  confirm_chunk (&fixture, RAFT_SNAPSHOT_CHUNK_BYTES_MAX);
  CU_ASSERT_EQUAL (wait_for_chunk (&fixture), RAFT_SNAPSHOT_CHUNK_BYTES_MAX);
  drain_outputs (&fixture);
  /* The replica was restarted and has lost the first chunk.  */
  confirm_chunk (&fixture, 0);
  CU_ASSERT_EQUAL (wait_for_chunk (&fixture), 0);
  free_fixture (&fixture);
}

/* Returns chunk NTH of the snapshot from replica 2.  */
static struct raft_msg *
new_chunk (uint32_t nth)
{
  struct raft_msg *msg = new_message (RAFT_INSTALL_SNAPSHOT, 2, 3);
  struct raft_snapshot_chunk *chunk = &msg->u.chunk;

  chunk->index = SNAPSHOT_INDEX;
  chunk->term = 2;
  chunk->total = SNAPSHOT_BYTES;
  chunk->offset = nth * RAFT_SNAPSHOT_CHUNK_BYTES_MAX;
  chunk->len = nth == 2 ? 100 : RAFT_SNAPSHOT_CHUNK_BYTES_MAX;
  chunk->data = calloc (1, chunk->len);
  return msg;
}

/* Guards against a replica that takes a repeated chunk for the next one, or a
   chunk after a lost one, or that does not say what it has.  */
static void
test_chunks_repeated_and_lost (void)
{
  static const uint32_t chunks[] = { 0, 0, 2, 1, 0 };
  static const uint32_t has[] = { 1, 1, 1, 2, 2 };
  struct fixture fixture;

  start_group (&fixture, 3);
  for (unsigned i = 0; i < sizeof chunks / sizeof chunks[0]; i++)
    {
      const struct raft_msg *reply;

      deliver (&fixture, new_chunk (chunks[i]));
      reply = find_sent (&fixture, RAFT_INSTALL_SNAPSHOT_REPLY, 0);
      CU_ASSERT_PTR_NOT_NULL_FATAL (reply);
      CU_ASSERT_FALSE (reply->u.chunk_reply.installed);
      CU_ASSERT_EQUAL (reply->u.chunk_reply.next_offset,
                       has[i] * RAFT_SNAPSHOT_CHUNK_BYTES_MAX);
    }
  for (int i = 0; i < 2; i++)
    {
      deliver (&fixture, new_chunk (2));
      if (i == 0)
        CU_ASSERT_PTR_NOT_NULL (find_output (&fixture, RAFT_OUT_RESTORE));
      if (find_sent (&fixture, RAFT_INSTALL_SNAPSHOT_REPLY, 0) == NULL)
        complete_sync (&fixture);
      CU_ASSERT_TRUE (find_sent (&fixture, RAFT_INSTALL_SNAPSHOT_REPLY, 0)
                          ->u.chunk_reply.installed);
    }
  CU_ASSERT_EQUAL (get_status (&fixture).commit_index, SNAPSHOT_INDEX);
  free_fixture (&fixture);
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "vote is synced before the reply", test_vote_is_synced_before_reply },
    { "vote survives a restart", test_vote_survives_restart },
    { "election waits for the own vote", test_election_waits_for_own_vote },
    { "vote needs a current log", test_vote_needs_current_log },
    { "no vote against a live leader", test_no_vote_against_live_leader },
    { "follower syncs before the reply", test_follower_syncs_before_reply },
    { "commit needs a synced quorum", test_commit_needs_synced_quorum },
    { "no commit of an earlier term", test_no_commit_of_earlier_term },
    { "reply to a new leader", test_reply_to_new_leader },
    { "snapshot keeps a matching log", test_snapshot_keeps_matching_log },
    { "group commit", test_group_commit },
    { "lease expiry", test_lease_expiry },
    { "read needs a quorum", test_read_needs_quorum },
    { "one membership change at a time", test_one_membership_change },
    { "learner replaces a dead voter", test_learner_replaces_dead_voter },
    { "leaving voter hands over", test_leaving_voter_hands_over },
    { "leaving voter without a learner", test_leaving_voter_without_learner },
    { "silence survives an election", test_silence_survives_election },
    { "silence is reported", test_silence_is_reported },
    { "message to a former id", test_message_to_former_id },
    { "leadership transfer", test_leadership_transfer },
    { "follower lost its tail", test_follower_lost_tail },
    { "lost chunks are repeated", test_lost_chunks_are_repeated },
    { "chunks repeated and lost", test_chunks_repeated_and_lost },
    { NULL, NULL }
  };

  return suite_run ("raft", tests);
}
