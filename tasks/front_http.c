#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/httpstatus.h"
#include "tasks/front_state.h"

/* Header fields forwarded from callers to backend servers.  */
static const enum lws_token_indexes front_http_request_tokens[] = {
  WSI_TOKEN_HTTP_ACCEPT,
  WSI_TOKEN_HTTP_ACCEPT_ENCODING,
  WSI_TOKEN_HTTP_ACCEPT_LANGUAGE,
  WSI_TOKEN_HTTP_AUTHORIZATION,
  WSI_TOKEN_HTTP_COOKIE,
  WSI_TOKEN_HTTP_CONTENT_TYPE,
  WSI_TOKEN_HTTP_CONTENT_ENCODING,
  WSI_TOKEN_HTTP_IF_MATCH,
  WSI_TOKEN_HTTP_IF_NONE_MATCH,
  WSI_TOKEN_HTTP_IF_MODIFIED_SINCE,
  WSI_TOKEN_HTTP_RANGE,
  WSI_TOKEN_HTTP_IF_RANGE,
  WSI_TOKEN_HTTP_REFERER,
  WSI_TOKEN_HTTP_USER_AGENT,
};

/* Header fields forwarded from backend servers to callers.  */
static const enum lws_token_indexes front_http_answer_tokens[] = {
  WSI_TOKEN_HTTP_CONTENT_TYPE,     WSI_TOKEN_HTTP_CONTENT_ENCODING,
  WSI_TOKEN_HTTP_CONTENT_LANGUAGE, WSI_TOKEN_HTTP_CONTENT_DISPOSITION,
  WSI_TOKEN_HTTP_CONTENT_RANGE,    WSI_TOKEN_HTTP_ACCEPT_RANGES,
  WSI_TOKEN_HTTP_CACHE_CONTROL,    WSI_TOKEN_HTTP_ETAG,
  WSI_TOKEN_HTTP_LAST_MODIFIED,    WSI_TOKEN_HTTP_EXPIRES,
  WSI_TOKEN_HTTP_LOCATION,         WSI_TOKEN_HTTP_VARY,
  WSI_TOKEN_HTTP_SET_COOKIE,       WSI_TOKEN_HTTP_WWW_AUTHENTICATE,
  WSI_TOKEN_HTTP_RETRY_AFTER,
};

/* Request header fields without a libwebsockets token that are always
   forwarded.  */
static const char *const front_http_request_names[]
    = { "traceparent", "tracestate", "idempotency-key" };

struct front_http_method_row
{
  enum lws_token_indexes token;
  const char *name;
};

static const struct front_http_method_row front_http_methods[] = {
  { WSI_TOKEN_GET_URI, "GET" },     { WSI_TOKEN_POST_URI, "POST" },
  { WSI_TOKEN_PUT_URI, "PUT" },     { WSI_TOKEN_DELETE_URI, "DELETE" },
  { WSI_TOKEN_PATCH_URI, "PATCH" }, { WSI_TOKEN_OPTIONS_URI, "OPTIONS" },
  { WSI_TOKEN_HEAD_URI, "HEAD" },
};

void
front_http_copy_token (struct lws *wsi, enum lws_token_indexes token,
                       char *out, size_t size)
{
  out[0] = '\0';
  if (lws_hdr_copy (wsi, out, (int)size, token) < 0)
    out[0] = '\0';
}

/* Appends TEXT in percent-encoding, because libwebsockets has decoded it.
   KEEP lists the characters besides letters and digits that are not encoded.
   Returns the length.  */
