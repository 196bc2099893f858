#include "filters/dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "filters/importance.h"

/* Time that a caller waits when it does not say.  */
#define DISPATCH_WAIT_DEFAULT_MS 30000
/* Least time in which an attempt can succeed.  */
#define DISPATCH_LEAST_US clk_ms (5)
/* Answers leave this much before the caller stops waiting.  */
#define DISPATCH_MARGIN_US clk_ms (15)
/* Between the priorities 0, 1, 2 … of routes.  */
#define DISPATCH_IMPORTANCE_STEP 10
/* Attempts without a run after which the request is refused.  */
#define DISPATCH_MOVES_MOST 4
/* Servers that are asked while the services below them are overloaded; the
   others would see the same load.  */
#define DISPATCH_SHEDS_MOST 2
/* Pause after which a caller that was refused for that comes back.  */
#define DISPATCH_SHED_AFTER_MS 700
#define DISPATCH_SHED_SPREAD_MS 1300
/* Pause before servers that refused are asked again.  */
#define DISPATCH_PAUSE_US clk_ms (60)
/* Reports of pressure lose weight at this rate.  */
#define DISPATCH_PRESSURE_FADE_US clk_ms (400)
#define DISPATCH_GAIN 0.2
/* Wait of calls below at which new chains of the least and of the most
   important priority are refused.  */
#define DISPATCH_PRESSURE_LEAST_US 120000.0
#define DISPATCH_PRESSURE_MOST_US 400000.0
/* Pause of a caller that no server could be found for.  */
#define DISPATCH_RETRY_AFTER_MS 300
/* Part of the retry budget that new requests may use.  */
#define DISPATCH_BUDGET_NEW 0.5
/* Traffic between failure domains is paid for.  A server of another one has to
   be faster by the first part while requests end well within their time
   limit, by the second when they come close to it.  */
#define DISPATCH_NEAR_GAIN 1.5
#define DISPATCH_NEAR_GAIN_HASTE 0.1
/* Parts of the time limit between which this changes.  */
#define DISPATCH_HASTE_FROM 0.35
#define DISPATCH_HASTE_TO 0.6
#define DISPATCH_HASTE_GAIN 0.05
/* Body bytes that cost as much as a message without a body, and the most that
   a body counts for.  */
#define DISPATCH_MESSAGE_BYTES 8192
#define DISPATCH_WEIGHT_MOST 6

static const enum dispatch_filter dispatch_chain[]
    = { DISPATCH_READY, DISPATCH_ROUTE,    DISPATCH_DEADLINE,
        DISPATCH_SPLIT, DISPATCH_PRESSURE, DISPATCH_END };

int
dispatch_init (struct dispatch_state *state, const struct dispatch_opts *opts)
{
  uint64_t seed;

  memset (state, 0, sizeof *state);
  state->opts = *opts;
  state->nodes = 1;
  list_init (&state->services);
  rng_os_bytes ((uint8_t *)&seed, sizeof seed);
  rng_seed (&state->rng, seed);
  state->split = split_new ();
  if (state->split == NULL)
    return SR_ENOMEM;
  return htable_init (&state->learned);
}

void
dispatch_fini (struct dispatch_state *state)
{
  struct list learned;
  struct list_node *node;

  while ((node = list_pop_head (&state->services)) != NULL)
    {
      struct dispatch_service *service
          = list_entry (node, struct dispatch_service, node);

      lb_free (service->servers);
      free (service);
    }
  list_init (&learned);
  htable_drain (&state->learned, &learned);
  while ((node = list_pop_head (&learned)) != NULL)
    free (list_entry (node, struct dispatch_learned, node.node));
  htable_fini (&state->learned);
  split_free (state->split);
  model_unref (state->model);
}

void
dispatch_configure (struct dispatch_state *state, struct model *model)
{
  split_reset (state->split);
  model_unref (state->model);
  state->model = model;
}

