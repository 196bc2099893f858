#ifndef PROGRAMS_NODE_TASKS_H
#define PROGRAMS_NODE_TASKS_H

/**
 * DOC: tasks - the tasks that every node runs beside the one with its requests
 */

#include "tasks/control.h"
#include "tasks/peer.h"
#include "tasks/store.h"

struct node_tasks
{
  struct control *control;
  struct peer *peer;
  struct store *store; /* NULL without a control replica */
};

/* Opens the control and peer tasks, which send to FRONT; the peer task logs a
   fault.  */
int node_tasks_open (struct node_tasks *tasks, struct inbox *front,
                     struct control_opts *control, struct peer_opts *peer);

/* Opens and starts the store of a control replica; logs a fault, naming
   SETTING.  */
int node_tasks_open_store (struct node_tasks *tasks, const char *setting,
                           const char *data_dir);

/* Connects and starts the tasks; logs a fault.  */
int node_tasks_start (struct node_tasks *tasks);

/* Waits for the control task, which has been told to stop, and ends the
   others.  Returns nonzero when the control task had failed.  */
int node_tasks_end (struct node_tasks *tasks);

#endif
