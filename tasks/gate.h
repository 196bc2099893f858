#ifndef TASKS_GATE_H
#define TASKS_GATE_H

/**
 * DOC: gate - HTTP/1.1 proxy task on raw sockets
 *
 * Replaces the front task on platforms that route requests by host and path.
 * Owns the connections to callers, other nodes, the local backend server and
 * operators.
 */

#include "core/api.h"
#include "core/inbox.h"
#include "filters/dispatch.h"

/* Time before the end of a shutdown (gate_opts.stop_limit) at which the
   remaining requests are refused or aborted, so that their answers are still
   sent.  */
#define GATE_GIVE_UP_BEFORE_US clk_ms (150)

/* Listeners.  */
enum gate_port
{
  GATE_PORT_CALLERS, /* callers, and calls of the local backend server */
  GATE_PORT_NODES,   /* requests forwarded by nodes */
  GATE_PORT_CONTROL, /* heartbeats and operators */
  GATE_PORT_HEALTH,  /* readiness of this node */
  GATE_PORT_METRICS,
  GATE_PORT_COUNT
};

struct gate_opts
{
  /* IP:PORT; NULL or "" for none */
  const char *listen_addresses[GATE_PORT_COUNT];
  const char *instance;
  const char *failure_domain;
  const char *peer_address; /* of this node, IP:PORT */
  const char *service;      /* of the local backend server; NULL without one */
  const char *backend_address; /* of the local backend server, IP:PORT */
  const struct api_adapter *adapter;
  struct budget_opts retry_budget;
  clk_us stop_limit;         /* longest time from SIGTERM to process exit */
  clk_us heartbeat_interval; /* of the backend server; 0: not checked */
  uint64_t memory_bytes;     /* of the process; 0: 256 MiB */
  uint32_t descriptors_max;
  /* Reads the settings file again and updates OPTS; false, and OPTS
     unchanged, if it is invalid.  */
  bool (*reload) (void *arg, struct gate_opts *opts);
  void *reload_arg;
};

struct gate;

/**
 * gate_new() - create the task and open its listeners
 * @opts: copied; strings must outlive the task
 *
 * Return: the task, or NULL after a log line if a listener cannot be opened.
 */
struct gate *gate_new (const struct gate_opts *opts);
void gate_free (struct gate *gate);

/* Inbox for messages to this task.  */
struct inbox *gate_inbox (struct gate *gate);

/* Sets the inboxes of the peer and control tasks; call before gate_run().  */
void gate_attach (struct gate *gate, struct inbox *peer,
                  struct inbox *control);

/* Runs until a shutdown is complete.  Returns the process's exit status.  */
int gate_run (struct gate *gate);

/* Starts a graceful shutdown.  Safe to call from a signal handler.  */
void gate_shut_down (struct gate *gate);

/* Reads the settings file again.  Safe to call from a signal handler.  */
void gate_reload (struct gate *gate);

#endif
