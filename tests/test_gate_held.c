#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"

/* The gate is told that its process has this memory; connections may hold two
   fifths of it, and large ones three quarters of that.  */
#define MEMORY_BYTES (8u * 1024 * 1024)
/* Bodies of the crowd, too short to be forwarded before they are complete, and
   so many that together they exceed the limit.  */
#define CROWD 24
#define SLOTS 64
/* Descriptors of the gate, and idle connections, which need more.  */
#define DESCRIPTORS_MAX 120
#define IDLE_CONNECTIONS 150
/* Three quarters of the descriptors, the limit of inbound connections.  */
#define CONNECTIONS_MAX 90
#define CROWD_BODY_BYTES 200000u
#define LONG_BODY_BYTES 900000u
/* Beginnings of bodies that are too small to count as large, and so many that
   no large one may grow beside them.  */
#define SMALL_CROWD 72
#define SMALL_BYTES 32000u
/* An answer that the kernel does not take whole for a client with such a
   receive buffer.  */
#define BIG_BYTES 60000
#define CLIENT_BUFFER_BYTES 2048
/* Time for which the processor is watched.  */
#define WATCH_US 500000
/* Requests of a pipeline, the last of which waits for the first to end.  */
#define PIPELINED 65
/* Longer than the time after which a body has stopped moving.  */
#define STOPPED_US 1200000
/* Body bytes that the server reads before it answers early, enough to be
   forwarded before the body is complete; and uploads that are answered so.
   What one of them holds until then fits beside what the others held, so that
   memory is never short and nothing is dropped from their bodies.  */
#define EARLY_BYTES 300000u
#define EARLY_UPLOADS 5
/* Bodies that fit if those uploads hold nothing any more.  */
#define AFTER_EARLY 6

static const char document[]
    = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\","
      "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","
      "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":"
      "[[\"r\",\"h\",\"/r/\",\"idempotent\",30,2,2,null,2,\"a\"]]},"
      "\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"a\",\"/health\","
      "100,\"h1\",false]]},\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
      "\"idle_timeout_s\":15}}";

static struct gate_fixture fixture;

/* Requests that the server has read, and the body bytes of the last one.  */
static atomic_int server_request_count;
static atomic_size_t server_body_bytes;

/* Reads the head of a request and EARLY_BYTES of its body, answers it, and
   reads the rest.  */
static void
server_answer_early (int fd, char *text, size_t size)
{
  size_t len = 0;
  ssize_t received;
  const char *body;

  text[0] = '\0';
  while ((body = strstr (text, "\r\n\r\n")) == NULL
         || len < (size_t)(body - text) + 4 + EARLY_BYTES)
    {
      received = read (fd, text + len, size - 1 - len);
      if (received <= 0)
        return;
      len += (size_t)received;
      text[len] = '\0';
    }
  gate_fixture_answer (fd, text);
  while (read (fd, text, size) > 0)
    ;
}

static void
server_answer_big (int fd, const char *request)
{
  static const char body[BIG_BYTES];
  char text[GATE_FIXTURE_ANSWER_BYTES];

  gate_fixture_write_answer (text, request, SLOTS, "", BIG_BYTES);
  net_send_text (fd, text);
  send (fd, body, sizeof body, MSG_NOSIGNAL);
}

/* Whether the next bytes on FD are the head of a request that is to be
   answered early.  */
static bool
server_is_early (int fd)
{
  static const char start[] = "POST /r/early ";
  char text[sizeof start];

  return recv (fd, text, sizeof start - 1, MSG_PEEK | MSG_WAITALL)
             == sizeof start - 1
         && memcmp (text, start, sizeof start - 1) == 0;
}

