#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "log/raft.h"
#include "tests/suite.h"

#define OWN 1
#define MAX_OUT 32

/* One replica with id OWN in a group of ids 1 … 3; the test plays the
   others.  */
struct bench
{
  struct raft *raft;
  clk_us now;
  uint64_t sequence; /* of the newest write */
  /* Outputs of the last drain.  */
  struct raft_out *out[MAX_OUT];
  uint32_t count;
};

static void
drain (struct bench *bench)
{
  struct raft_out *out;

  for (uint32_t i = 0; i < bench->count; i++)
    raft_out_free (bench->out[i]);
  bench->count = 0;
  while ((out = raft_next_output (bench->raft)) != NULL)
    {
      CU_ASSERT_TRUE_FATAL (bench->count < MAX_OUT);
      bench->out[bench->count++] = out;
      if (out->kind == RAFT_OUT_WRITE)
        bench->sequence = out->u.write->sequence;
    }
}

/* The NTH message of KIND in the last drain, or NULL.  */
static struct raft_msg *
sent (struct bench *bench, enum raft_msg_kind kind, uint32_t nth)
{
  for (uint32_t i = 0; i < bench->count; i++)
    if (bench->out[i]->kind == RAFT_OUT_SEND
        && bench->out[i]->u.send->kind == kind && nth-- == 0)
      return bench->out[i]->u.send;
  return NULL;
}

/* The only output of KIND in the last drain, or NULL.  */
static struct raft_out *
only (struct bench *bench, enum raft_out_kind kind)
{
  struct raft_out *found = NULL;

  for (uint32_t i = 0; i < bench->count; i++)
    if (bench->out[i]->kind == kind)
      {
        CU_ASSERT_PTR_NULL (found);
        found = bench->out[i];
      }
  return found;
}

static void
synced (struct bench *bench)
{
  raft_handle_synced (bench->raft, bench->sequence, bench->now);
  drain (bench);
}

static void
message (struct bench *bench, struct raft_msg *msg)
{
  raft_handle_message (bench->raft, msg, bench->now);
  drain (bench);
}

static struct raft_msg *
from (enum raft_msg_kind kind, uint64_t id, uint64_t term)
{
  struct raft_msg *msg = raft_msg_new (kind);

  msg->from = id;
  msg->to = OWN;
  msg->term = term;
  return msg;
}

/* Creates the group in term 1, with COUNT voters and one learner, id 9.  */
static void
start (struct bench *bench, uint32_t count)
{
  struct raft_opts opts = { .id = OWN };
  struct raft_members members = { .count = count + 1 };
  struct wal_loaded loaded;

  raft_opts_default (&opts);
  wal_loaded_init (&loaded);
  *bench = (struct bench){ .now = clk_s (100) };
  bench->raft = raft_new (&opts, &loaded, bench->now);
  for (uint32_t i = 0; i <= count; i++)
    {
      members.list[i].id = i < count ? 1 + i : 9;
      members.list[i].address[0] = (char)('a' + i);
    }
  members.list[count].learner = true;
  CU_ASSERT_EQUAL (raft_bootstrap (bench->raft, &members, 1, bench->now),
                   SR_OK);
  drain (bench);
  synced (bench);
}

static void
stop (struct bench *bench)
{
  for (uint32_t i = 0; i < bench->count; i++)
    raft_out_free (bench->out[i]);
  raft_free (bench->raft);
}

static struct raft_status
status (const struct bench *bench)
{
  struct raft_status status;

  raft_status (bench->raft, &status);
  return status;
}

/* Wins the election of term 2 with the vote of replica 2.  */
static void
lead (struct bench *bench)
{
  struct raft_msg *reply;

  raft_tick (bench->raft, bench->now);
  drain (bench);
  CU_ASSERT_PTR_NOT_NULL (sent (bench, RAFT_PREVOTE, 0));
  reply = from (RAFT_PREVOTE_REPLY, 2, 1);
  reply->u.vote_reply = (struct raft_vote_reply){ 2, true };
  message (bench, reply);
  synced (bench);
  CU_ASSERT_PTR_NOT_NULL (sent (bench, RAFT_VOTE, 0));
  reply = from (RAFT_VOTE_REPLY, 2, 2);
  reply->u.vote_reply = (struct raft_vote_reply){ 2, true };
  message (bench, reply);
  CU_ASSERT_EQUAL_FATAL (status (bench).role, RAFT_LEADER);
}

