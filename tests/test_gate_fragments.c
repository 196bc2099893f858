#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"

#define TEXT_BYTES 4096
/* Time after which the server sends the bytes that belong to no request, and
   until the test goes on.  */
#define BYTES_DELAY_US 5000
#define PAUSE_US 30000

#define RUNS_MAX 1000

static struct gate_fixture fixture;

/* Runs of the requests whose ids begin with "o", by their number.  */
static atomic_int runs[RUNS_MAX];

/* An answer that the server has given before, cut after some of its bytes.  */
static const char copy[] = "HTTP/1.1 200 OK\r\n"
                           "X-Sycamorerudder-Request-Id: before\r\n"
                           "X-Sycamorerudder-Instance-Id: i-1\r\n"
                           "X-Sycamorerudder-Server-Load: 0,0,4,100\r\n"
                           "X-Sycamorerudder-Response-Seal: s\r\n"
                           "Content-Length: 2\r\n\r\nok";

/* The same of a refusal.  */
static const char refusal_copy[]
    = "HTTP/1.1 503 Service Unavailable\r\n"
      "X-Sycamorerudder-Request-Id: before\r\n"
      "X-Sycamorerudder-Not-Executed: full\r\n"
      "X-Sycamorerudder-Server-Load: 4,4,4,100\r\n"
      "Content-Length: 0\r\n\r\n";

/* When the cut copy comes.  */
enum moment
{
  ON_IDLE_CONNECTION,
  BEHIND_ANSWER,
  BEFORE_ANSWER,
};

static void
send_failure (int fd, const char *id)
{
  char out[256];

  snprintf (out, sizeof out,
            "HTTP/1.1 500 Failed\r\nX-Sycamorerudder-Request-Id: %s\r\n"
            "X-Sycamorerudder-Response-Seal: f\r\nContent-Length: 0\r\n\r\n",
            id);
  net_send_text (fd, out);
}

static void
send_refusal (int fd, const char *id)
{
  char out[256];

  snprintf (out, sizeof out,
            "HTTP/1.1 503 Service Unavailable\r\n"
            "X-Sycamorerudder-Request-Id: %s\r\n"
            "X-Sycamorerudder-Not-Executed: full\r\n"
            "Content-Length: 0\r\n\r\n",
            id);
  net_send_text (fd, out);
}

static void
set_socket_option (int fd, int option, int value)
{
  setsockopt (fd, IPPROTO_TCP, option, &value, sizeof value);
}

/* Sends the first bytes of TEXT, as many as the id tells.  */
static void
send_cut_copy (int fd, const char *text, const char *id)
{
  (void)!write (fd, text, (size_t)atoi (id + 1));
}

/* Backend server.  The first letter of an id selects what it does: "f" fails,
   "i" answers and sends the cut copy some time later, "t" answers and sends it
   at once, "w" sends it while the request runs and then fails, "n" refuses and
   sends the cut refusal some time later, "o" runs.  */
static void *
server_serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char text[TEXT_BYTES];
  char id[GATE_FIXTURE_ID_BYTES];

  /* Bytes after an answer do not wait for its acknowledgement.  */
  set_socket_option (fd, TCP_NODELAY, 1);
  while (gate_fixture_read_request (fd, text, sizeof text))
    {
      gate_fixture_read_id (text, id);
      switch (id[0])
        {
        case 'f':
          send_failure (fd, id);
          break;
        case 'i':
          gate_fixture_answer (fd, text);
          usleep (BYTES_DELAY_US);
          send_cut_copy (fd, copy, id);
          break;
        case 't':
          set_socket_option (fd, TCP_CORK, 1);
          gate_fixture_answer (fd, text);
          send_cut_copy (fd, copy, id);
          set_socket_option (fd, TCP_CORK, 0);
          break;
        case 'w':
          send_cut_copy (fd, copy, id);
          usleep (BYTES_DELAY_US);
          send_failure (fd, id);
          break;
        case 'n':
          send_refusal (fd, id);
          usleep (BYTES_DELAY_US);
          send_cut_copy (fd, refusal_copy, id);
          break;
        case 'o':
          runs[atoi (id + 1)]++;
          gate_fixture_answer (fd, text);
          break;
        default:
          gate_fixture_answer (fd, text);
          break;
        }
    }
  close (fd);
  return NULL;
}

