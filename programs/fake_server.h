#ifndef PROGRAMS_FAKE_SERVER_H
#define PROGRAMS_FAKE_SERVER_H

/**
 * DOC: fsv - HTTP server of the fake backend server
 */

#include "programs/fake_state.h"

/* Listens on the address of the settings; returns an error number.  */
int fake_server_open (struct fake_state *fake);

/* Starts to send the answer of a request.  */
void fake_server_send_answer (struct fake_request *request);

#endif
