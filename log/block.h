#ifndef LOG_BLOCK_H
#define LOG_BLOCK_H

/**
 * DOC: block - checksummed blocks and atomic file replacement for log/wal
 *
 * A block is magic (4 bytes), length (4), checksum (8) and the data; integers
 * are little endian.  The checksum is xxHash64 of the data, seeded with the
 * offset of the block in its file, so that a block copied to another offset
 * is not valid.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/raftmsg.h"

#define BLOCK_HEADER_BYTES 16u

/* Writes the header of a block with DATA at file offset OFFSET to OUT.  */
void block_put_header (uint8_t out[BLOCK_HEADER_BYTES], const void *data,
                       size_t len, uint64_t offset);

/* Returns the data length of the block at OFFSET of a file in memory, or -1
   when there is no valid block.  */
int64_t block_len_at (const uint8_t *file, size_t size, uint64_t offset);

/* Returns the offset of the first valid block at or after FROM, or -1.  */
int64_t block_find (const uint8_t *file, size_t size, uint64_t from);

/* Returns the error number for errno after a failed write or sync: SR_EFULL
   or SR_EIO.  */
int block_error_from_errno (void);

/* Maximum path bytes in an error message; a longer path loses its start.  */
#define BLOCK_PATH_TAIL_BYTES 160

/* Returns the end of PATH, at most BLOCK_PATH_TAIL_BYTES.  */
const char *block_path_tail (const char *path);

/* Formats "PATH: WHAT: strerror (errno)" into ERROR.  */
void block_format_error (char error[RAFT_ERROR_BYTES], const char *path,
                         const char *what);

/* Writes all of DATA at the file position.  Returns SR_OK, SR_EIO,
   SR_EFULL.  */
int block_write_all (int fd, const void *data, size_t len);

/* Reads a whole file into a malloc()ed buffer.  Returns SR_OK, SR_EIO.  */
int block_read_file (const char *path, uint8_t **out, size_t *len);

/* Makes the directory entries of FOLDER durable.  Returns SR_OK, SR_EIO,
   SR_EFULL.  */
int block_sync_folder (const char *folder, int (*sync) (int fd));

/**
 * block_replace_file() - write or replace a file atomically and durably
 * @folder: directory
 * @name: file name; "@name.tmp" is used for the new contents
 * @head: first part of the contents
 * @head_len: length of @head in bytes
 * @data: second part of the contents
 * @len: length of @data in bytes
 * @sync: fdatasync() or a replacement for it in tests
 * @error: message on failure
 *
 * Return: SR_OK, SR_EIO, SR_EFULL.
 */
int block_replace_file (const char *folder, const char *name, const void *head,
                        size_t head_len, const void *data, size_t len,
                        int (*sync) (int fd), char error[RAFT_ERROR_BYTES]);

#endif
