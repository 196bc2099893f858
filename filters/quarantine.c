#include "filters/filter.h"

uint64_t
filter_fingerprint (const struct filter_request *request)
{
  struct suspects_identity identity = { .caller = request->caller,
                                        .target = request->service_name,
                                        .method = request->method,
                                        .path = request->path,
                                        .body_hash = request->body_hash };

  return suspects_fingerprint (&identity);
}

/* Continues unless there is a reason to refuse.  */
static struct filter_result
filter_unless (enum reason_refusal reason)
{
  return reason == REASON_NONE ? filter_continue ()
                               : filter_refuse (reason, REASON_NOT_RUN);
}

struct filter_result
filter_quarantine (struct filter_state *state, struct filter_request *request,
                   clk_us now)
{
  if (request->fingerprint == 0)
    request->fingerprint = filter_fingerprint (request);
  return filter_unless (
      suspects_check (&state->suspects, request->fingerprint, now));
}

struct filter_result
filter_suspect (struct filter_state *state, struct filter_request *request,
                clk_us now)
{
  return filter_unless (suspects_enter (&state->suspects, request->fingerprint,
                                        request->suspect,
                                        &request->suspect_counted, now));
}
