#include <errno.h>

#include "core/slog.h"
#include "tasks/gate_state.h"

/* Pause of a listener after accept() failed for lack of descriptors.  */
#define GATE_ACCEPT_PAUSE_US clk_ms (100)

static void
gate_listener_handle_timer (struct loop_timer *timer)
{
  struct gate_listener *listener
      = list_entry (timer, struct gate_listener, timer);

  if (listener->open)
    loop_pause_reading (&listener->io, false);
}

static void
gate_listener_handle_readable (struct loop_io *io)
{
  struct gate_listener *listener = list_entry (io, struct gate_listener, io);
  int fd;

  while ((fd = hconn_accept (io->fd)) >= 0)
    gate_in_open (listener->gate, listener->port, fd);
  if (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED)
    return;
  /* Out of descriptors: the connection stays in the backlog and the listener
     readable, so the loop would spin without a pause.  */
  slog (SLOG_ERR,
        "connection not accepted port=%d error=%d reason=descriptors",
        (int)listener->port, errno);
  loop_pause_reading (io, true);
  listener->timer.fire = gate_listener_handle_timer;
  loop_set_timer (listener->gate->loop, &listener->timer,
                  loop_now (listener->gate->loop) + GATE_ACCEPT_PAUSE_US);
}

static void
gate_listener_handle_failure (struct loop_io *io, int error)
{
  struct gate_listener *listener = list_entry (io, struct gate_listener, io);

  listener->open = false;
  slog (SLOG_ERR, "listener failed port=%d error=%d", (int)listener->port,
        error);
}

int
gate_listen (struct gate *gate)
{
  for (int i = 0; i < GATE_PORT_COUNT; i++)
    {
      struct gate_listener *listener = &gate->listeners[i];
      int fd;

      listener->gate = gate;
      listener->port = (enum gate_port)i;
      if (gate->opts.listen_addresses[i] == NULL
          || gate->opts.listen_addresses[i][0] == '\0')
        continue;
      fd = hconn_listen (gate->opts.listen_addresses[i]);
      listener->io.readable = gate_listener_handle_readable;
      listener->io.writable = gate_listener_handle_readable;
      listener->io.failed = gate_listener_handle_failure;
      if (fd < 0 || loop_add (gate->loop, &listener->io, fd) != SR_OK)
        {
          slog (SLOG_ERR, "cannot listen address=%s",
                gate->opts.listen_addresses[i]);
          return SR_EIO;
        }
      listener->open = true;
    }
  return SR_OK;
}
