#include "core/slog.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "core/clk.h"

/* Less than PIPE_BUF, so that a write to a pipe is atomic.  */
#define SLOG_LINE_BYTES 1024
#define SLOG_TEXT_BYTES 800
/* Limit for each format string; about what a reader can follow.  */
#define SLOG_LINES_PER_S 40u
/* Format strings with their own limit; further ones share the last entry.  */
#define SLOG_FORMATS_MAX 128u

/* Lines logged with one format string in the current second.  */
struct slog_rate
{
  const char *format;
  uint64_t second;
  uint32_t lines;
};

static const char *slog_program = "sycamorerudder";
static enum slog_severity slog_severity_max = SLOG_INFO;
static char slog_node[64] = "-";
static int slog_fd = STDOUT_FILENO;
static pthread_mutex_t slog_lock = PTHREAD_MUTEX_INITIALIZER;
static struct slog_rate slog_rates[SLOG_FORMATS_MAX];
static uint64_t slog_dropped;          /* since the start */
static uint64_t slog_dropped_reported; /* part of it that has been logged */
static uint64_t slog_report_second;    /* second of that log line */

static const char *const slog_severity_names[] = {
  "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"
};

void
slog_init (const char *program, enum slog_severity max)
{
  slog_program = program;
  slog_severity_max = max;
}

int
slog_severity_from_name (const char *name)
{
  for (int i = SLOG_CRIT; i <= SLOG_DEBUG; i++)
    if (strcmp (slog_severity_names[i], name) == 0)
      return i;
  return -1;
}

void
slog_set_severity_max (enum slog_severity max)
{
  slog_severity_max = max;
}

void
slog_set_node (const char *node)
{
  snprintf (slog_node, sizeof slog_node, "%s", node);
}

void
slog_set_fd (int fd)
{
  slog_fd = fd;
}

uint64_t
slog_dropped_count (void)
{
  return slog_dropped;
}

/* Counts a line with FORMAT; returns whether it is within the limit.  */
static bool
slog_rate_allows (const char *format, uint64_t second)
{
  struct slog_rate *rate = NULL;

  for (uint32_t i = 0; i < SLOG_FORMATS_MAX; i++)
    {
      rate = &slog_rates[i];
      if (rate->format == format || rate->format == NULL)
        break;
    }
  rate->format = format;
  if (rate->second != second)
    {
      rate->second = second;
      rate->lines = 0;
    }
  return rate->lines++ < SLOG_LINES_PER_S;
}

/* Writes a line when that does not block; false when it is dropped.  */
static bool
slog_try_write (const char *line, size_t len)
{
  struct pollfd poll_fd = { .fd = slog_fd, .events = POLLOUT };

  if (poll (&poll_fd, 1, 0) != 1 || (poll_fd.revents & POLLOUT) == 0)
    return false;
  return write (slog_fd, line, len) == (ssize_t)len;
}

/* Returns the length of the message before the first key=value pair.  */
static size_t
slog_message_len (const char *text)
{
  const char *equals = strchr (text, '=');
  const char *at = equals;

  if (equals == NULL)
    return strlen (text);
  while (at > text && at[-1] != ' ')
    at--;
  return at > text ? (size_t)(at - text - 1) : 0;
}

/* Formats and writes one line; truncates TEXT when the line is too long.  */
static void
slog_write_line (enum slog_severity severity, const char *text)
{
  char line[SLOG_LINE_BYTES];
  struct timespec wall_time;
  size_t message_len = slog_message_len (text);
  int len;

  clock_gettime (CLOCK_REALTIME, &wall_time);
  len = snprintf (
      line, sizeof line,
      "time=%lld.%03ld severity=%s program=%s node=%s msg=\"%.*s\"%s\n",
      (long long)wall_time.tv_sec, wall_time.tv_nsec / 1000000,
      slog_severity_names[severity], slog_program, slog_node, (int)message_len,
      text, text + message_len);
  if (len >= (int)sizeof line)
    {
      len = sizeof line - 1;
      line[len - 1] = '\n';
    }
  if (!slog_try_write (line, (size_t)len))
    slog_dropped++;
}

/* Logs, at most once a second, how many lines were dropped.  */
static void
slog_report_dropped (uint64_t second)
{
  char text[96];

  if (slog_dropped == slog_dropped_reported || second == slog_report_second)
    return;
  snprintf (text, sizeof text, "log lines left out count=%llu",
            (unsigned long long)(slog_dropped - slog_dropped_reported));
  slog_dropped_reported = slog_dropped;
  slog_report_second = second;
  slog_write_line (SLOG_WARNING, text);
}

void
slog (enum slog_severity severity, const char *format, ...)
{
  char text[SLOG_TEXT_BYTES];
  uint64_t second = clk_now () / CLK_US_PER_S;
  va_list args;

  if (severity > slog_severity_max)
    return;
  pthread_mutex_lock (&slog_lock);
  if (slog_rate_allows (format, second))
    {
      va_start (args, format);
      vsnprintf (text, sizeof text, format, args);
      va_end (args);
      slog_report_dropped (second);
      slog_write_line (severity, text);
    }
  else
    slog_dropped++;
  pthread_mutex_unlock (&slog_lock);
}
