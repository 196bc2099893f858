#include "controllers/held.h"

/* Process memory without a setting.  */
#define HELD_MEMORY_BYTES (256ull * 1024 * 1024)
/* Part of the process memory that all items may hold, and the part of it for
   large ones.  */
#define HELD_PERCENT 40u
#define HELD_LARGE_PERCENT 75u
/* An ordinary request with its answer.  */
#define HELD_SMALL_BYTES (64u * 1024)
/* Several times the pauses between the segments of a sender that has lost
   some.  */
#define HELD_STOPPED_US clk_s (1)

uint64_t
held_memory_bytes (uint64_t configured)
{
  return configured != 0 ? configured : HELD_MEMORY_BYTES;
}

struct held_opts
held_opts_for (uint64_t memory_bytes)
{
  uint64_t bytes_max = memory_bytes / 100 * HELD_PERCENT;

  return (struct held_opts){ .bytes_max = bytes_max,
                             .large_bytes_max
                             = bytes_max / 100 * HELD_LARGE_PERCENT,
                             .small_bytes = HELD_SMALL_BYTES,
                             .stopped_after = HELD_STOPPED_US };
}

void
held_init (struct held *held, const struct held_opts *opts)
{
  held->opts = *opts;
  held->bytes = 0;
  for (int i = 0; i < HELD_LIST_COUNT; i++)
    list_init (&held->items[i]);
}

void
held_add (struct held *held, struct held_item *item, clk_us now)
{
  item->list = HELD_LIST_SMALL;
  item->bytes = 0;
  item->progress_at = now;
  list_push_tail (&held->items[item->list], &item->node);
}

void
held_remove (struct held *held, struct held_item *item)
{
  if (!list_is_linked (&item->node))
    return;
  held->bytes -= item->bytes;
  list_remove (&item->node);
}

/* Moves ITEM to the end of LIST.  */
static void
held_move (struct held *held, struct held_item *item, enum held_list list)
{
  list_remove (&item->node);
  item->list = list;
  list_push_tail (&held->items[list], &item->node);
}

void
held_set (struct held *held, struct held_item *item, uint64_t bytes,
          enum held_state state, clk_us now)
{
  enum held_list list
      = bytes > held->opts.small_bytes ? HELD_LIST_LARGE : HELD_LIST_SMALL;

  if (state == HELD_AT_WORK)
    list = HELD_LIST_AT_WORK;
  else if (item->list == HELD_LIST_AT_WORK)
    item->progress_at = now;
  held->bytes = held->bytes - item->bytes + bytes;
  item->bytes = bytes;
  if (item->list != list)
    held_move (held, item, list);
}

void
held_record_progress (struct held *held, struct held_item *item, clk_us now)
{
  if (!list_is_linked (&item->node))
    return;
  item->progress_at = now;
  held_move (held, item, item->list);
}

/* The first item of LIST if it has stopped moving, else NULL.  */
static struct held_item *
held_first_stopped (const struct held *held, enum held_list list, clk_us now)
{
  struct list_node *node = list_first (&held->items[list]);
  struct held_item *item
      = node != NULL ? list_entry (node, struct held_item, node) : NULL;

  return item != NULL && now >= item->progress_at + held->opts.stopped_after
             ? item
             : NULL;
}

struct held_item *
held_find_stopped (struct held *held, clk_us now)
{
  struct held_item *large = held_first_stopped (held, HELD_LIST_LARGE, now);

  return large != NULL ? large
                       : held_first_stopped (held, HELD_LIST_SMALL, now);
}

struct held_item *
held_find_victim (struct held *held, struct held_item *item, clk_us now)
{
  struct held_item *victim;

  if (held->bytes > held->opts.bytes_max)
    victim = held_find_stopped (held, now);
  else if (held->bytes > held->opts.large_bytes_max
           && item->bytes > held->opts.small_bytes)
    victim = held_first_stopped (held, HELD_LIST_LARGE, now);
  else
    return NULL;
  if (victim != NULL)
    return victim;
  return item->list != HELD_LIST_AT_WORK ? item : NULL;
}

bool
held_is_short (const struct held *held)
{
  return held->bytes > held->opts.large_bytes_max;
}
