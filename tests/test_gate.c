#include <arpa/inet.h>
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
#include "platform/platform.h"
#include "sycamorerudder.h"
#include "tasks/gate.h"
#include "tests/net.h"
#include "tests/suite.h"
#include "wire/nodehdr.h"

#define TEXT_BYTES 65536
/* More than the gaps between the descriptors of this program.  */
#define FILLED 64
/* Requests of one connection; several times what one read brings.  */
#define PIPELINED 2000
/* Of them, served at a time.  */
#define PIPELINED_AT_ONCE 64
/* Bytes of more answers than are served at a time.  */
#define ANSWERS_BYTES 40000
/* Reads of the configuration during a stop.  */
#define ASKS 12
/* Requests from one service after which a route is known to be one of calls.
 */
#define CALLS_TO_TELL 20

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

/* The backend server: answers by the last part of the path.  */
static int server_listener;
static char server_address[NET_ADDRESS_BYTES];
static atomic_int server_requests;
static atomic_int server_gone; /* requests whose connection ended meanwhile */
static char server_last[TEXT_BYTES];
static pthread_mutex_t server_lock = PTHREAD_MUTEX_INITIALIZER;

static struct gate *gate;
static struct inbox *control;
static pthread_t gate_thread;
static char addresses[GATE_PORT_COUNT][NET_ADDRESS_BYTES];

static int
dial (const char *address)
{
  struct sockaddr_in name = { .sin_family = AF_INET };
  struct timeval wait = { .tv_sec = 4 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  name.sin_port = htons ((uint16_t)atoi (strchr (address, ':') + 1));
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&name, sizeof name),
                         0);
  return fd;
}

static void
put (int fd, const char *text)
{
  (void)!write (fd, text, strlen (text));
}

/* Reads a request with its body; false when the connection has ended.  */
static bool
server_read (int fd, char *text, size_t size)
{
  size_t len = 0;

  for (;;)
    {
      char *end = memmem (text, len, "\r\n\r\n", 4);
      char *length = memmem (text, len, "Content-Length: ", 16);
      ssize_t got;

      if (end != NULL)
        {
          size_t head = (size_t)(end - text) + 4;
          size_t body = length != NULL && length < end
                            ? strtoul (length + 16, NULL, 10)
                            : 0;

          if (memmem (text, head, "chunked", 7) != NULL)
            body = memmem (end, len - (size_t)(end - text), "0\r\n\r\n", 5)
                           != NULL
                       ? 0
                       : SIZE_MAX / 2;
          if (len >= head + body)
            {
              text[len] = '\0';
              return true;
            }
        }
      got = read (fd, text + len, size - 1 - len);
      if (got <= 0)
        return false;
      len += (size_t)got;
    }
}

static void
server_answer (int fd, const char *text, const char *id)
{
  char out[1024];
  const char *framing = "Content-Length: 5";
  const char *seal = "X-Sycamorerudder-Response-Seal: s\r\n";

  if (strstr (text, "GET /health ") != NULL)
    {
      put (fd, "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Instance-Id: i-1\r\n"
               "X-Sycamorerudder-Server-Load: 0,0,4,100\r\n"
               "Content-Length: 0\r\n\r\n");
      return;
    }
  if (strstr (text, "/stray ") != NULL)
    put (fd, "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: other\r\n"
             "Content-Length: 3\r\n\r\nbad");
  if (strstr (text, "/shed ") != NULL)
    {
      snprintf (
          out, sizeof out,
          "HTTP/1.1 503 Busy\r\nX-Sycamorerudder-Request-Id: %s\r\n"
          "X-Sycamorerudder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
          id);
      put (fd, out);
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
  put (fd, out);
}

static void *
server_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char *text = malloc (TEXT_BYTES);

  while (server_read (fd, text, TEXT_BYTES))
    {
      char id[64] = "";
      char *at = strstr (text, "X-Sycamorerudder-Request-Id: ");

      if (at != NULL)
        sscanf (at, "X-Sycamorerudder-Request-Id: %63s", id);
      pthread_mutex_lock (&server_lock);
      snprintf (server_last, sizeof server_last, "%s", text);
      pthread_mutex_unlock (&server_lock);
      server_requests++;
      if (strstr (text, "/slow ") != NULL)
        usleep (300000);
      if (strstr (text, "/hang ") != NULL)
        {
          char byte;

          if (read (fd, &byte, 1) <= 0)
            server_gone++;
          break;
        }
      server_answer (fd, text, id);
      if (strstr (text, "/open ") != NULL || strstr (text, "/cut ") != NULL)
        break;
    }
  close (fd);
  free (text);
  return NULL;
}

