#include "controllers/whl.h"

#include <stdbool.h>

#define WHL_SLOT_BITS 6u
#define WHL_SLOT_MASK (WHL_SLOTS - 1u)

void
whl_init (struct whl *whl, clk_us now)
{
  whl->tick = now / WHL_TICK_US;
  for (unsigned level = 0; level < WHL_LEVELS; level++)
    {
      whl->used[level] = 0;
      for (unsigned i = 0; i < WHL_SLOTS; i++)
        lst_init (&whl->slots[level][i]);
    }
}

/* Files a timer for the tick TICK, which is not in the past.  */
static void
wheel_file (struct whl *whl, struct whl_timer *timer, uint64_t tick)
{
  uint64_t ahead = tick - whl->tick;
  unsigned level = 0;
  unsigned slot;

  while (level + 1 < WHL_LEVELS && ahead >> (WHL_SLOT_BITS * (level + 1)) != 0)
    level++;
  /* A slot of the top level is reached again after a full turn; what lies
     beyond goes into the last slot before that.  */
  if (ahead >> (WHL_SLOT_BITS * WHL_LEVELS) != 0)
    tick = whl->tick + (1u << (WHL_SLOT_BITS * WHL_LEVELS)) - 1;
  slot = (tick >> (WHL_SLOT_BITS * level)) & WHL_SLOT_MASK;
  lst_push_tail (&whl->slots[level][slot], &timer->node);
  whl->used[level] |= 1ull << slot;
}

void
whl_add (struct whl *whl, struct whl_timer *timer)
{
  uint64_t tick = (timer->at + WHL_TICK_US - 1) / WHL_TICK_US;

  wheel_file (whl, timer, tick > whl->tick ? tick : whl->tick);
}

void
whl_remove (struct whl_timer *timer)
{
  lst_remove (&timer->node);
}

/* Takes all timers out of a slot, to file them again or to report them.  */
static void
slot_take (struct whl *whl, unsigned level, unsigned slot, struct lst *out)
{
  whl->used[level] &= ~(1ull << slot);
  lst_splice_tail (out, &whl->slots[level][slot]);
}

/* Files the timers of the higher levels whose span begins at this tick.  */
static void
wheel_cascade (struct whl *whl)
{
  for (unsigned level = 1; level < WHL_LEVELS; level++)
    {
      unsigned shift = WHL_SLOT_BITS * level;
      struct lst timers;
      struct lst_node *node;

      if ((whl->tick & ((1ull << shift) - 1)) != 0)
        return;
      lst_init (&timers);
      slot_take (whl, level, (whl->tick >> shift) & WHL_SLOT_MASK, &timers);
      while ((node = lst_pop_head (&timers)) != NULL)
        whl_add (whl, lst_entry (node, struct whl_timer, node));
    }
}

/* First tick at or after the current one that needs handling, at most one
   turn of the lowest level ahead.  */
static uint64_t
wheel_next_tick (const struct whl *whl)
{
  unsigned slot = whl->tick & WHL_SLOT_MASK;
  uint64_t ahead = whl->used[0] >> slot;

  if (ahead != 0)
    return whl->tick + (unsigned)__builtin_ctzll (ahead);
  return (whl->tick | WHL_SLOT_MASK) + 1;
}

static bool
wheel_empty (const struct whl *whl)
{
  return (whl->used[0] | whl->used[1] | whl->used[2]) == 0;
}

void
whl_advance (struct whl *whl, clk_us now, struct lst *due)
{
  uint64_t end = now / WHL_TICK_US + 1;

  while (whl->tick < end)
    {
      uint64_t next = wheel_empty (whl) ? end : wheel_next_tick (whl);

      if (next >= end)
        {
          bool turn = (end & WHL_SLOT_MASK) == 0;

          whl->tick = end;
          if (turn)
            wheel_cascade (whl);
          return;
        }
      if (next > whl->tick)
        {
          whl->tick = next;
          if ((next & WHL_SLOT_MASK) == 0)
            wheel_cascade (whl);
          continue;
        }
      slot_take (whl, 0, next & WHL_SLOT_MASK, due);
      whl->tick = next + 1;
      if ((whl->tick & WHL_SLOT_MASK) == 0)
        wheel_cascade (whl);
    }
}

clk_us
whl_next (const struct whl *whl)
{
  if (wheel_empty (whl))
    return 0;
  return wheel_next_tick (whl) * WHL_TICK_US;
}
