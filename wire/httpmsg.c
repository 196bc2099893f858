#include "wire/httpmsg.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/err.h"

/* Fields that concern one connection only (RFC 9110, 7.6.1), and those that
   frame the body, which the encoder writes itself.  */
static const char *const hm_hop_by_hop[]
    = { "connection", "keep-alive",     "proxy-connection",
        "te",         "trailer",        "transfer-encoding",
        "upgrade",    "content-length", "expect" };

/* Noted fields that are not passed on as they came.  */
static const bool hm_taken[HM_FIELD_COUNT] = { [HM_DEADLINE_MS] = true,
                                               [HM_CALLER] = true,
                                               [HM_EXPECT] = true,
                                               [HM_NODE_REQUEST] = true,
                                               [HM_NODE_ANSWER] = true };

static bool
hm_is (const struct buf *name, const char *text)
{
  size_t len = strlen (text);

  return name->len == len
         && strncasecmp ((const char *)name->data, text, len) == 0;
}

static void
hm_clear (struct buf *buf)
{
  buf->len = 0;
  buf->base = 0;
}

void
hm_head_fini (struct hm_head *head)
{
  free (head->target);
  buf_free (&head->lines);
  memset (head, 0, sizeof *head);
}

static void
hm_begin (struct hm_parser *parser)
{
  hm_head_fini (&parser->head);
  parser->head.role = parser->opts.role;
  parser->in_message = true;
  parser->head_done = false;
  parser->part = HM_PART_NONE;
  parser->header_bytes = 0;
  parser->framings = 0;
  hm_clear (&parser->name);
  hm_clear (&parser->text);
  hm_clear (&parser->target);
  hm_clear (&parser->connection);
}

/* Counts header bytes; nonzero when there are too many.  */
static int
hm_count (struct hm_parser *parser, size_t len)
{
  parser->header_bytes += len;
  if (parser->header_bytes <= parser->opts.header_bytes)
    return 0;
  parser->error = SR_EFULL;
  return 1;
}

static int
hm_malformed (struct hm_parser *parser)
{
  parser->error = SR_EMALFORMED;
  return 1;
}

/* Value of the timeout in a Keep-Alive field.  */
static void
hm_keep_alive (struct hm_head *head, const struct buf *text)
{
  const char *at = strstr ((const char *)text->data, "timeout=");

  if (at == NULL)
    return;
  head->idle_known = true;
  head->idle_s = (uint32_t)strtoul (at + strlen ("timeout="), NULL, 10);
}

/* Notes the value of a field that the program reads.  Returns whether the
   field is passed on.  */
static bool
hm_note (struct hm_parser *parser)
{
  struct hm_head *head = &parser->head;
  size_t len = parser->text.len - 1;

  for (int i = 0; i < HM_FIELD_COUNT; i++)
    {
      const char *name = parser->opts.names->name[i];

      if (name == NULL || !hm_is (&parser->name, name))
        continue;
      if (i == HM_HOST && head->value[i][0] != '\0')
        parser->framings += 2; /* two hosts are as ambiguous */
      if (len < HM_VALUE_BYTES)
        memcpy (head->value[i], parser->text.data, len + 1);
      return !hm_taken[i];
    }
  return true;
}

/* Whether a field's name is a token (RFC 9110, 5.6.2).  */
static bool
hm_is_token (const struct buf *name)
{
  static const char extra[] = "!#$%&'*+-.^_`|~";

  for (size_t i = 0; i < name->len; i++)
    {
      char c = (char)name->data[i];

      if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
            || (c >= 'A' && c <= 'Z') || strchr (extra, c) != NULL))
        return false;
    }
  return true;
}

