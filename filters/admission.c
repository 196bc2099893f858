#include "core/err.h"
#include "filters/filter.h"

/* Counts the request for its caller; refuses it when the caller holds its
   share already.  */
struct filter_result
filter_caller_share (struct filter_state *state,
                     struct filter_request *request)
{
  if (request->caller_counted)
    return filter_continue ();
  request->caller_counted = share_acquire (
      state->caller_shares, filter_caller_hash (request), request->importance,
      slots_waiting_importance_min (state->slots));
  return request->caller_counted
             ? filter_continue ()
             : filter_refuse (REASON_CALLER_SHARE, REASON_NOT_RUN);
}

/* Requests a slot.  For a queued ticket, the front task calls
   filter_run_chain() again once slots_next() has reported that it runs.  */
struct filter_result
filter_admission (struct filter_state *state, struct filter_request *request,
                  clk_us now)
{
  struct filter_result waiting
      = { .kind = FILTER_WAIT, .u.wait = FILTER_WAIT_SLOT };
  struct slots_event event;

  if (request->ticket.state == SLOTS_RUNNING)
    return filter_continue ();
  if (request->ticket.state == SLOTS_WAITING)
    return waiting;
  request->ticket.importance = request->importance;
  request->ticket.cost = request->kind->cost;
  request->ticket.kind = request->kind->index;
  request->ticket.arrived = now;
  request->ticket.deadline = request->deadline;
  event = slots_submit (state->slots, &request->ticket, now);
  switch (event.kind)
    {
    case SLOTS_RUN:
      return filter_continue ();
    case SLOTS_QUEUED:
      return waiting;
    case SLOTS_REFUSE:
      return filter_refuse (event.reason, REASON_NOT_RUN);
    case SLOTS_NOTHING:
      break;
    }
  INVARIANT (!"a submitted ticket runs, waits or is refused");
  return waiting;
}
