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
  struct inbox *inbox = calloc (1, sizeof *inbox);
  pthread_condattr_t attributes;

  if (inbox == NULL)
    return NULL;
  inbox->opts = *opts;
  inbox->fd = -1;
  if (opts->wake == INBOX_WAKE_FD)
    {
      inbox->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
      if (inbox->fd < 0)
        {
          free (inbox);
          return NULL;
        }
    }
  list_init (&inbox->messages);
  pthread_mutex_init (&inbox->mutex, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&inbox->condition, &attributes);
  pthread_condattr_destroy (&attributes);
  return inbox;
}

void
inbox_free (struct inbox *inbox)
{
  struct list_node *node;

  if (inbox == NULL)
    return;
  while ((node = list_pop_head (&inbox->messages)) != NULL)
    msg_free (list_entry (node, struct msg, node));
  if (inbox->fd >= 0)
    close (inbox->fd);
  pthread_cond_destroy (&inbox->condition);
  pthread_mutex_destroy (&inbox->mutex);
  free (inbox);
}

/* Notifies the owner of pending messages.  */
static void
inbox_wake (struct inbox *inbox)
{
  uint64_t one = 1;

  switch (inbox->opts.wake)
    {
    case INBOX_WAKE_CONDITION:
      pthread_cond_signal (&inbox->condition);
      break;
    case INBOX_WAKE_FD:
      INVARIANT (write (inbox->fd, &one, sizeof one) == sizeof one);
      break;
    case INBOX_WAKE_CALLBACK:
      inbox->opts.callback (inbox->opts.arg);
      break;
    }
}

void
inbox_put (struct inbox *inbox, struct msg *msg)
{
  bool was_empty;

  pthread_mutex_lock (&inbox->mutex);
  was_empty = list_empty (&inbox->messages);
  list_push_tail (&inbox->messages, &msg->node);
  pthread_mutex_unlock (&inbox->mutex);
  if (was_empty)
    inbox_wake (inbox);
}

void
inbox_drain (struct inbox *inbox, struct list *out)
{
  uint64_t count;

  if (inbox->fd >= 0 && read (inbox->fd, &count, sizeof count) < 0)
    return;
  pthread_mutex_lock (&inbox->mutex);
  list_splice_tail (out, &inbox->messages);
  pthread_mutex_unlock (&inbox->mutex);
}

void
inbox_drain_until (struct inbox *inbox, clk_us deadline, struct list *out)
{
  struct timespec ts = { .tv_sec = (time_t)(deadline / CLK_US_PER_S),
                         .tv_nsec = (long)(deadline % CLK_US_PER_S) * 1000 };

  INVARIANT (inbox->opts.wake == INBOX_WAKE_CONDITION);
  pthread_mutex_lock (&inbox->mutex);
  while (list_empty (&inbox->messages))
    if (pthread_cond_timedwait (&inbox->condition, &inbox->mutex, &ts) != 0)
      break;
  list_splice_tail (out, &inbox->messages);
  pthread_mutex_unlock (&inbox->mutex);
}

int
inbox_fd (const struct inbox *inbox)
{
  return inbox->fd;
}
