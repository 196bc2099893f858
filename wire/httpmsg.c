#include "wire/httpmsg.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/decimal.h"
#include "core/err.h"
#include "core/httpstatus.h"

/* Hop-by-hop fields (RFC 9110, 7.6.1), and the fields that frame the body,
   which the encoder writes itself.  */
static const char *const httpmsg_hop_by_hop[]
    = { "connection", "keep-alive",     "proxy-connection",
        "te",         "trailer",        "transfer-encoding",
        "upgrade",    "content-length", "expect" };

/* Stored fields that are not forwarded.  */
static const bool httpmsg_consumed[HTTPMSG_FIELD_COUNT]
    = { [HTTPMSG_DEADLINE_MS] = true,
        [HTTPMSG_CALLER_SERVICE] = true,
        [HTTPMSG_EXPECTED_SERVER_ID] = true,
        [HTTPMSG_NODE_REQUEST] = true,
        [HTTPMSG_NODE_ANSWER] = true };

static bool
httpmsg_name_equals (const struct buf *name, const char *expected)
{
  size_t len = strlen (expected);

  return name->len == len
         && strncasecmp ((const char *)name->data, expected, len) == 0;
}

static void
httpmsg_clear (struct buf *buf)
{
  buf->len = 0;
  buf->base = 0;
}

void
httpmsg_head_fini (struct httpmsg_head *head)
{
  free (head->target);
  buf_free (&head->field_lines);
  memset (head, 0, sizeof *head);
}

static void
httpmsg_begin (struct httpmsg_parser *parser)
{
  httpmsg_head_fini (&parser->head);
  parser->head.role = parser->opts.role;
  parser->in_message = true;
  parser->head_done = false;
  parser->status_state = parser->opts.role == HTTPMSG_ANSWER
                             ? HTTPMSG_STATUS_VERSION
                             : HTTPMSG_STATUS_DONE;
  parser->status_digits = 0;
  parser->header_state = HTTPMSG_HEADER_NONE;
  parser->header_bytes = 0;
  parser->framing_fields = 0;
  httpmsg_clear (&parser->field_name);
  httpmsg_clear (&parser->field_value);
  httpmsg_clear (&parser->target);
  httpmsg_clear (&parser->connection_options);
}

/* Adds LEN to the size of the header; returns nonzero when it is too large. */
static int
httpmsg_count_header_bytes (struct httpmsg_parser *parser, size_t len)
{
  parser->header_bytes += len;
  if (parser->header_bytes <= parser->opts.max_header_bytes)
    return 0;
  parser->error = SR_EFULL;
  return 1;
}

static int
httpmsg_set_malformed (struct httpmsg_parser *parser)
{
  parser->error = SR_EMALFORMED;
  return 1;
}

bool
httpmsg_get_timeout_ms (const struct httpmsg_head *head, uint64_t *timeout_ms)
{
  switch (decimal_parse (head->value[HTTPMSG_DEADLINE_MS],
                         HTTPMSG_TIMEOUT_MS_MAX, timeout_ms))
    {
    case SR_OK:
      return true;
    case SR_EINVAL:
      *timeout_ms = HTTPMSG_TIMEOUT_MS_MAX;
      return true;
    default:
      return false;
    }
}

/* Stores the timeout of a Keep-Alive field, in seconds.  */
static void
httpmsg_parse_keep_alive (struct httpmsg_head *head, const struct buf *value)
{
  const char *timeout = strstr ((const char *)value->data, "timeout=");

  if (timeout == NULL)
    return;
  head->has_keep_alive_timeout = true;
  head->keep_alive_timeout_s
      = (uint32_t)strtoul (timeout + strlen ("timeout="), NULL, 10);
}

/* Stores the value of the field in the head if it is a known one, and sets
 *FORWARDED.  Returns nonzero if the value is too long.  */
