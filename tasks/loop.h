#ifndef TASKS_LOOP_H
#define TASKS_LOOP_H

/**
 * DOC: loop - event loop of a task that owns raw sockets
 *
 * libwebsockets polls; the owner of a descriptor reads and writes it itself.
 * Reading, writing and the end of a connection therefore keep what the kernel
 * tells: an orderly end and a reset differ.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/wheel.h"
#include "core/clk.h"
#include "core/list.h"

struct lws;
struct loop;
struct loop_io;

struct loop_opts
{
  void (*on_wake) (void *arg); /* after loop_wake() */
  void *arg;
  uint32_t descriptors_max; /* most descriptors that are open at once */
};

/* A watched descriptor, embedded in its owner's record.  */
struct loop_io
{
  struct loop *loop;
  struct lws *wsi;
  struct list_node deferred;
  int fd;
  bool in_writable; /* in @writable now */
  bool paused;
  void (*readable) (struct loop_io *io);
  void (*writable) (struct loop_io *io);
  /* The descriptor has failed; ERROR is an error number of the system.  */
  void (*failed) (struct loop_io *io, int error);
};

/* A timer, embedded in its owner's record.  */
struct loop_timer
{
  struct wheel_timer entry;
  void (*fire) (struct loop_timer *timer);
};

struct loop *loop_new (const struct loop_opts *opts);
void loop_free (struct loop *loop);

/* Runs until loop_stop().  */
void loop_run (struct loop *loop);
void loop_stop (struct loop *loop);

/* Makes the loop call @woken; any thread may call it.  */
void loop_wake (struct loop *loop);

/* Time of the current turn of the loop.  */
clk_us loop_now (const struct loop *loop);

/* Watches FD for reading; the loop owns FD after SR_OK.  */
int loop_add (struct loop *loop, struct loop_io *io, int fd);

/* Calls @writable once FD can be written.  */
void loop_want_write (struct loop_io *io);

/* Stops or resumes reading.  */
void loop_pause_reading (struct loop_io *io, bool paused);

/* Closes the descriptor; no callback follows.  RESET discards what has not
   been delivered.  */
void loop_close (struct loop_io *io, bool reset);

/* Sets or moves a timer; it may be set already.  */
void loop_set_timer (struct loop *loop, struct loop_timer *timer, clk_us at);
void loop_cancel_timer (struct loop_timer *timer);

#endif
