#include <stdlib.h>
#include <string.h>

#include "core/rng.h"
#include "sycamorerudder.h"
#include "tests/suite.h"
#include "wire/httpmsg.h"

struct received
{
  int head_count;
  int end_count;
  int interim_status;       /* status of the last interim response */
  bool to_head;             /* set by the caller: the requests are HEAD */
  struct httpmsg_head head; /* of the last message */
  struct buf body;          /* of all messages */
};

static int
on_head (void *arg, struct httpmsg_head *head)
{
  struct received *received = arg;

  received->head_count++;
  httpmsg_head_fini (&received->head);
  received->head = *head;
  memset (head, 0, sizeof *head);
  return 0;
}

static int
on_body (void *arg, const uint8_t *data, size_t len)
{
  buf_append (&((struct received *)arg)->body, data, len);
  return 0;
}

static int
on_end (void *arg)
{
  ((struct received *)arg)->end_count++;
  return 0;
}

static void
on_interim (void *arg, const struct httpmsg_head *head)
{
  struct received *received = arg;

  if (strcmp (head->value[HTTPMSG_SEAL], "told") == 0)
    received->interim_status = head->status;
}

static const struct httpmsg_sink sink
    = { on_head, on_body, on_end, on_interim };
static const struct httpmsg_names names
    = { .name = { [HTTPMSG_HOST] = "Host",
                  [HTTPMSG_REQUEST_ID] = "X-Id",
                  [HTTPMSG_CALLER_SERVICE] = "X-Caller",
                  [HTTPMSG_SEAL] = "X-Seal" } };

/* Parses TEXT in pieces of at most STEP bytes.  */
static int
parse (struct received *received, enum httpmsg_role role, const char *text,
       size_t step)
{
  struct httpmsg_opts opts = { .role = role,
                               .names = &names,
                               .sink = &sink,
                               .arg = received,
                               .max_header_bytes = 1024 };
  struct httpmsg_parser parser;
  size_t len = strlen (text);
  char *copy = malloc (len + 1);
  int error = SR_OK;

  httpmsg_init (&parser, &opts);
  httpmsg_expect_no_body (&parser, received->to_head);
  for (size_t at = 0; at < len && error == SR_OK; at += step)
    {
      size_t piece_len = len - at < step ? len - at : step;

      memcpy (copy, text + at, piece_len);
      error = httpmsg_feed (&parser, copy, piece_len);
    }
  httpmsg_fini (&parser);
  free (copy);
  return error;
}

static void
received_free (struct received *received)
{
  httpmsg_head_fini (&received->head);
  buf_free (&received->body);
  memset (received, 0, sizeof *received);
}

/* Target, end-to-end fields and body must be forwarded unchanged, however the
   bytes are divided among reads.  */
static void
test_forwarded_unchanged (void)
{
  static const char text[]
      = "POST /coils/a%2Fb;c=%41//d?x=%2f&&y HTTP/1.1\r\nHost: h\r\n"
        "X-Odd: one\r\nx-odd:   two \r\nX-Id: 7\r\nX-Caller: forged\r\n"
        "Connection: keep-alive, X-Hop\r\nX-Hop: gone\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

  for (size_t step = 1; step < sizeof text; step++)
    {
      struct received received = { 0 };

      SUITE_SEEDED (parse (&received, HTTPMSG_REQUEST, text, step) == SR_OK,
                    step);
      SUITE_SEEDED (received.head_count == 1 && received.end_count == 1, step);
      CU_ASSERT_STRING_EQUAL (received.head.target,
                              "/coils/a%2Fb;c=%41//d?x=%2f&&y");
      buf_append (&received.head.field_lines, "", 1);
      CU_ASSERT_STRING_EQUAL (
          (char *)received.head.field_lines.data,
          "Host: h\r\nX-Odd: one\r\nx-odd: two\r\nX-Id: 7\r\n");
      CU_ASSERT_STRING_EQUAL (received.head.value[HTTPMSG_CALLER_SERVICE],
                              "forged");
      CU_ASSERT_TRUE (received.body.len == 5
                      && memcmp (received.body.data, "abcde", 5) == 0);
      received_free (&received);
    }
}

