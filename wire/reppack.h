#ifndef WIRE_REPPACK_H
#define WIRE_REPPACK_H

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

#include "core/repmsg.h"

#define RPK_VERSION 1
/* Largest command or snapshot that is decoded.  */
#define RPK_DATA_BYTES_MAX (256ull * 1024 * 1024)

int rpk_encode_msg (const struct rep_msg *msg, uint8_t **out, size_t *len);
int rpk_decode_msg (const void *data, size_t len, struct rep_msg **out);

/* Entries, truncation and hard state of a write, without its snapshot, group
   and sequence.  */
int rpk_encode_write (const struct sto_write *write, uint8_t **out,
                      size_t *len);
int rpk_decode_write (const void *data, size_t len, struct sto_write **out);

int rpk_encode_snapshot (const struct rep_snapshot *snapshot, uint8_t **out,
                         size_t *len);
int rpk_decode_snapshot (const void *data, size_t len,
                         struct rep_snapshot **out);

#endif