static void *
server_serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  size_t size = LONG_BODY_BYTES + 65536;
  char *text = malloc (size);

  for (;;)
    {
      if (server_is_early (fd))
        {
          server_answer_early (fd, text, size);
          break;
        }
      if (!gate_fixture_read_request (fd, text, size))
        break;
      if (strncmp (text, "GET /health ", 12) != 0)
        {
          server_request_count++;
          server_body_bytes = strlen (strstr (text, "\r\n\r\n") + 4);
        }
      if (strncmp (text, "GET /r/late ", 12) == 0)
        usleep (STOPPED_US);
      if (strncmp (text, "GET /r/slow ", 12) == 0)
        usleep (2 * STOPPED_US);
      if (strncmp (text, "GET /r/big ", 11) == 0)
        server_answer_big (fd, text);
      else
        gate_fixture_answer (fd, text);
    }
  close (fd);
  free (text);
  return NULL;
}

static void
start_gate (void)
{
  struct gate_fixture_opts opts = { .document = document,
                                    .stop_limit = clk_s (3),
                                    .slots = SLOTS,
                                    .memory_bytes = MEMORY_BYTES,
                                    .descriptors_max = DESCRIPTORS_MAX,
                                    .serve = server_serve_connection };

  gate_fixture_start (&fixture, &opts);
  usleep (200000);
}

/* Sends LEN bytes of a body; false when the connection has ended.  */
static bool
send_body (int fd, size_t len)
{
  static const char bytes[4096] = { [0 ... 4095] = 'b' };

  while (len > 0)
    {
      size_t part = len < sizeof bytes ? len : sizeof bytes;

      if (send (fd, bytes, part, MSG_NOSIGNAL) != (ssize_t)part)
        return false;
      len -= part;
    }
  return true;
}

/* Opens a connection and sends the head of a POST to PATH with a body of LEN
   bytes.  */
static int
send_head_to (const char *path, const char *id, size_t len)
{
  int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  char text[512];

  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: h\r\n"
            "X-Sycamorerudder-Request-Id: %s\r\n"
            "X-Sycamorerudder-Deadline-Ms: 30000\r\n"
            "Content-Length: %zu\r\n\r\n",
            path, id, len);
  net_send_text (fd, text);
  return fd;
}

static int
send_head (const char *id, size_t len)
{
  return send_head_to ("/r/x", id, len);
}

/* Status of the answer that has come on FD; 0 when there is none.  */
static int
poll_status (int fd, char *text, size_t size)
{
  ssize_t len = recv (fd, text, size - 1, MSG_DONTWAIT);
  int status = 0;

  text[len > 0 ? len : 0] = '\0';
  sscanf (text, "HTTP/1.1 %d", &status);
  return status;
}

static int
get_status (void)
{
  int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  int status;

  net_send_text (fd, "GET /r/x HTTP/1.1\r\nHost: h\r\n"
                     "X-Sycamorerudder-Request-Id: get\r\n"
                     "X-Sycamorerudder-Deadline-Ms: 3000\r\n\r\n");
  status = net_read_status (fd);
  close (fd);
  return status;
}

/* Opens connections with bodies that stop one byte before their end.  */
static void
open_crowd (int fds[CROWD])
{
  for (int i = 0; i < CROWD; i++)
    {
      char id[32];

      snprintf (id, sizeof id, "crowd-%d", i);
      fds[i] = send_head (id, CROWD_BODY_BYTES);
      send_body (fds[i], CROWD_BODY_BYTES - 1);
    }
  usleep (100000);
}

/* Counts the requests of the crowd that were refused, and checks that each
   refusal says that the request has not run.  */
static int
count_refused (const int fds[CROWD])
{
  char text[4096];
  int refused = 0;

  for (int i = 0; i < CROWD; i++)
    if (poll_status (fds[i], text, sizeof text) == 503)
      {
        CU_ASSERT_PTR_NOT_NULL (strstr (text, "not-run"));
        CU_ASSERT_PTR_NOT_NULL (strstr (text, "Retry-After: "));
        CU_ASSERT_PTR_NOT_NULL (strstr (text, "Connection: close"));
        refused++;
      }
  return refused;
}

static void
close_crowd (const int fds[CROWD])
{
  for (int i = 0; i < CROWD; i++)
    close (fds[i]);
  usleep (100000);
}

/* Guards against bodies that together hold more than the process may, and
   against ordinary requests that find no room beside them.  */
