#ifndef TASKS_GATE_H
#define TASKS_GATE_H

/**
 * DOC: gate - task that carries requests on raw sockets
 *
 * Stands in the place of the front task on platforms whose callers are routed
 * by host and path.  Owns the connections of callers, of other nodes, of the
 * own backend server and of operators.
 */

#include "core/api.h"
#include "core/inbox.h"
#include "filters/dispatch.h"

/* Listeners; an empty address is not listened on.  */
enum gate_port
{
  GATE_PORT_CALLERS, /* callers, and calls of the own backend server */
  GATE_PORT_NODES,   /* requests that other nodes pass on */
  GATE_PORT_CONTROL, /* heartbeats and operators */
  GATE_PORT_HEALTH,  /* whether this node may be sent requests */
  GATE_PORT_METRICS,
  GATE_PORT_COUNT
};

struct gate_opts
{
  const char *listen[GATE_PORT_COUNT]; /* IP:PORT, NULL for none */
  const char *instance;
  const char *failure_domain;
  const char *peer_address; /* own peer address, which names this node's IP */
  const char *service;      /* of the own backend server; NULL without one */
  const char *backend_address; /* its address */
  const struct api_adapter *adapter;
  struct budget_opts retry_budget;
  clk_us stop_limit;         /* from SIGTERM to the end of the process */
  clk_us heartbeat_interval; /* between two heartbeats of the backend server */
  uint32_t descriptors_max;
  bool (*reload) (void *arg, struct gate_opts *opts); /* the settings file */
  void *reload_arg;
};

struct gate;

/* NULL after a log line when an address cannot be listened on.  */
struct gate *gate_new (const struct gate_opts *opts);
void gate_free (struct gate *gate);
struct inbox *gate_inbox (struct gate *gate);
void gate_attach (struct gate *gate, struct inbox *peer,
                  struct inbox *control);

/* Runs until a stop; returns the exit status.  */
int gate_run (struct gate *gate);

/* To be called from a signal handler.  */
void gate_shut_down (struct gate *gate);
void gate_reload (struct gate *gate);

#endif
