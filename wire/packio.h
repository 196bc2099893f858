#ifndef WIRE_PACKIO_H
#define WIRE_PACKIO_H

/**
 * DOC: pio - reading and writing msgpack arrays field by field
 *
 * A reader notes the first fault and returns zero values after it, so that a
 * decoder checks once at its end.
 */

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/list.h"

struct pio_reader
{
  const msgpack_object *fields;
  uint32_t count;
  uint32_t next;
  bool fault;
};

/* Starts reading OBJECT, which must be an array.  */
void pio_open (struct pio_reader *reader, const msgpack_object *object);
bool pio_ok (const struct pio_reader *reader);
uint64_t pio_u64 (struct pio_reader *reader);
/* Integer in 0 … MOST.  */
uint32_t pio_u32 (struct pio_reader *reader, uint32_t most);
int64_t pio_i64 (struct pio_reader *reader);
bool pio_bool (struct pio_reader *reader);
/* Text without NUL that fits into SIZE bytes with its end.  */
void pio_text (struct pio_reader *reader, char *out, size_t size);
/* Text of at most MOST bytes, malloc()ed; NULL after a fault.  */
char *pio_text_new (struct pio_reader *reader, size_t most);
/* Exactly LEN bytes.  */
void pio_bytes (struct pio_reader *reader, uint8_t *out, size_t len);
/* A nested array; the reader is faulty when there is none.  */
struct pio_reader pio_array (struct pio_reader *reader);

void pio_put_text (msgpack_packer *packer, const char *text);
void pio_put_bytes (msgpack_packer *packer, const void *data, size_t len);
void pio_put_bool (msgpack_packer *packer, bool value);

/* HTTP fields as an array of name and value, alternating.  */
void pio_put_fields (msgpack_packer *packer, const struct lst *fields);
void pio_fields (struct pio_reader *reader, struct lst *out);

#endif
