#ifndef LOG_REP_H
#define LOG_REP_H

/**
 * DOC: rep - decisions of one replica of one replicated log
 *
 * A pure state machine.  Inputs are the functions below with the time passed
 * in; outputs are taken with rep_next_output() after each batch of inputs.
 * Proposals made between two drains share one write and one append.
 *
 * The host writes REP_OUT_WRITE in order and calls rep_synced() once the
 * write is durable.  Nothing that depends on the write is sent before.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"
#include "core/repmsg.h"

struct rep;

struct rep_opts
{
  uint64_t id;
  char address[REP_ADDRESS_BYTES];
  uint32_t group;
  uint64_t peers_digest; /* echoed in hello replies, see log/boot.h */
  uint64_t seed;
  uint32_t snapshot_every; /* entries between snapshots */
  clk_us heartbeat;
  clk_us election_min;
  clk_us election_max;
  clk_us lease;         /* shorter than election_min */
  clk_us replace_after; /* silence after which a learner takes the place */
  uint32_t voters_most; /* learners beyond stay in reserve */
};

enum rep_role
{
  REP_FOLLOWER,
  REP_PRECANDIDATE,
  REP_CANDIDATE,
  REP_LEADER,
};

enum rep_out_kind
{
  REP_OUT_SEND,
  REP_OUT_WRITE,
  REP_OUT_APPLY,
  REP_OUT_RESTORE,
  REP_OUT_REFUSED,         /* a proposal or a read */
  REP_OUT_READ,            /* a read is confirmed */
  REP_OUT_ROLE,            /* role, term or leader changed */
  REP_OUT_SNAPSHOT_WANTED, /* answer with rep_snapshot_taken() */
  REP_OUT_ENTRIES_LOST,    /* a member lost what it had acknowledged */
};

struct rep_out_apply
{
  struct rep_entry *entry; /* REP_COMMAND */
  bool proposed_here;      /* @request is valid */
  uint64_t request;
};

struct rep_out_refused
{
  uint64_t request;
  int status; /* SR_ENOTLEADER, or SR_EAGAIN when the fate is not known */
  char leader[REP_ADDRESS_BYTES]; /* hint, may be empty */
};

struct rep_out_lost
{
  char address[REP_ADDRESS_BYTES]; /* of the member */
  uint64_t acknowledged;           /* last index */
  uint64_t next;                   /* index that it is sent next */
};

struct rep_out
{
  struct lst_node node;
  enum rep_out_kind kind;
  uint64_t after; /* internal: sequence of the write to wait for */
  union
  {
    struct rep_msg *send;
    struct sto_write *write;
    struct rep_out_apply apply;
    struct rep_snapshot *restore;
    struct rep_out_refused refused;
    uint64_t read;           /* request */
    uint64_t snapshot_index; /* last index applied */
    struct rep_out_lost lost;
  } u;
};

struct rep_status
{
  enum rep_role role;
  uint64_t term;
  uint64_t commit;
  uint64_t last_index;
  uint64_t snapshot_index;
  uint64_t leader;                        /* id, 0 when not known */
  char leader_address[REP_ADDRESS_BYTES]; /* may be empty */
  bool member; /* the newest membership lists this replica */
  bool voter;
  clk_us leader_heard; /* last time that a leader was heard */
  struct rep_members members;
};

/* OPTS with the default timings: heartbeat 100 ms, election 500 … 1000 ms,
   lease 400 ms, replacement after 60 s, a snapshot every 1000 entries.  */
void rep_opts_default (struct rep_opts *opts);

/**
 * rep_new() - start a replica from what its disk holds
 * @opts: settings
 * @loaded: emptied by the call; without entries and snapshot the replica
 *	waits passively for a leader or for rep_create()
 * @now: time
 */
struct rep *rep_new (const struct rep_opts *opts, struct sto_loaded *loaded,
                     clk_us now);
void rep_free (struct rep *rep);

/* Begins a new group with MEMBERS as its first entry in TERM.  SR_EEXIST when
   the log is not empty.  */
int rep_create (struct rep *rep, const struct rep_members *members,
                uint64_t term, clk_us now);

/* Returns the time at which it wants to be called again.  */
clk_us rep_tick (struct rep *rep, clk_us now);

/* Takes over MSG.  */
void rep_message (struct rep *rep, struct rep_msg *msg, clk_us now);

/* Appends a command; takes over DATA, which is malloc()ed.  Answered by
   REP_OUT_APPLY or REP_OUT_REFUSED.  */
void rep_propose (struct rep *rep, uint64_t request, uint64_t stamp_ms,
                  uint8_t *data, size_t len, clk_us now);

/* Answered by REP_OUT_READ once a quorum confirmed this leader after the
   call, or by REP_OUT_REFUSED.  */
void rep_read (struct rep *rep, uint64_t request, clk_us now);

/* All writes up to SEQUENCE are durable.  */
void rep_synced (struct rep *rep, uint64_t sequence, clk_us now);

/* State machine snapshot at INDEX, the last index applied; takes over DATA. */
void rep_snapshot_taken (struct rep *rep, uint64_t index, uint8_t *data,
                         size_t len);

/* Removes a member.  SR_ENOTLEADER, SR_EAGAIN while another change is under
   way, SR_ENOENT, SR_EINVAL for the leader itself.  */
int rep_remove (struct rep *rep, uint64_t id, clk_us now);

/* Hands leadership to the most advanced voter.  SR_OK once it is under way,
   SR_ENOTLEADER, SR_ENOENT when no other voter is alive.  */
int rep_transfer (struct rep *rep, clk_us now);

/* Address of a member, or NULL.  */
const char *rep_address (const struct rep *rep, uint64_t id);

void rep_status (const struct rep *rep, struct rep_status *status);

/* The next output, freed with rep_out_free(), or NULL.  */
struct rep_out *rep_next_output (struct rep *rep);
void rep_out_free (struct rep_out *out);

#endif