static int
httpmsg_store_known_field (struct httpmsg_parser *parser, bool *forwarded)
{
  struct httpmsg_head *head = &parser->head;
  size_t len = parser->field_value.len - 1;

  *forwarded = true;
  for (int i = 0; i < HTTPMSG_FIELD_COUNT; i++)
    {
      const char *name = parser->opts.names->name[i];

      if (name == NULL || !httpmsg_name_equals (&parser->field_name, name))
        continue;
      if (i == HTTPMSG_HOST && head->value[i][0] != '\0')
        parser->framing_fields += 2; /* two Host fields are ambiguous */
      if (len >= HTTPMSG_VALUE_BYTES)
        {
          parser->error = SR_EFULL;
          return 1;
        }
      memcpy (head->value[i], parser->field_value.data, len + 1);
      *forwarded = !httpmsg_consumed[i];
      return 0;
    }
  return 0;
}

/* Whether a field's name is a token (RFC 9110, 5.6.2).  */
static bool
httpmsg_is_token (const struct buf *name)
{
  static const char punctuation[] = "!#$%&'*+-.^_`|~";

  for (size_t i = 0; i < name->len; i++)
    {
      char c = (char)name->data[i];

      if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
            || (c >= 'A' && c <= 'Z') || strchr (punctuation, c) != NULL))
        return false;
    }
  return true;
}

/* Whether the first LEN bytes of DATA contain the beginning of a status line.
   A header that was cut off is continued by the next message, whose status
   line then is a part of the field or of the reason phrase that was cut.  */
static bool
httpmsg_has_status_line (const uint8_t *data, size_t len)
{
  static const char version[] = "HTTP/1.";

  for (size_t i = 0; i + sizeof version + 2 <= len; i++)
    if (memcmp (data + i, version, sizeof version - 1) == 0
        && isdigit (data[i + 7]) && data[i + 8] == ' '
        && isdigit (data[i + 9]))
      return true;
  return false;
}

/* Processes a complete field; returns nonzero on error.  */
static int
httpmsg_finish_field (struct httpmsg_parser *parser)
{
  struct httpmsg_head *head = &parser->head;
  size_t count = sizeof httpmsg_hop_by_hop / sizeof httpmsg_hop_by_hop[0];
  bool forwarded;

  if (parser->field_name.len == 0)
    return 0;
  if (!httpmsg_is_token (&parser->field_name))
    return httpmsg_set_malformed (parser);
  while (
      parser->field_value.len > 0
      && strchr (" \t", parser->field_value.data[parser->field_value.len - 1])
             != NULL)
    parser->field_value.len--;
  if (parser->opts.role == HTTPMSG_ANSWER
      && httpmsg_has_status_line (parser->field_value.data,
                                  parser->field_value.len))
    return httpmsg_set_malformed (parser);
  buf_append (&parser->field_value, "", 1);
  if (httpmsg_name_equals (&parser->field_name, "content-length")
      || httpmsg_name_equals (&parser->field_name, "transfer-encoding"))
    parser->framing_fields++;
  if (httpmsg_name_equals (&parser->field_name, "keep-alive"))
    httpmsg_parse_keep_alive (head, &parser->field_value);
  if (httpmsg_name_equals (&parser->field_name, "expect"))
    head->expects_continue
        = strcasecmp ((const char *)parser->field_value.data, "100-continue")
          == 0;
  if (httpmsg_name_equals (&parser->field_name, "connection"))
    {
      buf_append (&parser->connection_options, ",", 1);
      buf_append (&parser->connection_options, parser->field_value.data,
                  parser->field_value.len - 1);
    }
  for (size_t i = 0; i < count; i++)
    if (httpmsg_name_equals (&parser->field_name, httpmsg_hop_by_hop[i]))
      return 0;
  if (httpmsg_store_known_field (parser, &forwarded) != 0)
    return 1;
  if (!forwarded)
    return 0;
  buf_append (&head->field_lines, parser->field_name.data,
              parser->field_name.len);
  buf_append (&head->field_lines, ": ", 2);
  buf_append (&head->field_lines, parser->field_value.data,
              parser->field_value.len - 1);
  buf_append (&head->field_lines, "\r\n", 2);
  return 0;
}

static struct httpmsg_parser *
httpmsg_parser_of (http_parser *http)
{
  return http->data;
}

