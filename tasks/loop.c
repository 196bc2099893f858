#include "tasks/loop.h"

#include <errno.h>
#include <libwebsockets.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "core/err.h"
#include "core/slog.h"

/* libwebsockets' own time-outs must not end a connection.  */
#define LOP_TIMEOUT_S 3600
/* Buffers of libwebsockets that raw descriptors do not use.  */
#define LOP_SERVICE_BUFFER_BYTES 4096

struct lop
{
  struct lop_opts opts;
  struct lws_context *context;
  struct lws_vhost *vhost;
  struct whl timers;
  lws_sorted_usec_list_t wakeup;
  clk_us wakeup_at;    /* 0: not set */
  struct lst deferred; /* struct lop_io that wait for writing */
  clk_us now;
  bool stopping;
};

static int lop_callback (struct lws *wsi, enum lws_callback_reasons reason,
                         void *user, void *in, size_t len);

static const struct lws_protocols lop_protocols[]
    = { { "raw", lop_callback, 0, 0, 0, NULL, 0 },
        { NULL, NULL, 0, 0, 0, NULL, 0 } };

static void
lop_log (int level, const char *line)
{
  slog (level & LLL_ERR ? SLOG_ERR : SLOG_WARNING, "libwebsockets: %.*s",
        (int)strcspn (line, "\n"), line);
}

struct lop *
lop_new (const struct lop_opts *opts)
{
  struct lws_context_creation_info info = { 0 };
  struct lop *loop = calloc (1, sizeof *loop);

  if (loop == NULL)
    return NULL;
  loop->opts = *opts;
  loop->now = clk_now ();
  lst_init (&loop->deferred);
  whl_init (&loop->timers, loop->now);
  lws_set_log_level (LLL_ERR, lop_log);
  info.options
      = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
  info.user = loop;
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.timeout_secs = LOP_TIMEOUT_S;
  info.pt_serv_buf_size = LOP_SERVICE_BUFFER_BYTES;
  info.fd_limit_per_thread = opts->descriptors;
  info.protocols = lop_protocols;
  info.vhost_name = "raw";
  loop->context = lws_create_context (&info);
  if (loop->context != NULL)
    loop->vhost = lws_create_vhost (loop->context, &info);
  if (loop->vhost != NULL)
    return loop;
  lop_free (loop);
  return NULL;
}

void
lop_free (struct lop *loop)
{
  if (loop == NULL)
    return;
  if (loop->context != NULL)
    lws_context_destroy (loop->context);
  free (loop);
}

clk_us
lop_now (const struct lop *loop)
{
  return loop->now;
}

void
lop_wake (struct lop *loop)
{
  lws_cancel_service (loop->context);
}

void
lop_stop (struct lop *loop)
{
  loop->stopping = true;
  lop_wake (loop);
}

