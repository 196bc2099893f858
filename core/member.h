#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

/**
 * DOC: member - membership records and lease renewal messages
 *
 * Encoded by wire/pack; processed by controllers/registry on control replicas
 * and by controllers/view on nodes.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"
#include "core/model.h"

#define MEMBER_INSTANCE_BYTES 64
#define MEMBER_ADDRESS_BYTES 64
#define MEMBER_SERVICES_MAX 128   /* services that one node may call */
#define MEMBER_CRASH_MARKS_MAX 16 /* in one renewal */

enum member_state
{
  MEMBER_STARTING, /* no backend server registered yet */
  MEMBER_SERVING,
  MEMBER_DRAINING,
  MEMBER_TOMBSTONE, /* removed: deregistered or lease expired */
};

/* One node with its backend server.  Of two records of an instance, the one
   with the higher (incarnation, sequence) is valid.  */
struct member_record
{
  char instance[MEMBER_INSTANCE_BYTES];
  char service[MODEL_NAME_BYTES];     /* empty without a backend server */
  char address[MEMBER_ADDRESS_BYTES]; /* peer address, IP:PORT */
  char failure_domain[MODEL_NAME_BYTES];
  uint64_t incarnation; /* increases with each start of the node */
  uint64_t sequence;    /* increases with each change in one incarnation */
  uint32_t slots;
  enum member_state state;
  bool control_replica; /* runs a control replica */
};

/* List item with a record.  */
struct member_item
{
  struct list_node node;
  struct member_record record;
};

/* Position in the change sequence of one replica's membership table.  A table
   has a random epoch, chosen at each start of the replica and never 0.
   Epoch 0 requests the full table; @change is then a number chosen by the node
   that the reply echoes.  */
struct member_position
{
  uint64_t epoch;
  uint64_t change; /* number of the last change received */
};

/* Losses that control replicas have to bear at the same time: any instances,
   or failure domains, or regions.  */
struct member_tolerance
{
  uint32_t instances;
  uint32_t domains;
  uint32_t regions;
};

/* Largest number of a version that senders may name; the largest one that JSON
   integers of the status pages hold.  */
#define MEMBER_CONFIG_NUMBER_MAX ((uint64_t)INT64_MAX)

/* Version of the configuration; ordered by (term, index) of its log entry.
   All members are 0 before the first version.  */
struct member_config_version
{
  uint64_t term;
  uint64_t index;
  uint64_t number; /* shown to operators, 1 or higher */
};

/* How the version that a change creates gets its number.  */
enum member_numbering_kind
{
  MEMBER_NUMBERING_NEXT,  /* the number after that of the current version */
  MEMBER_NUMBERING_GIVEN, /* the sender of the change names it */
};

struct member_numbering
{
  enum member_numbering_kind kind;
  uint64_t number; /* MEMBER_NUMBERING_GIVEN: 1 … MEMBER_CONFIG_NUMBER_MAX */
};

/* Lease renewal, sent by a node to a control replica once a second.  */
struct member_renew
{
  struct member_record record;
  struct member_position position;
  struct member_config_version config_version; /* in force at the node */
  bool all_services; /* subscribes to all services, not just @services */
  uint32_t service_count;
  char (*services)[MODEL_NAME_BYTES];
  struct list
      crash_marks; /* struct quarantine_mark, see controllers/quarantine.h */
};

enum member_status
{
  MEMBER_OK,
  MEMBER_NAME_TAKEN, /* a node at another address holds the instance's lease */
};

/* Reply of a control replica to a lease renewal.  */
struct member_renew_reply
{
  enum member_status status;
  struct member_position since;    /* position of the renewal */
  struct member_position position; /* position after @items */
  bool full;                       /* @items is the full table, not changes */
  struct list items;               /* struct member_item */
  struct member_config_version
      config_version;    /* newest applied at the replica */
  bool config_confirmed; /* confirmed by a quorum */
  /* Leader of each log group as far as the replica knows; may be empty.  */
  char leader_addresses[2][MEMBER_ADDRESS_BYTES];
  struct list crash_marks; /* struct quarantine_mark */
};

/* Compares two records of one instance by (incarnation, sequence): negative
   when A is older than B, 0 when they are equal, positive when A is newer.  */
int member_compare (const struct member_record *a,
                    const struct member_record *b);

/* Appends a copy of RECORD as struct member_item.  Returns SR_OK or
   SR_ENOMEM.  */
int member_add_item (struct list *items, const struct member_record *record);

/* Frees all struct member_item of a list.  */
void member_free_items (struct list *items);

#endif
