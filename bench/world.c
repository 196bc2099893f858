#include "bench/world_impl.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Defaults in docs/design.md: one of four servers may be ejected, and retries
   are limited to a tenth of first attempts.  */
#define WORLD_EJECTED_PERCENT 25u
#define WORLD_BUDGET_PERCENT 10u
#define WORLD_START clk_s (0)

double
world_capacity (const struct world_opts *opts)
{
  double mean = 0;

  for (uint32_t i = 0; i < opts->kinds; i++)
    mean += opts->kind[i].share * opts->kind[i].mean_service_time_us;
  return opts->servers * opts->capacity * (double)CLK_US_PER_S / mean;
}

/* Current load as a multiple of the capacity.  */
static double
world_load (const struct world *world)
{
  const struct world_opts *opts = &world->opts;
  double ramp_fraction;

  if (opts->peak_load <= 0 || world->sim.now < opts->ramp_start)
    return opts->load;
  ramp_fraction = (double)(world->sim.now - opts->ramp_start)
                  / (double)opts->ramp_duration;
  return opts->load
         + (opts->peak_load - opts->load)
               * (ramp_fraction < 1 ? ramp_fraction : 1);
}

/* Schedules the next arrival of a Poisson process.  */
static void
arrival_schedule (struct world *world)
{
  double rate = world_load (world) * world->result->capacity / CLK_US_PER_S;
  double gap = -log (1 - rng_uniform (&world->rng)) / rate;

  sim_schedule (&world->sim, &world->arrival,
                world->sim.now + (clk_us)(gap + 0.5));
}

static void
fault_apply (struct world *world, enum world_fault fault)
{
  double stall_factor = fault == WORLD_STALL_BEGINS ? 0 : 1;

  switch (fault)
    {
    case WORLD_STALL_BEGINS:
    case WORLD_STALL_ENDS:
      for (uint32_t i = 0; i < world->opts.servers; i++)
        fake_set_slow_factor (&world->nodes[i].fake, stall_factor);
      break;
    case WORLD_SLOW_BEGINS:
      fake_set_slow_factor (&world->nodes[0].fake, world->opts.slow_factor);
      break;
    case WORLD_SLOW_ENDS:
    case WORLD_FAULT_COUNT:
      fake_set_slow_factor (&world->nodes[0].fake, 1);
      break;
    }
}

static void
faults_schedule (struct world *world)
{
  const struct world_opts *opts = &world->opts;
  const clk_us times[WORLD_FAULT_COUNT] = {
    [WORLD_STALL_BEGINS] = opts->stall_start,
    [WORLD_STALL_ENDS] = opts->stall_start + opts->stall_duration,
    [WORLD_SLOW_BEGINS] = opts->slow_start,
    [WORLD_SLOW_ENDS] = opts->slow_start + opts->slow_duration,
  };

  for (int i = 0; i < WORLD_FAULT_COUNT; i++)
    {
      world->faults[i].kind = SIM_FAULT;
      if (times[i] > 0)
        sim_schedule (&world->sim, &world->faults[i], times[i]);
    }
}

static void
entry_init (struct world *world, struct world_entry *entry, uint32_t number)
{
  struct lb_opts opts = { .max_ejected_percent = WORLD_EJECTED_PERCENT };

  snprintf (opts.failure_domain, sizeof opts.failure_domain, "d%u", number);
  entry->lb = lb_new (&opts);
  INVARIANT (entry->lb != NULL);
  retry_budget_init (&entry->budget, WORLD_BUDGET_PERCENT, WORLD_START);
  for (uint32_t i = 0; i < world->opts.servers; i++)
    {
      struct lb_server server
          = { .incarnation = 1, .slots = world->opts.admission.slots };

      server.instance[0] = (char)('0' + i);
      snprintf (server.failure_domain, sizeof server.failure_domain, "d%u", i);
      INVARIANT (lb_update (entry->lb, &server, WORLD_START) == SR_OK);
    }
}

static void
world_init (struct world *world, const struct world_opts *opts,
            struct world_result *result)
{
  memset (world, 0, sizeof *world);
  memset (result, 0, sizeof *result);
  world->opts = *opts;
  world->result = result;
  result->capacity = world_capacity (opts);
  sim_init (&world->sim);
  rng_seed (&world->rng, opts->seed);
  list_init (&world->calls);
  list_init (&world->attempts);
  list_init (&world->free_attempts);
  for (uint32_t i = 0; i < opts->servers; i++)
    INVARIANT (node_init (world, &world->nodes[i]) == 0);
  for (uint32_t i = 0; i < WORLD_ENTRIES; i++)
    entry_init (world, &world->entries[i], i);
  world->arrival.kind = SIM_ARRIVAL;
  faults_schedule (world);
  arrival_schedule (world);
}

static void
world_handle_event (struct world *world, struct sim_event *event)
{
  switch (event->kind)
    {
    case SIM_ARRIVAL:
      call_create (world);
      arrival_schedule (world);
      break;
    case SIM_RESEND:
      call_resend (world, list_entry (event, struct world_call, timer));
      break;
    case SIM_DEADLINE:
      call_deadline (world, list_entry (event, struct world_call, timer));
      break;
    case SIM_HEDGE:
      call_hedge (world, list_entry (event, struct world_call, hedge));
      break;
    case SIM_REACH:
      node_receive (world, list_entry (event, struct world_attempt, event));
      break;
    case SIM_ANSWER:
      call_answer (world, list_entry (event, struct world_attempt, event));
      break;
    case SIM_COMPLETE:
      node_complete (world,
                     list_entry (event, struct world_node, fake.completion));
      break;
    case SIM_WAKEUP:
      node_process_events (world,
                           list_entry (event, struct world_node, wakeup));
      break;
    case SIM_FAULT:
      fault_apply (world, (enum world_fault) (event - world->faults));
      break;
    }
}

/* Frees the state of a simulation, with the calls and attempts in flight.  */
static void
world_free (struct world *world)
{
  struct list_node *node;

  while ((node = list_pop_head (&world->calls)) != NULL)
    free (list_entry (node, struct world_call, calls_node));
  while ((node = list_pop_head (&world->attempts)) != NULL)
    {
      struct world_attempt *attempt
          = list_entry (node, struct world_attempt, attempts_node);

      slots_withdraw (world->nodes[attempt->server].slots, &attempt->ticket,
                      world->sim.now);
      free (attempt);
    }
  while ((node = list_pop_head (&world->free_attempts)) != NULL)
    free (list_entry (node, struct world_attempt, node));
  for (uint32_t i = 0; i < WORLD_ENTRIES; i++)
    lb_free (world->entries[i].lb);
  for (uint32_t i = 0; i < world->opts.servers; i++)
    node_free (&world->nodes[i]);
}

void
world_run (const struct world_opts *opts, struct world_result *result)
{
  struct world *world = malloc (sizeof *world);
  struct sim_event *event;

  INVARIANT (world != NULL);
  world_init (world, opts, result);
  while ((event = sim_next (&world->sim, opts->duration)) != NULL)
    world_handle_event (world, event);
  world_free (world);
  free (world);
}

void
world_result_free (struct world_result *result)
{
  for (uint32_t i = 0; i < WORLD_KINDS; i++)
    {
      stats_free_samples (&result->kind[i].latency);
      stats_free_samples (&result->kind[i].server_delay);
    }
}
