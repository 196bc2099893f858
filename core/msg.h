#ifndef CORE_MSG_H
#define CORE_MSG_H

/**
 * DOC: msg - messages between tasks and between nodes
 *
 * One tagged union.  Whoever takes a message from an inbox owns it and its
 * parts, and frees it with msg_free().
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/list.h"
#include "core/member.h"
#include "core/model.h"
#include "core/reason.h"
#include "core/rng.h"

#define MSG_ADDRESS_BYTES 64
#define MSG_IDENTITY_BYTES 64
#define MSG_CALLER_BYTES 64
#define MSG_KEY_BYTES 128
/* Most body bytes in one message; small enough that a short answer does not
   wait for a long one on the same connection.  */
#define MSG_BODY_BYTES_MAX (16 * 1024)
/* Body bytes that one side of a stream may send ahead of credits.  */
#define MSG_WINDOW_BYTES (64 * 1024)
#define MSG_LENGTH_UNKNOWN (-1)

struct raft_msg;  /* core/raftmsg.h */
struct wal_write; /* core/raftmsg.h */
struct wal_done;  /* core/raftmsg.h */

enum msg_kind
{
  /* streams: front <-> peer task <-> peer task <-> front */
  MSG_OPEN,
  MSG_BODY,
  MSG_CREDIT,
  MSG_CANCEL,
  MSG_HEAD,
  MSG_REFUSE,
  /* between peer tasks only */
  MSG_PING,
  MSG_PONG,
  /* control <-> peer task <-> peer task <-> control */
  MSG_RENEW,
  MSG_RENEW_REPLY,
  MSG_PROPOSE,
  MSG_RESULT,
  MSG_RAFT,
  MSG_CRASH_MARKS, /* crash marks; also front <-> control of one node */
  MSG_WIRE_COUNT,  /* kinds above are encoded between nodes */
  /* inside one process */
  MSG_PEER_LOST, /* peer -> front, control */
  MSG_BACKEND,   /* front -> control: announced, leaving, lost */
  MSG_MODEL,     /* control -> front: configuration in force */
  MSG_VIEW,      /* control -> front: members */
  MSG_CLAIM,     /* front -> control; answered by MSG_RESULT */
  MSG_ADMIN,     /* front -> control: an operator's request */
  MSG_ADMIN_REPLY,
  MSG_STORE_WRITE, /* control -> store */
  MSG_STORE_DONE,  /* store -> control */
  MSG_STOP,        /* to each task */
};

/* Where a message goes to or came from.  */
enum msg_route_kind
{
  MSG_ROUTE_DIAL,  /* a node by its peer address */
  MSG_ROUTE_REPLY, /* back to where a message came from */
  MSG_ROUTE_LOCAL, /* within the front task of this node */
};

struct msg_route
{
  enum msg_route_kind kind;
  union
  {
    char address[MSG_ADDRESS_BYTES];
    struct
    {
      uint8_t bytes[MSG_IDENTITY_BYTES];
      uint8_t len;
    } identity;
    bool to_serve; /* local: from the call side to the serve side */
  } u;
};

/* An HTTP field; name in lower case, both malloc()ed.  */
struct msg_field
{
  struct list_node node;
  char *name;
  char *value;
};

/* What a node tells with each answer: its admission level and the part of the
   retry allowance that was not used.  */
struct msg_trailer
{
  uint8_t level_importance;
  uint32_t level_wait_us;
  uint32_t unused_retry_allowance;
};

struct msg_open
{
  char service[MODEL_NAME_BYTES];
  char method[16];
  char *path; /* with the query, malloc()ed */
  struct list fields;
  char caller[MSG_CALLER_BYTES];
  char idempotency_key[MSG_KEY_BYTES]; /* idempotency key, empty when none */
  char chain_key[MSG_KEY_BYTES]; /* idempotency key of the entry, or empty */
  uint8_t attempt_id[RNG_ID_BYTES];
  uint8_t importance;
  uint32_t depth;
  uint32_t retry_allowance;
  uint64_t remaining_us; /* to the deadline */
  bool suspect;     /* a server was lost while the request was in flight */
  int64_t body_len; /* or MSG_LENGTH_UNKNOWN */
};

