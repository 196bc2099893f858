#ifndef TASKS_FRONT_H
#define TASKS_FRONT_H

/**
 * DOC: front - task that serves HTTP
 *
 * Owns the libwebsockets context with the listeners for callers and operators
 * and the pooled connections to the own backend server, all request records,
 * the filter chain and its controllers.
 */

#include "core/clk.h"
#include "core/inbox.h"

struct front;

struct front_opts
{
  const char *listen;       /* IP:PORT for callers and the own server */
  const char *admin;        /* IP:PORT for operators and announcements */
  const char *peer_address; /* own address between nodes */
  const char *instance;
  const char *failure_domain;
  const char *operator_token; /* NULL: changes from loopback only */
  uint32_t drain_limit_ms;    /* 0: from the configuration */
  bool control;               /* holds a control replica: serves the console */
};

struct front *front_new (const struct front_opts *opts);
struct inbox *front_inbox (struct front *front);

/* Sets where messages go; to be called before front_run().  */
void front_attach (struct front *front, struct inbox *peer,
                   struct inbox *control);

/* Runs until a graceful shutdown is complete; returns the exit status.  */
int front_run (struct front *front);

/* Asks for a graceful shutdown; a second call ends it at once.  May be called
   from a signal handler.  */
void front_shut_down (struct front *front);

void front_free (struct front *front);

#endif
