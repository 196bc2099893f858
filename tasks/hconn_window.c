#include <sys/socket.h>

#include "tasks/hconn.h"

void
hconn_windows_init (struct hconn_windows *windows,
                    const struct hconn_windows_opts *opts)
{
  windows->opts = *opts;
  windows->wide_count = 0;
  list_init (&windows->wide);
}

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
hconn_window_release (struct hconn *conn)
{
  if (!list_is_linked (&conn->window_node))
    return;
  list_remove (&conn->window_node);
  conn->opts.windows->wide_count--;
}

/* Whether no bytes are likely to be on their way to CONN, or unread.  If there
   were more than a narrow buffer takes, the kernel would drop them, and the
   peer would send them again only after its timeout.  */
static bool
hconn_window_is_unused (const struct hconn *conn, clk_us now)
{
  if (conn->io.paused || conn->lingering)
    return false;
  return !httpmsg_in_message (&conn->parser)
         || now >= conn->window_read_at
                       + conn->opts.windows->opts.stopped_after;
}

static struct hconn *
hconn_window_find_unused (const struct hconn_windows *windows, clk_us now)
{
  list_each (node, &windows->wide)
    {
      struct hconn *conn = list_entry (node, struct hconn, window_node);

      if (hconn_window_is_unused (conn, now))
        return conn;
    }
  return NULL;
}

static void
hconn_window_widen (struct hconn *conn, clk_us now)
{
  struct hconn_windows *windows = conn->opts.windows;
  struct hconn *unused;

  if (windows->wide_count >= windows->opts.wide_max)
    {
      unused = hconn_window_find_unused (windows, now);
      if (unused == NULL)
        return;
      hconn_window_release (unused);
      hconn_window_set (unused->io.fd, HCONN_NARROW_BYTES);
    }
  conn->window_read_at = now;
  list_push_tail (&windows->wide, &conn->window_node);
  windows->wide_count++;
  hconn_window_set (conn->io.fd, HCONN_WIDE_BYTES);
}

void
hconn_window_update (struct hconn *conn, size_t len)
{
  clk_us now = loop_now (conn->opts.loop);

  if (list_is_linked (&conn->window_node))
    {
      conn->window_read_at = now;
      list_remove (&conn->window_node);
      list_push_tail (&conn->opts.windows->wide, &conn->window_node);
      return;
    }
  conn->body_read_bytes
      = httpmsg_in_body (&conn->parser) ? conn->body_read_bytes + len : 0;
  if (conn->body_read_bytes >= HCONN_NARROW_BYTES
      || httpmsg_body_rest (&conn->parser) > HCONN_NARROW_BYTES)
    hconn_window_widen (conn, now);
}
