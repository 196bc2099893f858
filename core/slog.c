#include "core/slog.h"

#include <stdarg.h>
#include <stdio.h>

#define SLOG_LINE_BYTES 1024

static const char *slog_program = "sycamorerudder";
static enum slog_severity slog_most = SLOG_INFO;

void
slog_open (const char *program, enum slog_severity most)
{
  slog_program = program;
  slog_most = most;
}

void
slog (enum slog_severity severity, const char *format, ...)
{
  char line[SLOG_LINE_BYTES];
  va_list args;

  if (severity > slog_most)
    return;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  fprintf (stderr, "<%d>%s: %s\n", (int)severity, slog_program, line);
}
