#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "core/clk.h"
#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"
#include "wire/nodehdr.h"

#define TEXT_BYTES (256 * 1024)
/* Limits of request bodies: a body over the first one ends before any of it is
   forwarded, one over the second while it is being forwarded.  */
#define LIMIT_SHORT 10000
#define LIMIT_LONG 1000000
#define LIMIT_API (16 * 1024 * 1024)
/* Part of the limit by which a body is over it.  */
#define OVER_PERCENT 20
#define CHUNK_SMALL 16
/* Requests that the gate processes at a time on one connection, and more.  */
#define PIPELINE_MAX 64
#define PIPELINED 70
/* Time between the halves of a body.  The first half arrives before any of the
   slow requests ahead of it is answered, and the second half before the
   timeout.  */
#define LAST_BODY_DELAY_US 400000
/* Time until another node half-closes its connection, and time for which the
   CPU is watched then; a slow request takes longer than both.  */
#define HALF_CLOSE_AFTER_US 50000
#define HALF_CLOSE_WAIT_US 150000
#define SLOTS 100
/* The timeout of the routes, and of the requests of other nodes.  */
#define TIMEOUT_MS 1000
/* Bytes sent after a refusal, and the growth of the process that is allowed
   meanwhile.  */
#define REST_BYTES (64 * 1024 * 1024)
#define REST_GROWTH_BYTES (16 * 1024 * 1024)
/* Time in which a node without requests shuts down, and its limit.  */
#define STOP_US clk_s (10)
#define STOP_LIMIT_US clk_s (20)
/* An answer of which a part is sent before the request body has come: more
   than the gate buffers, and less than it declares.  The gate forwards the
   request once it has received some of the body.  */
#define EARLY_BYTES 100000
#define EARLY_DECLARED_BYTES 200000
#define EARLY_AFTER_BYTES 300000

#define DOCUMENT(limit)                                                       \
  "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\","       \
  "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","        \
  "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":"    \
  "[[\"r\",\"h\",\"/r/\",\"idempotent\",1,1,2,null,2,\"a\"],"                 \
  "[\"u\",\"h\",\"/u/\",\"upload\",1,1,2,null,2,\"a\"]]},"                    \
  "\"services\":{\"columns\":[\"name\",\"health_path\","                      \
  "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"a\",\"/health\","   \
  "100,\"h1\",false]]},\"limits\":{\"max_header_bytes\":4096,"                \
  "\"max_body_bytes\":" limit ",\"header_timeout_s\":3,"                      \
  "\"idle_timeout_s\":15}}"

static struct gate_fixture short_fixture; /* body limit LIMIT_SHORT */
static struct gate_fixture long_fixture;  /* body limit LIMIT_LONG */
static atomic_uint upload_count; /* requests with a body at the servers */
static atomic_uint cut_count;    /* those that ended with the connection */

/* Reads the head of a request; false when the connection has ended.  */
static bool
server_read_head (int fd, char *head, size_t size)
{
  size_t len = 0;

  head[0] = '\0';
  while (len < size - 1 && strstr (head, "\r\n\r\n") == NULL)
    {
      if (read (fd, head + len, 1) != 1)
        return false;
      head[++len] = '\0';
    }
  return true;
}

/* Reads a chunked body; false when the connection has ended before it.  */
static bool
server_read_body (int fd)
{
  static const char last_chunk[] = "\r\n0\r\n\r\n";
  char block[16384];
  size_t kept = 0;
  ssize_t len;

  while ((len = read (fd, block + kept, sizeof block - kept)) > 0)
    {
      size_t have = kept + (size_t)len;

      if (memmem (block, have, last_chunk, sizeof last_chunk - 1) != NULL)
        return true;
      kept = have < sizeof last_chunk ? have : sizeof last_chunk;
      memmove (block, block + have - kept, kept);
    }
  return false;
}