static void *
server_run (void *arg)
{
  (void)arg;
  for (;;)
    {
      int fd = accept (server_listener, NULL, NULL);
      pthread_t thread;

      if (fd < 0)
        return NULL;
      pthread_create (&thread, NULL, server_connection, (void *)(intptr_t)fd);
      pthread_detach (thread);
    }
}

static void *
run_gate (void *arg)
{
  (void)arg;
  gate_run (gate);
  return NULL;
}

/* Sends TEXT to a port and reads until the connection ends.  */
static char *
ask (enum gate_port port, const char *text)
{
  static char answer[TEXT_BYTES];
  size_t len = 0;
  ssize_t got;
  int fd = dial (addresses[port]);

  put (fd, text);
  while ((got = read (fd, answer + len, sizeof answer - 1 - len)) > 0)
    len += (size_t)got;
  answer[len] = '\0';
  close (fd);
  return answer;
}

/* Answer to a request of a caller.  */
static char *
ask_method (const char *method, const char *path)
{
  char text[512];

  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            "X-Sycamorerudder-Request-Id: q7\r\n"
            "X-Sycamorerudder-Deadline-Ms: 3000\r\n\r\n",
            method, path);
  return ask (GATE_PORT_CALLERS, text);
}

static char *
get (const char *path)
{
  return ask_method ("GET", path);
}

static void
beat_of (const char *id, int sequence, const char *state)
{
  char body[256];
  char text[512];

  snprintf (body, sizeof body,
            "{\"service\":\"a\",\"address\":\"%s\",\"slots\":4,\"state\":"
            "\"%s\",\"sequence\":%d,\"born\":%d}",
            server_address, state, sequence, strcmp (id, "i-1") == 0 ? 1 : 2);
  snprintf (text, sizeof text,
            "POST /-/Instances.Heartbeat/%s HTTP/1.1\r\nHost: n\r\n"
            "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
            id, strlen (body), body);
  CU_ASSERT_PTR_NOT_NULL (strstr (ask (GATE_PORT_CONTROL, text), " 200 "));
}

static void
beat (int sequence, const char *state)
{
  beat_of ("i-1", sequence, state);
}

/* A gate whose only server is beside it.  */
static void
begin (void)
{
  static struct gate_opts opts;
  struct inbox_opts inbox = { .wake = INBOX_WAKE_CONDITION };
  struct msg *model = msg_new (MSG_MODEL);
  struct msg *view = msg_new (MSG_VIEW);
  struct member_record record = { .instance = "n-1",
                                  .service = "a",
                                  .failure_domain = "d",
                                  .slots = 4,
                                  .state = MEMBER_SERVING,
                                  .incarnation = 1 };
  char fault[API_FAULT_BYTES];
  pthread_t thread;

  server_listener = net_bind (server_address);
  listen (server_listener, 64);
  pthread_create (&thread, NULL, server_run, NULL);
  for (int i = 0; i < GATE_PORT_COUNT; i++)
    {
      close (net_bind (addresses[i]));
      opts.listen[i] = addresses[i];
    }
  opts.instance = "n-1";
  opts.failure_domain = "d";
  opts.peer_address = "127.0.0.1:1";
  opts.service = "a";
  opts.backend_address = server_address;
  opts.adapter = platform_adapter ();
  opts.retry_budget = (struct budget_opts){ .ratio = 1,
                                            .retries_min = 100,
                                            .window = clk_s (10) };
  opts.stop_limit = clk_s (3);
  opts.heartbeat_interval = clk_s (60);
  opts.descriptors_max = 512;
  gate = gate_new (&opts);
  CU_ASSERT_PTR_NOT_NULL_FATAL (gate);
  control = inbox_new (&inbox);
  gate_attach (gate, control, control);
  CU_ASSERT_EQUAL_FATAL (platform_parse_document (document, strlen (document),
                                                  &model->u.model.model,
                                                  fault),
                         SR_OK);
  model->u.model.confirmed = true;
  snprintf (record.address, sizeof record.address, "127.0.0.1:1");
  member_add_item (&view->u.items, &record);
  inbox_put (gate_inbox (gate), model);
  inbox_put (gate_inbox (gate), view);
  pthread_create (&gate_thread, NULL, run_gate, NULL);
}

