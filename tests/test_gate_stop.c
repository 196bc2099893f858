#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/clk.h"
#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"

#define TEXT_BYTES 8192
#define REQUESTS_MAX 4000
#define CLIENTS 12
/* Duration of a run at the backend server.  */
#define RUN_US 400000
/* Requests from which the gate learns how long a run takes.  */
#define LEARN_REQUESTS 6
/* Length of an answer to "/l/long", and what a slow client reads of it at a
   time; it needs about 1.9 s for all.  */
#define LONG_ANSWER_BYTES (3 * 1024 * 1024)
#define SLOW_READ_BYTES (16 * 1024)
#define SLOW_READ_PAUSE_US 10000
/* Small, so that the last part of an answer waits in the gate.  */
#define SLOW_RECEIVE_BUFFER_BYTES (16 * 1024)
#define SLOW_SEGMENT_BYTES 1460
#define SLOW_CLIENTS 16

static const char document[]
    = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\","
      "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","
      "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":"
      "[[\"r\",\"h\",\"/r/\",\"idempotent\",2,2,2,null,2,\"a\"],"
      "[\"o\",\"h\",\"/o/\",\"non_idempotent\",2,2,0,null,2,\"a\"],"
      "[\"u\",\"h\",\"/u/\",\"upload\",5,2,2,null,2,\"a\"],"
      "[\"l\",\"h\",\"/l/\",\"idempotent\",20,2,2,null,2,\"a\"]]},"
      "\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"a\",\"/health\","
      "100,\"h1\",false]]},\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":1000000,\"header_timeout_s\":3,"
      "\"idle_timeout_s\":15}}";

/* A request, by the number that is its id.  */
struct request
{
  atomic_bool run; /* the backend server has begun to run it */
  int status;      /* that the client got; 0: no complete answer */
  clk_us sent_at;
};

static struct request requests[REQUESTS_MAX];
static atomic_int request_count;
static struct gate_fixture fixtures[4];
static struct gate_fixture *fixture;
static atomic_bool gate_ended;

/* Writes an answer of LONG_ANSWER_BYTES.  */
static void
server_send_long_answer (int fd)
{
  char *body = calloc (1, LONG_ANSWER_BYTES);
  size_t sent = 0;
  ssize_t len = 1;

  while (sent < LONG_ANSWER_BYTES && len > 0)
    {
      len = send (fd, body + sent, LONG_ANSWER_BYTES - sent, MSG_NOSIGNAL);
      sent += len > 0 ? (size_t)len : 0;
    }
  free (body);
}

static void *
server_serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char text[TEXT_BYTES];

  while (gate_fixture_read_request (fd, text, sizeof text))
    {
      char *id_field = strstr (text, "X-Sycamorerudder-Request-Id: ");
      bool is_long = strstr (text, "/l/long ") != NULL;
      int id = id_field != NULL ? atoi (strchr (id_field, ' ')) : 0;
      char out[512];

      if (strstr (text, "GET /health ") != NULL)
        {
          net_send_text (fd,
                         "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Instance-Id: "
                         "i-1\r\nX-Sycamorerudder-Server-Load: 0,0,32,100\r\n"
                         "Content-Length: 0\r\n\r\n");
          continue;
        }
      requests[id].run = true;
      if (!is_long)
        usleep (RUN_US);
      snprintf (out, sizeof out,
                "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: %d\r\n"
                "X-Sycamorerudder-Response-Seal: s\r\n"
                "Content-Length: %d\r\n\r\n%s",
                id, is_long ? LONG_ANSWER_BYTES : 2, is_long ? "" : "ok");
      net_send_text (fd, out);
      if (is_long)
        server_send_long_answer (fd);
    }
  close (fd);
  return NULL;
}

/* Starts a gate whose stop takes 3 s at most.  */
static void
start_gate (void)
{
  struct gate_fixture_opts opts = { .document = document,
                                    .stop_limit = clk_s (3),
                                    .slots = 32,
                                    .second = true,
                                    .serve = server_serve_connection };

  fixture = fixture == NULL ? fixtures : fixture + 1;
  gate_ended = false;
  gate_fixture_start (fixture, &opts);
  usleep (200000);
}

static void
await_gate_end (void)
{
  pthread_join (fixture->gate_thread, NULL);
  gate_ended = true;
}

/* Sends the head of a new request on FD; returns its number.  */
static int
send_head (int fd, const char *method, const char *path, int body_len)
{
  int id = ++request_count;
  char text[512];

  CU_ASSERT_FATAL (id < REQUESTS_MAX);
  requests[id].sent_at = clk_now ();
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n"
            "X-Sycamorerudder-Request-Id: %d\r\n"
            "X-Sycamorerudder-Deadline-Ms: 10000\r\n\r\n",
            method, path, body_len, id);
  (void)!send (fd, text, strlen (text), MSG_NOSIGNAL);
  return id;
}

/* Reads one answer and records its status; returns whether the connection may
   be used again.  */
static bool
read_answer (int fd, int id)
{
  char text[TEXT_BYTES];
  size_t len = 0;
  ssize_t received;

  while ((received = read (fd, text + len, sizeof text - 1 - len)) > 0)
    {
      char *body;
      char *length_field;

      len += (size_t)received;
      text[len] = '\0';
      body = strstr (text, "\r\n\r\n");
      length_field = strstr (text, "Content-Length: ");
      if (body != NULL && length_field != NULL
          && strlen (body + 4) >= strtoul (length_field + 16, NULL, 10))
        {
          requests[id].status = atoi (text + strlen ("HTTP/1.1 "));
          return strstr (text, "Connection: close") == NULL;
        }
    }
  return false;
}

