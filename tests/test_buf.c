#include <stdlib.h>
#include <string.h>

#include "core/buf.h"
#include "tests/suite.h"

#define BODY_BYTES (1024 * 1024)
#define READ_BYTES 4096

/* Guards against memory of a long body that is kept after its bytes have been
   passed on, and against bytes that are lost when it is given back.  */
static void
test_memory_is_given_back (void)
{
  struct buf buf = { 0 };
  uint8_t bytes[READ_BYTES];
  const uint8_t *data;
  size_t len;

  for (size_t sent = 0; sent < BODY_BYTES; sent += sizeof bytes)
    {
      memset (bytes, (int)(sent / sizeof bytes), sizeof bytes);
      buf_append (&buf, bytes, sizeof bytes);
    }
  CU_ASSERT_TRUE (buf.capacity >= BODY_BYTES);
  buf_drop_before (&buf, BODY_BYTES - sizeof bytes);
  CU_ASSERT_TRUE (buf.capacity <= BODY_BYTES / 8);
  CU_ASSERT_EQUAL (buf_end (&buf), BODY_BYTES);
  data = buf_data_from (&buf, BODY_BYTES - sizeof bytes, &len);
  CU_ASSERT_EQUAL_FATAL (len, sizeof bytes);
  CU_ASSERT_EQUAL (memcmp (data, bytes, len), 0);
  buf_append (&buf, bytes, sizeof bytes);
  CU_ASSERT_EQUAL (buf_end (&buf), BODY_BYTES + sizeof bytes);
  buf_free (&buf);
}

/* Guards against memory that is taken and given back with each message.  */
static void
test_short_buffers_keep_memory (void)
{
  struct buf buf = { 0 };
  uint8_t bytes[READ_BYTES] = { 0 };
  uint8_t *data;

  buf_append (&buf, bytes, sizeof bytes);
  data = buf.data;
  buf_drop_before (&buf, sizeof bytes);
  buf_append (&buf, bytes, sizeof bytes);
  CU_ASSERT_PTR_EQUAL (buf.data, data);
  buf_free (&buf);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "memory is given back", test_memory_is_given_back },
          { "short buffers keep memory", test_short_buffers_keep_memory },
          { NULL, NULL } };

  return suite_run ("buf", tests);
}
