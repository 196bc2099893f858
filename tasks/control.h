#ifndef TASKS_CONTROL_H
#define TASKS_CONTROL_H

/**
 * DOC: control - membership and configuration task
 *
 * Runs on every node.  Renews the node's lease at the control replicas,
 * installs configuration changes and forwards proposals (claims and
 * configuration changes) to the leaders of the log groups.  On a control
 * replica it also maintains the member table and runs the log groups.
 */

#include <stdbool.h>

#include "core/api.h"
#include "core/clk.h"
#include "core/inbox.h"
#include "tasks/store.h"

struct control;
struct model;

struct control_opts
{
  const char *instance;
  const char *failure_domain;
  const char *address; /* peer address of this node */
  const char *join;    /* comma-separated peer addresses of replicas */
  struct inbox *front; /* of the front task */
  /* Parses a configuration document and sets @fault on failure; NULL for the
     built-in format.  */
  int (*parse) (const char *document, size_t len, struct model **out,
                char fault[API_FAULT_BYTES]);
  bool group_exists;      /* never create the log groups */
  clk_us replace_timeout; /* of an unreachable voter; 0: default */
};

/* Creates the task without starting it.  Strings in OPTS must outlive it.  */
struct control *control_new (const struct control_opts *opts);
struct inbox *control_inbox (struct control *control);

/**
 * control_attach() - connect the task to the tasks that it sends to
 * @control: task; not started yet
 * @peer: inbox of the peer task
 * @store: log files when this node is a control replica, otherwise NULL
 */
void control_attach (struct control *control, struct inbox *peer,
                     struct store *store);

/* Starts the thread.  Returns SR_OK or SR_EIO.  */
int control_start (struct control *control);

/**
 * control_join() - wait for the task to end
 * @control: task; has failed, or has a MSG_STOP in its inbox
 *
 * On MSG_STOP the task transfers leadership of its log groups, ends the lease
 * of the node and answers every pending request before it ends.
 *
 * Return: 0, or 1 when the task failed.
 */
int control_join (struct control *control);

/* Frees a task that has ended.  No other task may send to it any more.  */
void control_free (struct control *control);

#endif
