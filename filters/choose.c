#include "core/err.h"
#include "filters/chain.h"

struct flt_result
flt_choose (struct flt_state *state, struct flt_request *request, clk_us now)
{
  struct flt_service *service
      = flt_find_service (state, request->service_name);
  struct chs_choice choice;

  if (service == NULL)
    return flt_refuse (RSN_NO_SERVER, RSN_NOT_RUN);
  request->query.importance = request->importance;
  request->query.cost = request->kind->cost;
  choice = chs_pick (service->servers, &request->query, &state->rng, now);
  switch (choice.kind)
    {
    case CHS_SERVER:
      request->server = choice.server;
      return flt_continue ();
    case CHS_SHED:
      return flt_refuse (RSN_UPSTREAM_SHED, RSN_NOT_RUN);
    case CHS_NONE:
      return flt_refuse (RSN_NO_SERVER, RSN_NOT_RUN);
    }
  INVARIANT (!"choice kind is known");
  return flt_continue ();
}
