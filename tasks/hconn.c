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

#include "core/err.h"

#define HCN_READ_BYTES (32 * 1024)
/* Reads before other connections have their turn.  */
#define HCN_READS_MOST 4
#define HCN_BACKLOG 1024
/* A closed connection is freed after the callbacks that are under way.  */
#define HCN_RELEASE_US 1
/* Time that the peer has to read the last answer and to close.  */
#define HCN_LINGER_US clk_s (2)

static int
hcn_address (const char *text, struct sockaddr_in *out)
{
  char host[64];
  const char *colon = strrchr (text, ':');
  long port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return SR_EINVAL;
  snprintf (host, sizeof host, "%.*s", (int)(colon - text), text);
  port = strtol (colon + 1, NULL, 10);
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)port);
  if (port <= 0 || port > 65535
      || inet_pton (AF_INET, host, &out->sin_addr) != 1)
    return SR_EINVAL;
  return SR_OK;
}

/* Reads ADDRESS and opens a socket for it; a descriptor, or a negative error
   number.  */
static int
hcn_socket (const char *address, struct sockaddr_in *name)
{
  int fd;

  if (hcn_address (address, name) != SR_OK)
    return SR_EINVAL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  return fd < 0 ? SR_EIO : fd;
}

int
hcn_listen (const char *address)
{
  struct sockaddr_in name;
  int on = 1;
  int fd = hcn_socket (address, &name);

  if (fd < 0)
    return fd;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&name, sizeof name) == 0
      && listen (fd, HCN_BACKLOG) == 0)
    return fd;
  close (fd);
  return SR_EIO;
}