struct msg_body
{
  uint32_t sequence;
  bool end;
  uint64_t total;             /* with end: body bytes of the stream */
  struct msg_trailer trailer; /* with end, from the serve side */
  uint8_t *data;
  size_t len;
};

struct msg_head
{
  int status;
  struct list fields;
  int64_t body_len;
};

struct msg_refuse
{
  enum reason_refusal reason;
  enum reason_run run;
  uint32_t retry_after_ms; /* 0: none */
  struct msg_trailer trailer;
};

enum msg_group
{
  MSG_GROUP_CONFIG,
  MSG_GROUP_CLAIMS,
  MSG_GROUP_COUNT,
};

enum msg_propose_kind
{
  MSG_PROPOSE_COMMAND, /* append to the log of the group */
  MSG_PROPOSE_READ,    /* version and document, confirmed by a quorum */
};

struct msg_propose
{
  enum msg_propose_kind kind;
  enum msg_group group;
  uint64_t request_id;
  uint32_t timeout_ms; /* in process: time to keep trying */
  uint8_t *data;
  size_t len;
};

struct msg_result
{
  uint64_t request_id;
  int status; /* SR_OK, SR_ENOTLEADER, SR_EAGAIN … */
  char leader_address[MSG_ADDRESS_BYTES];
  struct member_config_version version; /* for reads */
  uint8_t *data;
  size_t len;
};

struct msg_raft
{
  enum msg_group group;
  char from[MSG_ADDRESS_BYTES]; /* peer address of the sender */
  struct raft_msg *msg;
};

enum msg_backend_state
{
  MSG_BACKEND_UP,
  MSG_BACKEND_DRAINING,
  MSG_BACKEND_DOWN,
};

struct msg_backend
{
  enum msg_backend_state state;
  char service[MODEL_NAME_BYTES];
  uint32_t slots;
};

struct msg_model
{
  struct model *model; /* NULL while none is known */
  struct member_config_version version;
  bool confirmed; /* by a quorum */
};

/* Part of status that the control task knows; strings are static names.  */
enum msg_admin_op
{
  MSG_ADMIN_STATUS,
  MSG_ADMIN_GET,
  MSG_ADMIN_APPLY,
  MSG_ADMIN_MEMBERS,
  MSG_ADMIN_LAGGING, /* members that have not the version in force */
};

struct msg_admin
{
  enum msg_admin_op op;
  uint64_t request_id;
  uint64_t base_version;
  uint64_t new_version; /* of the new version; 0 for the next one */
  char change_id[64];
  char *text; /* document, malloc()ed */
  size_t len;
};

struct msg_admin_reply
{
  uint64_t request_id;
  int http_status;
  uint64_t version; /* of the document in @text, 0 otherwise */
  char *text;       /* JSON, malloc()ed, ends with NUL */
};

struct msg
{
  struct list_node node;
  enum msg_kind kind;
  struct msg_route route;
  uint64_t stream; /* for stream messages */
  union
  {
    struct msg_open open;
    struct msg_body body;
    uint32_t credit;
    struct msg_head head;
    struct msg_refuse refuse;
    struct member_renew renew;
    struct member_renew_reply renew_reply;
    struct msg_propose propose; /* also MSG_CLAIM */
    struct msg_result result;
    struct msg_raft raft;
    struct msg_backend backend;
    struct msg_model model;
    struct list items; /* MSG_VIEW: struct member_item, MSG_CRASH_MARKS:
                          quarantine_mark */
    struct msg_admin admin;
    struct msg_admin_reply admin_reply;
    struct wal_write *store_write;
    struct wal_done *store_done;
  } u;
};

struct msg *msg_new (enum msg_kind kind);
void msg_free (struct msg *msg);

/* Appends a copy of a field; SR_ENOMEM.  */
int msg_field_add (struct list *fields, const char *name, const char *value);
const char *msg_field_get (const struct list *fields, const char *name);
void msg_fields_free (struct list *fields);

#endif
