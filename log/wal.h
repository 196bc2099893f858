#ifndef LOG_WAL_H
#define LOG_WAL_H

/**
 * DOC: wal - files of one log group
 *
 * A folder holds segments of checksummed records and snapshots.  Records and
 * snapshots are opaque bytes.  Nothing is durable before wal_sync() or
 * wal_write_snapshot() returned SR_OK.
 *
 * Files: "log-<number>" with a header and records, and "snapshot-<index>".
 * Numbers are hexadecimal, integers in the files little endian.
 *
 * A damaged last record is cut off: a crash while it was written leaves it so.
 * That a synced last record was damaged later cannot be told from that.  A
 * damaged record with an intact one behind it, or in a segment that is not
 * the last, is refused with SR_EDAMAGED.
 *
 * After the first failure all later calls fail: a failed sync may have
 * dropped the data, so a second one proves nothing.  The caller stops the
 * process.
 */

#include <stddef.h>
#include <stdint.h>

#include "core/err.h"
#include "core/raftmsg.h"

#define WAL_SEGMENT_BYTES (4u * 1024 * 1024)

struct wal;

struct wal_opts
{
  const char *folder;     /* created when its parent exists */
  uint64_t segment_bytes; /* 0 for WAL_SEGMENT_BYTES */
  int (*sync) (int fd);   /* NULL for fdatasync() */
};

/* Receives what the folder holds: the newest snapshot first, then the records
   in order.  A result other than SR_OK ends wal_open().  */
struct wal_visitor
{
  void *arg;
  int (*snapshot) (void *arg, uint64_t index, const void *data, size_t len);
  /* Sets *LAST_INDEX to the highest log index in the record.  */
  int (*record) (void *arg, const void *data, size_t len,
                 uint64_t *last_index);
};

/**
 * wal_open() - read a folder and open it for writing
 * @opts: settings
 * @visitor: receives the contents
 * @out: set on success
 * @error: text that names the file and the offset on failure
 *
 * Return: SR_OK, SR_EIO, SR_EFULL, SR_EDAMAGED, SR_EVERSION, or the result of
 * the visitor.
 */
int wal_open (const struct wal_opts *opts, const struct wal_visitor *visitor,
              struct wal **out, char error[RAFT_ERROR_BYTES]);
void wal_close (struct wal *wal);

/* Appends one record; LAST_INDEX is the highest log index in it.  SR_EIO,
   SR_EFULL.  */
int wal_append (struct wal *wal, const void *data, size_t len,
                uint64_t last_index);

/* Makes all appended records durable.  SR_EIO, SR_EFULL.  */
int wal_sync (struct wal *wal);

/* Replaces the snapshot durably and removes segments that it makes
   superfluous.  SR_EIO, SR_EFULL.  */
int wal_write_snapshot (struct wal *wal, uint64_t index, const void *data,
                        size_t len);

/* Text of the first failure.  */
const char *wal_error (const struct wal *wal);

/**
 * wal_replica_id() - id of a data directory
 * @folder: the directory, which must exist
 * @id: the stored id, or a new random one that was stored durably
 * @error: text on failure
 *
 * Return: SR_OK, SR_EIO, SR_EFULL, SR_EDAMAGED.
 */
int wal_replica_id (const char *folder, uint64_t *id,
                    char error[RAFT_ERROR_BYTES]);

/* Takes the lock of a data directory, so that no second process uses it.
   Returns a descriptor that holds it, or SR_EEXIST, SR_EIO.  */
int wal_lock (const char *folder, char error[RAFT_ERROR_BYTES]);

#endif
