#ifndef PROGRAMS_NODE_TASKS_H
#define PROGRAMS_NODE_TASKS_H

/**
 * DOC: ntk - the tasks that every node runs beside the one with its requests
 */

#include "tasks/control.h"
#include "tasks/peer.h"
#include "tasks/store.h"

struct ntk
{
  struct control *control;
  struct peer *peer;
  struct store *store; /* NULL without a control replica */
};

/* Opens the control and peer tasks, which send to FRONT; the peer task logs a
   fault.  */
int ntk_open (struct ntk *tasks, struct inb *front,
              struct control_opts *control, struct peer_opts *peer);

/* Opens and starts the store of a control replica; logs a fault, naming
   SETTING.  */
int ntk_open_store (struct ntk *tasks, const char *setting,
                    const char *data_dir);

/* Connects and starts the tasks; logs a fault.  */
int ntk_start (struct ntk *tasks);

/* Waits for the control task, which has been told to stop, and ends the
   others.  Returns nonzero when the control task had failed.  */
int ntk_end (struct ntk *tasks);

#endif
