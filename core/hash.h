#ifndef CORE_HASH_H
#define CORE_HASH_H

/**
 * DOC: hsh - hashes of several parts
 *
 * Each part is hashed with its length, so that ("ab", "c") and ("a", "bc")
 * differ.
 */

#include <stddef.h>
#include <stdint.h>

#define HSH_BYTES 16

struct hsh_part
{
  const void *data;
  size_t len;
};

uint64_t hsh_64 (const struct hsh_part *parts, size_t count);
void hsh_128 (const struct hsh_part *parts, size_t count,
              uint8_t out[HSH_BYTES]);

/* Hash of one buffer.  */
uint64_t hsh_bytes (const void *data, size_t len);

#endif
