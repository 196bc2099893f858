#ifndef LOG_BOOT_H
#define LOG_BOOT_H

/**
 * DOC: boot - bootstrap of a Raft group and discovery of an existing one
 *
 * A state machine without I/O.  A replica with an empty log sends RAFT_HELLO
 * to the addresses of --join.  When one of them is in a group, the leader of
 * that group adds the replica as a learner.  When all of them have replied,
 * have empty logs and are configured with the same set of addresses, the one
 * with the lowest address bootstraps the group; the others wait for its first
 * message.  A replica whose own address the others don't list can only join.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/raftmsg.h"

/* Interval between two rounds of RAFT_HELLO.  */
#define BOOT_HELLO_INTERVAL_MS 250
/* An older reply does not count for the bootstrap of a group: the peer may
   have joined another one since.  */
#define BOOT_REPLY_AGE_MAX_MS 2000

struct boot;

struct boot_opts
{
  uint64_t id;                      /* own replica id */
  char address[RAFT_ADDRESS_BYTES]; /* own peer address */
  bool group_exists;   /* the group exists already and is never created here */
  uint32_t join_count; /* at most RAFT_MEMBERS_MAX; may contain @address */
  char join[RAFT_MEMBERS_MAX][RAFT_ADDRESS_BYTES];
};

enum boot_step_kind
{
  BOOT_WAIT,
  BOOT_HELLO,  /* send RAFT_HELLO to @address */
  BOOT_CREATE, /* call raft_bootstrap() with @create */
};

struct boot_create
{
  uint64_t term; /* higher than the term of any peer */
  struct raft_members members;
};

struct boot_step
{
  enum boot_step_kind kind;
  union
  {
    clk_us wait_until;
    char address[RAFT_ADDRESS_BYTES];
    struct boot_create create;
  } u;
};

/* Returns NULL when there are more than RAFT_MEMBERS_MAX addresses.  */
struct boot *boot_new (const struct boot_opts *opts);
void boot_free (struct boot *boot);

/* Returns a digest of the own address and those of --join; replicas that are
   configured with the same set of addresses have the same digest.  */
uint64_t boot_peers_digest (const struct boot *boot);

/* Handles a RAFT_HELLO_REPLY from the replica at ADDRESS.  */
void boot_handle_reply (struct boot *boot, const char *address,
                        const struct raft_msg *reply, clk_us now);

/* Sets STEP to the next action; to be called until it is BOOT_WAIT.  EMPTY:
   the own log is empty, so that a group may be bootstrapped.  */
void boot_next_step (struct boot *boot, bool empty, clk_us now,
                     struct boot_step *step);

#endif
