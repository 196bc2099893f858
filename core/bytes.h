#ifndef CORE_BYTES_H
#define CORE_BYTES_H

/**
 * DOC: byt - writer and bounded reader of the binary form of state
 *
 * Numbers are little endian, blobs carry their length in 32 bits.  A writer
 * and a reader remember the first failure, so that a caller checks once at
 * the end.  A reader that has failed returns zeros and empty blobs.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct bytes_writer
{
  uint8_t *data; /* malloc()ed */
  size_t len;
  size_t capacity;
  bool failed; /* without memory, or a blob of 4 GiB or more */
};

struct bytes_reader
{
  const uint8_t *data; /* next byte */
  size_t remaining;
  bool failed; /* truncated, or longer than allowed */
};

/* Starts with ROOM bytes; the buffer grows when more is written.  */
void bytes_writer_init (struct bytes_writer *writer, size_t room);
void bytes_put_u8 (struct bytes_writer *writer, uint8_t value);
void bytes_put_u32 (struct bytes_writer *writer, uint32_t value);
void bytes_put_u64 (struct bytes_writer *writer, uint64_t value);

/* LEN bytes without a length.  */
void bytes_put_raw (struct bytes_writer *writer, const void *data, size_t len);

/* Length and LEN bytes; DATA may be NULL when LEN is 0.  */
void bytes_put_blob (struct bytes_writer *writer, const void *data,
                     size_t len);

/**
 * bytes_writer_finish() - hand the buffer over
 * @writer: writer, unusable afterwards
 * @out: buffer, freed with free() by the caller; NULL on error
 * @len: its length
 *
 * Return: SR_OK, SR_ENOMEM.
 */
int bytes_writer_finish (struct bytes_writer *writer, uint8_t **out,
                         size_t *len);

void bytes_reader_init (struct bytes_reader *reader, const uint8_t *data,
                        size_t len);
uint8_t bytes_get_u8 (struct bytes_reader *reader);
uint32_t bytes_get_u32 (struct bytes_reader *reader);
uint64_t bytes_get_u64 (struct bytes_reader *reader);
void bytes_get_raw (struct bytes_reader *reader, void *out, size_t len);

/* Blob of at most MOST bytes; the result points into the input and is never
   NULL.  A longer blob fails the reader.  */
const uint8_t *bytes_get_blob (struct bytes_reader *reader, size_t most,
                               size_t *len);

/* Blob of 1 … ROOM - 1 bytes without NUL, copied with a NUL at the end.  */
void bytes_get_text (struct bytes_reader *reader, char *out, size_t room);

/* Fails the reader, when a value is not allowed.  */
void bytes_reader_fail (struct bytes_reader *reader);

/**
 * bytes_reader_finish() - check that all of the input was read
 * @reader: reader
 *
 * Return: SR_OK, SR_EMALFORMED when the reader has failed or bytes are left.
 */
int bytes_reader_finish (const struct bytes_reader *reader);

#endif
