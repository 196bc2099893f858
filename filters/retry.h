#ifndef FILTERS_RETRY_H
#define FILTERS_RETRY_H

/**
 * DOC: retry - whether a failed attempt is followed by another
 */

#include "filters/chain.h"

/* How an attempt failed.  */
struct flt_failure
{
  enum rsn_refusal reason;
  enum rsn_run run;
};

enum flt_retry_kind
{
  FLT_GIVE_UP,
  FLT_RETRY,
};

struct flt_retry
{
  enum flt_retry_kind kind;
  enum rsn_retry reason; /* for FLT_RETRY */
};

/* Decides on a retry and takes it from the allowance and the budget.  */
struct flt_retry flt_retry (struct flt_state *state,
                            struct flt_request *request,
                            const struct flt_failure *failure, clk_us now);

/* Decides on a hedge and takes it from the allowance and the budget.  */
bool flt_may_hedge (struct flt_state *state, struct flt_request *request,
                    clk_us now);

#endif
