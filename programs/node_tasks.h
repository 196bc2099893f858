#ifndef PROGRAMS_NODE_TASKS_H
#define PROGRAMS_NODE_TASKS_H

/**
 * DOC: node_tasks - the control, peer and store tasks of a node
 *
 * Every node runs them next to the task that serves its requests.
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

/* Creates the control and peer tasks, which send to the inbox FRONT of the
   task that serves requests.  Returns SR_OK, or SR_EIO when the peer task
   could not be opened, which has logged the error.  */
int node_tasks_open (struct node_tasks *tasks, struct inbox *front,
                     struct control_opts *control, struct peer_opts *peer);

/* Opens and starts the store of a control replica.  Returns an error number;
   logs an error with the name SETTING of the setting.  */
int node_tasks_open_store (struct node_tasks *tasks, const char *setting,
                           const char *data_dir);

/* Connects the tasks to each other and starts their threads.  Returns SR_OK,
   or SR_EIO after logging an error.  */
int node_tasks_start (struct node_tasks *tasks);

/* Waits for the end of the control task, which must have received MSG_STOP,
   then stops the other tasks.  Returns nonzero when the control task has
   failed.  */
int node_tasks_end (struct node_tasks *tasks);

#endif
