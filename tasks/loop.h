#ifndef TASKS_LOOP_H
#define TASKS_LOOP_H

/**
 * DOC: loop - event loop for tasks that own raw sockets
 *
 * Timers and wake-ups are those of libwebsockets.  The descriptors are in an
 * epoll set of their own, which libwebsockets watches as one descriptor: it
 * would poll all of them in each turn, and a node of a large fleet has
 * hundreds.  Their owners read and write them with system calls, so that an
 * orderly close can be distinguished from a reset.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/wheel.h"
#include "core/clk.h"
#include "core/list.h"

struct loop;
struct loop_io;

struct loop_opts
{
  void (*on_wake) (void *arg); /* after loop_wake() */
  void *arg;
  uint32_t descriptors_max; /* open at the same time */
};

/* A watched descriptor, embedded in its owner's structure.  */
struct loop_io
{
  struct loop *loop;
  struct list_node node;   /* loop->descriptors */
  int fd;                  /* -1 when closed */
  uint32_t watched_events; /* events for which it is in the epoll set */
  bool want_write;
  bool paused;
  void (*readable) (struct loop_io *io);
  void (*writable) (struct loop_io *io);
  /* The descriptor has failed and is closed; ERROR is an errno value.  */
  void (*failed) (struct loop_io *io, int error);
};

/* A timer, embedded in its owner's structure.  */
struct loop_timer
{
  struct wheel_timer entry;
  void (*fire) (struct loop_timer *timer);
};

/* NULL if libwebsockets cannot be initialised.  */
struct loop *loop_new (const struct loop_opts *opts);

/* Closes all descriptors; no callback follows.  */
void loop_close_all (struct loop *loop);
/* The same, and frees LOOP.  */
void loop_free (struct loop *loop);

/* Runs until loop_stop().  */
void loop_run (struct loop *loop);
void loop_stop (struct loop *loop);

/* Makes the loop call @on_wake.  Safe to call from any thread.  */
void loop_wake (struct loop *loop);

/* Time at which the current callback was called.  */
clk_us loop_now (const struct loop *loop);

/* Watches FD for reading.  SR_OK, after which the loop owns FD, or SR_EIO,
   after which the caller still owns it.  */
int loop_add (struct loop *loop, struct loop_io *io, int fd);

/* Calls @writable once, when the descriptor can be written.  */
void loop_want_write (struct loop_io *io);

/* Pauses or resumes calls of @readable.  */
void loop_pause_reading (struct loop_io *io, bool paused);

/* Closes the descriptor; no callback follows.  RESET sends a TCP reset and
   discards unsent bytes.  */
void loop_close (struct loop_io *io, bool reset);

/* Sets the timer to fire at AT, also if it is already set.  */
void loop_set_timer (struct loop *loop, struct loop_timer *timer, clk_us at);
void loop_cancel_timer (struct loop_timer *timer);

#endif
