#ifndef CORE_RAFTMSG_H
#define CORE_RAFTMSG_H

/**
 * DOC: raftmsg - Raft messages, log entries and requests to write the log
 *
 * Log indexes start at 1; index 0 and term 0 mean "none".  Replica ids are
 * random, never zero, and stored in the data directory: a replica with a new
 * disk has a new id.
 */

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/list.h"

#define RAFT_ADDRESS_BYTES 64
#define RAFT_VOTERS_MAX 7
#define RAFT_MEMBERS_MAX 15 /* voters and learners */
/* Maximum snapshot bytes of one message; bounds the time that a chunk delays
   heartbeats of the other log group on the same connection.  */
#define RAFT_SNAPSHOT_CHUNK_BYTES_MAX (64 * 1024)
#define RAFT_ERROR_BYTES 256

struct raft_member
{
  uint64_t id;
  char address[RAFT_ADDRESS_BYTES]; /* peer address, IP:PORT */
  bool learner;                     /* replicates the log without a vote */
};

struct raft_members
{
  uint32_t count;
  struct raft_member list[RAFT_MEMBERS_MAX];
};

enum raft_entry_kind
{
  RAFT_ENTRY_COMMAND,
  RAFT_ENTRY_NOOP,
  RAFT_ENTRY_MEMBERSHIP,
};

/* One log entry, owned by the list that holds it.  */
struct raft_entry
{
  struct list_node node;
  uint64_t term;
  uint64_t index;
  uint64_t timestamp_ms; /* wall clock of the leader that created it */
  enum raft_entry_kind kind;
  uint8_t *data;                /* RAFT_ENTRY_COMMAND, malloc()ed */
  size_t len;                   /* RAFT_ENTRY_COMMAND */
  struct raft_members *members; /* RAFT_ENTRY_MEMBERSHIP, malloc()ed */
};

/* A state machine snapshot with the log position of the last entry that it
   includes.  Immutable and shared between tasks by reference counting, since
   it can be large.  */
struct raft_snapshot
{
  _Atomic unsigned extra_refs; /* references besides the first one */
  uint64_t index;
  uint64_t term;
  struct raft_members members; /* membership as of @index */
  uint8_t *data;               /* malloc()ed */
  size_t len;
};

enum raft_msg_kind
{
  RAFT_PREVOTE,
  RAFT_PREVOTE_REPLY,
  RAFT_VOTE,
  RAFT_VOTE_REPLY,
  RAFT_APPEND,
  RAFT_APPEND_REPLY,
  RAFT_INSTALL_SNAPSHOT,
  RAFT_INSTALL_SNAPSHOT_REPLY,
  RAFT_TIMEOUT_NOW,
  RAFT_HELLO, /* asks a replica for its group, see log/boot.h */
  RAFT_HELLO_REPLY,
  RAFT_LEAVE,        /* the sender stops and hands over its vote */
  RAFT_SILENT_PEERS, /* leader to followers: members that do not reply */
  RAFT_MSG_COUNT,
};

/* RAFT_PREVOTE, RAFT_VOTE */
struct raft_vote
{
  uint64_t last_index;
  uint64_t last_term;
  bool leadership_transfer; /* requested by the leader; bypasses its lease */
};

/* RAFT_PREVOTE_REPLY, RAFT_VOTE_REPLY */
struct raft_vote_reply
{
  uint64_t request_term;
  bool granted;
};

struct raft_append
{
  uint64_t prev_index;
  uint64_t prev_term;
  uint64_t leader_commit;
  uint64_t round;      /* number of the leader's broadcast, echoed */
  uint64_t sent_us;    /* monotonic clock of the leader, echoed */
  struct list entries; /* struct raft_entry */
};

struct raft_append_reply
{
  bool accepted;
  /* When accepted: last index up to which the log is durable and matches the
     leader's.  */
  uint64_t match_index;
  uint64_t prev_index; /* when rejected: prev_index of the request */
  uint64_t next_index; /* when rejected: index to send from */
  uint64_t round;
  uint64_t sent_us;
};

/* One chunk of a snapshot.  */
struct raft_snapshot_chunk
{
  uint64_t index;
  uint64_t term;
  struct raft_members members;
  uint64_t total;
  uint64_t offset;
  uint64_t round;
  uint64_t sent_us;
  uint8_t *data;
  size_t len;
};

