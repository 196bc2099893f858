#include <string.h>

#include "core/digest.h"
#include "filters/chain.h"

uint64_t
flt_fingerprint (const struct flt_request *request)
{
  struct dig_part parts[] = {
    { request->caller, strlen (request->caller) },
    { request->service_name, strlen (request->service_name) },
    { request->method, strlen (request->method) },
    { request->path, strlen (request->path) },
    { &request->body_hash, sizeof request->body_hash },
  };

  return dig_64 (parts, sizeof parts / sizeof parts[0]);
}

struct flt_result
flt_quarantine (struct flt_state *state, struct flt_request *request,
                clk_us now)
{
  if (request->fingerprint == 0)
    request->fingerprint = flt_fingerprint (request);
  if (qrt_blocked (state->marks, request->fingerprint, now))
    return flt_refuse (RSN_QUARANTINED, RSN_NOT_RUN);
  return flt_continue ();
}

/* Requests that were in flight when a server was lost run one at a time at a
   server.  Otherwise an innocent one could meet the one that crashes servers a
   second time, and both would be stopped.  */
struct flt_result
flt_suspect (struct flt_state *state, struct flt_request *request, clk_us now)
{
  if (request->isolated)
    return flt_continue ();
  if (!request->suspect
      && !qrt_suspected (state->marks, request->fingerprint, now))
    return flt_continue ();
  if (state->suspects_running > 0)
    return flt_refuse (RSN_SUSPECT_RUNNING, RSN_NOT_RUN);
  state->suspects_running++;
  request->isolated = true;
  return flt_continue ();
}
