#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/clk.h"
#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"

#define TEXT_BYTES 8192
/* Time in which a health check must have ended.  */
#define CHECK_ENDS_US clk_s (4)

#define HEALTH_HEAD                                                           \
  "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Instance-Id: i-1\r\n"                  \
  "X-Sycamorerudder-Server-Load: 0,0,4,100\r\n"

/* How the backend server answers the health check.  */
struct health_answer
{
  const char *start;
  const char *rest; /* sent again and again; NULL for silence */
  bool usable;      /* the server is used after it */
};

static const struct health_answer health_answers[]
    = { { HEALTH_HEAD "\r\n", "aaaaaaaaaaaaaaaa", true },
        { HEALTH_HEAD "Transfer-Encoding: chunked\r\n\r\n",
          "8\r\naaaaaaaa\r\n", true },
        { HEALTH_HEAD "X: ", "aaaaaaaaaaaaaaaa", false },
        { "", "HTTP/1.1 103 Early Hints\r\n\r\n", false },
        { "", NULL, false } };

#define HEALTH_COUNT (sizeof health_answers / sizeof health_answers[0])

static struct gate_fixture fixtures[HEALTH_COUNT + 5];
static const struct health_answer *health_answer; /* NULL: see below */
static atomic_bool check_ended;
/* Status line and further fields of the answer, and time until it is sent.  */
static const char *_Atomic health_status;
static atomic_int health_delay_ms;
static atomic_int check_count;

static void
server_answer_health (int fd)
{
  const char *rest;
  char byte;

  check_count++;
  if (health_answer == NULL)
    {
      char out[256];

      usleep ((useconds_t)health_delay_ms * 1000);
      snprintf (out, sizeof out,
                "HTTP/1.1 %s\r\nX-Sycamorerudder-Instance-Id: i-1\r\n"
                "X-Sycamorerudder-Server-Load: 0,0,4,100\r\n"
                "Content-Length: 0\r\n\r\n",
                health_status);
      net_send_text (fd, out);
      return;
    }
  rest = health_answer->rest;
  net_send_text (fd, health_answer->start);
  if (rest == NULL)
    (void)!read (fd, &byte, 1);
  else
    while (send (fd, rest, strlen (rest), MSG_NOSIGNAL) > 0)
      ;
  check_ended = true;
}

static void *
server_serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char text[TEXT_BYTES];

  while (gate_fixture_read_request (fd, text, sizeof text))
    {
      if (strstr (text, "GET /health ") != NULL)
        {
          server_answer_health (fd);
          break;
        }
      gate_fixture_answer (fd, text);
    }
  close (fd);
  return NULL;
}

/* Guards against a health check that is read for ever, because the answer of a
   server in trouble never ends or never comes.  What is needed of it is in the
   head.  */
static void
test_endless_health_check (void)
{
  for (unsigned i = 0; i < HEALTH_COUNT; i++)
    {
      struct gate_fixture_opts opts = { .document = gate_fixture_document,
                                        .stop_limit = clk_s (1),
                                        .slots = 4,
                                        .serve = server_serve_connection };
      clk_us start = clk_now ();
      char answer[512];
      int fd;

      health_answer = &health_answers[i];
      check_ended = false;
      gate_fixture_start (&fixtures[i], &opts);
      while (!check_ended && clk_now () < start + CHECK_ENDS_US)
        usleep (20000);
      SUITE_SEEDED (check_ended, i);
      fd = net_connect (fixtures[i].addresses[GATE_PORT_CALLERS]);
      net_send_text (fd, "GET /r/ HTTP/1.1\r\nHost: h\r\n"
                         "Connection: close\r\n"
                         "X-Sycamorerudder-Request-Id: q\r\n\r\n");
      net_read_to_end (fd, answer, sizeof answer);
      SUITE_SEEDED ((strncmp (answer, "HTTP/1.1 200 ", 13) == 0)
                        == health_answer->usable,
                    i);
      gate_shut_down (fixtures[i].gate);
      pthread_join (fixtures[i].gate_thread, NULL);
    }
}

/* Sends one request to the PORT of the gate; returns whether it is answered
   200.  */
static bool
gate_answers_ok (const struct gate_fixture *fixture, enum gate_port port,
                 const char *request)
{
  int fd = net_connect (fixture->addresses[port]);
  char answer[512];

  net_send_text (fd, request);
  net_read_to_end (fd, answer, sizeof answer);
  return strncmp (answer, "HTTP/1.1 200 ", 13) == 0;
}

static const char probe_request[]
    = "GET /r/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
      "X-Sycamorerudder-Request-Id: q\r\n\r\n";

/* Starts a gate whose server answers the health check with STATUS after
   DELAY_MS.  */
static struct gate_fixture *
start_with_health (unsigned number, const char *status, int delay_ms)
{
  struct gate_fixture_opts opts = { .document = gate_fixture_document,
                                    .stop_limit = clk_s (1),
                                    .slots = 4,
                                    .serve = server_serve_connection };
  struct gate_fixture *fixture = &fixtures[HEALTH_COUNT + number];

  health_answer = NULL;
  health_status = status;
  health_delay_ms = delay_ms;
  check_count = 0;
  gate_fixture_start (fixture, &opts);
  return fixture;
}

static void
stop_gate (struct gate_fixture *fixture)
{
  gate_shut_down (fixture->gate);
  pthread_join (fixture->gate_thread, NULL);
}

