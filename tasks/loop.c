#include "tasks/loop.h"

#include <errno.h>
#include <libwebsockets.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "core/err.h"
#include "core/slog.h"

/* Long enough that timeouts of libwebsockets do not close connections.  */
#define LOOP_LWS_TIMEOUT_S 3600
/* Buffer of libwebsockets that raw descriptors do not use.  */
#define LOOP_SERVICE_BUFFER_BYTES 4096

struct loop
{
  struct loop_opts opts;
  struct lws_context *context;
  struct lws_vhost *vhost;
  struct wheel timers;
  lws_sorted_usec_list_t wakeup_timer; /* for the earliest of @timers */
  clk_us wakeup_at;                    /* 0: not set */
  struct list deferred; /* struct loop_io whose owner called loop_want_write()
                           from @writable */
  clk_us now;
  bool stopping;
};

static int loop_lws_callback (struct lws *wsi,
                              enum lws_callback_reasons reason, void *user,
                              void *in, size_t len);

static const struct lws_protocols loop_protocols[]
    = { { "raw", loop_lws_callback, 0, 0, 0, NULL, 0 },
        { NULL, NULL, 0, 0, 0, NULL, 0 } };

static void
loop_log (int level, const char *line)
{
  slog (level & LLL_ERR ? SLOG_ERR : SLOG_WARNING, "libwebsockets: %.*s",
        (int)strcspn (line, "\n"), line);
}

struct loop *
loop_new (const struct loop_opts *opts)
{
  struct lws_context_creation_info info = { 0 };
  struct loop *loop = calloc (1, sizeof *loop);

  if (loop == NULL)
    return NULL;
  loop->opts = *opts;
  loop->now = clk_now ();
  list_init (&loop->deferred);
  wheel_init (&loop->timers, loop->now);
  lws_set_log_level (LLL_ERR, loop_log);
  info.options
      = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
  info.user = loop;
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.timeout_secs = LOOP_LWS_TIMEOUT_S;
  info.pt_serv_buf_size = LOOP_SERVICE_BUFFER_BYTES;
  info.fd_limit_per_thread = opts->descriptors_max;
  info.protocols = loop_protocols;
  info.vhost_name = "raw";
  loop->context = lws_create_context (&info);
  if (loop->context != NULL)
    loop->vhost = lws_create_vhost (loop->context, &info);
  if (loop->vhost != NULL)
    return loop;
  loop_free (loop);
  return NULL;
}

void
loop_free (struct loop *loop)
{
  if (loop == NULL)
    return;
  if (loop->context != NULL)
    lws_context_destroy (loop->context);
  free (loop);
}

clk_us
loop_now (const struct loop *loop)
{
  return loop->now;
}

void
loop_wake (struct loop *loop)
{
  lws_cancel_service (loop->context);
}

void
loop_stop (struct loop *loop)
{
  loop->stopping = true;
  loop_wake (loop);
}

/* The connection has ended without a call of loop_close().  */
static void
loop_report_failure (struct loop_io *io)
{
  int error = 0;
  socklen_t len = sizeof error;

  if (getsockopt (io->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    error = errno;
  io->wsi = NULL;
  list_remove (&io->deferred);
  io->failed (io, error != 0 ? error : ECONNRESET);
}

static int
loop_lws_callback (struct lws *wsi, enum lws_callback_reasons reason,
                   void *user, void *in, size_t len)
{
  struct loop *loop = lws_context_user (lws_get_context (wsi));
  struct loop_io *io;

  (void)user;
  (void)in;
  (void)len;
  if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED)
    {
      loop->now = clk_now ();
      loop->opts.on_wake (loop->opts.arg);
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
      /* libwebsockets clears its request for a writable callback after this
         call, so loop_want_write() defers requests made during it.  */
      io->in_writable = true;
      io->writable (io);
      if (lws_get_opaque_user_data (wsi) == io)
        io->in_writable = false;
      break;
    default:
      loop_report_failure (io);
      return 0;
    }
  return lws_get_opaque_user_data (wsi) == NULL ? -1 : 0;
}

int
loop_add (struct loop *loop, struct loop_io *io, int fd)
{
  lws_sock_file_fd_type desc = { .filefd = fd };

  io->loop = loop;
  io->fd = fd;
  io->in_writable = false;
  io->paused = false;
  io->wsi = lws_adopt_descriptor_vhost (loop->vhost, LWS_ADOPT_RAW_FILE_DESC,
                                        desc, loop_protocols[0].name, NULL);
  if (io->wsi == NULL)
    return SR_EIO;
  lws_set_opaque_user_data (io->wsi, io);
  return SR_OK;
}

void
loop_want_write (struct loop_io *io)
{
  if (io->in_writable)
    {
      list_remove (&io->deferred);
      list_push_tail (&io->loop->deferred, &io->deferred);
    }
  else if (io->wsi != NULL)
    lws_callback_on_writable (io->wsi);
}

void
loop_pause_reading (struct loop_io *io, bool paused)
{
  if (io->wsi == NULL || io->paused == paused)
    return;
  io->paused = paused;
  lws_rx_flow_control (io->wsi, !paused);
}

void
loop_close (struct loop_io *io, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  list_remove (&io->deferred);
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

static void loop_fire_timers (lws_sorted_usec_list_t *wakeup);

/* Schedules the wake-up for the earliest timer.  */
static void
loop_arm_wakeup (struct loop *loop)
{
  clk_us next = wheel_next_time (&loop->timers);
  clk_us now;

  if (next == 0 || (loop->wakeup_at != 0 && loop->wakeup_at <= next))
    return;
  now = clk_now ();
  loop->wakeup_at = next;
  lws_sul_schedule (loop->context, 0, &loop->wakeup_timer, loop_fire_timers,
                    next > now ? (lws_usec_t)(next - now) : 1);
}

static void
loop_fire_timers (lws_sorted_usec_list_t *wakeup)
{
  struct loop *loop = lws_container_of (wakeup, struct loop, wakeup_timer);
  struct list due;
  struct list_node *node;

  loop->wakeup_at = 0;
  loop->now = clk_now ();
  list_init (&due);
  wheel_advance (&loop->timers, loop->now, &due);
  while ((node = list_pop_head (&due)) != NULL)
    {
      struct wheel_timer *entry = list_entry (node, struct wheel_timer, node);
      struct loop_timer *timer = list_entry (entry, struct loop_timer, entry);

      timer->fire (timer);
    }
  loop_arm_wakeup (loop);
}

void
loop_set_timer (struct loop *loop, struct loop_timer *timer, clk_us at)
{
  wheel_remove (&timer->entry);
  timer->entry.at = at;
  wheel_add (&loop->timers, &timer->entry);
  loop_arm_wakeup (loop);
}

void
loop_cancel_timer (struct loop_timer *timer)
{
  wheel_remove (&timer->entry);
}

void
loop_run (struct loop *loop)
{
  struct list_node *node;

  while (!loop->stopping)
    {
      if (lws_service (loop->context, 0) < 0)
        return;
      loop->now = clk_now ();
      while ((node = list_pop_head (&loop->deferred)) != NULL)
        loop_want_write (list_entry (node, struct loop_io, deferred));
    }
}
