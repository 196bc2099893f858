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

#define DIG_BYTES 16

struct dig_part
{
  const void *data;
  size_t len;
};

uint64_t dig_64 (const struct dig_part *parts, size_t count);
void dig_128 (const struct dig_part *parts, size_t count,
              uint8_t out[DIG_BYTES]);

/* Writes 2 * COUNT hexadecimal digits and a NUL.  */
void dig_text (const uint8_t *bytes, size_t count, char *out);

/* Hash of one buffer.  */
uint64_t dig_bytes (const void *data, size_t len);

#endif
