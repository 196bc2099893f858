/* HTTP messages, in pieces: the first byte chooses the role, the second the
   length of the pieces.  */
#include <string.h>

#include "wire/httpmsg.h"

static int
on_head (void *arg, struct httpmsg_head *head)
{
  (void)arg;
  (void)head;
  return 0;
}

static int
on_body (void *arg, const uint8_t *data, size_t len)
{
  (void)arg;
  (void)data;
  (void)len;
  return 0;
}

static int
on_end (void *arg)
{
  (void)arg;
  return 0;
}

/* libFuzzer fixes the name.  NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const struct httpmsg_sink sink = { on_head, on_body, on_end };
  static const struct httpmsg_names names
      = { .name = { [HTTPMSG_HOST] = "Host" } };
  struct httpmsg_opts opts
      = { .names = &names, .sink = &sink, .max_header_bytes = 512 };
  struct httpmsg_parser parser;
  size_t step;
  uint8_t piece[256];

  if (size < 2)
    return 0;
  opts.role = data[0] % 2 ? HTTPMSG_ANSWER : HTTPMSG_REQUEST;
  step = (size_t)data[1] + 1;
  httpmsg_init (&parser, &opts);
  for (size_t at = 2; at < size; at += step)
    {
      size_t len = size - at < step ? size - at : step;

      memcpy (piece, data + at, len);
      if (httpmsg_feed (&parser, piece, len) != 0)
        break;
    }
  httpmsg_feed_eof (&parser);
  httpmsg_fini (&parser);
  return 0;
}
