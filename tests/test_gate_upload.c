#include <dirent.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"

/* Attempts of a request to the idempotent route, as in the document.  */
#define ATTEMPTS_MAX 2
/* Pieces of an upload, and the time between two of them.  */
#define PIECE_BYTES (16 * 1024)
#define PIECE_DELAY_US 100
/* A body that the gate keeps for another attempt, and one that it does not. */
#define SHORT_BODY_BYTES (600 * 1024)
#define LONG_BODY_BYTES (3 * 1024 * 1024)
/* The gate keeps answers up to this size until they are complete.  */
#define BUFFERED_ANSWER_BYTES (64 * 1024)
#define ANSWER_BYTES (400 * 1024)
#define ANSWER_CHUNK_BYTES 1000
/* Uploads that are answered before their end, and the time within which their
   connections must have ended: longer than that of idle ones.  */
#define EARLY_UPLOADS 40
#define EARLY_ENDS_US clk_s (10)
/* Time within which the gate must have sent bytes that are not read.  */
#define UNREAD_WAIT_US 1000000

static const char document[]
    = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\","
      "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","
      "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":"
      "[[\"r\",\"h\",\"/r/\",\"idempotent\",4,4,2,null,2,\"a\"],"
      "[\"u\",\"h\",\"/u/\",\"upload\",4,4,0,null,2,\"a\"]]},"
      "\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"a\",\"/health\","
      "100,\"h1\",false]]},\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":10000000,\"header_timeout_s\":3,"
      "\"idle_timeout_s\":15}}";

/* How a caller declares the end of its upload.  */
enum upload
{
  UPLOAD_LENGTH,
  UPLOAD_CHUNKED,
  UPLOAD_HTTP_1_0, /* with a length; the end of the connection ends answers */
  UPLOAD_COUNT
};

/* How the server declares the end of its answer.  */
enum framing
{
  FRAMING_CLOSE, /* the end of the connection */
  FRAMING_CHUNKED,
  FRAMING_LENGTH,
  FRAMING_COUNT
};

/* How the server ends the connection.  */
enum end
{
  END_RESET,
  END_UNREAD, /* closes it while there are bytes that it has not read */
  END_COUNT
};

/* An answer that comes and breaks off during an upload.  */
struct cut
{
  enum framing framing;
  enum end end;
  unsigned delay_us; /* between the last byte and the end */
  size_t at;         /* bytes sent */
};

/* A request, and what its caller sees.  */
struct exchange
{
  const char *route;
  char path[64];
  enum upload upload;
  size_t body_bytes;
  struct cut cut;
  int fd;
  bool write_failed;
  bool read_failed;
  size_t answer_len;
  char answer[2 * ANSWER_BYTES];
};

static struct gate_fixture fixture;
static atomic_int cut_requests;
/* Answers that have broken off.  */
static atomic_int cuts;
/* Connections that the server has closed without unread bytes.  */
static atomic_int closed_without_unread;

/* Writes an answer without end to the request ID; returns the bytes before its
   body.  */
static size_t
write_answer (char *out, enum framing framing, const char *id)
{
  static const char *const fields[FRAMING_COUNT]
      = { "", "Transfer-Encoding: chunked\r\n",
          "Content-Length: 9000000\r\n" };
  size_t head_len = (size_t)snprintf (
      out, ANSWER_BYTES,
      "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: %s\r\n"
      "X-Sycamorerudder-Response-Seal: s\r\n%s\r\n",
      id, fields[framing]);
  size_t len = head_len;

  while (len < ANSWER_BYTES - ANSWER_CHUNK_BYTES - 16)
    {
      if (framing == FRAMING_CHUNKED)
        len += (size_t)snprintf (out + len, 16, "%x\r\n", ANSWER_CHUNK_BYTES);
      memset (out + len, 'x', ANSWER_CHUNK_BYTES);
      len += ANSWER_CHUNK_BYTES;
      if (framing == FRAMING_CHUNKED)
        len += (size_t)snprintf (out + len, 16, "\r\n");
    }
  return head_len;
}

/* Writes all of DATA; false after an error.  */
static bool
write_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = write (fd, data, len);

      if (sent <= 0)
        return false;
      data += sent;
      len -= (size_t)sent;
    }
  return true;
}

