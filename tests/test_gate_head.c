#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"
#include "wire/nodehdr.h"

#define TEXT_BYTES 4096
#define ANSWER_BYTES 1024
/* Attempts of a request to the idempotent route, as in the document.  */
#define ATTEMPTS_MAX 2
/* Time in which the gate reads the bytes before a reset, which would discard
   them.  */
#define RESET_DELAY_US 200
/* Time in which the gate reads the first part of an answer.  */
#define PART_DELAY_US 500

static const char document[]
    = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\","
      "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","
      "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":"
      "[[\"r\",\"h\",\"/r/\",\"idempotent\",2,2,2,null,2,\"a\"],"
      "[\"o\",\"h\",\"/o/\",\"non_idempotent\",2,2,0,null,2,\"a\"]]},"
      "\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"a\",\"/health\","
      "100,\"h1\",false]]},\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":1000000,\"header_timeout_s\":3,"
      "\"idle_timeout_s\":15}}";

/* How an answer declares the end of its body.  */
enum framing
{
  FRAMING_LENGTH,
  FRAMING_CHUNKED,
  FRAMING_CLOSE, /* neither: the end of the connection */
  FRAMING_COUNT
};

struct framing_row
{
  const char *field;
  const char *body;
};

static const struct framing_row framings[FRAMING_COUNT] = {
  [FRAMING_LENGTH] = { "Content-Length: 5\r\n", "hello" },
  [FRAMING_CHUNKED]
  = { "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n" },
  [FRAMING_CLOSE] = { "", "hello" },
};

/* An answer that breaks off; the path of the request selects it.  */
struct cut
{
  enum framing framing;
  bool reset;   /* the connection ends with RST, else with FIN */
  bool interim; /* an interim response comes first */
  bool head;    /* the request is HEAD, so that the answer has no body */
  size_t at;    /* bytes sent */
};

/* Where the answers that break off come from.  */
enum source
{
  SOURCE_SERVER, /* the backend server of the gate */
  SOURCE_NODE,   /* another node */
};

/* Statuses that are none: status codes have three digits, from 100 to 599.  */
static const char *const bad_statuses[]
    = { "000", "001", "099", "600", "700", "999", "0200", "00200", "20", "2" };
static const char *const good_statuses[]
    = { "200", "204", "299", "404", "499", "500", "599" };

#define COUNT_OF(array) (sizeof (array) / sizeof (array)[0])

/* How the requests of a test are made.  */
struct sweep
{
  enum source source;
  const char *method;
  const char *route;
  bool reused;  /* the connection has carried a request before */
  bool interim; /* see struct cut */
  int runs_max; /* of one request */
};

static struct gate_fixture fixture;
/* Requests for an answer that breaks off which reached the server or the node,
   and those of them that did not come first on their connection.  */
static atomic_int cut_requests;
static atomic_int cut_requests_reused;
/* Other requests on a connection that has carried one before.  */
static atomic_int after_requests_reused;

/* Writes the answer to the request ID from SOURCE; returns the bytes before
   its body.  */
static size_t
write_answer (char out[ANSWER_BYTES], enum source source,
              const struct cut *cut, const char *id)
{
  struct nodehdr_answer answer = { .outcome = NODEHDR_ANSWERED };
  char text[NODEHDR_TEXT_BYTES];
  char field[NODEHDR_TEXT_BYTES + 32] = "";
  size_t len = 0;

  if (source == SOURCE_NODE)
    {
      nodehdr_encode_answer (&answer, text);
      snprintf (field, sizeof field, "%s: %s\r\n", NODEHDR_ANSWER_FIELD, text);
    }
  if (cut->interim)
    len = (size_t)snprintf (
        out, ANSWER_BYTES, "HTTP/1.1 103 Early Hints\r\n%s%s\r\n", field,
        source == SOURCE_SERVER ? "X-Sycamorerudder-Response-Seal: s\r\n"
                                : "");
  len += (size_t)snprintf (out + len, ANSWER_BYTES - len,
                           "HTTP/1.1 200 OK\r\n"
                           "X-Sycamorerudder-Request-Id: %s\r\n%s"
                           "X-Sycamorerudder-Response-Seal: s\r\n%s\r\n",
                           id, field, framings[cut->framing].field);
  snprintf (out + len, ANSWER_BYTES - len, "%s",
            cut->head ? "" : framings[cut->framing].body);
  return len;
}