/* Guards against a node that starts beside a server which runs already, and
   serves nothing until the next heartbeat.  */
static void
test_probe (void)
{
  usleep (200000);
  CU_ASSERT_EQUAL (strncmp (get ("/r/ok"), "HTTP/1.1 200 ", 13), 0);
  beat (1, "ready");
  CU_ASSERT_EQUAL (strncmp (get ("/r/ok"), "HTTP/1.1 200 ", 13), 0);
}

static bool
server_saw (const char *text)
{
  bool found;

  pthread_mutex_lock (&server_lock);
  found = strstr (server_last, text) != NULL;
  pthread_mutex_unlock (&server_lock);
  return found;
}

/* Guards against requests and answers that change on the way, and a caller
   that names its own service.  */
static void
test_bytes (void)
{
  char *answer = ask (
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
  CU_ASSERT_TRUE (server_saw ("POST /r/a%2Fb;c=%41//d?x=%2f&&y HTTP/1.1\r\n"));
  CU_ASSERT_TRUE (server_saw ("X-Odd: 1\r\n"));
  CU_ASSERT_TRUE (server_saw ("X-Sycamorerudder-Caller-Service: a\r\n"));
  CU_ASSERT_TRUE (server_saw ("X-Sycamorerudder-Expect-Instance: i-1\r\n"));
  CU_ASSERT_FALSE (server_saw ("forged"));
  CU_ASSERT_FALSE (server_saw ("Rudder-"));
  CU_ASSERT_TRUE (server_saw ("3\r\nabc\r\n0\r\n\r\n"));
}

/* Guards against an answer to HEAD that is waited for until the time is over,
   since its length tells of a body that does not come.  */
static void
test_head (void)
{
  char *answer = ask_method ("HEAD", "/r/ok");

  CU_ASSERT_PTR_NOT_NULL (strstr (answer, " 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "Content-Length: 5\r\n"));
  CU_ASSERT_PTR_NULL (strstr (answer, "hello"));
  answer = ask_method ("HEAD", "/r/open");
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, " 200 "));
  CU_ASSERT_STRING_EQUAL (strstr (answer, "\r\n\r\n"), "\r\n\r\n");
}

/* Pattern: a caller that sends far more requests than it reads answers.
   Guards against all of them being taken, and kept, at once.  */
static void
test_long_pipeline (void)
{
  static const char request[] = "GET /l/slow HTTP/1.1\r\nHost: h\r\n"
                                "X-Sycamorerudder-Request-Id: p\r\n\r\n";
  char *text = malloc (PIPELINED * sizeof request);
  uint64_t before = counter_get (COUNTER_CALLS);
  size_t len = 0;
  size_t got;
  ssize_t part;
  int fd = dial (addresses[GATE_PORT_CALLERS]);

  for (int i = 0; i < PIPELINED; i++)
    {
      memcpy (text + len, request, sizeof request - 1);
      len += sizeof request - 1;
    }
  CU_ASSERT_TRUE (send (fd, text, len, MSG_DONTWAIT) > 0);
  usleep (100000);
  CU_ASSERT_TRUE (counter_get (COUNTER_CALLS) > before);
  CU_ASSERT_TRUE (counter_get (COUNTER_CALLS) - before <= PIPELINED_AT_ONCE);
  for (got = 0; got < ANSWERS_BYTES; got += (size_t)part)
    if ((part = read (fd, text, PIPELINED * sizeof request)) <= 0)
      break;
  CU_ASSERT_TRUE (counter_get (COUNTER_CALLS) - before > PIPELINED_AT_ONCE);
  close (fd);
  free (text);
  usleep (400000);
}

/* Guards against pipelined requests that wait for each other, and answers out
   of order.  */
static void
test_pipeline (void)
{
  clk_us from = clk_now ();
  char *answer = ask (GATE_PORT_CALLERS,
                      "GET /r/slow HTTP/1.1\r\nHost: h\r\n"
                      "X-Sycamorerudder-Request-Id: first\r\n\r\n"
                      "GET /r/slow HTTP/1.1\r\nHost: h\r\n"
                      "X-Sycamorerudder-Request-Id: second\r\n\r\n"
                      "GET /r/ok HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                      "X-Sycamorerudder-Request-Id: third\r\n\r\n");
  char *first = strstr (answer, "first");
  char *second = strstr (answer, "second");
  char *third = strstr (answer, "third");

  CU_ASSERT_TRUE (clk_now () - from < clk_ms (550));
  CU_ASSERT_TRUE (first != NULL && second > first && third > second);
}

/* Pattern: after a restart of all nodes a deep service is so slow that no call
   of it is ever answered.
   Guards against requests that are not known to make calls, and not limited,
   because what the node beside the deep service knows comes with answers
   only.  */
static void
test_route_told (void)
{
  struct nodehdr_request told = {
    .service = "a", .timeout_ms = 200, .route_id = 99, .idempotent = true
  };
  char field[NODEHDR_TEXT_BYTES];
  char text[TEXT_BYTES];
  char answer[4096] = "";
  struct linger reset = { .l_onoff = 1 };
  int gone = server_gone;
  int reached = server_requests;
  int fd;

  nodehdr_encode_request (&told, field);
  for (int i = 0; i < CALLS_TO_TELL && strstr (answer, " 103 ") == NULL; i++)
    {
      ssize_t len;

      fd = dial (addresses[GATE_PORT_NODES]);
      snprintf (text, sizeof text,
                "GET /l/hang HTTP/1.1\r\nHost: h\r\n%s: %s\r\n"
                "X-Sycamorerudder-Caller-Service: z\r\n"
                "X-Sycamorerudder-Deadline-Ms: 200\r\n\r\n",
                NODEHDR_REQUEST_FIELD, field);
      put (fd, text);
      usleep (20000);
      len = recv (fd, answer, sizeof answer - 1, MSG_DONTWAIT);
      answer[len > 0 ? len : 0] = '\0';
      /* The run is cancelled at once.  */
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (fd);
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (strstr (answer, " 103 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, NODEHDR_ANSWER_FIELD));
  /* Every run ends; a request that was withdrawn early was none.  */
  usleep (200000);
  for (int i = 0; i < 200 && server_gone - gone != server_requests - reached;
       i++)
    usleep (50000);
  CU_ASSERT_TRUE (server_requests > reached);
  CU_ASSERT_EQUAL (server_gone - gone, server_requests - reached);
}

/* Pattern: another node ends, or its connection is lost, while a server that
   will never answer has its request.
   Guards against a slot that is held for as long as the server runs.  */
static void
test_overdue (void)
{
  struct nodehdr_request told
      = { .service = "a", .timeout_ms = 200, .idempotent = true };
  char field[NODEHDR_TEXT_BYTES];
  char text[TEXT_BYTES];
  int gone = server_gone;
  int fd = dial (addresses[GATE_PORT_NODES]);

  nodehdr_encode_request (&told, field);
  snprintf (text, sizeof text,
            "GET /l/hang HTTP/1.1\r\nHost: h\r\n%s: %s\r\n"
            "X-Sycamorerudder-Deadline-Ms: 200\r\n"
            "X-Sycamorerudder-Request-Id: overdue\r\n\r\n",
            NODEHDR_REQUEST_FIELD, field);
  put (fd, text);
  usleep (100000);
  CU_ASSERT_EQUAL (shutdown (fd, SHUT_WR), 0);
  usleep (50000);
  CU_ASSERT_EQUAL (server_gone, gone);
  for (int i = 0; i < 40 && server_gone == gone; i++)
    usleep (50000);
  CU_ASSERT_EQUAL (server_gone, gone + 1);
  close (fd);
}

/* Guards against broken answers that reach a caller as whole ones.  */
static void
test_broken_answers (void)
{
  char *answer = get ("/r/stray");

  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "\r\n\r\nhello"));
  CU_ASSERT_PTR_NULL (strstr (answer, "bad"));
  CU_ASSERT_EQUAL (strncmp (get ("/r/cut"), "HTTP/1.1 502 ", 13), 0);
  CU_ASSERT_EQUAL (strncmp (get ("/r/noseal"), "HTTP/1.1 502 ", 13), 0);
  answer = get ("/r/open");
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 200 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "hello"));
  answer = get ("/o/shed");
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 503 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "not-run"));
}

