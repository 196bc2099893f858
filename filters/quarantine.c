#include "filters/quarantine.h"

#include <string.h>

#include "core/digest.h"
#include "filters/filter.h"

uint64_t
suspects_fingerprint (const struct suspects_identity *identity)
{
  struct digest_part parts[] = {
    { identity->caller, strlen (identity->caller) },
    { identity->target, strlen (identity->target) },
    { identity->method, strlen (identity->method) },
    { identity->path, strlen (identity->path) },
    { &identity->body_hash, sizeof identity->body_hash },
  };

  return digest_64 (parts, sizeof parts / sizeof parts[0]);
}

enum reason_refusal
suspects_check (const struct suspects *suspects, uint64_t fingerprint,
                clk_us now)
{
  return quarantine_is_blocked (suspects->marks, fingerprint, now)
             ? REASON_QUARANTINED
             : REASON_NONE;
}

enum reason_refusal
suspects_enter (struct suspects *suspects, uint64_t fingerprint,
                bool is_suspect, bool *counted, clk_us now)
{
  if (*counted)
    return REASON_NONE;
  if (!is_suspect
      && !quarantine_is_suspect (suspects->marks, fingerprint, now))
    return REASON_NONE;
  if (suspects->running > 0)
    return REASON_SUSPECT_RUNNING;
  suspects->running++;
  *counted = true;
  return REASON_NONE;
}

void
suspects_leave (struct suspects *suspects, bool *counted)
{
  if (*counted)
    suspects->running--;
  *counted = false;
}

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