/* Sends a part of a long answer.  */
static void
server_answer_early (int fd)
{
  char *body = malloc (EARLY_BYTES + 1);

  CU_ASSERT_PTR_NOT_NULL_FATAL (body);
  memset (body, 'a', EARLY_BYTES);
  body[EARLY_BYTES] = '\0';
  net_send_text (fd, "HTTP/1.1 200 OK\r\n"
                     "X-Sycamorerudder-Request-Id: early\r\n"
                     "X-Sycamorerudder-Response-Seal: s\r\n"
                     "Content-Length: 200000\r\n\r\n");
  net_send_text (fd, body);
  free (body);
}

/* Answers the request HEAD, as a server on which all pipelined requests can
   run at a time.  */
static void
server_answer (int fd, const char *head)
{
  char out[GATE_FIXTURE_ANSWER_BYTES];

  gate_fixture_write_answer (out, head, SLOTS, "ok", 2);
  net_send_text (fd, out);
}

static void *
server_serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char head[8192];

  while (server_read_head (fd, head, sizeof head))
    {
      if (strstr (head, "/r/slow ") != NULL)
        usleep (300000);
      if (strstr (head, "/u/early ") != NULL)
        server_answer_early (fd);
      if (strstr (head, "chunked\r\n") != NULL)
        {
          upload_count++;
          if (!server_read_body (fd))
            {
              cut_count++;
              break;
            }
        }
      server_answer (fd, head);
    }
  close (fd);
  return NULL;
}

static void
start_gates (void)
{
  struct gate_fixture_opts opts = { .document = DOCUMENT ("10000"),
                                    .stop_limit = STOP_LIMIT_US,
                                    .slots = SLOTS,
                                    .serve = server_serve_connection };

  gate_fixture_start (&short_fixture, &opts);
  opts.document = DOCUMENT ("1000000");
  gate_fixture_start (&long_fixture, &opts);
  usleep (200000);
}

/* A request whose body is over the limit.  */
struct over
{
  const struct gate_fixture *fixture;
  enum gate_port port;
  const char *path;
  const char *id;
  size_t limit;
  size_t chunk_bytes; /* 0: the whole body is one chunk */
  unsigned ahead;     /* slow requests before it on the connection */
};

static bool
send_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = send (fd, data, len, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      data += sent;
      len -= (size_t)sent;
    }
  return true;
}

/* Appends the head of a request with FRAMING, a header line, to TEXT.  */
static size_t
write_head (const struct over *over, char *text, const char *framing)
{
  struct nodehdr_request node_request
      = { .service = "a", .timeout_ms = TIMEOUT_MS, .idempotent = true };
  char field[NODEHDR_TEXT_BYTES];
  size_t len = 0;

  nodehdr_encode_request (&node_request, field);
  for (unsigned i = 0; i < over->ahead; i++)
    len += (size_t)sprintf (text + len,
                            "GET /r/slow HTTP/1.1\r\nHost: h\r\n"
                            "X-Sycamorerudder-Request-Id: s%u\r\n\r\n",
                            i);
  len += (size_t)sprintf (text + len,
                          "POST %s HTTP/1.1\r\nHost: h\r\n"
                          "X-Sycamorerudder-Request-Id: %s\r\n%s\r\n",
                          over->path, over->id, framing);
  if (over->port == GATE_PORT_NODES)
    len += (size_t)sprintf (text + len,
                            "%s: %s\r\n"
                            "X-Sycamorerudder-Caller-Service: z\r\n"
                            "X-Sycamorerudder-Deadline-Ms: %d\r\n",
                            NODEHDR_REQUEST_FIELD, field, TIMEOUT_MS);
  return len + (size_t)sprintf (text + len, "\r\n");
}

/* Appends BYTES of a chunked body to TEXT.  */
static size_t
write_chunks (char *text, size_t bytes, size_t chunk_bytes)
{
  size_t len = 0;

  for (size_t written = 0; written < bytes; written += chunk_bytes)
    {
      size_t data
          = bytes - written < chunk_bytes ? bytes - written : chunk_bytes;

      len += (size_t)sprintf (text + len, "%zx\r\n", data);
      memset (text + len, 'x', data);
      len += data;
      len += (size_t)sprintf (text + len, "\r\n");
    }
  return len;
}

