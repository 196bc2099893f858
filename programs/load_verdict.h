#ifndef PROGRAMS_LOAD_VERDICT_H
#define PROGRAMS_LOAD_VERDICT_H

/**
 * DOC: load_verdict - classification of the results of attempts
 */

#include "programs/load_state.h"

/* Classifies the result of an attempt, and checks the body of an answer.  */
struct load_verdict
load_verdict_classify (const struct load_call *call,
                       const struct tool_client_result *result);

/* Whether a caller may resend the request after this result: it is idempotent
   or has not run, and the failure may be transient.  */
bool load_verdict_may_resend (const struct load_call *call,
                              const struct load_verdict *verdict);

#endif
