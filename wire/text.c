#include "wire/text.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "core/model.h"

#define TEXT_WORD_BYTES 64

/* HTTP fields that the node sets itself, and hop-by-hop fields.  */
static const char *const text_reserved[] = {
  "connection",
  "content-length",
  "endpoint-load-metrics",
  "expect",
  "host",
  "idempotency-key",
  "keep-alive",
  "proxy-connection",
  "proxy-status",
  "retry-after",
  "te",
  "traceparent",
  "tracestate",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "x-request-timeout-ms",
};

bool
text_header_reserved (const char *name)
{
  size_t count = sizeof text_reserved / sizeof text_reserved[0];

  for (size_t i = 0; i < count; i++)
    if (strcasecmp (name, text_reserved[i]) == 0)
      return true;
  return false;
}

/* Whether all characters of TEXT are in PUNCTUATION, lower case letters,
   digits or, when UPPER is set, upper case letters.  */
static bool
text_has_only (const char *text, const char *punctuation, bool upper)
{
  for (; *text != '\0'; text++)
    {
      unsigned char c = (unsigned char)*text;

      if (c >= 0x80)
        return false;
      if (isdigit (c) || islower (c) || (upper && isupper (c)))
        continue;
      if (strchr (punctuation, c) == NULL)
        return false;
    }
  return true;
}

bool
text_valid (enum text_form form, const char *text)
{
  size_t len = strlen (text);

  switch (form)
    {
    case TEXT_NAME:
      return len > 0 && len < MODEL_NAME_BYTES
             && text_has_only (text, "-", false);
    case TEXT_PATH:
      return text[0] == '/' && len < MODEL_PATH_BYTES
             && text_has_only (text, "/-._~!$&'()*+,;=:@%", true);
    case TEXT_HEADER:
      return len > 0 && len < MODEL_NAME_BYTES
             && text_has_only (text, "!#$%&'*+-.^_`|~", true)
             && !text_header_reserved (text);
    }
  return false;
}

const char *
text_describe_allowed (enum text_form form)
{
  switch (form)
    {
    case TEXT_NAME:
      return "1 to 63 characters of a-z, 0-9 and -";
    case TEXT_PATH:
      return "a path of at most 127 characters that begins with /";
    case TEXT_HEADER:
      return "an HTTP field name of 1 to 63 characters that the system does "
             "not set itself";
    }
  return "";
}

/* Levenshtein distance of A, with upper case read as lower case, and B.  B
   must be shorter than TEXT_WORD_BYTES.  */
static size_t
text_edit_distance (const char *a, const char *b)
{
  size_t row[TEXT_WORD_BYTES];
  size_t b_len = strlen (b);

  for (size_t j = 0; j <= b_len; j++)
    row[j] = j;
  for (size_t i = 0; a[i] != '\0'; i++)
    {
      size_t diagonal = row[0];

      row[0] = i + 1;
      for (size_t j = 0; j < b_len; j++)
        {
          bool equal = tolower ((unsigned char)a[i]) == b[j];
          size_t distance = diagonal + (equal ? 0 : 1);

          diagonal = row[j + 1];
          if (row[j] + 1 < distance)
            distance = row[j] + 1;
          if (diagonal + 1 < distance)
            distance = diagonal + 1;
          row[j + 1] = distance;
        }
    }
  return row[b_len];
}

const char *
text_nearest (const char *word, const char *const *names, size_t count)
{
  size_t len = strlen (word);
  size_t distance_limit = len <= 3 ? 2 : 3;
  const char *nearest = NULL;

  if (len >= TEXT_WORD_BYTES)
    return NULL;
  for (size_t i = 0; i < count; i++)
    {
      size_t distance;

      if (strlen (names[i]) >= TEXT_WORD_BYTES)
        continue;
      distance = text_edit_distance (word, names[i]);
      if (distance >= distance_limit)
        continue;
      distance_limit = distance;
      nearest = names[i];
    }
  return nearest;
}
