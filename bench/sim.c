#include "bench/sim.h"

void
sim_init (struct sim *sim)
{
  sim->now = 0;
  sim->bucket = 0;
  for (unsigned i = 0; i < SIM_BUCKETS; i++)
    lst_init (&sim->buckets[i]);
}

void
sim_set (struct sim *sim, struct sim_event *event, clk_us at)
{
  struct lst *bucket;
  struct lst_node *after;

  lst_remove (&event->node);
  event->at = at > sim->now ? at : sim->now;
  bucket = &sim->buckets[event->at / SIM_BUCKET_US % SIM_BUCKETS];
  after = bucket->head.prev;
  while (after != &bucket->head
         && lst_entry (after, struct sim_event, node)->at > event->at)
    after = after->prev;
  lst_insert_before (after->next, &event->node);
}

void
sim_cancel (struct sim_event *event)
{
  lst_remove (&event->node);
}

struct sim_event *
sim_next (struct sim *sim, clk_us end)
{
  for (; sim->bucket * SIM_BUCKET_US < end; sim->bucket++)
    {
      struct lst *bucket = &sim->buckets[sim->bucket % SIM_BUCKETS];
      struct sim_event *event;

      if (lst_empty (bucket))
        continue;
      event = lst_entry (lst_first (bucket), struct sim_event, node);
      if (event->at >= (sim->bucket + 1) * SIM_BUCKET_US)
        continue;
      if (event->at >= end)
        break;
      lst_remove (&event->node);
      sim->now = event->at;
      return event;
    }
  sim->now = end;
  return NULL;
}
