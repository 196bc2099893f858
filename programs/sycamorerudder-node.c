#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "core/err.h"
#include "core/slog.h"
#include "programs/node_platform.h"
#include "programs/node_settings.h"
#include "programs/node_tasks.h"
#include "programs/tool_signal.h"
#include "tasks/front.h"

/* Exit statuses of the process.  */
#define NODE_EXIT_FAILED 1
#define NODE_EXIT_USAGE 2
/* Limit of open descriptors for callers, connections to the backend server and
   peers.  */
#define NODE_DESCRIPTORS_MAX 8192

struct node
{
  struct node_settings settings;
  struct front *front;
  struct node_tasks tasks;
};

static const int node_signals[] = { SIGTERM, SIGINT };
/* Used by the signal handler only.  */
static struct front *node_front;

static void
node_on_signal (int signal)
{
  (void)signal;
  if (node_front != NULL)
    front_shut_down (node_front);
}

/* Raises the soft limit of descriptors.  Each connection needs one, and the
   usual soft limit is lower than the number of connections that a backend
   server declares.  */
static void
node_raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max < NODE_DESCRIPTORS_MAX
                       ? limit.rlim_max
                       : NODE_DESCRIPTORS_MAX;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    slog (SLOG_WARNING, "cannot raise the limit of open descriptors");
}

/* Creates the tasks and opens their sockets.  The task that fails has logged
   the error.  */
static int
node_open (struct node *node)
{
  const struct node_settings *settings = &node->settings;
  struct front_opts front
      = { .listen_address = settings->listen,
          .admin_address = settings->admin,
          .peer_address = settings->peer,
          .instance = settings->instance,
          .failure_domain = settings->failure_domain,
          .operator_token = settings->operator_token,
          .drain_limit_ms = settings->drain_limit_ms,
          .control_replica = settings->control,
          .memory_bytes = (uint64_t)settings->memory_mb * 1024 * 1024 };
  struct control_opts control = { .instance = settings->instance,
                                  .failure_domain = settings->failure_domain,
                                  .address = settings->peer,
                                  .join = settings->join };
  struct peer_opts peer = { .address = settings->peer,
                            .curve_secret = settings->curve_secret,
                            .curve_public = settings->curve_public };

  node->front = front_new (&front);
  if (node->front == NULL)
    return SR_EIO;
  if (node_tasks_open (&node->tasks, front_inbox (node->front), &control,
                       &peer)
      != SR_OK)
    return SR_EIO;
  front_attach (node->front, peer_inbox (node->tasks.peer),
                control_inbox (node->tasks.control));
  return SR_OK;
}

/* Runs all tasks until the front task has shut down; returns the exit
   status.  */
static int
node_run (struct node *node)
{
  int status;

  if (node_tasks_start (&node->tasks) != SR_OK)
    return NODE_EXIT_FAILED;
  slog (SLOG_NOTICE,
        "started version=" SR_VERSION
        " instance=%s listen=%s admin=%s peer=%s control=%d",
        node->settings.instance, node->settings.listen, node->settings.admin,
        node->settings.peer, (int)node->settings.control);
  status = front_run (node->front);
  inbox_put (control_inbox (node->tasks.control), msg_new (MSG_STOP));
  if (node_tasks_end (&node->tasks) != 0)
    status = NODE_EXIT_FAILED;
  front_free (node->front);
  if (node->tasks.store != NULL)
    store_free (node->tasks.store);
  slog (SLOG_NOTICE, "stopped status=%d", status);
  return status;
}

int
main (int argc, const char **argv)
{
  struct node node = { 0 };
  int status = NODE_EXIT_FAILED;

  slog_init ("sycamorerudder-node", SLOG_INFO);
  switch (node_settings_read (&node.settings, argc, argv))
    {
    case NODE_SETTINGS_RUN:
      break;
    case NODE_SETTINGS_DONE:
      node_settings_free (&node.settings);
      return EXIT_SUCCESS;
    case NODE_SETTINGS_INVALID:
      node_settings_free (&node.settings);
      return NODE_EXIT_USAGE;
    }
  node_raise_descriptor_limit ();
  if (node.settings.platform)
    {
      status = node.settings.check_only ? node_platform_check ()
                                        : node_platform_run ();
      node_settings_free (&node.settings);
      return status;
    }
  slog_set_node (node.settings.instance);
  tool_signal_catch (node_on_signal, node_signals,
                     sizeof node_signals / sizeof node_signals[0]);
  if (node_open (&node) == SR_OK
      && (!node.settings.control
          || node_tasks_open_store (&node.tasks, "--data-dir",
                                    node.settings.data_dir)
                 == SR_OK))
    {
      node_front = node.front;
      status = node_run (&node);
    }
  node_settings_free (&node.settings);
  return status;
}
