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
#define WAIT_MAX_US clk_s (6)

/* The backend server: a request for /r/crash ends it, with its listener; one
   for /r/drop ends the connection only.  */
static struct gate_fixture fixtures[4];
static struct gate_fixture *fixture;
static atomic_int crash_count;
static atomic_bool crash_answers; /* /r/crash is answered instead */

static void *
server_serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char text[TEXT_BYTES];

  while (gate_fixture_read_request (fd, text, sizeof text))
    {
      if (strstr (text, "GET /r/crash") != NULL)
        {
          crash_count++;
          if (!crash_answers)
            {
              shutdown (fixture->nodes[0].server_listener, SHUT_RDWR);
              close (fixture->nodes[0].server_listener);
              break;
            }
        }
      if (strstr (text, "GET /r/drop") != NULL)
        break;
      gate_fixture_answer (fd, text);
    }
  close (fd);
  return NULL;
}

/* Sends a request for PATH; returns the status and, in RETRY_AFTER_S, the
   Retry-After of the answer.  */
static int
send_request (const char *path, double *retry_after_s)
{
  int fd = net_connect (fixture->addresses[GATE_PORT_CALLERS]);
  char request[256];
  char answer[1024] = "";
  const char *field;
  int status = 0;

  snprintf (request, sizeof request,
            "GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            "X-Sycamorerudder-Request-Id: q\r\n\r\n",
            path);
  net_send_text (fd, request);
  net_read_to_end (fd, answer, sizeof answer);
  sscanf (answer, "HTTP/1.1 %d", &status);
  field = strstr (answer, "Retry-After: ");
  *retry_after_s
      = field == NULL ? 0 : strtod (field + strlen ("Retry-After: "), NULL);
  return status;
}

static bool
wait_for_status (const char *path, int status)
{
  clk_us start = clk_now ();
  double retry_after_s;

  while (clk_now () < start + WAIT_MAX_US)
    {
      if (send_request (path, &retry_after_s) == status)
        return true;
      usleep (20000);
    }
  return false;
}

static void
start (int number)
{
  struct gate_fixture_opts opts = { .document = gate_fixture_document,
                                    .stop_limit = clk_s (1),
                                    .slots = 4,
                                    .serve = server_serve_connection };

  crash_count = 0;
  crash_answers = false;
  fixture = &fixtures[number];
  gate_fixture_start (fixture, &opts);
  CU_ASSERT_TRUE_FATAL (wait_for_status ("/r/1", 200));
}

static void
stop (void)
{
  gate_shut_down (fixture->gate);
  pthread_join (fixture->gate_thread, NULL);
}

/* Returns the next crash marks or clears that the gate reports within
   WAIT_MAX_US, or NULL.  */
static struct msg *
next_marks (clk_us wait)
{
  clk_us end = clk_now () + wait;
  struct list messages;

  list_init (&messages);
  while (clk_now () < end)
    {
      struct list_node *node;
      struct msg *found = NULL;

      inbox_drain_until (fixture->nodes[0].control, end, &messages);
      while ((node = list_pop_head (&messages)) != NULL)
        {
          struct msg *msg = list_entry (node, struct msg, node);

          if (msg->kind == MSG_CRASH_MARKS && found == NULL)
            found = msg;
          else
            msg_free (msg);
        }
      if (found != NULL)
        return found;
    }
  return NULL;
}

/* Passes a mark of SERVER, or a clear, for FINGERPRINT to the gate, as the
   control task does.  */
static void
import_mark (uint64_t fingerprint, const char *server)
{
  struct msg *msg = msg_new (MSG_CRASH_MARKS);
  struct quarantine_mark *mark = calloc (1, sizeof *mark);

  mark->fingerprint = fingerprint;
  snprintf (mark->instance, sizeof mark->instance, "%s", server);
  list_push_tail (&msg->u.items, &mark->node);
  inbox_put (gate_inbox (fixture->gate), msg);
}

