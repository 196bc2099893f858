#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "core/clk.h"
#include "core/counter.h"
#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"
#include "wire/nodehdr.h"

#define TEXT_BYTES 65536
/* Buffer for the id of a request.  */
/* Requests that the backend server refuses when they come first.  */
#define REFUSED_REQUESTS 40
/* Descriptors that the test opens; more than the gaps between those of the
   process.  */
#define FILLED_DESCRIPTORS 64
/* Requests sent on one connection; several times what one read returns.  */
#define PIPELINED_REQUESTS 2000
/* Requests of one connection that the gate serves at a time.  */
#define PIPELINED_AT_ONCE_MAX 64
/* Bytes of more answers than there are requests served at a time.  */
#define ANSWERS_READ_BYTES 40000
/* Memory by which endless answers may raise the peak of the process: those
   that are open at the same time, and the buffers of the test.  */
#define ENDLESS_MEMORY_KB_MAX 4096
/* Reads of the configuration during a stop.  */
#define CONFIG_READS 12
/* Maximum number of requests from one service until their route counts as
   internal.  */
#define INTERNAL_ROUTE_REQUESTS_MAX 20

static const char document[]
    = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\","
      "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","
      "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":"
      "[[\"r\",\"h\",\"/r/\",\"idempotent\",2,2,2,null,2,\"a\"],"
      "[\"o\",\"h\",\"/o/\",\"non_idempotent\",2,2,0,null,2,\"a\"],"
      "[\"l\",\"h\",\"/l/\",\"idempotent\",20,2,2,null,2,\"a\"],"
      "[\"t\",\"h\",\"/t/\",\"idempotent\",0.3,0.2,2,null,2,\"a\"]]},"
      "\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"a\",\"/health\","
      "100,\"h1\",false]]},\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":1000000,\"header_timeout_s\":3,"
      "\"idle_timeout_s\":15}}";

static struct gate_fixture fixture;

/* Backend server of the test; the last segment of the path selects its
   answer.  */
static atomic_int server_request_count;
/* Runs of requests that the server refuses when it gets them first.  */
static atomic_int server_refused_run_count;
/* Requests that are never answered, and those of them whose connection was
   closed.  */
static atomic_int server_hang_count;
/* Time after which an answer is sent once more.  */
static atomic_uint server_copy_delay_us;
static atomic_int server_cancelled_count;
static char server_last_request[TEXT_BYTES];
static pthread_mutex_t server_lock = PTHREAD_MUTEX_INITIALIZER;