/* A message with ambiguous framing must be rejected, because another parser
   could see a second request inside it (request smuggling).  */
static void
test_smuggling (void)
{
  static const char *const requests[] = {
    "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Content-Length: 4\r\n\r\nabcd",
    "GET / HTTP/1.1\r\nHost: h\r\nX-A: b\r\n folded: c\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: h\r\nHost: other\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "zz\r\n",
    "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
    "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
    "hello\r\n\r\n",
  };

  for (size_t i = 0; i < sizeof requests / sizeof requests[0]; i++)
    for (size_t step = 1; step < 100; step += 9)
      {
        struct received received = { 0 };

        SUITE_SEEDED (parse (&received, HTTPMSG_REQUEST, requests[i], step)
                          == SR_EMALFORMED,
                      i);
        received_free (&received);
      }
}

/* Headers beyond the limit must be rejected.  */
static void
test_header_limit (void)
{
  struct received received = { 0 };
  char text[4096];

  memset (text, 'a', sizeof text);
  memcpy (text, "GET / HTTP/1.1\r\nX: ", 19);
  text[sizeof text - 1] = '\0';
  CU_ASSERT_EQUAL (parse (&received, HTTPMSG_REQUEST, text, 100), SR_EFULL);
  received_free (&received);
}

/* Pipelined requests must be separated.  */
static void
test_pipeline (void)
{
  struct received received = { 0 };

  CU_ASSERT_EQUAL (parse (&received, HTTPMSG_REQUEST,
                          "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                          "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
                          7),
                   SR_OK);
  CU_ASSERT_EQUAL (received.head_count, 2);
  CU_ASSERT_EQUAL (received.end_count, 2);
  CU_ASSERT_STRING_EQUAL (received.head.target, "/2");
  received_free (&received);
}

/* A response whose connection closes early must not be taken for a complete
   one.  */
static void
test_truncated_responses (void)
{
  struct httpmsg_opts opts = { .role = HTTPMSG_ANSWER,
                               .names = &names,
                               .sink = &sink,
                               .max_header_bytes = 1024 };
  static const struct
  {
    const char *text;
    int eof_result;
    bool until_close;
  } rows[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", SR_EMALFORMED,
      false },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      SR_EMALFORMED, false },
    { "HTTP/1.1 200 OK\r\n\r\nabc", SR_OK, true },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", SR_OK,
      false },
  };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct received received = { 0 };
      struct httpmsg_parser parser;

      opts.arg = &received;
      httpmsg_init (&parser, &opts);
      CU_ASSERT_EQUAL (
          httpmsg_feed (&parser, rows[i].text, strlen (rows[i].text)), SR_OK);
      SUITE_SEEDED (httpmsg_feed_eof (&parser) == rows[i].eof_result, i);
      SUITE_SEEDED (received.head.until_close == rows[i].until_close, i);
      SUITE_SEEDED (received.end_count == (rows[i].eof_result == SR_OK), i);
      httpmsg_fini (&parser);
      received_free (&received);
    }
}

/* Guards against a status that is none and reaches a caller: one without three
   digits, or outside of 100 to 599, however the bytes are divided among reads,
   in the first response of a connection or a later one.  */
