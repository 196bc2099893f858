#include <errno.h>

#include "core/slog.h"
#include "tasks/gate_state.h"

/* Pause after which a listener without descriptors tries again.  */
#define GAT_ACCEPT_PAUSE_US clk_ms (100)

static void
gat_accept_again (struct lop_timer *timer)
{
  struct gat_listener *listener
      = lst_entry (timer, struct gat_listener, timer);

  if (listener->open)
    lop_pause (&listener->io, false);
}

static void
gat_accept (struct lop_io *io)
{
  struct gat_listener *listener = lst_entry (io, struct gat_listener, io);
  int fd;

  while ((fd = hcn_next (io->fd)) >= 0)
    gat_in_open (listener->gate, listener->port, fd);
  if (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED)
    return;
  /* The connection stays in the queue, and the descriptor readable.  */
  slog (SLOG_ERR,
        "connection not accepted port=%d error=%d reason=descriptors",
        (int)listener->port, errno);
  lop_pause (io, true);
  listener->timer.fire = gat_accept_again;
  lop_set (listener->gate->loop, &listener->timer,
           lop_now (listener->gate->loop) + GAT_ACCEPT_PAUSE_US);
}

static void
gat_listener_failed (struct lop_io *io, int error)
{
  struct gat_listener *listener = lst_entry (io, struct gat_listener, io);

  listener->open = false;
  slog (SLOG_ERR, "listener lost port=%d error=%d", (int)listener->port,
        error);
}

int
gat_listen (struct gate *gate)
{
  for (int i = 0; i < GAT_PORT_COUNT; i++)
    {
      struct gat_listener *listener = &gate->listeners[i];
      int fd;

      listener->gate = gate;
      listener->port = (enum gat_port)i;
      if (gate->opts.listen[i] == NULL || gate->opts.listen[i][0] == '\0')
        continue;
      fd = hcn_listen (gate->opts.listen[i]);
      listener->io.readable = gat_accept;
      listener->io.writable = gat_accept;
      listener->io.failed = gat_listener_failed;
      if (fd < 0 || lop_add (gate->loop, &listener->io, fd) != SR_OK)
        {
          slog (SLOG_ERR, "cannot listen address=%s", gate->opts.listen[i]);
          return SR_EIO;
        }
      listener->open = true;
    }
  return SR_OK;
}