/* Sends the first bytes of the answer and ends the connection.  */
static void
send_cut_answer (int fd, const struct cut *cut, const char *id)
{
  struct linger reset = { .l_onoff = 1 };
  char *out = malloc (ANSWER_BYTES);
  int unread = 0;

  write_answer (out, cut->framing, id);
  write_all (fd, out, cut->at);
  free (out);
  usleep (cut->delay_us);
  if (cut->end == END_RESET)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  else
    {
      for (int i = 0; i < UNREAD_WAIT_US / 100 && unread == 0; i++)
        if (ioctl (fd, FIONREAD, &unread) != 0 || unread == 0)
          usleep (100);
      closed_without_unread += unread == 0;
    }
  close (fd);
  cuts++;
}

/* Reads the head of a request and bytes that come with it.  */
static bool
read_head (int fd, char *text, size_t size)
{
  size_t len = 0;

  for (;;)
    {
      ssize_t received = read (fd, text + len, size - 1 - len);

      if (received <= 0)
        return false;
      len += (size_t)received;
      text[len] = '\0';
      if (strstr (text, "\r\n\r\n") != NULL)
        return true;
      if (len == size - 1)
        return false;
    }
}

/* Serves one connection of the backend server.  */
static void *
serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char text[4096];

  while (read_head (fd, text, sizeof text))
    {
      const char *path = strstr (text, "/cut-");
      char id[GATE_FIXTURE_ID_BYTES];
      unsigned framing;
      unsigned end;
      struct cut cut;

      gate_fixture_read_id (text, id);
      if (path != NULL
          && sscanf (path, "/cut-%u-%u-%u-%zu ", &framing, &end, &cut.delay_us,
                     &cut.at)
                 == 4)
        {
          cut.framing = (enum framing)framing;
          cut.end = (enum end)end;
          cut_requests++;
          send_cut_answer (fd, &cut, id);
          return NULL;
        }
      if (strstr (text, "/early") != NULL)
        {
          gate_fixture_answer (fd, text);
          cuts++;
          while (read (fd, text, sizeof text) > 0)
            ;
          break;
        }
      gate_fixture_answer (fd, text);
    }
  close (fd);
  return NULL;
}

/* Writes the next piece of the upload.  */
static bool
write_piece (const struct exchange *exchange, size_t len)
{
  char piece[PIECE_BYTES + 32];
  int before = 0;

  if (exchange->upload == UPLOAD_CHUNKED)
    before = snprintf (piece, 16, "%zx\r\n", len);
  memset (piece + before, 'u', len);
  memcpy (piece + before + len, "\r\n", 2);
  return write_all (exchange->fd, piece,
                    (size_t)before + len
                        + (exchange->upload == UPLOAD_CHUNKED ? 2 : 0));
}

/* Writes the body of the upload.  The last piece comes after the end of the
   answer, so that the upload is in progress until then.  */
static void *
write_body (void *arg)
{
  struct exchange *exchange = arg;
  int cuts_before = cuts;
  size_t sent = 0;

  while (sent < exchange->body_bytes && !exchange->write_failed)
    {
      bool last = exchange->body_bytes - sent <= PIECE_BYTES;
      size_t len = last ? exchange->body_bytes - sent : PIECE_BYTES;

      for (int i = 0; last && cuts == cuts_before && i < 4000; i++)
        usleep (1000);
      exchange->write_failed = !write_piece (exchange, len);
      sent += len;
      usleep (PIECE_DELAY_US);
    }
  if (exchange->upload == UPLOAD_CHUNKED && !exchange->write_failed)
    exchange->write_failed = !write_all (exchange->fd, "0\r\n\r\n", 5);
  return NULL;
}

