#include "wire/record.h"

#include <msgpack.h>

#include "core/err.h"
#include "core/msg.h"
#include "wire/packio.h"
#include "wire/packscan.h"

#define RECORD_VERSION 1

int
record_encode (const struct record_answer *answer, uint8_t **out, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 5);
  msgpack_pack_uint32 (&packer, RECORD_VERSION);
  msgpack_pack_uint32 (&packer, (uint32_t)answer->status);
  packio_put_bool (&packer, answer->body_recorded);
  packio_put_http_fields (&packer, &answer->fields);
  packio_put_bytes (&packer, answer->body.data,
                    answer->body_recorded ? answer->body.len : 0);
  *len = buffer.size;
  *out = (uint8_t *)msgpack_sbuffer_release (&buffer);
  return *out != NULL ? SR_OK : SR_ENOMEM;
}

/* Reads the fields of the array; returns whether it is complete and valid.  */
static bool
record_get_fields (const msgpack_object *object, struct record_answer *answer)
{
  struct packio_reader reader;
  const msgpack_object *body;

  packio_reader_init (&reader, object);
  if (packio_get_u32 (&reader, UINT32_MAX) != RECORD_VERSION)
    return false;
  answer->status = (int)packio_get_u32 (&reader, 999);
  answer->body_recorded = packio_get_bool (&reader);
  packio_get_http_fields (&reader, &answer->fields);
  if (!packio_ok (&reader) || reader.next + 1 != reader.count)
    return false;
  body = &reader.fields[reader.next];
  if (body->type != MSGPACK_OBJECT_BIN)
    return false;
  buf_append (&answer->body, body->via.bin.ptr, body->via.bin.size);
  return true;
}

int
record_decode (const uint8_t *data, size_t len, struct record_answer *answer)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  bool ok;

  *answer = (struct record_answer){ 0 };
  list_init (&answer->fields);
  msgpack_unpacked_init (&unpacked);
  ok = packscan_complete (data, len)
       && msgpack_unpack_next (&unpacked, (const char *)data, len, &offset)
              == MSGPACK_UNPACK_SUCCESS
       && offset == len && record_get_fields (&unpacked.data, answer);
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    return SR_OK;
  record_free (answer);
  return SR_EMALFORMED;
}

void
record_free (struct record_answer *answer)
{
  msg_fields_free (&answer->fields);
  buf_free (&answer->body);
}
