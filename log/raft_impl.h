#ifndef LOG_RAFT_IMPL_H
#define LOG_RAFT_IMPL_H

/**
 * DOC: rep_impl - state shared by the files of log/raft
 */

#include "core/err.h"
#include "core/rng.h"
#include "log/raft.h"

/* Most command bytes and entries of one append.  */
#define RAFT_APPEND_BYTES_MAX (64 * 1024)
#define RAFT_APPEND_ENTRIES_MAX 256
/* Entry bytes that a leader sends to a peer without an answer: enough for the
   bandwidth between domains, and what a dead peer can keep queued.  */
#define RAFT_INFLIGHT_BYTES_MAX (1024 * 1024)
/* A learner this close to the end of the log counts as caught up.  */
#define RAFT_CAUGHT_UP_ENTRIES 64
/* A snapshot is taken once the entries since the last one have this part of
   its size: at most four bytes of snapshot are written for one of log, and
   the log in memory stays under a quarter of the state.  */
#define RAFT_SNAPSHOT_TO_LOG_RATIO 4
/* A snapshot larger than this is refused; a bound on what a peer can make
   this replica allocate.  */
#define RAFT_SNAPSHOT_BYTES_MAX (256ull * 1024 * 1024)

/* Log in memory: entries after the base, oldest first.  */
struct raft_log
{
  struct list entries;
  uint64_t base_index;
  uint64_t base_term;
  struct raft_members base_members;
  uint64_t last_index;
};

/* Another member, as seen by a candidate or leader.  */
struct raft_peer
{
  struct list_node node;
  struct raft_member member;
  bool vote_granted;   /* (pre-)vote of the running election */
  uint64_t next_index; /* index to send next */
  uint64_t match_index;
  clk_us matched_at;       /* when @match was last raised */
  uint64_t inflight_bytes; /* entry bytes sent since its last answer */
  uint64_t acked_round;
  clk_us acked_sent_at; /* send time of the newest message answered */
  clk_us last_contact;
  uint64_t snapshot_index; /* snapshot being sent, 0 for none */
  uint64_t snapshot_offset;
  clk_us chunk_sent_at;
};

/* A write that is not yet durable.  */
struct raft_pending_write
{
  struct list_node node;
  uint64_t sequence;
  uint64_t last_index; /* last log index that it makes durable */
};

struct raft_pending_proposal
{
  struct list_node node;
  uint64_t index;
  uint64_t request_id;
};

struct raft_pending_read
{
  struct list_node node;
  uint64_t request_id;
  uint64_t round;
};

/* Snapshot being received.  */
struct raft_incoming_snapshot
{
  uint64_t index;
  uint64_t term;
  uint64_t total;
  uint64_t received;
  uint8_t *data;
};

struct raft
{
  struct raft_opts opts;
  struct rng rng;
  clk_us now; /* time of the newest input */
  enum raft_role role;
  struct raft_hard_state hard_state;
  struct raft_log log;
  struct raft_snapshot *snapshot; /* newest, NULL for none */
  struct raft_members members;    /* newest in the log */
  uint64_t members_index;         /* where they are */
  struct list peers;              /* struct raft_peer */

  uint64_t leader_id;
  clk_us last_leader_contact;
  clk_us election_deadline;
  clk_us heartbeat_deadline;

  uint64_t written_index;   /* last index handed to a write */
  uint64_t durable_index;   /* last index that is synced */
  uint64_t sequence;        /* of the newest write */
  uint64_t synced_sequence; /* newest sequence that is durable */
  bool hard_state_dirty;
  uint64_t written_commit_index;
  clk_us commit_write_deadline; /* no write only for the commit index before */
  uint64_t truncate_from;       /* for the next write */
  struct raft_snapshot *new_snapshot; /* for the next write */
  struct list pending_writes;         /* struct raft_pending_write */

  uint64_t vote_write_sequence; /* write that makes the own vote durable */
  uint64_t matched_index;    /* follower: last index equal to the leader's */
  uint64_t acked_index;      /* follower: newest match told to the leader */
  uint64_t term_start_index; /* leader: index of its first entry */
  uint64_t round;
  bool broadcast_pending;
  uint64_t transfer_target_id;
  clk_us transfer_deadline;
  bool snapshot_requested;
  uint64_t bytes_since_snapshot; /* committed since the last snapshot */
  struct raft_incoming_snapshot incoming_snapshot;