/* Guards against a request that crashes servers and is passed on each time it
   comes again: the gate marks it, other nodes' marks count, and with three of
   them it reaches no server.  */
static void
test_crashing_request (void)
{
  const struct quarantine_mark *mark;
  struct msg *msg;
  double retry_after_s;
  uint64_t fingerprint;

  start (0);
  CU_ASSERT_EQUAL (send_request ("/r/crash", &retry_after_s), 502);
  /* The next connection is refused, so the server is lost.  */
  CU_ASSERT_EQUAL (send_request ("/r/1", &retry_after_s), 503);
  msg = next_marks (WAIT_MAX_US);
  CU_ASSERT_PTR_NOT_NULL_FATAL (msg);
  mark = list_entry (list_first (&msg->u.items), struct quarantine_mark, node);
  CU_ASSERT_STRING_NOT_EQUAL (mark->instance, "");
  fingerprint = mark->fingerprint;
  msg_free (msg);
  import_mark (fingerprint, "server-2");
  import_mark (fingerprint, "server-3");
  usleep (200000);
  CU_ASSERT_EQUAL (send_request ("/r/crash", &retry_after_s), 503);
  CU_ASSERT_TRUE (retry_after_s > 200);
  CU_ASSERT_EQUAL (crash_count, 1);
  stop ();
}

/* Guards against marks for requests of a server that is alive: only their
   connections have ended.  */
static void
test_dropped_connection (void)
{
  double retry_after_s;

  start (1);
  CU_ASSERT_EQUAL (send_request ("/r/drop", &retry_after_s), 502);
  CU_ASSERT_EQUAL (send_request ("/r/1", &retry_after_s), 200);
  CU_ASSERT_PTR_NULL (next_marks (clk_ms (500)));
  stop ();
}

/* Guards against a harmless request that stays quarantined elsewhere: its
   answer is reported to the other nodes.  */
static void
test_answered_request (void)
{
  const struct quarantine_mark *mark;
  struct suspects_identity identity = { .caller = "a",
                                        .target = "h",
                                        .method = "GET",
                                        .path = "/r/2",
                                        .body_hash = 0 };
  uint64_t fingerprint = suspects_fingerprint (&identity);
  struct msg *msg;
  double retry_after_s;

  start (2);
  import_mark (fingerprint, "server-2");
  import_mark (fingerprint, "server-3");
  usleep (200000);
  CU_ASSERT_EQUAL (send_request ("/r/2", &retry_after_s), 200);
  msg = next_marks (WAIT_MAX_US);
  CU_ASSERT_PTR_NOT_NULL_FATAL (msg);
  mark = list_entry (list_first (&msg->u.items), struct quarantine_mark, node);
  CU_ASSERT_EQUAL (mark->fingerprint, fingerprint);
  CU_ASSERT_STRING_EQUAL (mark->instance, "");
  msg_free (msg);
  stop ();
}

/* Guards against a quarantine that an answer at another node does not end.  */
static void
test_cleared_elsewhere (void)
{
  struct suspects_identity identity = { .caller = "a",
                                        .target = "h",
                                        .method = "GET",
                                        .path = "/r/crash",
                                        .body_hash = 0 };
  uint64_t fingerprint = suspects_fingerprint (&identity);

  start (3);
  crash_answers = true;
  import_mark (fingerprint, "server-2");
  import_mark (fingerprint, "server-3");
  import_mark (fingerprint, "server-4");
  CU_ASSERT_TRUE (wait_for_status ("/r/crash", 503));
  import_mark (fingerprint, "");
  CU_ASSERT_TRUE (wait_for_status ("/r/crash", 200));
  stop ();
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "crashing request", test_crashing_request },
          { "dropped connection", test_dropped_connection },
          { "answered request", test_answered_request },
          { "cleared elsewhere", test_cleared_elsewhere },
          { NULL, NULL } };

  return suite_run ("gate_crash", tests);
}
