#include <string.h>

#include "filters/filter.h"

/* Finds service and request kind.  A MSG_OPEN of a peer is checked again,
   because the two nodes may have different configuration versions.  */
struct filter_result
filter_identify (struct filter_state *state, struct filter_request *request)
{
  if (request->model == NULL)
    request->model = model_ref (state->model);
  request->service
      = model_find_service (request->model, request->service_name);
  if (request->service == NULL)
    return filter_refuse (REASON_UNKNOWN_SERVICE, REASON_NOT_RUN);
  request->kind
      = model_find_kind (request->service, request->method, request->path);
  if (request->kind == NULL)
    return filter_refuse (REASON_UNKNOWN_KIND, REASON_NOT_RUN);
  return filter_continue ();
}

/* Sets importance, deadline, depth and chain key: from the parent when this
   node has issued its hop id, otherwise from the request kind.  A child call
   has at most the deadline of its parent.  */
struct filter_result
filter_parent (struct filter_state *state, struct filter_request *request,
               clk_us now)
{
  struct hop *parent = NULL;

  request->importance = request->kind->importance;
  request->deadline = now + clk_ms (request->kind->timeout_ms);
  if (!request->has_hop)
    return filter_continue ();
  parent = hop_find (state->hops, request->hop_id);
  if (parent == NULL)
    return filter_continue ();
  if (parent->ended)
    return filter_refuse (REASON_PARENT_ENDED, REASON_NOT_RUN);
  if (parent->depth + 1 > FILTER_DEPTH_MAX)
    return filter_refuse (REASON_CHAIN_TOO_DEEP, REASON_NOT_RUN);
  hop_ref (parent);
  request->parent = parent;
  request->importance = parent->importance;
  request->depth = parent->depth + 1;
  if (parent->deadline < request->deadline)
    request->deadline = parent->deadline;
  memcpy (request->chain_key, parent->chain_key, sizeof request->chain_key);
  return filter_continue ();
}
