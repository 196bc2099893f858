#ifndef WIRE_HTTPMSG_H
#define WIRE_HTTPMSG_H

/**
 * DOC: hm - messages of HTTP/1.1
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

#define HM_METHOD_BYTES 24
#define HM_VALUE_BYTES 256
#define HM_LENGTH_UNKNOWN (-1)

/* Fields whose value is noted.  */
enum hm_field
{
  HM_HOST,
  HM_CONTENT_ENCODING,
  HM_RETRY_AFTER,
  HM_REQUEST_ID,   /* id of one attempt of a caller */
  HM_DEADLINE_MS,  /* time that the caller waits */
  HM_CALLER,       /* service beside whose server the request began */
  HM_EXPECT,       /* id of the only server that may run the request */
  HM_SEAL,         /* proof that the backend server made the answer */
  HM_NOT_RUN,      /* the backend server did not run the request */
  HM_SERVER,       /* id of the backend server */
  HM_LOAD,         /* load report of the backend server */
  HM_BASE_VERSION, /* version that a change builds on */
  HM_NODE_REQUEST, /* between nodes, see wire/nodehdr.h */
  HM_NODE_ANSWER,
  HM_FIELD_COUNT
};

/* Names of the fields on the wire; NULL for those that are not used.  */
struct hm_names
{
  const char *name[HM_FIELD_COUNT];
};

enum hm_role
{
  HM_REQUEST,
  HM_ANSWER,
};

struct hm_head
{
  enum hm_role role;
  char method[HM_METHOD_BYTES];
  char *target; /* path and query, as they came */
  int status;
  struct buf lines; /* fields that are passed on, "name: value\r\n" each */
  char value[HM_FIELD_COUNT][HM_VALUE_BYTES]; /* empty when absent */
  int64_t body_len; /* HM_LENGTH_UNKNOWN: chunked or until the end; of an
                       answer to HEAD the length that it tells */
  bool chunked;
  bool until_close;
  bool keep_alive;
  bool http_1_0;
  bool wants_continue;
  bool idle_known; /* Keep-Alive told a timeout */
  uint32_t idle_s;
};

/* Where a parser passes what it reads.  A nonzero return stops it.  */
struct hm_sink
{
  /* The head may be moved out; the parser then starts with an empty one.  */
  int (*head) (void *arg, struct hm_head *head);
  int (*body) (void *arg, const uint8_t *data, size_t len);
  int (*end) (void *arg);
  /* An interim answer, with a status from 100 to 199; may be NULL.  */
  void (*interim) (void *arg, const struct hm_head *head);
};

struct hm_opts
{
  enum hm_role role;
  const struct hm_names *names;
  const struct hm_sink *sink;
  void *arg;
  size_t header_bytes; /* most bytes of target and fields */
};

/* Part of the header that is read now.  */
enum hm_part
{
  HM_PART_NONE,
  HM_PART_NAME,
  HM_PART_VALUE,
};

struct hm_parser
{
  http_parser parser;
  struct hm_opts opts;
  struct hm_head head;
  bool in_message;
  bool head_done;
  bool head_answer; /* the next answer has no body: the request was HEAD */
  enum hm_part part;
  struct buf name;
  struct buf text;
  struct buf target;
  struct buf connection; /* options of the Connection field */
  size_t header_bytes;
  uint32_t framings; /* fields that frame the body */
  const char *value_end;
  const char *chunk;
  const char *chunk_end;
  int error; /* 0, SR_EMALFORMED, SR_EFULL or what the sink returned */
};

void hm_init (struct hm_parser *parser, const struct hm_opts *opts);
void hm_fini (struct hm_parser *parser);

/* Whether the next answer is one to HEAD, which has no body.  */
void hm_expect_head (struct hm_parser *parser, bool expected);

/* Whether a request asks for no body.  */
bool hm_is_head (const struct hm_head *request);

/**
 * hm_feed() - parse what has been read
 * @parser: parser
 * @data: bytes
 * @len: their number
 *
 * Return: SR_OK, SR_EMALFORMED, SR_EFULL when the header is too long, or what
 * the sink returned.
 */
int hm_feed (struct hm_parser *parser, const void *data, size_t len);

/* The peer has ended the connection in order.  SR_OK when that ends a message
   or falls between two, else SR_EMALFORMED.  */
int hm_feed_end (struct hm_parser *parser);

/* Whether a message has been read in part.  */
bool hm_inside (const struct hm_parser *parser);

void hm_head_fini (struct hm_head *head);

/* Appends a field.  */
void hm_add (struct buf *out, const char *name, const char *value);
void hm_add_number (struct buf *out, const char *name, long long value);

/* Appends a request or status line.  */
void hm_request_line (struct buf *out, const char *method, const char *target);
void hm_status_line (struct buf *out, int status);

/* Appends the fields that frame a body of LEN bytes and end the header.
   HM_LENGTH_UNKNOWN stands for chunks.  */
void hm_end_head (struct buf *out, int64_t len);

/* Appends body bytes; as a chunk when CHUNKED.  */
void hm_body (struct buf *out, bool chunked, const uint8_t *data, size_t len);
void hm_body_end (struct buf *out, bool chunked);

/* Reason phrase of a status.  */
const char *hm_reason (int status);

#endif
