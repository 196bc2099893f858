#include "core/digest.h"

#include <xxhash.h>

#include "core/err.h"

/* Adds all parts with their lengths to STATE.  */
static void
digest_update (XXH3_state_t *state, const struct digest_part *parts,
               size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      uint64_t len = parts[i].len;

      XXH3_128bits_update (state, &len, sizeof len);
      if (len > 0)
        XXH3_128bits_update (state, parts[i].data, parts[i].len);
    }
}

void
digest_128 (const struct digest_part *parts, size_t count,
            uint8_t out[DIGEST_BYTES])
{
  XXH3_state_t *state = XXH3_createState ();
  XXH128_canonical_t canonical;

  INVARIANT (state != NULL);
  XXH3_128bits_reset (state);
  digest_update (state, parts, count);
  XXH128_canonicalFromHash (&canonical, XXH3_128bits_digest (state));
  XXH3_freeState (state);
  for (size_t i = 0; i < DIGEST_BYTES; i++)
    out[i] = canonical.digest[i];
}

uint64_t
digest_64 (const struct digest_part *parts, size_t count)
{
  uint8_t digest[DIGEST_BYTES];
  uint64_t value = 0;

  digest_128 (parts, count, digest);
  for (int i = 0; i < 8; i++)
    value = value << 8 | digest[i];
  return value;
}

uint64_t
digest_buffer_64 (const void *data, size_t len)
{
  return len > 0 ? XXH3_64bits (data, len) : 0;
}

void
digest_hex (const uint8_t *bytes, size_t count, char *out)
{
  static const char digits[] = "0123456789abcdef";

  for (size_t i = 0; i < count; i++)
    {
      *out++ = digits[bytes[i] >> 4];
      *out++ = digits[bytes[i] & 15];
    }
  *out = '\0';
}
