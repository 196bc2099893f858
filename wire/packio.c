#include "wire/packio.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/msg.h"

#define PACKIO_HTTP_FIELDS_MAX 64
#define PACKIO_HTTP_FIELD_BYTES_MAX (16 * 1024)

void
packio_reader_init (struct packio_reader *reader, const msgpack_object *object)
{
  *reader = (struct packio_reader){ 0 };
  if (object == NULL || object->type != MSGPACK_OBJECT_ARRAY)
    {
      reader->failed = true;
      return;
    }
  reader->fields = object->via.array.ptr;
  reader->count = object->via.array.size;
}

bool
packio_ok (const struct packio_reader *reader)
{
  return !reader->failed;
}

/* Next field; NULL and a failed reader when it does not have TYPE.  */
static const msgpack_object *
packio_next_field (struct packio_reader *reader, msgpack_object_type type)
{
  const msgpack_object *field;

  if (reader->failed || reader->next >= reader->count)
    {
      reader->failed = true;
      return NULL;
    }
  field = &reader->fields[reader->next++];
  if (field->type != type)
    {
      reader->failed = true;
      return NULL;
    }
  return field;
}

uint64_t
packio_get_u64 (struct packio_reader *reader)
{
  const msgpack_object *field
      = packio_next_field (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return field == NULL ? 0 : field->via.u64;
}

uint32_t
packio_get_u32 (struct packio_reader *reader, uint32_t max)
{
  uint64_t value = packio_get_u64 (reader);

  if (value > max)
    {
      reader->failed = true;
      return 0;
    }
  return (uint32_t)value;
}

int64_t
packio_get_i64 (struct packio_reader *reader)
{
  if (!reader->failed && reader->next < reader->count
      && reader->fields[reader->next].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return reader->fields[reader->next++].via.i64;
  return (int64_t)packio_get_u64 (reader);
}

bool
packio_get_bool (struct packio_reader *reader)
{
  const msgpack_object *field
      = packio_next_field (reader, MSGPACK_OBJECT_BOOLEAN);

  return field != NULL && field->via.boolean;
}

/* Next text field without NUL bytes of at most MAX_LEN bytes, else NULL and a
   failed reader.  */
static const msgpack_object *
packio_next_text (struct packio_reader *reader, size_t max_len)
{
  const msgpack_object *field = packio_next_field (reader, MSGPACK_OBJECT_STR);

  if (field == NULL)
    return NULL;
  /* msgpack-c may set the pointer of an empty text to NULL.  */
  if (field->via.str.size > max_len
      || (field->via.str.size > 0
          && memchr (field->via.str.ptr, '\0', field->via.str.size) != NULL))
    {
      reader->failed = true;
      return NULL;
    }
  return field;
}

void
packio_get_text (struct packio_reader *reader, char *out, size_t size)
{
  const msgpack_object *field = packio_next_text (reader, size - 1);

  out[0] = '\0';
  if (field == NULL)
    return;
  if (field->via.str.size > 0)
    memcpy (out, field->via.str.ptr, field->via.str.size);
  out[field->via.str.size] = '\0';
}

char *
packio_get_new_text (struct packio_reader *reader, size_t max_len)
{
  const msgpack_object *field = packio_next_text (reader, max_len);
  char *text;

  if (field == NULL)
    return NULL;
  text = field->via.str.size > 0
             ? strndup (field->via.str.ptr, field->via.str.size)
             : strdup ("");
  if (text == NULL)
    reader->failed = true;
  return text;
}

void
packio_get_bytes (struct packio_reader *reader, uint8_t *out, size_t len)
{
  const msgpack_object *field = packio_next_field (reader, MSGPACK_OBJECT_BIN);

  memset (out, 0, len);
  if (field == NULL)
    return;
  if (field->via.bin.size != len)
    {
      reader->failed = true;
      return;
    }
  memcpy (out, field->via.bin.ptr, len);
}

struct packio_reader
packio_get_array (struct packio_reader *reader)
{
  const msgpack_object *field
      = packio_next_field (reader, MSGPACK_OBJECT_ARRAY);
  struct packio_reader nested;

  packio_reader_init (&nested, field);
  return nested;
}

void
packio_put_text (msgpack_packer *packer, const char *text)
{
  size_t len = strlen (text);

  msgpack_pack_str (packer, len);
  msgpack_pack_str_body (packer, text, len);
}

void
packio_put_bytes (msgpack_packer *packer, const void *data, size_t len)
{
  msgpack_pack_bin (packer, len);
  msgpack_pack_bin_body (packer, data, len);
}

void
packio_put_bool (msgpack_packer *packer, bool value)
{
  if (value)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
}

void
packio_put_http_fields (msgpack_packer *packer, const struct list *fields)
{
  size_t count = 0;

  list_each (node, fields)
    count++;
  msgpack_pack_array (packer, 2 * count);
  list_each (node, fields)
    {
      const struct msg_field *field
          = list_entry (node, struct msg_field, node);

      packio_put_text (packer, field->name);
      packio_put_text (packer, field->value);
    }
}

void
packio_get_http_fields (struct packio_reader *reader, struct list *out)
{
  struct packio_reader nested = packio_get_array (reader);

  if (!packio_ok (&nested) || nested.count % 2 != 0
      || nested.count > 2 * PACKIO_HTTP_FIELDS_MAX)
    {
      reader->failed = true;
      return;
    }
  while (nested.next < nested.count && packio_ok (reader))
    {
      char *name = packio_get_new_text (&nested, PACKIO_HTTP_FIELD_BYTES_MAX);
      char *value = packio_get_new_text (&nested, PACKIO_HTTP_FIELD_BYTES_MAX);

      if (name == NULL || value == NULL
          || msg_field_add (out, name, value) != SR_OK)
        reader->failed = true;
      free (name);
      free (value);
    }
}