static void
server_send_refusal (int fd, const char *id)
{
  char out[256];

  snprintf (out, sizeof out,
            "HTTP/1.1 503 Busy\r\nX-Sycamorerudder-Request-Id: %s\r\n"
            "X-Sycamorerudder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            id);
  net_send_text (fd, out);
}

/* Sends the answer that the path of the request TEXT selects; ID is the id of
   the request.  */
static void
server_send_answer (int fd, const char *text, const char *id)
{
  char out[1024];
  const char *framing = "Content-Length: 5";
  const char *seal = "X-Sycamorerudder-Response-Seal: s\r\n";

  if (strstr (text, "GET /health ") != NULL)
    {
      net_send_text (fd,
                     "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Instance-Id: i-1\r\n"
                     "X-Sycamorerudder-Server-Load: 0,0,4,100\r\n"
                     "Content-Length: 0\r\n\r\n");
      return;
    }
  if (strstr (text, "/stray ") != NULL)
    net_send_text (fd,
                   "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: other\r\n"
                   "Content-Length: 3\r\n\r\nbad");
  if (strstr (text, "/shed ") != NULL)
    {
      server_send_refusal (fd, id);
      return;
    }
  if (strstr (text, "/noseal ") != NULL)
    seal = "";
  if (strstr (text, "/cut ") != NULL)
    framing = "Content-Length: 50";
  if (strstr (text, "/open ") != NULL)
    framing = "X-Open: 1";
  snprintf (out, sizeof out,
            "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: %s\r\n%sX-Odd: "
            "%.20s\r\n%s\r\n\r\n%s",
            id, seal, id, framing,
            strncmp (text, "HEAD ", 5) == 0 ? "" : "hello");
  net_send_text (fd, out);
}

/* Requests that the server has refused on one connection.  */
struct server_refusals
{
  char ids[REFUSED_REQUESTS][GATE_FIXTURE_ID_BYTES];
  int count;
};

/* Refuses a request that it gets first, and runs one that comes again.  If
   that is on the connection of the refusal, the server sends the refusal once
   more, where the answer is due.  Returns whether the request runs.  */
static bool
server_refuse_first (int fd, struct server_refusals *refusals, const char *id)
{
  static char refused[REFUSED_REQUESTS][GATE_FIXTURE_ID_BYTES];
  static int refused_count;
  bool seen = false;

  for (int i = 0; i < refusals->count; i++)
    if (strcmp (refusals->ids[i], id) == 0)
      server_send_refusal (fd, id);
  pthread_mutex_lock (&server_lock);
  for (int i = 0; i < refused_count; i++)
    seen |= strcmp (refused[i], id) == 0;
  if (!seen && refused_count < REFUSED_REQUESTS)
    strcpy (refused[refused_count++], id);
  pthread_mutex_unlock (&server_lock);
  if (seen)
    {
      server_refused_run_count++;
      usleep (20000);
      return true;
    }
  if (refusals->count < REFUSED_REQUESTS)
    strcpy (refusals->ids[refusals->count++], id);
  server_send_refusal (fd, id);
  return false;
}

/* An answer that never ends: the bytes of @start, in which the first "%s" is
   the id of the request, and then @rest again and again.  */
struct endless_answer
{
  const char *path; /* last segment of the path that selects it */
  const char *start;
  const char *rest;
};

#define ENDLESS_HEAD                                                          \
  "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: %s\r\n"                    \
  "X-Sycamorerudder-Response-Seal: s\r\n"
#define ENDLESS_CHUNKED ENDLESS_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define ENDLESS_FILL                                                          \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

static const struct endless_answer endless_answers[] = {
  { "/e-noise ", "", ENDLESS_FILL },
  { "/e-blank-lines ", "", "\r\n\r\n\r\n\r\n" },
  { "/e-reason ", "HTTP/1.1 200 ", ENDLESS_FILL },
  { "/e-name ", ENDLESS_HEAD, ENDLESS_FILL },
  { "/e-value ", ENDLESS_HEAD "X: ", ENDLESS_FILL },
  { "/e-blank-value ", ENDLESS_HEAD "X: ", "                " },
  { "/e-fields ", ENDLESS_HEAD, "X-A: b\r\nX-C: d\r\n" },
  { "/e-connection ", ENDLESS_HEAD, "Connection: a, b, c, d, e, f\r\n" },
  { "/e-interim ", "", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" },
  { "/e-length ", ENDLESS_HEAD "Content-Length: 99999999999999\r\n\r\n",
    ENDLESS_FILL },
  { "/e-until-close ", ENDLESS_HEAD "\r\n", ENDLESS_FILL },
  { "/e-chunks ", ENDLESS_CHUNKED, "8\r\naaaaaaaa\r\n" },
  { "/e-chunk-size ", ENDLESS_CHUNKED, "0000000000000000" },
  { "/e-chunk-extension ", ENDLESS_CHUNKED "8;", ENDLESS_FILL },
  { "/e-trailers ", ENDLESS_CHUNKED "0\r\n", "X-A: b\r\nX-C: d\r\n" },
  { "/e-trailer ", ENDLESS_CHUNKED "0\r\nX: ", ENDLESS_FILL },
  { "/e-other ",
    "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: other\r\n\r\n",
    ENDLESS_FILL },
  { "/e-refusal ",
    "HTTP/1.1 503 Busy\r\nX-Sycamorerudder-Request-Id: %s\r\n"
    "X-Sycamorerudder-Not-Executed: 1\r\n\r\n",
    ENDLESS_FILL },
  { "/e-after ", ENDLESS_HEAD "Content-Length: 5\r\n\r\nhello", ENDLESS_FILL },
};

#define ENDLESS_COUNT (sizeof endless_answers / sizeof endless_answers[0])

/* The endless answer that the path of the request TEXT selects, or NULL.  */
static const struct endless_answer *
endless_answer_of (const char *text)
{
  for (size_t i = 0; i < ENDLESS_COUNT; i++)
    if (strstr (text, endless_answers[i].path) != NULL)
      return &endless_answers[i];
  return NULL;
}

/* Sends an endless answer until the connection is closed.  */
static void
server_send_endless (int fd, const struct endless_answer *answer,
                     const char *id)
{
  static const size_t block_bytes = 64 * 1024;
  const char *mark = strstr (answer->start, "%s");
  size_t len = strlen (answer->rest);
  size_t used = 0;
  char *block = malloc (block_bytes);

  if (mark == NULL)
    net_send_text (fd, answer->start);
  else
    {
      (void)!write (fd, answer->start, (size_t)(mark - answer->start));
      net_send_text (fd, id);
      net_send_text (fd, mark + 2);
    }
  for (; used + len <= block_bytes; used += len)
    memcpy (block + used, answer->rest, len);
  while (send (fd, block, used, MSG_NOSIGNAL) > 0)
    ;
  free (block);
}

/* Sends TEXT again and again until the connection is closed.  */
static void
server_flood (int fd, const char *text, useconds_t pause_us)
{
  while (send (fd, text, strlen (text), MSG_NOSIGNAL) > 0)
    if (pause_us > 0)
      usleep (pause_us);
}

static void *
server_serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char *text = malloc (TEXT_BYTES);
  struct server_refusals refusals = { .count = 0 };

  while (gate_fixture_read_request (fd, text, TEXT_BYTES))
    {
      const struct endless_answer *endless = endless_answer_of (text);
      char id[GATE_FIXTURE_ID_BYTES];

      gate_fixture_read_id (text, id);
      pthread_mutex_lock (&server_lock);
      snprintf (server_last_request, sizeof server_last_request, "%s", text);
      pthread_mutex_unlock (&server_lock);
      server_request_count++;
      if (strstr (text, "/refused-first ") != NULL
          && !server_refuse_first (fd, &refusals, id))
        continue;
      if (endless != NULL)
        {
          server_send_endless (fd, endless, id);
          break;
        }
      if (strstr (text, "/slow ") != NULL)
        usleep (300000);
      if (strstr (text, "/hang ") != NULL)
        {
          char byte;

          server_hang_count++;
          if (read (fd, &byte, 1) <= 0)
            server_cancelled_count++;
          break;
        }
      if (strstr (text, "/interim ") != NULL)
        {
          server_flood (fd, "HTTP/1.1 100 Continue\r\n\r\n", 0);
          break;
        }
      if (strstr (text, "/flood ") != NULL)
        {
          char head[256];
          char chunk[1100];

          /* More than the gate buffers before it forwards an answer.  */
          snprintf (chunk, sizeof chunk, "400\r\n%01024d\r\n", 1);
          snprintf (head, sizeof head,
                    "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: %s\r\n"
                    "X-Sycamorerudder-Response-Seal: s\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
                    id);
          net_send_text (fd, head);
          server_flood (fd, chunk, 500);
          break;
        }
      server_send_answer (fd, text, id);
      if (strstr (text, "/copy ") != NULL)
        {
          usleep (server_copy_delay_us);
          server_send_answer (fd, text, id);
        }
      if (strstr (text, "/open ") != NULL || strstr (text, "/cut ") != NULL)
        break;
    }
  close (fd);
  free (text);
  return NULL;
}

/* Sends TEXT to a port of the gate and reads until the connection ends;
   returns what was read.  */
static char *
exchange (enum gate_port port, const char *text)
{
  static char answer[TEXT_BYTES];
  size_t len = 0;
  ssize_t received;
  int fd = net_connect (fixture.addresses[port]);

  net_send_text (fd, text);
  while ((received = read (fd, answer + len, sizeof answer - 1 - len)) > 0)
    len += (size_t)received;
  answer[len] = '\0';
  close (fd);
  return answer;
}

/* Sends a request as a caller; returns the answer.  */
static char *
send_caller_request (const char *method, const char *path)
{
  char text[512];

  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            "X-Sycamorerudder-Request-Id: q7\r\n"
            "X-Sycamorerudder-Deadline-Ms: 3000\r\n\r\n",
            method, path);
  return exchange (GATE_PORT_CALLERS, text);
}

