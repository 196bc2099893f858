#ifndef WIRE_STATUS_H
#define WIRE_STATUS_H

/**
 * DOC: status - JSON messages of the admin port
 *
 * All returned texts are malloc()ed and end with NUL.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"
#include "core/member.h"
#include "core/msg.h"

#define STATUS_INSTANCES_MAX 8

/* State of the local replica of one log group.  */
struct status_group
{
  const char *name;
  const char *role; /* "leader", "follower", "learner", "none" … */
  uint64_t term;
  uint64_t commit;
  char leader[MSG_ADDRESS_BYTES];
};

/* State of the node, for GET /v1/status.  */
struct status_node
{
  const char *instance;
  const char *failure_domain;
  uint64_t incarnation;
  const char *state; /* "starting", "serving", "draining" */
  struct member_config_version version;
  bool confirmed;              /* the version is confirmed by a quorum */
  bool name_taken;             /* another node holds the instance name */
  uint32_t members;            /* nodes in the membership view */
  uint32_t replicas_reachable; /* replied within the lease time */
  uint32_t replicas;           /* control replicas known to the node */
  uint32_t group_count;
  struct status_group groups[MSG_GROUP_COUNT];
  const char *front_json; /* of status_encode_front(), or NULL */
};

/* Registration of a backend server, the body of PUT /v1/backend.  */
struct status_backend
{
  char service[MODEL_NAME_BYTES];
  char address[MSG_ADDRESS_BYTES];
  uint32_t slots;
  uint32_t connections;
};

/* State of the front task, the object "limits" of the status.  */
struct status_front
{
  bool backend_up;
  bool draining;
  uint32_t limit;         /* concurrency limit */
  uint32_t running;       /* requests at the backend server */
  uint32_t waiting;       /* requests in the queue */
  uint8_t importance_min; /* of admitted requests */
  uint32_t calls;         /* call sides that the front task holds */
};

char *status_encode_node (const struct status_node *status);
char *status_encode_members (const struct list *items);
/* COUNT: number of nodes with an older configuration version than the one
   asked for; ITEMS: struct member_item, these nodes.  */
char *status_encode_lagging (uint32_t count, const struct list *items);
char *status_encode_front (const struct status_front *front);

/* Result of a change.  STATUS: "accepted", "conflict" or "unavailable";
   NUMBER: the accepted or the current version, 0 when unavailable.  */
char *status_encode_change_result (const char *status, uint64_t number);
char *status_encode_error (const char *text);

/* Collects the faults of a rejected document.  */
struct status_faults;
struct status_faults *status_faults_new (void);
/* An sr_fault_fn; FAULTS is a struct status_faults.  */
void status_faults_add (void *faults, const char *path, const char *text);
/* Encodes and frees FAULTS.  */
char *status_faults_encode (struct status_faults *faults);

/* Decodes the body of PUT /v1/backend.  Returns SR_OK, or SR_EMALFORMED or
   SR_EINVAL with a description of the error in FAULT.  */
int status_decode_backend (const char *text, size_t len,
                           struct status_backend *backend, char *fault,
                           size_t fault_size);

#endif
