#ifndef PROGRAMS_LOAD_CALL_H
#define PROGRAMS_LOAD_CALL_H

/**
 * DOC: load_call - one call of the load generator and its requests
 */

#include "programs/load_state.h"

/* Creates a call whose request is drawn from the mix, and appends it to
   load->calls.  DUE is its scheduled start.  */
struct load_call *load_call_new (struct load_state *load, clk_us due);

/* Builds the request of the next attempt, without the address.  It points into
   CALL and the settings.  */
void load_call_build_request (struct load_call *call,
                              struct tool_client_request *request);

void load_call_free (struct load_call *call);

#endif
