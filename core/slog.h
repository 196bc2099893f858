#ifndef CORE_SLOG_H
#define CORE_SLOG_H

/**
 * DOC: slog - structured, rate-limited, non-blocking log on standard output
 *
 * A line is a record of key=value pairs: time (seconds since the epoch),
 * severity (the names of syslog), program, node, msg, and the pairs of the
 * caller.  Values with spaces are in quotes.
 *
 * Logging never blocks.  A line is dropped when standard output cannot accept
 * it at once, or when its format string has reached its number of lines in
 * this second; the number of dropped lines is logged.  The rate is limited by
 * format string, so that a flood of one message does not suppress another.
 */

#include <stdint.h>

enum slog_severity
{
  SLOG_CRIT = 2,
  SLOG_ERR = 3,
  SLOG_WARNING = 4,
  SLOG_NOTICE = 5,
  SLOG_INFO = 6,
  SLOG_DEBUG = 7,
};

/* Sets the program name, and the highest severity number that is logged.  */
void slog_init (const char *program, enum slog_severity max);

/* Returns the severity called NAME, or -1 when there is none.  */
int slog_severity_from_name (const char *name);

/* Sets the highest severity number that is logged.  */
void slog_set_severity_max (enum slog_severity max);

/* Sets the node name of all lines.  */
void slog_set_node (const char *node);

/* Sets the descriptor that is written to; for tests.  */
void slog_set_fd (int fd);

/* Logs a line.  FORMAT is a message without "=", then key=value pairs.  */
void slog (enum slog_severity severity, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Returns the number of lines dropped since the start of the process.  */
uint64_t slog_dropped_count (void);

#endif
