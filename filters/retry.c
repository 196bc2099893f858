#include "filters/retry.h"

#include "core/err.h"

/* Whether another server may run a request that this one refused.  */
static bool
flt_refusal_is_local (enum rsn_refusal reason)
{
  switch (reason)
    {
    case RSN_DRAINING:
    case RSN_NO_BACKEND:
    case RSN_NOT_READY:
    case RSN_QUEUE_FULL:
    case RSN_EVICTED:
    case RSN_PEER_CONGESTED:
    case RSN_CONNECT_FAILED:
    case RSN_PEER_LOST:
    case RSN_BACKEND_CLOSED:
    case RSN_BACKEND_CRASHED:
    case RSN_SUSPECT_RUNNING:
    case RSN_ANSWER_INCOMPLETE:
    case RSN_CONNECTION_SILENT:
      return true;
    default:
      return false;
    }
}

/* Reason under which a retry is counted.  */
static enum rsn_retry
flt_retry_reason (const struct flt_failure *failure)
{
  if (failure->reason == RSN_CONNECT_FAILED)
    return RSN_RETRY_CONNECT_FAILED;
  if (failure->run == RSN_NOT_RUN)
    return RSN_RETRY_REFUSED_BELOW;
  switch (failure->reason)
    {
    case RSN_PEER_LOST:
      return RSN_RETRY_PEER_LOST;
    case RSN_ANSWER_INCOMPLETE:
      return RSN_RETRY_ANSWER_INCOMPLETE;
    case RSN_CONNECTION_SILENT:
      return RSN_RETRY_CONNECTION_SILENT;
    default:
      return RSN_RETRY_BACKEND_CLOSED;
    }
}

/* Whether a second run can do no harm.  A request with a claim key may be
   sent to another node after its first node was lost: the claim decides there
   whether it runs.  */
static bool
flt_retry_is_safe (const struct flt_request *request,
                   const struct flt_failure *failure)
{
  if (failure->run == RSN_NOT_RUN || request->kind->idempotent)
    return true;
  return failure->reason == RSN_PEER_LOST && request->claim_key[0] != '\0';
}

/* Whether the refusal says nothing about load, so that moving the request to
   another server adds none.  */
static bool
flt_retry_is_free (const struct flt_failure *failure)
{
  return failure->run == RSN_NOT_RUN
         && (failure->reason == RSN_DRAINING
             || failure->reason == RSN_NO_BACKEND
             || failure->reason == RSN_NOT_READY);
}

struct flt_retry
flt_retry (struct flt_state *state, struct flt_request *request,
           const struct flt_failure *failure, clk_us now)
{
  struct flt_retry give_up = { .kind = FLT_GIVE_UP };
  struct flt_service *service;

  if (now >= request->deadline || !flt_refusal_is_local (failure->reason))
    return give_up;
  if (!flt_retry_is_safe (request, failure))
    return give_up;
  if (failure->run == RSN_UNKNOWN && request->kind->idempotent
      && request->retries >= request->kind->retries)
    return give_up;
  service = flt_find_service (state, request->service_name);
  if (service == NULL || request->allowance->remaining == 0)
    return give_up;
  if (!flt_retry_is_free (failure) && !rty_budget_take (&service->budget, now))
    return give_up;
  INVARIANT (rty_take (request->allowance));
  request->retries++;
  return (struct flt_retry){ .kind = FLT_RETRY,
                             .reason = flt_retry_reason (failure) };
}

bool
flt_may_hedge (struct flt_state *state, struct flt_request *request,
               clk_us now)
{
  struct flt_service *service;

  if (!request->kind->idempotent || now >= request->deadline)
    return false;
  if (request->retries >= request->kind->retries
      || request->allowance->remaining == 0)
    return false;
  service = flt_find_service (state, request->service_name);
  if (service == NULL || !rty_budget_take (&service->budget, now))
    return false;
  INVARIANT (rty_take (request->allowance));
  request->retries++;
  return true;
}