static int
httpmsg_on_begin (http_parser *http)
{
  struct httpmsg_parser *parser = httpmsg_parser_of (http);

  httpmsg_begin (parser);
  /* httpmsg_feed() goes on after the first byte, so that it knows where the
     status line is.  */
  if (parser->opts.role == HTTPMSG_ANSWER)
    http_parser_pause (http, 1);
  return 0;
}

/* Counts the digits of the status code in the next LEN bytes of the message.
 */
static void
httpmsg_count_status_digits (struct httpmsg_parser *parser, const char *data,
                             size_t len)
{
  for (size_t i = 0; i < len && parser->status_state != HTTPMSG_STATUS_DONE;
       i++)
    {
      bool is_digit = data[i] >= '0' && data[i] <= '9';

      if (parser->status_state == HTTPMSG_STATUS_VERSION)
        {
          if (data[i] == ' ')
            parser->status_state = HTTPMSG_STATUS_CODE;
        }
      else if (is_digit)
        parser->status_digits++;
      else if (parser->status_digits > 0 || data[i] != ' ')
        parser->status_state = HTTPMSG_STATUS_DONE;
    }
}

static int
httpmsg_on_url (http_parser *http, const char *data, size_t len)
{
  struct httpmsg_parser *parser = httpmsg_parser_of (http);

  buf_append (&parser->target, data, len);
  return httpmsg_count_header_bytes (parser, len);
}

static int
httpmsg_on_field_name (http_parser *http, const char *data, size_t len)
{
  struct httpmsg_parser *parser = httpmsg_parser_of (http);

  if (parser->head_done) /* trailer fields are dropped */
    return httpmsg_count_header_bytes (parser, len);
  if (parser->header_state != HTTPMSG_HEADER_NAME)
    {
      if (httpmsg_finish_field (parser) != 0)
        return 1;
      httpmsg_clear (&parser->field_name);
      httpmsg_clear (&parser->field_value);
    }
  parser->header_state = HTTPMSG_HEADER_NAME;
  buf_append (&parser->field_name, data, len);
  return httpmsg_count_header_bytes (parser, len);
}

static int
httpmsg_on_field_value (http_parser *http, const char *data, size_t len)
{
  struct httpmsg_parser *parser = httpmsg_parser_of (http);

  if (parser->head_done)
    return httpmsg_count_header_bytes (parser, len);
  /* A value may continue only from the end of one read to the start of the
     next; another continuation is an obsolete folded line.  */
  if (parser->header_state == HTTPMSG_HEADER_VALUE
      && (parser->value_end != parser->input || data != parser->input))
    return httpmsg_set_malformed (parser);
  parser->header_state = HTTPMSG_HEADER_VALUE;
  parser->value_end = data + len;
  buf_append (&parser->field_value, data, len);
  return httpmsg_count_header_bytes (parser, len);
}

/* Removes the fields that are listed in the Connection field: they are
   hop-by-hop, too (RFC 9110, 7.6.1).  */
static void
httpmsg_remove_connection_fields (struct httpmsg_parser *parser)
{
  struct buf kept = { 0 };
  const struct buf *lines = &parser->head.field_lines;
  size_t offset = 0;

  if (parser->connection_options.len == 0 || lines->len == 0)
    return;
  buf_append (&parser->connection_options, "", 1);
  while (offset < lines->len)
    {
      const char *line = (const char *)lines->data + offset;
      size_t len
          = (size_t)((const char *)memchr (line, '\n', lines->len - offset)
                     - line)
            + 1;
      size_t name_len = (size_t)((const char *)memchr (line, ':', len) - line);
      const char *option = (const char *)parser->connection_options.data;
      bool listed = false;

      while (*option != '\0')
        {
          size_t option_len;

          option += strspn (option, " ,\t");
          option_len = strcspn (option, " ,\t");
          listed |= option_len == name_len && name_len > 0
                    && strncasecmp (option, line, name_len) == 0;
          option += option_len;
        }
      if (!listed)
        buf_append (&kept, line, len);
      offset += len;
    }
  buf_free (&parser->head.field_lines);
  parser->head.field_lines = kept;
}

static bool
httpmsg_answer_has_no_body (const struct httpmsg_parser *parser, int status)
{
  return parser->no_body || httpstatus_has_no_body (status);
}

