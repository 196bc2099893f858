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

#define NODE_PLATFORM_BYTES_PER_MB (1024.0 * 1024)
/* Exit statuses of the process.  */
#define NODE_PLATFORM_EXIT_FAILED 1
#define NODE_PLATFORM_EXIT_USAGE 2
/* A voter that is lost no longer counts as lost once its successor has run for
   catch_up_s.  A standby replica replaces it within half of that, which leaves
   the rest for an election, for the last entries and for the membership
   changes.  */
#define NODE_PLATFORM_REPLACE_SHARES 2
#define NODE_PLATFORM_REPLACE_DEFAULT_US clk_s (2)
/* Longer than an election.  */
#define NODE_PLATFORM_REPLACE_MIN_US clk_ms (1500)

struct node_platform
{
  struct platform_settings settings;
  struct gate *gate;
  struct node_tasks tasks;
};

static const int node_platform_signals[] = { SIGTERM, SIGINT, SIGHUP };
/* Used by the signal handler only.  */
static struct gate *node_platform_gate;

static void
node_platform_on_signal (int signal)
{
  if (node_platform_gate == NULL)
    return;
  if (signal == SIGHUP)
    gate_reload (node_platform_gate);
  else
    gate_shut_down (node_platform_gate);
}

/* Reads the settings file; logs one line on failure.  */
static int
node_platform_read_settings (struct platform_settings *settings)
{
  char fault[API_FAULT_BYTES] = "";
  int error = platform_read_settings (settings, fault);

  if (error != SR_OK)
    slog (SLOG_ERR, "cannot read the settings file error=\"%s\" reason=\"%s\"",
          sr_strerror (error), fault);
  return error;
}

/* Sends the losses that the control replicas have to bear to the control
   task.  */
static void
node_platform_send_tolerance (struct node_platform *node)
{
  const struct platform_settings *settings = &node->settings;
  struct msg *msg = msg_new (MSG_TOLERANCE);

  msg->u.tolerance.losses = settings->tolerance;
  for (uint32_t i = 0; i < settings->domain_count; i++)
    {
      struct msg_region *region = calloc (1, sizeof *region);

      INVARIANT (region != NULL);
      memcpy (region->domain, settings->domains[i].name,
              sizeof region->domain);
      memcpy (region->region, settings->domains[i].region,
              sizeof region->region);
      list_push_tail (&msg->u.tolerance.regions, &region->node);
    }
  inbox_put (control_inbox (node->tasks.control), msg);
}

/* Reads the settings file again and copies the settings that may change while
   the process runs to OPTS.  Returns false when the file cannot be read.  */
static bool
node_platform_reload_settings (void *arg, struct gate_opts *opts)
{
  struct node_platform *node = arg;

  if (node_platform_read_settings (&node->settings) != SR_OK)
    return false;
  opts->retry_budget.ratio = node->settings.retry_ratio;
  opts->retry_budget.retries_min = node->settings.retries_min;
  node_platform_send_tolerance (node);
  slog (SLOG_NOTICE, "settings reloaded join=%s",
        node->settings.seed_addresses);
  return true;
}

static struct gate_opts
node_platform_gate_opts (struct node_platform *node)
{
  const struct platform_settings *settings = &node->settings;
  struct gate_opts opts
      = { .listen_addresses
          = { [GATE_PORT_CALLERS] = settings->callers_address,
              [GATE_PORT_NODES] = settings->nodes_address,
              [GATE_PORT_CONTROL] = settings->control_address,
              [GATE_PORT_HEALTH] = settings->health_address,
              [GATE_PORT_METRICS] = settings->metrics_address },
          .instance = settings->instance,
          .failure_domain = settings->failure_domain,
          .peer_address = settings->peer_address,
          .service = settings->service,
          .backend_address = settings->backend_address,
          .adapter = platform_adapter (),
          .retry_budget
          = { .ratio = settings->retry_ratio,
              .retries_min = settings->retries_min,
              .window = (clk_us)(settings->retry_window_s * CLK_US_PER_S) },
          .stop_limit = (clk_us)(settings->stop_limit_s * CLK_US_PER_S),
          .heartbeat_interval
          = (clk_us)(settings->heartbeat_interval_s * CLK_US_PER_S),
          .descriptors_max = settings->descriptors_max,
          .memory_bytes
          = (uint64_t)(settings->memory_mb * NODE_PLATFORM_BYTES_PER_MB),
          .reload = node_platform_reload_settings,
          .reload_arg = node };

  return opts;
}