/* The first byte count at which the answer may count as whole.  */
static size_t
whole_answer_bytes (enum source source, const struct cut *cut, const char *id)
{
  char out[ANSWER_BYTES];
  size_t head_len = write_answer (out, source, cut, id);

  /* An end by FIN is the declared end of such a body, an end by RST is not. */
  if (!cut->head && cut->framing == FRAMING_CLOSE)
    return cut->reset ? strlen (out) + 1 : head_len;
  return strlen (out);
}

/* Sends the first bytes of the answer and ends the connection.  */
static void
send_cut_answer (int fd, enum source source, const struct cut *cut,
                 const char *id)
{
  struct linger reset = { .l_onoff = 1 };
  char out[ANSWER_BYTES];

  write_answer (out, source, cut, id);
  (void)!write (fd, out, cut->at);
  if (cut->reset)
    {
      usleep (RESET_DELAY_US);
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
  close (fd);
}

/* Reads the answer that the path of the request TEXT selects; false for one
   that does not break off.  */
static bool
read_cut (const char *text, struct cut *cut)
{
  const char *path = strstr (text, "/cut-");
  unsigned framing;
  unsigned reset;
  unsigned interim;

  if (path == NULL
      || sscanf (path, "/cut-%u-%u-%u-%zu ", &framing, &reset, &interim,
                 &cut->at)
             != 4)
    return false;
  cut->framing = (enum framing)framing;
  cut->reset = reset != 0;
  cut->interim = interim != 0;
  cut->head = strncmp (text, "HEAD ", 5) == 0;
  return true;
}

/* Answers the request ID with the status that its path selects.  */
static void
send_status (int fd, enum source source, const char *status, const char *id)
{
  bool has_body = strcmp (status, "204") != 0;
  struct cut whole = { .framing = has_body ? FRAMING_LENGTH : FRAMING_CLOSE,
                       .head = !has_body };
  char text[ANSWER_BYTES];
  char out[ANSWER_BYTES + 32];

  write_answer (text, source, &whole, id);
  snprintf (out, sizeof out, "HTTP/1.1 %s Odd%s", status,
            strstr (text, " 200 OK") + strlen (" 200 OK"));
  net_send_text (fd, out);
}

/* Answers the request ID with an answer without a body that PATH selects,
   "/bare-STATUS-FRAMING-BODY-AT": in two parts, the first of AT bytes, if AT
   is not 0, and with the body that it must not have if BODY is not 0.  */
static void
send_bare (int fd, enum source source, const char *path, const char *id)
{
  struct cut whole = { 0 };
  char text[ANSWER_BYTES];
  char out[ANSWER_BYTES + 32];
  char status[16] = "";
  unsigned framing = 0;
  unsigned body = 0;
  size_t at = 0;

  sscanf (path, "/bare-%15[0-9]-%u-%u-%zu", status, &framing, &body, &at);
  whole.framing = (enum framing)framing;
  whole.head = body == 0;
  write_answer (text, source, &whole, id);
  snprintf (out, sizeof out, "HTTP/1.1 %s Odd%s", status,
            strstr (text, " 200 OK") + strlen (" 200 OK"));
  if (at > 0)
    {
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof (int));
      (void)!write (fd, out, at);
      usleep (PART_DELAY_US);
    }
  net_send_text (fd, out + at);
}

