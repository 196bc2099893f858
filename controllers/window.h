#ifndef CONTROLLERS_WINDOW_H
#define CONTROLLERS_WINDOW_H

/**
 * DOC: win - retry budget over a sliding window
 *
 * All nodes together may send a service RATIO repeats for each request in a
 * window, and SLACK more.  A node counts its own requests and has an equal
 * part of the slack.  Steps of the window make the bound hold for every span
 * of its length.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"

#define WIN_STEPS 20u

struct win_opts
{
  double ratio;  /* repeats for each request */
  double slack;  /* repeats besides, of all nodes */
  clk_us length; /* of the window */
};

struct win
{
  struct win_opts opts;
  clk_us step_from; /* begin of the current step */
  uint32_t step;
  double requests[WIN_STEPS];
  double repeats[WIN_STEPS];
};

void win_init (struct win *win, const struct win_opts *opts, clk_us now);

/* Counts a request of a caller.  */
void win_request (struct win *win, clk_us now);

/**
 * win_take() - take a part of the budget
 * @win: budget
 * @cost: repeats that follow, those of the calls below included
 * @part: part of the budget that this kind of work may use up
 * @nodes: nodes among which the slack is divided
 * @now: time
 *
 * Return: whether the repeats are within the budget; they are counted then.
 */
bool win_take (struct win *win, double cost, double part, uint32_t nodes,
               clk_us now);

#endif
