#include "controllers/wheel.h"

#include <stdbool.h>

#define WHEEL_SLOT_BITS 6u
#define WHEEL_SLOT_MASK (WHEEL_SLOTS - 1u)

void
wheel_init (struct wheel *wheel, clk_us now)
{
  wheel->tick = now / WHEEL_TICK_US;
  for (unsigned level = 0; level < WHEEL_LEVELS; level++)
    {
      wheel->used[level] = 0;
      for (unsigned i = 0; i < WHEEL_SLOTS; i++)
        list_init (&wheel->slots[level][i]);
    }
}

/* Inserts a timer for TICK, which is not in the past.  */
static void
wheel_insert (struct wheel *wheel, struct wheel_timer *timer, uint64_t tick)
{
  uint64_t ahead = tick - wheel->tick;
  unsigned level = 0;
  unsigned slot;

  while (level + 1 < WHEEL_LEVELS
         && ahead >> (WHEEL_SLOT_BITS * (level + 1)) != 0)
    level++;
  /* A slot of the top level is reached again after a full turn; a later timer
     goes into the last slot before that.  */
  if (ahead >> (WHEEL_SLOT_BITS * WHEEL_LEVELS) != 0)
    tick = wheel->tick + (1u << (WHEEL_SLOT_BITS * WHEEL_LEVELS)) - 1;
  slot = (tick >> (WHEEL_SLOT_BITS * level)) & WHEEL_SLOT_MASK;
  list_push_tail (&wheel->slots[level][slot], &timer->node);
  wheel->used[level] |= 1ull << slot;
}

void
wheel_add (struct wheel *wheel, struct wheel_timer *timer)
{
  uint64_t tick = (timer->at + WHEEL_TICK_US - 1) / WHEEL_TICK_US;

  wheel_insert (wheel, timer, tick > wheel->tick ? tick : wheel->tick);
}

void
wheel_remove (struct wheel_timer *timer)
{
  list_remove (&timer->node);
}

/* Moves all timers of a slot to OUT, to insert them again or to report
   them.  */
static void
slot_drain (struct wheel *wheel, unsigned level, unsigned slot,
            struct list *out)
{
  wheel->used[level] &= ~(1ull << slot);
  list_splice_tail (out, &wheel->slots[level][slot]);
}

/* Inserts the timers of the higher levels whose span begins at this tick into
   lower levels.  */
static void
wheel_cascade (struct wheel *wheel)
{
  for (unsigned level = 1; level < WHEEL_LEVELS; level++)
    {
      unsigned shift = WHEEL_SLOT_BITS * level;
      struct list timers;
      struct list_node *node;

      if ((wheel->tick & ((1ull << shift) - 1)) != 0)
        return;
      list_init (&timers);
      slot_drain (wheel, level, (wheel->tick >> shift) & WHEEL_SLOT_MASK,
                  &timers);
      while ((node = list_pop_head (&timers)) != NULL)
        wheel_add (wheel, list_entry (node, struct wheel_timer, node));
    }
}

/* First tick at or after the current one that needs handling, at most one turn
   of the lowest level ahead.  */
static uint64_t
wheel_next_tick (const struct wheel *wheel)
{
  unsigned slot = wheel->tick & WHEEL_SLOT_MASK;
  uint64_t ahead = wheel->used[0] >> slot;

  if (ahead != 0)
    return wheel->tick + (unsigned)__builtin_ctzll (ahead);
  return (wheel->tick | WHEEL_SLOT_MASK) + 1;
}

static bool
wheel_empty (const struct wheel *wheel)
{
  return (wheel->used[0] | wheel->used[1] | wheel->used[2]) == 0;
}

void
wheel_advance (struct wheel *wheel, clk_us now, struct list *due)
{
  uint64_t end = now / WHEEL_TICK_US + 1;

  while (wheel->tick < end)
    {
      uint64_t next = wheel_empty (wheel) ? end : wheel_next_tick (wheel);

      if (next >= end)
        {
          bool wrapped = (end & WHEEL_SLOT_MASK) == 0;

          wheel->tick = end;
          if (wrapped)
            wheel_cascade (wheel);
          return;
        }
      if (next > wheel->tick)
        {
          wheel->tick = next;
          if ((next & WHEEL_SLOT_MASK) == 0)
            wheel_cascade (wheel);
          continue;
        }
      slot_drain (wheel, 0, next & WHEEL_SLOT_MASK, due);
      wheel->tick = next + 1;
      if ((wheel->tick & WHEEL_SLOT_MASK) == 0)
        wheel_cascade (wheel);
    }
}

clk_us
wheel_next_time (const struct wheel *wheel)
{
  if (wheel_empty (wheel))
    return 0;
  return wheel_next_tick (wheel) * WHEEL_TICK_US;
}
