#include "bench/world_impl.h"

#include <math.h>

/* Baselines know no deadlines: far enough to never pass.  */
#define NODE_NO_DEADLINE clk_s (100000)

int
node_init (struct world *wld, struct node *node)
{
  struct slots_opts opts = wld->opts.admission;
  struct share_opts cap = { .percent = wld->opts.cap_percent,
                            .places = opts.slots + opts.queue };

  fake_init (&node->fake, &wld->sim, wld->opts.capacity);
  node->wakeup.kind = SIM_WAKEUP;
  if (wld->opts.control == WORLD_FIXED)
    {
      opts.limit = LIMITER_FIXED;
      opts.order = SLOTS_ORDER_FIFO;
      opts.evict = SLOTS_EVICT_NEWEST;
      opts.long_slots_percent = 100;
    }
  node->adm = slots_new (&opts);
  node->cap = share_new (&cap);
  return node->adm == NULL || node->cap == NULL ? -1 : 0;
}

void
node_free (struct node *node)
{
  slots_free (node->adm);
  share_free (node->cap);
}

/* Sends an answer or a refusal back to the entry.  */
static void
attempt_back (struct world *wld, struct attempt *attempt, bool refused)
{
  const struct node *node = &wld->nodes[attempt->server];

  attempt->state = ATTEMPT_BACK;
  attempt->refused = refused;
  attempt->level = slots_level (node->adm, wld->sim.now);
  attempt->event.kind = SIM_ANSWER;
  sim_set (&wld->sim, &attempt->event, wld->sim.now + wld->opts.hop);
}

static void
attempt_run (struct world *wld, struct attempt *attempt)
{
  attempt->state = ATTEMPT_RUNNING;
  fake_start (&wld->nodes[attempt->server].fake, &attempt->job, attempt->work);
}

static void
node_event (struct world *wld, const struct slots_event *event)
{
  struct attempt *attempt = list_entry (event->ticket, struct attempt, ticket);

  switch (event->kind)
    {
    case SLOTS_RUN:
      attempt_run (wld, attempt);
      break;
    case SLOTS_REFUSE:
      share_put (wld->nodes[attempt->server].cap, attempt->kind);
      attempt_back (wld, attempt, true);
      break;
    case SLOTS_QUEUED:
      attempt->state = ATTEMPT_QUEUED;
      break;
    case SLOTS_NOTHING:
      break;
    }
}

void
node_drain (struct world *wld, struct node *node)
{
  struct slots_event event;
  clk_us wakeup;

  while ((event = slots_next (node->adm, wld->sim.now)).kind != SLOTS_NOTHING)
    node_event (wld, &event);
  wakeup = slots_wakeup (node->adm);
  if (wakeup == 0)
    sim_cancel (&node->wakeup);
  else
    sim_set (&wld->sim, &node->wakeup,
             wakeup > wld->sim.now ? wakeup : wld->sim.now + 1);
}

/* Service time: half of it fixed, half exponential.  */
static double
attempt_work (struct world *wld, const struct world_kind *kind)
{
  return kind->mean_us * (0.5 - 0.5 * log (1 - rng_unit (&wld->rng)));
}

void
node_reach (struct world *wld, struct attempt *attempt)
{
  const struct world_kind *kind = &wld->opts.kind[attempt->kind];
  struct node *node = &wld->nodes[attempt->server];
  bool ours = wld->opts.control == WORLD_OURS;
  struct slots_event event;

  if (ours && attempt->call == NULL)
    {
      attempt_free (wld, attempt);
      return;
    }
  attempt->work = attempt_work (wld, kind);
  attempt->reached = wld->sim.now;
  if (wld->opts.control == WORLD_NONE)
    {
      if (node->fake.running < wld->opts.connections)
        attempt_run (wld, attempt);
      else
        attempt_back (wld, attempt, true);
      return;
    }
  if (!share_take (node->cap, attempt->kind, kind->importance,
                   slots_least_waiting (node->adm)))
    {
      attempt_back (wld, attempt, true);
      return;
    }
  attempt->ticket = (struct slots_ticket){
    .importance = ours ? kind->importance : 0,
    .cost = kind->cost,
    .kind = attempt->kind,
    .arrived = wld->sim.now,
    .deadline
    = ours ? attempt->call->deadline : wld->sim.now + NODE_NO_DEADLINE,
  };
  event = slots_submit (node->adm, &attempt->ticket, wld->sim.now);
  node_event (wld, &event);
  node_drain (wld, node);
}

/* Time at the server beyond the work itself: in the queue, and through
   contention with other requests.  */
static void
wait_record (struct world *wld, const struct attempt *attempt)
{
  double spent = (double)(wld->sim.now - attempt->reached);

  if (attempt->reached < wld->opts.warm)
    return;
  stats_add (&wld->result->kind[attempt->kind].wait,
             spent > attempt->work ? (clk_us)(spent - attempt->work) : 0);
}

void
node_complete (struct world *wld, struct node *node)
{
  struct attempt *attempt
      = list_entry (fake_complete (&node->fake), struct attempt, job);

  wait_record (wld, attempt);
  if (wld->opts.control != WORLD_NONE)
    {
      share_put (node->cap, attempt->kind);
      slots_finish (node->adm, &attempt->ticket, true, wld->sim.now);
      node_drain (wld, node);
    }
  attempt_back (wld, attempt, false);
}

void
node_abandon (struct world *wld, struct attempt *attempt)
{
  struct node *node = &wld->nodes[attempt->server];

  attempt->call = NULL;
  if (wld->opts.control != WORLD_OURS)
    return;
  switch (attempt->state)
    {
    case ATTEMPT_RUNNING:
      fake_cancel (&node->fake, &attempt->job);
      slots_withdraw (node->adm, &attempt->ticket, wld->sim.now);
      break;
    case ATTEMPT_QUEUED:
      slots_withdraw (node->adm, &attempt->ticket, wld->sim.now);
      break;
    case ATTEMPT_TO_SERVER:
    case ATTEMPT_BACK:
      return; /* freed when its event fires */
    }
  share_put (node->cap, attempt->kind);
  attempt_free (wld, attempt);
  node_drain (wld, node);
}
