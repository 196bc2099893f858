#include "programs/tool_answer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/err.h"

#define TAN_DEPTH_MAX 64
#define TAN_NO_BYTES SIZE_MAX

static const char tan_alphabet[65]
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

uint64_t
tan_hash (const void *bytes, size_t len)
{
  return XXH64 (bytes, len, 0);
}

/* Mixes the bits of X; neighbours get unrelated values.  */
static uint64_t
tan_mix (uint64_t x)
{
  x += UINT64_C (0x9e3779b97f4a7c15);
  x = (x ^ (x >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * UINT64_C (0x94d049bb133111eb);
  return x ^ (x >> 31);
}

void
tan_fill (char *out, size_t len, uint64_t seed)
{
  uint64_t word = 0;

  for (size_t i = 0; i < len; i++)
    {
      if (i % 8 == 0)
        word = tan_mix (seed + i / 8);
      out[i] = tan_alphabet[(word >> (i % 8 * 8)) & 63];
    }
}

size_t
tan_path_bytes (const char *path, size_t fallback)
{
  const char *part = strstr (path, "/bytes/");

  if (part == NULL)
    return fallback;
  return strtoul (part + strlen ("/bytes/"), NULL, 10);
}

/* Appends the lines before the fill.  */
static void
tan_add_lines (struct tbf *out, const struct tan_facts *facts, size_t fill)
{
  tbf_addf (out, "path %s\n", facts->path);
  tbf_addf (out, "caller %s\n", facts->caller[0] ? facts->caller : "-");
  tbf_addf (out, "key %s\n", facts->key[0] ? facts->key : "-");
  tbf_addf (out, "body %016" PRIx64 "\nfill %zu\n", facts->body_hash, fill);
}

void
tan_build (struct tbf *out, const struct tan_facts *facts, size_t fill,
           const struct tbf *child)
{
  tan_add_lines (out, facts, fill);
  tan_fill (tbf_grow (out, fill), fill,
            tan_hash (facts->path, strlen (facts->path)));
  tbf_add (out, "\n", 1);
  if (child != NULL)
    {
      tbf_addf (out, "child %zu\n", child->len);
      tbf_add (out, child->data, child->len);
      tbf_add (out, "\n", 1);
    }
  tbf_add (out, "end\n", 4);
}

/* Reads "NAME N" and a line feed at the start of TEXT.  Returns the length of
   the line, or 0.  */
static size_t
tan_read_count (const char *text, size_t len, const char *name, size_t *count)
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

/* Value of the "fill" line, or TAN_NO_BYTES.  */
static size_t
tan_fill_named (const char *body, size_t len)
{
  size_t at = 0;
  size_t fill;

  for (int line = 0; line < 4; line++)
    {
      const char *feed = memchr (body + at, '\n', len - at);

      if (feed == NULL)
        return TAN_NO_BYTES;
      at = (size_t)(feed - body) + 1;
    }
  if (tan_read_count (body + at, len - at, "fill", &fill) == 0 || fill > len)
    return TAN_NO_BYTES;
  return fill;
}

/* Compares BODY with the answer without a child up to its last line.
   Returns the length compared, or 0 when a byte differs.  */
static size_t
tan_check_own (const struct tan_facts *facts, const char *body, size_t len,
               size_t fill)
{
  static const char last[] = "end\n";
  struct tbf want = { 0 };
  size_t own;

  tan_build (&want, facts, fill, NULL);
  own = want.len - strlen (last);
  if (len < own || memcmp (want.data, body, own) != 0)
    own = 0;
  tbf_free (&want);
  return own;
}

const char *
tan_check (const struct tan_facts *facts, const char *body, size_t len)
{
  for (int depth = 0; depth < TAN_DEPTH_MAX; depth++)
    {
      static const char tail[] = "\nend\n";
      size_t fill = tan_fill_named (body, len);
      size_t own;
      size_t line;
      size_t child;

      if (fill == TAN_NO_BYTES || tan_path_bytes (facts->path, fill) != fill)
        return "fill length";
      own = tan_check_own (facts, body, len, fill);
      if (own == 0)
        return "own part";
      body += own;
      len -= own;
      if (len == 4 && memcmp (body, "end\n", 4) == 0)
        return NULL;
      line = tan_read_count (body, len, "child", &child);
      if (line == 0 || child > len || len != line + child + strlen (tail))
        return "length";
      if (memcmp (body + line + child, tail, strlen (tail)) != 0)
        return "end line";
      body += line;
      len = child;
    }
  return "depth";
}
