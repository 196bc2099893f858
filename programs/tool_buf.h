#ifndef PROGRAMS_TOOL_BUF_H
#define PROGRAMS_TOOL_BUF_H

/**
 * DOC: tbf - growing byte buffer of the tools
 *
 * The tools have no use for running on without memory, so a failed
 * allocation stops the process.
 */

#include <stddef.h>

struct tbf
{
  char *data;
  size_t len;
  size_t cap;
};

void tbf_add (struct tbf *buf, const void *bytes, size_t len);
void tbf_addf (struct tbf *buf, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Room for LEN more bytes, already counted as part of the buffer.  */
char *tbf_grow (struct tbf *buf, size_t len);

void tbf_clear (struct tbf *buf);
void tbf_free (struct tbf *buf);

#endif
