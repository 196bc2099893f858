#ifndef LOG_RAFT_IMPL_H
#define LOG_RAFT_IMPL_H

/**
 * DOC: raft_impl - internal state and functions of log/raft
 */

#include "core/err.h"
#include "core/rng.h"
#include "log/raft.h"

/* The election timeout is doubled at most this many times.  */
#define RAFT_ELECTION_BACKOFF_MAX 3
/* A report of silent peers counts for this many heartbeat intervals.  */
#define RAFT_SILENT_PEERS_HEARTBEATS 3
/* Limits of one AppendEntries message.  */
#define RAFT_APPEND_BYTES_MAX (64 * 1024)
#define RAFT_APPEND_ENTRIES_MAX 256
/* Limit of entry bytes in flight to one peer: enough for the bandwidth between
   failure domains, and a bound on what is queued for a dead peer.  */
#define RAFT_INFLIGHT_BYTES_MAX (1024 * 1024)
/* A member that is silent for this many replace timeouts is not expected back.
   A learner is then removed, but not sooner: it delays nothing, and one that
   returns as a member catches up sooner.  */
#define RAFT_GONE_TIMEOUTS 3
/* A learner that lacks at most this many entries counts as caught up.  */
#define RAFT_CAUGHT_UP_ENTRIES 64
/* A snapshot is taken once the entries since the last one have at least its
   size divided by this ratio.  So at most four bytes of snapshot are written
   for each byte of log, and the log in memory stays under a quarter of the
   size of the state.  */
#define RAFT_SNAPSHOT_TO_LOG_RATIO 4
/* Larger snapshots are rejected: a bound on the memory that a peer can make
   this replica allocate.  */
#define RAFT_SNAPSHOT_BYTES_MAX (256ull * 1024 * 1024)

/* The log in memory: the entries after the compacted part, oldest first.
   @base_index, @base_term and @base_members describe the last compacted
   entry.  */
struct raft_log
{
  struct list entries;
  uint64_t base_index;
  uint64_t base_term;
  struct raft_members base_members;
  uint64_t last_index;
};

/* Another member, with its vote and its replication progress.  */
struct raft_peer
{
  struct list_node node;
  struct raft_member member;
  bool vote_granted;        /* (pre-)vote of the current election */
  uint64_t next_index;      /* index of the next entry to send */
  uint64_t match_index;     /* last index known to be durable at the peer */
  clk_us matched_at;        /* time of the last rise of @match_index */
  uint64_t inflight_bytes;  /* entry bytes sent since its last reply */
  uint64_t acked_round;     /* last broadcast that it replied to */
  clk_us acked_sent_at;     /* send time of the newest message replied to */
  clk_us last_contact;      /* time of its last reply */
  clk_us left_at;           /* time of its last RAFT_LEAVE, 0 for none */
  uint64_t snapshot_index;  /* snapshot being sent, 0 for none */
  uint64_t snapshot_offset; /* of the next chunk */
  clk_us chunk_sent_at;
};

/* A write that is not yet durable.  */
struct raft_pending_write
{
  struct list_node node;
  uint64_t sequence;
  uint64_t last_index; /* last log index that it makes durable */
};

/* A proposal of this leader that is not yet committed.  */
struct raft_pending_proposal
{
  struct list_node node;
  uint64_t index;
  uint64_t request_id;
};

/* A read that is not yet confirmed by a quorum.  */
struct raft_pending_read
{
  struct list_node node;
  uint64_t request_id;
  uint64_t round; /* first broadcast that can confirm it */
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
  uint64_t members_index;         /* log index of @members */
  struct list peers;              /* struct raft_peer */

  uint64_t leader_id; /* 0 when not known */
  clk_us last_leader_contact;
  clk_us election_deadline;
  uint32_t elections_lost; /* in a row, started here without a leader since */
  clk_us heartbeat_deadline;

  uint64_t written_index;   /* last index that is part of a write */
  uint64_t durable_index;   /* last index that is durable */
  uint64_t write_sequence;  /* of the newest write */
  uint64_t synced_sequence; /* newest sequence that is durable */
  bool hard_state_dirty;
  uint64_t written_commit_index;
  clk_us commit_write_deadline; /* earliest write for the commit index alone */
  uint64_t truncate_from;       /* for the next write */
  struct raft_snapshot *new_snapshot; /* for the next write */
  struct list pending_writes;         /* struct raft_pending_write */

