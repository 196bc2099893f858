#ifndef LOG_RAFT_H
#define LOG_RAFT_H

/**
 * DOC: raft - Raft consensus with pre-vote, leader lease and learners
 *
 * A state machine without I/O for one replica of one replicated log.  Inputs
 * are the functions below with the current time; outputs are read with
 * raft_next_output() after each batch of inputs.  All proposals of a batch
 * share one write, and one append to each peer (group commit).
 *
 * The host executes RAFT_OUT_WRITE in order and calls raft_handle_synced()
 * once a write is durable.  Messages that depend on a write are held back
 * until then.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"
#include "core/raftmsg.h"
#include "log/places.h"
#include "log/quorum.h"

struct raft;

struct raft_opts
{
  uint64_t id;                      /* replica id, not 0 */
  char address[RAFT_ADDRESS_BYTES]; /* own peer address */
  uint32_t group;                   /* log group */
  uint64_t peers_digest; /* echoed in hello replies, see log/boot.h */
  uint64_t seed;         /* of the random election timeouts */
  uint32_t snapshot_interval_entries; /* minimum between two snapshots */
  clk_us heartbeat_interval;
  clk_us election_timeout_min;
  clk_us election_timeout_max;
  clk_us lease_duration;  /* shorter than @election_timeout_min */
  clk_us replace_timeout; /* silence after which a voter is replaced */
  struct member_tolerance tolerance; /* losses that the voters should bear */
  const struct places *places; /* of the members, outlives the replica; NULL
                                  when the tolerance is of instances only */
};

enum raft_role
{
  RAFT_FOLLOWER,
  RAFT_PRECANDIDATE,
  RAFT_CANDIDATE,
  RAFT_LEADER,
};

enum raft_out_kind
{
  RAFT_OUT_SEND,
  RAFT_OUT_WRITE,
  RAFT_OUT_APPLY,
  RAFT_OUT_RESTORE,
  RAFT_OUT_REFUSED,         /* a proposal or a read has failed */
  RAFT_OUT_READ_CONFIRMED,  /* the state machine may be read */
  RAFT_OUT_ROLE_CHANGED,    /* role, term or leader has changed */
  RAFT_OUT_MEMBERS_CHANGED, /* see raft_get_status() */
  RAFT_OUT_TAKE_SNAPSHOT,   /* the host calls raft_store_snapshot() */
  RAFT_OUT_ENTRIES_LOST,    /* a member has lost acknowledged entries */
};

struct raft_out_apply
{
  struct raft_entry *entry; /* RAFT_ENTRY_COMMAND */
  bool proposed_here;       /* @request_id is valid */
  uint64_t request_id;
};

struct raft_out_refused
{
  uint64_t request_id;
  /* SR_ENOTLEADER, or SR_EAGAIN: a proposal may still be committed.  */
  int status;
  char leader_address[RAFT_ADDRESS_BYTES]; /* empty when not known */
};

struct raft_out_entries_lost
{
  char address[RAFT_ADDRESS_BYTES]; /* of the member */
  uint64_t acknowledged_index;      /* last index that it acknowledged */
  uint64_t next_index;              /* index that is sent to it next */
};

struct raft_out
{
  struct list_node node;
  enum raft_out_kind kind;
  uint64_t write_sequence; /* internal: write that has to be durable first */
  union
  {
    struct raft_msg *send;
    struct raft_write *write;
    struct raft_out_apply apply;
    struct raft_snapshot *restore;
    struct raft_out_refused refused;
    uint64_t read_request_id;
    uint64_t snapshot_index; /* last index applied */
    struct raft_out_entries_lost lost;
  } u;
};

struct raft_status
{
  enum raft_role role;
  uint64_t term;
  uint64_t commit_index;
  uint64_t last_index;
  uint64_t snapshot_index;
  uint64_t leader_id;                      /* 0 when not known */
  char leader_address[RAFT_ADDRESS_BYTES]; /* empty when not known */
  bool is_member; /* in the newest membership of the log */
  bool is_voter;
  clk_us last_leader_contact; /* time of the last message of a leader; on
                                 the leader, of its newest input */
  uint64_t members_index;     /* log index of @members */
  struct raft_members members;
};

