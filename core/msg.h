#ifndef CORE_MSG_H
#define CORE_MSG_H

/**
 * DOC: msg - messages between tasks and between nodes
 *
 * One tagged union.  The task that drains a message from its inbox owns it
 * with all that it points to, and frees it with msg_free().
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
/* Maximum body bytes of one message; bounds the time that a short answer is
   blocked by a long one on the same connection.  */
#define MSG_BODY_BYTES_MAX (16 * 1024)
/* Flow-control window: body bytes that one side of a stream may send before it
   receives credit.  */
#define MSG_WINDOW_BYTES (64 * 1024)
#define MSG_LENGTH_UNKNOWN (-1)

struct raft_msg;        /* core/raftmsg.h */
struct raft_write;      /* core/raftmsg.h */
struct raft_write_done; /* core/raftmsg.h */

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
  MSG_CRASH_MARKS, /* also front <-> control of one node */
  MSG_WIRE_COUNT,  /* number of the kinds above, which are sent to peers */
  /* within one process */
  MSG_PEER_LOST, /* peer -> front, control: the connection is lost */
  MSG_BACKEND,   /* front -> control: state of the local backend server */
  MSG_MODEL,     /* control -> front: configuration in force */
  MSG_VIEW,      /* control -> front: members */
  MSG_CLAIM,     /* front -> control; answered by MSG_RESULT */
  MSG_ADMIN,     /* front -> control: request of an operator */
  MSG_ADMIN_REPLY,
  MSG_STORE_WRITE, /* control -> store */
  MSG_STORE_DONE,  /* store -> control */
  MSG_TOLERANCE,   /* settings -> control: losses to be borne */
  MSG_STOP,        /* to each task */
};

/* How the destination or the source of a message is given.  */
enum msg_endpoint_kind
{
  MSG_ENDPOINT_DIAL,  /* by the peer address of a node, connected when needed
                       */
  MSG_ENDPOINT_REPLY, /* by the connection identity of a received message */
  MSG_ENDPOINT_LOCAL, /* the front task of this node */
};

struct msg_endpoint
{
  enum msg_endpoint_kind kind;
  union
  {
    char address[MSG_ADDRESS_BYTES];
    struct
    {
      uint8_t bytes[MSG_IDENTITY_BYTES];
      uint8_t len;
    } identity;
    bool to_serve; /* to the serve side of the front task, or to the call
                      side */
  } u;
};

/* An HTTP field.  @name is in lower case; both strings are malloc()ed.  */
struct msg_field
{
  struct list_node node;
  char *name;
  char *value;
};

/* Sent at the end of each answer.  */
struct msg_trailer
{
  /* Admission level of the serving node.  */
  uint8_t level_importance;
  uint32_t level_wait_us;
  /* Part of msg_open.retry_allowance that was not spent.  */
  uint32_t unused_retry_allowance;
};

struct msg_open
{
  char service[MODEL_NAME_BYTES];
  char method[16];
  char *path;         /* with the query, malloc()ed */
  struct list fields; /* struct msg_field */
  char caller[MSG_CALLER_BYTES];
  char idempotency_key[MSG_KEY_BYTES]; /* empty when none */
  char chain_key[MSG_KEY_BYTES];       /* idempotency key of the chain's first
                                          request, or empty */
  uint8_t attempt_id[RNG_ID_BYTES];
  uint8_t importance;
  uint32_t depth;           /* in the call chain */
  uint32_t retry_allowance; /* for this attempt and its child calls */
  uint64_t remaining_us;    /* time to the deadline */
  bool suspect;     /* a server was lost while such a request was in flight */
  int64_t body_len; /* or MSG_LENGTH_UNKNOWN */
};

struct msg_body
{
  uint32_t sequence;
  bool end;                   /* last message of the stream */
  uint64_t total;             /* when @end: body bytes of the stream */
  struct msg_trailer trailer; /* when @end, from the serve side */
  uint8_t *data;
  size_t len;
};

