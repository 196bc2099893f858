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

static const char document[]
    = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\","
      "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","
      "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":"
      "[[\"r\",\"h\",\"/r/\",\"idempotent\",2,2,2,null,2,\"a\"]]},"
      "\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"a\",\"/health\","
      "100,\"h1\",false]]},\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":1000000,\"header_timeout_s\":3,"
      "\"idle_timeout_s\":15}}";

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

static struct gate_fixture fixtures[HEALTH_COUNT + 1];
static const struct health_answer *health_answer;
static atomic_bool check_ended;

static void
server_answer_health (int fd)
{
  const char *rest = health_answer->rest;
  char byte;

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
      char id[64] = "";
      char *id_field = strstr (text, "X-Sycamorerudder-Request-Id: ");
      char out[256];

      if (strstr (text, "GET /health ") != NULL)
        {
          server_answer_health (fd);
          break;
        }
      if (id_field != NULL)
        sscanf (id_field, "X-Sycamorerudder-Request-Id: %63s", id);
      snprintf (out, sizeof out,
                "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: %s\r\n"
                "X-Sycamorerudder-Response-Seal: s\r\n"
                "Content-Length: 2\r\n\r\nok",
                id);
      net_send_text (fd, out);
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
      struct gate_fixture_opts opts = { .document = document,
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

/* Guards against a deregistration that is acknowledged although the server
   goes on getting requests: the gate knows the server from the health check,
   without its start time.  */
static void
test_deregistration_after_check (void)
{
  struct gate_fixture_opts opts = { .document = document,
                                    .stop_limit = clk_s (1),
                                    .slots = 4,
                                    .serve = server_serve_connection };
  struct gate_fixture *fixture = &fixtures[HEALTH_COUNT];
  clk_us start = clk_now ();
  static const char request[]
      = "GET /r/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "X-Sycamorerudder-Request-Id: q\r\n\r\n";
  static const char deregister[]
      = "POST /-/Instances.Deregister/i-1 HTTP/1.1\r\nHost: n\r\n"
        "Connection: close\r\nContent-Type: application/json\r\n"
        "Content-Length: 22\r\n\r\n{\"born\":1700000000000}";

  health_answer = &health_answers[0];
  gate_fixture_start (fixture, &opts);
  while (!gate_answers_ok (fixture, GATE_PORT_CALLERS, request)
         && clk_now () < start + CHECK_ENDS_US)
    usleep (20000);
  CU_ASSERT_TRUE (gate_answers_ok (fixture, GATE_PORT_CALLERS, request));
  CU_ASSERT_TRUE (gate_answers_ok (fixture, GATE_PORT_CONTROL, deregister));
  CU_ASSERT_FALSE (gate_answers_ok (fixture, GATE_PORT_CALLERS, request));
  gate_shut_down (fixture->gate);
  pthread_join (fixture->gate_thread, NULL);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "health check without end", test_endless_health_check },
          { "deregistration after the check",
            test_deregistration_after_check },
          { NULL, NULL } };

  return suite_run ("gate_probe", tests);
}
