#include "filters/retry_policy.h"

#include "core/err.h"

/* Whether another server may accept a request that failed for this reason.  */
static bool
filter_other_server_may_accept (enum reason_refusal reason)
{
  switch (reason)
    {
    case REASON_DRAINING:
    case REASON_NO_BACKEND:
    case REASON_NOT_READY:
    case REASON_QUEUE_FULL:
    case REASON_EVICTED:
    case REASON_PEER_CONGESTED:
    case REASON_MEMORY_SHORT:
    case REASON_CONNECT_FAILED:
    case REASON_PEER_LOST:
    case REASON_BACKEND_CLOSED:
    case REASON_BACKEND_CRASHED:
    case REASON_SUSPECT_RUNNING:
    case REASON_ANSWER_INCOMPLETE:
    case REASON_CONNECTION_SILENT:
      return true;
    default:
      return false;
    }
}

/* Reason under which the retry is counted.  */
static enum reason_retry
filter_retry_reason (const struct filter_failure *failure)
{
  if (failure->reason == REASON_CONNECT_FAILED)
    return REASON_RETRY_CONNECT_FAILED;
  if (failure->run == REASON_NOT_RUN)
    return REASON_RETRY_REFUSED_BELOW;
  switch (failure->reason)
    {
    case REASON_PEER_LOST:
      return REASON_RETRY_PEER_LOST;
    case REASON_ANSWER_INCOMPLETE:
      return REASON_RETRY_ANSWER_INCOMPLETE;
    case REASON_CONNECTION_SILENT:
      return REASON_RETRY_CONNECTION_SILENT;
    default:
      return REASON_RETRY_BACKEND_CLOSED;
    }
}

/* Whether a retry cannot run a non-idempotent request twice.  A request with a
   claim key can be sent to another node after its first node was lost: the
   claim decides there whether it runs.  */
static bool
filter_retry_is_safe (const struct filter_request *request,
                      const struct filter_failure *failure)
{
  if (failure->run == REASON_NOT_RUN || request->kind->idempotent)
    return true;
  return failure->reason == REASON_PEER_LOST && request->claim_key[0] != '\0';
}

/* Whether the refusal is no sign of load, so that a retry at another server is
   not taken from the budget.  */
static bool
filter_retry_skips_budget (const struct filter_failure *failure)
{
  return failure->run == REASON_NOT_RUN
         && (failure->reason == REASON_DRAINING
             || failure->reason == REASON_NO_BACKEND
             || failure->reason == REASON_NOT_READY);
}

struct filter_retry_decision
filter_decide_retry (struct filter_state *state,
                     struct filter_request *request,
                     const struct filter_failure *failure, clk_us now)
{
  struct filter_retry_decision give_up = { .kind = FILTER_GIVE_UP };
  struct filter_service *service;

  if (now >= request->deadline
      || !filter_other_server_may_accept (failure->reason))
    return give_up;
  if (!filter_retry_is_safe (request, failure))
    return give_up;
  if (failure->run == REASON_RUN_UNKNOWN && request->kind->idempotent
      && request->retries >= request->kind->retries_max)
    return give_up;
  service = filter_find_service (state, request->service_name);
  if (service == NULL || request->allowance->remaining == 0)
    return give_up;
  if (!filter_retry_skips_budget (failure)
      && !retry_budget_take (&service->budget, now))
    return give_up;
  INVARIANT (retry_allowance_take (request->allowance));
  request->retries++;
  return (struct filter_retry_decision){ .kind = FILTER_RETRY,
                                         .reason
                                         = filter_retry_reason (failure) };
}

bool
filter_try_hedge (struct filter_state *state, struct filter_request *request,
                  clk_us now)
{
  struct filter_service *service;

  if (!request->kind->idempotent || now >= request->deadline)
    return false;
  if (request->retries >= request->kind->retries_max
      || request->allowance->remaining == 0)
    return false;
  service = filter_find_service (state, request->service_name);
  if (service == NULL || !retry_budget_take (&service->budget, now))
    return false;
  INVARIANT (retry_allowance_take (request->allowance));
  request->retries++;
  return true;
}
