#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"

#define TEXT_BYTES 4096
/* Requests that are sent twice.  */
#define REPEATED_REQUESTS 12
/* Other requests between the two sendings of a request.  */
#define REQUESTS_BETWEEN_MAX 40
/* Requests with one id, and the most connections to the server with them; it
   has 4 slots.  */
#define SAME_ID_REQUESTS 100
#define SERVER_CONNECTIONS_MAX 8
/* Time after which the server sends an answer once more.  */
#define COPY_DELAY_US 250000
/* Time for which the server works on a request that comes again.  */
#define REPEAT_WORK_US 400000
/* Time after which a request comes again that has LONG_TIMEOUT_MS; longer than
   each timeout of the configuration of this node.  */
#define LONG_REPEAT_US clk_ms (10500)
#define LONG_TIMEOUT_MS 30000
#define LONG_PAUSE_US 500000

static struct gate_fixture fixture;

/* Ids that the server has seen.  */
static char server_ids[4096][GATE_FIXTURE_ID_BYTES];
static int server_id_count;
static int server_connection_count;
static int server_connection_count_max;
static pthread_mutex_t server_lock = PTHREAD_MUTEX_INITIALIZER;

/* Records the id of a request; returns whether it came before.  */
static bool
server_has_seen (const char *id)
{
  bool seen = false;

  pthread_mutex_lock (&server_lock);
  for (int i = 0; i < server_id_count; i++)
    seen |= strcmp (server_ids[i], id) == 0;
  if (!seen)
    strcpy (server_ids[server_id_count++], id);
  pthread_mutex_unlock (&server_lock);
  return seen;
}

/* Adds CHANGE to the number of open connections.  */
static void
server_count_connection (int change)
{
  pthread_mutex_lock (&server_lock);
  server_connection_count += change;
  if (server_connection_count > server_connection_count_max)
    server_connection_count_max = server_connection_count;
  pthread_mutex_unlock (&server_lock);
}

/* Backend server.  It answers a request with 200, and one that comes again
   with 500 if its id begins with "r" or "s".  The answer to the first sending
   is sent once more on its connection: for "r" after COPY_DELAY_US, for "s"
   when the request comes again there.  */
static void *
server_serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char text[TEXT_BYTES];
  char id[GATE_FIXTURE_ID_BYTES];
  char last_s[GATE_FIXTURE_ID_BYTES] = "";
  char out[256];

  server_count_connection (1);
  while (gate_fixture_read_request (fd, text, sizeof text))
    {
      gate_fixture_read_id (text, id);
      if (id[0] != 'r' && id[0] != 's')
        gate_fixture_answer (fd, text);
      else if (server_has_seen (id))
        {
          if (strcmp (id, last_s) == 0)
            gate_fixture_answer (fd, text);
          usleep (REPEAT_WORK_US - COPY_DELAY_US);
          snprintf (out, sizeof out,
                    "HTTP/1.1 500 Failed\r\nX-Sycamorerudder-Request-Id: %s"
                    "\r\nContent-Length: 0\r\n\r\n",
                    id);
          net_send_text (fd, out);
        }
      else if (id[0] == 's')
        {
          gate_fixture_answer (fd, text);
          strcpy (last_s, id);
        }
      else
        {
          gate_fixture_answer (fd, text);
          usleep (COPY_DELAY_US);
          gate_fixture_answer (fd, text);
        }
    }
  server_count_connection (-1);
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

/* Opens a connection as another node and sends the request ID on it, which has
   TIMEOUT_MS.  */
static int
send_request_for (const char *id, bool may_have_run, uint32_t timeout_ms)
{
  struct nodehdr_request node_request = { .service = "a",
                                          .timeout_ms = timeout_ms,
                                          .idempotent = true,
                                          .may_have_run = may_have_run,
                                          .internal = true };

  return gate_fixture_send_as_node (&fixture, id, &node_request);
}

static int
send_request (const char *id, bool may_have_run)
{
  return send_request_for (id, may_have_run, 2000);
}