static void
httpmsg_set_framing (struct httpmsg_parser *parser)
{
  struct httpmsg_head *head = &parser->head;
  http_parser *http = &parser->http;

  head->chunked = (http->flags & F_CHUNKED) != 0;
  head->body_len = HTTPMSG_LENGTH_UNKNOWN;
  if (!head->chunked && (http->flags & F_CONTENTLENGTH) != 0)
    head->body_len = (int64_t)http->content_length;
  if (head->role == HTTPMSG_REQUEST && !head->chunked && head->body_len < 0)
    head->body_len = 0;
  head->until_close = head->role == HTTPMSG_ANSWER
                      && !httpmsg_answer_has_no_body (parser, head->status)
                      && !head->chunked && head->body_len < 0;
  head->keep_alive = !head->until_close && http_should_keep_alive (http) != 0;
  head->http_1_0 = http->http_major == 1 && http->http_minor == 0;
}

/* Processes the end of the header.  The result is for http_parser: 0 to read
   the body, 1 when there is none, -1 on error.  */
static int
httpmsg_on_head (http_parser *http)
{
  struct httpmsg_parser *parser = httpmsg_parser_of (http);
  struct httpmsg_head *head = &parser->head;

  if (httpmsg_finish_field (parser) != 0)
    return -1;
  httpmsg_clear (&parser->field_name);
  parser->head_done = true;
  http->upgrade = 0;
  if (head->role == HTTPMSG_REQUEST)
    {
      snprintf (head->method, sizeof head->method, "%s",
                http_method_str ((enum http_method)http->method));
      buf_append (&parser->target, "", 1);
      head->target = strdup ((const char *)parser->target.data);
      INVARIANT (head->target != NULL);
    }
  else
    head->status = http->status_code;
  if (head->role == HTTPMSG_ANSWER
      && !httpstatus_valid (head->status, parser->status_digits))
    return httpmsg_set_malformed (parser), -1;
  if (parser->framing_fields > 1
      || (head->role == HTTPMSG_REQUEST && http->method == HTTP_CONNECT))
    return httpmsg_set_malformed (parser), -1;
  if (head->role == HTTPMSG_ANSWER && head->status / 100 == 1)
    {
      /* 101 is the answer to an Upgrade field, which is never sent.  */
      if (head->status == 101 || ++parser->interim_count > HTTPMSG_INTERIM_MAX)
        return httpmsg_set_malformed (parser), -1;
      if (parser->opts.sink->interim != NULL)
        parser->opts.sink->interim (parser->opts.arg, head);
      return 1;
    }
  parser->interim_count = 0;
  httpmsg_remove_connection_fields (parser);
  httpmsg_set_framing (parser);
  parser->error = parser->opts.sink->head (parser->opts.arg, head);
  if (parser->error != 0)
    return -1;
  /* HEAD may be empty now: the callback may have moved its contents out.  */
  return parser->opts.role == HTTPMSG_ANSWER
         && httpmsg_answer_has_no_body (parser, http->status_code);
}

static int
httpmsg_on_body (http_parser *http, const char *data, size_t len)
{
  struct httpmsg_parser *parser = httpmsg_parser_of (http);

  parser->error
      = parser->opts.sink->body (parser->opts.arg, (const uint8_t *)data, len);
  return parser->error != 0;
}

static int
httpmsg_on_end (http_parser *http)
{
  struct httpmsg_parser *parser = httpmsg_parser_of (http);

  parser->in_message = false;
  if (parser->opts.role == HTTPMSG_ANSWER && http->status_code / 100 == 1)
    return 0;
  /* httpmsg_execute() reports the end, since it knows what follows.  */
  parser->ended = true;
  http_parser_pause (http, 1);
  return 0;
}

static int
httpmsg_on_reason (http_parser *http, const char *data, size_t len)
{
  struct httpmsg_parser *parser = httpmsg_parser_of (http);

  buf_append (&parser->target, data, len);
  if (httpmsg_has_status_line (parser->target.data, parser->target.len))
    return httpmsg_set_malformed (parser);
  return httpmsg_count_header_bytes (parser, len);
}

