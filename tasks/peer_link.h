#ifndef TASKS_PEER_LINK_H
#define TASKS_PEER_LINK_H

/**
 * DOC: link - liveness of one remote node
 *
 * Pure: knows which streams are open with the node and when it was heard, and
 * decides when to ping it and when it counts as lost.
 */

#include <stdbool.h>

#include "core/clk.h"
#include "core/list.h"

/* Silence after which a ping is sent while streams are open.  */
#define PEER_LINK_PING_US clk_ms (250)
/* Own silence after which a ping tells the other side that we live.  */
#define PEER_LINK_KEEPALIVE_US clk_ms (750)
/* Silence after which the node that serves our requests counts as lost.  */
#define PEER_LINK_LOST_US clk_ms (1000)
/* Silence after which the node whose requests we serve counts as lost.  */
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
  PEER_LINK_IDLE,
  PEER_LINK_PING,
  PEER_LINK_LOST,
};

void peer_link_init (struct peer_link *link, clk_us lost_after, clk_us now);
void peer_link_add_stream (struct peer_link *link, uint64_t stream,
                           clk_us now);
void peer_link_remove_stream (struct peer_link *link, uint64_t stream);
void peer_link_clear (struct peer_link *link);
enum peer_link_action peer_link_check (const struct peer_link *link,
                                       clk_us now);

#endif
