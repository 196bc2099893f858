#include "core/err.h"
#include "filters/filter.h"

struct filter_result
filter_choose (struct filter_state *state, struct filter_request *request,
               clk_us now)
{
  struct filter_service *service
      = filter_find_service (state, request->service_name);
  struct lb_choice choice;

  if (service == NULL)
    return filter_refuse (REASON_NO_SERVER, REASON_NOT_RUN);
  request->query.importance = request->importance;
  request->query.cost = request->kind->cost;
  choice = lb_pick (service->servers, &request->query, &state->rng, now);
  switch (choice.kind)
    {
    case LB_SERVER:
      request->server = choice.server;
      return filter_continue ();
    case LB_SHED:
      return filter_refuse (REASON_UPSTREAM_SHED, REASON_NOT_RUN);
    case LB_NONE:
      return filter_refuse (REASON_NO_SERVER, REASON_NOT_RUN);
    }
  INVARIANT (!"choice kind is known");
  return filter_continue ();
}