static size_t
front_http_percent_encode (const char *text, const char *keep, char *out,
                           size_t size)
{
  static const char digits[] = "0123456789ABCDEF";
  size_t len = 0;

  for (; *text != '\0' && len + 4 < size; text++)
    {
      unsigned char c = (unsigned char)*text;

      if ((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
          || (c >= 'A' && c <= 'Z') || strchr (keep, c) != NULL)
        out[len++] = (char)c;
      else
        {
          out[len++] = '%';
          out[len++] = digits[c >> 4];
          out[len++] = digits[c & 15];
        }
    }
  out[len] = '\0';
  return len;
}

/* Appends the query of the request to URI.  */
static void
front_http_append_query (struct lws *wsi, char *uri, size_t size)
{
  size_t len = strlen (uri);
  char argument[FRONT_URI_BYTES / 2];

  for (int index = 0; len + 4 < size; index++)
    {
      if (lws_hdr_copy_fragment (wsi, argument, sizeof argument,
                                 WSI_TOKEN_HTTP_URI_ARGS, index)
          < 0)
        return;
      uri[len++] = index == 0 ? '?' : '&';
      len += front_http_percent_encode (argument, "-._~=/:,@!$'()*;",
                                        uri + len, size - len);
    }
}

int
front_http_read_method (struct lws *wsi, char *method, size_t size, char *uri,
                        size_t uri_size)
{
  char path[FRONT_URI_BYTES / 2];

  for (size_t i = 0;
       i < sizeof front_http_methods / sizeof front_http_methods[0]; i++)
    {
      if (lws_hdr_total_length (wsi, front_http_methods[i].token) <= 0)
        continue;
      if (lws_hdr_copy (wsi, path, sizeof path, front_http_methods[i].token)
          < 0)
        return SR_EFULL;
      snprintf (method, size, "%s", front_http_methods[i].name);
      front_http_percent_encode (path, "-._~/:,@!$&'()*+;=", uri, uri_size);
      front_http_append_query (wsi, uri, uri_size);
      return SR_OK;
    }
  return SR_EMALFORMED;
}

int
front_http_status (struct lws *wsi)
{
  enum lws_token_indexes token = lws_hdr_total_length (wsi, WSI_TOKEN_HTTP) > 0
                                     ? WSI_TOKEN_HTTP
                                     : WSI_TOKEN_HTTP1_0;
  int status = (int)lws_http_client_http_response (wsi);
  char line[FRONT_HEADER_BYTES];

  front_http_copy_token (wsi, token, line, sizeof line);
  return httpstatus_valid (status, strspn (line, "0123456789"))
             ? status
             : SR_EMALFORMED;
}

int64_t
front_http_content_length (struct lws *wsi)
{
  char text[32];
  char *end = NULL;
  long long value;

  if (lws_hdr_total_length (wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0)
    return MSG_LENGTH_UNKNOWN;
  front_http_copy_token (wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, text,
                         sizeof text);
  value = strtoll (text, &end, 10);
  if (end == text || *end != '\0' || value < 0)
    return MSG_LENGTH_UNKNOWN;
  return value;
}

/* Appends the field with TOKEN if the message has it.  */
static int
front_http_read_token (struct lws *wsi, enum lws_token_indexes token,
                       struct list *out)
{
  char value[FRONT_HEADER_BYTES / 2];
  char name[MODEL_NAME_BYTES];
  size_t len;

  if (lws_hdr_total_length (wsi, token) <= 0)
    return SR_OK;
  if (lws_hdr_copy (wsi, value, sizeof value, token) < 0)
    return SR_EFULL;
  snprintf (name, sizeof name, "%s",
            (const char *)lws_token_to_string (token));
  len = strlen (name);
  if (len > 0 && name[len - 1] == ':')
    name[len - 1] = '\0';
  return msg_field_add (out, name, value);
}

static int
front_http_read_custom (struct lws *wsi, const char *name, struct list *out)
{
  char value[FRONT_HEADER_BYTES / 2];
  char colon[MODEL_NAME_BYTES + 1];
  int len = snprintf (colon, sizeof colon, "%s:", name);

  if (lws_hdr_custom_length (wsi, colon, len) <= 0
      || msg_field_get (out, name) != NULL)
    return SR_OK;
  if (lws_hdr_custom_copy (wsi, value, sizeof value, colon, len) < 0)
    return SR_EFULL;
  return msg_field_add (out, name, value);
}

/* Appends the header fields declared in the configuration.  */
static int
front_http_read_declared (struct lws *wsi, const struct model *model,
                          struct list *out)
{
  int error = SR_OK;

  if (model == NULL)
    return SR_OK;
  if (model->caller_header[0] != '\0')
    error = front_http_read_custom (wsi, model->caller_header, out);
  for (uint32_t i = 0; i < model->pass_header_count && error == SR_OK; i++)
    error = front_http_read_custom (wsi, model->pass_headers[i], out);
  return error;
}

int
front_http_read_request_fields (struct lws *wsi, const struct model *model,
                                struct list *out)
{
  size_t count
      = sizeof front_http_request_tokens / sizeof front_http_request_tokens[0];
  size_t name_count
      = sizeof front_http_request_names / sizeof front_http_request_names[0];
  int error = SR_OK;

  for (size_t i = 0; i < count && error == SR_OK; i++)
    error = front_http_read_token (wsi, front_http_request_tokens[i], out);
  for (size_t i = 0; i < name_count && error == SR_OK; i++)
    error = front_http_read_custom (wsi, front_http_request_names[i], out);
  if (error == SR_OK)
    error = front_http_read_declared (wsi, model, out);
  return error;
}

int
front_http_read_answer_fields (struct lws *wsi, const struct model *model,
                               struct list *out)
{
  size_t count
      = sizeof front_http_answer_tokens / sizeof front_http_answer_tokens[0];
  int error = SR_OK;

  for (size_t i = 0; i < count && error == SR_OK; i++)
    error = front_http_read_token (wsi, front_http_answer_tokens[i], out);
  if (error == SR_OK)
    error = front_http_read_declared (wsi, model, out);
  return error;
}

int
front_http_add_field (struct lws *wsi, const char *name, const char *value,
                      unsigned char **p, unsigned char *end)
{
  char colon[MODEL_NAME_BYTES + 2];

  snprintf (colon, sizeof colon, "%s:", name);
  return lws_add_http_header_by_name (wsi, (const unsigned char *)colon,
                                      (const unsigned char *)value,
                                      (int)strlen (value), p, end);
}

bool
front_http_is_loopback (struct lws *wsi)
{
  char address[64];

  address[0] = '\0';
  lws_get_peer_simple (wsi, address, sizeof address);
  return strncmp (address, "127.", 4) == 0 || strcmp (address, "::1") == 0
         || strncmp (address, "::ffff:127.", 11) == 0;
}
