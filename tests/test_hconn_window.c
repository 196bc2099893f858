#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clk.h"
#include "tests/hconn_fixture.h"
#include "tests/suite.h"

#define CONNECTIONS 3
#define WIDE_MAX 2
/* More than the kernel keeps for any connection without a bound.  */
#define BODY_BYTES (64 * 1024 * 1024)
/* A body that is long enough for a wide receive buffer.  */
#define LONG_BYTES (2 * HCONN_NARROW_BYTES)
#define WAIT_US clk_s (10)
/* Time without a write after which the other side reads no more.  */
#define FULL_US clk_ms (300)
/* Bodies that come in turn on all connections.  */
#define TURNS 12
#define TURN_BYTES 60000

/* One side of the loop under test.  */
struct server_conn
{
  struct hconn conn;
  int fd; /* of @conn */
  atomic_bool pause;
  atomic_bool paused;
  atomic_size_t body_bytes;
  atomic_bool closed;
};

static struct loop *loop;
static struct hconn_windows windows;
static struct server_conn server_conns[CONNECTIONS];
static int client_fds[CONNECTIONS];
static pthread_t loop_thread;
static atomic_bool stopping;

static struct server_conn *
server_conn_of (void *arg)
{
  return list_entry ((struct hconn *)arg, struct server_conn, conn);
}

static int
handle_body (void *arg, const uint8_t *data, size_t len)
{
  struct server_conn *server = server_conn_of (arg);

  (void)data;
  atomic_fetch_add (&server->body_bytes, len);
  if (atomic_load (&server->pause))
    {
      loop_pause_reading (&server->conn.io, true);
      atomic_store (&server->paused, true);
    }
  return SR_OK;
}

static void
handle_close (struct hconn *conn, enum hconn_end end)
{
  (void)end;
  hconn_close (conn, false);
  atomic_store (&server_conn_of (conn)->closed, true);
}

static const struct hconn_events events
    = { .sink = { hconn_fixture_handle_head, handle_body,
                  hconn_fixture_handle_end, NULL },
        .connected = hconn_fixture_handle_nothing,
        .drained = hconn_fixture_handle_nothing,
        .ended = handle_close,
        .destroy = hconn_fixture_handle_nothing };

static void
handle_wake (void *arg)
{
  (void)arg;
  if (atomic_load (&stopping))
    loop_stop (loop);
}

static void *
run_loop (void *arg)
{
  (void)arg;
  loop_run (loop);
  return NULL;
}

static void
sleep_us (clk_us us)
{
  usleep ((useconds_t)us);
}

static int
client_connect (const char *address)
{
  int fd = net_connect (address);

  CU_ASSERT_EQUAL_FATAL (fcntl (fd, F_SETFL, O_NONBLOCK), 0);
  return fd;
}

/* Writes until the other side takes no more for PATIENCE or LEN bytes are
   written; returns how many were.  */
static size_t
client_write (int fd, size_t len, clk_us patience)
{
  static const char block[64 * 1024];
  clk_us written_at = clk_now ();
  size_t written = 0;

  while (written < len && clk_now () < written_at + patience)
    {
      size_t part
          = len - written < sizeof block ? len - written : sizeof block;
      ssize_t done = write (fd, block, part);

      if (done > 0)
        {
          written += (size_t)done;
          written_at = clk_now ();
        }
      else
        sleep_us (clk_ms (1));
    }
  return written;
}

/* Writes LEN bytes of a body and waits until the loop has read them.  */
static void
client_write_read (int i, size_t len)
{
  size_t expected = atomic_load (&server_conns[i].body_bytes) + len;
  clk_us end = clk_now () + WAIT_US;

  CU_ASSERT_EQUAL (client_write (client_fds[i], len, WAIT_US), len);
  while (atomic_load (&server_conns[i].body_bytes) < expected
         && clk_now () < end)
    sleep_us (clk_ms (1));
  CU_ASSERT_EQUAL (atomic_load (&server_conns[i].body_bytes), expected);
}

static void
client_write_head (int fd, size_t body_len)
{
  char text[128];

  snprintf (text, sizeof text,
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n",
            body_len);
  CU_ASSERT_EQUAL_FATAL (write (fd, text, strlen (text)),
                         (ssize_t)strlen (text));
}

static int
unread_bytes (int fd)
{
  int unread = -1;

  CU_ASSERT_EQUAL (ioctl (fd, FIONREAD, &unread), 0);
  return unread;
}

static bool
is_wide (const struct server_conn *server)
{
  int bytes = 0;
  socklen_t len = sizeof bytes;

  getsockopt (server->fd, SOL_SOCKET, SO_RCVBUF, &bytes, &len);
  return bytes > 2 * HCONN_NARROW_BYTES;
}

/* Whether SERVER gets a wide receive buffer in time.  */
static bool
becomes_wide (const struct server_conn *server)
{
  clk_us end = clk_now () + WAIT_US;

  while (!is_wide (server) && clk_now () < end)
    sleep_us (clk_ms (1));
  return is_wide (server);
}

static bool
becomes_closed (const struct server_conn *server)
{
  clk_us end = clk_now () + WAIT_US;

  while (!atomic_load (&server->closed) && clk_now () < end)
    sleep_us (clk_ms (1));
  return atomic_load (&server->closed);
}

