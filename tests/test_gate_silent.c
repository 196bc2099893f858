#include <linux/filter.h>
#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

#include "core/clk.h"
#include "core/counter.h"
#include "sycamorerudder.h"
#include "tests/gate_fixture.h"
#include "tests/net.h"
#include "tests/suite.h"

#define TEXT_BYTES 8192
#define DESCRIPTORS_MAX 1024
#define BURST_MAX 18
/* Connections to a backend server, or a node, that a burst leaves idle.  */
#define IDLE_MIN 4
/* Time that the backend servers take, so that the requests of a burst use
   connections of their own.  */
#define WORK_MS 100
/* timeout_s of the routes in the document.  */
#define SHORT_ROUTE_US clk_ms (1200)
/* A request that takes longer has waited on a silent connection.  */
#define SLOW_US clk_ms (400)
/* Interruption after which the kernel repeats a lost segment 1.4 s after it
   was sent first.  */
#define INTERRUPTION_MS 900

static const char document[]
    = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\","
      "\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\","
      "\"priority\",\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":"
      "[[\"r\",\"h\",\"/r/\",\"idempotent\",1.2,1,2,null,2,\"a\"],"
      "[\"o\",\"h\",\"/o/\",\"non_idempotent\",4,2,2,null,2,\"a\"]]},"
      "\"services\":{\"columns\":[\"name\",\"health_path\","
      "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"a\",\"/health\","
      "100,\"h1\",false]]},\"limits\":{\"max_header_bytes\":4096,"
      "\"max_body_bytes\":8000000,\"header_timeout_s\":1,"
      "\"idle_timeout_s\":2}}";

/* Time that a request between nodes has left in the tests that send it
   themselves.  */
#define NODE_TIMEOUT_MS 600
/* idle_timeout_s of the document, and time for the end to arrive.  */
#define IDLE_MAX_US (clk_s (2) + clk_ms (500))
/* Time in which a client expects a connection, and the bound "contact_s" of
   the platform.  */
#define CONNECT_MAX_US clk_s (1)
#define CONTACT_MAX_US clk_s (3)
#define DARK_ROUNDS 6
#define LONG_BODY_BYTES 6000000
/* Time between two bytes of a slow body; six make more than idle_timeout_s and
   less than timeout_s of the route.  */
#define SLOW_BODY_STEP_MS 500
/* A server must not work for longer on a request that nobody waits for.  */
#define ABANDONED_MAX_US clk_ms (500)

static struct gate_fixture fixtures[8];
static unsigned fixture_count;
static atomic_int orders_run;
static atomic_int work_ms;

static void
sleep_ms (long ms)
{
  struct timespec duration = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&duration, NULL);
}

/* When the gate closed the connection of a request that is not answered; 0
   before.  */
static _Atomic clk_us hang_ended_at;

/* Sends a part of an answer that has no length, and resets the connection
   while the gate still sends the request.  */
static void
server_reset_answer (int fd)
{
  struct linger reset = { .l_onoff = 1 };

  net_send_text (fd, "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: l\r\n"
                     "X-Sycamorerudder-Response-Seal: s\r\n\r\npart");
  sleep_ms (200);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

static void *
server_serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char text[TEXT_BYTES] = "";

  while (gate_fixture_read_request (fd, text, sizeof text))
    {
      bool health = strstr (text, "GET /health ") != NULL;
      char id[GATE_FIXTURE_ID_BYTES];
      char out[512];

      if (strstr (text, "/hang ") != NULL)
        {
          (void)!read (fd, text, 1);
          hang_ended_at = clk_now ();
          break;
        }
      orders_run += strncmp (text, "POST /o/", 8) == 0;
      gate_fixture_read_id (text, id);
      sleep_ms (work_ms);
      snprintf (out, sizeof out,
                "HTTP/1.1 200 OK\r\nX-Sycamorerudder-Request-Id: %s\r\n%s"
                "X-Sycamorerudder-Response-Seal: s\r\n"
                "Content-Length: 2\r\n\r\nok",
                id,
                health ? "X-Sycamorerudder-Instance-Id: i-1\r\n"
                         "X-Sycamorerudder-Server-Load: 0,0,16,100\r\n"
                       : "");
      net_send_text (fd, out);
    }
  /* A longer request than TEXT holds.  */
  if (strncmp (text, "POST /o/reset ", 14) == 0)
    server_reset_answer (fd);
  close (fd);
  return NULL;
}

static struct gate_fixture *
start_gates (void)
{
  struct gate_fixture_opts opts = { .document = document,
                                    .stop_limit = clk_s (1),
                                    .slots = 16,
                                    .second = true,
                                    .serve = server_serve_connection };
  struct gate_fixture *fixture = &fixtures[fixture_count++];

  gate_fixture_start (fixture, &opts);
  sleep_ms (300);
  return fixture;
}