/* Sends a request with a chunked body of BYTES without its last chunk, and
   reads what comes back until the connection ends.  */
static void
send_chunked (const struct over *over, size_t bytes, char out[TEXT_BYTES])
{
  size_t chunk_bytes = over->chunk_bytes != 0 ? over->chunk_bytes : bytes;
  /* A chunk has at most 12 further bytes.  */
  char *text = malloc (TEXT_BYTES + bytes + (bytes / chunk_bytes + 1) * 12);
  int fd = net_connect (over->fixture->nodes[0].addresses[over->port]);
  size_t len;

  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  len = write_head (over, text, "Transfer-Encoding: chunked");
  len += write_chunks (text + len, bytes, chunk_bytes);
  send_all (fd, text, len);
  free (text);
  net_read_to_end (fd, out, TEXT_BYTES);
}

static size_t
over_bytes (size_t limit)
{
  return limit + limit / 100 * OVER_PERCENT;
}

/* The last answer in TEXT, without those to slow requests before it, of which
   there must be AHEAD.  */
static const char *
last_answer (const char *text, unsigned ahead)
{
  for (unsigned i = 0; i < ahead; i++)
    {
      CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 200 ", 13), 0);
      text = strstr (text, "\r\n\r\nok");
      if (text == NULL)
        return "";
      text += 6;
    }
  return text;
}

/* Waits until the timers of the requests so far must have fired.  */
static void
wait_for_timeouts (void)
{
  usleep (TIMEOUT_MS * 1500);
}

/* Checks that an ordinary request is answered, and that no server is at work
   on a body that was cut off.  */
static void
check_served (const struct gate_fixture *fixture)
{
  char text[1024];
  int fd = net_connect (fixture->nodes[0].addresses[GATE_PORT_CALLERS]);

  net_send_text (fd, "GET /r/x HTTP/1.1\r\nHost: h\r\n"
                     "X-Sycamorerudder-Request-Id: o\r\n"
                     "Connection: close\r\n\r\n");
  net_read_to_end (fd, text, sizeof text);
  CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 200 ", 13), 0);
  CU_ASSERT_EQUAL (upload_count, cut_count);
}

/* Sends a body over a limit that is reached before any of it is forwarded:
   the caller gets 413, and no server gets the request.  */
static void
check_refused (const struct over *over)
{
  static char text[TEXT_BYTES];
  unsigned uploads_before = upload_count;
  const char *answer;

  send_chunked (over, over_bytes (over->limit), text);
  answer = last_answer (text, over->ahead);
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 413 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "Connection: close\r\n"));
  CU_ASSERT_EQUAL (upload_count, uploads_before);
}

/* Sends a body over a limit that is reached while it is being forwarded: the
   caller is told that the request has not run only if no server got it.  */
static void
check_cut (const struct over *over)
{
  static char text[TEXT_BYTES];
  unsigned uploads_before = upload_count;
  const char *answer;

  send_chunked (over, over_bytes (over->limit), text);
  answer = last_answer (text, over->ahead);
  if (strncmp (answer, "HTTP/1.1 502 ", 13) != 0)
    {
      CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 413 ", 13), 0);
      CU_ASSERT_EQUAL (upload_count, uploads_before);
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "body-too-large"));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "Connection: close\r\n"));
}

/* Guards against a call that outlives its request: the node ended at the
   timeout of a call whose body had gone over the limit before it was
   forwarded.  */
static void
test_call_not_started (void)
{
  struct over over = { .fixture = &short_fixture,
                       .port = GATE_PORT_CALLERS,
                       .path = "/u/x",
                       .id = "1",
                       .limit = LIMIT_SHORT };

  check_refused (&over);
  over.chunk_bytes = CHUNK_SMALL;
  check_refused (&over);
  over.path = "/r/x";
  check_refused (&over);
  wait_for_timeouts ();
  check_served (over.fixture);
}

/* The same for a body that goes over the limit while it is being
   forwarded.  */
