#ifndef TASKS_FRONT_H
#define TASKS_FRONT_H

/**
 * DOC: front - HTTP proxy task
 *
 * Accepts requests of callers and operators, runs the filter chain and sends
 * requests to backend servers.  Owns the libwebsockets context with both
 * listeners and the connection pool to the backend server of this node, all
 * request records, the filter chain and its controllers.
 */

#include "core/clk.h"
#include "core/inbox.h"

struct front;

struct front_opts
{
  /* IP:PORT, for callers and the backend server */
  const char *listen_address;
  /* IP:PORT, for operators and announcements of the backend server */
  const char *admin_address;
  const char *peer_address; /* address of this node for other nodes */
  const char *instance;
  const char *failure_domain;
  const char *operator_token; /* NULL: changes only from loopback */
  uint32_t drain_limit_ms;    /* 0: use the configuration */
  bool control_replica;       /* this node is one, and serves the console */
  uint64_t memory_bytes;      /* of the process; 0: a default */
};

/* Creates the task and its listeners.  Returns NULL after a log line when it
   cannot listen on an address.  */
struct front *front_new (const struct front_opts *opts);
struct inbox *front_inbox (struct front *front);

/* Sets the inboxes of the tasks that it sends to; call before front_run().  */
void front_attach (struct front *front, struct inbox *peer,
                   struct inbox *control);

/* Runs in the calling thread until a graceful shutdown completes; returns the
   exit status of the process.  */
int front_run (struct front *front);

/* Starts a graceful shutdown; a second call stops at once.  Safe in a signal
   handler.  */
void front_shut_down (struct front *front);

void front_free (struct front *front);

#endif