/* Sends one request after the other until the gate is gone, on a connection
   that is kept as long as the gate keeps it.  */
static void *
send_requests (void *arg)
{
  bool idempotent = (intptr_t)arg % 2 == 0;
  int fd = -1;

  /* Requests of the clients arrive one after the other, not together.  */
  usleep ((useconds_t)((intptr_t)arg * RUN_US / CLIENTS));

  while (!gate_ended)
    {
      int id;

      if (fd < 0)
        fd = net_try_connect (fixture->addresses[GATE_PORT_CALLERS]);
      if (fd < 0)
        break;
      id = send_head (fd, idempotent ? "GET" : "POST",
                      idempotent ? "/r/run" : "/o/run", 0);
      if (read_answer (fd, id))
        continue;
      close (fd);
      fd = -1;
      usleep (10000);
    }
  if (fd >= 0)
    close (fd);
  return NULL;
}

/* Asserts that a request that has run got the answer of the server, and
   another one a refusal or nothing.  */
static void
expect_run_answered (int id, clk_us stop_at)
{
  const struct request *request = &requests[id];
  bool ok = request->run ? request->status == 200
                         : request->status == 503 || request->status == 0;

  if (!ok)
    printf (" id=%d status=%d sent_ms=%lld", id, request->status,
            ((long long)request->sent_at - (long long)stop_at) / 1000);
  CU_ASSERT_TRUE (ok);
}

/* Guards against requests that arrive late during a stop, are sent to a server
   and cut off at its end: each request that runs must get the answer of the
   server, and each other one a refusal or nothing.  */
static void
test_requests_until_the_end (void)
{
  pthread_t clients[CLIENTS];
  clk_us stop_at;
  int served_after_stop = 0;
  int refused = 0;

  start_gate ();
  for (intptr_t i = 0; i < CLIENTS; i++)
    pthread_create (&clients[i], NULL, send_requests, (void *)i);
  usleep (LEARN_REQUESTS * RUN_US);
  stop_at = clk_now ();
  gate_shut_down (fixture->gate);
  await_gate_end ();
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
  for (int id = 1; id <= request_count; id++)
    {
      const struct request *request = &requests[id];

      expect_run_answered (id, stop_at);
      served_after_stop
          += request->sent_at > stop_at && request->status == 200;
      refused += request->status == 503;
    }
  CU_ASSERT_TRUE (served_after_stop >= CLIENTS);
  CU_ASSERT_TRUE (refused > 0);
}

/* Guards against a request whose body ends late during a stop, so that it is
   sent to a server when there is no time left for it.  */
static void
test_late_end_of_body (void)
{
  int fd;
  int id;

  start_gate ();
  for (int i = 0; i < LEARN_REQUESTS; i++)
    {
      fd = net_connect (fixture->addresses[GATE_PORT_CALLERS]);
      id = send_head (fd, "POST", "/u/run", 0);
      (void)read_answer (fd, id);
      CU_ASSERT_EQUAL (requests[id].status, 200);
      close (fd);
    }
  fd = net_connect (fixture->addresses[GATE_PORT_CALLERS]);
  id = send_head (fd, "POST", "/u/run", 1);
  gate_shut_down (fixture->gate);
  usleep (2650000);
  net_send_text (fd, "x");
  (void)read_answer (fd, id);
  close (fd);
  CU_ASSERT_FALSE (requests[id].run);
  CU_ASSERT_EQUAL (requests[id].status, 503);
  await_gate_end ();
}

/* Reads the answer to one request slowly; returns whether all of it came.  */
static void *
read_slowly (void *arg)
{
  static char bytes[SLOW_READ_BYTES];
  int fd = (int)(intptr_t)arg;
  size_t received = 0;
  ssize_t len;

  send_head (fd, "GET", "/l/long", 0);
  while ((len = read (fd, bytes, sizeof bytes)) > 0)
    {
      received += (size_t)len;
      if (received > LONG_ANSWER_BYTES)
        break;
      usleep (SLOW_READ_PAUSE_US);
    }
  close (fd);
  return (void *)(intptr_t)(received > LONG_ANSWER_BYTES);
}

/* Guards against a connection that counts as idle during a stop while the end
   of an answer is unsent, because its client reads slowly: the client would
   miss the end.  */
static void
test_slow_readers (void)
{
  pthread_t clients[SLOW_CLIENTS];
  int buffer_bytes = SLOW_RECEIVE_BUFFER_BYTES;
  int segment_bytes = SLOW_SEGMENT_BYTES;

  start_gate ();
  for (int i = 0; i < SLOW_CLIENTS; i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                  sizeof buffer_bytes);
      setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                  sizeof segment_bytes);
      fd = net_connect_socket (fd, fixture->addresses[GATE_PORT_CALLERS]);
      pthread_create (&clients[i], NULL, read_slowly, (void *)(intptr_t)fd);
    }
  usleep (100000);
  gate_shut_down (fixture->gate);
  for (int i = 0; i < SLOW_CLIENTS; i++)
    {
      void *complete;

      pthread_join (clients[i], &complete);
      CU_ASSERT_TRUE (complete != NULL);
    }
  await_gate_end ();
}

/* Guards against callers that wait at a listener that nobody reads any more:
   the other tasks of the process end after the gate.  */
static void
test_listeners_are_closed (void)
{
  for (int i = 0; i < GATE_PORT_COUNT; i++)
    CU_ASSERT_TRUE (net_try_connect (fixture->addresses[i]) < 0);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "requests until the end", test_requests_until_the_end },
          { "late end of a body", test_late_end_of_body },
          { "slow readers", test_slow_readers },
          { "listeners are closed", test_listeners_are_closed },
          { NULL, NULL } };

  return suite_run ("gate_stop", tests);
}
