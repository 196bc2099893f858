#include <linux/sockios.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/hconn_fixture.h"
#include "tests/suite.h"

#define CONNECTIONS 2
/* A long answer, and the part of it that a client reads at a time and in all.
 */
#define ANSWER_BYTES (32 * 1024 * 1024)
#define PART_BYTES (64 * 1024)
#define PARTS 200

static struct loop *loop;
static struct list lingering;
static struct hconn_windows windows;
static struct hconn conns[CONNECTIONS];
static int client_fds[CONNECTIONS];

static int
handle_body (void *arg, const uint8_t *data, size_t len)
{
  (void)arg;
  (void)data;
  (void)len;
  return SR_OK;
}

static void
handle_close (struct hconn *conn, enum hconn_end end)
{
  (void)end;
  hconn_close (conn, false);
}

static const struct hconn_events events
    = { .sink = { hconn_fixture_handle_head, handle_body,
                  hconn_fixture_handle_end, NULL },
        .connected = hconn_fixture_handle_nothing,
        .drained = hconn_fixture_handle_nothing,
        .ended = handle_close,
        .destroy = hconn_fixture_handle_nothing };

/* Sets up connections in a loop that does not run, so that nothing is read but
   by the calls of a test.  */
static void
start (void)
{
  struct loop_opts loop_opts = { .descriptors_max = 64 };
  struct hconn_opts opts = { .events = &events,
                             .role = HTTPMSG_REQUEST,
                             .names = &hconn_fixture_names,
                             .header_bytes_max = 4096,
                             .windows = &windows,
                             .lingering = &lingering };
  char address[NET_ADDRESS_BYTES];
  int listener = hconn_fixture_listen (address);

  loop = loop_new (&loop_opts);
  CU_ASSERT_PTR_NOT_NULL_FATAL (loop);
  opts.loop = loop;
  list_init (&lingering);
  windows = (struct hconn_windows){ .wide_max = 1 };
  for (int i = 0; i < CONNECTIONS; i++)
    {
      client_fds[i] = net_connect (address);
      CU_ASSERT_EQUAL_FATAL (
          hconn_adopt (&conns[i], &opts, hconn_accept (listener)), SR_OK);
    }
  close (listener);
}

static void
stop (void)
{
  for (int i = 0; i < CONNECTIONS; i++)
    {
      hconn_close (&conns[i], false);
      close (client_fds[i]);
      loop_cancel_timer (&conns[i].close_timer);
      httpmsg_fini (&conns[i].parser);
      buf_free (&conns[i].send_buf);
    }
  loop_free (loop);
}

static void
answer_and_linger (struct hconn *conn)
{
  buf_append (&conn->send_buf, "answer", 6);
  hconn_flush_and_close (conn);
}

/* Guards against an answer that is lost to a reset, because the connection is
   closed before its lingering ends and bytes of the peer are unread.  */
static void
test_close_while_lingering_sends_no_reset (void)
{
  char text[16];
  int error = 0;
  socklen_t len = sizeof error;

  start ();
  answer_and_linger (&conns[0]);
  net_send_text (client_fds[0], "rest of a body");
  hconn_close (&conns[0], false);
  CU_ASSERT_EQUAL (
      getsockopt (client_fds[0], SOL_SOCKET, SO_ERROR, &error, &len), 0);
  CU_ASSERT_EQUAL (error, 0);
  CU_ASSERT_EQUAL (read (client_fds[0], text, sizeof text), 6);
  CU_ASSERT_EQUAL (read (client_fds[0], text, sizeof text), 0);
  stop ();
}

/* Guards against an owner that closes a connection which began to linger later
   than another one, or one that is closed.  */
static void
test_lingering_are_listed_in_order (void)
{
  start ();
  answer_and_linger (&conns[1]);
  answer_and_linger (&conns[0]);
  CU_ASSERT_PTR_EQUAL (list_first (&lingering), &conns[1].linger_node);
  CU_ASSERT_PTR_EQUAL (list_last (&lingering), &conns[0].linger_node);
  hconn_close (&conns[1], false);
  CU_ASSERT_PTR_EQUAL (list_first (&lingering), &conns[0].linger_node);
  hconn_close (&conns[0], false);
  CU_ASSERT_TRUE (list_empty (&lingering));
  stop ();
}

/* Guards against as much memory of the kernel as it is willing to take for
   answers that clients no longer read, after it has found that they read fast.
   */
static void
test_unsent_is_bounded (void)
{
  static uint8_t part[PART_BYTES];
  uint8_t *answer = calloc (1, ANSWER_BYTES);
  int unsent = -1;

  CU_ASSERT_PTR_NOT_NULL_FATAL (answer);
  start ();
  buf_append (&conns[0].send_buf, answer, ANSWER_BYTES);
  for (int i = 0; i < PARTS; i++)
    {
      hconn_flush (&conns[0]);
      CU_ASSERT_TRUE (read (client_fds[0], part, sizeof part) > 0);
    }
  hconn_flush (&conns[0]);
  CU_ASSERT_EQUAL (ioctl (conns[0].io.fd, SIOCOUTQNSD, &unsent), 0);
  CU_ASSERT_TRUE (unsent <= HCONN_LOW_WATER_BYTES + HCONN_HIGH_WATER_BYTES);
  CU_ASSERT_TRUE (conns[0].send_buf.len > 0);
  stop ();
  free (answer);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "close while lingering sends no reset",
            test_close_while_lingering_sends_no_reset },
          { "lingering are listed in order",
            test_lingering_are_listed_in_order },
          { "unsent bytes are bounded", test_unsent_is_bounded },
          { NULL, NULL } };

  return suite_run ("hconn", tests);
}
