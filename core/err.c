#include "core/err.h"

#include <stdlib.h>

#include "core/slog.h"

static const char *const err_texts[] = {
  [-SR_OK] = "success",
  [-SR_ENOMEM] = "out of memory",
  [-SR_EINVAL] = "value not allowed",
  [-SR_EMALFORMED] = "malformed input",
  [-SR_EVERSION] = "unknown version",
  [-SR_EIO] = "input/output error",
  [-SR_EDAMAGED] = "checksum mismatch",
  [-SR_EFULL] = "full",
  [-SR_ENOENT] = "not found",
  [-SR_EEXIST] = "name in use",
  [-SR_ECONFLICT] = "conflict with the version in force",
  [-SR_ENOTLEADER] = "not the leader",
  [-SR_EAGAIN] = "would block",
  [-SR_EPERM] = "not permitted",
};

const char *
sr_strerror (int error)
{
  size_t count = sizeof err_texts / sizeof err_texts[0];

  if (error > 0 || (size_t)-error >= count)
    return "unknown error";
  return err_texts[-error];
}

_Noreturn void
err_invariant_failed (const char *condition, const char *file, int line)
{
  slog (SLOG_CRIT, "invariant broken condition=\"%s\" file=%s line=%d",
        condition, file, line);
  abort ();
}
