#include "tasks/hconn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/address.h"
#include "core/err.h"

#define HCONN_READ_BYTES (32 * 1024)
/* Reads from one connection per event, so that others are served too.  */
#define HCONN_READS_MAX 4
#define HCONN_BACKLOG 1024
/* Delay before a closed connection is freed, so that callbacks in progress can
   return first.  */
#define HCONN_DESTROY_DELAY_US 1
/* Time for the peer to read the last bytes and close.  */
#define HCONN_LINGER_US clk_s (2)

/* Parses ADDRESS and opens a socket for it.  Its descriptor, SR_EINVAL or
   SR_EIO.  */
static int
hconn_open_socket (const char *address, struct sockaddr_in *sockaddr)
{
  struct address parsed;
  int fd;

  if (address_parse (address, &parsed) != SR_OK)
    return SR_EINVAL;
  *sockaddr
      = (struct sockaddr_in){ .sin_family = AF_INET,
                              .sin_port = htons (parsed.port),
                              .sin_addr = { .s_addr = parsed.ip_network } };
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  return fd < 0 ? SR_EIO : fd;
}

int
hconn_listen (const char *address)
{
  struct sockaddr_in sockaddr;
  int enabled = 1;
  int fd = hconn_open_socket (address, &sockaddr);

  if (fd < 0)
    return fd;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  hconn_window_init (fd);
  if (bind (fd, (struct sockaddr *)&sockaddr, sizeof sockaddr) == 0
      && listen (fd, HCONN_BACKLOG) == 0)
    return fd;
  close (fd);
  return SR_EIO;
}