/* Replica ID acknowledges all up to MATCH and the given round.  */
static void
ack (struct bench *bench, uint64_t id, uint64_t match, uint64_t round)
{
  struct raft_msg *reply = from (RAFT_APPEND_REPLY, id, 2);

  reply->u.append_reply.accepted = true;
  reply->u.append_reply.match_index = match;
  reply->u.append_reply.round = round;
  reply->u.append_reply.sent_us = bench->now;
  message (bench, reply);
}

/* An append of term TERM by replica ID with one entry behind PREV.  */
static struct raft_msg *
append_of (uint64_t id, uint64_t term, uint64_t prev, uint64_t prev_term)
{
  struct raft_msg *append = from (RAFT_APPEND, id, term);
  struct raft_entry *entry = raft_entry_new (RAFT_ENTRY_NOOP);

  append->u.append.prev_index = prev;
  append->u.append.prev_term = prev_term;
  entry->term = term;
  entry->index = prev + 1;
  list_push_tail (&append->u.append.entries, &entry->node);
  return append;
}

static void
propose (struct bench *bench, uint64_t request)
{
  raft_propose (bench->raft, request, 1000, calloc (1, 8), 8, bench->now);
}

/* Guards against a vote that is counted or answered before it is synced: after
   a crash the replica could vote twice in the term.  */
