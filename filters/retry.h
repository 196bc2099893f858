#ifndef FILTERS_RETRY_H
#define FILTERS_RETRY_H

/**
 * DOC: retry - whether a failed attempt is followed by another
 */

#include "filters/filter.h"

/* How an attempt failed.  */
struct filter_failure
{
  enum reason_refusal reason;
  enum reason_run run;
};

enum filter_retry_kind
{
  FILTER_GIVE_UP,
  FILTER_RETRY,
};

struct filter_retry
{
  enum filter_retry_kind kind;
  enum reason_retry reason; /* for FILTER_RETRY */
};

/* Decides on a retry and takes it from the allowance and the budget.  */
struct filter_retry filter_retry (struct filter_state *state,
                                  struct filter_request *request,
                                  const struct filter_failure *failure,
                                  clk_us now);

/* Decides on a hedge and takes it from the allowance and the budget.  */
bool filter_try_hedge (struct filter_state *state,
                       struct filter_request *request, clk_us now);

#endif