static char *
get_path (const char *path)
{
  return send_caller_request ("GET", path);
}

/* Sends a heartbeat of the backend server with instance id ID.  */
static void
send_heartbeat_of (const char *id, int sequence, const char *state)
{
  char body[256];
  char text[512];

  snprintf (body, sizeof body,
            "{\"service\":\"a\",\"address\":\"%s\",\"slots\":4,\"state\":"
            "\"%s\",\"sequence\":%d,\"born\":%d}",
            fixture.server_address, state, sequence,
            strcmp (id, "i-1") == 0 ? 1 : 2);
  snprintf (text, sizeof text,
            "POST /-/Instances.Heartbeat/%s HTTP/1.1\r\nHost: n\r\n"
            "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
            id, strlen (body), body);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (exchange (GATE_PORT_CONTROL, text), " 200 "));
}

static void
send_heartbeat (int sequence, const char *state)
{
  send_heartbeat_of ("i-1", sequence, state);
}

static void
start_gate (void)
{
  struct gate_fixture_opts opts = { .document = document,
                                    .stop_limit = clk_s (3),
                                    .slots = 4,
                                    .serve = server_serve_connection };

  gate_fixture_start (&fixture, &opts);
}

/* Guards against a node that serves nothing until the next heartbeat when it
   starts after its backend server: it has to probe the server.  */
static void
test_probe_at_start (void)
{
  usleep (200000);
  CU_ASSERT_EQUAL (strncmp (get_path ("/r/ok"), "HTTP/1.1 200 ", 13), 0);
  send_heartbeat (1, "ready");
  CU_ASSERT_EQUAL (strncmp (get_path ("/r/ok"), "HTTP/1.1 200 ", 13), 0);
}

static bool
server_last_request_contains (const char *text)
{
  bool found;

  pthread_mutex_lock (&server_lock);
  found = strstr (server_last_request, text) != NULL;
  pthread_mutex_unlock (&server_lock);
  return found;
}

/* Guards against requests and answers that change on the way, internal fields
   that reach the server or the caller, and a caller that forges the name of
   its service.  */
static void
test_request_and_answer_bytes (void)
{
  char *answer = exchange (
      GATE_PORT_CALLERS,
      "POST /r/a%2Fb;c=%41//d?x=%2f&&y HTTP/1.1\r\nHost: h\r\nX-Odd: 1\r\n"
      "X-Sycamorerudder-Request-Id: q1\r\nConnection: close\r\n"
      "X-Sycamorerudder-Caller-Service: forged\r\n"
      "X-Sycamorerudder-Deadline-Ms: 3000\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");

  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 200 OK\r\n", 17), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "X-Odd: q1\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "\r\n\r\nhello"));
  CU_ASSERT_PTR_NULL (strstr (answer, "Rudder-"));
  CU_ASSERT_TRUE (server_last_request_contains (
      "POST /r/a%2Fb;c=%41//d?x=%2f&&y HTTP/1.1\r\n"));
  CU_ASSERT_TRUE (server_last_request_contains ("X-Odd: 1\r\n"));
  CU_ASSERT_TRUE (
      server_last_request_contains ("X-Sycamorerudder-Caller-Service: a\r\n"));
  CU_ASSERT_TRUE (server_last_request_contains (
      "X-Sycamorerudder-Expect-Instance: i-1\r\n"));
  CU_ASSERT_FALSE (server_last_request_contains ("forged"));
  CU_ASSERT_FALSE (server_last_request_contains ("Rudder-"));
  CU_ASSERT_TRUE (server_last_request_contains ("3\r\nabc\r\n0\r\n\r\n"));
}

