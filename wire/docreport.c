#include "wire/docreport.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>

#include "core/err.h"

#define DOCREPORT_TEXT_BYTES 512
#define DOCREPORT_KEY_CHARS_MAX 64

void
docreport_fault (struct docreport *report, const char *format, ...)
{
  char text[DOCREPORT_TEXT_BYTES];
  const char *path = report->path_len == 0 ? "document" : report->path;
  va_list args;

  report->faults++;
  if (report->fault == NULL)
    return;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  report->fault (report->arg, path, text);
}

/* Non-printable characters of a key are replaced: they could change the state
   of a terminal.  */
size_t
docreport_enter (struct docreport *report, const char *key)
{
  size_t before_len = report->path_len;
  size_t added_len;

  added_len = (size_t)snprintf (
      report->path + before_len, DOCREPORT_PATH_BYTES - before_len, "%s%.*s",
      before_len == 0 ? "" : ".", DOCREPORT_KEY_CHARS_MAX, key);
  INVARIANT (before_len + added_len < DOCREPORT_PATH_BYTES);
  report->path_len = before_len + added_len;
  for (char *c = report->path + before_len; *c != '\0'; c++)
    if (!isprint ((unsigned char)*c))
      *c = '?';
  return before_len;
}

size_t
docreport_enter_index (struct docreport *report, size_t index)
{
  size_t before_len = report->path_len;

  report->path_len
      += (size_t)snprintf (report->path + before_len,
                           DOCREPORT_PATH_BYTES - before_len, "[%zu]", index);
  INVARIANT (report->path_len < DOCREPORT_PATH_BYTES);
  return before_len;
}

void
docreport_leave (struct docreport *report, size_t before_len)
{
  report->path_len = before_len;
  report->path[before_len] = '\0';
}
