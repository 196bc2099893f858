#ifndef PROGRAMS_LOAD_RUN_H
#define PROGRAMS_LOAD_RUN_H

/**
 * DOC: lrn - starts calls in an open or closed loop and follows them
 */

#include "programs/load_state.h"

/* Starts the run.  */
void load_run_start (struct load_state *load);

/* Whether all calls have ended and no more will start.  */
bool load_run_done (const struct load_state *load);

#endif