/* Guards against an answer to HEAD that times out, because the gate waits for
   the body that its Content-Length announces.  */
static void
test_head_answer (void)
{
  char *answer = send_caller_request ("HEAD", "/r/ok");

  CU_ASSERT_PTR_NOT_NULL (strstr (answer, " 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "Content-Length: 5\r\n"));
  CU_ASSERT_PTR_NULL (strstr (answer, "hello"));
  answer = send_caller_request ("HEAD", "/r/open");
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, " 200 "));
  CU_ASSERT_STRING_EQUAL (strstr (answer, "\r\n\r\n"), "\r\n\r\n");
}

/* Guards against unbounded memory for one connection: a caller sends far more
   requests than it reads answers, and the gate reads and keeps all of them at
   once.  */
static void
test_pipeline_limit (void)
{
  static const char request[] = "GET /l/slow HTTP/1.1\r\nHost: h\r\n"
                                "X-Sycamorerudder-Request-Id: p\r\n\r\n";
  char *text = malloc (PIPELINED_REQUESTS * sizeof request);
  uint64_t calls_before = counter_get (COUNTER_CALLS);
  size_t len = 0;
  size_t received;
  ssize_t chunk;
  int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);

  for (int i = 0; i < PIPELINED_REQUESTS; i++)
    {
      memcpy (text + len, request, sizeof request - 1);
      len += sizeof request - 1;
    }
  CU_ASSERT_TRUE (send (fd, text, len, MSG_DONTWAIT) > 0);
  usleep (100000);
  CU_ASSERT_TRUE (counter_get (COUNTER_CALLS) > calls_before);
  CU_ASSERT_TRUE (counter_get (COUNTER_CALLS) - calls_before
                  <= PIPELINED_AT_ONCE_MAX);
  for (received = 0; received < ANSWERS_READ_BYTES; received += (size_t)chunk)
    if ((chunk = read (fd, text, PIPELINED_REQUESTS * sizeof request)) <= 0)
      break;
  CU_ASSERT_TRUE (counter_get (COUNTER_CALLS) - calls_before
                  > PIPELINED_AT_ONCE_MAX);
  close (fd);
  free (text);
  usleep (400000);
}

/* Sends a request that a caller waits TIMEOUT for; returns the status.  */
static int
get_with_timeout (const char *timeout)
{
  char text[512];
  int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  int status;

  snprintf (text, sizeof text,
            "GET /r/ok HTTP/1.1\r\nHost: h\r\n"
            "X-Sycamorerudder-Request-Id: t\r\n"
            "X-Sycamorerudder-Deadline-Ms: %s\r\n\r\n",
            timeout);
  net_send_text (fd, text);
  status = net_read_status (fd);
  close (fd);
  return status;
}

/* Guards against a time limit of 0 that counts as none, and a long one that
   wraps around, so that the request is refused or passed on with another.  */
static void
test_time_limits (void)
{
  CU_ASSERT_EQUAL (get_with_timeout ("0"), 503);
  CU_ASSERT_EQUAL (get_with_timeout ("3000"), 200);
  CU_ASSERT_EQUAL (get_with_timeout ("18446744073709551"), 200);
  CU_ASSERT_EQUAL (get_with_timeout ("18446744073709552"), 200);
  CU_ASSERT_EQUAL (get_with_timeout ("99999999999999999999999"), 200);
  CU_ASSERT_EQUAL (get_with_timeout ("soon"), 200);
}

/* Guards against a request that is passed on after its time limit, with one
   that has wrapped around: it waited behind as many as are started at once. */
static void
test_overdue_pipelined_request (void)
{
  char text[256];
  static char answer[64 * 1024];
  uint64_t attempts;
  int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);

  for (int i = 0; i <= PIPELINED_AT_ONCE_MAX; i++)
    {
      bool last = i == PIPELINED_AT_ONCE_MAX;

      snprintf (text, sizeof text,
                "GET /l/%s HTTP/1.1\r\nHost: h\r\n%s"
                "X-Sycamorerudder-Request-Id: o%d\r\n"
                "X-Sycamorerudder-Deadline-Ms: %d\r\n\r\n",
                last ? "late" : "hang", last ? "Connection: close\r\n" : "", i,
                last ? 100 : 400);
      net_send_text (fd, text);
    }
  usleep (200000);
  attempts = counter_get (COUNTER_ATTEMPTS);
  net_read_to_end (fd, answer, sizeof answer);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "deadline-queued; not-run"));
  CU_ASSERT_EQUAL (counter_get (COUNTER_ATTEMPTS), attempts);
  CU_ASSERT_FALSE (server_last_request_contains ("/l/late "));
  usleep (200000);
}

/* Guards against pipelined requests that run one after the other, and against
   answers out of order.  */