static void
test_call_at_work (void)
{
  struct over over = { .fixture = &long_fixture,
                       .port = GATE_PORT_CALLERS,
                       .path = "/u/x",
                       .id = "2",
                       .limit = LIMIT_LONG };

  check_cut (&over);
  over.chunk_bytes = CHUNK_SMALL;
  check_cut (&over);
  over.path = "/r/x";
  check_cut (&over);
  wait_for_timeouts ();
  check_served (over.fixture);
}

/* The same for a call whose answer has begun: the caller must not take that
   for a complete one.  */
static void
test_call_with_answer (void)
{
  static char text[TEXT_BYTES];
  struct over over = { .fixture = &long_fixture,
                       .port = GATE_PORT_CALLERS,
                       .path = "/u/early",
                       .id = "early",
                       .limit = LIMIT_LONG };
  int fd = net_connect (over.fixture->nodes[0].addresses[over.port]);
  char *out = malloc (TEXT_BYTES + 2 * LIMIT_LONG);
  size_t len;
  ssize_t received;

  CU_ASSERT_PTR_NOT_NULL_FATAL (out);
  len = write_head (&over, out, "Transfer-Encoding: chunked");
  len += write_chunks (out + len, EARLY_AFTER_BYTES, EARLY_AFTER_BYTES);
  send_all (fd, out, len);
  received = read (fd, text, sizeof text / 2);
  CU_ASSERT_TRUE_FATAL (received > 0);
  CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 200 ", 13), 0);
  send_all (fd, out, write_chunks (out, LIMIT_LONG, LIMIT_LONG));
  free (out);
  net_read_to_end (fd, text + received, sizeof text - (size_t)received);
  CU_ASSERT_TRUE (strlen (text) < EARLY_DECLARED_BYTES);
  wait_for_timeouts ();
  check_served (over.fixture);
}

/* The same for a request behind others on its connection, which must be
   answered first, and for one that is not started because there are many.  */
static void
test_pipelined (void)
{
  struct over over = { .fixture = &short_fixture,
                       .port = GATE_PORT_CALLERS,
                       .path = "/u/x",
                       .id = "3",
                       .limit = LIMIT_SHORT,
                       .ahead = 1 };

  check_refused (&over);
  over.ahead = PIPELINED;
  check_refused (&over);
  over.fixture = &long_fixture;
  over.limit = LIMIT_LONG;
  over.ahead = 1;
  check_cut (&over);
  wait_for_timeouts ();
  check_served (&short_fixture);
  check_served (&long_fixture);
}

/* Number of answers with status 200 in TEXT.  */
static unsigned
count_answers (const char *text)
{
  unsigned count = 0;

  while ((text = strstr (text, "HTTP/1.1 200 ")) != NULL)
    {
      count++;
      text++;
    }
  return count;
}

/* Guards against the last of many pipelined requests that gets no answer when
   it closes the connection and its body was not whole while it waited: reading
   was paused for good.  */
static void
test_pipelined_last_body (void)
{
  static char text[TEXT_BYTES];
  struct over over = { .fixture = &short_fixture,
                       .port = GATE_PORT_CALLERS,
                       .path = "/u/x",
                       .id = "9",
                       .ahead = PIPELINE_MAX };
  int fd = net_connect (over.fixture->nodes[0].addresses[over.port]);
  size_t len
      = write_head (&over, text, "Connection: close\r\nContent-Length: 8");

  memcpy (text + len, "half", 4);
  send_all (fd, text, len + 4);
  usleep (LAST_BODY_DELAY_US);
  send_all (fd, "half", 4);
  net_read_to_end (fd, text, sizeof text);
  CU_ASSERT_EQUAL (count_answers (text), PIPELINE_MAX + 1);
  check_served (over.fixture);
}

/* CPU time of the process, in microseconds.  */
static clk_us
cpu_time (void)
{
  struct timespec time;

  CU_ASSERT_EQUAL_FATAL (clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time), 0);
  return clk_s ((clk_us)time.tv_sec) + (clk_us)time.tv_nsec / 1000;
}

/* Guards against a connection of another node whose end is read again and
   again: the node has half-closed it within a body, and an answer before that
   is not there yet.  */
