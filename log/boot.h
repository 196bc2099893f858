#ifndef LOG_BOOT_H
#define LOG_BOOT_H

/**
 * DOC: boot - how a replica with an empty log finds its group
 *
 * Pure decisions.  The replica says hello to the addresses of --join.  When
 * one of them belongs to a group, the leader of that group adds it as a
 * learner.  When all of them were reached, are empty and name the same set of
 * addresses, the one with the lowest address creates the group; the others
 * wait for its first message.  A replica whose own address is not listed
 * joins only.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/raftmsg.h"

/* Pause between two rounds of hello.  */
#define BOOT_HELLO_INTERVAL_MS 250
/* An answer older than this does not count for the creation of a group: the
   peer may have joined another one since.  */
#define BOOT_REPLY_AGE_MAX_MS 2000

struct boot;

struct boot_opts
{
  uint64_t id;
  char address[RAFT_ADDRESS_BYTES];
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
  uint64_t term; /* higher than any that a peer has seen */
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

/* SR_EINVAL through a NULL return when more addresses are listed than a group
   may have.  */
struct boot *boot_new (const struct boot_opts *opts);
void boot_free (struct boot *boot);

/* Digest of the set of addresses; equal for all replicas that list each
   other.  */
uint64_t boot_peers_digest (const struct boot *boot);

/* A RAFT_HELLO_REPLY from the replica at ADDRESS.  */
void boot_handle_reply (struct boot *boot, const char *address,
                        const struct raft_msg *reply, clk_us now);

/* What to do next; repeat until BOOT_WAIT.  EMPTY: the own log is empty, so
   that a group may be created.  */
void boot_next_step (struct boot *boot, bool empty, clk_us now,
                     struct boot_step *step);

#endif
