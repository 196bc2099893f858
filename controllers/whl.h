#ifndef CONTROLLERS_WHL_H
#define CONTROLLERS_WHL_H

/**
 * DOC: whl - hierarchical timing wheel of intrusive timers
 *
 * Adding, removing and expiring a timer cost the same however many there are.
 * A timer fires at most one millisecond late, never early.
 */

#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

#define WHL_TICK_US CLK_US_PER_MS
#define WHL_SLOTS 64u
/* Reach of three levels is 262 s; later timers are filed again on the way. */
#define WHL_LEVELS 3u

struct whl_timer
{
  struct lst_node node;
  clk_us at;
};

struct whl
{
  uint64_t tick;             /* all ticks before this one have been handled */
  uint64_t used[WHL_LEVELS]; /* slots that may hold timers */
  struct lst slots[WHL_LEVELS][WHL_SLOTS];
};

void whl_init (struct whl *whl, clk_us now);
void whl_add (struct whl *whl, struct whl_timer *timer);
void whl_remove (struct whl_timer *timer);

/* Moves the timers that are due at NOW to the tail of DUE.  */
void whl_advance (struct whl *whl, clk_us now, struct lst *due);

/* Time for the next whl_advance(), at or before the first timer is handled;
   0 when there is no timer.  */
clk_us whl_next (const struct whl *whl);

#endif
