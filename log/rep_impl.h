#ifndef LOG_REP_IMPL_H
#define LOG_REP_IMPL_H

/**
 * DOC: rep_impl - state shared by the files of log/rep
 */

#include "core/err.h"
#include "core/rng.h"
#include "log/rep.h"

/* Most command bytes and entries of one append.  */
#define REP_APPEND_BYTES (64 * 1024)
#define REP_APPEND_ENTRIES 256
/* Entry bytes that a leader sends to a peer without an answer: enough for the
   bandwidth between domains, and what a dead peer can keep queued.  */
#define REP_WINDOW_BYTES (1024 * 1024)
/* A learner this close to the end of the log counts as caught up.  */
#define REP_CAUGHT_UP_ENTRIES 64
/* A snapshot is taken once the entries since the last one have this part of
   its size: at most four bytes of snapshot are written for one of log, and
   the log in memory stays under a quarter of the state.  */
#define REP_SNAPSHOT_SHARE 4
/* A snapshot larger than this is refused; a bound on what a peer can make
   this replica allocate.  */
#define REP_SNAPSHOT_BYTES_MAX (256ull * 1024 * 1024)

/* Log in memory: entries after the base, oldest first.  */
struct rep_log
{
  struct lst entries;
  uint64_t base_index;
  uint64_t base_term;
  struct rep_members base_members;
  uint64_t last_index;
};

/* Another member, as seen by a candidate or leader.  */
struct rep_peer
{
  struct lst_node node;
  struct rep_member member;
  bool granted;  /* (pre-)vote of the running election */
  uint64_t next; /* index to send next */
  uint64_t match;
  clk_us matched_at;   /* when @match was last raised */
  uint64_t unanswered; /* entry bytes sent since its last answer */
  uint64_t acked_round;
  clk_us acked_sent; /* send time of the newest message answered */
  clk_us heard;
  uint64_t chunk_index; /* snapshot being sent, 0 for none */
  uint64_t chunk_offset;
  clk_us chunk_sent;
};

/* A write that is not yet durable.  */
struct rep_pending_write
{
  struct lst_node node;
  uint64_t sequence;
  uint64_t last_index; /* last log index that it makes durable */
};

struct rep_pending_proposal
{
  struct lst_node node;
  uint64_t index;
  uint64_t request;
};

struct rep_pending_read
{
  struct lst_node node;
  uint64_t request;
  uint64_t round;
};

/* Snapshot being received.  */
struct rep_incoming
{
  uint64_t index;
  uint64_t term;
  uint64_t total;
  uint64_t received;
  uint8_t *data;
};

struct rep
{
  struct rep_opts opts;
  struct rng rng;
  clk_us now; /* time of the newest input */
  enum rep_role role;
  struct rep_hard hard;
  struct rep_log log;
  struct rep_snapshot *snapshot; /* newest, NULL for none */
  struct rep_members members;    /* newest in the log */
  uint64_t members_index;        /* where they are */
  struct lst peers;              /* struct rep_peer */

  uint64_t leader;
  clk_us leader_heard;
  clk_us election_deadline;
  clk_us heartbeat_deadline;

  uint64_t written;  /* last index handed to a write */
  uint64_t durable;  /* last index that is synced */
  uint64_t sequence; /* of the newest write */
  uint64_t synced;   /* newest sequence that is durable */
  bool hard_dirty;
  uint64_t commit_written;
  clk_us commit_deadline; /* no write only for the commit index before */
  uint64_t truncate_from; /* for the next write */
  struct rep_snapshot *new_snapshot; /* for the next write */
  struct lst writes;                 /* struct rep_pending_write */

  uint64_t vote_sequence; /* write that makes the own vote durable */
  uint64_t ack_index;     /* follower: last index equal to the leader's */
  uint64_t ack_sent;      /* follower: newest match told to the leader */
  uint64_t term_start;    /* leader: index of its first entry */
  uint64_t round;
  bool broadcast_wanted;
  uint64_t transfer_to;
  clk_us transfer_deadline;
  bool snapshot_wanted;
  uint64_t snapshot_bytes; /* committed since the last snapshot */
  struct rep_incoming incoming;