static void
test_crowd_is_bounded (void)
{
  int fds[CROWD];
  int refused;

  open_crowd (fds);
  CU_ASSERT_EQUAL (get_status (), 200);
  CU_ASSERT_EQUAL (server_request_count, 1);
  refused = count_refused (fds);
  CU_ASSERT_TRUE (refused > 0);
  CU_ASSERT_TRUE (refused < CROWD);
  close_crowd (fds);
  CU_ASSERT_EQUAL (get_status (), 200);
}

/* Guards against a body that is refused although others have stopped moving,
   and against one that is damaged because memory is short while it passes.  */
static void
test_stopped_bodies_give_way (void)
{
  int fds[CROWD];
  int fd;

  open_crowd (fds);
  usleep (STOPPED_US);
  fd = send_head ("long", LONG_BODY_BYTES);
  CU_ASSERT_TRUE (send_body (fd, LONG_BODY_BYTES));
  CU_ASSERT_EQUAL (net_read_status (fd), 200);
  CU_ASSERT_EQUAL (server_body_bytes, LONG_BODY_BYTES);
  close (fd);
  close_crowd (fds);
}

/* Guards against an account that keeps what a crowd held when it has gone.  */
static void
test_crowd_goes (void)
{
  int fds[CROWD];

  for (int i = 0; i < 3; i++)
    {
      open_crowd (fds);
      close_crowd (fds);
    }
  CU_ASSERT_EQUAL (get_status (), 200);
}

/* Guards against a pipelined request that closes the connection and stands
   still when memory is short, because its body was not whole while it
   waited.  */
static void
test_pipelined_body_while_short (void)
{
  int fds[SMALL_CROWD];
  char text[4096];
  const char *answer;
  int fd;

  for (int i = 0; i < SMALL_CROWD; i++)
    {
      fds[i] = send_head ("small", CROWD_BODY_BYTES);
      send_body (fds[i], SMALL_BYTES);
    }
  usleep (100000);
  fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  net_send_text (fd, "GET /r/x HTTP/1.1\r\nHost: h\r\n"
                     "X-Sycamorerudder-Request-Id: first\r\n"
                     "X-Sycamorerudder-Deadline-Ms: 30000\r\n\r\n"
                     "POST /r/x HTTP/1.1\r\nHost: h\r\n"
                     "X-Sycamorerudder-Request-Id: last\r\n"
                     "X-Sycamorerudder-Deadline-Ms: 30000\r\n"
                     "Connection: close\r\nContent-Length: 8\r\n\r\nhalf");
  usleep (300000);
  net_send_text (fd, "half");
  net_read_to_end (fd, text, sizeof text);
  CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 200 ", 13), 0);
  answer = strstr (text, "\r\n\r\nok");
  CU_ASSERT_PTR_NOT_NULL_FATAL (answer);
  CU_ASSERT_EQUAL (strncmp (answer + 6, "HTTP/1.1 200 ", 13), 0);
  for (int i = 0; i < SMALL_CROWD; i++)
    close (fds[i]);
  usleep (100000);
}

/* Guards against uploads that count as at work with their bodies after they
   were answered early, so that others are refused.  */
static void
test_early_answers (void)
{
  int early_fds[EARLY_UPLOADS];
  int fds[AFTER_EARLY];

  for (int i = 0; i < EARLY_UPLOADS; i++)
    {
      early_fds[i] = send_head_to ("/r/early", "early", LONG_BODY_BYTES);
      send_body (early_fds[i], EARLY_BYTES);
      CU_ASSERT_EQUAL (net_read_status (early_fds[i]), 200);
    }
  for (int i = 0; i < AFTER_EARLY; i++)
    {
      fds[i] = send_head ("after", CROWD_BODY_BYTES);
      send_body (fds[i], CROWD_BODY_BYTES - 1);
    }
  usleep (100000);
  for (int i = 0; i < AFTER_EARLY; i++)
    {
      send_body (fds[i], 1);
      CU_ASSERT_EQUAL (net_read_status (fds[i]), 200);
      close (fds[i]);
    }
  for (int i = 0; i < EARLY_UPLOADS; i++)
    close (early_fds[i]);
  usleep (100000);
}

/* Guards against callers that find no connection because others hold all
   descriptors with connections that have stopped moving.  */