static void
test_status_codes (void)
{
  static const struct
  {
    const char *status;
    int result;
  } rows[] = {
    { "000", SR_EMALFORMED },
    { "001", SR_EMALFORMED },
    { "099", SR_EMALFORMED },
    { "600", SR_EMALFORMED },
    { "700", SR_EMALFORMED },
    { "999", SR_EMALFORMED },
    { "1000", SR_EMALFORMED },
    { "2000", SR_EMALFORMED },
    { "0200", SR_EMALFORMED },
    { "00200", SR_EMALFORMED },
    { "0100", SR_EMALFORMED },
    { "20", SR_EMALFORMED },
    { "2", SR_EMALFORMED },
    { "", SR_EMALFORMED },
    { "-200", SR_EMALFORMED },
    { "+200", SR_EMALFORMED },
    { "2x0", SR_EMALFORMED },
    { "0x200", SR_EMALFORMED },
    { "000 200", SR_EMALFORMED },
    { "200", SR_OK },
    { "204", SR_OK },
    { "299", SR_OK },
    { "400", SR_OK },
    { "500", SR_OK },
    { "599", SR_OK },
  };
  static const char *const befores[]
      = { "", "HTTP/1.1 103 Early Hints\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n200" };
  static const char *const phrases[] = { " Odd 200", " ", "" };

  for (unsigned i = 0; i < 9 * sizeof rows / sizeof rows[0]; i++)
    for (size_t step = 1; step < 100; step++)
      {
        const char *before = befores[i % 3];
        struct received received = { 0 };
        char text[128];
        int heads = (i % 3 == 2) + (rows[i / 9].result == SR_OK);

        snprintf (text, sizeof text,
                  "%sHTTP/1.1 %s%s\r\nContent-Length: 0\r\n\r\n", before,
                  rows[i / 9].status, phrases[i / 3 % 3]);
        SUITE_SEEDED (parse (&received, HTTPMSG_ANSWER, text, step)
                          == rows[i / 9].result,
                      i);
        SUITE_SEEDED (received.head_count == heads, i);
        SUITE_SEEDED (received.end_count == heads, i);
        received_free (&received);
      }
}

/* Guards against a head that ends early and is taken for a complete one:
   whatever it declares, and however its bytes are divided among reads, no part
   of it may be reported before its empty line, and the end of the connection
   does not complete it.  */
static void
test_truncated_heads (void)
{
  struct httpmsg_opts opts = { .role = HTTPMSG_ANSWER,
                               .names = &names,
                               .sink = &sink,
                               .max_header_bytes = 1024 };
  static const char interim[] = "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n";
  static const char *const heads[] = {
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\nX-Seal: s\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\nX-Id: 7\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n",
    "HTTP/1.1 200 OK\nX-Id: 7\n\n",
  };

  for (size_t i = 0; i < 2 * sizeof heads / sizeof heads[0]; i++)
    for (size_t cut = 0; cut < strlen (heads[i / 2]); cut++)
      for (size_t step = 1; step <= cut + 1; step++)
        {
          struct received received = { 0 };
          struct httpmsg_parser parser;
          char bytes[128];

          opts.arg = &received;
          httpmsg_init (&parser, &opts);
          if (i % 2 != 0)
            CU_ASSERT_EQUAL (httpmsg_feed (&parser, interim, strlen (interim)),
                             SR_OK);
          for (size_t at = 0; at < cut; at += step)
            {
              size_t len = cut - at < step ? cut - at : step;

              memcpy (bytes, heads[i / 2] + at, len);
              SUITE_SEEDED (httpmsg_feed (&parser, bytes, len) == SR_OK,
                            i * 1000 + cut);
            }
          SUITE_SEEDED (httpmsg_in_message (&parser) == (cut > 0),
                        i * 1000 + cut);
          SUITE_SEEDED (httpmsg_feed_eof (&parser)
                            == (cut > 0 ? SR_EMALFORMED : SR_OK),
                        i * 1000 + cut);
          SUITE_SEEDED (received.head_count == 0 && received.end_count == 0,
                        i * 1000 + cut);
          httpmsg_fini (&parser);
          received_free (&received);
        }
}

/* An interim response must be reported as such, with its own fields.  It must
   not be taken for the final response, nor may its fields appear there.  */
