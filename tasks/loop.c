#include "tasks/loop.h"

#include <errno.h>
#include <libwebsockets.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/err.h"
#include "core/slog.h"

/* Long enough that timeouts of libwebsockets do not close connections.  */
#define LOOP_LWS_TIMEOUT_S 3600
/* Buffer of libwebsockets that raw descriptors do not use.  */
#define LOOP_SERVICE_BUFFER_BYTES 4096
/* Descriptors of libwebsockets: the epoll set and its own.  */
#define LOOP_LWS_DESCRIPTORS_MAX 16
/* Events that are taken from the epoll set at a time.  */
#define LOOP_EVENTS_MAX 64

struct loop
{
  struct loop_opts opts;
  struct lws_context *context;
  struct lws_vhost *vhost;
  struct wheel timers;
  lws_sorted_usec_list_t wakeup_timer; /* for the earliest of @timers */
  clk_us wakeup_at;                    /* 0: not set */
  int epoll_fd;
  struct list descriptors;   /* struct loop_io in the epoll set */
  uint32_t descriptor_count; /* length of @descriptors */
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
  list_init (&loop->descriptors);
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  wheel_init (&loop->timers, loop->now);
  lws_set_log_level (LLL_ERR, loop_log);
  info.options
      = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
  info.user = loop;
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.timeout_secs = LOOP_LWS_TIMEOUT_S;
  info.pt_serv_buf_size = LOOP_SERVICE_BUFFER_BYTES;
  info.fd_limit_per_thread = LOOP_LWS_DESCRIPTORS_MAX;
  info.protocols = loop_protocols;
  info.vhost_name = "raw";
  loop->context = lws_create_context (&info);
  if (loop->context != NULL)
    loop->vhost = lws_create_vhost (loop->context, &info);
  if (loop->vhost != NULL && loop->epoll_fd >= 0
      && lws_adopt_descriptor_vhost (
             loop->vhost, LWS_ADOPT_RAW_FILE_DESC,
             (lws_sock_file_fd_type){ .filefd = loop->epoll_fd },
             loop_protocols[0].name, NULL)
             != NULL)
    return loop;
  loop_free (loop);
  return NULL;
}

/* Closes the descriptor, which removes it from the epoll set.  */
static void
loop_forget (struct loop_io *io)
{
  close (io->fd);
  io->fd = -1;
  list_remove (&io->node);
  io->loop->descriptor_count--;
}

void
loop_close_all (struct loop *loop)
{
  while (!list_empty (&loop->descriptors))
    loop_forget (
        list_entry (list_first (&loop->descriptors), struct loop_io, node));
}

void
loop_free (struct loop *loop)
{
  if (loop == NULL)
    return;
  loop_close_all (loop);
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

/* The connection has ended while nothing was to be read from it.  */
static void
loop_report_failure (struct loop_io *io)
{
  int error = 0;
  socklen_t len = sizeof error;

  if (getsockopt (io->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    error = errno;
  loop_forget (io);
  io->failed (io, error != 0 ? error : ECONNRESET);
}

/* Sets the events for which the descriptor is in the epoll set.  */
static void
loop_update_events (struct loop_io *io)
{
  struct epoll_event event = { .data.ptr = io };

  if (!io->paused)
    event.events |= EPOLLIN;
  if (io->want_write)
    event.events |= EPOLLOUT;
  if (io->fd < 0 || event.events == io->watched_events)
    return;
  INVARIANT (epoll_ctl (io->loop->epoll_fd, EPOLL_CTL_MOD, io->fd, &event)
             == 0);
  io->watched_events = event.events;
}

/* Calls the owner of a descriptor, which may close it in each callback.
   Errors are reported by the epoll set also when they are not asked for; the
   owner finds them when it reads or writes.  */
static void
loop_handle_event (struct loop_io *io, uint32_t events)
{
  bool failed = (events & (EPOLLERR | EPOLLHUP)) != 0;

  io->loop->now = clk_now ();
  if (io->want_write && (failed || (events & EPOLLOUT) != 0))
    {
      io->want_write = false;
      io->writable (io);
    }
  if (io->fd >= 0 && !io->paused && (failed || (events & EPOLLIN) != 0))
    io->readable (io);
  else if (io->fd >= 0 && failed && io->paused)
    loop_report_failure (io);
  loop_update_events (io);
}

static void
loop_handle_events (struct loop *loop)
{
  struct epoll_event events[LOOP_EVENTS_MAX];
  int count = epoll_wait (loop->epoll_fd, events, LOOP_EVENTS_MAX, 0);

  for (int i = 0; i < count; i++)
    {
      struct loop_io *io = events[i].data.ptr;

      /* A callback before this one may have closed it; its owner frees it
         from a timer, not before this function returns.  */
      if (io->fd >= 0)
        loop_handle_event (io, events[i].events);
    }
}

static int
loop_lws_callback (struct lws *wsi, enum lws_callback_reasons reason,
                   void *user, void *in, size_t len)
{
  struct loop *loop = lws_context_user (lws_get_context (wsi));

  (void)user;
  (void)in;
  (void)len;
  switch (reason)
    {
    case LWS_CALLBACK_EVENT_WAIT_CANCELLED:
      loop->now = clk_now ();
      loop->opts.on_wake (loop->opts.arg);
      break;
    case LWS_CALLBACK_RAW_RX_FILE:
      loop_handle_events (loop);
      break;
    default:
      break;
    }
  return 0;
}

int
loop_add (struct loop *loop, struct loop_io *io, int fd)
{
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = io };

  io->loop = loop;
  io->fd = -1;
  io->watched_events = event.events;
  io->want_write = false;
  io->paused = false;
  if (loop->descriptor_count >= loop->opts.descriptors_max
      || epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
    return SR_EIO;
  io->fd = fd;
  list_push_tail (&loop->descriptors, &io->node);
  loop->descriptor_count++;
  return SR_OK;
}

void
loop_want_write (struct loop_io *io)
{
  io->want_write = true;
  loop_update_events (io);
}

void
loop_pause_reading (struct loop_io *io, bool paused)
{
  io->paused = paused;
  loop_update_events (io);
}

void
loop_close (struct loop_io *io, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (io->fd < 0)
    return;
  if (reset)
    setsockopt (io->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  loop_forget (io);
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
  while (!loop->stopping && lws_service (loop->context, 0) >= 0)
    loop->now = clk_now ();
}