/* Serves one connection as the backend server or as a node.  */
static void
serve_connection (int fd, enum source source)
{
  struct cut whole = { .framing = FRAMING_LENGTH };
  char text[TEXT_BYTES];
  char out[ANSWER_BYTES];

  for (int count = 0; gate_fixture_read_request (fd, text, sizeof text);
       count++)
    {
      struct cut cut;
      char id[GATE_FIXTURE_ID_BYTES];

      gate_fixture_read_id (text, id);
      if (strstr (text, "GET /health ") != NULL)
        {
          net_send_text (
              fd, "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Instance-Id: i-1\r\n"
                  "X-Sycamorerudder-Server-Load: 0,0,4,100\r\n"
                  "Content-Length: 0\r\n\r\n");
          continue;
        }
      if (read_cut (text, &cut))
        {
          cut_requests++;
          cut_requests_reused += count > 0;
          send_cut_answer (fd, source, &cut, id);
          return;
        }
      if (strstr (text, "/status-") != NULL)
        {
          char status[16] = "";

          sscanf (strstr (text, "/status-"), "/status-%15s", status);
          cut_requests++;
          send_status (fd, source, status, id);
          continue;
        }
      if (strstr (text, "/bare-") != NULL)
        {
          cut_requests++;
          send_bare (fd, source, strstr (text, "/bare-"), id);
          continue;
        }
      after_requests_reused += count > 0;
      write_answer (out, source, &whole, id);
      net_send_text (fd, out);
    }
  close (fd);
}

static void *
serve_as_server (void *arg)
{
  serve_connection ((int)(intptr_t)arg, SOURCE_SERVER);
  return NULL;
}

static void *
serve_as_node (void *arg)
{
  serve_connection ((int)(intptr_t)arg, SOURCE_NODE);
  return NULL;
}

/* Sends a request as a caller; returns the answer.  */
static char *
request_path (const char *method, const char *path, const char *id)
{
  static char answer[TEXT_BYTES];
  char text[512];
  int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);

  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            "X-Sycamorerudder-Request-Id: %s\r\n%s\r\n",
            method, path, id,
            strcmp (method, "POST") == 0 ? "Content-Length: 0\r\n" : "");
  net_send_text (fd, text);
  net_read_to_end (fd, answer, sizeof answer);
  return answer;
}

static bool
is_served (void)
{
  const char *answer = request_path ("GET", "/r/ok", "w");
  const char *body = strstr (answer, "\r\n\r\n");

  return strncmp (answer, "HTTP/1.1 200 ", 13) == 0 && body != NULL
         && strcmp (body, "\r\n\r\nhello") == 0;
}

/* Makes the request for one answer that breaks off.  The caller must learn
   that the request may have run, and the request must have reached the server
   at most as often as it may.  Returns whether the gate has sent it on a
   connection as wanted.  */
static bool
check_cut (const struct sweep *sweep, const struct cut *cut)
{
  unsigned long long seed
      = ((((unsigned long long)cut->framing * 2 + cut->reset) * 2
          + sweep->reused)
             * 2
         + (sweep->runs_max > 1))
            * 1000
        + cut->at;
  int requests_before = cut_requests;
  int reused_before = cut_requests_reused;
  char path[64];
  char *answer;
  int runs;

  if (sweep->reused)
    SUITE_SEEDED (is_served (), seed);
  snprintf (path, sizeof path, "%scut-%u-%u-%u-%zu", sweep->route,
            (unsigned)cut->framing, (unsigned)cut->reset,
            (unsigned)cut->interim, cut->at);
  answer = request_path (sweep->method, path, "c");
  runs = cut_requests - requests_before;
  SUITE_SEEDED (strncmp (answer, "HTTP/1.1 502 ", 13) == 0, seed);
  SUITE_SEEDED (strstr (answer, "; unknown\"\r\n") != NULL, seed);
  SUITE_SEEDED (strstr (answer, "hello") == NULL, seed);
  SUITE_SEEDED (strstr (answer, " 200 ") == NULL, seed);
  SUITE_SEEDED (runs >= 1 && runs <= sweep->runs_max, seed);
  return (cut_requests_reused - reused_before > 0) == sweep->reused;
}

