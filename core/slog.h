#ifndef CORE_SLOG_H
#define CORE_SLOG_H

/**
 * DOC: slog - structured log lines on standard output
 *
 * A line is a record of key=value pairs: time (seconds since the epoch),
 * severity (the names of syslog), program, node, msg, and the pairs of the
 * caller.
 * Values with spaces are in quotes.
 *
 * Logging never waits.  A line that standard output does not take at once is
 * left out, and so are lines of one kind beyond a number a second; a line
 * tells how many.  Kinds are counted apart, so that a flood of one does not
 * hide another.
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

/* Names the program and sets the highest severity number that is written. */
void slog_init (const char *program, enum slog_severity most);

/* Severity called NAME, as in the lines; -1 when there is none.  */
int slog_severity_from_name (const char *name);

/* Changes the highest severity number that is written.  */
void slog_set_severity_max (enum slog_severity most);

/* Names the node in every line.  */
void slog_set_node (const char *node);

/* Writes to another descriptor, for tests; 1 at first.  */
void slog_set_fd (int fd);

/* FORMAT is a message of words, followed by key=value pairs.  */
void slog (enum slog_severity severity, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Lines left out since the start.  */
uint64_t slog_dropped_count (void);

#endif
