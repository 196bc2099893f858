#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"
#include "wire/nodehdr.h"

/* Bytes of a body that trickles in, and the time between two of them: less
   than the idle timeout of 1 s.  */
#define TRICKLE_BYTES 60
#define TRICKLE_PAUSE_US 200000

/* The timeout of the route and the idle timeout are short.  */
static const char document[]
    = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\","
      "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","
      "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":"
      "[[\"r\",\"h\",\"/r/\",\"idempotent\",0.4,0.3,2,null,2,\"a\"]]},"
      "\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"a\",\"/health\","
      "100,\"h1\",false]]},\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":1000000,\"header_timeout_s\":1,"
      "\"idle_timeout_s\":1}}";

static struct gate_fixture fixture;

static void *
server_serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char text[4096];

  while (gate_fixture_read_request (fd, text, sizeof text))
    gate_fixture_answer (fd, text);
  close (fd);
  return NULL;
}

static void
start_gate (void)
{
  struct gate_fixture_opts opts = { .document = document,
                                    .stop_limit = clk_s (3),
                                    .slots = 4,
                                    .serve = server_serve_connection };

  gate_fixture_start (&fixture, &opts);
  usleep (200000);
}

/* Sends HEAD, then its body byte by byte, which does not come to its end.
   Expects that the gate ends the connection, and that the answer before that
   begins with STATUS, if it is not NULL.  */
static void
expect_end (enum gate_port port, const char *head, const char *status)
{
  int fd = net_connect (fixture.addresses[port]);
  char text[4096] = "";
  size_t len = 0;
  ssize_t received = -1;

  net_send_text (fd, head);
  for (int i = 0; i < TRICKLE_BYTES && received != 0; i++)
    {
      usleep (TRICKLE_PAUSE_US);
      if (send (fd, "b", 1, MSG_NOSIGNAL) != 1)
        received = 0;
      while (received != 0
             && (received
                 = recv (fd, text + len, sizeof text - 1 - len, MSG_DONTWAIT))
                    > 0)
        len += (size_t)received;
      text[len] = '\0';
    }
  CU_ASSERT_EQUAL (received, 0);
  if (status != NULL)
    CU_ASSERT_EQUAL (strncmp (text, status, strlen (status)), 0);
  close (fd);
}

/* Guards against a connection that is held for good after its request was
   answered, by a body that comes a byte at a time.  */
static void
test_rest_of_an_answered_body (void)
{
  expect_end (GATE_PORT_CALLERS,
              "POST /r/x HTTP/1.1\r\nHost: h\r\n"
              "X-Sycamorerudder-Request-Id: a\r\n"
              "Content-Length: 100000\r\n\r\n",
              "HTTP/1.1 503 ");
}

/* Guards against a body of a call to the control port that is held for good.
 */
static void
test_body_of_a_control_call (void)
{
  expect_end (GATE_PORT_CONTROL,
              "POST /-/Config.Replace HTTP/1.1\r\nHost: n\r\n"
              "Content-Length: 100000\r\n\r\n",
              NULL);
}

/* Guards against a body from another node that is held for good, and against a
   refusal of it that leaves open whether the request has run.  */
static void
test_body_from_a_node (void)
{
  struct nodehdr_request node_request
      = { .service = "a", .timeout_ms = 400, .idempotent = true };
  char field[NODEHDR_TEXT_BYTES];
  char head[512];

  nodehdr_encode_request (&node_request, field);
  snprintf (head, sizeof head,
            "POST /r/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n"
            "X-Sycamorerudder-Deadline-Ms: 400\r\n"
            "X-Sycamorerudder-Request-Id: b\r\n"
            "Content-Length: 100000\r\n\r\n",
            NODEHDR_REQUEST_FIELD, field);
  expect_end (GATE_PORT_NODES, head, "HTTP/1.1 503 ");
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "start", start_gate },
          { "rest of an answered body", test_rest_of_an_answered_body },
          { "body of a control call", test_body_of_a_control_call },
          { "body from a node", test_body_from_a_node },
          { NULL, NULL } };

  return suite_run ("gate_trickle", tests);
}