static void
test_votes_are_synced (void)
{
  struct bench bench;
  struct raft_msg *vote;
  struct raft_msg *reply;

  start (&bench, 3);
  bench.now += clk_s (2);
  vote = from (RAFT_VOTE, 2, 5);
  vote->u.vote = (struct raft_vote){ .last_index = 9, .last_term = 4 };
  message (&bench, vote);
  CU_ASSERT_PTR_NULL (sent (&bench, RAFT_VOTE_REPLY, 0));
  CU_ASSERT_EQUAL (
      only (&bench, RAFT_OUT_WRITE)->u.write->hard_state.voted_for, 2);
  synced (&bench);
  reply = sent (&bench, RAFT_VOTE_REPLY, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (reply);
  CU_ASSERT_TRUE (reply->u.vote_reply.granted);
  vote = from (RAFT_VOTE, 3, 5);
  vote->u.vote = (struct raft_vote){ .last_index = 9, .last_term = 4 };
  message (&bench, vote);
  CU_ASSERT_FALSE (sent (&bench, RAFT_VOTE_REPLY, 0)->u.vote_reply.granted);
  stop (&bench);
}

/* Guards against a restarted replica that forgets its vote and gives another
   one in the same term.  */
static void
test_vote_survives_restart (void)
{
  struct raft_opts opts = { .id = OWN };
  struct raft_msg *vote = from (RAFT_VOTE, 3, 5);
  struct wal_loaded loaded;
  struct bench bench = { .now = clk_s (100) };

  raft_opts_default (&opts);
  wal_loaded_init (&loaded);
  loaded.hard_state = (struct raft_hard_state){ .term = 5, .voted_for = 2 };
  bench.raft = raft_new (&opts, &loaded, bench.now);
  message (&bench, vote);
  CU_ASSERT_FALSE (sent (&bench, RAFT_VOTE_REPLY, 0)->u.vote_reply.granted);
  message (&bench, from (RAFT_VOTE, 2, 5));
  CU_ASSERT_TRUE (sent (&bench, RAFT_VOTE_REPLY, 0)->u.vote_reply.granted);
  stop (&bench);
}

/* Guards against a vote for a log that lacks acknowledged entries.  */
static void
test_vote_needs_log (void)
{
  struct bench bench;
  struct raft_msg *vote = from (RAFT_VOTE, 2, 5);

  start (&bench, 3);
  bench.now += clk_s (2);
  message (&bench, vote);
  CU_ASSERT_FALSE (sent (&bench, RAFT_VOTE_REPLY, 0)->u.vote_reply.granted);
  stop (&bench);
}

/* Guards against a rejoined replica that disturbs a leader which others still
   hear.  */
static void
test_live_leader_keeps_votes (void)
{
  struct bench bench;
  struct raft_msg *vote;

  start (&bench, 3);
  message (&bench, from (RAFT_APPEND, 2, 3));
  vote = from (RAFT_PREVOTE, 3, 4);
  vote->u.vote = (struct raft_vote){ .last_index = 9, .last_term = 4 };
  message (&bench, vote);
  CU_ASSERT_FALSE (sent (&bench, RAFT_PREVOTE_REPLY, 0)->u.vote_reply.granted);
  vote = from (RAFT_VOTE, 3, 4);
  vote->u.vote = (struct raft_vote){ .last_index = 9, .last_term = 4 };
  message (&bench, vote);
  CU_ASSERT_EQUAL (status (&bench).term, 3);
  vote = from (RAFT_VOTE, 3, 4);
  vote->u.vote = (struct raft_vote){ 9, 4, true };
  message (&bench, vote);
  CU_ASSERT_EQUAL (status (&bench).term, 4);
  stop (&bench);
}

/* Guards against a follower that acknowledges entries which a crash can still
   take away.  */
static void
test_follower_acks_synced (void)
{
  struct bench bench;

  start (&bench, 3);
  message (&bench, append_of (2, 3, 1, 1));
  CU_ASSERT_PTR_NULL (sent (&bench, RAFT_APPEND_REPLY, 0));
  synced (&bench);
  CU_ASSERT_EQUAL (
      sent (&bench, RAFT_APPEND_REPLY, 0)->u.append_reply.match_index, 2);
  stop (&bench);
}

/* Guards against a leader that counts itself before its own write is synced,
   and against one that counts a learner.  */
static void
test_leader_counts_synced (void)
{
  struct bench bench;

  start (&bench, 3);
  lead (&bench);
  CU_ASSERT_PTR_NOT_NULL (only (&bench, RAFT_OUT_WRITE));
  ack (&bench, 9, 2, 1);
  ack (&bench, 2, 1, 1);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 0);
  ack (&bench, 2, 2, 1);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 0);
  synced (&bench);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 2);
  propose (&bench, 1);
  drain (&bench);
  ack (&bench, 9, 3, 1);
  synced (&bench);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 2);
  stop (&bench);
}

/* Guards against an entry of a former term that counts as committed because a
   quorum holds it: a leader of a term between may still replace it.  */
static void
test_former_term (void)
{
  struct bench bench;

  start (&bench, 3);
  lead (&bench);
  synced (&bench);
  ack (&bench, 2, 1, 1);
  ack (&bench, 3, 1, 1);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 0);
  ack (&bench, 3, 2, 1);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 2);
  stop (&bench);
}

/* Guards against an acknowledgement to a new leader that counts entries of
   the former one, which the new leader may not have.  */
static void
test_new_leader_is_not_acked (void)
{
  struct bench bench;
  struct raft_msg *heartbeat = from (RAFT_APPEND, 3, 4);

  start (&bench, 3);
  message (&bench, append_of (2, 3, 1, 1));
  synced (&bench);
  CU_ASSERT_EQUAL (
      sent (&bench, RAFT_APPEND_REPLY, 0)->u.append_reply.match_index, 2);
  heartbeat->u.append.prev_index = 1;
  heartbeat->u.append.prev_term = 1;
  heartbeat->u.append.leader_commit = 9;
  message (&bench, heartbeat);
  CU_ASSERT_EQUAL (
      sent (&bench, RAFT_APPEND_REPLY, 0)->u.append_reply.match_index, 1);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 1);
  stop (&bench);
}

