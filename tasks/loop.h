#ifndef TASKS_LOOP_H
#define TASKS_LOOP_H

/**
 * DOC: lop - event loop of a task that owns raw sockets
 *
 * libwebsockets polls; the owner of a descriptor reads and writes it itself.
 * Reading, writing and the end of a connection therefore keep what the kernel
 * tells: an orderly end and a reset differ.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/whl.h"
#include "core/clk.h"
#include "core/list.h"

struct lws;
struct lop;
struct lop_io;

struct lop_opts
{
  void (*woken) (void *arg); /* after lop_wake() */
  void *arg;
  uint32_t descriptors; /* most descriptors that are open at once */
};

/* A watched descriptor, embedded in its owner's record.  */
struct lop_io
{
  struct lop *loop;
  struct lws *wsi;
  struct lst_node deferred;
  int fd;
  bool writing; /* in @writable now */
  bool paused;
  void (*readable) (struct lop_io *io);
  void (*writable) (struct lop_io *io);
  /* The descriptor has failed; ERROR is an error number of the system.  */
  void (*failed) (struct lop_io *io, int error);
};

/* A timer, embedded in its owner's record.  */
struct lop_timer
{
  struct whl_timer entry;
  void (*fire) (struct lop_timer *timer);
};

struct lop *lop_new (const struct lop_opts *opts);
void lop_free (struct lop *loop);

/* Runs until lop_stop().  */
void lop_run (struct lop *loop);
void lop_stop (struct lop *loop);

/* Makes the loop call @woken; any thread may call it.  */
void lop_wake (struct lop *loop);

/* Time of the current turn of the loop.  */
clk_us lop_now (const struct lop *loop);

/* Watches FD for reading; the loop owns FD after SR_OK.  */
int lop_add (struct lop *loop, struct lop_io *io, int fd);

/* Calls @writable once FD can be written.  */
void lop_want_write (struct lop_io *io);

/* Stops or resumes reading.  */
void lop_pause (struct lop_io *io, bool paused);

/* Closes the descriptor; no callback follows.  RESET discards what has not
   been delivered.  */
void lop_close (struct lop_io *io, bool reset);

/* Sets or moves a timer; it may be set already.  */
void lop_set (struct lop *loop, struct lop_timer *timer, clk_us at);
void lop_cancel (struct lop_timer *timer);

#endif