static void
test_descriptors (void)
{
  int fds[IDLE_CONNECTIONS];

  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    {
      fds[i] = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
      net_send_text (fds[i], i % 2 ? "GET /r/x HTTP/1.1\r\nHost: h\r\n" : "");
    }
  usleep (STOPPED_US);
  for (int i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (get_status (), 200);
  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    close (fds[i]);
}

/* Returns when the gate has accepted all callers that have connected and has
   read what they have sent: in a later turn of its loop than the one that has
   read the first request.  */
static void
wait_for_gate (void)
{
  int fd = net_connect (fixture.addresses[GATE_PORT_HEALTH]);

  for (int i = 0; i < 2; i++)
    {
      net_send_text (fd, "GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n");
      CU_ASSERT_TRUE (net_read_status (fd) > 0);
    }
  close (fd);
}

/* Descriptors of the gate for connections of callers, also of those that it
   has shut down for sending.  */
static int
count_caller_descriptors (void)
{
  const char *port = strchr (fixture.addresses[GATE_PORT_CALLERS], ':') + 1;
  int count = 0;

  for (int fd = 0; fd < FD_SETSIZE; fd++)
    {
      struct sockaddr_in local;
      struct sockaddr_in peer;
      socklen_t local_len = sizeof local;
      socklen_t peer_len = sizeof peer;

      if (getsockname (fd, (struct sockaddr *)&local, &local_len) == 0
          && local.sin_family == AF_INET
          && ntohs (local.sin_port) == atoi (port)
          && getpeername (fd, (struct sockaddr *)&peer, &peer_len) == 0)
        count++;
    }
  return count;
}

/* Opens as many connections as there may be, with bodies that stop.  */
static void
open_unfinished (int fds[CONNECTIONS_MAX], const char *name)
{
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      char id[32];

      snprintf (id, sizeof id, "%s-%d", name, i);
      fds[i] = send_head (id, 2);
      send_body (fds[i], 1);
    }
  wait_for_gate ();
}

/* Guards against descriptors beyond the limit while refused uploads wait for
   their callers to close, and against refusals that are lost because their
   connections make place.  */
static void
test_refused_uploads_make_place (void)
{
  int stopped[CONNECTIONS_MAX];
  int fds[CONNECTIONS_MAX];
  char text[4096];

  open_unfinished (stopped, "stopped");
  CU_ASSERT_EQUAL (count_caller_descriptors (), CONNECTIONS_MAX);
  usleep (STOPPED_US);
  open_unfinished (fds, "new");
  CU_ASSERT_TRUE (count_caller_descriptors () <= CONNECTIONS_MAX);
  send_body (fds[CONNECTIONS_MAX - 1], 1);
  CU_ASSERT_EQUAL (net_read_status (fds[CONNECTIONS_MAX - 1]), 200);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      net_read_to_end (stopped[i], text, sizeof text);
      CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 503 ", 13), 0);
      CU_ASSERT_PTR_NOT_NULL (strstr (text, "not-run"));
      close (fds[i]);
    }
  usleep (100000);
  server_request_count = 0;
}

/* Guards against a caller whose connection ends as soon as its answer comes,
   because the server has worked for longer than a connection may stop.  */
static void
test_late_answer (void)
{
  static const char request[] = "GET /r/late HTTP/1.1\r\nHost: h\r\n"
                                "X-Sycamorerudder-Request-Id: late\r\n"
                                "X-Sycamorerudder-Deadline-Ms: 30000\r\n\r\n";
  int fds[IDLE_CONNECTIONS];
  int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);

  net_send_text (fd, request);
  CU_ASSERT_EQUAL (net_read_status (fd), 200);
  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    fds[i] = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  usleep (100000);
  net_send_text (fd, request);
  CU_ASSERT_EQUAL (net_read_status (fd), 200);
  close (fd);
  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    close (fds[i]);
}

/* Guards against a request that is dropped while a server runs it, because it
   waited for others of its connection and counts as waiting still.  */
