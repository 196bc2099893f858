#ifndef PROGRAMS_LOAD_CALL_H
#define PROGRAMS_LOAD_CALL_H

/**
 * DOC: lcl - one call of the load tool and its request
 */

#include "programs/load_state.h"

/* A call of a kind drawn from the mix, listed in load->calls.  */
struct load_call *load_call_new (struct load_state *load, clk_us due);

/* Fills REQUEST, whose pointers stay valid as long as CALL.  */
void load_call_build_request (struct load_call *call,
                              struct tool_client_request *request);

void load_call_free (struct load_call *call);

#endif