static const http_parser_settings httpmsg_settings
    = { .on_message_begin = httpmsg_on_begin,
        .on_status = httpmsg_on_reason,
        .on_url = httpmsg_on_url,
        .on_header_field = httpmsg_on_field_name,
        .on_header_value = httpmsg_on_field_value,
        .on_headers_complete = httpmsg_on_head,
        .on_body = httpmsg_on_body,
        .on_message_complete = httpmsg_on_end };

void
httpmsg_init (struct httpmsg_parser *parser, const struct httpmsg_opts *opts)
{
  memset (parser, 0, sizeof *parser);
  parser->opts = *opts;
  parser->status_state = HTTPMSG_STATUS_DONE;
  http_parser_init (&parser->http, opts->role == HTTPMSG_REQUEST
                                       ? HTTP_REQUEST
                                       : HTTP_RESPONSE);
  parser->http.data = parser;
}

void
httpmsg_fini (struct httpmsg_parser *parser)
{
  httpmsg_head_fini (&parser->head);
  buf_free (&parser->field_name);
  buf_free (&parser->field_value);
  buf_free (&parser->target);
  buf_free (&parser->connection_options);
}

void
httpmsg_expect_no_body (struct httpmsg_parser *parser, bool expected)
{
  parser->no_body = expected;
}

bool
httpmsg_is_head_method (const struct httpmsg_head *request)
{
  return strcmp (request->method, "HEAD") == 0;
}

/* Parses bytes up to the first of a message or up to its end; returns how many
   it has parsed, and in *PAUSED whether it goes on after them.  */
static size_t
httpmsg_execute (struct httpmsg_parser *parser, const char *data, size_t len,
                 bool *paused)
{
  size_t used;

  httpmsg_count_status_digits (parser, data, len);
  used = http_parser_execute (&parser->http, &httpmsg_settings, data, len);
  *paused = HTTP_PARSER_ERRNO (&parser->http) == HPE_PAUSED;
  if (*paused)
    http_parser_pause (&parser->http, 0);
  if (parser->ended)
    {
      parser->ended = false;
      parser->rest_len = len - used;
      parser->error = parser->opts.sink->end (parser->opts.arg);
      parser->rest_len = 0;
    }
  return used;
}

int
httpmsg_feed (struct httpmsg_parser *parser, const void *data, size_t len)
{
  size_t used = 0;
  bool paused = true;

  if (parser->error != 0)
    return parser->error;
  /* A value that reached the end of the previous input may continue here.  */
  if (parser->value_end == parser->input_end)
    parser->value_end = data;
  else
    parser->value_end = NULL;
  parser->input = data;
  parser->input_end = parser->input + len;
  while (paused && used < len && parser->error == 0)
    used
        += httpmsg_execute (parser, parser->input + used, len - used, &paused);
  if (parser->error == 0
      && (used != len || HTTP_PARSER_ERRNO (&parser->http) != HPE_OK))
    parser->error = HTTP_PARSER_ERRNO (&parser->http) == HPE_HEADER_OVERFLOW
                        ? SR_EFULL
                        : SR_EMALFORMED;
  return parser->error;
}

int
httpmsg_feed_eof (struct httpmsg_parser *parser)
{
  bool paused;

  if (parser->error != 0)
    return parser->error;
  httpmsg_execute (parser, "", 0, &paused);
  if (parser->error == 0
      && (parser->in_message || HTTP_PARSER_ERRNO (&parser->http) != HPE_OK))
    parser->error = SR_EMALFORMED;
  return parser->error;
}

bool
httpmsg_has_rest (const struct httpmsg_parser *parser)
{
  return parser->rest_len > 0;
}

bool
httpmsg_in_message (const struct httpmsg_parser *parser)
{
  return parser->in_message;
}

bool
httpmsg_in_body (const struct httpmsg_parser *parser)
{
  return parser->in_message && parser->head_done;
}

uint64_t
httpmsg_body_rest (const struct httpmsg_parser *parser)
{
  if (!httpmsg_in_body (parser) || (parser->http.flags & F_CHUNKED) != 0)
    return 0;
  return parser->http.content_length;
}