/* Makes a request for each answer that breaks off before its end: all
   framings, after each byte, by FIN and by RST.  */
static void
run_sweep (const struct sweep *sweep)
{
  int requests_before = cut_requests;
  int count = 0;
  int as_wanted = 0;

  for (int i = 0; i < 2 * FRAMING_COUNT; i++)
    {
      struct cut cut = { .framing = (enum framing) (i / 2),
                         .reset = i % 2 != 0,
                         .interim = sweep->interim,
                         .head = strcmp (sweep->method, "HEAD") == 0 };
      size_t whole = whole_answer_bytes (sweep->source, &cut, "c");

      for (cut.at = 0; cut.at < whole; cut.at++)
        {
          as_wanted += check_cut (sweep, &cut);
          count++;
        }
    }
  printf (" %s %s%s%s: %d cuts, %d requests reached the %s, ", sweep->method,
          sweep->route, sweep->reused ? " reused" : "",
          sweep->interim ? " interim" : "", count,
          cut_requests - requests_before,
          sweep->source == SOURCE_SERVER ? "server" : "node");
  printf ("%d on a connection as wanted;", as_wanted);
  /* The first fresh one may find the connection of the request before it; an
     idle connection is not reused after a long pause.  */
  CU_ASSERT_TRUE (as_wanted >= count - count / 50);
  CU_ASSERT_TRUE (is_served ());
}

/* Runs the sweeps of SOURCE.  */
static void
run_sweeps (enum source source, bool interim, bool reused)
{
  struct sweep sweep = { .source = source,
                         .method = "POST",
                         .route = "/o/",
                         .interim = interim,
                         .reused = reused,
                         .runs_max = 1 };

  run_sweep (&sweep);
  sweep.method = "GET";
  sweep.route = "/r/";
  sweep.runs_max = ATTEMPTS_MAX;
  run_sweep (&sweep);
}

/* Makes a request that is answered with STATUS, on a connection that has
   carried another or on a new one.  */
static char *
request_status (const char *method, const char *route, const char *status)
{
  char path[64];

  snprintf (path, sizeof path, "%sstatus-%s", route, status);
  return request_path (method, path, "s");
}

/* Asks for each status.  The caller must learn of a bad one that the request
   may have run, and the request must have reached the server at most as often
   as it may.  */
static void
run_statuses (enum source source, const char *method, const char *route,
              int runs_max)
{
  int total = 0;

  for (size_t i = 0; i < 2 * COUNT_OF (bad_statuses); i++)
    {
      int requests_before = cut_requests;
      char *answer;
      int runs;

      if (i % 2 != 0)
        SUITE_SEEDED (is_served (), i);
      answer = request_status (method, route, bad_statuses[i / 2]);
      runs = cut_requests - requests_before;
      SUITE_SEEDED (strncmp (answer, "HTTP/1.1 502 ", 13) == 0, i);
      SUITE_SEEDED (strstr (answer, "; unknown\"\r\n") != NULL, i);
      SUITE_SEEDED (strstr (answer, "hello") == NULL, i);
      SUITE_SEEDED (strstr (answer, "HTTP/1.1") == answer
                        && strstr (answer + 1, "HTTP/1.1") == NULL,
                    i);
      SUITE_SEEDED (runs >= 1 && runs <= runs_max, i);
      total += runs;
    }
  printf (" %s %s: %zu requests, %d reached the %s;", method, route,
          2 * COUNT_OF (bad_statuses), total,
          source == SOURCE_SERVER ? "server" : "node");
  for (size_t i = 0; i < COUNT_OF (good_statuses); i++)
    {
      char *answer = request_status (method, route, good_statuses[i]);

      SUITE_SEEDED (strncmp (answer + 9, good_statuses[i], 3) == 0, i);
    }
  CU_ASSERT_TRUE (is_served ());
}