  struct list pending_proposals; /* struct raft_pending_proposal, by index */
  struct list pending_reads;     /* struct raft_pending_read, by round */
  struct list outputs_awaiting_sync; /* struct raft_out that wait for a sync */
  struct list outputs;               /* struct raft_out */
};

/* raft_log.c */
void raft_log_init (struct raft_log *log);
void raft_log_clear (struct raft_log *log);
struct raft_entry *raft_log_get (const struct raft_log *log, uint64_t index);
/* Term at INDEX, or 0 when it is before the base or after the end.  */
uint64_t raft_log_term (const struct raft_log *log, uint64_t index);
uint64_t raft_log_last_term (const struct raft_log *log);
void raft_log_append (struct raft_log *log, struct raft_entry *entry);
void raft_log_truncate (struct raft_log *log, uint64_t from);
void raft_log_compact (struct raft_log *log, uint64_t index);
void raft_log_reset (struct raft_log *log,
                     const struct raft_snapshot *snapshot);
/* Newest membership at or before INDEX; sets *AT to its index.  */
const struct raft_members *raft_log_members (const struct raft_log *log,
                                             uint64_t index, uint64_t *at);

/* raft.c */
void *raft_alloc (size_t size);
struct raft_out *raft_add_output (struct raft *raft, enum raft_out_kind kind);
struct raft_msg *raft_new_msg (struct raft *raft, enum raft_msg_kind kind,
                               uint64_t to);
void raft_send (struct raft *raft, struct raft_msg *msg);
/* As raft_send(), once all state up to now is durable.  */
void raft_send_after_sync (struct raft *raft, struct raft_msg *msg);
uint64_t raft_last_write_sequence (const struct raft *raft);
void raft_refuse_request (struct raft *raft, uint64_t request, int status);
void raft_become_follower (struct raft *raft, uint64_t term, uint64_t leader,
                           clk_us now);
void raft_become_leader (struct raft *raft, clk_us now);
void raft_reset_election_timer (struct raft *raft, clk_us now);
void raft_append_new_entry (struct raft *raft, struct raft_entry *entry);
void raft_truncate_log (struct raft *raft, uint64_t from);
void raft_advance_commit_index (struct raft *raft, uint64_t index);
bool raft_is_voter (const struct raft *raft, uint64_t id);
uint32_t raft_count_voters (const struct raft_members *members);

/* raft_vote.c */
void raft_start_prevote (struct raft *raft, clk_us now);
void raft_start_election (struct raft *raft, bool transfer, clk_us now);
void raft_count_votes (struct raft *raft, clk_us now);
void raft_on_prevote (struct raft *raft, const struct raft_msg *msg,
                      clk_us now);
void raft_on_vote (struct raft *raft, const struct raft_msg *msg, clk_us now);
void raft_on_vote_reply (struct raft *raft, const struct raft_msg *msg,
                         clk_us now);

/* raft_append.c: follower */
void raft_on_append (struct raft *raft, struct raft_msg *msg, clk_us now);
void raft_ack_durable_entries (struct raft *raft);

/* raft_become_leader.c: leader */
void raft_on_append_reply (struct raft *raft, const struct raft_msg *msg,
                           clk_us now);
void raft_broadcast_append (struct raft *raft, clk_us now);
void raft_replicate_to_all (struct raft *raft, clk_us now);
bool raft_lease_valid (const struct raft *raft, clk_us now);
void raft_update_commit_index (struct raft *raft, clk_us now);
void raft_confirm_reads (struct raft *raft);
void raft_record_reply (struct raft_peer *peer, uint64_t round, clk_us sent,
                        clk_us now);
/* PEER says that it has all up to INDEX.  Returns whether that is new.  */
bool raft_raise_match_index (struct raft *raft, struct raft_peer *peer,
                             uint64_t index, clk_us now);

/* rep_snap.c */
void raft_send_snapshot_chunk (struct raft *raft, struct raft_peer *peer,
                               clk_us now);
void raft_on_snapshot_chunk (struct raft *raft, struct raft_msg *msg,
                             clk_us now);
void raft_on_snapshot_chunk_reply (struct raft *raft,
                                   const struct raft_msg *msg, clk_us now);

/* raft_member.c */
struct raft_peer *raft_peer_find (const struct raft *raft, uint64_t id);
void raft_update_members (struct raft *raft, clk_us now);
bool raft_member_change_allowed (const struct raft *raft);
void raft_manage_members (struct raft *raft, clk_us now);
void raft_on_hello (struct raft *raft, const struct raft_msg *msg, clk_us now);

#endif
