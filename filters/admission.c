#include "core/err.h"
#include "filters/chain.h"

/* Counts the request for its caller, unless the caller holds its share.  */
struct flt_result
flt_caller (struct flt_state *state, struct flt_request *request)
{
  if (request->counted)
    return flt_continue ();
  request->counted
      = shr_take (state->callers, flt_caller_hash (request),
                  request->importance, adm_least_waiting (state->admission));
  return request->counted ? flt_continue ()
                          : flt_refuse (RSN_CALLER_SHARE, RSN_NOT_RUN);
}

/* Waits for a slot.  The front task learns from adm_next() that a waiting
   ticket runs and calls flt_run() again.  */
struct flt_result
flt_admission (struct flt_state *state, struct flt_request *request,
               clk_us now)
{
  struct flt_result wait = { .kind = FLT_WAIT, .u.wait = FLT_WAIT_SLOT };
  struct adm_event event;

  if (request->ticket.state == ADM_RUNNING)
    return flt_continue ();
  if (request->ticket.state == ADM_WAITING)
    return wait;
  request->ticket.importance = request->importance;
  request->ticket.cost = request->kind->cost;
  request->ticket.kind = request->kind->index;
  request->ticket.arrived = now;
  request->ticket.deadline = request->deadline;
  event = adm_submit (state->admission, &request->ticket, now);
  switch (event.kind)
    {
    case ADM_RUN:
      return flt_continue ();
    case ADM_QUEUED:
      return wait;
    case ADM_REFUSE:
      return flt_refuse (event.reason, RSN_NOT_RUN);
    case ADM_NOTHING:
      break;
    }
  INVARIANT (!"a submitted ticket runs, waits or is refused");
  return wait;
}
