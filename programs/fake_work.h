#ifndef PROGRAMS_FAKE_WORK_H
#define PROGRAMS_FAKE_WORK_H

/**
 * DOC: fake_work - FIFO queue and execution of requests
 *
 * The fake backend server runs as many requests at a time as it has slots; the
 * others wait in the queue.
 */

#include "programs/fake_state.h"

/* Handles a request whose body is complete.  */
void fake_work_on_request (struct fake_request *request);

/* Handles the end of a request: its answer was sent, or its connection was
   closed.  */
void fake_work_on_request_end (struct fake_request *request);

#endif
