#ifndef CONTROLLERS_WHEEL_H
#define CONTROLLERS_WHEEL_H

/**
 * DOC: wheel - hierarchical timing wheel of intrusive timers
 *
 * Adding, removing and expiring a timer cost the same however many there are.
 * A timer fires at most one millisecond late, never early.
 */

#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

#define WHEEL_TICK_US CLK_US_PER_MS
#define WHEEL_SLOTS 64u
/* Reach of three levels is 262 s; later timers are filed again on the way. */
#define WHEEL_LEVELS 3u

struct wheel_timer
{
  struct list_node node;
  clk_us at;
};

struct wheel
{
  uint64_t tick; /* all ticks before this one have been handled */
  uint64_t used[WHEEL_LEVELS]; /* slots that may hold timers */
  struct list slots[WHEEL_LEVELS][WHEEL_SLOTS];
};

void wheel_init (struct wheel *wheel, clk_us now);
void wheel_add (struct wheel *wheel, struct wheel_timer *timer);
void wheel_remove (struct wheel_timer *timer);

/* Moves the timers that are due at NOW to the tail of DUE.  */
void wheel_advance (struct wheel *wheel, clk_us now, struct list *due);

/* Time for the next wheel_advance(), at or before the first timer is handled;
   0 when there is no timer.  */
clk_us wheel_next (const struct wheel *wheel);

#endif
