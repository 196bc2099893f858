/* Parses HTTP messages that arrive in several reads.  The first byte of the
   input selects request or response, the second is the number of bytes per
   read, less one.  */
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

/* The name is given by libFuzzer.  */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const struct httpmsg_sink sink = { on_head, on_body, on_end, NULL };
  static const struct httpmsg_names names
      = { .name = { [HTTPMSG_HOST] = "Host" } };
  struct httpmsg_opts opts
      = { .names = &names, .sink = &sink, .max_header_bytes = 512 };
  struct httpmsg_parser parser;
  size_t read_len;
  uint8_t input[256];

  if (size < 2)
    return 0;
  opts.role = data[0] % 2 ? HTTPMSG_ANSWER : HTTPMSG_REQUEST;
  read_len = (size_t)data[1] + 1;
  httpmsg_init (&parser, &opts);
  for (size_t at = 2; at < size; at += read_len)
    {
      size_t len = size - at < read_len ? size - at : read_len;

      memcpy (input, data + at, len);
      if (httpmsg_feed (&parser, input, len) != 0)
        break;
    }
  httpmsg_feed_eof (&parser);
  httpmsg_fini (&parser);
  return 0;
}
