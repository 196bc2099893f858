#ifndef FILTERS_RETRY_POLICY_H
#define FILTERS_RETRY_POLICY_H

/**
 * DOC: retry_policy - decisions on retries and hedges of a call
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

struct filter_retry_decision
{
  enum filter_retry_kind kind;
  enum reason_retry reason; /* for FILTER_RETRY */
};

/* Decides whether a failed attempt is retried.  Takes the retry from the
   allowance of the call chain, and from the retry budget of the service unless
   the refusal is no sign of load.  */
struct filter_retry_decision
filter_decide_retry (struct filter_state *state,
                     struct filter_request *request,
                     const struct filter_failure *failure, clk_us now);

/* Returns whether an unanswered attempt may be hedged; takes the hedge from
   the allowance and the retry budget then.  */
bool filter_try_hedge (struct filter_state *state,
                       struct filter_request *request, clk_us now);

#endif