/* Guards against acknowledged entries behind a snapshot that are dropped when
   the snapshot arrives late, and against a log that stays although it differs
   from the snapshot.  */
static void
test_snapshot_keeps_equal_log (void)
{
  struct bench bench;
  struct raft_msg *chunk;

  start (&bench, 3);
  message (&bench, append_of (2, 3, 1, 1));
  message (&bench, append_of (2, 3, 2, 3));
  chunk = from (RAFT_INSTALL_SNAPSHOT, 2, 3);
  chunk->u.chunk.index = 2;
  chunk->u.chunk.term = 3;
  message (&bench, chunk);
  CU_ASSERT_EQUAL (status (&bench).last_index, 3);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 2);
  chunk = from (RAFT_INSTALL_SNAPSHOT, 3, 4);
  chunk->u.chunk.index = 3;
  chunk->u.chunk.term = 4;
  message (&bench, chunk);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 3);
  CU_ASSERT_PTR_NOT_NULL (only (&bench, RAFT_OUT_RESTORE));
  CU_ASSERT_PTR_NULL (sent (&bench, RAFT_INSTALL_SNAPSHOT_REPLY, 0));
  synced (&bench);
  CU_ASSERT_TRUE (
      sent (&bench, RAFT_INSTALL_SNAPSHOT_REPLY, 0)->u.chunk_reply.installed);
  stop (&bench);
}

/* Guards against one write and one append for each of many proposals, and
   against answers that reach another request.  */
static void
test_group_commit (void)
{
  struct bench bench;

  start (&bench, 3);
  lead (&bench);
  synced (&bench);
  ack (&bench, 2, 2, 1);
  for (uint64_t i = 0; i < 10; i++)
    propose (&bench, 500 + i);
  drain (&bench);
  CU_ASSERT_PTR_NOT_NULL (only (&bench, RAFT_OUT_WRITE));
  CU_ASSERT_PTR_NOT_NULL (sent (&bench, RAFT_APPEND, 2));
  CU_ASSERT_PTR_NULL (sent (&bench, RAFT_APPEND, 3));
  synced (&bench);
  ack (&bench, 3, 12, 1);
  CU_ASSERT_EQUAL (bench.count, 10);
  for (uint32_t i = 0; i < bench.count; i++)
    {
      CU_ASSERT_EQUAL (bench.out[i]->kind, RAFT_OUT_APPLY);
      CU_ASSERT_EQUAL (bench.out[i]->u.apply.request_id, 500 + i);
    }
  stop (&bench);
}

/* Guards against a leader that serves reads or proposals after its lease, as
   one that was frozen or cut off would.  */
static void
test_lease (void)
{
  struct bench bench;
  struct raft_out *refused;

  start (&bench, 3);
  lead (&bench);
  synced (&bench);
  propose (&bench, 7);
  drain (&bench);
  bench.now += clk_ms (400);
  raft_read_index (bench.raft, 8, bench.now);
  drain (&bench);
  CU_ASSERT_EQUAL (status (&bench).role, RAFT_FOLLOWER);
  CU_ASSERT_EQUAL_FATAL (bench.count, 3);
  CU_ASSERT_EQUAL (bench.out[0]->u.refused.request_id, 7);
  CU_ASSERT_EQUAL (bench.out[0]->u.refused.status, SR_EAGAIN);
  refused = bench.out[2];
  CU_ASSERT_EQUAL (refused->u.refused.request_id, 8);
  CU_ASSERT_EQUAL (refused->u.refused.status, SR_ENOTLEADER);
  stop (&bench);
}

/* Guards against a read that is answered from a contact before it was asked,
   or before the leader knows what is committed.  */