/* Guards against a status that is none, as of a server in trouble, and that
   the caller gets as an answer, and against a second run of a request that
   must not run twice.  */
static void
test_status_of_server (void)
{
  run_statuses (SOURCE_SERVER, "POST", "/o/", 1);
  run_statuses (SOURCE_SERVER, "GET", "/r/", ATTEMPTS_MAX);
}

/* Whether the answer at TEXT has only the framing fields that an answer
   without a body may have, if the source of the answer has declared FRAMING:
   none with status 204, and the Content-Length of the source otherwise.  */
static bool
is_framed_without_body (const char *text, const char *status,
                        enum framing framing)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strstr (text, "\r\nContent-Length: ");
  const char *chunked = strstr (text, "\r\nTransfer-Encoding: ");
  bool wanted = framing == FRAMING_LENGTH && strcmp (status, "204") != 0;

  return (chunked == NULL || chunked > end)
         && (wanted ? length != NULL && length < end
                          && strtol (length + 18, NULL, 10) == 5
                    : length == NULL || length > end);
}

/* Makes a request whose answer has no body, one behind it on the same
   connection, and one after them.  Each must get its own answer, and the first
   must have run once.  */
static void
check_bare (const char *method, const char *route, const char *status,
            enum framing framing, bool body, size_t at)
{
  unsigned long long seed
      = (((unsigned long long)atoi (status) * FRAMING_COUNT + framing) * 2
         + body)
            * 1000
        + at;
  /* A connection carries an id once.  */
  static unsigned next_id;
  unsigned id = next_id++;
  int requests_before = cut_requests;
  int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);
  char expected[64];
  char text[1024];
  char answer[TEXT_BYTES];
  const char *next;

  snprintf (text, sizeof text,
            "%s %sbare-%s-%u-%u-%zu HTTP/1.1\r\nHost: h\r\n"
            "X-Sycamorerudder-Request-Id: bare-%u\r\n%s\r\n"
            "GET /r/ok HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            "X-Sycamorerudder-Request-Id: after-%u\r\n\r\n",
            method, route, status, (unsigned)framing, (unsigned)body, at, id,
            strcmp (method, "POST") == 0 ? "Content-Length: 0\r\n" : "", id);
  net_send_text (fd, text);
  net_read_to_end (fd, answer, sizeof answer);
  snprintf (expected, sizeof expected, "HTTP/1.1 %s ", status);
  SUITE_SEEDED (strncmp (answer, expected, strlen (expected)) == 0, seed);
  snprintf (expected, sizeof expected, "Request-Id: bare-%u\r\n", id);
  SUITE_SEEDED (strstr (answer, expected) != NULL, seed);
  SUITE_SEEDED (is_framed_without_body (answer, status, framing), seed);
  next = strstr (answer, "\r\n\r\n") + 4;
  SUITE_SEEDED (strncmp (next, "HTTP/1.1 200 OK\r\n", 17) == 0, seed);
  snprintf (expected, sizeof expected, "Request-Id: after-%u\r\n", id);
  SUITE_SEEDED (strstr (next, expected) != NULL, seed);
  SUITE_SEEDED (strcmp (strstr (next, "\r\n\r\n"), "\r\n\r\nhello") == 0,
                seed);
  SUITE_SEEDED (cut_requests - requests_before == 1, seed);
  snprintf (expected, sizeof expected, "last-%u", id);
  next = request_path ("GET", "/r/ok", expected);
  SUITE_SEEDED (strncmp (next, "HTTP/1.1 200 OK\r\n", 17) == 0, seed);
  SUITE_SEEDED (strstr (next, expected) != NULL, seed);
}

/* Makes requests for answers without a body with each framing, with each
   method, and in parts; then for answers that the body follows.  */
