#ifndef TASKS_PEER_LINK_H
#define TASKS_PEER_LINK_H

/**
 * DOC: plk - liveness of one remote node
 *
 * Pure: knows which streams are open with the node and when it was heard, and
 * decides when to ping it and when it counts as lost.
 */

#include <stdbool.h>

#include "core/clk.h"
#include "core/list.h"

/* Silence after which a ping is sent while streams are open.  */
#define PLK_PING_US clk_ms (250)
/* Own silence after which a ping tells the other side that we live.  */
#define PLK_KEEPALIVE_US clk_ms (750)
/* Silence after which the node that serves our requests counts as lost.  */
#define PLK_LOST_US clk_ms (1000)
/* Silence after which the node whose requests we serve counts as lost.  */
#define PLK_CALLER_LOST_US clk_ms (3000)

struct plk_stream
{
  struct lst_node node;
  uint64_t id;
};

struct plk
{
  struct lst streams; /* struct plk_stream */
  clk_us heard;
  clk_us sent;
  clk_us pinged;
  clk_us lost_after;
};

enum plk_action
{
  PLK_IDLE,
  PLK_PING,
  PLK_LOST,
};

void plk_init (struct plk *link, clk_us lost_after, clk_us now);
void plk_open (struct plk *link, uint64_t stream, clk_us now);
void plk_close (struct plk *link, uint64_t stream);
void plk_clear (struct plk *link);
enum plk_action plk_check (const struct plk *link, clk_us now);

#endif
