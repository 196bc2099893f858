#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

/**
 * DOC: mem - membership records and messages
 *
 * Encoded by wire/pack, decided on by controllers/registry and
 * controllers/view.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"
#include "core/model.h"

#define MEMBER_INSTANCE_BYTES 64
#define MEMBER_ADDRESS_BYTES 64
#define MEMBER_SERVICES_MAX 128   /* services that one node may call */
#define MEMBER_CRASH_MARKS_MAX 16 /* crash marks in one renewal */

enum member_state
{
  MEMBER_STARTING, /* no backend server announced yet */
  MEMBER_SERVING,
  MEMBER_DRAINING,
  MEMBER_TOMBSTONE, /* tombstone in a change: left or lease ended */
};

/* One node with its backend server.  The newest (incarnation, sequence) of an
   instance wins.  */
struct member_record
{
  char instance[MEMBER_INSTANCE_BYTES];
  char service[MODEL_NAME_BYTES];     /* empty without a backend server */
  char address[MEMBER_ADDRESS_BYTES]; /* peer address, IP:PORT */
  char failure_domain[MODEL_NAME_BYTES];
  uint64_t incarnation; /* grows with each start of the node */
  uint64_t sequence;    /* grows with each change within an incarnation */
  uint32_t slots;
  enum member_state state;
  bool control_replica; /* holds a control replica */
};

/* A record on a list, as sent in changes.  */
struct member_item
{
  struct list_node node;
  struct member_record record;
};

/* Position in the table of one replica.  A replica's table has a random epoch
   from each start, never 0.  Epoch 0 asks for the whole table; @change is then
   the node's own number of the request and comes back in the reply.  */
struct member_position
{
  uint64_t epoch;
  uint64_t change; /* number of the last change seen */
};

/* Version of the configuration; ordered by (term, index).  */
struct member_config_version
{
  uint64_t term;
  uint64_t index;
  uint64_t number; /* what operators see: 1, 2, 3 … */
};

/* Node to control replica, once a second.  */
struct member_renew
{
  struct member_record record;
  struct member_position position;
  struct member_config_version config_version; /* in force at the node */
  bool all_services; /* wanted services: all, or those listed */
  uint32_t service_count;
  char (*services)[MODEL_NAME_BYTES];
  struct list
      crash_marks; /* struct quarantine_mark, see controllers/quarantine.h */
};

enum member_status
{
  MEMBER_OK,
  MEMBER_NAME_TAKEN, /* a live lease at another address holds the name */
};

/* Control replica to node, the reply to a renewal.  */
struct member_renew_reply
{
  enum member_status status;
  struct member_position since;    /* from the renewal that this answers */
  struct member_position position; /* after these changes */
  bool full;                       /* the whole table, not changes */
  struct list items;               /* struct member_item */
  struct member_config_version
      config_version;    /* newest applied at the replica */
  bool config_confirmed; /* confirmed by a quorum */
  char leader_addresses[2][MEMBER_ADDRESS_BYTES]; /* hint per log group, may be
                                                     empty */
  struct list crash_marks;                        /* struct quarantine_mark */
};

/* Orders records of one instance: negative when A is older than B, 0 when
   both are the same, positive when A is newer.  */
int member_compare (const struct member_record *a,
                    const struct member_record *b);

/* Appends a copy of RECORD as struct member_item; SR_OK or SR_ENOMEM.  */
int member_add_item (struct list *items, const struct member_record *record);
void member_free_items (struct list *items);

#endif
