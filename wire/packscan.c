#include "wire/packscan.h"

#include <stdint.h>

/* State of one scan.  */
struct packscan
{
  const uint8_t *next;
  size_t remaining;
  uint64_t pending; /* number of objects that are not read yet */
};

/* Reads a big-endian integer of BYTES bytes; false when the input ends.  */
static bool
packscan_read_uint (struct packscan *packscan, unsigned bytes, uint64_t *value)
{
  *value = 0;
  if (packscan->remaining < bytes)
    return false;
  for (unsigned i = 0; i < bytes; i++)
    *value = *value << 8 | packscan->next[i];
  packscan->next += bytes;
  packscan->remaining -= bytes;
  return true;
}

static bool
packscan_skip (struct packscan *packscan, uint64_t bytes)
{
  if (bytes > packscan->remaining)
    return false;
  packscan->next += bytes;
  packscan->remaining -= (size_t)bytes;
  return true;
}

/* Reads a length of LENGTH_BYTES bytes and skips that many and EXTRA bytes. */
static bool
packscan_skip_sized (struct packscan *packscan, unsigned length_bytes,
                     unsigned extra)
{
  uint64_t len;

  return packscan_read_uint (packscan, length_bytes, &len)
         && packscan_skip (packscan, len + extra);
}

/* Reads the element count of an array or map and adds its elements to the
   pending ones; each element of a map has 2 objects.  */
static bool
packscan_add_elements (struct packscan *packscan, unsigned length_bytes,
                       unsigned objects_per_element)
{
  uint64_t count;

  if (!packscan_read_uint (packscan, length_bytes, &count))
    return false;
  packscan->pending += objects_per_element * count;
  return true;
}

/* Skips the rest of an object whose type byte is 0xc0 to 0xdf.  */
static bool
packscan_skip_typed (struct packscan *packscan, uint8_t type)
{
  switch (type)
    {
    case 0xc4: /* bin 8, 16, 32 */
    case 0xc5:
    case 0xc6:
      return packscan_skip_sized (packscan, 1u << (type - 0xc4), 0);
    case 0xc7: /* ext 8, 16, 32 */
    case 0xc8:
    case 0xc9:
      return packscan_skip_sized (packscan, 1u << (type - 0xc7), 1);
    case 0xca: /* float 32, 64 */
    case 0xcb:
      return packscan_skip (packscan, 4u << (type - 0xca));
    case 0xcc: /* unsigned integer 8 … 64 */
    case 0xcd:
    case 0xce:
    case 0xcf:
      return packscan_skip (packscan, 1u << (type - 0xcc));
    case 0xd0: /* signed integer 8 … 64 */
    case 0xd1:
    case 0xd2:
    case 0xd3:
      return packscan_skip (packscan, 1u << (type - 0xd0));
    case 0xd4: /* fixext 1, 2, 4, 8, 16 */
    case 0xd5:
    case 0xd6:
    case 0xd7:
    case 0xd8:
      return packscan_skip (packscan, 1 + (1u << (type - 0xd4)));
    case 0xd9: /* str 8, 16, 32 */
    case 0xda:
    case 0xdb:
      return packscan_skip_sized (packscan, 1u << (type - 0xd9), 0);
    case 0xdc: /* array 16, 32 */
    case 0xdd:
      return packscan_add_elements (packscan, 2u << (type - 0xdc), 1);
    case 0xde: /* map 16, 32 */
    case 0xdf:
      return packscan_add_elements (packscan, 2u << (type - 0xde), 2);
    default: /* nil, false, true; msgpack-c rejects 0xc1 */
      return true;
    }
}

static bool
packscan_skip_object (struct packscan *packscan)
{
  uint64_t type;

  if (!packscan_read_uint (packscan, 1, &type))
    return false;
  if (type < 0x80 || type >= 0xe0) /* positive or negative fixint */
    return true;
  if (type < 0x90) /* fixmap */
    packscan->pending += 2 * (type & 0x0f);
  else if (type < 0xa0) /* fixarray */
    packscan->pending += type & 0x0f;
  else if (type < 0xc0) /* fixstr */
    return packscan_skip (packscan, type & 0x1f);
  else
    return packscan_skip_typed (packscan, (uint8_t)type);
  return true;
}

bool
packscan_complete (const void *data, size_t len)
{
  struct packscan packscan = { .next = data, .remaining = len, .pending = 1 };

  while (packscan.pending > 0)
    {
      /* Each object has at least one byte.  */
      if (packscan.pending > packscan.remaining)
        return false;
      packscan.pending--;
      if (!packscan_skip_object (&packscan))
        return false;
    }
  return packscan.remaining == 0;
}