static void
run_bare (enum source source)
{
  static const char *const statuses[] = { "204", "304" };
  static const char *const methods[] = { "GET", "POST", "HEAD" };
  int reused_before = after_requests_reused;
  int count = 0;

  for (unsigned i = 0; i < 2 * 3 * FRAMING_COUNT; i++)
    {
      struct cut cut = { .framing = (enum framing) (i / 6), .head = true };
      size_t whole = whole_answer_bytes (source, &cut, "bare");
      const char *method = methods[i / 2 % 3];
      const char *route = strcmp (method, "POST") == 0 ? "/o/" : "/r/";

      for (size_t at = 0; at < whole; at += 7, count++)
        check_bare (method, route, statuses[i % 2], cut.framing, false, at);
    }
  printf (" %d requests to the %s, %d requests on a kept connection;", count,
          source == SOURCE_SERVER ? "server" : "node",
          after_requests_reused - reused_before);
  /* The connections of these answers are kept: two requests come after each,
     one of them at the same time.  */
  CU_ASSERT_TRUE (after_requests_reused - reused_before
                  >= 2 * count - count / 50);
  for (unsigned i = 0; i < 2 * FRAMING_COUNT; i++)
    check_bare ("GET", "/r/", statuses[i % 2], (enum framing) (i / 2), true,
                0);
}

/* Guards against an answer without a body (status 204 or 304) whose fields
   declare one that the gate waits for, so that its server or the next request
   on the connection is held until a timeout, and against one that is passed on
   with fields that let the caller wait.  */
static void
test_no_body_of_server (void)
{
  run_bare (SOURCE_SERVER);
}

static void
start_gate (void)
{
  struct gate_fixture_opts opts = { .document = document,
                                    .stop_limit = clk_s (3),
                                    .slots = 4,
                                    .serve = serve_as_server };

  gate_fixture_start (&fixture, &opts);
  usleep (200000);
  CU_ASSERT_TRUE_FATAL (is_served ());
}

/* Guards against an answer that a server has begun and not finished, in its
   head or its body, and that the caller gets as a whole one, against a second
   run of a request that must not run twice, and against "not run" for one that
   has reached the server.  */
static void
test_cut_by_server (void)
{
  run_sweeps (SOURCE_SERVER, false, false);
}

/* Guards against the same on a connection that has carried an answer before,
   of which the gate could take the state.  */
static void
test_cut_on_reused_connection (void)
{
  run_sweeps (SOURCE_SERVER, false, true);
}

/* Guards against an interim response that is taken for the answer when the
   connection ends after it, or in the middle of the final one.  */
static void
test_cut_after_interim (void)
{
  run_sweeps (SOURCE_SERVER, true, false);
}

/* Guards against an incomplete answer to HEAD: its head is all of it.  */
static void
test_cut_answer_to_head (void)
{
  struct sweep sweep = { .source = SOURCE_SERVER,
                         .method = "HEAD",
                         .route = "/r/",
                         .runs_max = ATTEMPTS_MAX };

  run_sweep (&sweep);
  sweep.reused = true;
  run_sweep (&sweep);
}

/* Guards against answers that change places, or bytes of the broken one in the
   next, when the caller has sent requests before and after it on the same
   connection.  */