static void
test_read_needs_quorum (void)
{
  struct bench bench;
  uint64_t round;

  start (&bench, 3);
  lead (&bench);
  round = sent (&bench, RAFT_APPEND, 0)->u.append.round;
  synced (&bench);
  raft_read_index (bench.raft, 8, bench.now);
  drain (&bench);
  CU_ASSERT_EQUAL (sent (&bench, RAFT_APPEND, 0)->u.append.round, round + 1);
  ack (&bench, 2, 0, round + 1);
  CU_ASSERT_PTR_NULL (only (&bench, RAFT_OUT_READ_CONFIRMED));
  ack (&bench, 2, 2, round);
  CU_ASSERT_PTR_NOT_NULL (only (&bench, RAFT_OUT_READ_CONFIRMED));
  raft_read_index (bench.raft, 9, bench.now);
  drain (&bench);
  ack (&bench, 3, 2, round + 1);
  CU_ASSERT_PTR_NULL (only (&bench, RAFT_OUT_READ_CONFIRMED));
  ack (&bench, 3, 2, round + 2);
  CU_ASSERT_EQUAL (only (&bench, RAFT_OUT_READ_CONFIRMED)->u.read_request_id,
                   9);
  stop (&bench);
}

/* Guards against two membership changes at once, whose quorums may not
   overlap, and against a leader that removes itself.  */
static void
test_one_change_at_a_time (void)
{
  struct bench bench;

  start (&bench, 3);
  lead (&bench);
  CU_ASSERT_EQUAL (raft_remove_member (bench.raft, 3, bench.now), SR_EAGAIN);
  synced (&bench);
  ack (&bench, 2, 2, 1);
  CU_ASSERT_EQUAL (raft_remove_member (bench.raft, OWN, bench.now), SR_EINVAL);
  CU_ASSERT_EQUAL (raft_remove_member (bench.raft, 77, bench.now), SR_ENOENT);
  CU_ASSERT_EQUAL (raft_remove_member (bench.raft, 3, bench.now), SR_OK);
  CU_ASSERT_EQUAL (raft_remove_member (bench.raft, 2, bench.now), SR_EAGAIN);
  stop (&bench);
}

/* Whether ID is a voter.  */
static bool
votes (const struct bench *bench, uint64_t id)
{
  struct raft_status now = status (bench);

  for (uint32_t i = 0; i < now.members.count; i++)
    if (now.members.list[i].id == id)
      return !now.members.list[i].learner;
  return false;
}

/* Commits all that is in the log with replicas 2 and 9.  */
static void
commit_all (struct bench *bench)
{
  synced (bench);
  ack (bench, 2, status (bench).last_index, 1);
  synced (bench);
  ack (bench, 9, status (bench).last_index, 1);
}

/* Guards against a fourth voter, against a learner in the quorum before it
   has caught up, and against a dead voter that keeps its place while a
   learner waits.  */
static void
test_learner_takes_place (void)
{
  struct bench bench;

  start (&bench, 3);
  lead (&bench);
  synced (&bench);
  ack (&bench, 2, 2, 1);
  for (int i = 0; i < 700; i++)
    {
      CU_ASSERT_TRUE (votes (&bench, 3));
      CU_ASSERT_FALSE (votes (&bench, 9));
      bench.now += clk_ms (100);
      raft_tick (bench.raft, bench.now);
      drain (&bench);
      ack (&bench, 2, 2, 1);
      /* Replica 9 lags until the end, replica 3 is silent for 60 s.  */
      ack (&bench, 9, i < 690 ? 0 : 2, 1);
      if (!votes (&bench, 3))
        break;
    }
  CU_ASSERT_FALSE (votes (&bench, 3));
  for (int i = 0; i < 3; i++)
    commit_all (&bench);
  CU_ASSERT_TRUE (votes (&bench, 9));
  CU_ASSERT_EQUAL (status (&bench).members.count, 3);
  stop (&bench);
}

/* Guards against a replica with a new disk that acts on messages for the id
   that it lost.  */
static void
test_other_id (void)
{
  struct bench bench;
  struct raft_msg *vote = from (RAFT_VOTE, 2, 5);

  start (&bench, 3);
  bench.now += clk_s (2);
  vote->to = 4;
  vote->u.vote = (struct raft_vote){ .last_index = 9, .last_term = 4 };
  message (&bench, vote);
  CU_ASSERT_EQUAL (bench.count, 0);
  CU_ASSERT_EQUAL (status (&bench).term, 1);
  stop (&bench);
}

