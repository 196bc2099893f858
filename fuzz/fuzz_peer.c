/* Decodes data that other nodes send: peer messages, Raft messages or recorded
   responses, selected by the first byte of the input.  */

#include <stddef.h>
#include <stdint.h>

#include "core/err.h"
#include "core/raftmsg.h"
#include "wire/pack.h"
#include "wire/record.h"
#include "wire/raftpack.h"

/* The first two bytes are the length of the header frame.  */
static void
fuzz_message (const uint8_t *data, size_t size)
{
  struct msg *msg = NULL;
  size_t header_len;

  if (size < 2)
    return;
  header_len = (size_t)(data[0] << 8 | data[1]);
  data += 2;
  size -= 2;
  if (header_len > size)
    header_len = size;
  if (pack_decode (data, header_len, data + header_len, size - header_len,
                   &msg)
      != SR_OK)
    return;
  struct pack_frames frames;

  if (pack_encode (msg, &frames) == SR_OK)
    pack_frames_free (&frames);
  msg_free (msg);
}

static void
fuzz_raft_message (const uint8_t *data, size_t size)
{
  struct raft_msg *msg = NULL;

  if (raftpack_decode_msg (data, size, &msg) == SR_OK)
    raft_msg_free (msg);
}

static void
fuzz_record (const uint8_t *data, size_t size)
{
  struct record_answer answer;

  if (record_decode (data, size, &answer) == SR_OK)
    record_free (&answer);
}

/* The name is given by libFuzzer.  */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  switch (data[0] % 3)
    {
    case 0:
      fuzz_message (data + 1, size - 1);
      break;
    case 1:
      fuzz_raft_message (data + 1, size - 1);
      break;
    default:
      fuzz_record (data + 1, size - 1);
      break;
    }
  return 0;
}
