#include "bench/sim.h"

void
sim_init (struct sim *sim)
{
  sim->now = 0;
  sim->bucket = 0;
  for (unsigned i = 0; i < SIM_BUCKETS; i++)
    list_init (&sim->buckets[i]);
}

void
sim_schedule (struct sim *sim, struct sim_event *event, clk_us at)
{
  struct list *bucket;
  struct list_node *after;

  list_remove (&event->node);
  event->at = at > sim->now ? at : sim->now;
  bucket = &sim->buckets[event->at / SIM_BUCKET_US % SIM_BUCKETS];
  after = bucket->head.prev;
  while (after != &bucket->head
         && list_entry (after, struct sim_event, node)->at > event->at)
    after = after->prev;
  list_insert_before (after->next, &event->node);
}

void
sim_cancel (struct sim_event *event)
{
  list_remove (&event->node);
}

struct sim_event *
sim_next (struct sim *sim, clk_us end)
{
  for (; sim->bucket * SIM_BUCKET_US < end; sim->bucket++)
    {
      struct list *bucket = &sim->buckets[sim->bucket % SIM_BUCKETS];
      struct sim_event *event;

      if (list_empty (bucket))
        continue;
      event = list_entry (list_first (bucket), struct sim_event, node);
      if (event->at >= (sim->bucket + 1) * SIM_BUCKET_US)
        continue;
      if (event->at >= end)
        break;
      list_remove (&event->node);
      sim->now = event->at;
      return event;
    }
  sim->now = end;
  return NULL;
}
