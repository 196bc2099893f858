#include <stdio.h>
#include <string.h>

#include "wire/httpmsg.h"

static void
hm_text (struct buf *out, const char *text)
{
  buf_append (out, text, strlen (text));
}

void
hm_add (struct buf *out, const char *name, const char *value)
{
  hm_text (out, name);
  hm_text (out, ": ");
  hm_text (out, value);
  hm_text (out, "\r\n");
}

void
hm_add_number (struct buf *out, const char *name, long long value)
{
  char text[32];

  snprintf (text, sizeof text, "%lld", value);
  hm_add (out, name, text);
}

void
hm_request_line (struct buf *out, const char *method, const char *target)
{
  hm_text (out, method);
  hm_text (out, " ");
  hm_text (out, target);
  hm_text (out, " HTTP/1.1\r\n");
}

const char *
hm_reason (int status)
{
  switch (status)
    {
#define HM_X(number, name, text)                                              \
  case number:                                                                \
    return #text;
      HTTP_STATUS_MAP (HM_X)
#undef HM_X
    default:
      return "Unknown";
    }
}

void
hm_status_line (struct buf *out, int status)
{
  char line[96];

  snprintf (line, sizeof line, "HTTP/1.1 %d %s\r\n", status,
            hm_reason (status));
  hm_text (out, line);
}

void
hm_end_head (struct buf *out, int64_t len)
{
  if (len >= 0)
    hm_add_number (out, "Content-Length", len);
  else
    hm_add (out, "Transfer-Encoding", "chunked");
  hm_text (out, "\r\n");
}

void
hm_body (struct buf *out, bool chunked, const uint8_t *data, size_t len)
{
  char size[24];

  if (len == 0)
    return;
  if (!chunked)
    {
      buf_append (out, data, len);
      return;
    }
  snprintf (size, sizeof size, "%zx\r\n", len);
  hm_text (out, size);
  buf_append (out, data, len);
  hm_text (out, "\r\n");
}

void
hm_body_end (struct buf *out, bool chunked)
{
  if (chunked)
    hm_text (out, "0\r\n\r\n");
}
