#include "programs/fake_chunk.h"

#include <stdlib.h>

#include "core/err.h"

/* Appends a byte to the current line.  Returns true at the line feed, with the
   line NUL-terminated.  */
static bool
fake_chunk_add_line_byte (struct fake_request *request, char byte)
{
  if (byte == '\n')
    {
      request->chunk_line[request->chunk_line_len] = '\0';
      return true;
    }
  if (byte != '\r' && request->chunk_line_len + 1 < sizeof request->chunk_line)
    request->chunk_line[request->chunk_line_len++] = byte;
  return false;
}

/* Parses the size line of a chunk; a size of 0 is followed by the trailer.  */
static int
fake_chunk_parse_size (struct fake_request *request)
{
  char *end;

  request->chunk_remaining = strtoul (request->chunk_line, &end, 16);
  if (end == request->chunk_line)
    return SR_EMALFORMED;
  request->chunk_line_len = 0;
  request->chunk_state
      = request->chunk_remaining > 0 ? FAKE_CHUNK_DATA : FAKE_CHUNK_TRAILER;
  return SR_OK;
}

/* Handles the line end after chunk data, or a line of the trailer, which ends
   with an empty line.  */
static void
fake_chunk_end_line (struct fake_request *request)
{
  if (request->chunk_state == FAKE_CHUNK_DATA_END)
    request->chunk_state = FAKE_CHUNK_SIZE;
  else if (request->chunk_line_len == 0)
    request->chunk_state = FAKE_CHUNK_DONE;
  request->chunk_line_len = 0;
}

/* Appends chunk data to the body; returns the number of bytes consumed.  */
static size_t
fake_chunk_append_data (struct fake_request *request, const char *bytes,
                        size_t len)
{
  size_t used
      = len < request->chunk_remaining ? len : request->chunk_remaining;

  tool_buf_add (&request->body, bytes, used);
  request->chunk_remaining -= used;
  if (request->chunk_remaining == 0)
    request->chunk_state = FAKE_CHUNK_DATA_END;
  return used;
}

int
fake_chunk_feed (struct fake_request *request, const char *bytes, size_t len)
{
  size_t at = 0;
  int rc = SR_OK;

  while (at < len && rc == SR_OK)
    switch (request->chunk_state)
      {
      case FAKE_CHUNK_DATA:
        at += fake_chunk_append_data (request, bytes + at, len - at);
        break;
      case FAKE_CHUNK_SIZE:
        if (fake_chunk_add_line_byte (request, bytes[at++]))
          rc = fake_chunk_parse_size (request);
        break;
      case FAKE_CHUNK_DATA_END:
      case FAKE_CHUNK_TRAILER:
        if (fake_chunk_add_line_byte (request, bytes[at++]))
          fake_chunk_end_line (request);
        break;
      case FAKE_CHUNK_DONE:
        return SR_OK;
      }
  return rc;
}