/* Waits until a request is answered 200, or not any more.  */
static bool
wait_until_served (const struct gate_fixture *fixture, bool served)
{
  clk_us start = clk_now ();

  while (clk_now () < start + CHECK_ENDS_US)
    {
      if (gate_answers_ok (fixture, GATE_PORT_CALLERS, probe_request)
          == served)
        return true;
      usleep (20000);
    }
  return false;
}

/* Sends a heartbeat of server i-1 with the state "ready".  */
static void
send_ready (const struct gate_fixture *fixture, int sequence)
{
  char body[256];
  char call[512];
  int len = snprintf (body, sizeof body,
                      "{\"service\":\"a\",\"address\":\"%s\",\"zone\":\"z\","
                      "\"version\":\"1\",\"slots\":4,\"state\":\"ready\","
                      "\"cold_remaining_s\":0,\"sequence\":%d,"
                      "\"born\":1700000000000}",
                      fixture->server_address, sequence);

  snprintf (call, sizeof call,
            "POST /-/Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: n\r\n"
            "Connection: close\r\nContent-Type: application/json\r\n"
            "Content-Length: %d\r\n\r\n%s",
            len, body);
  CU_ASSERT_TRUE (gate_answers_ok (fixture, GATE_PORT_CONTROL, call));
}

/* Guards against a late heartbeat that brings a leaving server back at a node
   that has just started and has forgotten that the server leaves; and against
   a server that stays unused although it passes the check.  */
static void
test_late_heartbeat_of_leaving_server (void)
{
  struct gate_fixture *fixture
      = start_with_health (1, "503 Service Unavailable", 0);

  while (check_count == 0)
    usleep (1000);
  usleep (100000);
  send_ready (fixture, 7);
  usleep (200000);
  CU_ASSERT_FALSE (
      gate_answers_ok (fixture, GATE_PORT_CALLERS, probe_request));
  CU_ASSERT_EQUAL (check_count, 2);
  health_status = "200 OK";
  send_ready (fixture, 8);
  CU_ASSERT_TRUE (wait_until_served (fixture, true));
  stop_gate (fixture);
}

/* Guards against the same where the heartbeat comes before the answer to the
   health check; a check that is refused for lack of a slot does not count.  */
static void
test_late_heartbeat_before_check (void)
{
  struct gate_fixture *fixture
      = start_with_health (2, "503 Service Unavailable", 500);

  send_ready (fixture, 7);
  CU_ASSERT_TRUE (wait_until_served (fixture, true));
  CU_ASSERT_TRUE (wait_until_served (fixture, false));
  health_status = "503 Full\r\nX-Sycamorerudder-Not-Executed: 1";
  health_delay_ms = 0;
  send_ready (fixture, 8);
  usleep (200000);
  CU_ASSERT_FALSE (
      gate_answers_ok (fixture, GATE_PORT_CALLERS, probe_request));
  CU_ASSERT_EQUAL (check_count, 2);
  stop_gate (fixture);
}

/* Guards against a deregistration that is acknowledged although the server
   goes on getting requests: the gate knows the server from the health check,
   without its start time.  */
static void
test_deregistration_after_check (void)
{
  struct gate_fixture_opts opts = { .document = gate_fixture_document,
                                    .stop_limit = clk_s (1),
                                    .slots = 4,
                                    .serve = server_serve_connection };
  struct gate_fixture *fixture = &fixtures[HEALTH_COUNT];
  clk_us start = clk_now ();
  static const char deregister[]
      = "POST /-/Instances.Deregister/i-1 HTTP/1.1\r\nHost: n\r\n"
        "Connection: close\r\nContent-Type: application/json\r\n"
        "Content-Length: 22\r\n\r\n{\"born\":1700000000000}";

  health_answer = &health_answers[0];
  gate_fixture_start (fixture, &opts);
  while (!gate_answers_ok (fixture, GATE_PORT_CALLERS, probe_request)
         && clk_now () < start + CHECK_ENDS_US)
    usleep (20000);
  CU_ASSERT_TRUE (gate_answers_ok (fixture, GATE_PORT_CALLERS, probe_request));
  CU_ASSERT_TRUE (gate_answers_ok (fixture, GATE_PORT_CONTROL, deregister));
  CU_ASSERT_FALSE (
      gate_answers_ok (fixture, GATE_PORT_CALLERS, probe_request));
  gate_shut_down (fixture->gate);
  pthread_join (fixture->gate_thread, NULL);
}

/* Guards against a health check that counts as answered by a status that is
   none: such bytes tell neither that the server is well nor that it leaves. */
static void
test_health_status_out_of_range (void)
{
  static const char *const statuses[] = { "0200 OK", "000 Unknown" };

  for (unsigned i = 0; i < 2; i++)
    {
      struct gate_fixture *fixture = start_with_health (3 + i, statuses[i], 0);

      while (check_count == 0)
        usleep (1000);
      usleep (100000);
      SUITE_SEEDED (
          !gate_answers_ok (fixture, GATE_PORT_CALLERS, probe_request), i);
      send_ready (fixture, 7);
      SUITE_SEEDED (wait_until_served (fixture, true), i);
      SUITE_SEEDED (check_count == 1, i);
      stop_gate (fixture);
    }
}

int
main (void)
{
  static const struct suite_test tests[] = {
    { "health check without end", test_endless_health_check },
    { "deregistration after the check", test_deregistration_after_check },
    { "late heartbeat of a leaving server",
      test_late_heartbeat_of_leaving_server },
    { "late heartbeat before the check", test_late_heartbeat_before_check },
    { "status of the health check out of range",
      test_health_status_out_of_range },
    { NULL, NULL }
  };

  return suite_run ("gate_probe", tests);
}
