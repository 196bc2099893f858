#include "core/buf.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"

#define BUF_CAPACITY_MIN 512
/* A buffer of more bytes is made smaller once most of it is free.  */
#define BUF_SHRINK_BYTES (64 * 1024)

void
buf_append (struct buf *buf, const void *data, size_t len)
{
  size_t capacity = buf->capacity > 0 ? buf->capacity : BUF_CAPACITY_MIN;

  if (len == 0)
    return;
  while (capacity < buf->len + len)
    capacity *= 2;
  if (capacity != buf->capacity)
    {
      buf->data = realloc (buf->data, capacity);
      INVARIANT (buf->data != NULL);
      buf->capacity = capacity;
    }
  memcpy (buf->data + buf->len, data, len);
  buf->len += len;
}

/* Gives back memory after bytes were dropped, but keeps room for as many bytes
   as are left.  */
static void
buf_shrink (struct buf *buf)
{
  size_t capacity = buf->capacity;
  uint8_t *data;

  if (capacity <= BUF_SHRINK_BYTES || buf->len > capacity / 8)
    return;
  while (capacity > BUF_SHRINK_BYTES && buf->len <= capacity / 8)
    capacity /= 2;
  data = realloc (buf->data, capacity);
  if (data == NULL)
    return;
  buf->data = data;
  buf->capacity = capacity;
}

void
buf_drop_before (struct buf *buf, uint64_t offset)
{
  size_t count;

  if (offset <= buf->base)
    return;
  INVARIANT (offset <= buf_end (buf));
  count = (size_t)(offset - buf->base);
  memmove (buf->data, buf->data + count, buf->len - count);
  buf->len -= count;
  buf->base = offset;
  buf_shrink (buf);
}

uint64_t
buf_end (const struct buf *buf)
{
  return buf->base + buf->len;
}

const uint8_t *
buf_data_from (const struct buf *buf, uint64_t offset, size_t *len)
{
  INVARIANT (offset >= buf->base && offset <= buf_end (buf));
  *len = (size_t)(buf_end (buf) - offset);
  return *len > 0 ? buf->data + (offset - buf->base) : NULL;
}

void
buf_free (struct buf *buf)
{
  free (buf->data);
  *buf = (struct buf){ 0 };
}
