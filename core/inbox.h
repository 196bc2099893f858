#ifndef CORE_INBOX_H
#define CORE_INBOX_H

/**
 * DOC: inb - inbox of a task
 *
 * A mutex, a list of messages and a wake function.  Any thread may put; only
 * the owning task takes.  Messages are owned by whoever holds them.
 */

#include "core/clk.h"
#include "core/list.h"
#include "core/msg.h"

struct inb;

/* How the owner is woken after a put into an empty inbox.  */
enum inb_wake_kind
{
  INB_WAKE_CONDITION, /* the owner waits in inb_wait() */
  INB_WAKE_FD,        /* the owner polls inb_fd() */
  INB_WAKE_CALL,      /* a function that any thread may call */
};

struct inb_opts
{
  enum inb_wake_kind wake;
  void (*call) (void *arg); /* for INB_WAKE_CALL */
  void *arg;
};

struct inb *inb_new (const struct inb_opts *opts);

/* Frees the inbox and all messages in it.  */
void inb_free (struct inb *inb);

/* Appends MSG and wakes the owner.  */
void inb_put (struct inb *inb, struct msg *msg);

/* Moves all messages to the tail of OUT without waiting.  */
void inb_take (struct inb *inb, struct lst *out);

/* As inb_take(), but waits until a message is there or until UNTIL on the
   monotonic clock.  For INB_WAKE_CONDITION only.  */
void inb_wait (struct inb *inb, clk_us until, struct lst *out);

/* Descriptor that is readable while messages may be there; cleared by
   inb_take().  For INB_WAKE_FD only.  */
int inb_fd (const struct inb *inb);

#endif