struct raft_snapshot_chunk_reply
{
  uint64_t index;
  uint64_t next_offset; /* offset of the next chunk to send */
  bool installed;       /* the whole snapshot is durable */
  uint64_t round;
  uint64_t sent_us;
};

struct raft_hello
{
  uint64_t peers_digest; /* of the own address and those of --join */
};

struct raft_hello_reply
{
  bool in_group; /* has log entries or a snapshot of a group */
  uint64_t peers_digest;
  char leader_address[RAFT_ADDRESS_BYTES]; /* empty when not known */
};

struct raft_silent_peer
{
  uint64_t id;
  uint64_t silent_us; /* since the last message of the member */
};

struct raft_silent_peers
{
  uint32_t count;
  struct raft_silent_peer list[RAFT_MEMBERS_MAX];
};

struct raft_msg
{
  enum raft_msg_kind kind;
  uint64_t from;
  uint64_t to; /* 0 only in RAFT_HELLO, when the id is not known yet */
  uint64_t term;
  char address[RAFT_ADDRESS_BYTES]; /* peer address of the sender */
  union
  {
    struct raft_vote vote;
    struct raft_vote_reply vote_reply;
    struct raft_append append;
    struct raft_append_reply append_reply;
    struct raft_snapshot_chunk chunk;
    struct raft_snapshot_chunk_reply chunk_reply;
    struct raft_hello hello;
    struct raft_hello_reply hello_reply;
    struct raft_silent_peers silent_peers;
  } u;
};

/* Persistent state besides entries and snapshot.  */
struct raft_hard_state
{
  uint64_t term;
  uint64_t voted_for;    /* replica id, 0 for none */
  uint64_t commit_index; /* lower bound; a restart applies up to it */
};

/* One write of a log group, applied in the order snapshot, truncation,
   entries, hard state.  */
struct raft_write
{
  uint32_t group;
  uint64_t sequence; /* increases by one with each write of the group */
  struct raft_hard_state hard_state;
  uint64_t truncate_from;         /* first index to drop, 0 for none */
  struct list entries;            /* struct raft_entry */
  struct raft_snapshot *snapshot; /* NULL for none */
};

/* Completion of all writes of a group up to @sequence.  */
struct raft_write_done
{
  uint32_t group;
  uint64_t sequence;
  int status;                   /* SR_OK, SR_EIO, SR_EFULL */
  char error[RAFT_ERROR_BYTES]; /* text when @status is not SR_OK */
};

/* State of one log group as read from the data directory.  */
struct raft_persistent_state
{
  struct raft_hard_state hard_state;
  struct raft_snapshot *snapshot; /* NULL for none */
  struct list entries;            /* struct raft_entry after the snapshot */
};

/* The functions below that allocate abort when memory is short; those that
   free accept NULL.  */

struct raft_msg *raft_msg_new (enum raft_msg_kind kind);
void raft_msg_free (struct raft_msg *msg);
/* Returns a deep copy.  */
struct raft_msg *raft_msg_copy (const struct raft_msg *msg);

struct raft_entry *raft_entry_new (enum raft_entry_kind kind);
void raft_entry_free (struct raft_entry *entry);
/* Returns a deep copy that is on no list.  */
struct raft_entry *raft_entry_copy (const struct raft_entry *entry);
/* Frees all entries of a list.  */
void raft_entries_free (struct list *entries);

/* Drops a reference and frees the snapshot with the last one.  */
void raft_snapshot_unref (struct raft_snapshot *snapshot);
/* Adds a reference; returns SNAPSHOT, which may be NULL.  */
struct raft_snapshot *raft_snapshot_ref (struct raft_snapshot *snapshot);

/* Returns the member with ID, or NULL.  */
const struct raft_member *
raft_members_find (const struct raft_members *members, uint64_t id);

/* Returns an empty write of a log group.  */
struct raft_write *raft_write_new (uint32_t group);
void raft_write_free (struct raft_write *write);
struct raft_write_done *raft_write_done_new (uint32_t group, uint64_t sequence,
                                             int status);
void raft_write_done_free (struct raft_write_done *done);
void raft_persistent_state_init (struct raft_persistent_state *state);
/* Frees the contents and initializes STATE anew.  */
void raft_persistent_state_clear (struct raft_persistent_state *state);

#endif
