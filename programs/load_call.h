#ifndef PROGRAMS_LOAD_CALL_H
#define PROGRAMS_LOAD_CALL_H

/**
 * DOC: lcl - one call of the load tool and its request
 */

#include "programs/load_state.h"

/* A call of a kind drawn from the mix, listed in load->calls.  */
struct load_call *lcl_new (struct load *load, clk_us due);

/* Fills REQUEST, whose pointers stay valid as long as CALL.  */
void lcl_request (struct load_call *call, struct tcl_request *request);

void lcl_free (struct load_call *call);

#endif
