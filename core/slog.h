#ifndef CORE_SLOG_H
#define CORE_SLOG_H

/**
 * DOC: slog - syslog style lines on standard error
 *
 * A line is "<severity>program: message key=value ...".
 */

enum slog_severity
{
  SLOG_CRIT = 2,
  SLOG_ERR = 3,
  SLOG_WARNING = 4,
  SLOG_NOTICE = 5,
  SLOG_INFO = 6,
  SLOG_DEBUG = 7,
};

/* Names the program and sets the highest severity number that is written. */
void slog_open (const char *program, enum slog_severity most);

void slog (enum slog_severity severity, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