/* Returns the silence after which a standby replica replaces a voter.  */
static clk_us
node_platform_replace_timeout (const struct platform_settings *settings)
{
  clk_us timeout = (clk_us)(settings->catch_up_s * CLK_US_PER_S)
                   / NODE_PLATFORM_REPLACE_SHARES;

  if (timeout == 0)
    return NODE_PLATFORM_REPLACE_DEFAULT_US;
  return timeout < NODE_PLATFORM_REPLACE_MIN_US ? NODE_PLATFORM_REPLACE_MIN_US
                                                : timeout;
}

static int
node_platform_open (struct node_platform *node)
{
  struct gate_opts gate = node_platform_gate_opts (node);
  struct control_opts control
      = { .instance = node->settings.instance,
          .failure_domain = node->settings.failure_domain,
          .address = node->settings.peer_address,
          .join = node->settings.seed_addresses,
          .parse = platform_parse_document,
          .group_exists = node->settings.group_exists,
          .replace_timeout = node_platform_replace_timeout (&node->settings) };
  struct peer_opts peer
      = { .address = node->settings.peer_address,
          .contact = (clk_us)(node->settings.contact_s * CLK_US_PER_S) };

  node->gate = gate_new (&gate);
  if (node->gate == NULL)
    return SR_EIO;
  if (node_tasks_open (&node->tasks, gate_inbox (node->gate), &control, &peer)
      != SR_OK)
    return SR_EIO;
  node_platform_send_tolerance (node);
  gate_attach (node->gate, peer_inbox (node->tasks.peer),
               control_inbox (node->tasks.control));
  return SR_OK;
}

/* Runs all tasks until the gate task ends; returns the exit status.  */
static int
node_platform_run_tasks (struct node_platform *node)
{
  int status;

  if (node_tasks_start (&node->tasks) != SR_OK)
    return NODE_PLATFORM_EXIT_FAILED;
  slog (SLOG_NOTICE,
        "started version=" SR_VERSION
        " instance=%s failure_domain=%s peer=%s join=%s control=%d "
        "group_exists=%d",
        node->settings.instance, node->settings.failure_domain,
        node->settings.peer_address, node->settings.seed_addresses,
        (int)node->settings.control_replica, (int)node->settings.group_exists);
  if (node->settings.control_replica)
    slog (SLOG_NOTICE,
          "tolerance instances=%u domains=%u regions=%u loss_counts=%d",
          node->settings.tolerance.instances, node->settings.tolerance.domains,
          node->settings.tolerance.regions, (int)node->settings.loss_counts);
  status = gate_run (node->gate);
  if (node_tasks_end (&node->tasks) != 0)
    status = NODE_PLATFORM_EXIT_FAILED;
  slog (SLOG_NOTICE, "stopped status=%d", status);
  return status;
}

int
node_platform_run (void)
{
  static struct node_platform node;

  if (node_platform_read_settings (&node.settings) != SR_OK)
    return NODE_PLATFORM_EXIT_USAGE;
  slog_set_node (node.settings.instance);
  tool_signal_catch (node_platform_on_signal, node_platform_signals,
                     sizeof node_platform_signals
                         / sizeof node_platform_signals[0]);
  if (node_platform_open (&node) != SR_OK)
    return NODE_PLATFORM_EXIT_FAILED;
  if (node.settings.control_replica
      && node_tasks_open_store (&node.tasks, "data_dir",
                                node.settings.data_dir)
             != SR_OK)
    return NODE_PLATFORM_EXIT_FAILED;
  node_platform_gate = node.gate;
  return node_platform_run_tasks (&node);
}

int
node_platform_check (void)
{
  struct platform_settings settings;

  if (node_platform_read_settings (&settings) != SR_OK)
    return NODE_PLATFORM_EXIT_USAGE;
  printf ("settings are valid\n");
  return EXIT_SUCCESS;
}