int
hconn_accept (int listener_fd)
{
  return accept4 (listener_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

static void
hconn_report_end (struct hconn *conn, enum hconn_end end)
{
  if (!conn->closed)
    conn->opts.events->ended (conn, end);
}

static enum hconn_end
hconn_end_from_error (int parse_error)
{
  return parse_error == SR_EFULL ? HCONN_END_TOO_LONG : HCONN_END_MALFORMED;
}

static enum hconn_end
hconn_end_from_errno (int error)
{
  return error == ETIMEDOUT ? HCONN_END_SILENT : HCONN_END_RESET;
}

/* After a failed write the kernel has reported the error, and the next read
   finds an end that looks orderly.  ERROR is that of the read, 0 for none.  */
static enum hconn_end
hconn_end_from_read (const struct hconn *conn, int error)
{
  if (conn->write_error != 0)
    error = conn->write_error;
  return error == 0 ? HCONN_END_ORDERLY : hconn_end_from_errno (error);
}

static void
hconn_destroy (struct loop_timer *timer)
{
  struct hconn *conn = list_entry (timer, struct hconn, close_timer);

  httpmsg_fini (&conn->parser);
  buf_free (&conn->send_buf);
  conn->opts.events->destroy (conn);
}

static void
hconn_handle_linger_timeout (struct loop_timer *timer)
{
  hconn_close (list_entry (timer, struct hconn, close_timer), false);
}

/* Lingering close.  Closing a socket with unread bytes sends a reset, which
   may discard the last bytes sent, so received bytes are read and discarded
   until the peer closes.  */
static void
hconn_linger (struct hconn *conn)
{
  if (conn->lingering)
    return;
  conn->lingering = true;
  if (conn->opts.lingering != NULL)
    list_push_tail (conn->opts.lingering, &conn->linger_node);
  shutdown (conn->io.fd, SHUT_WR);
  loop_pause_reading (&conn->io, false);
  conn->close_timer.fire = hconn_handle_linger_timeout;
  loop_set_timer (conn->opts.loop, &conn->close_timer,
                  loop_now (conn->opts.loop) + HCONN_LINGER_US);
}

static void
hconn_handle_readable (struct loop_io *io)
{
  struct hconn *conn = list_entry (io, struct hconn, io);
  static _Thread_local uint8_t buffer[HCONN_READ_BYTES];

  for (int i = 0; i < HCONN_READS_MAX && !conn->closed && !io->paused; i++)
    {
      ssize_t len = read (io->fd, buffer, sizeof buffer);
      int error;

      if (len < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (conn->lingering)
        {
          if (len <= 0)
            hconn_close (conn, false);
          continue;
        }
      if (len <= 0)
        {
          hconn_report_end (conn,
                            hconn_end_from_read (conn, len == 0 ? 0 : errno));
          return;
        }
      error = httpmsg_feed (&conn->parser, buffer, (size_t)len);
      if (error != SR_OK)
        {
          hconn_report_end (conn, hconn_end_from_error (error));
          return;
        }
      if (conn->closed)
        return;
      hconn_window_update (conn, (size_t)len);
      if (conn->opts.events->received != NULL)
        conn->opts.events->received (conn);
      if ((size_t)len < sizeof buffer)
        return;
    }
}

/* Sends as much as the socket accepts; false after an error.  */
static bool
hconn_write (struct hconn *conn)
{
  size_t sent = 0;

  while (sent < conn->send_buf.len)
    {
      ssize_t len = send (conn->io.fd, conn->send_buf.data + sent,
                          conn->send_buf.len - sent, MSG_NOSIGNAL);

      if (len < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (len < 0)
        {
          conn->write_error = errno;
          return false;
        }
      conn->any_written = true;
      sent += (size_t)len;
    }
  buf_drop_before (&conn->send_buf, conn->send_buf.base + sent);
  return true;
}

void
hconn_flush (struct hconn *conn)
{
  if (conn->closed || !conn->connected)
    return;
  /* A failed connection is reported when it is read.  */
  if (!hconn_write (conn))
    {
      buf_drop_before (&conn->send_buf, buf_end (&conn->send_buf));
      if (conn->close_when_flushed)
        hconn_close (conn, true);
      return;
    }
  if (conn->send_buf.len > 0)
    loop_want_write (&conn->io);
  else if (conn->close_when_flushed)
    hconn_linger (conn);
}

static void
hconn_handle_writable (struct loop_io *io)
{
  struct hconn *conn = list_entry (io, struct hconn, io);
  uint64_t base;

  if (!conn->connected)
    {
      int error = 0;
      socklen_t len = sizeof error;

      if (getsockopt (io->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0
          || error != 0)
        {
          hconn_report_end (conn, HCONN_END_CONNECT_FAILED);
          return;
        }
      conn->connected = true;
      conn->opts.events->connected (conn);
      if (conn->closed)
        return;
    }
  base = conn->send_buf.base;
  hconn_flush (conn);
  if (conn->send_buf.base > base && !conn->closed
      && conn->opts.events->sent != NULL)
    conn->opts.events->sent (conn);
  if (!conn->closed && !conn->lingering
      && conn->send_buf.len <= HCONN_LOW_WATER_BYTES)
    conn->opts.events->drained (conn);
}

static void
hconn_handle_failure (struct loop_io *io, int error)
{
  struct hconn *conn = list_entry (io, struct hconn, io);

  if (conn->lingering)
    hconn_close (conn, false);
  else
    hconn_report_end (conn, conn->connected ? hconn_end_from_errno (error)
                                            : HCONN_END_CONNECT_FAILED);
}

static void
hconn_apply_unacked_timeout (const struct hconn *conn, int fd)
{
  unsigned timeout_ms = conn->opts.unacked_timeout_ms;

  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
}

void
hconn_set_unacked_timeout (struct hconn *conn, uint32_t timeout_ms)
{
  if (timeout_ms == conn->opts.unacked_timeout_ms || conn->closed)
    return;
  conn->opts.unacked_timeout_ms = timeout_ms;
  hconn_apply_unacked_timeout (conn, conn->io.fd);
}

static void
hconn_set_socket_options (struct hconn *conn, int fd)
{
  int enabled = 1;
  int unsent_bytes = HCONN_LOW_WATER_BYTES;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  /* The rest stays in send_buf, which its owner counts and bounds.  */
  setsockopt (fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_bytes,
              sizeof unsent_bytes);
  if (conn->opts.unacked_timeout_ms > 0)
    hconn_apply_unacked_timeout (conn, fd);
}

static int
hconn_init (struct hconn *conn, const struct hconn_opts *opts, int fd)
{
  struct httpmsg_opts parser = { .role = opts->role,
                                 .names = opts->names,
                                 .sink = &opts->events->sink,
                                 .arg = conn,
                                 .max_header_bytes = opts->header_bytes_max };

  conn->opts = *opts;
  conn->send_buf = (struct buf){ 0 };
  conn->write_error = 0;
  conn->connected = false;
  conn->closed = false;
  conn->any_written = false;
  conn->close_when_flushed = false;
  conn->lingering = false;
  conn->wide = false;
  conn->linger_node = (struct list_node){ 0 };
  conn->body_read_bytes = 0;
  httpmsg_init (&conn->parser, &parser);
  conn->close_timer.fire = hconn_destroy;
  conn->io.readable = hconn_handle_readable;
  conn->io.writable = hconn_handle_writable;
  conn->io.failed = hconn_handle_failure;
  hconn_set_socket_options (conn, fd);
  if (loop_add (opts->loop, &conn->io, fd) == SR_OK)
    return SR_OK;
  httpmsg_fini (&conn->parser);
  close (fd);
  return SR_EIO;
}

int
hconn_adopt (struct hconn *conn, const struct hconn_opts *opts, int fd)
{
  int error = hconn_init (conn, opts, fd);

  conn->connected = error == SR_OK;
  return error;
}

int
hconn_connect (struct hconn *conn, const struct hconn_opts *opts,
               const char *address)
{
  struct sockaddr_in sockaddr;
  int error;
  int fd = hconn_open_socket (address, &sockaddr);

  if (fd < 0)
    return fd;
  hconn_window_init (fd);
  if (connect (fd, (struct sockaddr *)&sockaddr, sizeof sockaddr) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return SR_EIO;
    }
  error = hconn_init (conn, opts, fd);
  if (error == SR_OK)
    loop_want_write (&conn->io);
  return error;
}

bool
hconn_is_full (const struct hconn *conn)
{
  return conn->send_buf.len > HCONN_HIGH_WATER_BYTES;
}

void
hconn_flush_and_close (struct hconn *conn)
{
  conn->close_when_flushed = true;
  hconn_flush (conn);
}

void
hconn_half_close (struct hconn *conn)
{
  if (!conn->closed && conn->connected && conn->send_buf.len == 0)
    shutdown (conn->io.fd, SHUT_WR);
}

/* Bounded, as the peer may send without a pause.  */
static void
hconn_discard_received (const struct hconn *conn)
{
  static _Thread_local uint8_t buffer[HCONN_READ_BYTES];

  for (int i = 0; i < HCONN_READS_MAX; i++)
    if (read (conn->io.fd, buffer, sizeof buffer) <= 0)
      return;
}

void
hconn_close (struct hconn *conn, bool reset)
{
  if (conn->closed)
    return;
  if (conn->lingering && !reset)
    hconn_discard_received (conn);
  conn->closed = true;
  list_remove (&conn->linger_node);
  hconn_window_release (conn);
  loop_close (&conn->io, reset);
  conn->close_timer.fire = hconn_destroy;
  loop_set_timer (conn->opts.loop, &conn->close_timer,
                  loop_now (conn->opts.loop) + HCONN_DESTROY_DELAY_US);
}
