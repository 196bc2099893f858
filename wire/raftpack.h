#ifndef WIRE_RAFTPACK_H
#define WIRE_RAFTPACK_H

/**
 * DOC: rpk - msgpack encoding of the replicated log
 *
 * Peer messages, and the records of the data directory.  Each starts with a
 * format version.  Decoders check every length, count and order, so that the
 * decisions in log/ see only well-formed input.
 *
 * Encoders set a malloc()ed buffer and return SR_OK or SR_ENOMEM; decoders
 * return SR_OK, SR_EMALFORMED, SR_EVERSION or SR_ENOMEM.
 */

#include <stddef.h>
#include <stdint.h>

#include "core/raftmsg.h"

#define RAFTPACK_VERSION 1
/* Largest command or snapshot that is decoded.  */
#define RAFTPACK_DATA_BYTES_MAX (256ull * 1024 * 1024)

int raftpack_encode_msg (const struct raft_msg *msg, uint8_t **out,
                         size_t *len);
int raftpack_decode_msg (const void *data, size_t len, struct raft_msg **out);

/* Entries, truncation and hard state of a write, without its snapshot, group
   and sequence.  */
int raftpack_encode_write (const struct wal_write *write, uint8_t **out,
                           size_t *len);
int raftpack_decode_write (const void *data, size_t len,
                           struct wal_write **out);

int raftpack_encode_snapshot (const struct raft_snapshot *snapshot,
                              uint8_t **out, size_t *len);
int raftpack_decode_snapshot (const void *data, size_t len,
                              struct raft_snapshot **out);

#endif
