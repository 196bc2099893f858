#ifndef WIRE_PACKIO_H
#define WIRE_PACKIO_H

/**
 * DOC: packio - reader and writer of msgpack arrays, field by field
 *
 * The first error of a reader is sticky: all later reads return zero values,
 * so that a decoder checks for errors once, at its end.
 */

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/list.h"

/* Position in an array that is being read.  */
struct packio_reader
{
  const msgpack_object *fields;
  uint32_t count;
  uint32_t next; /* index of the field to be read next */
  bool failed;   /* a field was missing, of the wrong type or out of range */
};

/* Starts reading OBJECT; the reader has failed when it is NULL or no array. */
void packio_reader_init (struct packio_reader *reader,
                         const msgpack_object *object);
/* Whether no read has failed.  */
bool packio_ok (const struct packio_reader *reader);

/* The following functions read the next field.  */
uint64_t packio_get_u64 (struct packio_reader *reader);
/* Integer from 0 to MAX.  */
uint32_t packio_get_u32 (struct packio_reader *reader, uint32_t max);
int64_t packio_get_i64 (struct packio_reader *reader);
bool packio_get_bool (struct packio_reader *reader);
/* Text without NUL bytes, copied to OUT with a terminating NUL; fails when
   that needs more than SIZE bytes.  */
void packio_get_text (struct packio_reader *reader, char *out, size_t size);
/* Text without NUL bytes of at most MAX_LEN bytes, malloc()ed; NULL after an
   error.  */
char *packio_get_new_text (struct packio_reader *reader, size_t max_len);
/* Binary of exactly LEN bytes; OUT is zeroed after an error.  */
void packio_get_bytes (struct packio_reader *reader, uint8_t *out, size_t len);
/* Reader of a nested array, which has failed when the field is no array.  */
struct packio_reader packio_get_array (struct packio_reader *reader);

void packio_put_text (msgpack_packer *packer, const char *text);
void packio_put_bytes (msgpack_packer *packer, const void *data, size_t len);
void packio_put_bool (msgpack_packer *packer, bool value);

/* Write and read a list of struct msg_field as an array of alternating names
   and values.  */
void packio_put_http_fields (msgpack_packer *packer,
                             const struct list *fields);
void packio_get_http_fields (struct packio_reader *reader, struct list *out);

#endif