/* Guards against a second run of a request that must run once.  */
static void
test_runs_once (void)
{
  int before = server_requests;

  CU_ASSERT_EQUAL (strncmp (get ("/o/cut"), "HTTP/1.1 502 ", 13), 0);
  CU_ASSERT_EQUAL (server_requests - before, 1);
}

/* Guards against input that is not HTTP, or without a bound.  */
static void
test_bad_input (void)
{
  static char text[8192] = "GET /r/ HTTP/1.1\r\nHost: h\r\nX: ";
  size_t len = strlen (text);

  memset (text + len, 'a', 6000);
  CU_ASSERT_EQUAL (
      strncmp (ask (GATE_PORT_CALLERS, text), "HTTP/1.1 431 ", 13), 0);
  CU_ASSERT_EQUAL (
      strncmp (ask (GATE_PORT_CALLERS, "hello\r\n\r\n"), "HTTP/1.1 400 ", 13),
      0);
  CU_ASSERT_EQUAL (
      strncmp (ask (GATE_PORT_CALLERS, "POST /r/ HTTP/1.1\r\nHost: h\r\n"
                                       "Content-Length: 2000000\r\n\r\n"),
               "HTTP/1.1 413 ", 13),
      0);
  CU_ASSERT_EQUAL (strncmp (get ("/none/"), "HTTP/1.1 404 ", 13), 0);
}

