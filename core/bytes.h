#ifndef CORE_BYTES_H
#define CORE_BYTES_H

/**
 * DOC: bytes - writer and bounds-checked reader of binary records
 *
 * Integers are little endian; blobs are prefixed with a 32-bit length.
 * Errors are sticky: a caller checks once, in bytes_writer_finish() or
 * bytes_reader_finish().  A reader that has failed returns zeros and empty
 * blobs.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct bytes_writer
{
  uint8_t *data; /* malloc()ed */
  size_t len;
  size_t capacity;
  bool failed; /* out of memory, or a blob of 4 GiB or more */
};

struct bytes_reader
{
  const uint8_t *data; /* next byte to read */
  size_t remaining;
  bool failed; /* truncated input, or a value that is not allowed */
};

/* Allocates a buffer of CAPACITY bytes, which grows as needed.  */
void bytes_writer_init (struct bytes_writer *writer, size_t capacity);
void bytes_put_u8 (struct bytes_writer *writer, uint8_t value);
void bytes_put_u32 (struct bytes_writer *writer, uint32_t value);
void bytes_put_u64 (struct bytes_writer *writer, uint64_t value);

/* Writes LEN bytes without a length prefix.  */
void bytes_put_raw (struct bytes_writer *writer, const void *data, size_t len);

/* Writes LEN and LEN bytes of DATA, which may be NULL when LEN is 0.  */
void bytes_put_blob (struct bytes_writer *writer, const void *data,
                     size_t len);

/**
 * bytes_writer_finish() - pass the buffer to the caller
 * @writer: writer, unusable afterwards
 * @out: buffer, freed with free() by the caller; NULL on error
 * @len: length of @out in bytes
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

/* Reads a blob of at most LEN_MAX bytes and sets *LEN to its length.  The
   result points into the input and is never NULL.  A longer blob sets the
   error state.  */
const uint8_t *bytes_get_blob (struct bytes_reader *reader, size_t len_max,
                               size_t *len);

/* Reads a blob of 1 to SIZE - 1 bytes without NUL into OUT and terminates it
   with a NUL.  Any other blob sets the error state.  */
void bytes_get_text (struct bytes_reader *reader, char *out, size_t size);

/* Sets the error state, for a caller that finds a value not allowed.  */
void bytes_reader_fail (struct bytes_reader *reader);

/**
 * bytes_reader_finish() - check that all of the input was read
 * @reader: reader
 *
 * Return: SR_OK, or SR_EMALFORMED when the reader has failed or bytes remain.
 */
int bytes_reader_finish (const struct bytes_reader *reader);

#endif
