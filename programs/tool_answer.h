#ifndef PROGRAMS_TOOL_ANSWER_H
#define PROGRAMS_TOOL_ANSWER_H

/**
 * DOC: tan - body of an answer of the fake backend server
 *
 * Text lines that repeat the request, a deterministic fill, and the answer of
 * the child call, if one was made:
 *
 *	path PATH
 *	caller CALLER
 *	key KEY
 *	body HASH
 *	fill N
 *	<N bytes>
 *	child M
 *	<M bytes>
 *	end
 *
 * Missing caller and key are written as "-".  Every byte follows from the
 * request and the two lengths, so the load tool can check all of them.
 */

#include <stddef.h>
#include <stdint.h>

#include "programs/tool_buf.h"

#define TOOL_ANSWER_PATH_BYTES 256
#define TOOL_ANSWER_FIELD_BYTES 128

/* What an answer repeats of its request.  */
struct tool_answer_echo
{
  char path[TOOL_ANSWER_PATH_BYTES];
  char caller[TOOL_ANSWER_FIELD_BYTES];
  char key[TOOL_ANSWER_FIELD_BYTES];
  uint64_t body_hash;
};

uint64_t tool_answer_hash (const void *bytes, size_t len);

/* Fills OUT with LEN bytes that follow from SEED and the position.  */
void tool_answer_fill (char *out, size_t len, uint64_t seed);

/* Length named by a path part "/bytes/N", or FALLBACK without one.  */
size_t tool_answer_path_bytes (const char *path, size_t fallback);

/* Appends an answer with FILL bytes and CHILD, which may be NULL.  */
void tool_answer_build (struct tool_buf *out,
                        const struct tool_answer_echo *facts, size_t fill,
                        const struct tool_buf *child);

/**
 * tool_answer_check() - check every byte of an answer
 * @facts: the request, the same one at each hop of the chain
 * @body: the answer
 * @len: its length in bytes
 *
 * Return: NULL when the answer is right, else what is wrong.
 */
const char *tool_answer_check (const struct tool_answer_echo *facts,
                               const char *body, size_t len);

#endif