  struct lst proposals; /* struct rep_pending_proposal, by index */
  struct lst reads;     /* struct rep_pending_read, by round */
  struct lst held;      /* struct rep_out that wait for a sync */
  struct lst outputs;   /* struct rep_out */
};

/* rep_log.c */
void rep_log_init (struct rep_log *log);
void rep_log_clear (struct rep_log *log);
struct rep_entry *rep_log_get (const struct rep_log *log, uint64_t index);
/* Term at INDEX, or 0 when it is before the base or after the end.  */
uint64_t rep_log_term (const struct rep_log *log, uint64_t index);
uint64_t rep_log_last_term (const struct rep_log *log);
void rep_log_append (struct rep_log *log, struct rep_entry *entry);
void rep_log_truncate (struct rep_log *log, uint64_t from);
void rep_log_compact (struct rep_log *log, uint64_t index);
void rep_log_reset (struct rep_log *log, const struct rep_snapshot *snapshot);
/* Newest membership at or before INDEX; sets *AT to its index.  */
const struct rep_members *rep_log_members (const struct rep_log *log,
                                           uint64_t index, uint64_t *at);

/* rep.c */
void *rep_alloc (size_t size);
struct rep_out *rep_output (struct rep *rep, enum rep_out_kind kind);
struct rep_msg *rep_msg_to (struct rep *rep, enum rep_msg_kind kind,
                            uint64_t to);
void rep_send (struct rep *rep, struct rep_msg *msg);
/* As rep_send(), once all state up to now is durable.  */
void rep_send_synced (struct rep *rep, struct rep_msg *msg);
uint64_t rep_state_sequence (const struct rep *rep);
void rep_refuse (struct rep *rep, uint64_t request, int status);
void rep_follow (struct rep *rep, uint64_t term, uint64_t leader, clk_us now);
void rep_lead (struct rep *rep, clk_us now);
void rep_reset_election (struct rep *rep, clk_us now);
void rep_append_own (struct rep *rep, struct rep_entry *entry);
void rep_truncate (struct rep *rep, uint64_t from);
void rep_commit_to (struct rep *rep, uint64_t index);
bool rep_is_voter (const struct rep *rep, uint64_t id);
uint32_t rep_voters (const struct rep_members *members);

/* rep_vote.c */
void rep_start_prevote (struct rep *rep, clk_us now);
void rep_start_vote (struct rep *rep, bool transfer, clk_us now);
void rep_check_votes (struct rep *rep, clk_us now);
void rep_on_prevote (struct rep *rep, const struct rep_msg *msg, clk_us now);
void rep_on_vote (struct rep *rep, const struct rep_msg *msg, clk_us now);
void rep_on_vote_reply (struct rep *rep, const struct rep_msg *msg,
                        clk_us now);

/* rep_append.c: follower */
void rep_on_append (struct rep *rep, struct rep_msg *msg, clk_us now);
void rep_ack_durable (struct rep *rep);

/* rep_lead.c: leader */
void rep_on_append_reply (struct rep *rep, const struct rep_msg *msg,
                          clk_us now);
void rep_broadcast (struct rep *rep, clk_us now);
void rep_send_pending (struct rep *rep, clk_us now);
bool rep_lease_valid (const struct rep *rep, clk_us now);
void rep_leader_commit (struct rep *rep, clk_us now);
void rep_confirm_reads (struct rep *rep);
void rep_peer_heard (struct rep_peer *peer, uint64_t round, clk_us sent,
                     clk_us now);
/* PEER says that it has all up to INDEX.  Returns whether that is new.  */
bool rep_peer_has (struct rep *rep, struct rep_peer *peer, uint64_t index,
                   clk_us now);

/* rep_snap.c */
void rep_send_chunk (struct rep *rep, struct rep_peer *peer, clk_us now);
void rep_on_chunk (struct rep *rep, struct rep_msg *msg, clk_us now);
void rep_on_chunk_reply (struct rep *rep, const struct rep_msg *msg,
                         clk_us now);

/* rep_member.c */
struct rep_peer *rep_peer_find (const struct rep *rep, uint64_t id);
void rep_adopt_members (struct rep *rep, clk_us now);
bool rep_change_allowed (const struct rep *rep);
void rep_manage_members (struct rep *rep, clk_us now);
void rep_on_hello (struct rep *rep, const struct rep_msg *msg, clk_us now);

#endif
