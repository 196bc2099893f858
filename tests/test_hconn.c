#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sycamorerudder.h"
#include "tasks/hconn.h"
#include "tests/net.h"
#include "tests/suite.h"

#define CONNECTIONS 2

static const struct httpmsg_names names
    = { .name = { [HTTPMSG_HOST] = "Host" } };
static struct loop *loop;
static struct list lingering;
static struct hconn_windows windows;
static struct hconn conns[CONNECTIONS];
static int client_fds[CONNECTIONS];

static int
handle_head (void *arg, struct httpmsg_head *head)
{
  (void)arg;
  (void)head;
  return SR_OK;
}

static int
handle_body (void *arg, const uint8_t *data, size_t len)
{
  (void)arg;
  (void)data;
  (void)len;
  return SR_OK;
}

static int
handle_end (void *arg)
{
  (void)arg;
  return SR_OK;
}

static void
handle_nothing (struct hconn *conn)
{
  (void)conn;
}

static void
handle_close (struct hconn *conn, enum hconn_end end)
{
  (void)end;
  hconn_close (conn, false);
}

static const struct hconn_events events
    = { .sink = { handle_head, handle_body, handle_end, NULL },
        .connected = handle_nothing,
        .drained = handle_nothing,
        .ended = handle_close,
        .destroy = handle_nothing };

/* Sets up connections in a loop that does not run, so that nothing is read but
   by the calls of a test.  */
static void
start (void)
{
  struct loop_opts loop_opts = { .descriptors_max = 64 };
  struct hconn_opts opts = { .events = &events,
                             .role = HTTPMSG_REQUEST,
                             .names = &names,
                             .header_bytes_max = 4096,
                             .windows = &windows,
                             .lingering = &lingering };
  char address[NET_ADDRESS_BYTES];
  int listener;

  close (net_bind (address));
  listener = hconn_listen (address);
  CU_ASSERT_FATAL (listener >= 0);
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

int
main (void)
{
  static const struct suite_test tests[]
      = { { "close while lingering sends no reset",
            test_close_while_lingering_sends_no_reset },
          { "lingering are listed in order",
            test_lingering_are_listed_in_order },
          { NULL, NULL } };

  return suite_run ("hconn", tests);
}
