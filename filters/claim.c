#include "core/err.h"
#include "filters/filter.h"

/* Waits for the claim of a non-idempotent request.  On FILTER_WAIT_CLAIM the
   front task proposes the claim and stores the result in the request.  */
struct filter_result
filter_claim (struct filter_request *request)
{
  if (request->kind->idempotent)
    return filter_continue ();
  switch (request->claim_state)
    {
    case FILTER_CLAIM_NONE:
    case FILTER_CLAIM_PENDING:
      return (struct filter_result){ .kind = FILTER_WAIT,
                                     .u.wait = FILTER_WAIT_CLAIM };
    case FILTER_CLAIM_GRANTED:
      return filter_continue ();
    case FILTER_CLAIM_DONE:
      return (struct filter_result){ .kind = FILTER_ANSWER };
    case FILTER_CLAIM_UNKNOWN:
      return filter_refuse (REASON_CLAIM_UNKNOWN, REASON_RUN_UNKNOWN);
    case FILTER_CLAIM_NOT_KEPT:
      return filter_refuse (REASON_ANSWER_NOT_KEPT, REASON_RUN_UNKNOWN);
    case FILTER_CLAIM_MISMATCH:
      return filter_refuse (REASON_KEY_REUSED, REASON_NOT_RUN);
    case FILTER_CLAIM_FULL:
      return filter_refuse (REASON_CLAIM_STORE_FULL, REASON_NOT_RUN);
    case FILTER_CLAIM_UNAVAILABLE:
      return filter_refuse (REASON_CLAIM_UNAVAILABLE, REASON_NOT_RUN);
    }
  INVARIANT (!"claim state is known");
  return filter_continue ();
}