static void
test_half_close_within_body (void)
{
  static char text[TEXT_BYTES];
  struct over slow = { .fixture = &long_fixture,
                       .port = GATE_PORT_NODES,
                       .path = "/r/slow",
                       .id = "10" };
  struct over cut = { .fixture = &long_fixture,
                      .port = GATE_PORT_NODES,
                      .path = "/u/x",
                      .id = "11" };
  int fd = net_connect (cut.fixture->nodes[0].addresses[cut.port]);
  size_t len = write_head (&slow, text, "Content-Length: 0");
  const char *answer;
  clk_us cpu_before;

  len += write_head (&cut, text + len, "Content-Length: 8");
  memcpy (text + len, "half", 4);
  send_all (fd, text, len + 4);
  usleep (HALF_CLOSE_AFTER_US);
  cpu_before = cpu_time ();
  shutdown (fd, SHUT_WR);
  usleep (HALF_CLOSE_WAIT_US);
  CU_ASSERT_TRUE (cpu_time () - cpu_before < HALF_CLOSE_WAIT_US / 2);
  net_read_to_end (fd, text, sizeof text);
  answer = last_answer (text, 1);
  CU_ASSERT_EQUAL (strncmp (answer, "HTTP/1.1 503 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "Connection: close\r\n"));
}

/* Guards against a request of another node that is dropped while its run goes
   on, before and after it has been admitted.  The other node is told whether
   the request may have run.  */
static void
test_serve (void)
{
  static char text[TEXT_BYTES];
  struct over over = { .fixture = &short_fixture,
                       .port = GATE_PORT_NODES,
                       .path = "/u/x",
                       .id = "4",
                       .limit = LIMIT_SHORT };
  unsigned uploads_before = upload_count;

  send_chunked (&over, over_bytes (over.limit), text);
  CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 503 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, NODEHDR_ANSWER_FIELD));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Connection: close\r\n"));
  CU_ASSERT_EQUAL (upload_count, uploads_before);
  over.fixture = &long_fixture;
  over.limit = LIMIT_LONG;
  send_chunked (&over, over_bytes (over.limit), text);
  CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 502 ", 13), 0);
  over.chunk_bytes = CHUNK_SMALL;
  send_chunked (&over, over_bytes (over.limit), text);
  CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 502 ", 13), 0);
  wait_for_timeouts ();
  check_served (&short_fixture);
  check_served (&long_fixture);
}

/* Guards against a call of an operator that is cut off without an answer.  */
static void
test_api (void)
{
  struct over over = { .fixture = &long_fixture,
                       .port = GATE_PORT_CONTROL,
                       .path = "/-/Config.Replace",
                       .id = "5",
                       .limit = LIMIT_API };

  check_refused (&over);
  over.chunk_bytes = 65536;
  check_refused (&over);
  check_served (over.fixture);
}

/* Guards against a body with an announced length over the limit that is
   received.  */
static void
test_announced (void)
{
  static const struct over overs[] = {
    { &short_fixture, GATE_PORT_CALLERS, "/u/x", "6", LIMIT_SHORT, 0, 0 },
    { &short_fixture, GATE_PORT_CALLERS, "/u/x", "6", LIMIT_SHORT, 0, 1 },
    { &long_fixture, GATE_PORT_CALLERS, "/u/x", "6", LIMIT_LONG, 0, 0 },
    { &long_fixture, GATE_PORT_NODES, "/u/x", "6", LIMIT_LONG, 0, 0 },
    { &long_fixture, GATE_PORT_CONTROL, "/-/Config.Replace", "6", LIMIT_API, 0,
      0 }
  };
  unsigned uploads_before = upload_count;

  for (size_t i = 0; i < sizeof overs / sizeof overs[0]; i++)
    {
      static char text[TEXT_BYTES];
      int fd
          = net_connect (overs[i].fixture->nodes[0].addresses[overs[i].port]);
      char framing[64];
      size_t len;

      snprintf (framing, sizeof framing, "Content-Length: %zu",
                overs[i].limit + 1);
      len = write_head (&overs[i], text, framing);
      memset (text + len, 'x', LIMIT_SHORT);
      send_all (fd, text, len + LIMIT_SHORT);
      net_read_to_end (fd, text, sizeof text);
      CU_ASSERT_EQUAL (
          strncmp (last_answer (text, overs[i].ahead), "HTTP/1.1 413 ", 13),
          0);
    }
  CU_ASSERT_EQUAL (upload_count, uploads_before);
  wait_for_timeouts ();
  check_served (&short_fixture);
  check_served (&long_fixture);
}

