#ifndef PROGRAMS_FAKE_WORK_H
#define PROGRAMS_FAKE_WORK_H

/**
 * DOC: fwk - what the fake backend server does with a request
 */

#include "programs/fake_state.h"

/* Takes a request whose body is complete.  */
void fake_work_on_request (struct fake_request *request);

/* The connection of a request was closed, or its answer has been sent.  */
void fake_work_on_request_end (struct fake_request *request);

#endif
