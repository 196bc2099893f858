#include "programs/tool_buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

#define TOOL_BUF_INITIAL_BYTES 1024
#define TOOL_BUF_TEXT_BYTES 2048

char *
tool_buf_grow (struct tool_buf *buf, size_t len)
{
  size_t need = buf->len + len;
  char *start;

  if (need > buf->capacity)
    {
      size_t cap = buf->capacity > 0 ? buf->capacity : TOOL_BUF_INITIAL_BYTES;

      while (cap < need)
        cap *= 2;
      buf->data = realloc (buf->data, cap);
      INVARIANT (buf->data != NULL);
      buf->capacity = cap;
    }
  start = buf->data + buf->len;
  buf->len = need;
  return start;
}

void
tool_buf_add (struct tool_buf *buf, const void *bytes, size_t len)
{
  if (len > 0)
    memcpy (tool_buf_grow (buf, len), bytes, len);
}

void
tool_buf_addf (struct tool_buf *buf, const char *format, ...)
{
  char text[TOOL_BUF_TEXT_BYTES];
  va_list args;
  int len;

  va_start (args, format);
  len = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  INVARIANT (len >= 0 && (size_t)len < sizeof text);
  tool_buf_add (buf, text, (size_t)len);
}

void
tool_buf_clear (struct tool_buf *buf)
{
  buf->len = 0;
}

void
tool_buf_free (struct tool_buf *buf)
{
  free (buf->data);
  memset (buf, 0, sizeof *buf);
}
