#include "programs/node_platform.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/slog.h"
#include "platform/platform.h"
#include "programs/node_tasks.h"
#include "programs/tool_signal.h"
#include "tasks/gate.h"

/* Exit statuses.  */
#define NPL_FAILED 1
#define NPL_USAGE 2
/* Silence after which a replica in reserve takes the place of a voter: longer
   than a restart takes, short of the next failure.  */
#define NPL_REPLACE_AFTER_US clk_s (6)

struct npl
{
  struct plt_settings settings;
  struct gate *gate;
  struct ntk tasks;
};

static const int npl_signals[] = { SIGTERM, SIGINT, SIGHUP };
/* For the signal handlers only.  */
static struct gate *npl_gate;

static void
npl_signal (int signal)
{
  if (npl_gate == NULL)
    return;
  if (signal == SIGHUP)
    gate_reload (npl_gate);
  else
    gate_shut_down (npl_gate);
}

/* Reads the settings; an unreadable file is one clear line.  */
static int
npl_read (struct plt_settings *settings)
{
  char fault[API_FAULT_BYTES] = "";
  int error = plt_read_settings (settings, fault);

  if (error != SR_OK)
    slog (SLOG_ERR, "settings file not read error=\"%s\" reason=\"%s\"",
          sr_strerror (error), fault);
  return error;
}

/* Settings that may change while the process runs.  */
static bool
npl_reload (void *arg, struct gat_opts *opts)
{
  struct npl *node = arg;

  if (npl_read (&node->settings) != SR_OK)
    return false;
  opts->retry_budget.ratio = node->settings.retry_ratio;
  opts->retry_budget.slack = node->settings.retry_slack;
  slog (SLOG_NOTICE, "settings read again join=%s", node->settings.join);
  return true;
}

static struct gat_opts
npl_gate_opts (struct npl *node)
{
  const struct plt_settings *from = &node->settings;
  struct gat_opts opts
      = { .listen = { [GAT_CALLERS] = from->callers,
                      [GAT_NODES] = from->nodes,
                      [GAT_CONTROL] = from->control_address,
                      [GAT_HEALTH] = from->health,
                      [GAT_METRICS] = from->metrics },
          .instance = from->instance,
          .failure_domain = from->failure_domain,
          .peer = from->peer,
          .service = from->service,
          .server = from->server,
          .adapter = plt_adapter (),
          .retry_budget
          = { .ratio = from->retry_ratio,
              .slack = from->retry_slack,
              .length = (clk_us)(from->retry_window_s * CLK_US_PER_S) },
          .stop_limit = (clk_us)(from->stop_limit_s * CLK_US_PER_S),
          .heartbeat = (clk_us)(from->heartbeat_s * CLK_US_PER_S),
          .descriptors = from->descriptors,
          .reload = npl_reload,
          .reload_arg = node };

  return opts;
}

static int
npl_open (struct npl *node)
{
  struct gat_opts gate = npl_gate_opts (node);
  struct control_opts control
      = { .instance = node->settings.instance,
          .failure_domain = node->settings.failure_domain,
          .address = node->settings.peer,
          .join = node->settings.join,
          .parse = plt_parse_document,
          .existing = node->settings.group_exists,
          .voters_most = 2 * node->settings.replicas_lost_most + 1,
          .replace_after = NPL_REPLACE_AFTER_US };
  struct peer_opts peer = { .address = node->settings.peer };

  node->gate = gate_new (&gate);
  if (node->gate == NULL)
    return SR_EIO;
  if (ntk_open (&node->tasks, gate_inbox (node->gate), &control, &peer)
      != SR_OK)
    return SR_EIO;
  gate_connect (node->gate, peer_inbox (node->tasks.peer),
                control_inbox (node->tasks.control));
  return SR_OK;
}

/* Runs all tasks until the gate task ends.  */
static int
npl_run_tasks (struct npl *node)
{
  int status;

  if (ntk_start (&node->tasks) != SR_OK)
    return NPL_FAILED;
  slog (SLOG_NOTICE,
        "started version=" SR_VERSION
        " instance=%s failure_domain=%s peer=%s join=%s control=%d "
        "group_exists=%d",
        node->settings.instance, node->settings.failure_domain,
        node->settings.peer, node->settings.join, (int)node->settings.control,
        (int)node->settings.group_exists);
  status = gate_run (node->gate);
  if (ntk_end (&node->tasks) != 0)
    status = NPL_FAILED;
  slog (SLOG_NOTICE, "stopped status=%d", status);
  return status;
}

int
npl_run (void)
{
  static struct npl node;

  if (npl_read (&node.settings) != SR_OK)
    return NPL_USAGE;
  slog_name (node.settings.instance);
  tsg_catch (npl_signal, npl_signals,
             sizeof npl_signals / sizeof npl_signals[0]);
  if (npl_open (&node) != SR_OK)
    return NPL_FAILED;
  if (node.settings.control
      && ntk_open_store (&node.tasks, "data_dir", node.settings.data_dir)
             != SR_OK)
    return NPL_FAILED;
  npl_gate = node.gate;
  return npl_run_tasks (&node);
}

int
npl_check (void)
{
  struct plt_settings settings;

  if (npl_read (&settings) != SR_OK)
    return NPL_USAGE;
  printf ("settings are valid\n");
  return EXIT_SUCCESS;
}
