#ifndef CORE_INBOX_H
#define CORE_INBOX_H

/**
 * DOC: inbox - multi-producer, single-consumer message queue of a task
 *
 * Any thread may put messages; only the owning task drains them.  A message
 * belongs to the inbox from put to drain, and to the task afterwards.
 */

#include "core/clk.h"
#include "core/list.h"
#include "core/msg.h"

struct inbox;

/* How the owning task is notified of a message in an empty inbox.  */
enum inbox_wake_kind
{
  INBOX_WAKE_CONDITION, /* the task blocks in inbox_drain_until() */
  INBOX_WAKE_FD,        /* the task polls inbox_fd() */
  INBOX_WAKE_CALLBACK,  /* @callback is called by the sending thread */
};

struct inbox_opts
{
  enum inbox_wake_kind wake;
  void (*callback) (void *arg); /* for INBOX_WAKE_CALLBACK; thread-safe */
  void *arg;
};

/* Returns NULL when memory or descriptors are short.  */
struct inbox *inbox_new (const struct inbox_opts *opts);

/* Frees the inbox and all messages in it.  */
void inbox_free (struct inbox *inbox);

/* Appends MSG, which belongs to the inbox then, and notifies the owner.  */
void inbox_put (struct inbox *inbox, struct msg *msg);

/* Appends all messages to OUT without blocking.  */
void inbox_drain (struct inbox *inbox, struct list *out);

/* Appends all messages to OUT; blocks while the inbox is empty, at most until
   DEADLINE of clk_now().  For INBOX_WAKE_CONDITION only.  */
void inbox_drain_until (struct inbox *inbox, clk_us deadline,
                        struct list *out);

/* Returns an eventfd that is readable while messages may be pending;
   inbox_drain() resets it.  For INBOX_WAKE_FD only.  */
int inbox_fd (const struct inbox *inbox);

#endif
