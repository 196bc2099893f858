#ifndef PROGRAMS_FAKE_SERVER_H
#define PROGRAMS_FAKE_SERVER_H

/**
 * DOC: fake_server - HTTP connections of the fake backend server
 */

#include "programs/fake_state.h"

/* Listens on the address of the settings; returns SR_OK or SR_EIO.  */
int fake_server_open (struct fake_state *fake);

/* Starts to send the status and the answer of a request.  */
void fake_server_send_answer (struct fake_request *request);

#endif
