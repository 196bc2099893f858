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

/* Characters of a key that could upset a terminal are replaced.  */
size_t
docreport_enter (struct docreport *report, const char *key)
{
  size_t before = report->path_len;
  size_t used;

  used = (size_t)snprintf (
      report->path + before, DOCREPORT_PATH_BYTES - before, "%s%.*s",
      before == 0 ? "" : ".", DOCREPORT_KEY_CHARS_MAX, key);
  INVARIANT (before + used < DOCREPORT_PATH_BYTES);
  report->path_len = before + used;
  for (char *c = report->path + before; *c != '\0'; c++)
    if (!isprint ((unsigned char)*c))
      *c = '?';
  return before;
}

size_t
docreport_enter_index (struct docreport *report, size_t index)
{
  size_t before = report->path_len;

  report->path_len += (size_t)snprintf (
      report->path + before, DOCREPORT_PATH_BYTES - before, "[%zu]", index);
  INVARIANT (report->path_len < DOCREPORT_PATH_BYTES);
  return before;
}

void
docreport_leave (struct docreport *report, size_t before)
{
  report->path_len = before;
  report->path[before] = '\0';
}