static void
test_pipeline_order (void)
{
  clk_us start = clk_now ();
  char *answer
      = exchange (GATE_PORT_CALLERS,
                  "GET /r/slow HTTP/1.1\r\nHost: h\r\n"
                  "X-Sycamorerudder-Request-Id: first\r\n\r\n"
                  "GET /r/slow HTTP/1.1\r\nHost: h\r\n"
                  "X-Sycamorerudder-Request-Id: second\r\n\r\n"
                  "GET /r/ok HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                  "X-Sycamorerudder-Request-Id: third\r\n\r\n");
  char *first = strstr (answer, "first");
  char *second = strstr (answer, "second");
  char *third = strstr (answer, "third");

  CU_ASSERT_TRUE (clk_now () - start < clk_ms (550));
  CU_ASSERT_TRUE (first != NULL && second > first && third > second);
}

/* Guards against an internal route that is never recognised as one, so that
   the requests that call it are not limited.  After a restart of all nodes, a
   service can be so slow that no call to it is answered; the node of its
   backend server must report the classification before the answer, in an
   interim response (103).  */
static void
test_internal_route_in_103 (void)
{
  struct nodehdr_request node_request = {
    .service = "a", .timeout_ms = 200, .route_id = 99, .idempotent = true
  };
  char field[NODEHDR_TEXT_BYTES];
  char text[TEXT_BYTES];
  char answer[4096] = "";
  struct linger reset = { .l_onoff = 1 };
  int cancelled_before = server_cancelled_count;
  int requests_before = server_hang_count;
  int fd;

  nodehdr_encode_request (&node_request, field);
  for (int i = 0;
       i < INTERNAL_ROUTE_REQUESTS_MAX && strstr (answer, " 103 ") == NULL;
       i++)
    {
      ssize_t len;

      fd = net_connect (fixture.addresses[GATE_PORT_NODES]);
      snprintf (text, sizeof text,
                "GET /l/hang HTTP/1.1\r\nHost: h\r\n%s: %s\r\n"
                "X-Sycamorerudder-Caller-Service: z\r\n"
                "X-Sycamorerudder-Deadline-Ms: 200\r\n\r\n",
                NODEHDR_REQUEST_FIELD, field);
      net_send_text (fd, text);
      usleep (20000);
      len = recv (fd, answer, sizeof answer - 1, MSG_DONTWAIT);
      answer[len > 0 ? len : 0] = '\0';
      /* A reset cancels the run at once.  */
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (fd);
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (strstr (answer, " 103 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, NODEHDR_ANSWER_FIELD));
  /* Every run ends; a request that was cancelled before it reached the server
     did not run.  */
  usleep (200000);
  for (int i = 0; i < 200
                  && server_cancelled_count - cancelled_before
                         != server_hang_count - requests_before;
       i++)
    usleep (50000);
  CU_ASSERT_TRUE (server_hang_count > requests_before);
  CU_ASSERT_EQUAL (server_cancelled_count - cancelled_before,
                   server_hang_count - requests_before);
}

/* Guards against a slot that is never released: the node that sent the request
   ends, or its connection is lost, and the server never answers.  The run must
   be cancelled when its time limit has passed.  */
static void
test_overdue_run_is_cancelled (void)
{
  struct nodehdr_request node_request
      = { .service = "a", .timeout_ms = 200, .idempotent = true };
  char field[NODEHDR_TEXT_BYTES];
  char text[TEXT_BYTES];
  int cancelled_before = server_cancelled_count;
  int fd = net_connect (fixture.addresses[GATE_PORT_NODES]);

  nodehdr_encode_request (&node_request, field);
  snprintf (text, sizeof text,
            "GET /l/hang HTTP/1.1\r\nHost: h\r\n%s: %s\r\n"
            "X-Sycamorerudder-Deadline-Ms: 200\r\n"
            "X-Sycamorerudder-Request-Id: overdue\r\n\r\n",
            NODEHDR_REQUEST_FIELD, field);
  net_send_text (fd, text);
  usleep (100000);
  CU_ASSERT_EQUAL (shutdown (fd, SHUT_WR), 0);
  usleep (50000);
  CU_ASSERT_EQUAL (server_cancelled_count, cancelled_before);
  for (int i = 0; i < 40 && server_cancelled_count == cancelled_before; i++)
    usleep (50000);
  CU_ASSERT_EQUAL (server_cancelled_count, cancelled_before + 1);
  close (fd);
}

/* Guards against broken answers that reach a caller as complete ones: the
   answer to another request, a truncated body, an answer without the seal.  */
static void
test_broken_answers (void)
{
  char *answer = get_path ("/r/stray");

  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "\r\n\r\nhello"));
  CU_ASSERT_PTR_NULL (strstr (answer, "bad"));
  CU_ASSERT_EQUAL (strncmp (get_path ("/r/cut"), "HTTP/1.1 502 ", 13), 0);
  CU_ASSERT_EQUAL (strncmp (get_path ("/r/noseal"), "HTTP/1.1 502 ", 13), 0);
  answer = get_path ("/r/open");
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 200 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "hello"));
  answer = get_path ("/o/shed");
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 503 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "not-run"));
}

/* Guards against a caller that gets the answer to another request: the server
   sends each answer once more, some time later, when the connection may be in
   use again.  */
static void
test_late_copies (void)
{
  char text[256];
  char expected[32];

  for (unsigned i = 0; i < 40; i++)
    {
      char *answer;

      server_copy_delay_us = i * 250;
      for (int copied = 1; copied >= 0; copied--)
        {
          snprintf (text, sizeof text,
                    "GET /r/%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                    "X-Sycamorerudder-Request-Id: %c%u\r\n\r\n",
                    copied ? "copy" : "ok", copied ? 'c' : 'd', i);
          snprintf (expected, sizeof expected, "X-Odd: %c%u\r\n",
                    copied ? 'c' : 'd', i);
          answer = exchange (GATE_PORT_CALLERS, text);
          SUITE_SEEDED (strncmp (answer, "HTTP/1.1 200 ", 13) == 0, i);
          SUITE_SEEDED (strstr (answer, expected) != NULL, i);
        }
    }
}