static void
test_interim_responses (void)
{
  static const char text[] = "HTTP/1.1 103 Early Hints\r\nX-Seal: told\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  struct httpmsg_opts opts = { .role = HTTPMSG_ANSWER,
                               .names = &names,
                               .sink = &sink,
                               .max_header_bytes = 1024 };
  struct httpmsg_parser parser;
  struct received received = { 0 };

  opts.arg = &received;
  httpmsg_init (&parser, &opts);
  CU_ASSERT_EQUAL (httpmsg_feed (&parser, text, strlen (text)), SR_OK);
  CU_ASSERT_EQUAL (received.interim_status, 103);
  CU_ASSERT_EQUAL (received.head_count, 1);
  CU_ASSERT_EQUAL (received.end_count, 1);
  CU_ASSERT_EQUAL (received.head.status, 200);
  CU_ASSERT_STRING_EQUAL (received.head.value[HTTPMSG_SEAL], "");
  CU_ASSERT_EQUAL (received.body.len, 2);
  httpmsg_fini (&parser);
  received_free (&received);
}

/* Guards against a broken server that keeps a connection, and the node that
   reads it, busy with interim responses without end, and against an upgrade
   that nobody has asked for.  */
static void
test_endless_interim_responses (void)
{
  static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
  static const char upgrade[] = "HTTP/1.1 101 Switching Protocols\r\n\r\n";
  static const char final[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  struct httpmsg_opts opts = { .role = HTTPMSG_ANSWER,
                               .names = &names,
                               .sink = &sink,
                               .max_header_bytes = 1024 };
  struct httpmsg_parser parser;
  struct received received = { 0 };
  int accepted = 0;

  opts.arg = &received;
  httpmsg_init (&parser, &opts);
  /* The bound is on one answer, not on the connection.  */
  for (int answer = 0; answer < 4; answer++)
    {
      for (int i = 0; i < 16; i++)
        CU_ASSERT_EQUAL (httpmsg_feed (&parser, interim, strlen (interim)),
                         SR_OK);
      CU_ASSERT_EQUAL (httpmsg_feed (&parser, final, strlen (final)), SR_OK);
    }
  while (accepted < 1000
         && httpmsg_feed (&parser, interim, strlen (interim)) == SR_OK)
    accepted++;
  CU_ASSERT_TRUE (accepted <= 16);
  httpmsg_fini (&parser);
  httpmsg_init (&parser, &opts);
  CU_ASSERT_EQUAL (httpmsg_feed (&parser, upgrade, strlen (upgrade)),
                   SR_EMALFORMED);
  httpmsg_fini (&parser);
  received_free (&received);
}

/* Guards against a field that is forwarded and counts as absent here, because
   it is too long to be stored: the answer to a request without an id is not
   compared with it, and of two Host fields one would not be seen.  */
static void
test_overlong_stored_field (void)
{
  static const char *const fields[] = { "Host", "X-Id", "X-Seal" };
  struct httpmsg_opts opts
      = { .names = &names, .sink = &sink, .max_header_bytes = 4096 };
  struct httpmsg_parser parser;
  struct received received = { 0 };
  char text[2048];
  char value[300];

  memset (value, 'a', sizeof value - 1);
  value[sizeof value - 1] = '\0';
  opts.arg = &received;
  for (int i = 0; i < 6; i++)
    {
      opts.role = i < 3 ? HTTPMSG_REQUEST : HTTPMSG_ANSWER;
      httpmsg_init (&parser, &opts);
      snprintf (text, sizeof text, "%s\r\nContent-Length: 0\r\n%s: %s\r\n\r\n",
                i < 3 ? "GET / HTTP/1.1" : "HTTP/1.1 200 OK", fields[i % 3],
                value);
      SUITE_SEEDED (httpmsg_feed (&parser, text, strlen (text)) == SR_EFULL,
                    i);
      CU_ASSERT_EQUAL (received.head_count, 0);
      httpmsg_fini (&parser);
    }
  received_free (&received);
}

/* Random bytes must not cause memory errors; the sanitizers report these.  */
static void
test_random_bytes (void)
{
  static const char valid_text[]
      = "GET /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
  struct rng rng;
  char text[sizeof valid_text];

  rng_seed (&rng, 11);
  for (int i = 0; i < 20000; i++)
    {
      struct received received = { 0 };

      memcpy (text, valid_text, sizeof text);
      for (int n = 0; n < 3; n++)
        text[rng_below (&rng, sizeof text - 1)]
            = (char)(1 + rng_below (&rng, 255));
      parse (&received, i % 2 ? HTTPMSG_REQUEST : HTTPMSG_ANSWER, text,
             1 + rng_below (&rng, 20));
      received_free (&received);
    }
}

/* A response to HEAD has no body, whatever its length fields say.  Otherwise
   the next response would be read as the body.  */
static void
test_head_responses (void)
{
  static const char text[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct received received = { 0 };
  struct httpmsg_opts opts = { .role = HTTPMSG_ANSWER,
                               .names = &names,
                               .sink = &sink,
                               .arg = &received,
                               .max_header_bytes = 1024 };
  struct httpmsg_parser parser;

  httpmsg_init (&parser, &opts);
  httpmsg_expect_no_body (&parser, true);
  CU_ASSERT_EQUAL (httpmsg_feed (&parser, text, strlen (text)), SR_OK);
  CU_ASSERT_EQUAL (received.head_count, 2);
  CU_ASSERT_EQUAL (received.end_count, 2);
  CU_ASSERT_EQUAL (received.body.len, 0);
  CU_ASSERT_TRUE (received.head.keep_alive);
  httpmsg_fini (&parser);
  received_free (&received);
}

/* Guards against a caller that waits for the body of a response that has none,
   and against the next response that is read as this body: a response to HEAD
   and one with status 1xx, 204 or 304 end with their head, whatever they
   declare, and however their bytes are divided among reads.  */
static void
test_responses_without_body (void)
{
  static const struct
  {
    const char *status;
    const char *framing;
    int64_t body_len;
    bool to_head;
    bool has_body;
  } rows[] = {
    { "204", "Content-Length: 5\r\n", 5, false, false },
    { "204", "", HTTPMSG_LENGTH_UNKNOWN, false, false },
    { "204", "Content-Length: 0\r\n", 0, false, false },
    { "204", "Transfer-Encoding: chunked\r\n", HTTPMSG_LENGTH_UNKNOWN, false,
      false },
    { "304", "", HTTPMSG_LENGTH_UNKNOWN, false, false },
    { "304", "Content-Length: 0\r\n", 0, false, false },
    { "304", "Content-Length: 5\r\n", 5, false, false },
    { "304", "Transfer-Encoding: chunked\r\n", HTTPMSG_LENGTH_UNKNOWN, false,
      false },
    { "204", "Content-Length: 5\r\n", 5, true, false },
    { "304", "Content-Length: 5\r\n", 5, true, false },
    { "304", "Transfer-Encoding: chunked\r\n", HTTPMSG_LENGTH_UNKNOWN, true,
      false },
    { "200", "Content-Length: 5\r\n", 5, true, false },
    /* Other responses have one.  */
    { "200", "Content-Length: 5\r\n", 5, false, true },
    { "205", "Content-Length: 5\r\n", 5, false, true },
    { "404", "Transfer-Encoding: chunked\r\n", HTTPMSG_LENGTH_UNKNOWN, false,
      true },
  };
  static const char *const befores[]
      = { "", "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" };

  for (unsigned i = 0; i < 2 * sizeof rows / sizeof rows[0]; i++)
    for (size_t step = 1; step < 200; step++)
      {
        struct received one = { .to_head = rows[i / 2].to_head };
        struct received both = { .to_head = rows[i / 2].to_head };
        char text[256];

        snprintf (text, sizeof text, "%sHTTP/1.1 %s Odd\r\nX-Id: 1\r\n%s\r\n",
                  befores[i % 2], rows[i / 2].status, rows[i / 2].framing);
        SUITE_SEEDED (parse (&one, HTTPMSG_ANSWER, text, step) == SR_OK, i);
        SUITE_SEEDED (one.head_count == 1, i);
        SUITE_SEEDED (one.end_count == !rows[i / 2].has_body, i);
        SUITE_SEEDED (one.head.body_len == rows[i / 2].body_len, i);
        SUITE_SEEDED (!one.head.until_close, i);
        SUITE_SEEDED (one.head.keep_alive, i);
        received_free (&one);
        if (rows[i / 2].has_body)
          continue;
        strcat (text,
                "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\n");
        if (!rows[i / 2].to_head)
          strcat (text, "ok");
        SUITE_SEEDED (parse (&both, HTTPMSG_ANSWER, text, step) == SR_OK, i);
        SUITE_SEEDED (both.head_count == 2 && both.end_count == 2, i);
        SUITE_SEEDED (strcmp (both.head.value[HTTPMSG_REQUEST_ID], "2") == 0,
                      i);
        SUITE_SEEDED (both.body.len == (rows[i / 2].to_head ? 0 : 2), i);
        received_free (&both);
      }
}

static void
test_body_rest (void)
{
  static const struct
  {
    const char *text;
    enum httpmsg_role role;
    bool in_body;
    uint64_t rest;
  } rows[] = {
    { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n", HTTPMSG_REQUEST,
      false, 0 },
    { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n",
      HTTPMSG_REQUEST, true, 9 },
    { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n12345678",
      HTTPMSG_REQUEST, true, 1 },
    { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789",
      HTTPMSG_REQUEST, false, 0 },
    { "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n1",
      HTTPMSG_REQUEST, true, 0 },
    { "GET / HTTP/1.1\r\nHost: h\r\n\r\n", HTTPMSG_REQUEST, false, 0 },
    { "HTTP/1.1 200 OK\r\n\r\n12", HTTPMSG_ANSWER, true, UINT64_MAX },
    { "HTTP/1.1 100 Continue\r\n\r\n", HTTPMSG_ANSWER, false, 0 },
  };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct received received = { 0 };
      struct httpmsg_opts opts = { .role = rows[i].role,
                                   .names = &names,
                                   .sink = &sink,
                                   .arg = &received,
                                   .max_header_bytes = 1024 };
      struct httpmsg_parser parser;

      httpmsg_init (&parser, &opts);
      SUITE_SEEDED (httpmsg_feed (&parser, rows[i].text, strlen (rows[i].text))
                        == SR_OK,
                    i);
      SUITE_SEEDED (httpmsg_in_body (&parser) == rows[i].in_body, i);
      SUITE_SEEDED (httpmsg_body_rest (&parser) == rows[i].rest, i);
      httpmsg_fini (&parser);
      httpmsg_head_fini (&received.head);
      buf_free (&received.body);
    }
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "messages are forwarded unchanged", test_forwarded_unchanged },
          { "request smuggling", test_smuggling },
          { "limit on headers", test_header_limit },
          { "pipelined requests", test_pipeline },
          { "truncated responses", test_truncated_responses },
          { "truncated heads", test_truncated_heads },
          { "status codes", test_status_codes },
          { "responses to HEAD", test_head_responses },
          { "responses without a body", test_responses_without_body },
          { "interim responses", test_interim_responses },
          { "interim responses without end", test_endless_interim_responses },
          { "stored field that is too long", test_overlong_stored_field },
          { "rest of a body", test_body_rest },
          { "random bytes", test_random_bytes },
          { NULL, NULL } };

  return suite_run ("httpmsg", tests);
}