struct dispatch_service *
dispatch_service (struct dispatch_state *state, const char *name, clk_us now)
{
  struct lb_opts opts = { .max_ejected_percent = 50, .by_time = true };
  struct dispatch_service *service;

  list_each (node, &state->services)
    {
      service = list_entry (node, struct dispatch_service, node);
      if (strcmp (service->name, name) == 0)
        return service;
    }
  service = calloc (1, sizeof *service);
  INVARIANT (service != NULL);
  memcpy (service->name, name, strnlen (name, sizeof service->name - 1));
  memcpy (
      opts.failure_domain, state->opts.failure_domain,
      strnlen (state->opts.failure_domain, sizeof opts.failure_domain - 1));
  service->servers = lb_new (&opts);
  INVARIANT (service->servers != NULL);
  budget_init (&service->budget, &state->opts.budget, now);
  list_push_tail (&state->services, &service->node);
  return service;
}

static struct dispatch_learned *
dispatch_find_learned (struct dispatch_state *state, uint64_t route)
{
  struct htable_node *node = htable_find (&state->learned, route);

  return node != NULL ? list_entry (node, struct dispatch_learned, node)
                      : NULL;
}

static struct dispatch_result
dispatch_refuse (enum reason_refusal reason, uint32_t retry_after_ms)
{
  return (struct dispatch_result){ .kind = DISPATCH_REFUSE,
                                   .reason = reason,
                                   .retry_after_ms = retry_after_ms };
}

enum model_cost
dispatch_cost (const struct dispatch_request *request)
{
  return request->inner ? MODEL_COST_SHORT : MODEL_COST_LONG;
}

static uint8_t
dispatch_importance (const struct dispatch_request *request)
{
  uint32_t steps = request->route->priority;

  if (request->inner)
    return IMP_CALL;
  if (steps > IMP_ROUTE_FIRST / DISPATCH_IMPORTANCE_STEP)
    steps = IMP_ROUTE_FIRST / DISPATCH_IMPORTANCE_STEP;
  return (uint8_t)(IMP_ROUTE_FIRST - steps * DISPATCH_IMPORTANCE_STEP);
}

static struct dispatch_result
dispatch_route (struct dispatch_state *state, struct dispatch_request *request)
{
  struct dispatch_learned *learned;

  request->model = model_ref (state->model);
  request->route
      = route_find (state->model->routes, request->host, request->path);
  if (request->route == NULL)
    return dispatch_refuse (REASON_UNKNOWN_SERVICE, 0);
  request->route_id = htable_hash_text (request->route->name);
  learned = dispatch_find_learned (state, request->route_id);
  request->inner = learned != NULL && learned->inner;
  request->importance = dispatch_importance (request);
  return (struct dispatch_result){ .kind = DISPATCH_GO };
}

static struct dispatch_result
dispatch_deadline (struct dispatch_request *request, clk_us now)
{
  uint64_t wait_ms = request->wait_ms;

  if (wait_ms == 0)
    wait_ms = DISPATCH_WAIT_DEFAULT_MS;
  request->deadline = request->arrived + clk_ms (wait_ms);
  request->timeout = request->arrived + clk_ms (request->route->timeout_ms);
  if (request->timeout > request->deadline - DISPATCH_MARGIN_US)
    request->timeout = request->deadline - DISPATCH_MARGIN_US;
  if (request->timeout < now + DISPATCH_LEAST_US)
    return dispatch_refuse (REASON_DEADLINE_QUEUED, 0);
  return (struct dispatch_result){ .kind = DISPATCH_GO };
}

void
dispatch_release (struct dispatch_request *request)
{
  model_unref (request->model);
  request->model = NULL;
  request->route = NULL;
}

double
dispatch_pressure (const struct dispatch_service *service, clk_us now)
{
  clk_us age = now - service->pressure_at;

  if (service->pressure_at == 0 || age >= 2 * DISPATCH_PRESSURE_FADE_US)
    return 0;
  if (age <= DISPATCH_PRESSURE_FADE_US)
    return service->pressure_us;
  return service->pressure_us * (double)(2 * DISPATCH_PRESSURE_FADE_US - age)
         / DISPATCH_PRESSURE_FADE_US;
}

uint32_t
dispatch_shed_after_ms (struct dispatch_state *state)
{
  return DISPATCH_SHED_AFTER_MS
         + rng_below (&state->rng, DISPATCH_SHED_SPREAD_MS);
}

/* A chain that would wait too long below is refused before it starts; the
   less important ones first, and a growing share of them.  */