static void
start_gate (void)
{
  struct gate_fixture_opts opts = { .document = gate_fixture_document,
                                    .stop_limit = clk_s (3),
                                    .slots = 64,
                                    .serve = server_serve_connection };

  gate_fixture_start (&fixture, &opts);
  usleep (200000);
}

/* Sends the request ID as another node; returns the status of its answer, 0
   without one.  */
static int
request_status (const char *id, bool idempotent)
{
  struct nodehdr_request node_request = { .service = "a",
                                          .timeout_ms = 2000,
                                          .idempotent = idempotent,
                                          .internal = true };
  int fd = gate_fixture_send_as_node (&fixture, id, &node_request);
  int status = net_read_status (fd);

  close (fd);
  return status;
}

/* Sends the copy, cut after each of its bytes, at MOMENT; expects no success
   where the server has failed.  */
static void
expect_no_success (enum moment moment)
{
  unsigned success_count = 0;

  for (unsigned cut = 1; cut < sizeof copy - 1; cut++)
    {
      char id[GATE_FIXTURE_ID_BYTES];
      char failing_id[GATE_FIXTURE_ID_BYTES + 2];
      int status;

      snprintf (id, sizeof id, "%c%u", "itw"[moment], cut);
      snprintf (failing_id, sizeof failing_id, "f-%s", id);
      status = request_status (id, true);
      if (moment != BEFORE_ANSWER)
        {
          CU_ASSERT_EQUAL (status, 200);
          usleep (PAUSE_US);
          status = request_status (failing_id, true);
        }
      if (status / 100 == 2)
        {
          printf (" cut=%u", cut);
          success_count++;
        }
    }
  printf (" successes=%u", success_count);
  CU_ASSERT_EQUAL (success_count, 0);
}

/* Guards against a caller that gets a success where the server has failed: the
   beginning of an answer comes after a complete one, while the connection is
   idle, and the next answer continues its header.  */
static void
test_cut_copy_on_idle_connection (void)
{
  expect_no_success (ON_IDLE_CONNECTION);
}

/* The same when it comes together with the complete answer.  */
static void
test_cut_copy_behind_answer (void)
{
  expect_no_success (BEHIND_ANSWER);
}

/* The same when it comes while the request runs.  */
static void
test_cut_copy_before_answer (void)
{
  expect_no_success (BEFORE_ANSWER);
}

/* Guards against a request that is called not run, and so may run a second
   time, although the server has run it: the beginning of a refusal comes while
   the connection is idle.  */
static void
test_cut_refusal_on_idle_connection (void)
{
  unsigned refused_count = 0;

  for (unsigned cut = 1; cut < sizeof refusal_copy - 1; cut++)
    {
      char id[GATE_FIXTURE_ID_BYTES];

      snprintf (id, sizeof id, "n%u", cut);
      CU_ASSERT_EQUAL (request_status (id, true), 503);
      usleep (PAUSE_US);
      snprintf (id, sizeof id, "o%u", cut);
      refused_count += request_status (id, false) == 503 && runs[cut] > 0;
    }
  printf (" refused=%u", refused_count);
  CU_ASSERT_EQUAL (refused_count, 0);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "start", start_gate },
          { "cut copy on an idle connection",
            test_cut_copy_on_idle_connection },
          { "cut copy behind an answer", test_cut_copy_behind_answer },
          { "cut copy before an answer", test_cut_copy_before_answer },
          { "cut refusal on an idle connection",
            test_cut_refusal_on_idle_connection },
          { NULL, NULL } };

  return suite_run ("gate_fragments", tests);
}
