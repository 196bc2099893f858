#include <string.h>

#include "filters/chain.h"

/* Finds service and kind; the peer's MSG_OPEN is checked again here, because
   the two nodes may have different versions of the configuration in force. */
struct flt_result
flt_identify (struct flt_state *state, struct flt_request *request)
{
  if (request->model == NULL)
    request->model = mdl_ref (state->model);
  request->service = mdl_find_service (request->model, request->service_name);
  if (request->service == NULL)
    return flt_refuse (RSN_UNKNOWN_SERVICE, RSN_NOT_RUN);
  request->kind
      = mdl_find_kind (request->service, request->method, request->path);
  if (request->kind == NULL)
    return flt_refuse (RSN_UNKNOWN_KIND, RSN_NOT_RUN);
  return flt_continue ();
}

/* Rights of the request: those of its parent when a node issued them, those
   of its kind otherwise.  */
struct flt_result
flt_parent (struct flt_state *state, struct flt_request *request, clk_us now)
{
  struct hop *parent = NULL;

  request->importance = request->kind->importance;
  request->deadline = now + clk_ms (request->kind->timeout_ms);
  if (!request->has_hop)
    return flt_continue ();
  parent = hop_find (state->hops, request->hop_id);
  if (parent == NULL)
    return flt_continue ();
  if (parent->ended)
    return flt_refuse (RSN_PARENT_ENDED, RSN_NOT_RUN);
  if (parent->depth + 1 > FLT_DEPTH_MAX)
    return flt_refuse (RSN_CHAIN_TOO_DEEP, RSN_NOT_RUN);
  hop_hold (parent);
  request->parent = parent;
  request->importance = parent->importance;
  request->depth = parent->depth + 1;
  if (parent->deadline < request->deadline)
    request->deadline = parent->deadline;
  memcpy (request->chain_key, parent->chain_key, sizeof request->chain_key);
  return flt_continue ();
}
