#ifndef TASKS_CONTROL_H
#define TASKS_CONTROL_H

/**
 * DOC: control - task for membership, configuration and claims
 *
 * Every node has one.  It renews the node's lease at the control replicas,
 * keeps the configuration in force and passes proposals to the leaders of the
 * log groups.  On a control replica it also holds the member table and hosts
 * the log groups.
 */

#include <stdbool.h>

#include "core/api.h"
#include "core/clk.h"
#include "core/inbox.h"
#include "tasks/store.h"

struct control;
struct model;

struct control_opts
{
  const char *instance;
  const char *failure_domain;
  const char *address; /* own peer address */
  const char *join;    /* peer addresses of the replicas, "," between */
  struct inbox *front;
  /* Decodes a document; NULL for the project's own format.  */
  int (*parse) (const char *document, size_t len, struct model **out,
                char fault[API_FAULT_BYTES]);
  bool group_exists;      /* the groups exist already */
  uint32_t voters_max;    /* 0 for the default */
  clk_us replace_timeout; /* 0 for the default */
};

struct control *control_new (const struct control_opts *opts);
struct inbox *control_inbox (struct control *control);

/* Sets where messages go, and the store of the replica that this node holds,
   or NULL; to be called before control_start().  */
void control_attach (struct control *control, struct inbox *peer,
                     struct store *store);

int control_start (struct control *control);

/* Hands leadership over, leaves the members and ends the task after a
   MSG_STOP in its inbox.  Returns nonzero when the task had failed.  */
int control_join (struct control *control);

#endif