static struct dispatch_result
dispatch_below (struct dispatch_state *state, struct dispatch_request *request,
                clk_us now)
{
  double pressure = dispatch_pressure (request->service, now);
  double least = DISPATCH_PRESSURE_LEAST_US;
  double share;

  if (request->inner || request->service->fake_announce_out < IMP_CHAIN_CALLS)
    return (struct dispatch_result){ .kind = DISPATCH_GO };
  if (request->route->priority == 0)
    least = DISPATCH_PRESSURE_MOST_US;
  if (pressure <= least)
    return (struct dispatch_result){ .kind = DISPATCH_GO };
  share = (pressure - least) / least;
  if (rng_uniform (&state->rng) >= share)
    return (struct dispatch_result){ .kind = DISPATCH_GO };
  return dispatch_refuse (REASON_UPSTREAM_SHED,
                          dispatch_shed_after_ms (state));
}

static struct dispatch_result
dispatch_run (struct dispatch_state *state, struct dispatch_request *request,
              enum dispatch_filter filter, clk_us now)
{
  switch (filter)
    {
    case DISPATCH_READY:
      if (state->model == NULL || state->model->routes == NULL)
        return dispatch_refuse (REASON_NOT_READY, DISPATCH_RETRY_AFTER_MS);
      if (state->closing)
        return dispatch_refuse (REASON_DRAINING, DISPATCH_RETRY_AFTER_MS);
      break;
    case DISPATCH_ROUTE:
      return dispatch_route (state, request);
    case DISPATCH_DEADLINE:
      return dispatch_deadline (request, now);
    case DISPATCH_SPLIT:
      request->service = dispatch_service (
          state, split_pick (state->split, request->route, &state->rng)->name,
          now);
      if (request->inner)
        request->service->called_at = now;
      budget_request (&request->service->budget, now);
      break;
    case DISPATCH_PRESSURE:
      return dispatch_below (state, request, now);
    case DISPATCH_END:
      break;
    }
  return (struct dispatch_result){ .kind = DISPATCH_GO };
}

struct dispatch_result
dispatch_admit (struct dispatch_state *state, struct dispatch_request *request,
                clk_us now)
{
  struct dispatch_result result = { .kind = DISPATCH_GO };

  for (const enum dispatch_filter *filter = dispatch_chain;
       *filter != DISPATCH_END && result.kind == DISPATCH_GO; filter++)
    result = dispatch_run (state, request, *filter, now);
  return result;
}

/* How much faster a server of another failure domain has to be.  */
static double
dispatch_near_gain (double haste)
{
  double part = (haste - DISPATCH_HASTE_FROM)
                / (DISPATCH_HASTE_TO - DISPATCH_HASTE_FROM);

  if (part <= 0)
    return DISPATCH_NEAR_GAIN;
  if (part >= 1)
    return DISPATCH_NEAR_GAIN_HASTE;
  return DISPATCH_NEAR_GAIN
         + (DISPATCH_NEAR_GAIN_HASTE - DISPATCH_NEAR_GAIN) * part;
}

uint32_t
dispatch_target_left_ms (const struct dispatch_request *request, clk_us now)
{
  clk_us target
      = request->arrived + clk_ms (request->route->target_latency_ms);

  return target > now ? (uint32_t)((target - now) / CLK_US_PER_MS) : 0;
}

/* Messages of usual size that the request counts for.  */
static double
dispatch_weight (const struct dispatch_request *request)
{
  double weight = 1 + (double)request->bytes / DISPATCH_MESSAGE_BYTES;

  return weight < DISPATCH_WEIGHT_MOST ? weight : DISPATCH_WEIGHT_MOST;
}

void
dispatch_ended (struct dispatch_request *request, clk_us now)
{
  double limit = (double)(request->timeout - request->arrived);
  double part = limit > 0 ? (double)(now - request->arrived) / limit : 1;

  if (request->service == NULL || request->inner)
    return;
  request->service->haste
      += (part - request->service->haste) * DISPATCH_HASTE_GAIN;
}

struct dispatch_result
dispatch_choose (struct dispatch_state *state,
                 struct dispatch_request *request, clk_us now)
{
  struct lb_choice choice;

  request->query.importance = MODEL_IMPORTANCE_MAX;
  request->query.cost = dispatch_cost (request);
  request->query.near_gain
      = dispatch_near_gain (request->inner ? request->haste
                                           : request->service->haste)
        * dispatch_weight (request);
  choice
      = lb_pick (request->service->servers, &request->query, &state->rng, now);
  if (choice.kind != LB_SERVER)
    return dispatch_refuse (REASON_NO_SERVER, DISPATCH_RETRY_AFTER_MS);
  request->server = choice.server;
  if (request->query.tried_count < LB_TRIED_MAX)
    request->query.tried[request->query.tried_count++] = choice.server;
  return (struct dispatch_result){ .kind = DISPATCH_GO };
}