static void
stop_gates (struct gate_fixture *fixture)
{
  for (int i = 0; i < 2; i++)
    {
      gate_shut_down (fixture->nodes[i].gate);
      pthread_join (fixture->nodes[i].thread, NULL);
    }
}

/* Whether ADDRESS is the local one of the socket FD.  */
static bool
has_address (int fd, const char *address)
{
  struct sockaddr_in local;
  socklen_t local_len = sizeof local;
  char text[NET_ADDRESS_BYTES];
  char ip[INET_ADDRSTRLEN];

  if (getsockname (fd, (struct sockaddr *)&local, &local_len) != 0
      || local.sin_family != AF_INET)
    return false;
  inet_ntop (AF_INET, &local.sin_addr, ip, sizeof ip);
  snprintf (text, sizeof text, "%s:%u", ip, ntohs (local.sin_port));
  return strcmp (text, address) == 0;
}

/* Whether the socket FD is a connection that was accepted at ADDRESS.  */
static bool
is_accepted_at (int fd, const char *address)
{
  struct sockaddr_in remote;
  socklen_t remote_len = sizeof remote;

  return has_address (fd, address)
         && getpeername (fd, (struct sockaddr *)&remote, &remote_len) == 0;
}

static int
count_accepted (const char *address)
{
  int count = 0;

  for (int fd = 0; fd < DESCRIPTORS_MAX; fd++)
    count += is_accepted_at (fd, address);
  return count;
}

/* Makes all connections silent that were accepted at ADDRESS, or ends that.
   The kernel drops what arrives on them, acknowledgements included; new
   connections work.  Returns their number.  */
static int
set_silent (const char *address, bool silent)
{
  struct sock_filter drop = BPF_STMT (BPF_RET | BPF_K, 0);
  struct sock_fprog filter = { 1, &drop };
  int count = 0;

  for (int fd = 0; fd < DESCRIPTORS_MAX; fd++)
    if (is_accepted_at (fd, address)
        && setsockopt (fd, SOL_SOCKET,
                       silent ? SO_ATTACH_FILTER : SO_DETACH_FILTER, &filter,
                       sizeof filter)
               == 0)
      count++;
  return count;
}

/* Makes a listener at ADDRESS drop each SYN, as a machine without power does,
   or ends that.  */
static void
set_dark (const char *address, bool dark)
{
  struct sock_filter drop = BPF_STMT (BPF_RET | BPF_K, 0);
  struct sock_fprog filter = { 1, &drop };
  int count = 0;

  for (int fd = 0; fd < DESCRIPTORS_MAX; fd++)
    {
      int listening = 0;
      socklen_t len = sizeof listening;

      if (getsockopt (fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &len) == 0
          && listening != 0 && has_address (fd, address)
          && setsockopt (fd, SOL_SOCKET,
                         dark ? SO_ATTACH_FILTER : SO_DETACH_FILTER, &filter,
                         sizeof filter)
                 == 0)
        count++;
    }
  CU_ASSERT_EQUAL (count, 1);
}

struct request
{
  const struct gate_fixture *fixture;
  const char *head; /* method and path */
  int status;
  clk_us duration;
};

/* Sends a request to the first node on a new connection.  */
static void *
send_request (void *arg)
{
  static atomic_uint next_id;
  struct request *request = arg;
  clk_us start = clk_now ();
  char text[TEXT_BYTES];
  int fd = net_connect (request->fixture->addresses[GATE_PORT_CALLERS]);

  snprintf (text, sizeof text,
            "%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            "Content-Length: 0\r\n"
            "X-Sycamorerudder-Request-Id: q%u\r\n"
            "X-Sycamorerudder-Deadline-Ms: 6000\r\n\r\n",
            request->head, ++next_id);
  net_send_text (fd, text);
  net_read_to_end (fd, text, sizeof text);
  request->status = 0;
  sscanf (text, "HTTP/1.1 %d", &request->status);
  request->duration = clk_now () - start;
  return NULL;
}

/* Sends COUNT requests that may be repeated at the same time; all must be
   answered before the timeout of their route.  Returns the number of those
   that have waited on a silent connection.  */
