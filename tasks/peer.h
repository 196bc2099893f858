#ifndef TASKS_PEER_H
#define TASKS_PEER_H

/**
 * DOC: peer - transport task between nodes, over ZeroMQ
 *
 * Owns a ROUTER socket that other nodes connect to, and one DEALER socket for
 * each node that this one sends requests to.  The number of DEALER sockets is
 * bounded; the least recently used one is closed.  A peer that is silent while
 * streams are open, or while it owes an answer to a message of the control
 * task, is reported as lost, and its connection is replaced: the timers of the
 * kernel and of ZeroMQ may need longer than a node may be out of contact.
 */

#include "core/inbox.h"

struct peer;

#define PEER_CONTACT_DEFAULT_US clk_s (3)

struct peer_opts
{
  const char *address;   /* IP:PORT to bind */
  struct inbox *front;   /* receives stream messages */
  struct inbox *control; /* receives membership, proposals and log messages */
  /* Time in which contact with a control replica has to be regained while new
     connections to it work; 0: PEER_CONTACT_DEFAULT_US.  */
  clk_us contact;
  const char *curve_secret; /* Z85 text; NULL: no encryption */
  const char *curve_public;
};

/* Binds the address.  Returns NULL after a log line when this fails.  */
struct peer *peer_new (const struct peer_opts *opts);
struct inbox *peer_inbox (struct peer *peer);
/* Starts the thread.  Returns SR_OK or SR_EIO.  */
int peer_start (struct peer *peer);

/* Waits until the task has ended after a MSG_STOP in its inbox, and frees
   it.  */
void peer_join (struct peer *peer);

#endif
