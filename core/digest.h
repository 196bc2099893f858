#ifndef CORE_DIGEST_H
#define CORE_DIGEST_H

/**
 * DOC: digest - XXH3 hashes over a sequence of parts
 *
 * Each part is hashed with its length, so that ("ab", "c") and ("a", "bc")
 * differ.  Not cryptographic.
 */

#include <stddef.h>
#include <stdint.h>

#define DIGEST_BYTES 16

struct digest_part
{
  const void *data;
  size_t len;
};

/* Returns the first 64 bits of digest_128().  */
uint64_t digest_64 (const struct digest_part *parts, size_t count);

/* Writes the 128-bit hash of COUNT parts to OUT, big endian.  */
void digest_128 (const struct digest_part *parts, size_t count,
                 uint8_t out[DIGEST_BYTES]);

/* Writes 2 * COUNT hexadecimal digits and a NUL to OUT.  */
void digest_hex (const uint8_t *bytes, size_t count, char *out);

/* Returns the 64-bit hash of one buffer without its length; 0 when LEN is
   0.  */
uint64_t digest_buffer_64 (const void *data, size_t len);

#endif