/* Guards against a caller that waits past the route's time, and work for one
   that has left.  */
static void
test_time (void)
{
  clk_us from = clk_now ();
  int gone = server_gone;
  int fd;

  CU_ASSERT_EQUAL (strncmp (get ("/t/hang"), "HTTP/1.1 504 ", 13), 0);
  CU_ASSERT_TRUE (clk_now () - from < clk_ms (500));
  fd = dial (addresses[GATE_PORT_CALLERS]);
  put (fd, "GET /r/hang HTTP/1.1\r\nHost: h\r\n"
           "X-Sycamorerudder-Request-Id: leaves\r\n\r\n");
  usleep (150000);
  close (fd);
  usleep (300000);
  CU_ASSERT_EQUAL (server_gone - gone, 2);
}

/* Guards against a loop that spins, or a connection that is lost, while there
   are no descriptors left.  */
static void
test_descriptors (void)
{
  struct rlimit before;
  struct rlimit few;
  char answer[4096];
  size_t len = 0;
  ssize_t got;
  clock_t spent;
  int filled[FILLED];
  int fd;

  /* No gaps below the limit: poll() fails with more descriptors than that. */
  for (int i = 0; i < FILLED; i++)
    filled[i] = dup (0);
  getrlimit (RLIMIT_NOFILE, &before);
  few = before;
  few.rlim_cur = (rlim_t)filled[FILLED - 1] + 1;
  setrlimit (RLIMIT_NOFILE, &few);
  close (filled[FILLED - 1]);
  fd = dial (addresses[GATE_PORT_CALLERS]); /* the last one */
  spent = clock ();
  usleep (400000);
  spent = clock () - spent;
  setrlimit (RLIMIT_NOFILE, &before);
  for (int i = 0; i < FILLED - 1; i++)
    close (filled[i]);
  CU_ASSERT_TRUE (spent < CLOCKS_PER_SEC / 10);
  put (fd, "GET /r/ok HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
           "X-Sycamorerudder-Request-Id: waits\r\n\r\n");
  while ((got = read (fd, answer + len, sizeof answer - 1 - len)) > 0)
    len += (size_t)got;
  answer[len] = '\0';
  close (fd);
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 200 ", 13), 0);
}

