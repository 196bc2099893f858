#ifndef TASKS_PEER_MONITOR_H
#define TASKS_PEER_MONITOR_H

/**
 * DOC: peer_monitor - state of the connection of a ZeroMQ socket
 *
 * ZeroMQ connects and reconnects by itself.  A monitor tells when the
 * connection of a DEALER socket is established and when it ends.
 */

#include <stdbool.h>

enum peer_monitor_event
{
  PEER_MONITOR_NONE,        /* no more events */
  PEER_MONITOR_ESTABLISHED, /* both sides have completed the handshake */
  PEER_MONITOR_ENDED,       /* a connection has ended */
};

/**
 * peer_monitor_open() - watch the connection of a socket
 * @context: context of the socket
 * @socket: socket that is not connected yet
 *
 * Return: monitor to poll and to pass to peer_monitor_next(), to be closed
 * with peer_monitor_close(); NULL when descriptors or memory are exhausted.
 */
void *peer_monitor_open (void *context, void *socket);

/* Closes a monitor, which may be NULL, before its socket is closed.  Without
   the order of this function an event of the socket would have no receiver,
   and ZeroMQ's thread would wait for one for good.  */
void peer_monitor_close (void *monitor, void *socket);

/* Returns the next event; @monitor may be NULL.  */
enum peer_monitor_event peer_monitor_next (void *monitor);

#endif