/* Ends a connection with a reset.  */
static void
reset_connection (int fd)
{
  struct linger reset = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
}

/* Sends a request of the KIND that its id begins with, loses its answer, sends
   OTHERS other requests and then the first one again.  Expects the answer to
   the second sending.  */
static void
expect_answer_to_repeat (char kind, unsigned index, unsigned others,
                         bool may_have_run)
{
  char id[GATE_FIXTURE_ID_BYTES];
  char other[2 * GATE_FIXTURE_ID_BYTES];
  int fd;

  snprintf (id, sizeof id, "%c-%u-%u-%d", kind, index, others,
            (int)may_have_run);
  fd = send_request (id, false);
  CU_ASSERT_EQUAL (net_read_status (fd), 200);
  reset_connection (fd);
  for (unsigned i = 0; i < others; i++)
    {
      snprintf (other, sizeof other, "o-%s-%u", id, i);
      fd = send_request (other, false);
      CU_ASSERT_EQUAL (net_read_status (fd), 200);
      close (fd);
    }
  fd = send_request (id, may_have_run);
  SUITE_SEEDED (net_read_status (fd) == 500, index);
  close (fd);
}

/* Guards against a caller that gets a success where the server has failed: the
   answer to the first sending of a request is lost behind this node, and the
   server sends it once more when the request has been sent again.  */
static void
test_copy_after_lost_answer (void)
{
  for (unsigned i = 0; i < REPEATED_REQUESTS; i++)
    expect_answer_to_repeat ('r', i, 0, true);
}

/* The same for a request that this node cannot know to be sent again: its id
   comes from another node, or from a server that makes a call again.  */
static void
test_copy_of_another_source (void)
{
  for (unsigned i = 0; i < REPEATED_REQUESTS; i++)
    expect_answer_to_repeat ('r', i, 0, false);
}

/* The same when the connection has carried other requests in between.  */
static void
test_copy_after_other_requests (void)
{
  for (unsigned i = 1; i <= REQUESTS_BETWEEN_MAX; i += 13)
    expect_answer_to_repeat ('s', i, i, true);
}

/* Guards against a request that is sent again on its connection after the
   longest timeout of this node's configuration: the node of arrival has a
   newer one, with a longer timeout.  */
static void
test_copy_after_long_timeout (void)
{
  clk_us end = clk_now () + LONG_REPEAT_US;
  char id[GATE_FIXTURE_ID_BYTES];
  int fd = send_request_for ("s-long", false, LONG_TIMEOUT_MS);

  CU_ASSERT_EQUAL (net_read_status (fd), 200);
  reset_connection (fd);
  for (unsigned i = 0; clk_now () < end; i++)
    {
      snprintf (id, sizeof id, "o-long-%u", i);
      fd = send_request (id, false);
      CU_ASSERT_EQUAL (net_read_status (fd), 200);
      close (fd);
      usleep (LONG_PAUSE_US);
    }
  fd = send_request_for ("s-long", true,
                         LONG_TIMEOUT_MS - LONG_REPEAT_US / CLK_US_PER_MS);
  CU_ASSERT_EQUAL (net_read_status (fd), 500);
  close (fd);
}

/* Guards against a caller that uses one id again and again, and so opens more
   connections to the server than the server accepts.  */
static void
test_connections_of_one_id (void)
{
  server_connection_count_max = 0;
  for (int i = 0; i < SAME_ID_REQUESTS; i++)
    {
      int fd = send_request ("one", false);

      CU_ASSERT_EQUAL (net_read_status (fd), 200);
      close (fd);
    }
  CU_ASSERT_TRUE (server_connection_count_max <= SERVER_CONNECTIONS_MAX);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "start", start_gate },
          { "copy after a lost answer", test_copy_after_lost_answer },
          { "copy of another source", test_copy_of_another_source },
          { "copy after other requests", test_copy_after_other_requests },
          { "copy after a long timeout", test_copy_after_long_timeout },
          { "connections of one id", test_connections_of_one_id },
          { NULL, NULL } };

  return suite_run ("gate_copies", tests);
}