  uint64_t vote_write_sequence; /* write that makes the vote of this replica in
                                   the current term durable */
  uint64_t matched_index;    /* follower: last index that matches the leader */
  uint64_t acked_index;      /* follower: highest match index acknowledged */
  uint64_t term_start_index; /* leader: index of its first entry */
  clk_us leader_since;       /* leader: time of its election */
  uint64_t round;            /* leader: number of the newest broadcast */
  bool broadcast_pending;
  uint64_t transfer_target_id;
  clk_us transfer_deadline;
  bool snapshot_requested;
  uint64_t bytes_since_snapshot; /* entry bytes committed since the last */
  struct raft_incoming_snapshot incoming_snapshot;
  struct raft_silent_peers silent_peers; /* newest report of the leader */
  clk_us silent_peers_at;                /* when it arrived */
  clk_us leave_sent_at;                  /* of the last RAFT_LEAVE */

  struct list pending_proposals; /* struct raft_pending_proposal, by index */
  struct list pending_reads;     /* struct raft_pending_read, by round */
  struct list outputs_awaiting_sync; /* struct raft_out, see @write_sequence */
  struct list outputs;               /* struct raft_out */
};

/* raft_log.c */
void raft_log_init (struct raft_log *log);
/* Frees all entries and initializes the log anew.  */
void raft_log_clear (struct raft_log *log);
/* Returns the entry at INDEX, or NULL when the log doesn't hold it.  */
struct raft_entry *raft_log_get (const struct raft_log *log, uint64_t index);
/* Returns the term at INDEX, or 0 before the base and after the end.  */
uint64_t raft_log_term (const struct raft_log *log, uint64_t index);
uint64_t raft_log_last_term (const struct raft_log *log);
/* Appends ENTRY, which belongs to the log then.  */
void raft_log_append (struct raft_log *log, struct raft_entry *entry);
/* Removes the entries from index FROM to the end.  */
void raft_log_truncate (struct raft_log *log, uint64_t from);
/* Removes the entries up to INDEX.  */
void raft_log_compact (struct raft_log *log, uint64_t index);
/* Replaces the log by an empty one that starts after SNAPSHOT.  */
void raft_log_reset (struct raft_log *log,
                     const struct raft_snapshot *snapshot);
/* Returns the newest membership at or before INDEX; sets *MEMBERS_INDEX to its
   index.  */
const struct raft_members *raft_log_members (const struct raft_log *log,
                                             uint64_t index,
                                             uint64_t *members_index);

/* raft.c */
/* Allocates SIZE zeroed bytes; never NULL.  */
void *raft_alloc (size_t size);
/* Appends an empty output of KIND.  */
struct raft_out *raft_add_output (struct raft *raft, enum raft_out_kind kind);
/* Returns a message of the current term to the replica TO.  */
struct raft_msg *raft_msg_new_to (struct raft *raft, enum raft_msg_kind kind,
                                  uint64_t to);
void raft_send (struct raft *raft, struct raft_msg *msg);
/* Sends MSG once the present state is durable.  */
void raft_send_after_sync (struct raft *raft, struct raft_msg *msg);
/* Returns the sequence of the write that makes the present state durable.  */
uint64_t raft_last_write_sequence (const struct raft *raft);
void raft_refuse_request (struct raft *raft, uint64_t request_id, int status);
/* Becomes a follower in TERM; LEADER_ID is 0 when not known.  */
void raft_become_follower (struct raft *raft, uint64_t term,
                           uint64_t leader_id, clk_us now);
void raft_become_leader (struct raft *raft, clk_us now);
void raft_reset_election_timer (struct raft *raft, clk_us now);
/* Assigns term and index to ENTRY and appends it to the log.  */
void raft_append_new_entry (struct raft *raft, struct raft_entry *entry);
/* Removes the entries from index FROM on, in memory and with the next write.
 */
void raft_truncate_log (struct raft *raft, uint64_t from);
/* Raises the commit index to INDEX and applies the entries.  */
void raft_advance_commit_index (struct raft *raft, uint64_t index);
bool raft_is_voter (const struct raft *raft, uint64_t id);
uint32_t raft_count_voters (const struct raft_members *members);

