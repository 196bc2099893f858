#include "bench/world_impl.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Default of docs/design.md: one of four servers may be ejected, and retries
   are at most a tenth of first attempts.  */
#define WORLD_EJECTED_PERCENT 25u
#define WORLD_BUDGET_PERCENT 10u
#define WORLD_START clk_s (0)

double
world_capacity (const struct world_opts *opts)
{
  double mean = 0;

  for (uint32_t i = 0; i < opts->kinds; i++)
    mean += opts->kind[i].share * opts->kind[i].mean_us;
  return opts->servers * opts->capacity * (double)CLK_US_PER_S / mean;
}

/* Load as a multiple of the capacity at the present time.  */
static double
world_load (const struct world *wld)
{
  const struct world_opts *opts = &wld->opts;
  double share;

  if (opts->crest <= 0 || wld->sim.now < opts->ramp_at)
    return opts->load;
  share = (double)(wld->sim.now - opts->ramp_at) / (double)opts->ramp;
  return opts->load + (opts->crest - opts->load) * (share < 1 ? share : 1);
}

/* Sets the next arrival of a Poisson process.  */
static void
arrival_schedule (struct world *wld)
{
  double rate = world_load (wld) * wld->result->capacity / CLK_US_PER_S;
  double gap = -log (1 - rng_unit (&wld->rng)) / rate;

  sim_set (&wld->sim, &wld->arrival, wld->sim.now + (clk_us)(gap + 0.5));
}

static void
fault_apply (struct world *wld, enum world_fault fault)
{
  double slow = fault == WORLD_STALL_BEGINS ? 0 : 1;

  switch (fault)
    {
    case WORLD_STALL_BEGINS:
    case WORLD_STALL_ENDS:
      for (uint32_t i = 0; i < wld->opts.servers; i++)
        fake_set_slow (&wld->nodes[i].fake, slow);
      break;
    case WORLD_SLOW_BEGINS:
      fake_set_slow (&wld->nodes[0].fake, wld->opts.slow_factor);
      break;
    case WORLD_SLOW_ENDS:
    case WORLD_FAULTS:
      fake_set_slow (&wld->nodes[0].fake, 1);
      break;
    }
}

static void
faults_schedule (struct world *wld)
{
  const struct world_opts *opts = &wld->opts;
  const clk_us at[WORLD_FAULTS] = {
    [WORLD_STALL_BEGINS] = opts->stall_at,
    [WORLD_STALL_ENDS] = opts->stall_at + opts->stall,
    [WORLD_SLOW_BEGINS] = opts->slow_at,
    [WORLD_SLOW_ENDS] = opts->slow_at + opts->slow,
  };

  for (int i = 0; i < WORLD_FAULTS; i++)
    {
      wld->faults[i].kind = SIM_FAULT;
      if (at[i] > 0)
        sim_set (&wld->sim, &wld->faults[i], at[i]);
    }
}

static void
entry_init (struct world *wld, struct entry *entry, uint32_t number)
{
  struct lb_opts opts = { .max_ejected_percent = WORLD_EJECTED_PERCENT };

  snprintf (opts.failure_domain, sizeof opts.failure_domain, "d%u", number);
  entry->chs = lb_new (&opts);
  INVARIANT (entry->chs != NULL);
  retry_budget_init (&entry->budget, WORLD_BUDGET_PERCENT, WORLD_START);
  for (uint32_t i = 0; i < wld->opts.servers; i++)
    {
      struct lb_server seen
          = { .incarnation = 1, .slots = wld->opts.admission.slots };

      seen.instance[0] = (char)('0' + i);
      snprintf (seen.failure_domain, sizeof seen.failure_domain, "d%u", i);
      INVARIANT (lb_update (entry->chs, &seen, WORLD_START) == SR_OK);
    }
}

static void
world_init (struct world *wld, const struct world_opts *opts,
            struct world_result *result)
{
  memset (wld, 0, sizeof *wld);
  memset (result, 0, sizeof *result);
  wld->opts = *opts;
  wld->result = result;
  result->capacity = world_capacity (opts);
  sim_init (&wld->sim);
  rng_seed (&wld->rng, opts->seed);
  list_init (&wld->calls);
  list_init (&wld->attempts);
  list_init (&wld->free_attempts);
  for (uint32_t i = 0; i < opts->servers; i++)
    INVARIANT (node_init (wld, &wld->nodes[i]) == 0);
  for (uint32_t i = 0; i < WORLD_ENTRIES; i++)
    entry_init (wld, &wld->entries[i], i);
  wld->arrival.kind = SIM_ARRIVAL;
  faults_schedule (wld);
  arrival_schedule (wld);
}

static void
world_fire (struct world *wld, struct sim_event *event)
{
  switch (event->kind)
    {
    case SIM_ARRIVAL:
      call_create (wld);
      arrival_schedule (wld);
      break;
    case SIM_RESEND:
      call_resend (wld, list_entry (event, struct call, timer));
      break;
    case SIM_DEADLINE:
      call_deadline (wld, list_entry (event, struct call, timer));
      break;
    case SIM_HEDGE:
      call_hedge (wld, list_entry (event, struct call, hedge));
      break;
    case SIM_REACH:
      node_reach (wld, list_entry (event, struct attempt, event));
      break;
    case SIM_ANSWER:
      call_answer (wld, list_entry (event, struct attempt, event));
      break;
    case SIM_COMPLETE:
      node_complete (wld, list_entry (event, struct node, fake.complete));
      break;
    case SIM_WAKEUP:
      node_drain (wld, list_entry (event, struct node, wakeup));
      break;
    case SIM_FAULT:
      fault_apply (wld, (enum world_fault) (event - wld->faults));
      break;
    }
}

/* Frees what belongs to a run, with the calls that are still under way.  */
static void
world_free (struct world *wld)
{
  struct list_node *node;

  while ((node = list_pop_head (&wld->calls)) != NULL)
    free (list_entry (node, struct call, owned));
  while ((node = list_pop_head (&wld->attempts)) != NULL)
    {
      struct attempt *attempt = list_entry (node, struct attempt, owned);

      slots_withdraw (wld->nodes[attempt->server].adm, &attempt->ticket,
                      wld->sim.now);
      free (attempt);
    }
  while ((node = list_pop_head (&wld->free_attempts)) != NULL)
    free (list_entry (node, struct attempt, node));
  for (uint32_t i = 0; i < WORLD_ENTRIES; i++)
    lb_free (wld->entries[i].chs);
  for (uint32_t i = 0; i < wld->opts.servers; i++)
    node_free (&wld->nodes[i]);
}

void
world_run (const struct world_opts *opts, struct world_result *result)
{
  struct world *wld = malloc (sizeof *wld);
  struct sim_event *event;

  INVARIANT (wld != NULL);
  world_init (wld, opts, result);
  while ((event = sim_next (&wld->sim, opts->length)) != NULL)
    world_fire (wld, event);
  world_free (wld);
  free (wld);
}

void
world_result_free (struct world_result *result)
{
  for (uint32_t i = 0; i < WORLD_KINDS; i++)
    {
      stats_free (&result->kind[i].latency);
      stats_free (&result->kind[i].wait);
    }
}
