#ifndef TASKS_REPLICA_H
#define TASKS_REPLICA_H

/**
 * DOC: replica - Raft groups of one control replica and their state machines
 *
 * Has no thread: the control task calls it and processes all outputs of
 * replica_next_output() after each batch of calls.  Group MSG_GROUP_CONFIG
 * drives controllers/cfg, group MSG_GROUP_CLAIMS drives controllers/claim.
 *
 * Every request gets one REPLICA_RESULT unless the process stops first.
 * SR_ENOTLEADER carries the address of the leader if it is known.  SR_EAGAIN
 * means that the outcome of a proposal is unknown; changes and claims are
 * idempotent by their ids, so the proposer repeats them.
 */

#include "controllers/cfg.h"
#include "controllers/claim.h"
#include "core/clk.h"
#include "core/inbox.h"
#include "core/msg.h"
#include "core/raftmsg.h"
#include "log/raft.h"

struct replica;

struct replica_opts
{
  char address[RAFT_ADDRESS_BYTES]; /* peer address of this replica */
  uint32_t join_count;              /* maximum RAFT_MEMBERS_MAX */
  char join[RAFT_MEMBERS_MAX][RAFT_ADDRESS_BYTES];
  uint64_t id; /* store_id() */
  /* store_loaded() of each group; emptied by replica_new() */
  struct raft_persistent_state *loaded[MSG_GROUP_COUNT];
  struct inbox *store; /* store_inbox() */
  uint64_t seed;
  uint32_t snapshot_interval_entries;
  clk_us heartbeat_interval;
  clk_us election_timeout_min;
  clk_us election_timeout_max;
  clk_us lease_duration;
  clk_us replace_timeout;
  struct member_tolerance tolerance; /* losses that the voters should bear */
  bool group_exists;                 /* never create the groups */
  struct cfg_opts config;            /* equal on all replicas */
  struct claim_opts claims;          /* equal on all replicas */
};

enum replica_out_kind
{
  REPLICA_SEND,
  REPLICA_RESULT,
  REPLICA_CONFIG_CHANGED, /* replica_config() has a newer version */
  REPLICA_FATAL,          /* the process must stop */
};

struct replica_send
{
  char address[RAFT_ADDRESS_BYTES];
  enum msg_group group;
  struct raft_msg *msg;
};

struct replica_result
{
  enum msg_group group;
  /* @data is cfg_result_encode(), claim_result_encode(), or for a read the
     document.  */
  struct msg_result result;
};

struct replica_out
{
  enum replica_out_kind kind;
  union
  {
    struct replica_send send;
    struct replica_result result;
    char fatal[RAFT_ERROR_BYTES];
  } u;
};

/* Sets the default timings and bounds: those of raft_opts_default(), 4096
   change ids, keys kept for 72 h.  */
void replica_opts_default (struct replica_opts *opts);

/* Creates a replica from the state that the store has loaded.  Returns NULL
   when @join has more addresses than a group may have members.  */
struct replica *replica_new (const struct replica_opts *opts, clk_us now);
void replica_free (struct replica *replica);

/* Sets the losses that the voters of all groups should bear, one instance at
   least.  Time in which those of @tolerance are not borne is logged and
   counted; before the call, that is none.  */
void replica_set_tolerance (struct replica *replica,
                            const struct member_tolerance *tolerance);

/* Sets the region of a failure domain.  */
void replica_set_region (struct replica *replica, const char *domain,
                         const char *region);

/* Sets the failure domain of the replica at ADDRESS.  */
void replica_set_domain (struct replica *replica, const char *address,
                         const char *domain);

/* Runs due timers; returns the time of the next call.  */
clk_us replica_tick (struct replica *replica, clk_us now);

/**
 * replica_handle_message() - process a Raft message
 * @replica: replica
 * @from_address: sender's address if @msg does not name it; may be empty
 * @group: group
 * @msg: message, taken over
 * @now: time
 */
void replica_handle_message (struct replica *replica, const char *from_address,
                             enum msg_group group, struct raft_msg *msg,
                             clk_us now);

/* Proposes an encoded change or command; DATA is copied.  */
void replica_propose (struct replica *replica, enum msg_group group,
                      uint64_t request_id, const uint8_t *data, size_t len,
                      clk_us now);

/* Reads the version and the document, confirmed by a quorum.  */
void replica_read (struct replica *replica, uint64_t request_id, clk_us now);

/* Handles MSG_STORE_DONE of the store task.  */
void replica_handle_store_done (struct replica *replica,
                                const struct raft_write_done *done,
                                clk_us now);

/**
 * replica_transfer_leadership() - transfer leadership before a planned stop
 * @replica: replica
 * @now: time
 *
 * Return: SR_OK when no group is led here any more or no other member can take
 * over, SR_EAGAIN while a transfer is in progress: process the outputs and
 * call again.
 */
int replica_transfer_leadership (struct replica *replica, clk_us now);

/* Hands over the votes of this replica before its process ends, see
   raft_leave().  Returns whether the handover is still open in a group:
   process the outputs and call again.  */
bool replica_leave (struct replica *replica, clk_us now);

void replica_status (const struct replica *replica, enum msg_group group,
                     struct raft_status *status);

/* Returns the newest applied configuration; the document is valid until the
   next call, and NULL before the first version.  */
void replica_config (const struct replica *replica,
                     struct member_config_version *version,
                     const char **document, size_t *len);

/* Moves the next output to OUT; returns false when there is none.  Free it
   with replica_out_clear().  */
bool replica_next_output (struct replica *replica, struct replica_out *out);
void replica_out_clear (struct replica_out *out);

#endif
