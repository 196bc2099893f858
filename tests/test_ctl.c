#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clk.h"
#include "programs/ctl_opts.h"
#include "programs/ctl_run.h"
#include "tests/net.h"
#include "tests/suite.h"

#define REQUEST_BYTES (256 * 1024)
#define RESPONSES_MAX 6
#define STUB_TIMEOUT_MS 5000
#define HEAD(status, len)                                                     \
  "HTTP/1.1 " status "\r\nx-version: 7\r\ncontent-length: " len               \
  "\r\nconnection: close\r\n\r\n"
#define ACCEPTED                                                              \
  HEAD ("200 OK", "36") "{\"status\":\"accepted\",\"version\":8   }"
#define APPLY                                                                 \
  "rudderctl", "apply", "examples/fes.json", "--base", "7", "--change-id",    \
      "c-1", "--quiet"

/* Stub of the admin port.  Answers each connection with the next of @responses
   and records the requests.  */
struct stub
{
  const char *responses[RESPONSES_MAX]; /* "" sends nothing and keeps the
                                           connection open */
  char *requests[RESPONSES_MAX];
  int count;
  int listener;
  int unanswered_fd;
  uint16_t port;
  pthread_t thread;
};

/* Whether TEXT holds a complete request, including the body.  */
static bool
request_complete (const char *text)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strstr (text, "ontent-length: ");

  if (end == NULL)
    return false;
  return length == NULL || length > end
         || strlen (end + 4) >= strtoul (length + 15, NULL, 10);
}

static bool
readable (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

  return poll (&poll_fd, 1, STUB_TIMEOUT_MS) == 1;
}

static void *
stub_serve (void *arg)
{
  struct stub *self = arg;

  for (; self->count < RESPONSES_MAX && self->responses[self->count] != NULL;
       self->count++)
    {
      const char *response = self->responses[self->count];
      char *text = calloc (1, REQUEST_BYTES);
      size_t used = 0;
      int fd;

      self->requests[self->count] = text;
      if (!readable (self->listener))
        break;
      fd = accept (self->listener, NULL, NULL);
      while (!request_complete (text) && readable (fd))
        {
          ssize_t len = read (fd, text + used, REQUEST_BYTES - 1 - used);

          if (len <= 0)
            break;
          used += (size_t)len;
        }
      if (response[0] == '\0')
        {
          self->unanswered_fd = fd;
          continue;
        }
      CU_ASSERT_TRUE (write (fd, response, strlen (response)) > 0);
      close (fd);
    }
  return NULL;
}

static void
stub_start (struct stub *self)
{
  char address[NET_ADDRESS_BYTES];

  self->unanswered_fd = -1;
  self->listener = net_bind (address);
  self->port = (uint16_t)atoi (strchr (address, ':') + 1);
  CU_ASSERT_EQUAL_FATAL (listen (self->listener, 8), 0);
  pthread_create (&self->thread, NULL, stub_serve, self);
}

/* Waits until all responses were sent, or no request came in time.  */
static void
stub_join (struct stub *self)
{
  pthread_join (self->thread, NULL);
}

static void
stub_free (struct stub *self)
{
  close (self->listener);
  if (self->unanswered_fd >= 0)
    close (self->unanswered_fd);
  for (int i = 0; i < RESPONSES_MAX; i++)
    free (self->requests[i]);
}

/* Exit status and output of a run of rudderctl.  */
struct run_result
{
  int status;
  char out[8192];
  char err[8192];
};

/* Runs rudderctl with the admin port PORT.  */
static struct run_result
run_ctl (uint16_t port, int argc, const char **argv)
{
  struct run_result run = { 0 };
  struct ctl_opts_result result;
  char admin[32];
  FILE *out = fmemopen (run.out, sizeof run.out - 1, "w");
  FILE *err = fmemopen (run.err, sizeof run.err - 1, "w");

  snprintf (admin, sizeof admin, "127.0.0.1:%u", (unsigned)port);
  setenv ("SYCAMORERUDDER_ADMIN", admin, 1);
  ctl_opts_parse (argc, argv, err, &result);
  run.status = result.kind == CTL_OPTS_EXIT
                   ? (int)result.u.status
                   : (int)ctl_run (&result.u.options, out, err);
  fclose (out);
  fclose (err);
  return run;
}

