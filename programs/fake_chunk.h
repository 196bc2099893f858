#ifndef PROGRAMS_FAKE_CHUNK_H
#define PROGRAMS_FAKE_CHUNK_H

/**
 * DOC: fch - decoder of chunked request bodies
 *
 * libwebsockets 4.1 gives a server the chunked body as it is on the wire.
 */

#include "programs/fake_state.h"

/**
 * fake_chunk_feed() - decode a part of a body
 * @request: receives the bytes and the position in the coding
 * @bytes: the part
 * @len: its length in bytes
 *
 * Return: SR_OK or SR_EMALFORMED.
 */
int fake_chunk_feed (struct fake_request *request, const char *bytes,
                     size_t len);

#endif
