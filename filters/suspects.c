#include "filters/suspects.h"

#include <string.h>

#include "core/digest.h"

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
