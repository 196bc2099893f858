#ifndef PROGRAMS_TOOL_BUF_H
#define PROGRAMS_TOOL_BUF_H

/**
 * DOC: buf - growing byte buffer of the tools
 *
 * The tools have no use for running on without memory, so a failed
 * allocation stops the process.
 */

#include <stddef.h>

struct tool_buf
{
  char *data;
  size_t len;
  size_t capacity;
};

void tool_buf_add (struct tool_buf *buf, const void *bytes, size_t len);
void tool_buf_addf (struct tool_buf *buf, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Room for LEN more bytes, already counted as part of the buffer.  */
char *tool_buf_grow (struct tool_buf *buf, size_t len);

void tool_buf_clear (struct tool_buf *buf);
void tool_buf_free (struct tool_buf *buf);

#endif
