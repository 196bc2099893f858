#ifndef LOG_BLOCK_H
#define LOG_BLOCK_H

/**
 * DOC: stf - whole files and checksummed blocks for log/wal
 *
 * A block is magic (4 bytes), length (4), checksum (8) and the data.  The
 * checksum is xxHash64 seeded with the offset of the block in its file, so
 * that a block at another place is not taken for valid.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/raftmsg.h"

#define BLOCK_HEADER_BYTES 16u

/* Puts the block header of DATA at OFFSET into OUT.  */
void block_put_header (uint8_t out[BLOCK_HEADER_BYTES], const void *data,
                       size_t len, uint64_t offset);

/* Length of the data of a valid block at OFFSET of a file in memory, or -1. */
int64_t block_len_at (const uint8_t *file, size_t size, uint64_t offset);

/* Offset of the first valid block at or after FROM, or -1.  */
int64_t block_find (const uint8_t *file, size_t size, uint64_t from);

/* Error number for errno after a failed write or sync.  */
int block_error_from_errno (void);

/* Most path bytes in an error text; of a longer path the end is kept.  */
#define BLOCK_PATH_TAIL_BYTES 160

/* End of PATH, at most BLOCK_PATH_TAIL_BYTES.  */
const char *block_path_tail (const char *path);

/* "FILE: WHAT: text of errno" into ERROR.  */
void block_format_error (char error[RAFT_ERROR_BYTES], const char *path,
                         const char *what);

/* Writes all of DATA at the file position.  SR_OK, SR_EIO, SR_EFULL.  */
int block_write_all (int fd, const void *data, size_t len);

/* Reads a whole file into a malloc()ed buffer.  SR_OK, SR_EIO.  */
int block_read_file (const char *path, uint8_t **out, size_t *len);

int block_sync_folder (const char *folder, int (*sync) (int fd));

/* Writes a file with two parts under a temporary name, syncs it, renames it
   and syncs the folder.  */
int block_replace_file (const char *folder, const char *name, const void *head,
                        size_t head_len, const void *data, size_t len,
                        int (*sync) (int fd), char error[RAFT_ERROR_BYTES]);

#endif
