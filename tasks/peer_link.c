#include "tasks/peer_link.h"

#include <stdlib.h>

#include "core/err.h"

void
peer_link_init (struct peer_link *link, const struct peer_link_opts *opts,
                clk_us now)
{
  *link = (struct peer_link){ .opts = *opts,
                              .last_received = now,
                              .last_sent = now };
  list_init (&link->streams);
}

void
peer_link_expect_answer (struct peer_link *link, clk_us now)
{
  if (link->answer_due_since != 0)
    return;
  link->answer_due_since = now;
  link->resumed = false;
}

void
peer_link_receive (struct peer_link *link, bool answers, clk_us now)
{
  link->last_received = now;
  if (!answers)
    return;
  link->answer_due_since = 0;
  link->losses = 0;
}

void
peer_link_lose (struct peer_link *link, clk_us now)
{
  peer_link_clear (link);
  link->last_received = now;
  link->answer_due_since = 0;
  /* Only losses of established connections tell that the link is slow.  */
  link->losses = link->connected ? link->losses + 1 : 1;
  link->connected = false;
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

void
peer_link_resume (struct peer_link *link, clk_us now)
{
  if (link->answer_due_since == 0 || link->resumed)
    return;
  link->answer_due_since = now;
  link->resumed = true;
}

clk_us
peer_link_silence (const struct peer_link *link, clk_us now)
{
  clk_us since = now;

  if (!list_empty (&link->streams))
    since = link->last_received;
  if (link->answer_due_since != 0 && link->answer_due_since < since)
    since = link->answer_due_since;
  return now - since;
}

/* Returns the time after which a due answer counts as lost.  */
static clk_us
peer_link_answer_timeout (const struct peer_link *link)
{
  clk_us timeout = link->opts.answer_timeout;
  clk_us max = link->connected ? link->opts.slow_timeout_max
                               : link->opts.answer_timeout_max;

  for (uint32_t i = 0; i < link->losses && timeout < max; i++)
    timeout *= 2;
  return timeout < max ? timeout : max;
}

enum peer_link_action
peer_link_check (const struct peer_link *link, clk_us now)
{
  bool answer_due = link->answer_due_since != 0;
  bool has_streams = !list_empty (&link->streams);

  if (!has_streams && !answer_due)
    return PEER_LINK_IDLE;
  if (has_streams && now - link->last_received >= link->opts.lost_after)
    return PEER_LINK_LOST;
  if (answer_due
      && now - link->answer_due_since >= peer_link_answer_timeout (link))
    return PEER_LINK_LOST;
  if (now - link->last_ping < PEER_LINK_PING_US)
    return PEER_LINK_IDLE;
  if (peer_link_silence (link, now) >= PEER_LINK_PING_US)
    return PEER_LINK_PING;
  if (has_streams && now - link->last_sent >= PEER_LINK_KEEPALIVE_US)
    return PEER_LINK_PING;
  return PEER_LINK_IDLE;
}
