#ifndef WIRE_RAFTPACK_H
#define WIRE_RAFTPACK_H

/**
 * DOC: raftpack - msgpack encoding of the replicated log
 *
 * Encodes the Raft messages between peers and the records of the write-ahead
 * log in the data directory.  Each starts with a format version.  Decoders
 * check all lengths, counts and orders, so that the consensus code in log/
 * receives only well-formed input.
 *
 * Encoders set @out to a malloc()ed buffer and return SR_OK or SR_ENOMEM.
 * Decoders set @out on success and return SR_OK, SR_EMALFORMED, SR_EVERSION or
 * SR_ENOMEM.
 */

#include <stddef.h>
#include <stdint.h>

#include "core/raftmsg.h"

#define RAFTPACK_VERSION 1
/* Maximum size of a command or a snapshot that is decoded.  */
#define RAFTPACK_DATA_BYTES_MAX (256ull * 1024 * 1024)

int raftpack_encode_msg (const struct raft_msg *msg, uint8_t **out,
                         size_t *len);
int raftpack_decode_msg (const void *data, size_t len, struct raft_msg **out);

/* The hard state, truncation and entries of a write; its snapshot, group and
   sequence number are not encoded.  */
int raftpack_encode_write (const struct raft_write *write, uint8_t **out,
                           size_t *len);
int raftpack_decode_write (const void *data, size_t len,
                           struct raft_write **out);

int raftpack_encode_snapshot (const struct raft_snapshot *snapshot,
                              uint8_t **out, size_t *len);
int raftpack_decode_snapshot (const void *data, size_t len,
                              struct raft_snapshot **out);

#endif
