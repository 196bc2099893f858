#ifndef CORE_DIGEST_H
#define CORE_DIGEST_H

/**
 * DOC: dig - hashes of several parts
 *
 * Each part is hashed with its length, so that ("ab", "c") and ("a", "bc")
 * differ.
 */

#include <stddef.h>
#include <stdint.h>

#define DIGEST_BYTES 16

struct digest_part
{
  const void *data;
  size_t len;
};

uint64_t digest_64 (const struct digest_part *parts, size_t count);
void digest_128 (const struct digest_part *parts, size_t count,
                 uint8_t out[DIGEST_BYTES]);

/* Writes 2 * COUNT hexadecimal digits and a NUL.  */
void digest_hex (const uint8_t *bytes, size_t count, char *out);

/* Hash of one buffer.  */
uint64_t digest_buffer_64 (const void *data, size_t len);

#endif
