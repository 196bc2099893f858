#include "programs/node_tasks.h"

#include "core/err.h"
#include "core/slog.h"

int
node_tasks_open (struct node_tasks *tasks, struct inbox *front,
                 struct control_opts *control, struct peer_opts *peer)
{
  control->front = front;
  tasks->control = control_new (control);
  peer->front = front;
  peer->control = control_inbox (tasks->control);
  tasks->peer = peer_new (peer);
  return tasks->peer != NULL ? SR_OK : SR_EIO;
}

int
node_tasks_open_store (struct node_tasks *tasks, const char *setting,
                       const char *data_dir)
{
  struct store_opts opts
      = { .data_dir = data_dir, .control = control_inbox (tasks->control) };
  char fault[RAFT_ERROR_BYTES] = "";
  int error = store_new (&opts, &tasks->store, fault);

  if (error != SR_OK)
    {
      slog (SLOG_ERR,
            "cannot use the data directory setting=%s "
            "value=%s error=\"%s\" detail=\"%s\"",
            setting, data_dir, sr_strerror (error), fault);
      return error;
    }
  return store_start (tasks->store);
}

int
node_tasks_start (struct node_tasks *tasks)
{
  control_attach (tasks->control, peer_inbox (tasks->peer), tasks->store);
  if (peer_start (tasks->peer) == SR_OK
      && control_start (tasks->control) == SR_OK)
    return SR_OK;
  slog (SLOG_ERR, "cannot start a thread");
  return SR_EIO;
}

int
node_tasks_end (struct node_tasks *tasks)
{
  int failed = control_join (tasks->control);

  if (tasks->store != NULL)
    store_stop (tasks->store);
  inbox_put (peer_inbox (tasks->peer), msg_new (MSG_STOP));
  peer_join (tasks->peer);
  /* The store and peer tasks have sent to the control task until now.  */
  control_free (tasks->control);
  return failed;
}
