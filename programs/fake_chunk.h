#ifndef PROGRAMS_FAKE_CHUNK_H
#define PROGRAMS_FAKE_CHUNK_H

/**
 * DOC: fake_chunk - decoder of the chunked transfer coding for request bodies
 *
 * libwebsockets 4.1 passes a chunked request body to a server without decoding
 * it.
 */

#include "programs/fake_state.h"

/**
 * fake_chunk_feed() - decode the next bytes of a body
 * @request: receives the decoded bytes and the state of the decoder, which is
 *           FAKE_CHUNK_DONE after the last chunk and its trailer
 * @bytes: encoded bytes
 * @len: length of @bytes
 *
 * Return: SR_OK, or SR_EMALFORMED for a chunk without a size.
 */
int fake_chunk_feed (struct fake_request *request, const char *bytes,
                     size_t len);

#endif