/* Sets the default timings in OPTS: heartbeat 100 ms, election 500 … 1000 ms,
   lease 400 ms, replacement after 60 s, a snapshot every 1000 entries, a
   tolerance of as many instances as RAFT_VOTERS_MAX voters bear.  */
void raft_opts_default (struct raft_opts *opts);

/**
 * raft_new() - start a replica with its persistent state
 * @opts: settings
 * @loaded: persistent state, moved out by the call; without entries and
 *	snapshot the replica stays passive until a leader contacts it or
 *	raft_bootstrap() is called
 * @now: current time
 *
 * Return: the replica, never NULL.
 */
struct raft *raft_new (const struct raft_opts *opts,
                       struct raft_persistent_state *loaded, clk_us now);
void raft_free (struct raft *raft);

/* Bootstraps a group: appends MEMBERS as the first entry, in TERM or in the
   term after the current one when that is higher.  Returns SR_OK, or SR_EEXIST
   when the log is not empty.  */
int raft_bootstrap (struct raft *raft, const struct raft_members *members,
                    uint64_t term, clk_us now);

/* Runs expired timers; returns the time at which to call again.  */
clk_us raft_tick (struct raft *raft, clk_us now);

/* Handles a received message and frees it.  */
void raft_handle_message (struct raft *raft, struct raft_msg *msg, clk_us now);

/* Proposes a command and takes ownership of DATA, which is malloc()ed.  The
   result is RAFT_OUT_APPLY or RAFT_OUT_REFUSED.  */
void raft_propose (struct raft *raft, uint64_t request_id,
                   uint64_t timestamp_ms, uint8_t *data, size_t len,
                   clk_us now);

/* Requests a linearizable read (ReadIndex).  The result is
   RAFT_OUT_READ_CONFIRMED, once a quorum has acknowledged this leader in a
   broadcast after the call, or RAFT_OUT_REFUSED.  */
void raft_read_index (struct raft *raft, uint64_t request_id, clk_us now);

/* Handles the completion of all writes up to SEQUENCE, which are durable.  */
void raft_handle_synced (struct raft *raft, uint64_t sequence, clk_us now);

/* Stores a snapshot of the state machine as of INDEX, the last index applied,
   and compacts the log; takes ownership of DATA, which is malloc()ed.  */
void raft_store_snapshot (struct raft *raft, uint64_t index, uint8_t *data,
                          size_t len);

/* Proposes a membership without the member ID.  Returns SR_OK, SR_ENOTLEADER,
   SR_EAGAIN while a change is in progress, SR_ENOENT for an unknown member,
   SR_EINVAL for the leader itself.  */
int raft_propose_removal (struct raft *raft, uint64_t id, clk_us now);

/* Starts a leadership transfer to the live voter with the highest match index.
   Returns SR_OK, also while a transfer is in progress, SR_ENOTLEADER, or
   SR_ENOENT when no other voter is alive.  */
int raft_transfer_leadership (struct raft *raft, clk_us now);

/* Hands over the vote of this replica, whose process stops, to a learner that
   has caught up.  Returns whether the handover is still open; without a
   learner, or once this replica has no vote, it is not.  To be called until
   the process ends; the leader forgets the request when the calls end and the
   replica still replies.  */
bool raft_leave (struct raft *raft, clk_us now);

/* Sets the losses that the voters should bear.  */
void raft_set_tolerance (struct raft *raft,
                         const struct member_tolerance *tolerance);

/* On a leader: returns the part of TOLERANCE that the voters do not bear now,
   see quorum_missing(); otherwise all 0.  */
struct member_tolerance
raft_missing_tolerance (const struct raft *raft,
                        const struct member_tolerance *tolerance, clk_us now);

/* Returns the address of the member ID, or NULL.  */
const char *raft_member_address (const struct raft *raft, uint64_t id);

/* Sets STATUS to the current state of the replica.  */
void raft_get_status (const struct raft *raft, struct raft_status *status);

/* Returns the next output, to be freed with raft_out_free(), or NULL.  */
struct raft_out *raft_next_output (struct raft *raft);
void raft_out_free (struct raft_out *out);

#endif