#define RUN(port, ...)                                                        \
  run_ctl ((port),                                                            \
           (int)(sizeof ((const char *[]){ __VA_ARGS__ })                     \
                 / sizeof (const char *)),                                    \
           (const char *[]){ __VA_ARGS__, NULL })

#define ASSERT_HAS(text, expected)                                            \
  CU_ASSERT_PTR_NOT_NULL (strstr (text, expected))

/* Guards against a change that is lost, or resent with another change id, when
   the response is an error, truncated or without a version.  */
static void
test_resends_until_known (void)
{
  struct stub node
      = { .responses = { HEAD ("503 Unavailable", "2") "{}",
                         HEAD ("200 OK", "500") "{\"status\":\"acce",
                         HEAD ("200 OK", "2") "{}", ACCEPTED } };
  struct run_result run;

  stub_start (&node);
  run = RUN (node.port, APPLY);
  CU_ASSERT_EQUAL (run.status, CTL_OPTS_EXIT_OK);
  ASSERT_HAS (run.out, "accepted as version 8");
  stub_join (&node);
  CU_ASSERT_EQUAL_FATAL (node.count, 4);
  for (int i = 0; i < 4; i++)
    ASSERT_HAS (node.requests[i],
                "PUT /v1/document?base=7&change_id=c-1 HTTP/1.1\r\n");
  CU_ASSERT_TRUE (request_complete (node.requests[3]));
  stub_free (&node);
}

/* Guards against a run that hangs when the node does not respond, or that does
   not print the generated change id, which the operator needs to resend the
   change.  */
static void
test_unknown_result (void)
{
  struct stub node = { .responses = { "" } };
  clk_us start = clk_now ();
  struct run_result run;

  stub_start (&node);
  run = RUN (node.port, "rudderctl", "apply", "examples/fes.json", "--base",
             "7", "--quiet", "--timeout-ms", "300");
  CU_ASSERT_EQUAL (run.status, CTL_OPTS_EXIT_FAILED);
  CU_ASSERT_TRUE (clk_now () - start < clk_s (2));
  ASSERT_HAS (run.err, "change id ");
  ASSERT_HAS (run.err, "send it again with --base 7 --change-id ");
  stub_join (&node);
  stub_free (&node);
}

/* Guards against a refusal that is reported as success or without its cause.
 */
static void
test_refusals (void)
{
  static const struct
  {
    const char *response;
    const char *message;
  } rows[] = {
    { HEAD ("409 Conflict", "33") "{\"status\":\"conflict\",\"version\":9} ",
      "version 9 is in force, not the base 7" },
    { HEAD ("400 Bad", "59") "{\"status\":\"invalid\",\"faults\":[{\"path\":"
                             "\"a.b\",\"text\":\"t\"}]}   ",
      "a.b: t" },
    { HEAD ("401 No", "2") "{}", "operator's token" },
    { HEAD ("418 Other", "0"), "HTTP status 418" },
  };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct stub node = { .responses = { rows[i].response } };
      struct run_result run;

      stub_start (&node);
      run = RUN (node.port, APPLY);
      CU_ASSERT_EQUAL (run.status, CTL_OPTS_EXIT_FAILED);
      ASSERT_HAS (run.err, rows[i].message);
      stub_join (&node);
      stub_free (&node);
    }
}

/* Guards against --wait reporting success while a node is behind, and against
   a difference to the wrong version.  */
static void
test_wait_and_difference (void)
{
  struct stub node
      = { .responses
          = { HEAD ("404 None", "0"), ACCEPTED,
              HEAD ("200 OK", "29") "{\"behind\":1,\"members\":[\"n\"]}",
              HEAD ("200 OK", "12") "{\"behind\":0}" } };
  struct run_result run;

  stub_start (&node);
  run = RUN (node.port, "rudderctl", "apply", "examples/fes.json", "--base",
             "7", "--wait");
  CU_ASSERT_EQUAL (run.status, CTL_OPTS_EXIT_OK);
  ASSERT_HAS (run.out, "in force on every node");
  ASSERT_HAS (run.err, "+  \"format\": 1,");
  stub_join (&node);
  CU_ASSERT_EQUAL_FATAL (node.count, 4);
  ASSERT_HAS (node.requests[3], "GET /v1/behind?version=8 HTTP/1.1");
  stub_free (&node);
}

