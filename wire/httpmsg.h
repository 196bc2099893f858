#ifndef WIRE_HTTPMSG_H
#define WIRE_HTTPMSG_H

/**
 * DOC: httpmsg - streaming parser and encoder of HTTP/1.1 messages
 *
 * The parser hands the head, the body and the end of a message to callbacks.
 * End-to-end fields are kept unchanged, in their order and with duplicates;
 * hop-by-hop fields are removed.  A message with ambiguous framing is rejected
 * as malformed, against request smuggling.
 */

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/buf.h"

/* Longer time limits count as this one, one day.  */
#define HTTPMSG_TIMEOUT_MS_MAX 86400000u
#define HTTPMSG_METHOD_BYTES 24
#define HTTPMSG_VALUE_BYTES 256
#define HTTPMSG_LENGTH_UNKNOWN (-1)
/* Interim responses accepted before a final one; more are malformed, because a
   broken server may send them without end.  */
#define HTTPMSG_INTERIM_MAX 16u

/* Fields whose value the parser stores in the head.  */
enum httpmsg_field
{
  HTTPMSG_HOST,
  HTTPMSG_CONTENT_ENCODING,
  HTTPMSG_RETRY_AFTER,
  HTTPMSG_REQUEST_ID,         /* id of one attempt of a request */
  HTTPMSG_DEADLINE_MS,        /* remaining time until the sender gives up */
  HTTPMSG_CALLER_SERVICE,     /* service of the backend server that sent it */
  HTTPMSG_EXPECTED_SERVER_ID, /* id of the only server that may execute it */
  HTTPMSG_SEAL,        /* proof that the response is from the backend server */
  HTTPMSG_NOT_RUN,     /* the backend server did not execute the request */
  HTTPMSG_SERVER_ID,   /* id of the backend server */
  HTTPMSG_SERVER_LOAD, /* load report of the backend server */
  HTTPMSG_BASE_VERSION, /* version on which a change is based */
  HTTPMSG_NODE_REQUEST, /* between nodes, see wire/nodehdr.h */
  HTTPMSG_NODE_ANSWER,  /* the same */
  HTTPMSG_FIELD_COUNT
};

/* Names of the fields on the wire; NULL for a field that is not used.  */
struct httpmsg_names
{
  const char *name[HTTPMSG_FIELD_COUNT];
};

enum httpmsg_role
{
  HTTPMSG_REQUEST,
  HTTPMSG_ANSWER,
};

/* Start line and header fields of a message.  */
struct httpmsg_head
{
  enum httpmsg_role role;
  char method[HTTPMSG_METHOD_BYTES];
  char *target; /* path and query as received */
  int status;
  struct buf field_lines; /* forwarded fields, "name: value\r\n" each */
  /* Values of the stored fields; empty when absent.  */
  char value[HTTPMSG_FIELD_COUNT][HTTPMSG_VALUE_BYTES];
  int64_t body_len; /* HTTPMSG_LENGTH_UNKNOWN: chunked or until the connection
                       closes; in a response that has no body the
                       Content-Length */
  bool chunked;
  bool until_close; /* the end of the connection ends the body */
  bool keep_alive;
  bool http_1_0;
  bool expects_continue;       /* Expect: 100-continue */
  bool has_keep_alive_timeout; /* of the Keep-Alive field */
  uint32_t keep_alive_timeout_s;
};

/* Callbacks of a parser.  A nonzero return value stops it.  */
struct httpmsg_sink
{
  /* The callback may move the contents of @head out and must clear it then. */
  int (*head) (void *arg, struct httpmsg_head *head);
  int (*body) (void *arg, const uint8_t *data, size_t len);
  int (*end) (void *arg);
  /* Informational response (status 100 to 199); may be NULL.  */
  void (*interim) (void *arg, const struct httpmsg_head *head);
};

struct httpmsg_opts
{
  enum httpmsg_role role;
  const struct httpmsg_names *names;
  const struct httpmsg_sink *sink;
  void *arg;               /* passed to the callbacks */
  size_t max_header_bytes; /* of the target and all fields */
};

/* Which part of a header field was read last.  */
enum httpmsg_header_state
{
  HTTPMSG_HEADER_NONE,
  HTTPMSG_HEADER_NAME,
  HTTPMSG_HEADER_VALUE,
};

/* Which part of a status line is read next.  */
enum httpmsg_status_state
{
  HTTPMSG_STATUS_VERSION,
  HTTPMSG_STATUS_CODE,
  HTTPMSG_STATUS_DONE, /* the code is read, or there is none */
};

