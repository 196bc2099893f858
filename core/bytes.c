#include "core/bytes.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"

#define BYTES_CAPACITY_MIN 64u

void
bytes_writer_init (struct bytes_writer *writer, size_t capacity)
{
  writer->len = 0;
  writer->capacity
      = capacity < BYTES_CAPACITY_MIN ? BYTES_CAPACITY_MIN : capacity;
  writer->data = malloc (writer->capacity);
  writer->failed = writer->data == NULL;
}

/* Extends the output by LEN bytes; returns their start, or NULL on error.  */
static uint8_t *
bytes_extend (struct bytes_writer *writer, size_t len)
{
  uint8_t *grown;
  size_t capacity = writer->capacity;

  if (writer->failed)
    return NULL;
  if (len > capacity - writer->len)
    {
      capacity = len > capacity ? capacity + len : capacity * 2;
      grown = realloc (writer->data, capacity);
      if (grown == NULL)
        {
          writer->failed = true;
          return NULL;
        }
      writer->data = grown;
      writer->capacity = capacity;
    }
  writer->len += len;
  return writer->data + writer->len - len;
}

/* Writes the BYTES low bytes of VALUE, little endian.  */
static void
bytes_put_number (struct bytes_writer *writer, uint64_t value, size_t bytes)
{
  uint8_t *at = bytes_extend (writer, bytes);

  for (size_t i = 0; at != NULL && i < bytes; i++)
    at[i] = (uint8_t)(value >> (8 * i));
}

void
bytes_put_u8 (struct bytes_writer *writer, uint8_t value)
{
  bytes_put_number (writer, value, sizeof value);
}

void
bytes_put_u32 (struct bytes_writer *writer, uint32_t value)
{
  bytes_put_number (writer, value, sizeof value);
}

void
bytes_put_u64 (struct bytes_writer *writer, uint64_t value)
{
  bytes_put_number (writer, value, sizeof value);
}

void
bytes_put_raw (struct bytes_writer *writer, const void *data, size_t len)
{
  uint8_t *at = bytes_extend (writer, len);

  if (at != NULL && len > 0)
    memcpy (at, data, len);
}

void
bytes_put_blob (struct bytes_writer *writer, const void *data, size_t len)
{
  if (len > UINT32_MAX)
    writer->failed = true;
  bytes_put_u32 (writer, (uint32_t)len);
  bytes_put_raw (writer, data, len);
}

int
bytes_writer_finish (struct bytes_writer *writer, uint8_t **out, size_t *len)
{
  if (writer->failed)
    {
      free (writer->data);
      writer->data = NULL;
      writer->len = 0;
    }
  *out = writer->data;
  *len = writer->len;
  writer->data = NULL;
  return writer->failed ? SR_ENOMEM : SR_OK;
}

void
bytes_reader_init (struct bytes_reader *reader, const uint8_t *data,
                   size_t len)
{
  reader->data = data;
  reader->remaining = len;
  reader->failed = false;
}

/* Consumes LEN bytes; returns their start, or NULL when fewer remain.  */
static const uint8_t *
bytes_consume (struct bytes_reader *reader, size_t len)
{
  const uint8_t *at = reader->data;

  if (reader->failed || len > reader->remaining)
    {
      reader->failed = true;
      return NULL;
    }
  reader->remaining -= len;
  if (len > 0)
    reader->data += len;
  return at;
}

/* Reads a little-endian integer of BYTES bytes.  */
static uint64_t
bytes_get_number (struct bytes_reader *reader, size_t bytes)
{
  const uint8_t *at = bytes_consume (reader, bytes);
  uint64_t value = 0;

  for (size_t i = 0; at != NULL && i < bytes; i++)
    value |= (uint64_t)at[i] << (8 * i);
  return value;
}

uint8_t
bytes_get_u8 (struct bytes_reader *reader)
{
  return (uint8_t)bytes_get_number (reader, sizeof (uint8_t));
}

uint32_t
bytes_get_u32 (struct bytes_reader *reader)
{
  return (uint32_t)bytes_get_number (reader, sizeof (uint32_t));
}

uint64_t
bytes_get_u64 (struct bytes_reader *reader)
{
  return bytes_get_number (reader, sizeof (uint64_t));
}

void
bytes_get_raw (struct bytes_reader *reader, void *out, size_t len)
{
  const uint8_t *at = bytes_consume (reader, len);

  if (at != NULL)
    memcpy (out, at, len);
  else
    memset (out, 0, len);
}

const uint8_t *
bytes_get_blob (struct bytes_reader *reader, size_t len_max, size_t *len)
{
  size_t bytes = bytes_get_u32 (reader);
  const uint8_t *at = NULL;

  if (bytes > len_max)
    reader->failed = true;
  else
    at = bytes_consume (reader, bytes);
  *len = at != NULL ? bytes : 0;
  return at != NULL ? at : (const uint8_t *)"";
}

void
bytes_get_text (struct bytes_reader *reader, char *out, size_t size)
{
  size_t len;
  const uint8_t *text = bytes_get_blob (reader, size - 1, &len);

  if (len == 0 || memchr (text, '\0', len) != NULL)
    {
      reader->failed = true;
      len = 0;
    }
  memcpy (out, text, len);
  out[len] = '\0';
}

void
bytes_reader_fail (struct bytes_reader *reader)
{
  reader->failed = true;
}

int
bytes_reader_finish (const struct bytes_reader *reader)
{
  return reader->failed || reader->remaining > 0 ? SR_EMALFORMED : SR_OK;
}
