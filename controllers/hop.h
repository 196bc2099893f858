#ifndef CONTROLLERS_HOP_H
#define CONTROLLERS_HOP_H

/**
 * DOC: hop - requests that the own backend server is running
 *
 * Each dispatched request gets an unguessable id that the backend server
 * passes on with its child calls.  Importance, deadline, depth, chain key and
 * retry allowance of a child call come from this table and not from the
 * wire.  Ended hops are remembered for a time, so that a child call of an
 * ended request is told from one of a former process of this node.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/retry.h"
#include "core/clk.h"
#include "core/list.h"
#include "core/msg.h"
#include "core/rng.h"

/* Time that an ended hop is remembered.  */
#define HOP_KEEP_US clk_s (60)

struct hop
{
  struct list_node hash_node;
  struct list_node age_node; /* only when ended */
  uint8_t id[RNG_ID_BYTES];
  bool ended;
  clk_us ended_at;
  uint32_t refs; /* child calls that refer to it, and the request itself */
  uint8_t importance;
  clk_us deadline;
  uint32_t depth;
  char chain_key[MSG_KEY_BYTES];
  struct retry_allowance allowance;
};

struct hop_table;

struct hop_table *hop_table_new (void);
void hop_table_free (struct hop_table *table);

/* A new hop with a random id, held by the caller.  */
struct hop *hop_open (struct hop_table *table);

/* The request ended; the holder's reference is released.  */
void hop_end (struct hop_table *table, struct hop *hop, clk_us now);

/* Finds a hop without taking a reference; NULL when not known.  */
struct hop *hop_find (struct hop_table *table, const uint8_t id[RNG_ID_BYTES]);

void hop_ref (struct hop *hop);
void hop_unref (struct hop *hop);

/* Forgets hops that ended longer ago than HOP_KEEP_US.  */
void hop_expire (struct hop_table *table, clk_us now);

#endif
