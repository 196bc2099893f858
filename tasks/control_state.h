#ifndef TASKS_CONTROL_STATE_H
#define TASKS_CONTROL_STATE_H

/**
 * DOC: control_state - internal structures and functions of the control task
 */

#include <pthread.h>

#include "controllers/cfg.h"
#include "controllers/registry.h"
#include "controllers/quarantine.h"
#include "controllers/view.h"
#include "core/htable.h"
#include "tasks/control.h"
#include "tasks/replica.h"

#define CONTROL_REPLICAS_MAX 7
/* Interval between lease renewals, and duration of a lease.  */
#define CONTROL_RENEW_INTERVAL_US clk_s (1)
#define CONTROL_LEASE_US clk_s (3)
/* A task that did not run for this long (stopped process, suspended machine)
   may have missed changes, so its configuration is unconfirmed until a quorum
   confirms it again.  Equal to the lease, because other nodes may act without
   this one once its lease has ended.  */
#define CONTROL_SUSPENDED_MIN_US CONTROL_LEASE_US
/* Time without a quorum after which a starting node installs the newest
   configuration that any replica has applied.  */
#define CONTROL_CONFIRM_TIMEOUT_US clk_s (5)
/* Time since its last reply after which a replica that is no longer a member
   is removed.  */
#define CONTROL_REPLICA_EXPIRY_US clk_s (6)
/* Time without a reply after which a control replica is logged as silent; two
   renewals are unanswered then.  */
#define CONTROL_SILENT_US clk_s (2)
/* Minimum interval between notices of member changes.  */
#define CONTROL_NOTICE_INTERVAL_US clk_ms (150)
/* Request number of a pushed configuration, which answers no request.  */
#define CONTROL_REQUEST_UNSOLICITED 0
/* Maximum time to wait for the answer of one replica to a proposal or
   read.  */
#define CONTROL_ATTEMPT_TIMEOUT_US clk_ms (400)
/* Delay before a rejected proposal or read is sent again.  */
#define CONTROL_RETRY_DELAY_US clk_ms (30)

/* A control replica known to this node.  */
struct control_replica
{
  char address[MSG_ADDRESS_BYTES];
  bool configured;      /* listed in the settings */
  clk_us last_reply;    /* 0: none yet */
  clk_us last_renewal;  /* sent to the replica */
  clk_us first_renewal; /* 0: none sent yet */
  bool silent;          /* logged as silent, and has not replied since */
  struct member_config_version config; /* newest applied */
};

/* A node that renews its lease at this replica.  */
struct control_node
{
  struct htable_node hash_node;
  struct list_node node; /* control->nodes, ordered by last renewal */
  char instance[MEMBER_INSTANCE_BYTES];
  struct msg_endpoint endpoint;
  clk_us last_renewal;
};

/* How a node received a version of the configuration.  */
enum control_config_source
{
  CONTROL_CONFIG_PUSHED, /* by the leader */
  CONTROL_CONFIG_READ,   /* from a control replica, on request */
  CONTROL_CONFIG_LOCAL,  /* applied by the replica of this node */
};

/* Origin of a proposal or read, which receives its result.  */
enum control_origin_kind
{
  CONTROL_ORIGIN_FRONT,        /* a claim command of the front task */
  CONTROL_ORIGIN_ADMIN_CHANGE, /* a configuration change of an operator */
  CONTROL_ORIGIN_CONFIG,       /* a configuration read by this task */
  CONTROL_ORIGIN_ADMIN_GET,    /* a configuration read by an operator */
  CONTROL_ORIGIN_REMOTE,       /* another node; this node is a replica */
};

struct control_origin
{
  enum control_origin_kind kind;
  uint64_t request_id; /* request number of the origin */
  struct msg_endpoint endpoint;
};

/* A proposal or read that has no result yet.  */
struct control_pending
{
  struct list_node node;
  uint64_t request_id; /* request number used with replicas */
  struct control_origin origin;
  enum msg_propose_kind kind;
  enum msg_group group;
  uint8_t *data;
  size_t len;
  clk_us started_at;
  clk_us deadline;
  clk_us next_attempt_at; /* time of the next attempt when no result arrives */
  uint32_t replica_index; /* used while no leader is known */
  bool answered; /* a replica answered the last attempt without a result */
};