/* Starts a loop that serves CONNECTIONS clients.  */
static void
start (void)
{
  struct loop_opts loop_opts
      = { .on_wake = handle_wake, .descriptors_max = 64 };
  struct hconn_opts opts = { .events = &events,
                             .role = HTTPMSG_REQUEST,
                             .names = &hconn_fixture_names,
                             .header_bytes_max = 4096,
                             .windows = &windows };
  char address[NET_ADDRESS_BYTES];
  int listener = hconn_fixture_listen (address);

  loop = loop_new (&loop_opts);
  CU_ASSERT_PTR_NOT_NULL_FATAL (loop);
  opts.loop = loop;
  atomic_store (&stopping, false);
  windows = (struct hconn_windows){ .wide_max = WIDE_MAX };
  memset (server_conns, 0, sizeof server_conns);
  for (int i = 0; i < CONNECTIONS; i++)
    {
      client_fds[i] = client_connect (address);
      server_conns[i].fd = hconn_accept (listener);
      CU_ASSERT_EQUAL_FATAL (
          hconn_adopt (&server_conns[i].conn, &opts, server_conns[i].fd),
          SR_OK);
    }
  close (listener);
  pthread_create (&loop_thread, NULL, run_loop, NULL);
}

static void
stop (void)
{
  atomic_store (&stopping, true);
  loop_wake (loop);
  pthread_join (loop_thread, NULL);
  loop_free (loop);
  for (int i = 0; i < CONNECTIONS; i++)
    {
      close (client_fds[i]);
      httpmsg_fini (&server_conns[i].conn.parser);
    }
}

/* Guards against memory of the kernel without a bound for connections that the
   process has not accepted yet.  */
static void
test_unread_before_accept_is_bounded (void)
{
  char address[NET_ADDRESS_BYTES];
  int listener = hconn_fixture_listen (address);
  int client;
  int fd;

  client = client_connect (address);
  client_write (client, BODY_BYTES, FULL_US);
  fd = hconn_accept (listener);
  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT (unread_bytes (fd) > 0);
  CU_ASSERT (unread_bytes (fd) <= 2 * HCONN_NARROW_BYTES);
  close (fd);
  close (client);
  close (listener);
}

/* Guards against the same for a connection whose reading is paused after the
   kernel has found that it is read fast.  */
static void
test_unread_while_paused_is_bounded (void)
{
  clk_us end = clk_now () + WAIT_US;

  start ();
  client_write_head (client_fds[0], 2 * BODY_BYTES);
  CU_ASSERT_EQUAL (client_write (client_fds[0], BODY_BYTES, WAIT_US),
                   BODY_BYTES);
  CU_ASSERT (becomes_wide (&server_conns[0]));
  atomic_store (&server_conns[0].pause, true);
  while (!atomic_load (&server_conns[0].paused) && clk_now () < end)
    client_write (client_fds[0], 1, FULL_US);
  CU_ASSERT (client_write (client_fds[0], BODY_BYTES, FULL_US) < BODY_BYTES);
  CU_ASSERT (unread_bytes (server_conns[0].fd) <= 2 * HCONN_WIDE_BYTES);
  stop ();
}

/* Guards against more wide receive buffers than there may be, and against one
   that is not given back at the end of its connection.  */
static void
test_wide_are_counted (void)
{
  start ();
  for (int i = 0; i < WIDE_MAX; i++)
    {
      client_write_head (client_fds[i], 2 * LONG_BYTES);
      client_write_read (i, 2 * LONG_BYTES);
      CU_ASSERT (becomes_wide (&server_conns[i]));
    }
  client_write_head (client_fds[WIDE_MAX], 3 * LONG_BYTES);
  client_write_read (WIDE_MAX, LONG_BYTES);
  CU_ASSERT_FALSE (is_wide (&server_conns[WIDE_MAX]));
  close (client_fds[0]);
  client_fds[0] = -1;
  CU_ASSERT (becomes_closed (&server_conns[0]));
  client_write_read (WIDE_MAX, LONG_BYTES);
  CU_ASSERT (becomes_wide (&server_conns[WIDE_MAX]));
  stop ();
}

/* An announced long body gets a wide receive buffer before it comes, so that
   it does not wait for another round trip.  */
static void
test_announced_body_is_wide (void)
{
  start ();
  client_write_head (client_fds[0], LONG_BYTES);
  CU_ASSERT (becomes_wide (&server_conns[0]));
  client_write_head (client_fds[1], HCONN_NARROW_BYTES);
  client_write_read (1, 1);
  CU_ASSERT_FALSE (is_wide (&server_conns[1]));
  stop ();
}

/* Guards against a receive buffer that is made smaller: the kernel drops what
   it does not take, and senders repeat it only after a timeout of 200 ms.
   Bodies of a length at which that showed come in turn on more connections
   than may have a wide one.  */
static void
test_none_is_made_smaller (void)
{
  bool was_wide[CONNECTIONS] = { false };

  start ();
  for (int i = 0; i < TURNS; i++)
    {
      client_write_head (client_fds[i % CONNECTIONS], TURN_BYTES);
      client_write_read (i % CONNECTIONS, TURN_BYTES);
      for (int j = 0; j < CONNECTIONS; j++)
        {
          CU_ASSERT (is_wide (&server_conns[j]) || !was_wide[j]);
          was_wide[j] = is_wide (&server_conns[j]);
        }
    }
  stop ();
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "unread before accept is bounded",
            test_unread_before_accept_is_bounded },
          { "unread while paused is bounded",
            test_unread_while_paused_is_bounded },
          { "wide receive buffers are counted", test_wide_are_counted },
          { "announced body is wide", test_announced_body_is_wide },
          { "no receive buffer is made smaller", test_none_is_made_smaller },
          { NULL, NULL } };

  return suite_run ("hconn_window", tests);
}
