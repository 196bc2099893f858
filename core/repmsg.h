#ifndef CORE_REPMSG_H
#define CORE_REPMSG_H

/**
 * DOC: repmsg - messages of the replicated log and of its store
 *
 * Log indexes start at 1; index 0 and term 0 mean "none".  Replica ids are
 * random, never zero, and belong to one data directory: a replica that lost
 * its disk has a new id.
 */

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/list.h"

#define REP_ADDRESS_BYTES 64
#define REP_VOTERS_MAX 7
#define REP_MEMBERS_MAX 15 /* voters and learners */
/* Most snapshot bytes in one message; small enough that heartbeats of the
   other group are not delayed behind a chunk.  */
#define REP_CHUNK_BYTES_MAX (64 * 1024)
#define REP_ERROR_BYTES 256

struct rep_member
{
  uint64_t id;
  char address[REP_ADDRESS_BYTES]; /* peer address, IP:PORT */
  bool learner;                    /* receives the log but does not vote */
};

struct rep_members
{
  uint32_t count;
  struct rep_member list[REP_MEMBERS_MAX];
};

enum rep_entry_kind
{
  REP_COMMAND,
  REP_NOOP,
  REP_MEMBERSHIP,
};

/* One log entry; owned by the list that it is on.  */
struct rep_entry
{
  struct lst_node node;
  uint64_t term;
  uint64_t index;
  uint64_t stamp_ms; /* leader's wall clock */
  enum rep_entry_kind kind;
  uint8_t *data;               /* REP_COMMAND, malloc()ed */
  size_t len;                  /* REP_COMMAND */
  struct rep_members *members; /* REP_MEMBERSHIP, malloc()ed */
};

/* A state machine snapshot with the log position that it stands for.  Shared
   between tasks and never changed: it may be larger than everything else.  */
struct rep_snapshot
{
  _Atomic unsigned shares; /* owners besides the first */
  uint64_t index;
  uint64_t term;
  struct rep_members members; /* in force at @index */
  uint8_t *data;              /* malloc()ed */
  size_t len;
};

enum rep_msg_kind
{
  REP_PREVOTE,
  REP_PREVOTE_REPLY,
  REP_VOTE,
  REP_VOTE_REPLY,
  REP_APPEND,
  REP_APPEND_REPLY,
  REP_SNAPSHOT,
  REP_SNAPSHOT_REPLY,
  REP_TIMEOUT_NOW,
  REP_HELLO,
  REP_HELLO_REPLY,
  REP_MSG_COUNT,
};

/* REP_PREVOTE, REP_VOTE */
struct rep_vote
{
  uint64_t last_index;
  uint64_t last_term;
  bool transfer; /* asked for by the leader; ignores its lease */
};

/* REP_PREVOTE_REPLY, REP_VOTE_REPLY */
struct rep_vote_reply
{
  uint64_t asked_term;
  bool granted;
};

struct rep_append
{
  uint64_t prev_index;
  uint64_t prev_term;
  uint64_t commit;
  uint64_t round;     /* grows with each broadcast, echoed */
  uint64_t sent_us;   /* leader's clock, echoed */
  struct lst entries; /* struct rep_entry */
};

struct rep_append_reply
{
  bool accepted;
  uint64_t match; /* accepted: last index that is equal and synced */
  uint64_t prev;  /* refused: prev_index of the request */
  uint64_t hint;  /* refused: index to send next */
  uint64_t round;
  uint64_t sent_us;
};

/* One chunk of a snapshot.  */
struct rep_chunk
{
  uint64_t index;
  uint64_t term;
  struct rep_members members;
  uint64_t total;
  uint64_t offset;
  uint64_t round;
  uint64_t sent_us;
  uint8_t *data;
  size_t len;
};

struct rep_chunk_reply
{
  uint64_t index;
  uint64_t next;  /* offset wanted next */
  bool installed; /* the whole snapshot is synced */
  uint64_t round;
  uint64_t sent_us;
};

struct rep_hello
{
  uint64_t peers_digest; /* of the sorted addresses of --join and itself */
};

struct rep_hello_reply
{
  bool belongs; /* holds entries or a snapshot of an existing group */
  uint64_t peers_digest;
  char leader[REP_ADDRESS_BYTES]; /* empty when not known */
};

struct rep_msg
{
  enum rep_msg_kind kind;
  uint64_t from;
  uint64_t to; /* 0 only in REP_HELLO, whose sender knows no id yet */
  uint64_t term;
  char address[REP_ADDRESS_BYTES]; /* peer address of the sender */
  union
  {
    struct rep_vote vote;
    struct rep_vote_reply vote_reply;
    struct rep_append append;
    struct rep_append_reply append_reply;
    struct rep_chunk chunk;
    struct rep_chunk_reply chunk_reply;
    struct rep_hello hello;
    struct rep_hello_reply hello_reply;
  } u;
};

/* Durable state besides entries and snapshot.  */
struct rep_hard
{
  uint64_t term;
  uint64_t vote;
  uint64_t commit; /* a lower bound, so that a restart can apply early */
};

/* One write of a log group.  Parts are applied in the order snapshot,
   truncate, entries, hard state.  */
struct sto_write
{
  uint32_t group;
  uint64_t sequence; /* grows by one with each write of the group */
  struct rep_hard hard;
  uint64_t truncate_from;        /* first index to drop, 0 for none */
  struct lst entries;            /* struct rep_entry */
  struct rep_snapshot *snapshot; /* NULL for none */
};

/* Answer to the writes of a group up to @sequence.  */
struct sto_done
{
  uint32_t group;
  uint64_t sequence;
  int status;                  /* SR_OK, SR_EIO, SR_EFULL */
  char error[REP_ERROR_BYTES]; /* text when @status is not SR_OK */
};

/* What a data directory held at the start, per log group.  */
struct sto_loaded
{
  struct rep_hard hard;
  struct rep_snapshot *snapshot; /* NULL for none */
  struct lst entries;            /* struct rep_entry after the snapshot */
};

struct rep_msg *rep_msg_new (enum rep_msg_kind kind);
void rep_msg_free (struct rep_msg *msg);
struct rep_msg *rep_msg_copy (const struct rep_msg *msg);

struct rep_entry *rep_entry_new (enum rep_entry_kind kind);
void rep_entry_free (struct rep_entry *entry);
struct rep_entry *rep_entry_copy (const struct rep_entry *entry);
void rep_entries_free (struct lst *entries);

void rep_snapshot_free (struct rep_snapshot *snapshot);
/* One more owner of SNAPSHOT, which may be NULL; each owner frees it.  */
struct rep_snapshot *rep_snapshot_share (struct rep_snapshot *snapshot);

/* Member with ID, or NULL.  */
const struct rep_member *rep_members_find (const struct rep_members *members,
                                           uint64_t id);

struct sto_write *sto_write_new (uint32_t group);
void sto_write_free (struct sto_write *write);
struct sto_done *sto_done_new (uint32_t group, uint64_t sequence, int status);
void sto_done_free (struct sto_done *done);
void sto_loaded_init (struct sto_loaded *loaded);
void sto_loaded_clear (struct sto_loaded *loaded);

#endif