/* Guards against work that reaches a server after its node acknowledged that
   it leaves.  */
static void
test_leaving (void)
{
  int before;
  char *answer;

  CU_ASSERT_PTR_NOT_NULL (
      strstr (ask (GATE_PORT_HEALTH, "GET /-/readiness HTTP/1.1\r\nHost: n\r\n"
                                     "Connection: close\r\n\r\n"),
              " 200 "));
  beat (2, "draining");
  before = server_requests;
  answer = get ("/r/ok");
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 503 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "not-run"));
  CU_ASSERT_EQUAL (server_requests, before);
}

/* Reads what comes until the connection ends.  */
static void
read_to_end (int fd, char *out, size_t size)
{
  size_t len = 0;
  ssize_t got;

  while ((got = read (fd, out + len, size - 1 - len)) > 0)
    len += (size_t)got;
  out[len] = '\0';
  close (fd);
}

/* Reads of the configuration from 2.5 s to 3 s after the stop has begun, so
   that some come after the control task was told to end; here it never
   answers.  */
static void
ask_while_stopping (int asks[ASKS])
{
  usleep (1900000);
  for (int i = 0; i < ASKS; i++)
    {
      asks[i] = dial (addresses[GATE_PORT_CONTROL]);
      put (asks[i], "GET /-/Config.Get HTTP/1.1\r\nHost: n\r\n\r\n");
      usleep (50000);
    }
}

static int
count_refused (const int asks[ASKS])
{
  int count = 0;

  for (int i = 0; i < ASKS; i++)
    {
      char answer[256] = "";

      if (recv (asks[i], answer, sizeof answer - 1, MSG_DONTWAIT) > 0)
        count += strstr (answer, " 503 ") != NULL;
      close (asks[i]);
    }
  return count;
}

/* Guards against a stop that cuts off a request, and one that keeps an answer
   which is ready behind one that is not.  */
static void
test_stop (void)
{
  int asks[ASKS];
  char answer[4096];
  char *given_up;
  int fd;
  int piped;

  beat (3, "ready"); /* of the start that leaves: stays out */
  CU_ASSERT_EQUAL (strncmp (get ("/r/ok"), "HTTP/1.1 503 ", 13), 0);
  beat_of ("i-2", 1, "ready");
  piped = dial (addresses[GATE_PORT_CALLERS]);
  put (piped, "GET /l/hang HTTP/1.1\r\nHost: h\r\n"
              "X-Sycamorerudder-Request-Id: hangs\r\n\r\n"
              "GET /l/ok HTTP/1.1\r\nHost: h\r\n"
              "X-Sycamorerudder-Request-Id: ready\r\n\r\n");
  fd = dial (addresses[GATE_PORT_CALLERS]);
  put (fd, "POST /r/ok HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
           "X-Sycamorerudder-Request-Id: late\r\n\r\na");
  usleep (200000);
  gate_shut_down (gate);
  usleep (400000);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (ask (GATE_PORT_HEALTH, "GET /-/readiness HTTP/1.1\r\nHost: n\r\n"
                                     "Connection: close\r\n\r\n"),
              " 503 "));
  put (fd, "b");
  read_to_end (fd, answer, sizeof answer);
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 200 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "Connection: close"));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "hello"));
  ask_while_stopping (asks);
  read_to_end (piped, answer, sizeof answer);
  given_up = strstr (answer, "HTTP/1.1 502 ");
  CU_ASSERT_PTR_NOT_NULL (given_up);
  CU_ASSERT_TRUE (count_refused (asks) > 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "HTTP/1.1 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "hello"));
  pthread_join (gate_thread, NULL);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "begin", begin },
          { "probe", test_probe },
          { "bytes", test_bytes },
          { "head", test_head },
          { "pipeline", test_pipeline },
          { "long pipeline", test_long_pipeline },
          { "route told", test_route_told },
          { "overdue", test_overdue },
          { "broken answers", test_broken_answers },
          { "runs once", test_runs_once },
          { "bad input", test_bad_input },
          { "time", test_time },
          { "descriptors", test_descriptors },
          { "leaving", test_leaving },
          { "stop", test_stop },
          { NULL, NULL } };

  return suite_run ("gate", tests);
}