/* Guards against a hand-over to a voter that lacks entries, and against
   proposals that are taken meanwhile.  */
static void
test_transfer (void)
{
  struct bench bench;

  start (&bench, 3);
  lead (&bench);
  synced (&bench);
  ack (&bench, 2, 2, 1);
  propose (&bench, 1);
  CU_ASSERT_EQUAL (raft_transfer_leadership (bench.raft, bench.now), SR_OK);
  propose (&bench, 2);
  drain (&bench);
  CU_ASSERT_PTR_NULL (sent (&bench, RAFT_TIMEOUT_NOW, 0));
  CU_ASSERT_EQUAL (only (&bench, RAFT_OUT_REFUSED)->u.refused.status,
                   SR_EAGAIN);
  ack (&bench, 2, 3, 1);
  CU_ASSERT_EQUAL (sent (&bench, RAFT_TIMEOUT_NOW, 0)->to, 2);
  stop (&bench);
}

/* Replica 2 rejects an append behind PREV that was sent at SENT.  */
static void
reject (struct bench *bench, uint64_t prev, uint64_t hint, clk_us sent)
{
  struct raft_msg *reply = from (RAFT_APPEND_REPLY, 2, 2);

  reply->u.append_reply.prev_index = prev;
  reply->u.append_reply.next_index = hint;
  reply->u.append_reply.sent_us = sent;
  message (bench, reply);
}

/* Guards against a leader that never again sends what a replica acknowledged
   and lost with the end of its file, and that goes on counting it.  */
static void
test_lost_tail (void)
{
  struct bench bench;
  struct raft_msg *append;
  struct raft_out *lost;

  start (&bench, 3);
  lead (&bench);
  synced (&bench);
  ack (&bench, 2, 2, 1);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 2);
  /* Sent before the acknowledgement was there.  */
  reject (&bench, 1, 1, bench.now);
  CU_ASSERT_PTR_NULL (only (&bench, RAFT_OUT_ENTRIES_LOST));
  bench.now += clk_ms (100);
  raft_tick (bench.raft, bench.now);
  drain (&bench);
  reject (&bench, 2, 2, bench.now);
  lost = only (&bench, RAFT_OUT_ENTRIES_LOST);
  CU_ASSERT_PTR_NOT_NULL_FATAL (lost);
  CU_ASSERT_EQUAL (lost->u.lost.acknowledged_index, 2);
  CU_ASSERT_EQUAL (lost->u.lost.next_index, 2);
  append = sent (&bench, RAFT_APPEND, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (append);
  CU_ASSERT_EQUAL (append->to, 2);
  CU_ASSERT_EQUAL (append->u.append.prev_index, 1);
  CU_ASSERT_FALSE (list_empty (&append->u.append.entries));
  propose (&bench, 1);
  drain (&bench);
  synced (&bench);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 2);
  ack (&bench, 2, 3, 1);
  CU_ASSERT_EQUAL (status (&bench).commit_index, 3);
  stop (&bench);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "votes are synced", test_votes_are_synced },
          { "vote survives restart", test_vote_survives_restart },
          { "vote needs log", test_vote_needs_log },
          { "live leader keeps votes", test_live_leader_keeps_votes },
          { "follower acks synced", test_follower_acks_synced },
          { "leader counts synced", test_leader_counts_synced },
          { "former term", test_former_term },
          { "new leader is not acked", test_new_leader_is_not_acked },
          { "snapshot keeps equal log", test_snapshot_keeps_equal_log },
          { "group commit", test_group_commit },
          { "lease", test_lease },
          { "read needs quorum", test_read_needs_quorum },
          { "one change at a time", test_one_change_at_a_time },
          { "learner takes place", test_learner_takes_place },
          { "other id", test_other_id },
          { "transfer", test_transfer },
          { "lost tail", test_lost_tail },
          { NULL, NULL } };

  return suite_run ("rep", tests);
}
