#include "bench/world_impl.h"

#include <math.h>

/* The baselines have no deadlines: later than the end of any simulation.  */
#define NODE_NO_DEADLINE clk_s (100000)

int
node_init (struct world *world, struct world_node *node)
{
  struct slots_opts opts = world->opts.admission;
  struct share_opts share = { .percent = world->opts.caller_share_percent,
                              .capacity = opts.slots + opts.queue_max };

  fake_init (&node->fake, &world->sim, world->opts.capacity);
  node->wakeup.kind = SIM_WAKEUP;
  if (world->opts.control == WORLD_FIXED)
    {
      opts.limit_mode = LIMITER_FIXED;
      opts.order = SLOTS_ORDER_FIFO;
      opts.evict = SLOTS_EVICT_NEWEST;
      opts.long_slots_percent = 100;
    }
  node->slots = slots_new (&opts);
  node->share = share_new (&share);
  return node->slots == NULL || node->share == NULL ? -1 : 0;
}

void
node_free (struct world_node *node)
{
  slots_free (node->slots);
  share_free (node->share);
}

/* Sends a response or a refusal to the entry node.  */
static void
attempt_reply (struct world *world, struct world_attempt *attempt,
               bool refused)
{
  const struct world_node *node = &world->nodes[attempt->server];

  attempt->state = WORLD_ATTEMPT_RETURNING;
  attempt->refused = refused;
  attempt->level = slots_admission_level (node->slots, world->sim.now);
  attempt->event.kind = SIM_ANSWER;
  sim_schedule (&world->sim, &attempt->event,
                world->sim.now + world->opts.hop_delay);
}

static void
attempt_run (struct world *world, struct world_attempt *attempt)
{
  attempt->state = WORLD_ATTEMPT_RUNNING;
  fake_start (&world->nodes[attempt->server].fake, &attempt->job,
              attempt->service_time_us);
}

static void
node_handle_event (struct world *world, const struct slots_event *event)
{
  struct world_attempt *attempt
      = list_entry (event->ticket, struct world_attempt, ticket);

  switch (event->kind)
    {
    case SLOTS_RUN:
      attempt_run (world, attempt);
      break;
    case SLOTS_REFUSE:
      share_release (world->nodes[attempt->server].share, attempt->kind);
      attempt_reply (world, attempt, true);
      break;
    case SLOTS_QUEUED:
      attempt->state = WORLD_ATTEMPT_QUEUED;
      break;
    case SLOTS_NOTHING:
      break;
    }
}

void
node_process_events (struct world *world, struct world_node *node)
{
  struct slots_event event;
  clk_us wakeup;

  while ((event = slots_next (node->slots, world->sim.now)).kind
         != SLOTS_NOTHING)
    node_handle_event (world, &event);
  wakeup = slots_wakeup_time (node->slots);
  if (wakeup == 0)
    sim_cancel (&node->wakeup);
  else
    sim_schedule (&world->sim, &node->wakeup,
                  wakeup > world->sim.now ? wakeup : world->sim.now + 1);
}

/* Draws a service time: half of the mean is constant, half exponential.  */
static double
attempt_draw_service_time (struct world *world, const struct world_kind *kind)
{
  return kind->mean_service_time_us
         * (0.5 - 0.5 * log (1 - rng_uniform (&world->rng)));
}

void
node_receive (struct world *world, struct world_attempt *attempt)
{
  const struct world_kind *kind = &world->opts.kind[attempt->kind];
  struct world_node *node = &world->nodes[attempt->server];
  bool adaptive = world->opts.control == WORLD_ADAPTIVE;
  struct slots_event event;

  if (adaptive && attempt->call == NULL)
    {
      attempt_free (world, attempt);
      return;
    }
  attempt->service_time_us = attempt_draw_service_time (world, kind);
  attempt->arrived_at = world->sim.now;
  if (world->opts.control == WORLD_NONE)
    {
      if (node->fake.running < world->opts.connections)
        attempt_run (world, attempt);
      else
        attempt_reply (world, attempt, true);
      return;
    }
  if (!share_acquire (node->share, attempt->kind, kind->importance,
                      slots_waiting_importance_min (node->slots)))
    {
      attempt_reply (world, attempt, true);
      return;
    }
  attempt->ticket = (struct slots_ticket){
    .importance = adaptive ? kind->importance : 0,
    .cost = kind->cost,
    .kind = attempt->kind,
    .arrived = world->sim.now,
    .deadline
    = adaptive ? attempt->call->deadline : world->sim.now + NODE_NO_DEADLINE,
  };
  event = slots_submit (node->slots, &attempt->ticket, world->sim.now);
  node_handle_event (world, &event);
  node_process_events (world, node);
}

/* Records the time at the server beyond the service time, which is due to the
   queue and to contention with other requests.  */
static void
record_server_delay (struct world *world, const struct world_attempt *attempt)
{
  double time_us = (double)(world->sim.now - attempt->arrived_at);

  if (attempt->arrived_at < world->opts.warmup)
    return;
  stats_add_sample (&world->result->kind[attempt->kind].server_delay,
                    time_us > attempt->service_time_us
                        ? (clk_us)(time_us - attempt->service_time_us)
                        : 0);
}

void
node_complete (struct world *world, struct world_node *node)
{
  struct world_attempt *attempt
      = list_entry (fake_complete (&node->fake), struct world_attempt, job);

  record_server_delay (world, attempt);
  if (world->opts.control != WORLD_NONE)
    {
      share_release (node->share, attempt->kind);
      slots_finish (node->slots, &attempt->ticket, true, world->sim.now);
      node_process_events (world, node);
    }
  attempt_reply (world, attempt, false);
}

void
node_abandon (struct world *world, struct world_attempt *attempt)
{
  struct world_node *node = &world->nodes[attempt->server];

  attempt->call = NULL;
  if (world->opts.control != WORLD_ADAPTIVE)
    return;
  switch (attempt->state)
    {
    case WORLD_ATTEMPT_RUNNING:
      fake_cancel (&node->fake, &attempt->job);
      slots_withdraw (node->slots, &attempt->ticket, world->sim.now);
      break;
    case WORLD_ATTEMPT_QUEUED:
      slots_withdraw (node->slots, &attempt->ticket, world->sim.now);
      break;
    case WORLD_ATTEMPT_TO_SERVER:
    case WORLD_ATTEMPT_RETURNING:
      return; /* to be freed when its event fires */
    }
  share_release (node->share, attempt->kind);
  attempt_free (world, attempt);
  node_process_events (world, node);
}
