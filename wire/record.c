#include "wire/record.h"

#include <msgpack.h>

#include "core/err.h"
#include "core/msg.h"
#include "wire/packio.h"
#include "wire/packscan.h"

#define RCD_VERSION 1

int
rcd_encode (const struct rcd_answer *answer, uint8_t **out, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 5);
  msgpack_pack_uint32 (&packer, RCD_VERSION);
  msgpack_pack_uint32 (&packer, (uint32_t)answer->status);
  pio_put_bool (&packer, answer->body_kept);
  pio_put_fields (&packer, &answer->fields);
  pio_put_bytes (&packer, answer->body.data,
                 answer->body_kept ? answer->body.len : 0);
  *len = buffer.size;
  *out = (uint8_t *)msgpack_sbuffer_release (&buffer);
  return *out != NULL ? SR_OK : SR_ENOMEM;
}

/* Reads the fields of the array; returns whether they are all there.  */
static bool
rcd_read (const msgpack_object *object, struct rcd_answer *answer)
{
  struct pio_reader reader;
  const msgpack_object *body;

  pio_open (&reader, object);
  if (pio_u32 (&reader, UINT32_MAX) != RCD_VERSION)
    return false;
  answer->status = (int)pio_u32 (&reader, 999);
  answer->body_kept = pio_bool (&reader);
  pio_fields (&reader, &answer->fields);
  if (!pio_ok (&reader) || reader.next + 1 != reader.count)
    return false;
  body = &reader.fields[reader.next];
  if (body->type != MSGPACK_OBJECT_BIN)
    return false;
  buf_append (&answer->body, body->via.bin.ptr, body->via.bin.size);
  return true;
}

int
rcd_decode (const uint8_t *data, size_t len, struct rcd_answer *answer)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  bool ok;

  *answer = (struct rcd_answer){ 0 };
  lst_init (&answer->fields);
  msgpack_unpacked_init (&unpacked);
  ok = psc_whole (data, len)
       && msgpack_unpack_next (&unpacked, (const char *)data, len, &offset)
              == MSGPACK_UNPACK_SUCCESS
       && offset == len && rcd_read (&unpacked.data, answer);
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    return SR_OK;
  rcd_free (answer);
  return SR_EMALFORMED;
}

void
rcd_free (struct rcd_answer *answer)
{
  msg_fields_free (&answer->fields);
  buf_free (&answer->body);
}
