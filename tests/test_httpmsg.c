#include <stdlib.h>
#include <string.h>

#include "core/rng.h"
#include "sycamorerudder.h"
#include "tests/suite.h"
#include "wire/httpmsg.h"

struct seen
{
  int heads;
  int ends;
  int interim;              /* status of the last interim answer */
  struct httpmsg_head head; /* the last one */
  struct buf body;          /* of all messages */
};

static int
on_head (void *arg, struct httpmsg_head *head)
{
  struct seen *seen = arg;

  seen->heads++;
  httpmsg_head_fini (&seen->head);
  seen->head = *head;
  memset (head, 0, sizeof *head);
  return 0;
}

static int
on_body (void *arg, const uint8_t *data, size_t len)
{
  buf_append (&((struct seen *)arg)->body, data, len);
  return 0;
}

static int
on_end (void *arg)
{
  ((struct seen *)arg)->ends++;
  return 0;
}

static void
on_interim (void *arg, const struct httpmsg_head *head)
{
  struct seen *seen = arg;

  if (strcmp (head->value[HTTPMSG_SEAL], "told") == 0)
    seen->interim = head->status;
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
parse (struct seen *seen, enum httpmsg_role role, const char *text,
       size_t step)
{
  struct httpmsg_opts opts = { .role = role,
                               .names = &names,
                               .sink = &sink,
                               .arg = seen,
                               .max_header_bytes = 1024 };
  struct httpmsg_parser parser;
  size_t len = strlen (text);
  char *copy = malloc (len + 1);
  int error = SR_OK;

  httpmsg_init (&parser, &opts);
  for (size_t at = 0; at < len && error == SR_OK; at += step)
    {
      size_t part = len - at < step ? len - at : step;

      memcpy (copy, text + at, part);
      error = httpmsg_feed (&parser, copy, part);
    }
  httpmsg_fini (&parser);
  free (copy);
  return error;
}

static void
seen_free (struct seen *seen)
{
  httpmsg_head_fini (&seen->head);
  buf_free (&seen->body);
  memset (seen, 0, sizeof *seen);
}

/* Guards against paths, fields and bodies that change on the way, however the
   bytes are divided among reads.  */
static void
test_bytes_stay (void)
{
  static const char text[]
      = "POST /coils/a%2Fb;c=%41//d?x=%2f&&y HTTP/1.1\r\nHost: h\r\n"
        "X-Odd: one\r\nx-odd:   two \r\nX-Id: 7\r\nX-Caller: forged\r\n"
        "Connection: keep-alive, X-Hop\r\nX-Hop: gone\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

  for (size_t step = 1; step < sizeof text; step++)
    {
      struct seen seen = { 0 };

      SUITE_SEEDED (parse (&seen, HTTPMSG_REQUEST, text, step) == SR_OK, step);
      SUITE_SEEDED (seen.heads == 1 && seen.ends == 1, step);
      CU_ASSERT_STRING_EQUAL (seen.head.target,
                              "/coils/a%2Fb;c=%41//d?x=%2f&&y");
      buf_append (&seen.head.field_lines, "", 1);
      CU_ASSERT_STRING_EQUAL (
          (char *)seen.head.field_lines.data,
          "Host: h\r\nX-Odd: one\r\nx-odd: two\r\nX-Id: 7\r\n");
      CU_ASSERT_STRING_EQUAL (seen.head.value[HTTPMSG_CALLER_SERVICE],
                              "forged");
      CU_ASSERT_TRUE (seen.body.len == 5
                      && memcmp (seen.body.data, "abcde", 5) == 0);
      seen_free (&seen);
    }
}

/* Guards against a request that is hidden inside another one.  */
static void
test_smuggling (void)
{
  static const char *const refused[] = {
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

  for (size_t i = 0; i < sizeof refused / sizeof refused[0]; i++)
    for (size_t step = 1; step < 100; step += 9)
      {
        struct seen seen = { 0 };

        SUITE_SEEDED (parse (&seen, HTTPMSG_REQUEST, refused[i], step)
                          == SR_EMALFORMED,
                      i);
        seen_free (&seen);
      }
}

/* Guards against headers without a bound.  */
static void
test_long_header (void)
{
  struct seen seen = { 0 };
  char text[4096];

  memset (text, 'a', sizeof text);
  memcpy (text, "GET / HTTP/1.1\r\nX: ", 19);
  text[sizeof text - 1] = '\0';
  CU_ASSERT_EQUAL (parse (&seen, HTTPMSG_REQUEST, text, 100), SR_EFULL);
  seen_free (&seen);
}

/* Guards against pipelined requests that are mixed up.  */
static void
test_pipeline (void)
{
  struct seen seen = { 0 };

  CU_ASSERT_EQUAL (parse (&seen, HTTPMSG_REQUEST,
                          "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                          "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
                          7),
                   SR_OK);
  CU_ASSERT_EQUAL (seen.heads, 2);
  CU_ASSERT_EQUAL (seen.ends, 2);
  CU_ASSERT_STRING_EQUAL (seen.head.target, "/2");
  seen_free (&seen);
}

/* Guards against an answer that ends early and looks whole.  */
static void
test_answers (void)
{
  struct httpmsg_opts opts = { .role = HTTPMSG_ANSWER,
                               .names = &names,
                               .sink = &sink,
                               .max_header_bytes = 1024 };
  static const struct
  {
    const char *text;
    int end;
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
      struct seen seen = { 0 };
      struct httpmsg_parser parser;

      opts.arg = &seen;
      httpmsg_init (&parser, &opts);
      CU_ASSERT_EQUAL (
          httpmsg_feed (&parser, rows[i].text, strlen (rows[i].text)), SR_OK);
      SUITE_SEEDED (httpmsg_feed_eof (&parser) == rows[i].end, i);
      SUITE_SEEDED (seen.head.until_close == rows[i].until_close, i);
      SUITE_SEEDED (seen.ends == (rows[i].end == SR_OK), i);
      httpmsg_fini (&parser);
      seen_free (&seen);
    }
}

/* Guards against interim answers that are taken for the answer, or whose
   fields are lost or kept for it.  */
static void
test_interim (void)
{
  static const char text[] = "HTTP/1.1 103 Early Hints\r\nX-Seal: told\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  struct httpmsg_opts opts = { .role = HTTPMSG_ANSWER,
                               .names = &names,
                               .sink = &sink,
                               .max_header_bytes = 1024 };
  struct httpmsg_parser parser;
  struct seen seen = { 0 };

  opts.arg = &seen;
  httpmsg_init (&parser, &opts);
  CU_ASSERT_EQUAL (httpmsg_feed (&parser, text, strlen (text)), SR_OK);
  CU_ASSERT_EQUAL (seen.interim, 103);
  CU_ASSERT_EQUAL (seen.heads, 1);
  CU_ASSERT_EQUAL (seen.ends, 1);
  CU_ASSERT_EQUAL (seen.head.status, 200);
  CU_ASSERT_STRING_EQUAL (seen.head.value[HTTPMSG_SEAL], "");
  CU_ASSERT_EQUAL (seen.body.len, 2);
  httpmsg_fini (&parser);
  seen_free (&seen);
}

/* Guards against faults on bytes that no program sends.  */
static void
test_random_bytes (void)
{
  static const char seed_text[]
      = "GET /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
  struct rng rng;
  char text[sizeof seed_text];

  rng_seed (&rng, 11);
  for (int i = 0; i < 20000; i++)
    {
      struct seen seen = { 0 };

      memcpy (text, seed_text, sizeof text);
      for (int n = 0; n < 3; n++)
        text[rng_below (&rng, sizeof text - 1)]
            = (char)(1 + rng_below (&rng, 255));
      parse (&seen, i % 2 ? HTTPMSG_REQUEST : HTTPMSG_ANSWER, text,
             1 + rng_below (&rng, 20));
      seen_free (&seen);
    }
}

/* Guards against an answer to HEAD whose length is taken for a body, so that
   the next answer is read as that body.  */
static void
test_head (void)
{
  static const char text[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct seen seen = { 0 };
  struct httpmsg_opts opts = { .role = HTTPMSG_ANSWER,
                               .names = &names,
                               .sink = &sink,
                               .arg = &seen,
                               .max_header_bytes = 1024 };
  struct httpmsg_parser parser;

  httpmsg_init (&parser, &opts);
  httpmsg_expect_no_body (&parser, true);
  CU_ASSERT_EQUAL (httpmsg_feed (&parser, text, strlen (text)), SR_OK);
  CU_ASSERT_EQUAL (seen.heads, 2);
  CU_ASSERT_EQUAL (seen.ends, 2);
  CU_ASSERT_EQUAL (seen.body.len, 0);
  CU_ASSERT_TRUE (seen.head.keep_alive);
  httpmsg_fini (&parser);
  seen_free (&seen);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "bytes stay", test_bytes_stay },
          { "smuggling", test_smuggling },
          { "long header", test_long_header },
          { "pipeline", test_pipeline },
          { "answers", test_answers },
          { "head", test_head },
          { "interim answers", test_interim },
          { "random bytes", test_random_bytes },
          { NULL, NULL } };

  return suite_run ("httpmsg", tests);
}
