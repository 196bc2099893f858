#ifndef CONTROLLERS_HOP_H
#define CONTROLLERS_HOP_H

/**
 * DOC: hop - table of the requests that run at the local backend server (hops)
 *
 * Each dispatched request gets an unguessable id, which the backend server
 * passes on in its child calls.  Importance, deadline, depth, chain key and
 * retry allowance of a child call are taken from this table and not from the
 * message.  Ended hops are kept for HOP_RETENTION_US, so that a child call of
 * an ended request can be distinguished from one of a former process of this
 * node.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/retry.h"
#include "core/clk.h"
#include "core/list.h"
#include "core/msg.h"
#include "core/rng.h"

/* Time that an ended hop is kept.  */
#define HOP_RETENTION_US clk_s (60)

struct hop
{
  struct list_node hash_node;
  struct list_node age_node; /* hop_table.ended, only when ended */
  uint8_t id[RNG_ID_BYTES];
  bool ended;
  clk_us ended_at;
  uint32_t refs; /* references of child calls and of the request itself */
  uint8_t importance;
  clk_us deadline;
  uint32_t depth;                /* in the call chain */
  char chain_key[MSG_KEY_BYTES]; /* key of the request at the entry of the call
                                    chain, or empty */
  struct retry_allowance allowance;
};

struct hop_table;

/* Returns NULL without memory.  */
struct hop_table *hop_table_new (void);
void hop_table_free (struct hop_table *table);

/* Adds a hop with a random id; the caller holds one reference.  */
struct hop *hop_open (struct hop_table *table);

/* Marks the hop as ended, clears its retry allowance and releases the
   reference of hop_open().  */
void hop_end (struct hop_table *table, struct hop *hop, clk_us now);

/* Finds a hop, ended ones included, without taking a reference; NULL when
   unknown.  */
struct hop *hop_find (struct hop_table *table, const uint8_t id[RNG_ID_BYTES]);

/* Takes and releases a reference.  */
void hop_ref (struct hop *hop);
void hop_unref (struct hop *hop);

/* Removes unreferenced hops that ended at least HOP_RETENTION_US ago.  */
void hop_expire (struct hop_table *table, clk_us now);

#endif
