#ifndef LOG_STO_H
#define LOG_STO_H

/**
 * DOC: sto - files of one log group
 *
 * A folder holds segments of checksummed records and snapshots.  Records and
 * snapshots are opaque bytes.  Nothing is durable before sto_sync() or
 * sto_snapshot() returned SR_OK.
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
#include "core/repmsg.h"

#define STO_SEGMENT_BYTES (4u * 1024 * 1024)

struct sto;

struct sto_opts
{
  const char *folder;     /* created when its parent exists */
  uint64_t segment_bytes; /* 0 for STO_SEGMENT_BYTES */
  int (*sync) (int fd);   /* NULL for fdatasync() */
};

/* Receives what the folder holds: the newest snapshot first, then the records
   in order.  A result other than SR_OK ends sto_open().  */
struct sto_visitor
{
  void *arg;
  int (*snapshot) (void *arg, uint64_t index, const void *data, size_t len);
  /* Sets *LAST_INDEX to the highest log index in the record.  */
  int (*record) (void *arg, const void *data, size_t len,
                 uint64_t *last_index);
};

/**
 * sto_open() - read a folder and open it for writing
 * @opts: settings
 * @visitor: receives the contents
 * @out: set on success
 * @error: text that names the file and the offset on failure
 *
 * Return: SR_OK, SR_EIO, SR_EFULL, SR_EDAMAGED, SR_EVERSION, or the result of
 * the visitor.
 */
int sto_open (const struct sto_opts *opts, const struct sto_visitor *visitor,
              struct sto **out, char error[REP_ERROR_BYTES]);
void sto_close (struct sto *sto);

/* Appends one record; LAST_INDEX is the highest log index in it.  SR_EIO,
   SR_EFULL.  */
int sto_append (struct sto *sto, const void *data, size_t len,
                uint64_t last_index);

/* Makes all appended records durable.  SR_EIO, SR_EFULL.  */
int sto_sync (struct sto *sto);

/* Replaces the snapshot durably and removes segments that it makes
   superfluous.  SR_EIO, SR_EFULL.  */
int sto_snapshot (struct sto *sto, uint64_t index, const void *data,
                  size_t len);

/* Text of the first failure.  */
const char *sto_error (const struct sto *sto);

/**
 * sto_identity() - id of a data directory
 * @folder: the directory, which must exist
 * @id: the stored id, or a new random one that was stored durably
 * @error: text on failure
 *
 * Return: SR_OK, SR_EIO, SR_EFULL, SR_EDAMAGED.
 */
int sto_identity (const char *folder, uint64_t *id,
                  char error[REP_ERROR_BYTES]);

/* Takes the lock of a data directory, so that no second process uses it.
   Returns a descriptor that holds it, or SR_EEXIST, SR_EIO.  */
int sto_lock (const char *folder, char error[REP_ERROR_BYTES]);

#endif