/* Guards against a limit that refuses a body of exactly its size.  */
static void
test_at_limit (void)
{
  struct over over = { .fixture = &long_fixture,
                       .port = GATE_PORT_CALLERS,
                       .path = "/u/x",
                       .id = "7" };
  char *text = malloc (TEXT_BYTES + LIMIT_LONG);
  int fd = net_connect (over.fixture->nodes[0].addresses[over.port]);
  size_t len;

  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  len = write_head (&over, text,
                    "Transfer-Encoding: chunked\r\nConnection: close");
  len += (size_t)sprintf (text + len, "%x\r\n", LIMIT_LONG);
  memset (text + len, 'x', LIMIT_LONG);
  len += LIMIT_LONG;
  len += (size_t)sprintf (text + len, "\r\n0\r\n\r\n");
  send_all (fd, text, len);
  net_read_to_end (fd, text, TEXT_BYTES);
  CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 200 ", 13), 0);
  free (text);
  upload_count = 0;
  cut_count = 0;
}

/* Memory of the process, in bytes.  */
static size_t
resident_bytes (void)
{
  FILE *file = fopen ("/proc/self/statm", "r");
  size_t pages = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  CU_ASSERT_EQUAL (fscanf (file, "%*u %zu", &pages), 1);
  fclose (file);
  return pages * (size_t)sysconf (_SC_PAGESIZE);
}

/* Guards against a refused body whose rest is buffered.  */
static void
test_rest_after_refusal (void)
{
  static char text[TEXT_BYTES];
  static char block[64 * 1024];
  struct over over = { .fixture = &short_fixture,
                       .port = GATE_PORT_CALLERS,
                       .path = "/u/x",
                       .id = "8" };
  int fd = net_connect (over.fixture->nodes[0].addresses[over.port]);
  size_t len = write_head (&over, text, "Transfer-Encoding: chunked");
  size_t resident_before = resident_bytes ();
  size_t resident_max = 0;

  memset (block, 'x', sizeof block);
  len += (size_t)sprintf (text + len, "%x\r\n", REST_BYTES);
  send_all (fd, text, len);
  for (size_t sent = 0; sent < REST_BYTES; sent += sizeof block)
    {
      size_t resident;

      if (!send_all (fd, block, sizeof block))
        break;
      resident = resident_bytes ();
      resident_max = resident > resident_max ? resident : resident_max;
    }
  CU_ASSERT_TRUE (resident_max < resident_before + REST_GROWTH_BYTES);
  net_read_to_end (fd, text, sizeof text);
  CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 413 ", 13), 0);
  check_served (over.fixture);
}

/* Guards against calls and runs that are left behind: a shutdown would wait
   for them.  */
static void
test_stop (void)
{
  clk_us start = clk_now ();

  gate_shut_down (short_fixture.gate);
  gate_shut_down (long_fixture.gate);
  pthread_join (short_fixture.gate_thread, NULL);
  pthread_join (long_fixture.gate_thread, NULL);
  CU_ASSERT_TRUE (clk_now () - start < STOP_US);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "start", start_gates },
          { "call not started", test_call_not_started },
          { "call at work", test_call_at_work },
          { "call with answer", test_call_with_answer },
          { "pipelined", test_pipelined },
          { "pipelined, last body", test_pipelined_last_body },
          { "half-close within a body", test_half_close_within_body },
          { "serve", test_serve },
          { "API", test_api },
          { "announced", test_announced },
          { "at the limit", test_at_limit },
          { "rest after refusal", test_rest_after_refusal },
          { "stop", test_stop },
          { NULL, NULL } };

  return suite_run ("gate_bodies", tests);
}