/* Whether a server that has not been tried is there.  */
static bool
dispatch_untried (const struct dispatch_request *request)
{
  uint32_t present = 0;

  list_each (node, lb_servers (request->service->servers))
    {
      const struct lb_server *server
          = list_entry (node, struct lb_server, node);

      present += server->present && !server->draining;
    }
  return present > request->query.tried_count;
}

/* The request has provably not run.  */
static struct dispatch_next
dispatch_after_not_run (struct dispatch_request *request,
                        const struct dispatch_failure *failure, clk_us now)
{
  struct dispatch_next next = { .kind = DISPATCH_AGAIN };

  if (failure->reason == REASON_UPSTREAM_SHED)
    request->sheds++;
  if (request->moves >= DISPATCH_MOVES_MOST
      || request->sheds >= DISPATCH_SHEDS_MOST
      || failure->reason == REASON_DEADLINE_QUEUED
      || failure->reason == REASON_QUARANTINED)
    next.kind = DISPATCH_GIVE_UP;
  else if (!dispatch_untried (request))
    {
      next.kind = DISPATCH_LATER;
      next.at = now + DISPATCH_PAUSE_US;
      if (next.at + DISPATCH_LEAST_US >= request->timeout
          || failure->reason == REASON_QUEUE_FULL
          || failure->reason == REASON_EVICTED)
        next.kind = DISPATCH_GIVE_UP;
    }
  return next;
}

/* Takes from the retry budget.  Calls of running requests, whose work would be
   lost, may use all of it.  */
static bool
dispatch_budget (const struct dispatch_state *state,
                 const struct dispatch_request *request, double cost,
                 clk_us now)
{
  return budget_take (&request->service->budget, cost,
                      request->inner ? 1 : DISPATCH_BUDGET_NEW, state->nodes,
                      now);
}

struct dispatch_next
dispatch_after (struct dispatch_state *state, struct dispatch_request *request,
                const struct dispatch_failure *failure, clk_us now)
{
  struct dispatch_next next = { .kind = DISPATCH_GIVE_UP };
  double cost = 1 + request->service->fake_announce_out;

  if (now + DISPATCH_LEAST_US >= request->timeout || state->closing)
    return next;
  if (failure->run == REASON_NOT_RUN)
    {
      request->moves++;
      /* A server that refuses has been reached, which the budget counts.  */
      if (failure->reason == REASON_SERVER_REFUSED
          && !dispatch_budget (state, request, 1, now))
        return next;
      return dispatch_after_not_run (request, failure, now);
    }
  request->reached++;
  if (!request->route->idempotent
      || request->reached >= request->route->attempts_max)
    return next;
  if (!dispatch_budget (state, request, cost, now))
    return next;
  next.kind = DISPATCH_AGAIN;
  return next;
}

void
dispatch_learn_route (struct dispatch_state *state, uint64_t route, bool inner)
{
  struct dispatch_learned *learned = dispatch_find_learned (state, route);

  if (learned == NULL)
    {
      learned = calloc (1, sizeof *learned);
      INVARIANT (learned != NULL);
      htable_add (&state->learned, &learned->node, route);
    }
  learned->inner = inner;
}

void
dispatch_learn (struct dispatch_state *state,
                const struct dispatch_request *request,
                const struct dispatch_told *told, clk_us now)
{
  struct dispatch_service *service = request->service;
  double pressure = told->pressure_us > told->wait_us
                        ? (double)told->pressure_us
                        : (double)told->wait_us;
  double before = dispatch_pressure (service, now);

  service->pressure_us = before + (pressure - before) * DISPATCH_GAIN;
  service->pressure_at = now;
  service->fake_announce_out
      += (told->fake_announce_out - service->fake_announce_out)
         * DISPATCH_GAIN;

  if (told->answered)
    lb_note_run (request->server, dispatch_cost (request), told->ran);
  lb_note_load (request->server, told->load, told->wait_us, now);
  dispatch_learn_route (state, request->route_id, told->inner);
}
