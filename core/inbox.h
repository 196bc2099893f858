#ifndef CORE_INBOX_H
#define CORE_INBOX_H

/**
 * DOC: inbox - inbox of a task
 *
 * A mutex, a list of messages and a wake function.  Any thread may put; only
 * the owning task takes.  Messages are owned by whoever holds them.
 */

#include "core/clk.h"
#include "core/list.h"
#include "core/msg.h"

struct inbox;

/* How the owner is woken after a put into an empty inbox.  */
enum inbox_wake_kind
{
  INBOX_WAKE_CONDITION, /* the owner waits in inbox_drain_until() */
  INBOX_WAKE_FD,        /* the owner polls inbox_fd() */
  INBOX_WAKE_CALLBACK,  /* a function that any thread may call */
};

struct inbox_opts
{
  enum inbox_wake_kind wake;
  void (*callback) (void *arg); /* for INBOX_WAKE_CALLBACK */
  void *arg;
};

struct inbox *inbox_new (const struct inbox_opts *opts);

/* Frees the inbox and all messages in it.  */
void inbox_free (struct inbox *inbox);

/* Appends MSG and wakes the owner.  */
void inbox_put (struct inbox *inbox, struct msg *msg);

/* Moves all messages to the tail of OUT without waiting.  */
void inbox_drain (struct inbox *inbox, struct list *out);

/* As inbox_drain(), but waits until a message is there or until UNTIL on the
   monotonic clock.  For INBOX_WAKE_CONDITION only.  */
void inbox_drain_until (struct inbox *inbox, clk_us until, struct list *out);

/* Descriptor that is readable while messages may be there; cleared by
   inbox_drain().  For INBOX_WAKE_FD only.  */
int inbox_fd (const struct inbox *inbox);

#endif
