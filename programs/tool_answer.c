#include "programs/tool_answer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/err.h"

#define TOOL_ANSWER_DEPTH_MAX 64
#define TOOL_ANSWER_NO_FILL SIZE_MAX

static const char tool_answer_alphabet[65]
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

uint64_t
tool_answer_hash (const void *bytes, size_t len)
{
  return XXH64 (bytes, len, 0);
}

/* One step of splitmix64: neighbouring values of X give unrelated results.  */
static uint64_t
tool_answer_splitmix64 (uint64_t x)
{
  x += UINT64_C (0x9e3779b97f4a7c15);
  x = (x ^ (x >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * UINT64_C (0x94d049bb133111eb);
  return x ^ (x >> 31);
}

void
tool_answer_fill (char *out, size_t len, uint64_t seed)
{
  uint64_t word = 0;

  for (size_t i = 0; i < len; i++)
    {
      if (i % 8 == 0)
        word = tool_answer_splitmix64 (seed + i / 8);
      out[i] = tool_answer_alphabet[(word >> (i % 8 * 8)) & 63];
    }
}

size_t
tool_answer_path_bytes (const char *path, size_t fallback)
{
  const char *pos = strstr (path, "/bytes/");

  if (pos == NULL)
    return fallback;
  return strtoul (pos + strlen ("/bytes/"), NULL, 10);
}

/* Appends the lines in front of the fill.  */
static void
tool_answer_add_lines (struct tool_buf *out,
                       const struct tool_answer_echo *echo, size_t fill)
{
  tool_buf_addf (out, "path %s\n", echo->path);
  tool_buf_addf (out, "caller %s\n", echo->caller[0] ? echo->caller : "-");
  tool_buf_addf (out, "key %s\n", echo->key[0] ? echo->key : "-");
  tool_buf_addf (out, "body %016" PRIx64 "\nfill %zu\n", echo->body_hash,
                 fill);
}

void
tool_answer_build (struct tool_buf *out, const struct tool_answer_echo *echo,
                   size_t fill, const struct tool_buf *child)
{
  tool_answer_add_lines (out, echo, fill);
  tool_answer_fill (tool_buf_grow (out, fill), fill,
                    tool_answer_hash (echo->path, strlen (echo->path)));
  tool_buf_add (out, "\n", 1);
  if (child != NULL)
    {
      tool_buf_addf (out, "child %zu\n", child->len);
      tool_buf_add (out, child->data, child->len);
      tool_buf_add (out, "\n", 1);
    }
  tool_buf_add (out, "end\n", 4);
}

/* Parses the line "NAME N" at the start of TEXT.  Returns the length of the
   line with its line feed, or 0 when it has another form.  */
static size_t
tool_answer_read_count (const char *text, size_t len, const char *name,
                        size_t *count)
{
  char line[48] = "";
  size_t copied = len < sizeof line - 1 ? len : sizeof line - 1;
  size_t name_len = strlen (name);
  char *end;

  memcpy (line, text, copied);
  if (strncmp (line, name, name_len) != 0 || line[name_len] != ' ')
    return 0;
  *count = strtoul (line + name_len + 1, &end, 10);
  return *end == '\n' ? (size_t)(end - line) + 1 : 0;
}

/* Reads the value of the "fill" line, which is the fifth.  Returns
   TOOL_ANSWER_NO_FILL without a valid one.  */
static size_t
tool_answer_read_fill (const char *body, size_t len)
{
  size_t at = 0;
  size_t fill;

  for (int line = 0; line < 4; line++)
    {
      const char *feed = memchr (body + at, '\n', len - at);

      if (feed == NULL)
        return TOOL_ANSWER_NO_FILL;
      at = (size_t)(feed - body) + 1;
    }
  if (tool_answer_read_count (body + at, len - at, "fill", &fill) == 0
      || fill > len)
    return TOOL_ANSWER_NO_FILL;
  return fill;
}

/* Compares BODY with the expected answer up to the end of its fill.  Returns
   the length of this part, or 0 when a byte differs.  */
static size_t
tool_answer_match_own_part (const struct tool_answer_echo *echo,
                            const char *body, size_t len, size_t fill)
{
  static const char last[] = "end\n";
  struct tool_buf expected = { 0 };
  size_t own;

  tool_answer_build (&expected, echo, fill, NULL);
  own = expected.len - strlen (last);
  if (len < own || memcmp (expected.data, body, own) != 0)
    own = 0;
  tool_buf_free (&expected);
  return own;
}

const char *
tool_answer_check (const struct tool_answer_echo *echo, const char *body,
                   size_t len)
{
  for (int depth = 0; depth < TOOL_ANSWER_DEPTH_MAX; depth++)
    {
      static const char tail[] = "\nend\n";
      size_t fill = tool_answer_read_fill (body, len);
      size_t own;
      size_t line;
      size_t child;

      if (fill == TOOL_ANSWER_NO_FILL
          || tool_answer_path_bytes (echo->path, fill) != fill)
        return "fill length";
      own = tool_answer_match_own_part (echo, body, len, fill);
      if (own == 0)
        return "own part";
      body += own;
      len -= own;
      if (len == 4 && memcmp (body, "end\n", 4) == 0)
        return NULL;
      line = tool_answer_read_count (body, len, "child", &child);
      if (line == 0 || child > len || len != line + child + strlen (tail))
        return "length";
      if (memcmp (body + line + child, tail, strlen (tail)) != 0)
        return "end line";
      body += line;
      len = child;
    }
  return "depth";
}
