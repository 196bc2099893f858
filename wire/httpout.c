#include <stdio.h>
#include <string.h>

#include "wire/httpmsg.h"

static void
httpmsg_append_text (struct buf *out, const char *text)
{
  buf_append (out, text, strlen (text));
}

void
httpmsg_add_field (struct buf *out, const char *name, const char *value)
{
  httpmsg_append_text (out, name);
  httpmsg_append_text (out, ": ");
  httpmsg_append_text (out, value);
  httpmsg_append_text (out, "\r\n");
}

void
httpmsg_add_number_field (struct buf *out, const char *name, long long value)
{
  char text[32];

  snprintf (text, sizeof text, "%lld", value);
  httpmsg_add_field (out, name, text);
}

void
httpmsg_add_request_line (struct buf *out, const char *method,
                          const char *target)
{
  httpmsg_append_text (out, method);
  httpmsg_append_text (out, " ");
  httpmsg_append_text (out, target);
  httpmsg_append_text (out, " HTTP/1.1\r\n");
}

const char *
httpmsg_reason_phrase (int status)
{
  switch (status)
    {
#define HTTPMSG_X(number, name, text)                                         \
  case number:                                                                \
    return #text;
      HTTP_STATUS_MAP (HTTPMSG_X)
#undef HTTPMSG_X
    default:
      return "Unknown";
    }
}

void
httpmsg_add_status_line (struct buf *out, int status)
{
  char line[96];

  snprintf (line, sizeof line, "HTTP/1.1 %d %s\r\n", status,
            httpmsg_reason_phrase (status));
  httpmsg_append_text (out, line);
}

void
httpmsg_end_head (struct buf *out, int64_t len)
{
  if (len >= 0)
    httpmsg_add_number_field (out, "Content-Length", len);
  else
    httpmsg_add_field (out, "Transfer-Encoding", "chunked");
  httpmsg_append_text (out, "\r\n");
}

void
httpmsg_add_body (struct buf *out, bool chunked, const uint8_t *data,
                  size_t len)
{
  char size_line[24];

  if (len == 0)
    return;
  if (!chunked)
    {
      buf_append (out, data, len);
      return;
    }
  snprintf (size_line, sizeof size_line, "%zx\r\n", len);
  httpmsg_append_text (out, size_line);
  buf_append (out, data, len);
  httpmsg_append_text (out, "\r\n");
}

void
httpmsg_add_body_end (struct buf *out, bool chunked)
{
  if (chunked)
    httpmsg_append_text (out, "0\r\n\r\n");
}
