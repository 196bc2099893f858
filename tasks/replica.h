#ifndef TASKS_REPLICA_H
#define TASKS_REPLICA_H

/**
 * DOC: rpl - the log groups of one control replica with their state machines
 *
 * Has no thread: the control task calls it and drains rpl_next_output() after
 * each batch of calls.  Group MSG_GROUP_CONFIG drives controllers/cfg, group
 * MSG_GROUP_CLAIMS drives controllers/clm.
 *
 * Every request is answered by one RPL_RESULT unless the process stops first.
 * SR_ENOTLEADER carries the leader's address when it is known.  SR_EAGAIN
 * means that the fate of a proposal is not known; changes and claims are
 * idempotent by their ids, so the proposer repeats them.
 */

#include "controllers/cfg.h"
#include "controllers/clm.h"
#include "core/clk.h"
#include "core/inbox.h"
#include "core/msg.h"
#include "core/repmsg.h"
#include "log/rep.h"

struct rpl;

struct rpl_opts
{
  char address[REP_ADDRESS_BYTES]; /* own peer address */
  uint32_t join_count;             /* at most REP_MEMBERS_MAX */
  char join[REP_MEMBERS_MAX][REP_ADDRESS_BYTES];
  uint64_t id; /* store_id() */
  /* store_loaded() of each group; emptied by rpl_new() */
  struct sto_loaded *loaded[MSG_GROUP_COUNT];
  struct inb *store; /* store_inbox() */
  uint64_t seed;
  uint32_t snapshot_every;
  clk_us heartbeat;
  clk_us election_min;
  clk_us election_max;
  clk_us lease;
  clk_us replace_after;
  uint32_t voters_most;
  bool existing; /* the groups exist already and are never created here */
  struct cfg_opts config; /* equal on all replicas */
  struct clm_opts claims; /* equal on all replicas */
};

enum rpl_out_kind
{
  RPL_SEND,
  RPL_RESULT,
  RPL_CONFIG_CHANGED, /* rpl_config() has a newer version */
  RPL_FATAL,          /* the process must stop */
};

struct rpl_send
{
  char address[REP_ADDRESS_BYTES];
  enum msg_group group;
  struct rep_msg *msg;
};

struct rpl_result
{
  enum msg_group group;
  /* @data is cfg_result_encode(), clm_result_encode(), or for a read the
     document.  */
  struct msg_result result;
};

struct rpl_out
{
  enum rpl_out_kind kind;
  union
  {
    struct rpl_send send;
    struct rpl_result result;
    char fatal[REP_ERROR_BYTES];
  } u;
};

/* Default timings and bounds: those of rep_opts_default(), 4096 change ids,
   keys kept for 72 h.  */
void rpl_opts_default (struct rpl_opts *opts);

/* Returns NULL when more addresses are listed than a group may have.  */
struct rpl *rpl_new (const struct rpl_opts *opts, clk_us now);
void rpl_free (struct rpl *rpl);

/* Returns the time at which it wants to be called again.  */
clk_us rpl_tick (struct rpl *rpl, clk_us now);

/* Takes over MSG.  FROM_ADDRESS is used when the message names no address of
   its sender; it may be empty.  */
void rpl_message (struct rpl *rpl, const char *from_address,
                  enum msg_group group, struct rep_msg *msg, clk_us now);

/* Proposes an encoded change or command; DATA is copied.  */
void rpl_propose (struct rpl *rpl, enum msg_group group, uint64_t request,
                  const uint8_t *data, size_t len, clk_us now);

/* Asks for version and document, confirmed by a quorum.  */
void rpl_read (struct rpl *rpl, uint64_t request, clk_us now);

/* MSG_STORE_DONE of the store task.  */
void rpl_store_done (struct rpl *rpl, const struct sto_done *done, clk_us now);

/* Hands leadership over before a planned stop.  SR_OK when no group is led
   any more or nobody can take it, SR_EAGAIN while it is under way: drain the
   outputs and call again.  */
int rpl_transfer (struct rpl *rpl, clk_us now);

void rpl_status (const struct rpl *rpl, enum msg_group group,
                 struct rep_status *status);

/* Newest configuration that is applied here; the document is valid until the
   next call, and NULL before the first version.  */
void rpl_config (const struct rpl *rpl, struct mem_version *version,
                 const char **document, size_t *len);

/* Moves the next output to OUT, to be cleared with rpl_out_clear(); false
   when there is none.  */
bool rpl_next_output (struct rpl *rpl, struct rpl_out *out);
void rpl_out_clear (struct rpl_out *out);

#endif