/* Makes the request and reads what its caller gets.  */
static void
run_exchange (struct exchange *exchange)
{
  pthread_t writer;
  char text[512];
  char length[64];
  ssize_t received;

  exchange->fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  exchange->write_failed = false;
  exchange->answer_len = 0;
  snprintf (length, sizeof length, "Content-Length: %zu",
            exchange->body_bytes);
  snprintf (text, sizeof text,
            "POST %s HTTP/1.%d\r\nHost: h\r\n"
            "Connection: close\r\nX-Sycamorerudder-Request-Id: c\r\n"
            "%s\r\n\r\n",
            exchange->path, exchange->upload == UPLOAD_HTTP_1_0 ? 0 : 1,
            exchange->upload == UPLOAD_CHUNKED ? "Transfer-Encoding: chunked"
                                               : length);
  net_send_text (exchange->fd, text);
  pthread_create (&writer, NULL, write_body, exchange);
  while (
      (received = read (exchange->fd, exchange->answer + exchange->answer_len,
                        sizeof exchange->answer - 1 - exchange->answer_len))
      > 0)
    exchange->answer_len += (size_t)received;
  exchange->read_failed = received < 0;
  exchange->answer[exchange->answer_len] = '\0';
  pthread_join (writer, NULL);
  close (exchange->fd);
}

/* Whether the bytes that the caller has got are the beginning of an answer and
   show that it is not whole.  */
static bool
is_seen_as_cut (const struct exchange *exchange)
{
  const char *answer = exchange->answer;
  const char *end = strstr (answer, "\r\n\r\n");
  const char *length = strstr (answer, "Content-Length: 9000000\r\n");
  const char *chunked = strstr (answer, "Transfer-Encoding: chunked\r\n");
  bool reset = exchange->read_failed || exchange->write_failed;

  if (end == NULL)
    return reset;
  if (length != NULL && length < end)
    return exchange->answer_len < 9000000;
  if (chunked != NULL && chunked < end)
    return strstr (end, "\r\n0\r\n") == NULL;
  return reset;
}

/* Makes one request.  Its caller must learn that it may have run, or see that
   the answer is not whole where the gate had to pass its beginning on; and it
   must have reached the server at most as often as it may.  Returns whether
   the caller got the beginning.  */
static bool
check_cut (struct exchange *exchange, size_t head_len, int runs_max)
{
  const struct cut *cut = &exchange->cut;
  unsigned long long seed
      = (((((unsigned long long)exchange->upload * 10 + cut->framing) * 10
           + cut->end)
              * 10
          + (cut->delay_us > 0))
             * 10
         + (exchange->body_bytes > SHORT_BODY_BYTES))
            * 1000000
        + cut->at;
  int requests_before = cut_requests;
  const char *answer = exchange->answer;
  int runs;

  snprintf (exchange->path, sizeof exchange->path, "%scut-%u-%u-%u-%zu",
            exchange->route, (unsigned)cut->framing, (unsigned)cut->end,
            cut->delay_us, cut->at);
  run_exchange (exchange);
  runs = cut_requests - requests_before;
  SUITE_SEEDED (runs >= 1 && runs <= runs_max, seed);
  if (strncmp (answer, "HTTP/1.1 502 ", 13) == 0)
    {
      SUITE_SEEDED (strstr (answer, "; unknown\"\r\n") != NULL, seed);
      SUITE_SEEDED (strstr (answer, "xx") == NULL, seed);
      SUITE_SEEDED (strstr (answer, " 200 ") == NULL, seed);
      return false;
    }
  SUITE_SEEDED (cut->at > head_len + BUFFERED_ANSWER_BYTES, seed);
  SUITE_SEEDED (exchange->answer_len == 0
                    || strncmp (answer, "HTTP/1.1 200 ", 13) == 0,
                seed);
  SUITE_SEEDED (is_seen_as_cut (exchange), seed);
  return true;
}

static bool
is_served (void)
{
  char answer[1024];
  int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);

  net_send_text (fd, "GET /r/ok HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                     "X-Sycamorerudder-Request-Id: w\r\n\r\n");
  net_read_to_end (fd, answer, sizeof answer);
  return strncmp (answer, "HTTP/1.1 200 ", 13) == 0;
}

/* Makes the requests for all positions at which the answer ends: in its head,
   after it, in the part of the body that the gate keeps, and after that.  */
static void
run_positions (struct exchange *exchange, int runs_max, int *count, int *begun)
{
  static char answer[ANSWER_BYTES];
  size_t head_len = write_answer (answer, exchange->cut.framing, "c");
  const size_t positions[] = { 0,
                               9,
                               head_len - 1,
                               head_len,
                               head_len + 5,
                               head_len + 3000,
                               head_len + BUFFERED_ANSWER_BYTES - 1,
                               head_len + 100000,
                               head_len + 300000 };

  for (size_t i = 0; i < sizeof positions / sizeof positions[0]; i++)
    {
      exchange->cut.at = positions[i];
      *begun += check_cut (exchange, head_len, runs_max);
      ++*count;
    }
}

