#ifndef PROGRAMS_TOOL_ANSWER_H
#define PROGRAMS_TOOL_ANSWER_H

/**
 * DOC: tool_answer - body of an answer of the fake backend server
 *
 * It has text lines that echo the request, a deterministic fill and, after a
 * child call, the answer to that:
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
 * A missing caller or key is written as "-".  Every byte is a function of the
 * request and the two lengths, so the load generator can check all of them.
 */

#include <stddef.h>
#include <stdint.h>

#include "programs/tool_buf.h"

#define TOOL_ANSWER_PATH_BYTES 256
#define TOOL_ANSWER_FIELD_BYTES 128

/* What an answer echoes of its request.  */
struct tool_answer_echo
{
  char path[TOOL_ANSWER_PATH_BYTES];
  char caller[TOOL_ANSWER_FIELD_BYTES];
  char key[TOOL_ANSWER_FIELD_BYTES];
  uint64_t body_hash;
};

/* XXH64 hash of LEN bytes.  */
uint64_t tool_answer_hash (const void *bytes, size_t len);

/* Fills OUT with LEN pseudo-random printable characters, a function of SEED
   and the position.  */
void tool_answer_fill (char *out, size_t len, uint64_t seed);

/* Length of the fill that "/bytes/N" in PATH asks for, or FALLBACK without
   it.  */
size_t tool_answer_path_bytes (const char *path, size_t fallback);

/* Appends an answer with a fill of FILL bytes and the answer CHILD of the
   child call, which may be NULL.  */
void tool_answer_build (struct tool_buf *out,
                        const struct tool_answer_echo *echo, size_t fill,
                        const struct tool_buf *child);

/**
 * tool_answer_check() - check every byte of an answer
 * @echo: the request, the same at each hop of the call chain
 * @body: the answer
 * @len: length of @body in bytes
 *
 * Return: NULL when the answer is correct, else the part that is wrong.
 */
const char *tool_answer_check (const struct tool_answer_echo *echo,
                               const char *body, size_t len);

#endif