/* Guards against requests that fail because stray answers came before, on the
   connection that they are sent on: each is answered after one of them.  */
static void
test_stray_answers (void)
{
  for (unsigned i = 0; i < 20; i++)
    SUITE_SEEDED (strncmp (get_path ("/o/stray"), "HTTP/1.1 200 ", 13) == 0,
                  i);
}

/* Sends a request that the server refuses when it gets it first; returns the
   connection.  ID may be NULL.  */
static int
send_refused_first (const char *id)
{
  char text[256];
  char field[GATE_FIXTURE_ID_BYTES + 40] = "";
  int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);

  if (id != NULL)
    snprintf (field, sizeof field, "X-Sycamorerudder-Request-Id: %s\r\n", id);
  snprintf (text, sizeof text,
            "POST /o/refused-first HTTP/1.1\r\nHost: h\r\n%s"
            "Connection: close\r\nContent-Length: 0\r\n\r\n",
            field);
  net_send_text (fd, text);
  return fd;
}

/* Reads the answer to a request that the server refused first.  */
static void
expect_refused_first_answered (int fd, unsigned seed)
{
  char answer[1024];

  net_read_to_end (fd, answer, sizeof answer);
  SUITE_SEEDED (strncmp (answer, "HTTP/1.1 200 ", 13) == 0, seed);
}

/* Guards against a second run of a request, or a false "not run" for one that
   runs: the server has refused it, and sends the refusal once more where the
   answer to the same request is due.  Other requests, and many refusals, come
   in between.  */
static void
test_late_copies_of_refusals (void)
{
  int runs_before = server_refused_run_count;
  int fds[REFUSED_REQUESTS / 2];
  int count = REFUSED_REQUESTS / 2;
  char id[GATE_FIXTURE_ID_BYTES];

  expect_refused_first_answered (send_refused_first ("alone"), 0);
  CU_ASSERT_EQUAL (server_refused_run_count - runs_before, 1);
  fds[0] = send_refused_first ("between");
  usleep (10000);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (strncmp (get_path ("/r/ok"), "HTTP/1.1 200 ", 13), 0);
  expect_refused_first_answered (fds[0], 0);
  CU_ASSERT_EQUAL (server_refused_run_count - runs_before, 2);
  for (int i = 0; i < count; i++)
    {
      snprintf (id, sizeof id, "many-%d", i);
      fds[i] = send_refused_first (id);
      usleep (2000);
    }
  for (int i = 0; i < count; i++)
    expect_refused_first_answered (fds[i], (unsigned)i);
  CU_ASSERT_EQUAL (server_refused_run_count - runs_before, 2 + count);
  /* Without an id no answer tells to which request it belongs.  */
  expect_refused_first_answered (send_refused_first (NULL), 0);
  CU_ASSERT_EQUAL (server_refused_run_count - runs_before, 3 + count);
}

/* Guards against a server in trouble that sends bytes without end: interim
   responses must end the request long before its time is over, and an answer
   that never ends must not look complete when its time is over.  */
static void
test_endless_answers (void)
{
  static const char request[] = "GET /t/flood HTTP/1.1\r\nHost: h\r\n"
                                "Connection: close\r\n"
                                "X-Sycamorerudder-Request-Id: f\r\n\r\n";
  int requests_before = server_request_count;
  clk_us start = clk_now ();
  char bytes[4096];
  char tail[6] = "";
  size_t received = 0;
  ssize_t len;
  int fd;

  CU_ASSERT_EQUAL (strncmp (get_path ("/o/interim"), "HTTP/1.1 502 ", 13), 0);
  CU_ASSERT_TRUE (clk_now () - start < clk_ms (1000));
  CU_ASSERT_EQUAL (server_request_count - requests_before, 1);
  fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  start = clk_now ();
  net_send_text (fd, request);
  while ((len = read (fd, bytes, sizeof bytes)) > 0)
    {
      received += (size_t)len;
      if (len >= 5)
        memcpy (tail, bytes + len - 5, 5);
    }
  close (fd);
  CU_ASSERT_TRUE (clk_now () - start < clk_ms (3000));
  CU_ASSERT_TRUE (received > 64 * 1024);
  CU_ASSERT_STRING_NOT_EQUAL (tail, "0\r\n\r\n");
}

/* Options of the address sanitizer: with its usual quarantine of freed memory
   the peak of the process would say nothing.  */
const char *__asan_default_options (void);

const char *
__asan_default_options (void)
{
  return "quarantine_size_mb=1";
}

