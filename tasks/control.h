#ifndef TASKS_CONTROL_H
#define TASKS_CONTROL_H

/**
 * DOC: control - task for membership, configuration and claims
 *
 * Every node has one.  It renews the node's lease at the control replicas,
 * keeps the configuration in force and passes proposals to the leaders of the
 * log groups.  On a control replica it also holds the member table and hosts
 * the log groups.
 */

#include "core/inbox.h"
#include "tasks/store.h"

struct control;

struct control_opts
{
  const char *instance;
  const char *failure_domain;
  const char *address;      /* own peer address */
  const char *join;         /* peer addresses of the replicas, "," between */
  struct store *store;      /* NULL when this node holds no replica */
  struct inb *front;
  struct inb *peer;
};

struct control *control_new (const struct control_opts *opts);
struct inb *control_inbox (struct control *control);
int control_start (struct control *control);

/* Hands leadership over, leaves the members and ends the task after a
   MSG_STOP in its inbox.  Returns nonzero when the task had failed.  */
int control_join (struct control *control);

#endif
