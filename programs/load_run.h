#ifndef PROGRAMS_LOAD_RUN_H
#define PROGRAMS_LOAD_RUN_H

/**
 * DOC: load_run - open-loop (Poisson arrivals) and closed-loop load generation
 *
 * Starts the calls, resends them and records their ends.
 */

#include "programs/load_state.h"

/* Schedules the arrivals of an open loop, or starts the calls of a closed
   loop.  */
void load_run_start (struct load_state *load);

/* Whether all calls have ended and no more start.  */
bool load_run_done (const struct load_state *load);

#endif
