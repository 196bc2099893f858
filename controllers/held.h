#ifndef CONTROLLERS_HELD_H
#define CONTROLLERS_HELD_H

/**
 * DOC: held - bytes that a process holds for its peers, and who gives way
 *
 * An item is what one connection holds.  When all items together hold more
 * than the limit, one gives way: the item that has stopped moving for longest,
 * or else the one that grows.  An item at work, which a server may be running,
 * is not dropped; its owner keeps no more of it than it needs to go on.
 *
 * Items of more than held_opts.small_bytes may use only a part of the limit,
 * so that they leave room for ordinary requests.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

struct held_opts
{
  uint64_t bytes_max;       /* of all items together */
  uint64_t large_bytes_max; /* above it, no large item grows */
  uint64_t small_bytes;     /* an item that holds more is a large one */
  clk_us stopped_after;     /* an item without progress for this time has
                               stopped moving */
};

/* What the owner of an item says about it.  */
enum held_state
{
  HELD_WAITING, /* for bytes of the peer, or for the peer to read */
  HELD_AT_WORK, /* a server runs it or may get it next */
};

/* Lists of items; each has the item with the least recent progress first.  */
enum held_list
{
  HELD_LIST_SMALL,
  HELD_LIST_LARGE,
  HELD_LIST_AT_WORK, /* of any size */
  HELD_LIST_COUNT
};

struct held
{
  struct held_opts opts;
  uint64_t bytes;                     /* of all items */
  struct list items[HELD_LIST_COUNT]; /* struct held_item */
};

struct held_item
{
  struct list_node node; /* held.items */
  enum held_list list;
  uint64_t bytes;
  clk_us progress_at;
};

/* Memory of a process; CONFIGURED is 0 when it is not set.  */
uint64_t held_memory_bytes (uint64_t configured);

/* Options for what a process with MEMORY_BYTES may hold for its peers.  The
   rest is for the process itself, for memory that the allocator does not give
   back, and for bytes that the kernel holds unread, which count for the
   machine, too.  */
struct held_opts held_opts_for (uint64_t memory_bytes);

/* Initializes an empty account; OPTS is copied.  */
void held_init (struct held *held, const struct held_opts *opts);

/* Adds an item that waits and holds nothing.  */
void held_add (struct held *held, struct held_item *item, clk_us now);
/* Removes an item, whatever it holds; does nothing when it is not added.  */
void held_remove (struct held *held, struct held_item *item);

/* Sets what ITEM holds and its state.  When work on it has ended, its answer
   has just come, so that its peer could not read any of it: that counts as
   progress.  */
void held_set (struct held *held, struct held_item *item, uint64_t bytes,
               enum held_state state, clk_us now);
/* Records that ITEM has moved: bytes came from its peer or were read by it.
   Does nothing when it is not added.  */
void held_record_progress (struct held *held, struct held_item *item,
                           clk_us now);

/**
 * held_find_victim() - who gives way after an item has grown
 * @held: account
 * @item: the item that has grown
 * @now: current time
 *
 * The owner drops the victim, which may be @item, and asks again.
 *
 * Return: the victim, or NULL when none is needed, or when only items at work
 * are left.
 */
struct held_item *held_find_victim (struct held *held, struct held_item *item,
                                    clk_us now);

/* The item that has stopped moving for longest, or NULL.  */
struct held_item *held_find_stopped (struct held *held, clk_us now);

/* Whether large items may not grow, so that those at work keep no more than
   they need to go on.  */
bool held_is_short (const struct held *held);

#endif