struct msg_head
{
  int status;         /* HTTP status */
  struct list fields; /* struct msg_field */
  int64_t body_len;   /* or MSG_LENGTH_UNKNOWN */
};

struct msg_refuse
{
  enum reason_refusal reason;
  enum reason_run run;
  uint32_t retry_after_ms; /* 0: none */
  struct msg_trailer trailer;
};

/* Log groups.  */
enum msg_group
{
  MSG_GROUP_CONFIG,
  MSG_GROUP_CLAIMS,
  MSG_GROUP_COUNT,
};

enum msg_propose_kind
{
  MSG_PROPOSE_COMMAND, /* append a command to the log of the group */
  MSG_PROPOSE_READ,    /* linearizable read of version and document */
};

struct msg_propose
{
  enum msg_propose_kind kind;
  enum msg_group group;
  uint64_t request_id;
  uint32_t timeout_ms; /* within the process: time limit of the retries */
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
  struct raft_msg *msg;         /* owned by the message */
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
  struct model *model; /* NULL before the first version */
  struct member_config_version version;
  bool confirmed; /* by a quorum */
};

enum msg_admin_op
{
  MSG_ADMIN_STATUS,  /* the control task's part of the node status */
  MSG_ADMIN_GET,     /* read the newest configuration */
  MSG_ADMIN_APPLY,   /* replace the configuration */
  MSG_ADMIN_MEMBERS, /* list the members */
  MSG_ADMIN_LAGGING, /* list members with an older configuration version */
};

struct msg_admin
{
  enum msg_admin_op op;
  uint64_t request_id;
  uint64_t base_version; /* MSG_ADMIN_APPLY: version that the change is based
                            on; MSG_ADMIN_LAGGING: version to compare with */
  struct member_numbering numbering; /* MSG_ADMIN_APPLY */
  char change_id[64];
  char *text; /* document, malloc()ed */
  size_t len;
};

/* Region of a failure domain.  */
struct msg_region
{
  struct list_node node;
  char domain[MODEL_NAME_BYTES];
  char region[MODEL_NAME_BYTES];
};

struct msg_tolerance
{
  struct member_tolerance losses;
  struct list regions; /* struct msg_region; others keep theirs */
};

struct msg_admin_reply
{
  uint64_t request_id;
  int http_status;
  uint64_t version; /* of the document in @text, 0 when it is no document */
  char *text;       /* JSON with a terminating NUL, malloc()ed */
};

struct msg
{
  struct list_node node;
  enum msg_kind kind;
  struct msg_endpoint endpoint;
  uint64_t stream; /* id of the stream, for stream messages */
  union
  {
    struct msg_open open;
    struct msg_body body;
    uint32_t credit; /* bytes that the receiver may send in addition */
    struct msg_head head;
    struct msg_refuse refuse;
    struct member_renew renew;
    struct member_renew_reply renew_reply;
    struct msg_propose propose; /* also MSG_CLAIM */
    struct msg_result result;
    struct msg_raft raft;
    struct msg_backend backend;
    struct msg_model model;
    /* MSG_VIEW: struct member_item; MSG_CRASH_MARKS: struct quarantine_mark */
    struct list items;
    struct msg_admin admin;
    struct msg_admin_reply admin_reply;
    struct msg_tolerance tolerance;
    struct raft_write *store_write;
    struct raft_write_done *store_done;
  } u;
};

/* Allocates a zeroed message of KIND with empty lists; never NULL.  */
struct msg *msg_new (enum msg_kind kind);

/* Frees a message with all that it points to; NULL is allowed.  */
void msg_free (struct msg *msg);

/* Appends a copy of a field.  Returns SR_OK or SR_ENOMEM.  */
int msg_field_add (struct list *fields, const char *name, const char *value);

/* Returns the value of the first field called NAME, in lower case, or NULL. */
const char *msg_field_get (const struct list *fields, const char *name);

/* Frees all fields of a list.  */
void msg_fields_free (struct list *fields);

#endif