static void
test_started_pending (void)
{
  static char text[PIPELINED * 1024];
  int fds[IDLE_CONNECTIONS];
  int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  size_t len = 0;
  int answers = 0;

  for (int i = 0; i < PIPELINED; i++)
    len += (size_t)snprintf (text + len, sizeof text - len,
                             "GET /r/%s HTTP/1.1\r\nHost: h\r\n"
                             "X-Sycamorerudder-Request-Id: p%d\r\n"
                             "X-Sycamorerudder-Deadline-Ms: 30000\r\n\r\n",
                             i == 0               ? "late"
                             : i == PIPELINED - 1 ? "slow"
                                                  : "x",
                             i);
  net_send_text (fd, text);
  for (len = 0; answers < PIPELINED - 1;)
    {
      ssize_t received = read (fd, text + len, sizeof text - 1 - len);

      if (received <= 0)
        break;
      len += (size_t)received;
      text[len] = '\0';
      answers = 0;
      for (const char *at = text; (at = strstr (at, "HTTP/1.1 ")) != NULL;
           at++)
        answers++;
    }
  CU_ASSERT_EQUAL (answers, PIPELINED - 1);
  usleep (STOPPED_US);
  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    fds[i] = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  CU_ASSERT_EQUAL (net_read_status (fd), 200);
  close (fd);
  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    close (fds[i]);
  usleep (100000);
}

/* Asks for a long answer on a connection with a small receive buffer.  */
static int
request_big (const char *id, const char *connection)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int bytes = CLIENT_BUFFER_BYTES;
  char text[256];

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  fd = net_connect_socket (fd, fixture.addresses[GATE_PORT_CALLERS]);
  CU_ASSERT_TRUE_FATAL (fd >= 0);
  snprintf (text, sizeof text,
            "GET /r/big HTTP/1.1\r\nHost: h\r\nConnection: %s\r\n"
            "X-Sycamorerudder-Request-Id: %s\r\n"
            "X-Sycamorerudder-Deadline-Ms: 30000\r\n\r\n",
            connection, id);
  net_send_text (fd, text);
  return fd;
}

static clk_us
cpu_time (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (clk_us)time.tv_sec * 1000000 + (clk_us)time.tv_nsec / 1000;
}

/* Guards against a loop that does not rest while a client that has closed its
   sending side has not read the last answer.  */
static void
test_half_close_before_reading (void)
{
  int fd = request_big ("half-close", "close");
  clk_us before;

  usleep (200000);
  shutdown (fd, SHUT_WR);
  before = cpu_time ();
  usleep (WATCH_US);
  CU_ASSERT_TRUE (cpu_time () - before < WATCH_US / 2);
  close (fd);
  usleep (100000);
}

/* Guards against a client that reads slowly and loses the rest of its answer,
   because what it reads does not count as progress.  */
static void
test_slow_reader (void)
{
  int fds[IDLE_CONNECTIONS];
  char part[3000];
  int fd = request_big ("slow-reader", "keep-alive");
  size_t len = 0;
  ssize_t received = 1;

  for (int i = 0; len < BIG_BYTES && received > 0; i++)
    {
      usleep (100000);
      received = read (fd, part, sizeof part);
      len += received > 0 ? (size_t)received : 0;
      if (i == 11)
        for (int j = 0; j < IDLE_CONNECTIONS; j++)
          fds[j] = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
    }
  CU_ASSERT_TRUE (len >= BIG_BYTES);
  close (fd);
  for (int i = 0; i < IDLE_CONNECTIONS; i++)
    close (fds[i]);
  usleep (100000);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "start", start_gate },
          { "refused uploads make place", test_refused_uploads_make_place },
          { "crowd is bounded", test_crowd_is_bounded },
          { "stopped bodies give way", test_stopped_bodies_give_way },
          { "crowd goes", test_crowd_goes },
          { "pipelined body while short", test_pipelined_body_while_short },
          { "early answers", test_early_answers },
          { "descriptors", test_descriptors },
          { "late answer", test_late_answer },
          { "slow reader", test_slow_reader },
          { "half-close before reading", test_half_close_before_reading },
          { "started pending request", test_started_pending },
          { NULL, NULL } };

  return suite_run ("gate_held", tests);
}
