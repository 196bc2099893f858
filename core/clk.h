#ifndef CORE_CLK_H
#define CORE_CLK_H

/**
 * DOC: clk - monotonic and wall clock
 *
 * Times and durations are in microseconds.  Controllers and filters receive
 * the time as an argument; only tasks and programs read a clock.
 */

#include <stdint.h>

typedef uint64_t clk_us;

#define CLK_US_PER_MS 1000u
#define CLK_US_PER_S 1000000u

#define clk_ms(ms) ((clk_us)(ms)*CLK_US_PER_MS)
#define clk_s(s) ((clk_us)(s)*CLK_US_PER_S)

/**
 * clk_now() - monotonic time
 *
 * Return: microseconds since an arbitrary start.
 */
clk_us clk_now (void);

/**
 * clk_wall_ms() - wall clock time
 *
 * Return: milliseconds since the epoch.
 */
uint64_t clk_wall_ms (void);

#endif
