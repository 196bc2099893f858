#ifndef PROGRAMS_TOOL_BUF_H
#define PROGRAMS_TOOL_BUF_H

/**
 * DOC: tool_buf - growing byte buffer of the tools
 *
 * A failed allocation aborts the process, since the tools cannot do their job
 * without memory.
 */

#include <stddef.h>

struct tool_buf
{
  char *data;
  size_t len;
  size_t capacity;
};

/* Appends LEN bytes.  */
void tool_buf_add (struct tool_buf *buf, const void *bytes, size_t len);

/* Appends formatted text, up to 2047 bytes.  */
void tool_buf_addf (struct tool_buf *buf, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Extends the buffer by LEN uninitialized bytes and returns a pointer to
   them.  */
char *tool_buf_grow (struct tool_buf *buf, size_t len);

void tool_buf_clear (struct tool_buf *buf);
void tool_buf_free (struct tool_buf *buf);

#endif
