#ifndef TASKS_PEER_H
#define TASKS_PEER_H

/**
 * DOC: peer - task that exchanges messages with other nodes over ZeroMQ
 *
 * Owns a ROUTER socket that other nodes connect to, and one DEALER socket for
 * each node that this one sends requests to.  The number of DEALER sockets is
 * bounded; the one unused for longest is closed.  A peer that is silent while
 * streams are open is reported as lost and its connection is replaced.
 */

#include "core/inbox.h"

struct peer;

struct peer_opts
{
  const char *address;   /* IP:PORT to bind */
  struct inbox *front;   /* receives stream messages */
  struct inbox *control; /* receives membership, proposals and log messages */
  const char *curve_secret; /* Z85 text, NULL without encryption */
  const char *curve_public;
};

/* Binds the address.  Returns NULL after a log line when it can't.  */
struct peer *peer_new (const struct peer_opts *opts);
struct inbox *peer_inbox (struct peer *peer);
int peer_start (struct peer *peer);

/* Stops the task after a MSG_STOP in its inbox and frees it.  */
void peer_join (struct peer *peer);

#endif
