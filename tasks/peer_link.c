#include "tasks/peer_link.h"

#include <stdlib.h>

#include "core/err.h"

void
peer_link_init (struct peer_link *link, clk_us lost_after, clk_us now)
{
  *link = (struct peer_link){ .last_received = now,
                              .last_sent = now,
                              .lost_after = lost_after };
  list_init (&link->streams);
}

void
peer_link_add_stream (struct peer_link *link, uint64_t stream, clk_us now)
{
  struct peer_link_stream *entry = calloc (1, sizeof *entry);

  INVARIANT (entry != NULL);
  /* A link without streams is not pinged, so its silence until now does not
     count.  */
  if (list_empty (&link->streams))
    link->last_received = now;
  entry->id = stream;
  list_push_tail (&link->streams, &entry->node);
}

void
peer_link_remove_stream (struct peer_link *link, uint64_t stream)
{
  list_each (node, &link->streams)
    {
      struct peer_link_stream *entry
          = list_entry (node, struct peer_link_stream, node);

      if (entry->id != stream)
        continue;
      list_remove (node);
      free (entry);
      return;
    }
}

void
peer_link_clear (struct peer_link *link)
{
  struct list_node *node;

  while ((node = list_pop_head (&link->streams)) != NULL)
    free (list_entry (node, struct peer_link_stream, node));
}

enum peer_link_action
peer_link_check (const struct peer_link *link, clk_us now)
{
  if (list_empty (&link->streams))
    return PEER_LINK_IDLE;
  if (now - link->last_received >= link->lost_after)
    return PEER_LINK_LOST;
  if (now - link->last_ping < PEER_LINK_PING_US)
    return PEER_LINK_IDLE;
  if (now - link->last_received >= PEER_LINK_PING_US)
    return PEER_LINK_PING;
  if (now - link->last_sent >= PEER_LINK_KEEPALIVE_US)
    return PEER_LINK_PING;
  return PEER_LINK_IDLE;
}
