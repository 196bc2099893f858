#ifndef PROGRAMS_LOAD_VERDICT_H
#define PROGRAMS_LOAD_VERDICT_H

/**
 * DOC: lvd - judges what an attempt came to
 */

#include "programs/load_state.h"

struct load_verdict
load_verdict_classify (const struct load_call *call,
                       const struct tool_client_result *result);

/* Whether a caller may resend the request after this verdict.  */
bool load_verdict_may_resend (const struct load_call *call,
                              const struct load_verdict *verdict);

#endif
