#include <string.h>

#include "core/digest.h"
#include "filters/filter.h"

uint64_t
filter_fingerprint (const struct filter_request *request)
{
  struct digest_part parts[] = {
    { request->caller, strlen (request->caller) },
    { request->service_name, strlen (request->service_name) },
    { request->method, strlen (request->method) },
    { request->path, strlen (request->path) },
    { &request->body_hash, sizeof request->body_hash },
  };

  return digest_64 (parts, sizeof parts / sizeof parts[0]);
}

struct filter_result
filter_quarantine (struct filter_state *state, struct filter_request *request,
                   clk_us now)
{
  if (request->fingerprint == 0)
    request->fingerprint = filter_fingerprint (request);
  if (quarantine_is_blocked (state->quarantine, request->fingerprint, now))
    return filter_refuse (REASON_QUARANTINED, REASON_NOT_RUN);
  return filter_continue ();
}

/* Requests that were in flight when a server was lost run one at a time at a
   server.  Otherwise a harmless one could be in flight with the one that
   crashes servers a second time, and both would be quarantined.  */
struct filter_result
filter_suspect (struct filter_state *state, struct filter_request *request,
                clk_us now)
{
  if (request->suspect_counted)
    return filter_continue ();
  if (!request->suspect
      && !quarantine_is_suspect (state->quarantine, request->fingerprint, now))
    return filter_continue ();
  if (state->suspects_running > 0)
    return filter_refuse (REASON_SUSPECT_RUNNING, REASON_NOT_RUN);
  state->suspects_running++;
  request->suspect_counted = true;
  return filter_continue ();
}
