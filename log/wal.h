#ifndef LOG_WAL_H
#define LOG_WAL_H

/**
 * DOC: wal - write-ahead log and snapshots of one log group
 *
 * A directory holds segments of checksummed records and one snapshot.  Records
 * and snapshots are opaque bytes.  A record is durable once wal_sync() has
 * returned SR_OK, a snapshot once wal_write_snapshot() has.
 *
 * Files: "log-<number>" with a header and records, and "snapshot-<index>".
 * Numbers are hexadecimal; integers in the files are little endian.
 *
 * On open, a damaged record at the end of the last segment is truncated, since
 * a crash during an append leaves one.  Later damage of a synced last record
 * looks the same.  A damaged record that a valid one follows, or one in an
 * earlier segment, fails the open with SR_EDAMAGED.
 *
 * After the first failure all later calls fail: a failed sync may have
 * discarded the dirty pages, so that a second one would succeed without the
 * data.  The caller stops the process.
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

/* Receives the newest snapshot, then the records in order.  A result other
   than SR_OK ends wal_open() with that result.  */
struct wal_visitor
{
  void *arg;
  int (*snapshot) (void *arg, uint64_t index, const void *data, size_t len);
  /* Sets *LAST_INDEX to the highest log index in the record.  */
  int (*record) (void *arg, const void *data, size_t len,
                 uint64_t *last_index);
};

/**
 * wal_open() - read the log and open it for writing
 * @opts: settings
 * @visitor: receives the contents
 * @out: set on success
 * @error: message with file name and offset on failure
 *
 * Return: SR_OK, SR_EIO, SR_EFULL, SR_EDAMAGED, SR_EVERSION, or the result of
 * the visitor.
 */
int wal_open (const struct wal_opts *opts, const struct wal_visitor *visitor,
              struct wal **out, char error[RAFT_ERROR_BYTES]);
void wal_close (struct wal *wal);

/* Appends one record, not yet durable; LAST_INDEX is the highest log index in
   it.  Returns SR_OK, SR_EIO, SR_EFULL.  */
int wal_append (struct wal *wal, const void *data, size_t len,
                uint64_t last_index);

/* Makes all appended records durable.  Returns SR_OK, SR_EIO, SR_EFULL.  */
int wal_sync (struct wal *wal);

/* Replaces the snapshot durably, and removes old segments that hold no entry
   after INDEX.  Returns SR_OK, SR_EIO, SR_EFULL.  */
int wal_write_snapshot (struct wal *wal, uint64_t index, const void *data,
                        size_t len);

/* Returns the message of the first failure.  */
const char *wal_error (const struct wal *wal);

/**
 * wal_replica_id() - read the replica id of a data directory
 * @folder: the directory, which must exist
 * @id: the stored id; a new random one is stored when there is none
 * @error: message on failure
 *
 * Return: SR_OK, SR_EIO, SR_EFULL, SR_EDAMAGED.
 */
int wal_replica_id (const char *folder, uint64_t *id,
                    char error[RAFT_ERROR_BYTES]);

/* Locks a data directory against use by a second process.  Returns the
   descriptor that holds the lock, or SR_EEXIST when it is in use, SR_EIO.  */
int wal_lock (const char *folder, char error[RAFT_ERROR_BYTES]);

#endif
