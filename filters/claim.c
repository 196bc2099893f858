#include "core/err.h"
#include "filters/chain.h"

/* Waits for the claim of a non-idempotent request.  The front task proposes
   it when the chain waits for FLT_WAIT_CLAIM and puts the result here.  */
struct flt_result
flt_claim (struct flt_request *request)
{
  if (request->kind->idempotent)
    return flt_continue ();
  switch (request->claim)
    {
    case FLT_CLAIM_NONE:
    case FLT_CLAIM_ASKED:
      return (struct flt_result){ .kind = FLT_WAIT, .u.wait = FLT_WAIT_CLAIM };
    case FLT_CLAIM_GRANTED:
      return flt_continue ();
    case FLT_CLAIM_DONE:
      return (struct flt_result){ .kind = FLT_ANSWER };
    case FLT_CLAIM_UNKNOWN:
      return flt_refuse (RSN_CLAIM_UNKNOWN, RSN_UNKNOWN);
    case FLT_CLAIM_NOT_KEPT:
      return flt_refuse (RSN_ANSWER_NOT_KEPT, RSN_UNKNOWN);
    case FLT_CLAIM_MISMATCH:
      return flt_refuse (RSN_KEY_REUSED, RSN_NOT_RUN);
    case FLT_CLAIM_FULL:
      return flt_refuse (RSN_CLAIM_STORE_FULL, RSN_NOT_RUN);
    case FLT_CLAIM_UNAVAILABLE:
      return flt_refuse (RSN_CLAIM_UNAVAILABLE, RSN_NOT_RUN);
    }
  INVARIANT (!"claim state is known");
  return flt_continue ();
}
