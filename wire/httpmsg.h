#ifndef WIRE_HTTPMSG_H
#define WIRE_HTTPMSG_H

/**
 * DOC: httpmsg - messages of HTTP/1.1
 *
 * A parser that passes on what it reads, and an encoder.  Fields between the
 * two ends are kept as they came, in their order and with repeats; those that
 * concern one connection are left out.  Ambiguous framing is refused.
 */

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/buf.h"

#define HTTPMSG_METHOD_BYTES 24
#define HTTPMSG_VALUE_BYTES 256
#define HTTPMSG_LENGTH_UNKNOWN (-1)

/* Fields whose value is noted.  */
enum httpmsg_field
{
  HTTPMSG_HOST,
  HTTPMSG_CONTENT_ENCODING,
  HTTPMSG_RETRY_AFTER,
  HTTPMSG_REQUEST_ID,      /* id of one attempt of a caller */
  HTTPMSG_DEADLINE_MS,     /* time that the caller waits */
  HTTPMSG_CALLER_SERVICE,  /* service beside whose server the request began */
  HTTPMSG_EXPECT_INSTANCE, /* id of the only server that may run the request */
  HTTPMSG_SEAL,            /* proof that the backend server made the answer */
  HTTPMSG_NOT_EXECUTED,    /* the backend server did not run the request */
  HTTPMSG_INSTANCE_ID,     /* id of the backend server */
  HTTPMSG_SERVER_LOAD,     /* load report of the backend server */
  HTTPMSG_BASE_VERSION,    /* version that a change builds on */
  HTTPMSG_NODE_REQUEST,    /* between nodes, see wire/nodehdr.h */
  HTTPMSG_NODE_ANSWER,
  HTTPMSG_FIELD_COUNT
};

/* Names of the fields on the wire; NULL for those that are not used.  */
struct httpmsg_names
{
  const char *name[HTTPMSG_FIELD_COUNT];
};

enum httpmsg_role
{
  HTTPMSG_REQUEST,
  HTTPMSG_ANSWER,
};

struct httpmsg_head
{
  enum httpmsg_role role;
  char method[HTTPMSG_METHOD_BYTES];
  char *target; /* path and query, as they came */
  int status;
  struct buf
      field_lines; /* fields that are passed on, "name: value\r\n" each */
  char value[HTTPMSG_FIELD_COUNT][HTTPMSG_VALUE_BYTES]; /* empty when absent */
  int64_t body_len; /* HTTPMSG_LENGTH_UNKNOWN: chunked or until the end; of an
                       answer to HEAD the length that it tells */
  bool chunked;
  bool until_close;
  bool keep_alive;
  bool http_1_0;
  bool expects_continue;
  bool has_keep_alive_timeout; /* Keep-Alive told a timeout */
  uint32_t keep_alive_timeout_s;
};

/* Where a parser passes what it reads.  A nonzero return stops it.  */
struct httpmsg_sink
{
  /* The head may be moved out; the parser then starts with an empty one.  */
  int (*head) (void *arg, struct httpmsg_head *head);
  int (*body) (void *arg, const uint8_t *data, size_t len);
  int (*end) (void *arg);
  /* An interim answer, with a status from 100 to 199; may be NULL.  */
  void (*interim) (void *arg, const struct httpmsg_head *head);
};

struct httpmsg_opts
{
  enum httpmsg_role role;
  const struct httpmsg_names *names;
  const struct httpmsg_sink *sink;
  void *arg;
  size_t max_header_bytes; /* most bytes of target and fields */
};

/* Part of the header that is read now.  */
enum httpmsg_header_state
{
  HTTPMSG_HEADER_NONE,
  HTTPMSG_HEADER_NAME,
  HTTPMSG_HEADER_VALUE,
};

struct httpmsg_parser
{
  http_parser parser;
  struct httpmsg_opts opts;
  struct httpmsg_head head;
  bool in_message;
  bool head_done;
  bool no_body; /* the next answer has no body: the request was HEAD */
  enum httpmsg_header_state header_state;
  struct buf field_name;
  struct buf field_value;
  struct buf target;
  struct buf connection_options; /* options of the Connection field */
  size_t header_bytes;
  uint32_t framing_fields; /* fields that frame the body */
  const char *value_end;
  const char *input;
  const char *input_end;
  int error; /* 0, SR_EMALFORMED, SR_EFULL or what the sink returned */
};

void httpmsg_init (struct httpmsg_parser *parser,
                   const struct httpmsg_opts *opts);
void httpmsg_fini (struct httpmsg_parser *parser);

/* Whether the next answer is one to HEAD, which has no body.  */
void httpmsg_expect_no_body (struct httpmsg_parser *parser, bool expected);

/* Whether a request asks for no body.  */
bool httpmsg_is_head_method (const struct httpmsg_head *request);

/**
 * httpmsg_feed() - parse what has been read
 * @parser: parser
 * @data: bytes
 * @len: their number
 *
 * Return: SR_OK, SR_EMALFORMED, SR_EFULL when the header is too long, or what
 * the sink returned.
 */
int httpmsg_feed (struct httpmsg_parser *parser, const void *data, size_t len);

/* The peer has ended the connection in order.  SR_OK when that ends a message
   or falls between two, else SR_EMALFORMED.  */
int httpmsg_feed_eof (struct httpmsg_parser *parser);

/* Whether a message has been read in part.  */
bool httpmsg_in_message (const struct httpmsg_parser *parser);

void httpmsg_head_fini (struct httpmsg_head *head);

/* Appends a field.  */
void httpmsg_add_field (struct buf *out, const char *name, const char *value);
void httpmsg_add_number_field (struct buf *out, const char *name,
                               long long value);

/* Appends a request or status line.  */
void httpmsg_add_request_line (struct buf *out, const char *method,
                               const char *target);
void httpmsg_add_status_line (struct buf *out, int status);

/* Appends the fields that frame a body of LEN bytes and end the header.
   HTTPMSG_LENGTH_UNKNOWN stands for chunks.  */
void httpmsg_end_head (struct buf *out, int64_t len);

/* Appends body bytes; as a chunk when CHUNKED.  */
void httpmsg_add_body (struct buf *out, bool chunked, const uint8_t *data,
                       size_t len);
void httpmsg_add_body_end (struct buf *out, bool chunked);

/* Reason phrase of a status.  */
const char *httpmsg_reason_phrase (int status);

#endif