/* A field is complete.  */
static int
hm_field_done (struct hm_parser *parser)
{
  struct hm_head *head = &parser->head;
  size_t count = sizeof hm_hop_by_hop / sizeof hm_hop_by_hop[0];

  if (parser->name.len == 0)
    return 0;
  if (!hm_is_token (&parser->name))
    return hm_malformed (parser);
  while (parser->text.len > 0
         && strchr (" \t", parser->text.data[parser->text.len - 1]) != NULL)
    parser->text.len--;
  buf_append (&parser->text, "", 1);
  if (hm_is (&parser->name, "content-length")
      || hm_is (&parser->name, "transfer-encoding"))
    parser->framings++;
  if (hm_is (&parser->name, "keep-alive"))
    hm_keep_alive (head, &parser->text);
  if (hm_is (&parser->name, "expect"))
    head->wants_continue
        = strcasecmp ((const char *)parser->text.data, "100-continue") == 0;
  if (hm_is (&parser->name, "connection"))
    {
      buf_append (&parser->connection, ",", 1);
      buf_append (&parser->connection, parser->text.data,
                  parser->text.len - 1);
    }
  for (size_t i = 0; i < count; i++)
    if (hm_is (&parser->name, hm_hop_by_hop[i]))
      return 0;
  if (!hm_note (parser))
    return 0;
  buf_append (&head->lines, parser->name.data, parser->name.len);
  buf_append (&head->lines, ": ", 2);
  buf_append (&head->lines, parser->text.data, parser->text.len - 1);
  buf_append (&head->lines, "\r\n", 2);
  return 0;
}

static struct hm_parser *
hm_of (http_parser *parser)
{
  return parser->data;
}

static int
hm_on_begin (http_parser *http)
{
  hm_begin (hm_of (http));
  return 0;
}

static int
hm_on_url (http_parser *http, const char *at, size_t len)
{
  struct hm_parser *parser = hm_of (http);

  buf_append (&parser->target, at, len);
  return hm_count (parser, len);
}

static int
hm_on_name (http_parser *http, const char *at, size_t len)
{
  struct hm_parser *parser = hm_of (http);

  if (parser->head_done) /* trailers are dropped */
    return hm_count (parser, len);
  if (parser->part != HM_PART_NAME)
    {
      if (hm_field_done (parser) != 0)
        return 1;
      hm_clear (&parser->name);
      hm_clear (&parser->text);
    }
  parser->part = HM_PART_NAME;
  buf_append (&parser->name, at, len);
  return hm_count (parser, len);
}

static int
hm_on_value (http_parser *http, const char *at, size_t len)
{
  struct hm_parser *parser = hm_of (http);

  if (parser->head_done)
    return hm_count (parser, len);
  /* A value goes on only from one read to the next; anything else is a line
     that was folded.  */
  if (parser->part == HM_PART_VALUE
      && (parser->value_end != parser->chunk || at != parser->chunk))
    return hm_malformed (parser);
  parser->part = HM_PART_VALUE;
  parser->value_end = at + len;
  buf_append (&parser->text, at, len);
  return hm_count (parser, len);
}

/* Removes the fields that the Connection field names.  */
static void
hm_drop_options (struct hm_parser *parser)
{
  struct buf kept = { 0 };
  const struct buf *lines = &parser->head.lines;
  size_t at = 0;

  if (parser->connection.len == 0 || lines->len == 0)
    return;
  buf_append (&parser->connection, "", 1);
  while (at < lines->len)
    {
      const char *line = (const char *)lines->data + at;
      size_t len
          = (size_t)((const char *)memchr (line, '\n', lines->len - at) - line)
            + 1;
      size_t name = (size_t)((const char *)memchr (line, ':', len) - line);
      const char *option = (const char *)parser->connection.data;
      bool named = false;

      while (*option != '\0')
        {
          size_t size;

          option += strspn (option, " ,\t");
          size = strcspn (option, " ,\t");
          named |= size == name && name > 0
                   && strncasecmp (option, line, name) == 0;
          option += size;
        }
      if (!named)
        buf_append (&kept, line, len);
      at += len;
    }
  buf_free (&parser->head.lines);
  parser->head.lines = kept;
}

static void
hm_framing (struct hm_parser *parser)
{
  struct hm_head *head = &parser->head;
  http_parser *http = &parser->parser;

  head->chunked = (http->flags & F_CHUNKED) != 0;
  head->body_len = HM_LENGTH_UNKNOWN;
  if (!head->chunked && (http->flags & F_CONTENTLENGTH) != 0)
    head->body_len = (int64_t)http->content_length;
  if (head->role == HM_REQUEST && !head->chunked && head->body_len < 0)
    head->body_len = 0;
  if (head->role == HM_ANSWER && (head->status == 204 || head->status == 304))
    head->body_len = 0;
  head->until_close = head->role == HM_ANSWER && !parser->head_answer
                      && !head->chunked && head->body_len < 0;
  head->keep_alive = !head->until_close && http_should_keep_alive (http) != 0;
  head->http_1_0 = http->http_major == 1 && http->http_minor == 0;
}