static int
send_repeatable (const struct gate_fixture *fixture, int count)
{
  struct request requests[BURST_MAX];
  pthread_t threads[BURST_MAX];
  int slow_count = 0;

  work_ms = WORK_MS;
  for (int i = 0; i < count; i++)
    {
      requests[i] = (struct request){ .fixture = fixture, .head = "GET /r/" };
      pthread_create (&threads[i], NULL, send_request, &requests[i]);
    }
  for (int i = 0; i < count; i++)
    {
      pthread_join (threads[i], NULL);
      CU_ASSERT_EQUAL (requests[i].status, 200);
      CU_ASSERT_TRUE (requests[i].duration < SHORT_ROUTE_US);
      slow_count += requests[i].duration > SLOW_US;
    }
  work_ms = 0;
  return slow_count;
}

/* Guards against requests that are lost on silent connections to a backend
   server although they may be repeated: the connection is given up later than
   the timeout of the route.  */
static void
test_silent_backend_server (void)
{
  struct gate_fixture *fixture = start_gates ();

  send_repeatable (fixture, BURST_MAX);
  CU_ASSERT_TRUE (set_silent (fixture->nodes[1].server_address, true)
                  >= IDLE_MIN);
  CU_ASSERT_TRUE (send_repeatable (fixture, BURST_MAX) > 0);
  stop_gates (fixture);
}

/* The same for connections to another node.  */
static void
test_silent_node (void)
{
  struct gate_fixture *fixture = start_gates ();

  send_repeatable (fixture, BURST_MAX);
  CU_ASSERT_TRUE (
      set_silent (fixture->nodes[1].addresses[GATE_PORT_NODES], true)
      >= IDLE_MIN);
  CU_ASSERT_TRUE (send_repeatable (fixture, BURST_MAX) > 0);
  stop_gates (fixture);
}

/* Guards against a request that must not run twice and is lost, or runs twice,
   because of a short interruption: when the kernel repeats the lost segment,
   the request runs.  */
static void
test_interrupted_order (void)
{
  struct gate_fixture *fixture = start_gates ();
  struct request order = { .fixture = fixture, .head = "POST /o/" };
  pthread_t thread;

  send_repeatable (fixture, BURST_MAX);
  orders_run = 0;
  for (int i = 0; i < 2; i++)
    CU_ASSERT_TRUE (set_silent (fixture->nodes[i].server_address, true) > 0);
  pthread_create (&thread, NULL, send_request, &order);
  sleep_ms (INTERRUPTION_MS);
  for (int i = 0; i < 2; i++)
    set_silent (fixture->nodes[i].server_address, false);
  pthread_join (thread, NULL);
  CU_ASSERT_EQUAL (order.status, 200);
  CU_ASSERT_EQUAL (orders_run, 1);
  stop_gates (fixture);
}

/* Guards against requests that wait for a node without power, and against a
   node that is not used again, once it is back, before the kernel repeats a
   SYN.  */
static void
test_dark_node (void)
{
  struct gate_fixture *fixture = start_gates ();
  const char *address = fixture->nodes[1].addresses[GATE_PORT_NODES];

  set_dark (address, true);
  for (int round = 0; round < DARK_ROUNDS; round++)
    {
      struct request order = { .fixture = fixture, .head = "POST /o/" };

      send_repeatable (fixture, BURST_MAX);
      send_request (&order);
      CU_ASSERT_EQUAL (order.status, 200);
      CU_ASSERT_TRUE (order.duration < CONNECT_MAX_US);
      sleep_ms (500);
    }
  CU_ASSERT_EQUAL (count_accepted (address), 0);
  set_dark (address, false);
  for (clk_us start = clk_now ();
       count_accepted (address) == 0 && clk_now () < start + CONTACT_MAX_US;)
    send_repeatable (fixture, BURST_MAX);
  CU_ASSERT_TRUE (count_accepted (address) > 0);
  stop_gates (fixture);
}

/* Guards against slots of a backend server that are held by requests for which
   nobody waits, because the connection to the node that sent them is silent
   and its end is not noticed.  */
static void
test_silent_sender (void)
{
  struct gate_fixture *fixture = start_gates ();
  clk_us start = clk_now ();
  char text[512];
  int fd = net_connect (fixture->addresses[GATE_PORT_NODES]);

  hang_ended_at = 0;
  snprintf (text, sizeof text,
            "GET /r/hang HTTP/1.1\r\nHost: h\r\n"
            "X-Sycamorerudder-Request-Id: s\r\n"
            "X-Sycamorerudder-Deadline-Ms: 6000\r\n"
            "Rudder-Request: a 50 %d 0 0 1 1 0 0\r\n\r\n",
            NODE_TIMEOUT_MS);
  net_send_text (fd, text);
  while (hang_ended_at == 0 && clk_now () < start + clk_s (5))
    sleep_ms (10);
  CU_ASSERT_TRUE (hang_ended_at >= start + clk_ms (NODE_TIMEOUT_MS));
  CU_ASSERT_TRUE (hang_ended_at
                  < start + clk_ms (NODE_TIMEOUT_MS) + ABANDONED_MAX_US);
  close (fd);
  stop_gates (fixture);
}

