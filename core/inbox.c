#include "core/inbox.h"

#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "core/err.h"

struct inb
{
  pthread_mutex_t mutex;
  pthread_cond_t condition;
  struct inb_opts opts;
  struct lst messages;
  int fd;
};

struct inb *
inb_new (const struct inb_opts *opts)
{
  struct inb *inb = calloc (1, sizeof *inb);
  pthread_condattr_t attributes;

  if (inb == NULL)
    return NULL;
  inb->opts = *opts;
  inb->fd = -1;
  if (opts->wake == INB_WAKE_FD)
    {
      inb->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
      if (inb->fd < 0)
        {
          free (inb);
          return NULL;
        }
    }
  lst_init (&inb->messages);
  pthread_mutex_init (&inb->mutex, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&inb->condition, &attributes);
  pthread_condattr_destroy (&attributes);
  return inb;
}

void
inb_free (struct inb *inb)
{
  struct lst_node *node;

  if (inb == NULL)
    return;
  while ((node = lst_pop_head (&inb->messages)) != NULL)
    msg_free (lst_entry (node, struct msg, node));
  if (inb->fd >= 0)
    close (inb->fd);
  pthread_cond_destroy (&inb->condition);
  pthread_mutex_destroy (&inb->mutex);
  free (inb);
}

/* Wakes the owner in its own way.  */
static void
inb_wake (struct inb *inb)
{
  uint64_t one = 1;

  switch (inb->opts.wake)
    {
    case INB_WAKE_CONDITION:
      pthread_cond_signal (&inb->condition);
      break;
    case INB_WAKE_FD:
      INVARIANT (write (inb->fd, &one, sizeof one) == sizeof one);
      break;
    case INB_WAKE_CALL:
      inb->opts.call (inb->opts.arg);
      break;
    }
}

void
inb_put (struct inb *inb, struct msg *msg)
{
  bool was_empty;

  pthread_mutex_lock (&inb->mutex);
  was_empty = lst_empty (&inb->messages);
  lst_push_tail (&inb->messages, &msg->node);
  pthread_mutex_unlock (&inb->mutex);
  if (was_empty)
    inb_wake (inb);
}

void
inb_take (struct inb *inb, struct lst *out)
{
  uint64_t count;

  if (inb->fd >= 0 && read (inb->fd, &count, sizeof count) < 0)
    return;
  pthread_mutex_lock (&inb->mutex);
  lst_splice_tail (out, &inb->messages);
  pthread_mutex_unlock (&inb->mutex);
}

void
inb_wait (struct inb *inb, clk_us until, struct lst *out)
{
  struct timespec ts = { .tv_sec = (time_t)(until / CLK_US_PER_S),
                         .tv_nsec = (long)(until % CLK_US_PER_S) * 1000 };

  INVARIANT (inb->opts.wake == INB_WAKE_CONDITION);
  pthread_mutex_lock (&inb->mutex);
  while (lst_empty (&inb->messages))
    if (pthread_cond_timedwait (&inb->condition, &inb->mutex, &ts) != 0)
      break;
  lst_splice_tail (out, &inb->messages);
  pthread_mutex_unlock (&inb->mutex);
}

int
inb_fd (const struct inb *inb)
{
  return inb->fd;
}
