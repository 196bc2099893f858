#ifndef CORE_BUF_H
#define CORE_BUF_H

/**
 * DOC: buf - bytes of a stream, addressed by their offset in the stream
 *
 * Holds the bytes from @base to @base + @len; the front may be dropped.
 */

#include <stddef.h>
#include <stdint.h>

struct buf
{
  uint8_t *data;
  size_t len;
  size_t capacity;
  uint64_t base;
};

void buf_append (struct buf *buf, const void *data, size_t len);

/* Drops all bytes before OFFSET.  */
void buf_drop_before (struct buf *buf, uint64_t offset);

/* Offset after the last byte.  */
uint64_t buf_end (const struct buf *buf);

/* Bytes from OFFSET on; sets *LEN to their number.  */
const uint8_t *buf_data_from (const struct buf *buf, uint64_t offset,
                              size_t *len);

void buf_free (struct buf *buf);

#endif
