#include <sys/socket.h>

#include "tasks/hconn.h"

/* Also keeps the kernel from enlarging the buffer on its own.  */
static void
hconn_window_set (int fd, int bytes)
{
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

void
hconn_window_init (int fd)
{
  hconn_window_set (fd, HCONN_NARROW_BYTES);
}

void
hconn_window_update (struct hconn *conn, size_t len)
{
  struct hconn_windows *windows = conn->opts.windows;

  if (conn->wide)
    return;
  conn->body_read_bytes
      = httpmsg_in_body (&conn->parser) ? conn->body_read_bytes + len : 0;
  if ((conn->body_read_bytes < HCONN_NARROW_BYTES
       && httpmsg_body_rest (&conn->parser) <= HCONN_NARROW_BYTES)
      || windows->wide_count >= windows->wide_max)
    return;
  conn->wide = true;
  windows->wide_count++;
  hconn_window_set (conn->io.fd, HCONN_WIDE_BYTES);
}

void
hconn_window_release (struct hconn *conn)
{
  if (conn->wide)
    conn->opts.windows->wide_count--;
  conn->wide = false;
}