static void
test_cut_between_others (void)
{
  struct cut cut = { .framing = FRAMING_LENGTH };
  size_t whole = whole_answer_bytes (SOURCE_SERVER, &cut, "c");
  char answer[TEXT_BYTES];
  char text[1024];

  for (size_t i = 0; i < 2 * whole; i++)
    {
      const char *at = answer;
      int requests_before = cut_requests;
      int fd = net_connect (fixture.addresses[GATE_PORT_CALLERS]);

      snprintf (text, sizeof text,
                "GET /o/ok HTTP/1.1\r\nHost: h\r\n"
                "X-Sycamorerudder-Request-Id: before\r\n\r\n"
                "GET /o/cut-%u-%u-0-%zu HTTP/1.1\r\nHost: h\r\n"
                "X-Sycamorerudder-Request-Id: c\r\n\r\n"
                "GET /o/ok HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                "X-Sycamorerudder-Request-Id: after\r\n\r\n",
                (unsigned)cut.framing, (unsigned)(i % 2), i / 2);
      net_send_text (fd, text);
      net_read_to_end (fd, answer, sizeof answer);
      for (int part = 0; part < 3; part++)
        {
          static const char *const expected[] = {
            "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: before\r\n",
            "HTTP/1.1 502 ",
            "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: after\r\n"
          };
          const char *body = strstr (at, "\r\n\r\n");
          const char *length = strstr (at, "Content-Length: ");

          SUITE_SEEDED (
              strncmp (at, expected[part], strlen (expected[part])) == 0, i);
          SUITE_SEEDED (body != NULL && length != NULL && length < body, i);
          SUITE_SEEDED (
              (strncmp (body, "\r\n\r\nhello", 9) == 0) == (part != 1), i);
          at = body + 4 + strtoul (length + 16, NULL, 10);
          SUITE_SEEDED (at <= answer + strlen (answer), i);
        }
      SUITE_SEEDED (*at == '\0', i);
      SUITE_SEEDED (cut_requests - requests_before == 1, i);
    }
}

/* Replaces the backend server of the gate, in its list of members, with one
   beside another node, which the test plays.  */
static void
start_other_node (void)
{
  struct member_record record = { .instance = "n-2",
                                  .address = "127.0.0.2:1",
                                  .service = "a",
                                  .failure_domain = "d",
                                  .slots = 4,
                                  .state = MEMBER_SERVING,
                                  .incarnation = 1 };
  struct sockaddr_in addr = { .sin_family = AF_INET };
  const char *node_address = fixture.addresses[GATE_PORT_NODES];
  struct msg *view = msg_new (MSG_VIEW);
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK + 1);
  addr.sin_port = htons ((uint16_t)atoi (strchr (node_address, ':') + 1));
  CU_ASSERT_EQUAL_FATAL (
      bind (listener, (struct sockaddr *)&addr, sizeof addr), 0);
  net_serve (listener, serve_as_node);
  member_add_item (&view->u.items, &record);
  inbox_put (gate_inbox (fixture.gate), view);
  usleep (100000);
  CU_ASSERT_TRUE_FATAL (is_served ());
}

/* Guards against the same when the node beside the server ends while it passes
   the answer on.  */
static void
test_cut_by_node (void)
{
  start_other_node ();
  run_sweeps (SOURCE_NODE, false, false);
  run_sweeps (SOURCE_NODE, false, true);
  run_sweeps (SOURCE_NODE, true, false);
}

/* Guards against the same in what another node sends.  */
static void
test_status_of_node (void)
{
  run_statuses (SOURCE_NODE, "POST", "/o/", 1);
  run_statuses (SOURCE_NODE, "GET", "/r/", ATTEMPTS_MAX);
}

/* Guards against the same in what another node sends.  */
static void
test_no_body_of_node (void)
{
  run_bare (SOURCE_NODE);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "start", start_gate },
          { "status of the server out of range", test_status_of_server },
          { "answer of the server without a body", test_no_body_of_server },
          { "answer cut by the server", test_cut_by_server },
          { "answer cut on a reused connection",
            test_cut_on_reused_connection },
          { "answer cut after an interim response", test_cut_after_interim },
          { "answer to HEAD cut", test_cut_answer_to_head },
          { "answer cut between others", test_cut_between_others },
          { "answer cut by a node", test_cut_by_node },
          { "status of a node out of range", test_status_of_node },
          { "answer of a node without a body", test_no_body_of_node },
          { NULL, NULL } };

  /* The server writes to connections that the node may have closed.  */
  signal (SIGPIPE, SIG_IGN);
  return suite_run ("gate_head", tests);
}