/* Makes the requests to ROUTE for all kinds of uploads, answers and ends.  */
static void
run_sweep (const char *route, int runs_max)
{
  static const size_t bodies[] = { SHORT_BODY_BYTES, LONG_BODY_BYTES };
  static const unsigned delays_us[] = { 0, 3000 };
  static struct exchange exchange;
  int requests_before = cut_requests;
  int count = 0;
  int begun = 0;

  exchange.route = route;
  for (unsigned i = 0; i < UPLOAD_COUNT * FRAMING_COUNT * END_COUNT * 4; i++)
    {
      exchange.body_bytes = bodies[i % 2];
      exchange.cut.delay_us = delays_us[i / 2 % 2];
      exchange.cut.end = (enum end) (i / 4 % END_COUNT);
      exchange.cut.framing
          = (enum framing) (i / 4 / END_COUNT % FRAMING_COUNT);
      exchange.upload = (enum upload) (i / 4 / END_COUNT / FRAMING_COUNT);
      run_positions (&exchange, runs_max, &count, &begun);
    }
  printf (" %s: %d uploads, %d requests reached the server, of %d answers the"
          " caller got the beginning;",
          route, count, cut_requests - requests_before, begun);
  CU_ASSERT_EQUAL (closed_without_unread, 0);
  CU_ASSERT_TRUE (begun > 0);
  CU_ASSERT_TRUE (is_served ());
}

static void
start_gate (void)
{
  struct gate_fixture_opts opts = { .document = document,
                                    .stop_limit = clk_s (3),
                                    .slots = 4,
                                    .serve = serve_connection };

  gate_fixture_start (&fixture, &opts);
  usleep (200000);
  CU_ASSERT_TRUE_FATAL (is_served ());
}

/* Guards against the part of an answer that the caller gets as a whole one:
   the server answers at once, while the upload is being written, and resets or
   closes the connection.  The error may show when the gate writes.  */
static void
test_cut_during_upload (void)
{
  run_sweep ("/u/", 1);
}

/* Guards against the same for a request that can be sent again.  */
static void
test_cut_during_idempotent_upload (void)
{
  run_sweep ("/r/", ATTEMPTS_MAX);
}

/* Descriptors that the process has open.  */
static int
count_descriptors (void)
{
  DIR *dir = opendir ("/proc/self/fd");
  int count = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (dir);
  while (readdir (dir) != NULL)
    count++;
  closedir (dir);
  return count;
}

/* Guards against connections between nodes that stay open for good, with what
   they hold, after uploads that are answered before their end: the node that
   sends the rest closes the connection then.  */
static void
test_connections_of_early_answers (void)
{
  static struct exchange exchange
      = { .path = "/u/early", .body_bytes = LONG_BODY_BYTES };
  clk_us start;
  int before;

  CU_ASSERT_TRUE (is_served ());
  before = count_descriptors ();
  for (int i = 0; i < EARLY_UPLOADS; i++)
    {
      exchange.upload = i % 2 != 0 ? UPLOAD_CHUNKED : UPLOAD_LENGTH;
      run_exchange (&exchange);
      SUITE_SEEDED (strncmp (exchange.answer, "HTTP/1.1 200 ", 13) == 0, i);
    }
  start = clk_now ();
  while (count_descriptors () > before && clk_now () < start + EARLY_ENDS_US)
    usleep (20000);
  printf (" %d descriptors before, %d after;", before, count_descriptors ());
  CU_ASSERT_TRUE (count_descriptors () <= before);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "start", start_gate },
          { "connections of early answers",
            test_connections_of_early_answers },
          { "answer cut during an upload", test_cut_during_upload },
          { "answer cut during an idempotent upload",
            test_cut_during_idempotent_upload },
          { NULL, NULL } };

  /* Both sides write to connections that may be closed.  */
  signal (SIGPIPE, SIG_IGN);
  return suite_run ("gate_upload", tests);
}