/* raft_vote.c: elections */
void raft_start_prevote (struct raft *raft, clk_us now);
/* Starts an election; TRANSFER: requested by the leader.  */
void raft_start_election (struct raft *raft, bool transfer, clk_us now);
/* Advances an election that a quorum has granted.  */
void raft_count_votes (struct raft *raft, clk_us now);
void raft_on_prevote (struct raft *raft, const struct raft_msg *msg,
                      clk_us now);
void raft_on_vote (struct raft *raft, const struct raft_msg *msg, clk_us now);
void raft_on_vote_reply (struct raft *raft, const struct raft_msg *msg,
                         clk_us now);

/* raft_append.c: follower */
void raft_on_append (struct raft *raft, struct raft_msg *msg, clk_us now);
/* Acknowledges entries that have become durable.  */
void raft_ack_durable_entries (struct raft *raft);

/* raft_lead.c: leader */
void raft_on_append_reply (struct raft *raft, const struct raft_msg *msg,
                           clk_us now);
/* Starts a round: sends pending entries and a heartbeat to all peers.  */
void raft_broadcast_append (struct raft *raft, clk_us now);
/* Sends pending entries or snapshot chunks to all peers.  */
void raft_replicate_to_all (struct raft *raft, clk_us now);
/* Whether a quorum replied to messages sent within the lease duration.  */
bool raft_lease_valid (const struct raft *raft, clk_us now);
/* Raises the commit index to what a quorum has made durable.  */
void raft_update_commit_index (struct raft *raft, clk_us now);
/* Confirms the reads whose round a quorum has acknowledged.  */
void raft_confirm_reads (struct raft *raft);
/* Records a reply of PEER to a message of ROUND that was sent at SENT_AT.  */
void raft_record_reply (struct raft_peer *peer, uint64_t round, clk_us sent_at,
                        clk_us now);
/* Records that the log of PEER is durable and matches up to INDEX.  Returns
   whether the match index has risen.  */
bool raft_raise_match_index (struct raft *raft, struct raft_peer *peer,
                             uint64_t index, clk_us now);

/* raft_snap.c: InstallSnapshot */
/* Sends the next chunk, or the last one again when its reply is late.  */
void raft_send_snapshot_chunk (struct raft *raft, struct raft_peer *peer,
                               clk_us now);
void raft_on_snapshot_chunk (struct raft *raft, struct raft_msg *msg,
                             clk_us now);
void raft_on_snapshot_chunk_reply (struct raft *raft,
                                   const struct raft_msg *msg, clk_us now);

/* raft_member.c: membership changes */
/* Returns the peer with ID, or NULL.  */
struct raft_peer *raft_peer_find (const struct raft *raft, uint64_t id);
/* Makes the newest membership of the log effective.  */
void raft_update_members (struct raft *raft, clk_us now);
/* Whether the leader may propose a membership now.  */
bool raft_member_change_allowed (const struct raft *raft);
/* Proposes that the member ID becomes a learner, or else a voter.  */
void raft_propose_role (struct raft *raft, uint64_t id, bool learner);
/* Whether PEER hands over its vote, or did so last before it fell silent.  */
bool raft_peer_leaves (const struct raft *raft, const struct raft_peer *peer);
void raft_on_leave (struct raft *raft, const struct raft_msg *msg, clk_us now);
void raft_on_hello (struct raft *raft, const struct raft_msg *msg, clk_us now);

/* raft_votes.c: which members vote */
/* Proposes at most one membership change: the next step towards voters that
   bear the tolerance, or the removal of a silent learner.  */
void raft_manage_members (struct raft *raft, clk_us now);

/* raft_silence.c: members that do not reply */
/* Tells the followers which members are silent, so that a new leader need not
   wait for the replace timeout anew.  */
void raft_send_silent_peers (struct raft *raft, clk_us now);
void raft_on_silent_peers (struct raft *raft, const struct raft_msg *msg,
                           clk_us now);
/* On a new leader: sets the last contact of the peers to that of the last
   leader.  */
void raft_adopt_silence (struct raft *raft);

#endif
