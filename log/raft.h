#ifndef LOG_RAFT_H
#define LOG_RAFT_H

/**
 * DOC: raft - decisions of one replica of one replicated log
 *
 * A pure state machine.  Inputs are the functions below with the time passed
 * in; outputs are taken with raft_next_output() after each batch of inputs.
 * Proposals made between two drains share one write and one append.
 *
 * The host writes RAFT_OUT_WRITE in order and calls raft_handle_synced() once
 * the write is durable.  Nothing that depends on the write is sent before.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"
#include "core/raftmsg.h"

struct raft;

struct raft_opts
{
  uint64_t id;
  char address[RAFT_ADDRESS_BYTES];
  uint32_t group;
  uint64_t peers_digest; /* echoed in hello replies, see log/boot.h */
  uint64_t seed;
  uint32_t snapshot_interval_entries; /* entries between snapshots */
  clk_us heartbeat_interval;
  clk_us election_timeout_min;
  clk_us election_timeout_max;
  clk_us lease_duration;  /* shorter than election_min */
  clk_us replace_timeout; /* silence after which a learner takes the place */
  uint32_t voters_max;    /* learners beyond stay in reserve */
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
  RAFT_OUT_REFUSED,        /* a proposal or a read */
  RAFT_OUT_READ_CONFIRMED, /* a read is confirmed */
  RAFT_OUT_ROLE_CHANGED,   /* role, term or leader changed */
  RAFT_OUT_TAKE_SNAPSHOT,  /* answer with raft_store_snapshot() */
  RAFT_OUT_ENTRIES_LOST,   /* a member lost what it had acknowledged */
};

struct raft_out_apply
{
  struct raft_entry *entry; /* RAFT_ENTRY_COMMAND */
  bool proposed_here;       /* @request is valid */
  uint64_t request_id;
};

struct raft_out_refused
{
  uint64_t request_id;
  int status; /* SR_ENOTLEADER, or SR_EAGAIN when the fate is not known */
  char leader_address[RAFT_ADDRESS_BYTES]; /* hint, may be empty */
};

struct raft_out_entries_lost
{
  char address[RAFT_ADDRESS_BYTES]; /* of the member */
  uint64_t acknowledged_index;      /* last index */
  uint64_t next_index;              /* index that it is sent next */
};

struct raft_out
{
  struct list_node node;
  enum raft_out_kind kind;
  uint64_t write_sequence; /* internal: sequence of the write to wait for */
  union
  {
    struct raft_msg *send;
    struct wal_write *write;
    struct raft_out_apply apply;
    struct raft_snapshot *restore;
    struct raft_out_refused refused;
    uint64_t read_request_id; /* request */
    uint64_t snapshot_index;  /* last index applied */
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
  uint64_t leader_id;                      /* id, 0 when not known */
  char leader_address[RAFT_ADDRESS_BYTES]; /* may be empty */
  bool is_member; /* the newest membership lists this replica */
  bool is_voter;
  clk_us last_leader_contact; /* last time that a leader was heard */
  struct raft_members members;
};

/* OPTS with the default timings: heartbeat 100 ms, election 500 … 1000 ms,
   lease 400 ms, replacement after 60 s, a snapshot every 1000 entries.  */
void raft_opts_default (struct raft_opts *opts);

/**
 * raft_new() - start a replica from what its disk holds
 * @opts: settings
 * @loaded: emptied by the call; without entries and snapshot the replica
 *	waits passively for a leader or for raft_bootstrap()
 * @now: time
 */
struct raft *raft_new (const struct raft_opts *opts, struct wal_loaded *loaded,
                       clk_us now);
void raft_free (struct raft *raft);

/* Begins a new group with MEMBERS as its first entry in TERM.  SR_EEXIST when
   the log is not empty.  */
int raft_bootstrap (struct raft *raft, const struct raft_members *members,
                    uint64_t term, clk_us now);

/* Returns the time at which it wants to be called again.  */
clk_us raft_tick (struct raft *raft, clk_us now);

/* Takes over MSG.  */
void raft_handle_message (struct raft *raft, struct raft_msg *msg, clk_us now);

/* Appends a command; takes over DATA, which is malloc()ed.  Answered by
   RAFT_OUT_APPLY or RAFT_OUT_REFUSED.  */
void raft_propose (struct raft *raft, uint64_t request, uint64_t stamp_ms,
                   uint8_t *data, size_t len, clk_us now);

/* Answered by RAFT_OUT_READ_CONFIRMED once a quorum confirmed this leader
   after the call, or by RAFT_OUT_REFUSED.  */
void raft_read_index (struct raft *raft, uint64_t request, clk_us now);

/* All writes up to SEQUENCE are durable.  */
void raft_handle_synced (struct raft *raft, uint64_t sequence, clk_us now);

/* State machine snapshot at INDEX, the last index applied; takes over DATA. */
void raft_store_snapshot (struct raft *raft, uint64_t index, uint8_t *data,
                          size_t len);

/* Removes a member.  SR_ENOTLEADER, SR_EAGAIN while another change is under
   way, SR_ENOENT, SR_EINVAL for the leader itself.  */
int raft_remove_member (struct raft *raft, uint64_t id, clk_us now);

/* Hands leadership to the most advanced voter.  SR_OK once it is under way,
   SR_ENOTLEADER, SR_ENOENT when no other voter is alive.  */
int raft_transfer_leadership (struct raft *raft, clk_us now);

/* Address of a member, or NULL.  */
const char *raft_member_address (const struct raft *raft, uint64_t id);

void raft_status (const struct raft *raft, struct raft_status *status);

/* The next output, freed with raft_out_free(), or NULL.  */
struct raft_out *raft_next_output (struct raft *raft);
void raft_out_free (struct raft_out *out);

#endif