/* Memory of the process at its peak so far, in KiB.  */
static long
peak_memory_kb (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

/* Reads until the connection ends; returns the number of bytes.  */
static size_t
count_to_end (int fd)
{
  static char bytes[65536];
  size_t total = 0;
  ssize_t len;

  while ((len = read (fd, bytes, sizeof bytes)) > 0)
    total += (size_t)len;
  return total;
}

/* Guards against a node that keeps bytes without end which are no answer, in a
   head or a body, until its memory is exhausted, so that the requests of other
   callers end with it.  The caller of the endless answer reads it, or does
   not, or has another request before it that is not answered.  */
static void
test_endless_bytes (void)
{
  static const char *const firsts[]
      = { "", "",
          "GET /t/hang HTTP/1.1\r\nHost: h\r\n"
          "X-Sycamorerudder-Request-Id: first\r\n\r\n" };
  long memory_before;

  CU_ASSERT_EQUAL (strncmp (get_path ("/r/ok"), "HTTP/1.1 200 ", 13), 0);
  memory_before = peak_memory_kb ();
  for (unsigned i = 0; i < 3 * ENDLESS_COUNT; i++)
    {
      const char *path = endless_answers[i / 3].path;
      bool reads = i % 3 != 1;
      char text[512];
      clk_us start = clk_now ();
      int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);

      snprintf (text, sizeof text,
                "%sGET /t%sHTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                "X-Sycamorerudder-Request-Id: e%u\r\n\r\n",
                firsts[i % 3], path, i);
      net_send_text (fd, text);
      SUITE_SEEDED (strncmp (get_path ("/r/ok"), "HTTP/1.1 200 ", 13) == 0, i);
      if (reads)
        (void)count_to_end (fd);
      else
        usleep (400000);
      close (fd);
      SUITE_SEEDED (clk_now () - start < clk_ms (1500), i);
    }
  CU_ASSERT_TRUE (peak_memory_kb () - memory_before < ENDLESS_MEMORY_KB_MAX);
}

/* Guards against a second run of a non-idempotent request after its answer was
   truncated.  */
static void
test_non_idempotent_runs_once (void)
{
  int requests_before = server_request_count;

  CU_ASSERT_EQUAL (strncmp (get_path ("/o/cut"), "HTTP/1.1 502 ", 13), 0);
  CU_ASSERT_EQUAL (server_request_count - requests_before, 1);
}

/* Guards against input that is not HTTP, and against a head or body without a
   size limit.  */
static void
test_bad_input (void)
{
  static char text[8192] = "GET /r/ HTTP/1.1\r\nHost: h\r\nX: ";
  size_t len = strlen (text);

  memset (text + len, 'a', 6000);
  CU_ASSERT_EQUAL (
      strncmp (exchange (GATE_PORT_CALLERS, text), "HTTP/1.1 431 ", 13), 0);
  CU_ASSERT_EQUAL (strncmp (exchange (GATE_PORT_CALLERS, "hello\r\n\r\n"),
                            "HTTP/1.1 400 ", 13),
                   0);
  CU_ASSERT_EQUAL (
      strncmp (exchange (GATE_PORT_CALLERS, "POST /r/ HTTP/1.1\r\nHost: h\r\n"
                                            "Content-Length: 2000000\r\n\r\n"),
               "HTTP/1.1 413 ", 13),
      0);
  CU_ASSERT_EQUAL (strncmp (get_path ("/none/"), "HTTP/1.1 404 ", 13), 0);
}

/* Waits until the server has seen the end of each request that it does not
   answer, those of earlier tests included.  */
static void
wait_for_cancellations (void)
{
  for (int i = 0; i < 100 && server_cancelled_count != server_hang_count; i++)
    usleep (10000);
  CU_ASSERT_EQUAL (server_cancelled_count, server_hang_count);
}

/* Guards against a caller that waits longer than the route's timeout, and
   against work that goes on after the caller has disconnected.  */
static void
test_timeout_and_disconnect (void)
{
  clk_us start;
  int cancelled_before;
  int fd;

  wait_for_cancellations ();
  start = clk_now ();
  cancelled_before = server_cancelled_count;
  CU_ASSERT_EQUAL (strncmp (get_path ("/t/hang"), "HTTP/1.1 504 ", 13), 0);
  CU_ASSERT_TRUE (clk_now () - start < clk_ms (500));
  fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  net_send_text (fd, "GET /r/hang HTTP/1.1\r\nHost: h\r\n"
                     "X-Sycamorerudder-Request-Id: leaves\r\n\r\n");
  usleep (150000);
  close (fd);
  usleep (300000);
  CU_ASSERT_EQUAL (server_cancelled_count - cancelled_before, 2);
}

/* Guards against an event loop that spins, or a connection that is lost, while
   the process has no free descriptor to accept it.  */
static void
test_no_free_descriptor (void)
{
  struct rlimit old_limit;
  struct rlimit low_limit;
  char answer[4096];
  size_t len = 0;
  ssize_t received;
  clock_t cpu_clocks;
  int duplicates[FILLED_DESCRIPTORS];
  int fd;

  /* Fill the gaps below the limit: poll() fails with more descriptors than
     that.  */
  for (int i = 0; i < FILLED_DESCRIPTORS; i++)
    duplicates[i] = dup (0);
  getrlimit (RLIMIT_NOFILE, &old_limit);
  low_limit = old_limit;
  low_limit.rlim_cur = (rlim_t)duplicates[FILLED_DESCRIPTORS - 1] + 1;
  setrlimit (RLIMIT_NOFILE, &low_limit);
  close (duplicates[FILLED_DESCRIPTORS - 1]);
  /* This connection uses the last descriptor.  */
  fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  cpu_clocks = clock ();
  usleep (400000);
  cpu_clocks = clock () - cpu_clocks;
  setrlimit (RLIMIT_NOFILE, &old_limit);
  for (int i = 0; i < FILLED_DESCRIPTORS - 1; i++)
    close (duplicates[i]);
  CU_ASSERT_TRUE (cpu_clocks < CLOCKS_PER_SEC / 10);
  net_send_text (fd, "GET /r/ok HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                     "X-Sycamorerudder-Request-Id: waits\r\n\r\n");
  while ((received = read (fd, answer + len, sizeof answer - 1 - len)) > 0)
    len += (size_t)received;
  answer[len] = '\0';
  close (fd);
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 200 ", 13), 0);
}

/* Guards against requests that reach a backend server after its node
   acknowledged that it drains.  */
static void
test_draining_server (void)
{
  int requests_before;
  char *answer;

  CU_ASSERT_PTR_NOT_NULL (strstr (
      exchange (GATE_PORT_HEALTH, "GET /-/readiness HTTP/1.1\r\nHost: n\r\n"
                                  "Connection: close\r\n\r\n"),
      " 200 "));
  send_heartbeat (2, "draining");
  requests_before = server_request_count;
  answer = get_path ("/r/ok");
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 503 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "not-run"));
  CU_ASSERT_EQUAL (server_request_count, requests_before);
}