/* The connection has ended without the owner asking for it.  */
static void
lop_ended (struct lop_io *io)
{
  int error = 0;
  socklen_t len = sizeof error;

  if (getsockopt (io->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    error = errno;
  io->wsi = NULL;
  lst_remove (&io->deferred);
  io->failed (io, error != 0 ? error : ECONNRESET);
}

static int
lop_callback (struct lws *wsi, enum lws_callback_reasons reason, void *user,
              void *in, size_t len)
{
  struct lop *loop = lws_context_user (lws_get_context (wsi));
  struct lop_io *io;

  (void)user;
  (void)in;
  (void)len;
  if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED)
    {
      loop->now = clk_now ();
      loop->opts.woken (loop->opts.arg);
      return 0;
    }
  if (reason != LWS_CALLBACK_RAW_RX_FILE
      && reason != LWS_CALLBACK_RAW_WRITEABLE_FILE
      && reason != LWS_CALLBACK_RAW_CLOSE_FILE)
    return 0;
  io = lws_get_opaque_user_data (wsi);
  loop->now = clk_now ();
  if (io == NULL)
    return reason == LWS_CALLBACK_RAW_CLOSE_FILE ? 0 : -1;
  switch (reason)
    {
    case LWS_CALLBACK_RAW_RX_FILE:
      io->readable (io);
      break;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
      /* libwebsockets clears the interest in writing after this call.  */
      io->writing = true;
      io->writable (io);
      if (lws_get_opaque_user_data (wsi) == io)
        io->writing = false;
      break;
    default:
      lop_ended (io);
      return 0;
    }
  return lws_get_opaque_user_data (wsi) == NULL ? -1 : 0;
}

int
lop_add (struct lop *loop, struct lop_io *io, int fd)
{
  lws_sock_file_fd_type desc = { .filefd = fd };

  io->loop = loop;
  io->fd = fd;
  io->writing = false;
  io->paused = false;
  io->wsi = lws_adopt_descriptor_vhost (loop->vhost, LWS_ADOPT_RAW_FILE_DESC,
                                        desc, lop_protocols[0].name, NULL);
  if (io->wsi == NULL)
    return SR_EIO;
  lws_set_opaque_user_data (io->wsi, io);
  return SR_OK;
}

void
lop_want_write (struct lop_io *io)
{
  if (io->writing)
    {
      lst_remove (&io->deferred);
      lst_push_tail (&io->loop->deferred, &io->deferred);
    }
  else if (io->wsi != NULL)
    lws_callback_on_writable (io->wsi);
}

void
lop_pause (struct lop_io *io, bool paused)
{
  if (io->wsi == NULL || io->paused == paused)
    return;
  io->paused = paused;
  lws_rx_flow_control (io->wsi, !paused);
}

void
lop_close (struct lop_io *io, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  lst_remove (&io->deferred);
  if (io->wsi == NULL)
    return;
  if (reset)
    setsockopt (io->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  else
    shutdown (io->fd, SHUT_RDWR);
  lws_set_opaque_user_data (io->wsi, NULL);
  lws_set_timeout (io->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  io->wsi = NULL;
}

static void lop_fire (lws_sorted_usec_list_t *wakeup);

/* Arms the wake-up for the earliest timer.  */
static void
lop_arm (struct lop *loop)
{
  clk_us next = whl_next (&loop->timers);
  clk_us now;

  if (next == 0 || (loop->wakeup_at != 0 && loop->wakeup_at <= next))
    return;
  now = clk_now ();
  loop->wakeup_at = next;
  lws_sul_schedule (loop->context, 0, &loop->wakeup, lop_fire,
                    next > now ? (lws_usec_t)(next - now) : 1);
}

static void
lop_fire (lws_sorted_usec_list_t *wakeup)
{
  struct lop *loop = lws_container_of (wakeup, struct lop, wakeup);
  struct lst due;
  struct lst_node *node;

  loop->wakeup_at = 0;
  loop->now = clk_now ();
  lst_init (&due);
  whl_advance (&loop->timers, loop->now, &due);
  while ((node = lst_pop_head (&due)) != NULL)
    {
      struct whl_timer *entry = lst_entry (node, struct whl_timer, node);
      struct lop_timer *timer = lst_entry (entry, struct lop_timer, entry);

      timer->fire (timer);
    }
  lop_arm (loop);
}

void
lop_set (struct lop *loop, struct lop_timer *timer, clk_us at)
{
  whl_remove (&timer->entry);
  timer->entry.at = at;
  whl_add (&loop->timers, &timer->entry);
  lop_arm (loop);
}

void
lop_cancel (struct lop_timer *timer)
{
  whl_remove (&timer->entry);
}

void
lop_run (struct lop *loop)
{
  struct lst_node *node;

  while (!loop->stopping)
    {
      if (lws_service (loop->context, 0) < 0)
        return;
      loop->now = clk_now ();
      while ((node = lst_pop_head (&loop->deferred)) != NULL)
        lop_want_write (lst_entry (node, struct lop_io, deferred));
    }
}