int
hcn_next (int listener)
{
  return accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

static void
hcn_end (struct hcn *conn, enum hcn_end end)
{
  if (!conn->closed)
    conn->opts.events->ended (conn, end);
}

static enum hcn_end
hcn_end_of (int parse_error)
{
  return parse_error == SR_EFULL ? HCN_END_TOO_LONG : HCN_END_MALFORMED;
}

static void
hcn_release (struct lop_timer *timer)
{
  struct hcn *conn = lst_entry (timer, struct hcn, release);

  hm_fini (&conn->parser);
  buf_free (&conn->out);
  conn->opts.events->release (conn);
}

static void
hcn_linger_over (struct lop_timer *timer)
{
  hcn_close (lst_entry (timer, struct hcn, release), false);
}

/* All is written.  A close with unread bytes would reset the connection and
   take the last answer with it, so what still comes is read and dropped.  */
static void
hcn_linger (struct hcn *conn)
{
  if (conn->lingering)
    return;
  conn->lingering = true;
  shutdown (conn->io.fd, SHUT_WR);
  lop_pause (&conn->io, false);
  conn->release.fire = hcn_linger_over;
  lop_set (conn->opts.loop, &conn->release,
           lop_now (conn->opts.loop) + HCN_LINGER_US);
}

static void
hcn_readable (struct lop_io *io)
{
  struct hcn *conn = lst_entry (io, struct hcn, io);
  static uint8_t buffer[HCN_READ_BYTES];

  for (int i = 0; i < HCN_READS_MOST && !conn->closed && !io->paused; i++)
    {
      ssize_t len = read (io->fd, buffer, sizeof buffer);
      int error;

      if (len < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (conn->lingering)
        {
          if (len <= 0)
            hcn_close (conn, false);
          continue;
        }
      if (len <= 0)
        {
          hcn_end (conn, len == 0 ? HCN_END_ORDERLY : HCN_END_RESET);
          return;
        }
      error = hm_feed (&conn->parser, buffer, (size_t)len);
      if (error != SR_OK)
        {
          hcn_end (conn, hcn_end_of (error));
          return;
        }
      if ((size_t)len < sizeof buffer)
        return;
    }
}

/* Writes as much as the system takes; false after an error.  */
static bool
hcn_write (struct hcn *conn)
{
  size_t done = 0;

  while (done < conn->out.len)
    {
      ssize_t len = send (conn->io.fd, conn->out.data + done,
                          conn->out.len - done, MSG_NOSIGNAL);

      if (len < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (len < 0)
        return false;
      conn->written = true;
      done += (size_t)len;
    }
  buf_drop (&conn->out, conn->out.base + done);
  return true;
}

void
hcn_flush (struct hcn *conn)
{
  if (conn->closed || !conn->open)
    return;
  /* The end of a connection that cannot be written shows when it is read.  */
  if (!hcn_write (conn))
    {
      buf_drop (&conn->out, buf_end (&conn->out));
      if (conn->finish)
        hcn_close (conn, true);
      return;
    }
  if (conn->out.len > HCN_HIGH_BYTES)
    conn->above = true;
  if (conn->out.len > 0)
    lop_want_write (&conn->io);
  else if (conn->finish)
    hcn_linger (conn);
}

static void
hcn_writable (struct lop_io *io)
{
  struct hcn *conn = lst_entry (io, struct hcn, io);

  if (!conn->open)
    {
      int error = 0;
      socklen_t len = sizeof error;

      if (getsockopt (io->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0
          || error != 0)
        {
          hcn_end (conn, HCN_END_CONNECT_FAILED);
          return;
        }
      conn->open = true;
      conn->opts.events->opened (conn);
      if (conn->closed)
        return;
    }
  hcn_flush (conn);
  if (!conn->closed && conn->above && conn->out.len <= HCN_LOW_BYTES)
    {
      conn->above = false;
      conn->opts.events->drained (conn);
    }
}

static void
hcn_failed (struct lop_io *io, int error)
{
  struct hcn *conn = lst_entry (io, struct hcn, io);

  (void)error;
  if (conn->lingering)
    hcn_close (conn, false);
  else
    hcn_end (conn, conn->open ? HCN_END_RESET : HCN_END_CONNECT_FAILED);
}

static void
hcn_options (struct hcn *conn, int fd)
{
  int on = 1;
  unsigned silent = conn->opts.silent_ms;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (silent > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent, sizeof silent);
}

static int
hcn_start (struct hcn *conn, const struct hcn_opts *opts, int fd)
{
  struct hm_opts parser = { .role = opts->reads,
                            .names = opts->names,
                            .sink = &opts->events->sink,
                            .arg = conn,
                            .header_bytes = opts->header_bytes };

  conn->opts = *opts;
  conn->out = (struct buf){ 0 };
  conn->open = false;
  conn->closed = false;
  conn->above = false;
  conn->written = false;
  conn->finish = false;
  conn->lingering = false;
  hm_init (&conn->parser, &parser);
  conn->release.fire = hcn_release;
  conn->io.readable = hcn_readable;
  conn->io.writable = hcn_writable;
  conn->io.failed = hcn_failed;
  hcn_options (conn, fd);
  if (lop_add (opts->loop, &conn->io, fd) == SR_OK)
    return SR_OK;
  hm_fini (&conn->parser);
  close (fd);
  return SR_EIO;
}

int
hcn_accept (struct hcn *conn, const struct hcn_opts *opts, int fd)
{
  int error = hcn_start (conn, opts, fd);

  conn->open = error == SR_OK;
  return error;
}

int
hcn_dial (struct hcn *conn, const struct hcn_opts *opts, const char *address)
{
  struct sockaddr_in name;
  int error;
  int fd = hcn_socket (address, &name);

  if (fd < 0)
    return fd;
  if (connect (fd, (struct sockaddr *)&name, sizeof name) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return SR_EIO;
    }
  error = hcn_start (conn, opts, fd);
  if (error == SR_OK)
    lop_want_write (&conn->io);
  return error;
}

bool
hcn_full (const struct hcn *conn)
{
  return conn->out.len > HCN_HIGH_BYTES;
}

void
hcn_finish (struct hcn *conn)
{
  conn->finish = true;
  hcn_flush (conn);
}

void
hcn_half_close (struct hcn *conn)
{
  if (!conn->closed && conn->open && conn->out.len == 0)
    shutdown (conn->io.fd, SHUT_WR);
}

void
hcn_close (struct hcn *conn, bool reset)
{
  if (conn->closed)
    return;
  conn->closed = true;
  lop_close (&conn->io, reset);
  conn->release.fire = hcn_release;
  lop_set (conn->opts.loop, &conn->release,
           lop_now (conn->opts.loop) + HCN_RELEASE_US);
}