struct httpmsg_parser
{
  http_parser http;
  struct httpmsg_opts opts;
  struct httpmsg_head head;
  bool in_message;
  bool head_done;
  bool no_body; /* the next response is to HEAD and has no body */
  bool ended;   /* the message has just ended, its end is not reported yet */
  size_t rest_len; /* bytes of the current input behind that message */
  enum httpmsg_status_state status_state;
  unsigned status_digits; /* http_parser drops leading zeros */
  enum httpmsg_header_state header_state;
  struct buf field_name;
  struct buf field_value;
  struct buf target;
  struct buf connection_options; /* Connection values, each after "," */
  size_t header_bytes;
  uint32_t interim_count;  /* interim responses since the last final one */
  uint32_t framing_fields; /* number of Content-Length and Transfer-Encoding
                              fields, plus 2 for a second Host; the message is
                              malformed above 1 */
  const char *value_end;   /* where the field value read last ended */
  const char *input;       /* bytes of the current httpmsg_feed() */
  const char *input_end;
  int error; /* 0, SR_EMALFORMED, SR_EFULL or what a callback returned */
};

/* Initialises a parser.  OPTS is copied; its names and callbacks must outlive
   the parser.  */
void httpmsg_init (struct httpmsg_parser *parser,
                   const struct httpmsg_opts *opts);
void httpmsg_fini (struct httpmsg_parser *parser);

/* Sets whether the next response is to a HEAD request and so has no body.  */
void httpmsg_expect_no_body (struct httpmsg_parser *parser, bool expected);

/* Whether the method of the request is HEAD, so that its response has no
   body.  */
bool httpmsg_is_head_method (const struct httpmsg_head *request);

/**
 * httpmsg_feed() - parse the next bytes of the connection
 * @parser: parser
 * @data: bytes received
 * @len: number of bytes
 *
 * Return: SR_OK, SR_EMALFORMED, SR_EFULL when the header exceeds
 * max_header_bytes or a stored field HTTPMSG_VALUE_BYTES, or the nonzero value
 * that a callback returned.  After an error each call returns the same error.
 */
int httpmsg_feed (struct httpmsg_parser *parser, const void *data, size_t len);

/* Handles the orderly close of the connection by the peer.  Returns SR_OK when
   it ends a message or comes between two messages, else SR_EMALFORMED.  */
int httpmsg_feed_eof (struct httpmsg_parser *parser);

/* Whether bytes of the current input follow the message that has just ended;
   to be called in the callback of its end.  */
bool httpmsg_has_rest (const struct httpmsg_parser *parser);

/* Whether a message has begun and not ended.  */
bool httpmsg_in_message (const struct httpmsg_parser *parser);

/* Whether its header is complete and its body is not.  */
bool httpmsg_in_body (const struct httpmsg_parser *parser);

/* Bytes that the body is known to lack, 0 when it is chunked; UINT64_MAX when
   it ends with the connection.  */
uint64_t httpmsg_body_rest (const struct httpmsg_parser *parser);

/* Frees the contents of HEAD and clears it.  */
void httpmsg_head_fini (struct httpmsg_head *head);

/* Sets TIMEOUT_MS to the time limit of a request, HTTPMSG_TIMEOUT_MS_MAX for a
   longer one.  Returns false when it has none, or one that is not a number. */
bool httpmsg_get_timeout_ms (const struct httpmsg_head *head,
                             uint64_t *timeout_ms);

/* Append a header field.  */
void httpmsg_add_field (struct buf *out, const char *name, const char *value);
void httpmsg_add_number_field (struct buf *out, const char *name,
                               long long value);

/* Append the request line or the status line.  */
void httpmsg_add_request_line (struct buf *out, const char *method,
                               const char *target);
void httpmsg_add_status_line (struct buf *out, int status);

/* Appends Content-Length, or Transfer-Encoding: chunked when LEN is
   HTTPMSG_LENGTH_UNKNOWN, and the empty line that ends the header.  */
void httpmsg_end_head (struct buf *out, int64_t len);

/* Appends body bytes, as one chunk when CHUNKED.  An empty body is not
   written, because an empty chunk would end the body.  */
void httpmsg_add_body (struct buf *out, bool chunked, const uint8_t *data,
                       size_t len);
/* Appends the last chunk when CHUNKED.  */
void httpmsg_add_body_end (struct buf *out, bool chunked);

/* Standard reason phrase of STATUS, "Unknown" if it has none.  */
const char *httpmsg_reason_phrase (int status);

#endif
