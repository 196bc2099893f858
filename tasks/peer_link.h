#ifndef TASKS_PEER_LINK_H
#define TASKS_PEER_LINK_H

/**
 * DOC: peer_link - failure detector for the connection to one remote node
 *
 * Tracks the open streams and the time of the last message, and decides when
 * to ping the node and when it counts as lost.  Does no I/O.
 */

#include <stdbool.h>

#include "core/clk.h"
#include "core/list.h"

/* Time without a received message after which a ping is sent while streams are
   open.  */
#define PEER_LINK_PING_US clk_ms (250)
/* Time without a sent message after which a ping keeps the link alive for the
   other node.  */
#define PEER_LINK_KEEPALIVE_US clk_ms (750)
/* Time without a message after which a node that serves our requests counts as
   lost.  */
#define PEER_LINK_LOST_US clk_ms (1000)
/* Time without a message after which a node whose requests we serve counts as
   lost.  */
#define PEER_LINK_INBOUND_LOST_US clk_ms (3000)

struct peer_link_stream
{
  struct list_node node;
  uint64_t id;
};

struct peer_link
{
  struct list streams; /* struct peer_link_stream */
  clk_us last_received;
  clk_us last_sent;
  clk_us last_ping;
  clk_us lost_after;
};

enum peer_link_action
{
  PEER_LINK_IDLE, /* nothing to do */
  PEER_LINK_PING, /* send a ping */
  PEER_LINK_LOST, /* report the node as lost */
};

/* LOST_AFTER is the time without a message after which the node is lost.  */
void peer_link_init (struct peer_link *link, clk_us lost_after, clk_us now);
void peer_link_add_stream (struct peer_link *link, uint64_t stream,
                           clk_us now);
void peer_link_remove_stream (struct peer_link *link, uint64_t stream);

/* Removes all streams.  */
void peer_link_clear (struct peer_link *link);

/* Returns what is due at NOW; PEER_LINK_IDLE while no stream is open.  */
enum peer_link_action peer_link_check (const struct peer_link *link,
                                       clk_us now);

#endif