/* Sends reads of the configuration from 2.5 s to 3 s after the stop began, so
   that some arrive after the stop message to the control task, which never
   answers in this test.  */
static void
read_config_while_stopping (int fds[CONFIG_READS])
{
  usleep (1900000);
  for (int i = 0; i < CONFIG_READS; i++)
    {
      fds[i] = net_connect (fixture.addresses[GATE_PORT_CONTROL]);
      net_send_text (fds[i], "GET /-/Config.Get HTTP/1.1\r\nHost: n\r\n\r\n");
      usleep (50000);
    }
}

/* Closes the connections; returns on how many a 503 has arrived.  */
static int
close_and_count_refused (const int fds[CONFIG_READS])
{
  int count = 0;

  for (int i = 0; i < CONFIG_READS; i++)
    {
      char answer[256] = "";

      if (recv (fds[i], answer, sizeof answer - 1, MSG_DONTWAIT) > 0)
        count += strstr (answer, " 503 ") != NULL;
      close (fds[i]);
    }
  return count;
}

/* Guards against a stop that aborts a request, and one that withholds a
   finished answer because an unfinished one precedes it on the connection.  */
static void
test_stop_finishes_answers (void)
{
  int config_reads[CONFIG_READS];
  char answer[4096];
  char *bad_gateway;
  int fd;
  int pipelined;

  /* The incarnation that drained must stay unavailable.  */
  send_heartbeat (3, "ready");
  CU_ASSERT_EQUAL (strncmp (get_path ("/r/ok"), "HTTP/1.1 503 ", 13), 0);
  send_heartbeat_of ("i-2", 1, "ready");
  pipelined = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  net_send_text (pipelined, "GET /l/hang HTTP/1.1\r\nHost: h\r\n"
                            "X-Sycamorerudder-Request-Id: hangs\r\n\r\n"
                            "GET /l/ok HTTP/1.1\r\nHost: h\r\n"
                            "X-Sycamorerudder-Request-Id: ready\r\n\r\n");
  fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  net_send_text (fd, "POST /r/ok HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                     "X-Sycamorerudder-Request-Id: late\r\n\r\na");
  usleep (200000);
  gate_shut_down (fixture.gate);
  usleep (400000);
  CU_ASSERT_PTR_NOT_NULL (strstr (
      exchange (GATE_PORT_HEALTH, "GET /-/readiness HTTP/1.1\r\nHost: n\r\n"
                                  "Connection: close\r\n\r\n"),
      " 503 "));
  net_send_text (fd, "b");
  net_read_to_end (fd, answer, sizeof answer);
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 200 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "Connection: close"));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "hello"));
  read_config_while_stopping (config_reads);
  net_read_to_end (pipelined, answer, sizeof answer);
  bad_gateway = strstr (answer, "HTTP/1.1 502 ");
  CU_ASSERT_PTR_NOT_NULL (bad_gateway);
  CU_ASSERT_TRUE (close_and_count_refused (config_reads) > 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "HTTP/1.1 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "hello"));
  pthread_join (fixture.gate_thread, NULL);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "start", start_gate },
          { "probe at start", test_probe_at_start },
          { "request and answer bytes", test_request_and_answer_bytes },
          { "answer to HEAD", test_head_answer },
          { "time limits of callers", test_time_limits },
          { "overdue pipelined request", test_overdue_pipelined_request },
          { "pipeline order", test_pipeline_order },
          { "pipeline limit", test_pipeline_limit },
          { "internal route in a 103", test_internal_route_in_103 },
          { "overdue run is cancelled", test_overdue_run_is_cancelled },
          { "broken answers", test_broken_answers },
          { "late copies of answers", test_late_copies },
          { "late copies of refusals", test_late_copies_of_refusals },
          { "stray answers", test_stray_answers },
          { "answers without end", test_endless_answers },
          { "bytes without end", test_endless_bytes },
          { "non-idempotent request runs once",
            test_non_idempotent_runs_once },
          { "bad input", test_bad_input },
          { "timeout and disconnect", test_timeout_and_disconnect },
          { "no free descriptor", test_no_free_descriptor },
          { "draining server", test_draining_server },
          { "stop finishes answers", test_stop_finishes_answers },
          { NULL, NULL } };

  return suite_run ("gate", tests);
}