/* Guards against a long document that is sent truncated, and against a missing
   authorization field.  */
static void
test_long_document (void)
{
  static char document[150000];
  struct stub node = { .responses = { ACCEPTED } };
  char document_path[] = "/tmp/test_ctl_XXXXXX";
  char token_path[] = "/tmp/test_ctl_XXXXXX";
  FILE *example = fopen ("examples/fes.json", "r");
  FILE *document_file = fdopen (mkstemp (document_path), "w");
  FILE *token_file = fdopen (mkstemp (token_path), "w");
  size_t len = fread (document, 1, 8192, example);

  memset (document + len, ' ', sizeof document - len);
  fwrite (document, 1, sizeof document, document_file);
  fputs ("s3cret\n", token_file);
  fclose (example);
  fclose (document_file);
  fclose (token_file);
  stub_start (&node);
  CU_ASSERT_EQUAL (RUN (node.port, "rudderctl", "apply", document_path,
                        "--base", "7", "--quiet", "--operator-token-file",
                        token_path)
                       .status,
                   CTL_OPTS_EXIT_OK);
  stub_join (&node);
  ASSERT_HAS (node.requests[0], "content-length: 150000\r\n");
  ASSERT_HAS (node.requests[0], "authorization: Bearer s3cret\r\n");
  CU_ASSERT_TRUE (request_complete (node.requests[0]));
  CU_ASSERT_EQUAL (memcmp (strstr (node.requests[0], "\r\n\r\n") + 4, document,
                           sizeof document),
                   0);
  stub_free (&node);
  unlink (document_path);
  unlink (token_path);
}

/* Guards against an invalid command line with the exit status of a failed
   command, and the other way round.  */
static void
test_usage (void)
{
  CU_ASSERT_EQUAL (RUN (1, "rudderctl").status, CTL_OPTS_EXIT_USAGE);
  CU_ASSERT_EQUAL (RUN (1, "rudderctl", "aply").status, CTL_OPTS_EXIT_USAGE);
  CU_ASSERT_EQUAL (RUN (1, "rudderctl", "get", "x").status,
                   CTL_OPTS_EXIT_USAGE);
  CU_ASSERT_EQUAL (RUN (1, "rudderctl", "apply", "f").status,
                   CTL_OPTS_EXIT_USAGE);
  CU_ASSERT_EQUAL (RUN (1, "rudderctl", "apply", "f", "--base", "-1").status,
                   CTL_OPTS_EXIT_USAGE);
  CU_ASSERT_EQUAL (
      RUN (1, "rudderctl", "apply", "f", "--base", "1", "--change-id", "a b")
          .status,
      CTL_OPTS_EXIT_USAGE);
  CU_ASSERT_EQUAL (RUN (1, "rudderctl", "get", "--admin", "host:1").status,
                   CTL_OPTS_EXIT_USAGE);
  CU_ASSERT_EQUAL (RUN (1, "rudderctl", "get", "--colour").status,
                   CTL_OPTS_EXIT_USAGE);
  CU_ASSERT_EQUAL (RUN (1, "rudderctl", "get").status, CTL_OPTS_EXIT_FAILED);
  CU_ASSERT_EQUAL (RUN (1, "rudderctl", "validate", "Makefile").status,
                   CTL_OPTS_EXIT_FAILED);
  CU_ASSERT_EQUAL (
      RUN (1, "rudderctl", "validate", "examples/fes.json").status,
      CTL_OPTS_EXIT_OK);
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "change is resent until its result is known", test_resends_until_known },
    { "timeout reports the change id", test_unknown_result },
    { "refusals are reported with their cause", test_refusals },
    { "wait for all nodes, and shown difference", test_wait_and_difference },
    { "long document and operator token", test_long_document },
    { "invalid command lines", test_usage },
    { NULL, NULL }
  };

  return suite_run ("ctl", tests);
}
