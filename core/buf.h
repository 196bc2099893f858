#ifndef CORE_BUF_H
#define CORE_BUF_H

/**
 * DOC: buf - growable byte buffer addressed by stream offset
 *
 * Holds the stream bytes from offset @base to @base + @len.  Bytes at the
 * front can be dropped; later bytes keep their offsets.
 */

#include <stddef.h>
#include <stdint.h>

struct buf
{
  uint8_t *data;
  size_t len;
  size_t capacity;
  uint64_t base; /* stream offset of @data[0] */
};

/* Appends LEN bytes of DATA.  */
void buf_append (struct buf *buf, const void *data, size_t len);

/* Drops all bytes before stream offset OFFSET.  */
void buf_drop_before (struct buf *buf, uint64_t offset);

/* Returns the stream offset after the last byte.  */
uint64_t buf_end (const struct buf *buf);

/* Returns the bytes from stream offset OFFSET to the end and sets *LEN to
   their number; NULL when there are none.  */
const uint8_t *buf_data_from (const struct buf *buf, uint64_t offset,
                              size_t *len);

/* Frees the data and resets BUF to an empty buffer at offset 0.  */
void buf_free (struct buf *buf);

#endif
