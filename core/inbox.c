#include "core/inbox.h"

#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "core/err.h"

struct inbox
{
  pthread_mutex_t mutex;
  pthread_cond_t condition;
  struct inbox_opts opts;
  struct list messages;
  int fd;
};

struct inbox *
inbox_new (const struct inbox_opts *opts)
{
  struct inbox *inb = calloc (1, sizeof *inb);
  pthread_condattr_t attributes;

  if (inb == NULL)
    return NULL;
  inb->opts = *opts;
  inb->fd = -1;
  if (opts->wake == INBOX_WAKE_FD)
    {
      inb->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
      if (inb->fd < 0)
        {
          free (inb);
          return NULL;
        }
    }
  list_init (&inb->messages);
  pthread_mutex_init (&inb->mutex, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&inb->condition, &attributes);
  pthread_condattr_destroy (&attributes);
  return inb;
}

void
inbox_free (struct inbox *inb)
{
  struct list_node *node;

  if (inb == NULL)
    return;
  while ((node = list_pop_head (&inb->messages)) != NULL)
    msg_free (list_entry (node, struct msg, node));
  if (inb->fd >= 0)
    close (inb->fd);
  pthread_cond_destroy (&inb->condition);
  pthread_mutex_destroy (&inb->mutex);
  free (inb);
}

/* Wakes the owner in its own way.  */
static void
inbox_wake (struct inbox *inb)
{
  uint64_t one = 1;

  switch (inb->opts.wake)
    {
    case INBOX_WAKE_CONDITION:
      pthread_cond_signal (&inb->condition);
      break;
    case INBOX_WAKE_FD:
      INVARIANT (write (inb->fd, &one, sizeof one) == sizeof one);
      break;
    case INBOX_WAKE_CALL:
      inb->opts.call (inb->opts.arg);
      break;
    }
}

void
inbox_put (struct inbox *inb, struct msg *msg)
{
  bool was_empty;

  pthread_mutex_lock (&inb->mutex);
  was_empty = list_empty (&inb->messages);
  list_push_tail (&inb->messages, &msg->node);
  pthread_mutex_unlock (&inb->mutex);
  if (was_empty)
    inbox_wake (inb);
}

void
inbox_take (struct inbox *inb, struct list *out)
{
  uint64_t count;

  if (inb->fd >= 0 && read (inb->fd, &count, sizeof count) < 0)
    return;
  pthread_mutex_lock (&inb->mutex);
  list_splice_tail (out, &inb->messages);
  pthread_mutex_unlock (&inb->mutex);
}

void
inbox_wait (struct inbox *inb, clk_us until, struct list *out)
{
  struct timespec ts = { .tv_sec = (time_t)(until / CLK_US_PER_S),
                         .tv_nsec = (long)(until % CLK_US_PER_S) * 1000 };

  INVARIANT (inb->opts.wake == INBOX_WAKE_CONDITION);
  pthread_mutex_lock (&inb->mutex);
  while (list_empty (&inb->messages))
    if (pthread_cond_timedwait (&inb->condition, &inb->mutex, &ts) != 0)
      break;
  list_splice_tail (out, &inb->messages);
  pthread_mutex_unlock (&inb->mutex);
}

int
inbox_fd (const struct inbox *inb)
{
  return inb->fd;
}
