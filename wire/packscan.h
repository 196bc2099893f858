#ifndef WIRE_PACKSCAN_H
#define WIRE_PACKSCAN_H

/**
 * DOC: packscan - validates the lengths in a msgpack object before unpacking
 *
 * msgpack-c allocates memory for all elements that an array header declares,
 * so that a message of five bytes can request 100 GiB.
 */

#include <stdbool.h>
#include <stddef.h>

/* Whether the LEN bytes at DATA are exactly one object, with all elements and
   bytes that its headers declare.  */
bool packscan_complete (const void *data, size_t len);

#endif
