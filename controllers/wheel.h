#ifndef CONTROLLERS_WHEEL_H
#define CONTROLLERS_WHEEL_H

/**
 * DOC: wheel - hierarchical timing wheel of intrusive timers
 *
 * The time to add, remove and expire a timer does not depend on the number of
 * timers.  A timer fires at most one millisecond late, never early.
 */

#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

#define WHEEL_TICK_US CLK_US_PER_MS
#define WHEEL_SLOTS 64u
/* Three levels cover 262 s; later timers are inserted again on the way.  */
#define WHEEL_LEVELS 3u

struct wheel_timer
{
  struct list_node node;
  clk_us at; /* time at which it fires */
};

struct wheel
{
  uint64_t tick; /* all ticks before this one have been handled */
  uint64_t used[WHEEL_LEVELS]; /* bitmap of slots that may hold timers */
  struct list slots[WHEEL_LEVELS][WHEEL_SLOTS];
};

void wheel_init (struct wheel *wheel, clk_us now);

/* Adds a timer that fires at TIMER->at; one in the past fires at the next
   wheel_advance().  */
void wheel_add (struct wheel *wheel, struct wheel_timer *timer);

/* Removes a timer; has no effect when it is not in a wheel.  */
void wheel_remove (struct wheel_timer *timer);

/* Moves the timers that are due at NOW to the tail of DUE.  */
void wheel_advance (struct wheel *wheel, clk_us now, struct list *due);

/* Time for the next wheel_advance(), not later than the first timer; 0 without
   timers.  */
clk_us wheel_next_time (const struct wheel *wheel);

#endif