/* A request whose sender falls silent after a part of the body.  */
struct half_request
{
  enum gate_port port;
  const char *head;
};

static const struct half_request half_requests[]
    = { { GATE_PORT_CALLERS, "POST /o/ HTTP/1.1\r\nHost: h\r\n"
                             "X-Sycamorerudder-Deadline-Ms: 6000\r\n" },
        { GATE_PORT_NODES, "POST /o/ HTTP/1.1\r\nHost: h\r\n"
                           "X-Sycamorerudder-Deadline-Ms: 6000\r\n"
                           "Rudder-Request: a 50 600 0 0 1 0 0 0\r\n" },
        { GATE_PORT_CONTROL, "POST /-/Config.Replace HTTP/1.1\r\nHost: h\r\n"
                             "X-Sycamorerudder-Base-Version: r0\r\n" } };

/* Guards against connections that are kept for ever, with what they hold,
   because their other end has fallen silent within the body of a request.  */
static void
test_half_requests (void)
{
  struct gate_fixture *fixture = start_gates ();

  for (unsigned i = 0; i < sizeof half_requests / sizeof half_requests[0]; i++)
    {
      const struct half_request *half = &half_requests[i];
      struct timeval timeout = { .tv_sec = 6 };
      clk_us start = clk_now ();
      int fd = net_connect (fixture->addresses[half->port]);
      char text[512];

      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
      net_send_text (fd, half->head);
      net_send_text (fd, "X-Sycamorerudder-Request-Id: p\r\n"
                         "Content-Length: 100\r\n\r\npart");
      net_read_to_end (fd, text, sizeof text);
      CU_ASSERT_TRUE (clk_now () - start < IDLE_MAX_US);
    }
  stop_gates (fixture);
}

/* Guards against a body that is taken for silent although it arrives, slower
   than the timeout as a whole.  */
static void
test_slow_body (void)
{
  struct gate_fixture *fixture = start_gates ();
  int fd = net_connect (fixture->addresses[GATE_PORT_CALLERS]);
  char text[TEXT_BYTES];

  net_send_text (fd, "POST /o/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                     "X-Sycamorerudder-Request-Id: b\r\n"
                     "X-Sycamorerudder-Deadline-Ms: 6000\r\n"
                     "Content-Length: 6\r\n\r\n");
  for (int i = 0; i < 6; i++)
    {
      sleep_ms (SLOW_BODY_STEP_MS);
      net_send_text (fd, "b");
    }
  net_read_to_end (fd, text, sizeof text);
  CU_ASSERT_TRUE (strncmp (text, "HTTP/1.1 200 ", 13) == 0);
  stop_gates (fixture);
}

/* Guards against a part of an answer that is taken for the whole, because the
   end of the connection shows in a write, and looks orderly in the next read;
   the same holds when the connection is silent.  */
static void
test_reset_while_sending (void)
{
  struct gate_fixture *fixture = start_gates ();
  int receive_bytes = 4096;
  char *body = calloc (1, LONG_BODY_BYTES + 1);
  char text[TEXT_BYTES];
  int fd = net_connect (fixture->addresses[GATE_PORT_CALLERS]);

  /* So small that the gate cannot send all of the request.  */
  for (int i = 0; i < 2; i++)
    setsockopt (fixture->nodes[i].server_listener, SOL_SOCKET, SO_RCVBUF,
                &receive_bytes, sizeof receive_bytes);
  memset (body, 'b', LONG_BODY_BYTES);
  snprintf (text, sizeof text,
            "POST /o/reset HTTP/1.1\r\nHost: h\r\n"
            "X-Sycamorerudder-Request-Id: l\r\n"
            "X-Sycamorerudder-Deadline-Ms: 6000\r\n"
            "Content-Length: %d\r\n\r\n",
            LONG_BODY_BYTES);
  net_send_text (fd, text);
  net_send_text (fd, body);
  net_read_to_end (fd, text, sizeof text);
  CU_ASSERT_PTR_NULL (strstr (text, "HTTP/1.1 200 "));
  free (body);
  stop_gates (fixture);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "silent connections to a backend server",
            test_silent_backend_server },
          { "silent connections to a node", test_silent_node },
          { "order during an interruption", test_interrupted_order },
          { "node without power", test_dark_node },
          { "silent connection from a node", test_silent_sender },
          { "silence within a body", test_half_requests },
          { "slow body", test_slow_body },
          { "reset while a request is sent", test_reset_while_sending },
          { NULL, NULL } };

  return suite_run ("gate_silent", tests);
}
