#ifndef WIRE_PACKSCAN_H
#define WIRE_PACKSCAN_H

/**
 * DOC: packscan - checks the counts of a msgpack object before it is unpacked
 *
 * msgpack-c reserves memory for all elements that an array header announces:
 * five bytes can ask for 100 GiB.
 */

#include <stdbool.h>
#include <stddef.h>

/* Whether DATA is exactly one object whose arrays, maps and bytes all fit
   into LEN.  */
bool packscan_complete (const void *data, size_t len);

#endif
