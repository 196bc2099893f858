#include "programs/tool_buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

#define TBF_FIRST_BYTES 1024
#define TBF_TEXT_BYTES 2048

char *
tbf_grow (struct tbf *buf, size_t len)
{
  size_t need = buf->len + len;
  char *start;

  if (need > buf->cap)
    {
      size_t cap = buf->cap > 0 ? buf->cap : TBF_FIRST_BYTES;

      while (cap < need)
        cap *= 2;
      buf->data = realloc (buf->data, cap);
      INVARIANT (buf->data != NULL);
      buf->cap = cap;
    }
  start = buf->data + buf->len;
  buf->len = need;
  return start;
}

void
tbf_add (struct tbf *buf, const void *bytes, size_t len)
{
  if (len > 0)
    memcpy (tbf_grow (buf, len), bytes, len);
}

void
tbf_addf (struct tbf *buf, const char *format, ...)
{
  char text[TBF_TEXT_BYTES];
  va_list args;
  int len;

  va_start (args, format);
  len = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  INVARIANT (len >= 0 && (size_t)len < sizeof text);
  tbf_add (buf, text, (size_t)len);
}

void
tbf_clear (struct tbf *buf)
{
  buf->len = 0;
}

void
tbf_free (struct tbf *buf)
{
  free (buf->data);
  memset (buf, 0, sizeof *buf);
}