static int
hm_on_head (http_parser *http)
{
  struct hm_parser *parser = hm_of (http);
  struct hm_head *head = &parser->head;

  if (hm_field_done (parser) != 0)
    return -1;
  hm_clear (&parser->name);
  parser->head_done = true;
  http->upgrade = 0;
  if (head->role == HM_REQUEST)
    {
      snprintf (head->method, sizeof head->method, "%s",
                http_method_str ((enum http_method)http->method));
      buf_append (&parser->target, "", 1);
      head->target = strdup ((const char *)parser->target.data);
      INVARIANT (head->target != NULL);
    }
  else
    head->status = http->status_code;
  if (parser->framings > 1
      || (head->role == HM_REQUEST && http->method == HTTP_CONNECT))
    return hm_malformed (parser), -1;
  if (head->role == HM_ANSWER && head->status / 100 == 1)
    {
      if (parser->opts.sink->interim != NULL)
        parser->opts.sink->interim (parser->opts.arg, head);
      return 1;
    }
  hm_drop_options (parser);
  hm_framing (parser);
  parser->error = parser->opts.sink->head (parser->opts.arg, head);
  if (parser->error != 0)
    return -1;
  /* The sink may have moved the head out.  */
  return parser->opts.role == HM_ANSWER && parser->head_answer ? 1 : 0;
}

static int
hm_on_body (http_parser *http, const char *at, size_t len)
{
  struct hm_parser *parser = hm_of (http);

  parser->error
      = parser->opts.sink->body (parser->opts.arg, (const uint8_t *)at, len);
  return parser->error != 0;
}

static int
hm_on_end (http_parser *http)
{
  struct hm_parser *parser = hm_of (http);

  parser->in_message = false;
  if (parser->opts.role == HM_ANSWER && http->status_code / 100 == 1)
    return 0;
  parser->error = parser->opts.sink->end (parser->opts.arg);
  return parser->error != 0;
}

static const http_parser_settings hm_settings
    = { .on_message_begin = hm_on_begin,
        .on_url = hm_on_url,
        .on_header_field = hm_on_name,
        .on_header_value = hm_on_value,
        .on_headers_complete = hm_on_head,
        .on_body = hm_on_body,
        .on_message_complete = hm_on_end };

void
hm_init (struct hm_parser *parser, const struct hm_opts *opts)
{
  memset (parser, 0, sizeof *parser);
  parser->opts = *opts;
  http_parser_init (&parser->parser,
                    opts->role == HM_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
  parser->parser.data = parser;
}

void
hm_fini (struct hm_parser *parser)
{
  hm_head_fini (&parser->head);
  buf_free (&parser->name);
  buf_free (&parser->text);
  buf_free (&parser->target);
  buf_free (&parser->connection);
}

void
hm_expect_head (struct hm_parser *parser, bool expected)
{
  parser->head_answer = expected;
}

bool
hm_is_head (const struct hm_head *request)
{
  return strcmp (request->method, "HEAD") == 0;
}

int
hm_feed (struct hm_parser *parser, const void *data, size_t len)
{
  size_t used;

  if (parser->error != 0)
    return parser->error;
  /* A value that reached the end of the last read may go on at this one.  */
  if (parser->value_end == parser->chunk_end)
    parser->value_end = data;
  else
    parser->value_end = NULL;
  parser->chunk = data;
  parser->chunk_end = parser->chunk + len;
  used = http_parser_execute (&parser->parser, &hm_settings, data, len);
  if (parser->error == 0
      && (used != len || HTTP_PARSER_ERRNO (&parser->parser) != HPE_OK))
    parser->error = HTTP_PARSER_ERRNO (&parser->parser) == HPE_HEADER_OVERFLOW
                        ? SR_EFULL
                        : SR_EMALFORMED;
  return parser->error;
}

int
hm_feed_end (struct hm_parser *parser)
{
  if (parser->error != 0)
    return parser->error;
  http_parser_execute (&parser->parser, &hm_settings, "", 0);
  if (parser->error == 0
      && (parser->in_message || HTTP_PARSER_ERRNO (&parser->parser) != HPE_OK))
    parser->error = SR_EMALFORMED;
  return parser->error;
}

bool
hm_inside (const struct hm_parser *parser)
{
  return parser->in_message;
}