struct control
{
  struct control_opts opts;
  struct inbox *peer;
  struct store *store; /* NULL unless this node is a control replica */
  struct inbox *inbox;
  pthread_t thread;
  bool stopping;
  bool failed;
  clk_us stop_not_before;
  bool was_leader[MSG_GROUP_COUNT]; /* at the last check while stopping */
  struct member_record record;      /* of this node */
  bool name_taken; /* a live lease at another address has this name */
  struct control_replica replicas[CONTROL_REPLICAS_MAX];
  uint32_t replica_count;
  char leader_addresses[MSG_GROUP_COUNT][MSG_ADDRESS_BYTES];
  struct view *view;
  struct registry *members; /* NULL unless this node is a control replica */
  struct replica *replica;  /* NULL unless this node is a control replica */
  struct quarantine *crash_marks; /* crash marks known to this node */
  struct htable node_table;       /* control_node by instance */
  struct list nodes;   /* struct control_node, latest renewal first */
  struct list pending; /* struct control_pending */
  uint64_t next_request_id;
  clk_us unconfirmed_since; /* start of the process, or end of a suspension */
  clk_us last_run;
  uint64_t members_change;      /* number of the newest member change */
  uint64_t members_change_sent; /* of the last notice to the nodes */
  clk_us next_notice;
  bool crash_marks_changed; /* since they were sent to the nodes */
  clk_us next_crash_marks;  /* earliest time to send them again */
  clk_us next_renew;
  clk_us next_replica_tick;
  struct model *model;
  char *document;
  size_t document_len;
  struct member_config_version version; /* of @model and @document */
  bool confirmed; /* by a quorum since @unconfirmed_since */
  struct member_config_version reported; /* newest that a replica reported */
  clk_us next_read;
  bool read_pending; /* a configuration read of this task is pending */
};

/* control_member.c: leases and the member list */
/* Renews the lease at all replicas.  */
void control_renew_all (struct control *control, clk_us now);
/* Logs and counts the replicas that have become silent.  */
void control_check_replicas (struct control *control, clk_us now);
void control_handle_members_notice (struct control *control,
                                    const char *address, clk_us now);
/* Renews the lease at a replica whose connection was lost, with the messages
   sent on it: the renewal opens a new one, and its reply names the newest
   version, in case that a pushed one was lost.  */
void control_handle_peer_lost (struct control *control,
                               const struct msg_endpoint *endpoint,
                               clk_us now);
void control_handle_renew (struct control *control, struct msg *msg,
                           clk_us now);
/* Updates the member list from the reply of a replica.  */
void control_handle_renew_reply (struct control *control, struct msg *msg,
                                 clk_us now);
/* Copies the state of the backend server to the record of this node and renews
   the lease.  */
void control_handle_backend (struct control *control,
                             const struct msg_backend *msg, clk_us now);

void control_update_replicas (struct control *control, clk_us now);

/* control_marks.c: crash marks, and messages that a control replica pushes to
   nodes */
void control_push_config (struct control *control);
void control_push_crash_marks (struct control *control, clk_us now);
void control_send_members_notice (struct control *control, clk_us now);
void control_update_node (struct control *control, const char *instance,
                          const struct msg_endpoint *endpoint, clk_us now);
/* Removes the nodes that have stopped renewing their leases.  */
void control_expire_nodes (struct control *control, clk_us now);
void control_handle_peer_crash_marks (struct control *control,
                                      const struct list *marks, clk_us now);
void control_handle_local_crash_marks (struct control *control,
                                       const struct list *marks, clk_us now);

/* control_propose.c: pending proposals and reads */
void control_propose (struct control *control,
                      const struct control_origin *origin,
                      struct msg_propose *propose, clk_us now);
void control_handle_propose (struct control *control, struct msg *msg,
                             clk_us now);
/* Passes a result to its origin, or schedules another attempt after
   SR_ENOTLEADER or SR_EAGAIN.  */
void control_handle_result (struct control *control, struct msg_result *result,
                            clk_us now);
/* Completes all pending requests with SR_EAGAIN when the task ends.  */
void control_fail_pending (struct control *control, clk_us now);
/* Sends the requests whose next attempt is due, and completes those past their
   deadline with SR_EAGAIN.  */
void control_tick_pending (struct control *control, clk_us now);
/* Returns the next timer of a pending request, or WAKEUP if that is earlier.
 */
clk_us control_pending_wakeup (const struct control *control, clk_us wakeup);
bool control_has_pending_claims (const struct control *control);
void control_drop_pending_origin (struct control *control,
                                  enum control_origin_kind kind);
void control_process_replica_outputs (struct control *control, clk_us now);

/* control_config.c: configuration in force */
void control_config_refresh (struct control *control, clk_us now);
void control_config_handle_push (struct control *control,
                                 struct msg_result *result, clk_us now);
void control_config_handle_result (struct control *control,
                                   struct msg_result *result, clk_us now);
void control_config_install (struct control *control, const char *document,
                             size_t len,
                             const struct member_config_version *version,
                             bool confirmed,
                             enum control_config_source source);
void control_config_install_local (struct control *control, clk_us now);
void control_config_clear_confirmed (struct control *control, clk_us now);
void control_config_attach_local (const struct control *control,
                                  struct msg_result *result);

/* control_admin.c: requests of operators */
void control_handle_admin (struct control *control, struct msg *msg,
                           clk_us now);
void control_admin_reply_change (struct control *control, uint64_t request_id,
                                 const struct msg_result *result);
void control_admin_reply_get (struct control *control, uint64_t request_id,
                              const struct msg_result *result);

#endif
