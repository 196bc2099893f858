#include "tasks/peer_link.h"

#include <stdlib.h>

#include "core/err.h"

void
plk_init (struct plk *link, clk_us lost_after, clk_us now)
{
  *link = (struct plk){ .heard = now, .sent = now, .lost_after = lost_after };
  lst_init (&link->streams);
}

void
plk_open (struct plk *link, uint64_t stream, clk_us now)
{
  struct plk_stream *open = calloc (1, sizeof *open);

  INVARIANT (open != NULL);
  /* An idle link may have been silent for long with good reason.  */
  if (lst_empty (&link->streams))
    link->heard = now;
  open->id = stream;
  lst_push_tail (&link->streams, &open->node);
}

void
plk_close (struct plk *link, uint64_t stream)
{
  lst_each (node, &link->streams)
    {
      struct plk_stream *open = lst_entry (node, struct plk_stream, node);

      if (open->id != stream)
        continue;
      lst_remove (node);
      free (open);
      return;
    }
}

void
plk_clear (struct plk *link)
{
  struct lst_node *node;

  while ((node = lst_pop_head (&link->streams)) != NULL)
    free (lst_entry (node, struct plk_stream, node));
}

enum plk_action
plk_check (const struct plk *link, clk_us now)
{
  if (lst_empty (&link->streams))
    return PLK_IDLE;
  if (now - link->heard >= link->lost_after)
    return PLK_LOST;
  if (now - link->pinged < PLK_PING_US)
    return PLK_IDLE;
  if (now - link->heard >= PLK_PING_US)
    return PLK_PING;
  if (now - link->sent >= PLK_KEEPALIVE_US)
    return PLK_PING;
  return PLK_IDLE;
}
