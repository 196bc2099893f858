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

struct packio_reader
{
  const msgpack_object *fields;
  uint32_t count;
  uint32_t next;
  bool failed;
};

/* Starts reading OBJECT, which must be an array.  */
void packio_reader_init (struct packio_reader *reader,
                         const msgpack_object *object);
bool packio_ok (const struct packio_reader *reader);
uint64_t packio_get_u64 (struct packio_reader *reader);
/* Integer in 0 … MOST.  */
uint32_t packio_get_u32 (struct packio_reader *reader, uint32_t most);
int64_t packio_get_i64 (struct packio_reader *reader);
bool packio_get_bool (struct packio_reader *reader);
/* Text without NUL that fits into SIZE bytes with its end.  */
void packio_get_text (struct packio_reader *reader, char *out, size_t size);
/* Text of at most MOST bytes, malloc()ed; NULL after a fault.  */
char *packio_get_new_text (struct packio_reader *reader, size_t most);
/* Exactly LEN bytes.  */
void packio_get_bytes (struct packio_reader *reader, uint8_t *out, size_t len);
/* A nested array; the reader is faulty when there is none.  */
struct packio_reader packio_get_array (struct packio_reader *reader);

void packio_put_text (msgpack_packer *packer, const char *text);
void packio_put_bytes (msgpack_packer *packer, const void *data, size_t len);
void packio_put_bool (msgpack_packer *packer, bool value);

/* HTTP fields as an array of name and value, alternating.  */
void packio_put_http_fields (msgpack_packer *packer,
                             const struct list *fields);
void packio_get_http_fields (struct packio_reader *reader, struct list *out);

#endif
