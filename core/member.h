#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

/**
 * DOC: mem - membership records and messages
 *
 * Encoded by wire/pack, decided on by controllers/mbr and controllers/view.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"
#include "core/model.h"

#define MEM_INSTANCE_BYTES 64
#define MEM_ADDRESS_BYTES 64
#define MEM_SERVICES_MAX 128 /* services that one node may call */
#define MEM_MARKS_MAX 16     /* crash marks in one renewal */

enum mem_state
{
  MEM_STARTING, /* no backend server announced yet */
  MEM_SERVING,
  MEM_DRAINING,
  MEM_GONE, /* tombstone in a change: left or lease ended */
};

/* One node with its backend server.  The newest (incarnation, sequence) of an
   instance wins.  */
struct mem_record
{
  char instance[MEM_INSTANCE_BYTES];
  char service[MDL_NAME_BYTES];    /* empty without a backend server */
  char address[MEM_ADDRESS_BYTES]; /* peer address, IP:PORT */
  char failure_domain[MDL_NAME_BYTES];
  uint64_t incarnation; /* grows with each start of the node */
  uint64_t sequence;    /* grows with each change within an incarnation */
  uint32_t slots;
  enum mem_state state;
  bool control; /* holds a control replica */
};

/* A record on a list, as sent in changes.  */
struct mem_item
{
  struct lst_node node;
  struct mem_record record;
};

/* Position in the table of one replica.  A replica's table has a random epoch
   from each start, never 0.  Epoch 0 asks for the whole table; @change is then
   the node's own number of the request and comes back in the reply.  */
struct mem_position
{
  uint64_t epoch;
  uint64_t change; /* number of the last change seen */
};

/* Version of the configuration; ordered by (term, index).  */
struct mem_version
{
  uint64_t term;
  uint64_t index;
  uint64_t number; /* what operators see: 1, 2, 3 … */
};

/* Node to control replica, once a second.  */
struct mem_renew
{
  struct mem_record record;
  struct mem_position position;
  struct mem_version config; /* in force at the node */
  bool all_services;         /* wanted services: all, or those listed */
  uint32_t service_count;
  char (*services)[MDL_NAME_BYTES];
  struct lst marks; /* struct qrt_mark, see controllers/qrt.h */
};

enum mem_status
{
  MEM_OK,
  MEM_NAME_TAKEN, /* a live lease at another address holds the name */
};

/* Control replica to node, the reply to a renewal.  */
struct mem_members
{
  enum mem_status status;
  struct mem_position since;         /* from the renewal that this answers */
  struct mem_position position;      /* after these changes */
  bool whole;                        /* the whole table, not changes */
  struct lst items;                  /* struct mem_item */
  struct mem_version config;         /* newest applied at the replica */
  bool config_confirmed;             /* confirmed by a quorum */
  char leader[2][MEM_ADDRESS_BYTES]; /* hint per log group, may be empty */
  struct lst marks;                  /* struct qrt_mark */
};

/* Orders records of one instance: negative when A is older than B, 0 when
   both are the same, positive when A is newer.  */
int mem_compare (const struct mem_record *a, const struct mem_record *b);

/* Appends a copy of RECORD as struct mem_item; SR_OK or SR_ENOMEM.  */
int mem_add_item (struct lst *items, const struct mem_record *record);
void mem_free_items (struct lst *items);

#endif
