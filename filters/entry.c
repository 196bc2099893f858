#include "filters/entry.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "filters/importance.h"

/* Time that a caller waits when it does not say.  */
#define ENT_WAIT_DEFAULT_MS 30000
/* Least time in which an attempt can succeed.  */
#define ENT_LEAST_US clk_ms (5)
/* Answers leave this much before the caller stops waiting.  */
#define ENT_MARGIN_US clk_ms (15)
/* Between the priorities 0, 1, 2 … of routes.  */
#define ENT_IMPORTANCE_STEP 10
/* Attempts without a run after which the request is refused.  */
#define ENT_MOVES_MOST 4
/* Servers that are asked while the services below them are overloaded; the
   others would see the same load.  */
#define ENT_SHEDS_MOST 2
/* Pause after which a caller that was refused for that comes back.  */
#define ENT_SHED_AFTER_MS 700
#define ENT_SHED_SPREAD_MS 1300
/* Pause before servers that refused are asked again.  */
#define ENT_PAUSE_US clk_ms (60)
/* Reports of pressure lose weight at this rate.  */
#define ENT_PRESSURE_FADE_US clk_ms (400)
#define ENT_GAIN 0.2
/* Wait of calls below at which new chains of the least and of the most
   important priority are refused.  */
#define ENT_PRESSURE_LEAST_US 120000.0
#define ENT_PRESSURE_MOST_US 400000.0
/* Pause of a caller that no server could be found for.  */
#define ENT_RETRY_AFTER_MS 300
/* Part of the retry budget that new requests may use.  */
#define ENT_BUDGET_NEW 0.5
/* Traffic between failure domains is paid for.  A server of another one has to
   be faster by the first part while requests end well within their time
   limit, by the second when they come close to it.  */
#define ENT_NEAR_GAIN 1.5
#define ENT_NEAR_GAIN_HASTE 0.1
/* Parts of the time limit between which this changes.  */
#define ENT_HASTE_FROM 0.35
#define ENT_HASTE_TO 0.6
#define ENT_HASTE_GAIN 0.05
/* Body bytes that cost as much as a message without a body, and the most that
   a body counts for.  */
#define ENT_MESSAGE_BYTES 8192
#define ENT_WEIGHT_MOST 6

static const enum ent_filter ent_chain[]
    = { ENT_READY, ENT_ROUTE, ENT_DEADLINE, ENT_SPLIT, ENT_PRESSURE, ENT_END };

int
ent_init (struct ent_state *state, const struct ent_opts *opts)
{
  uint64_t seed;

  memset (state, 0, sizeof *state);
  state->opts = *opts;
  state->nodes = 1;
  lst_init (&state->services);
  rng_id ((uint8_t *)&seed, sizeof seed);
  rng_seed (&state->rng, seed);
  state->split = spl_new ();
  if (state->split == NULL)
    return SR_ENOMEM;
  return hsh_init (&state->learned);
}

void
ent_fini (struct ent_state *state)
{
  struct lst learned;
  struct lst_node *node;

  while ((node = lst_pop_head (&state->services)) != NULL)
    {
      struct ent_service *service = lst_entry (node, struct ent_service, node);

      chs_free (service->servers);
      free (service);
    }
  lst_init (&learned);
  hsh_drain (&state->learned, &learned);
  while ((node = lst_pop_head (&learned)) != NULL)
    free (lst_entry (node, struct ent_learned, node.node));
  hsh_fini (&state->learned);
  spl_free (state->split);
  mdl_unref (state->model);
}

void
ent_configure (struct ent_state *state, struct mdl *model)
{
  spl_reset (state->split);
  mdl_unref (state->model);
  state->model = model;
}

struct ent_service *
ent_service (struct ent_state *state, const char *name, clk_us now)
{
  struct chs_opts opts = { .max_ejected_percent = 50, .by_time = true };
  struct ent_service *service;

  lst_each (node, &state->services)
    {
      service = lst_entry (node, struct ent_service, node);
      if (strcmp (service->name, name) == 0)
        return service;
    }
  service = calloc (1, sizeof *service);
  INVARIANT (service != NULL);
  memcpy (service->name, name, strnlen (name, sizeof service->name - 1));
  memcpy (
      opts.failure_domain, state->opts.failure_domain,
      strnlen (state->opts.failure_domain, sizeof opts.failure_domain - 1));
  service->servers = chs_new (&opts);
  INVARIANT (service->servers != NULL);
  win_init (&service->budget, &state->opts.budget, now);
  lst_push_tail (&state->services, &service->node);
  return service;
}

static struct ent_learned *
ent_find_learned (struct ent_state *state, uint64_t route)
{
  struct hsh_node *node = hsh_find (&state->learned, route);

  return node != NULL ? lst_entry (node, struct ent_learned, node) : NULL;
}

static struct ent_result
ent_refuse (enum rsn_refusal reason, uint32_t retry_after_ms)
{
  return (struct ent_result){ .kind = ENT_REFUSE,
                              .reason = reason,
                              .retry_after_ms = retry_after_ms };
}

enum mdl_cost
ent_cost (const struct ent_request *request)
{
  return request->inner ? MDL_SHORT : MDL_LONG;
}

static uint8_t
ent_importance (const struct ent_request *request)
{
  uint32_t steps = request->route->priority;

  if (request->inner)
    return IMP_CALL;
  if (steps > IMP_ROUTE_FIRST / ENT_IMPORTANCE_STEP)
    steps = IMP_ROUTE_FIRST / ENT_IMPORTANCE_STEP;
  return (uint8_t)(IMP_ROUTE_FIRST - steps * ENT_IMPORTANCE_STEP);
}

static struct ent_result
ent_route (struct ent_state *state, struct ent_request *request)
{
  struct ent_learned *learned;

  request->model = mdl_ref (state->model);
  request->route
      = rte_find (state->model->routes, request->host, request->path);
  if (request->route == NULL)
    return ent_refuse (RSN_UNKNOWN_SERVICE, 0);
  request->route_id = hsh_text (request->route->name);
  learned = ent_find_learned (state, request->route_id);
  request->inner = learned != NULL && learned->inner;
  request->importance = ent_importance (request);
  return (struct ent_result){ .kind = ENT_GO };
}

static struct ent_result
ent_deadline (struct ent_request *request, clk_us now)
{
  uint64_t wait_ms = request->wait_ms;

  if (wait_ms == 0)
    wait_ms = ENT_WAIT_DEFAULT_MS;
  request->deadline = request->arrived + clk_ms (wait_ms);
  request->timeout = request->arrived + clk_ms (request->route->timeout_ms);
  if (request->timeout > request->deadline - ENT_MARGIN_US)
    request->timeout = request->deadline - ENT_MARGIN_US;
  if (request->timeout < now + ENT_LEAST_US)
    return ent_refuse (RSN_DEADLINE_QUEUED, 0);
  return (struct ent_result){ .kind = ENT_GO };
}

void
ent_release (struct ent_request *request)
{
  mdl_unref (request->model);
  request->model = NULL;
  request->route = NULL;
}

double
ent_pressure (const struct ent_service *service, clk_us now)
{
  clk_us age = now - service->pressure_at;

  if (service->pressure_at == 0 || age >= 2 * ENT_PRESSURE_FADE_US)
    return 0;
  if (age <= ENT_PRESSURE_FADE_US)
    return service->pressure_us;
  return service->pressure_us * (double)(2 * ENT_PRESSURE_FADE_US - age)
         / ENT_PRESSURE_FADE_US;
}

uint32_t
ent_shed_after_ms (struct ent_state *state)
{
  return ENT_SHED_AFTER_MS + rng_below (&state->rng, ENT_SHED_SPREAD_MS);
}

/* A chain that would wait too long below is refused before it starts; the
   less important ones first, and a growing share of them.  */
static struct ent_result
ent_below (struct ent_state *state, struct ent_request *request, clk_us now)
{
  double pressure = ent_pressure (request->service, now);
  double least = ENT_PRESSURE_LEAST_US;
  double share;

  if (request->inner || request->service->fan_out < IMP_CHAIN_CALLS)
    return (struct ent_result){ .kind = ENT_GO };
  if (request->route->priority == 0)
    least = ENT_PRESSURE_MOST_US;
  if (pressure <= least)
    return (struct ent_result){ .kind = ENT_GO };
  share = (pressure - least) / least;
  if (rng_unit (&state->rng) >= share)
    return (struct ent_result){ .kind = ENT_GO };
  return ent_refuse (RSN_UPSTREAM_SHED, ent_shed_after_ms (state));
}

static struct ent_result
ent_run (struct ent_state *state, struct ent_request *request,
         enum ent_filter filter, clk_us now)
{
  switch (filter)
    {
    case ENT_READY:
      if (state->model == NULL || state->model->routes == NULL)
        return ent_refuse (RSN_NOT_READY, ENT_RETRY_AFTER_MS);
      if (state->closing)
        return ent_refuse (RSN_DRAINING, ENT_RETRY_AFTER_MS);
      break;
    case ENT_ROUTE:
      return ent_route (state, request);
    case ENT_DEADLINE:
      return ent_deadline (request, now);
    case ENT_SPLIT:
      request->service = ent_service (
          state, spl_pick (state->split, request->route, &state->rng)->name,
          now);
      if (request->inner)
        request->service->called_at = now;
      win_request (&request->service->budget, now);
      break;
    case ENT_PRESSURE:
      return ent_below (state, request, now);
    case ENT_END:
      break;
    }
  return (struct ent_result){ .kind = ENT_GO };
}

struct ent_result
ent_admit (struct ent_state *state, struct ent_request *request, clk_us now)
{
  struct ent_result result = { .kind = ENT_GO };

  for (const enum ent_filter *filter = ent_chain;
       *filter != ENT_END && result.kind == ENT_GO; filter++)
    result = ent_run (state, request, *filter, now);
  return result;
}

/* How much faster a server of another failure domain has to be.  */
static double
ent_near_gain (double haste)
{
  double part = (haste - ENT_HASTE_FROM) / (ENT_HASTE_TO - ENT_HASTE_FROM);

  if (part <= 0)
    return ENT_NEAR_GAIN;
  if (part >= 1)
    return ENT_NEAR_GAIN_HASTE;
  return ENT_NEAR_GAIN + (ENT_NEAR_GAIN_HASTE - ENT_NEAR_GAIN) * part;
}

uint32_t
ent_target_left_ms (const struct ent_request *request, clk_us now)
{
  clk_us target
      = request->arrived + clk_ms (request->route->target_latency_ms);

  return target > now ? (uint32_t)((target - now) / CLK_US_PER_MS) : 0;
}

/* Messages of usual size that the request counts for.  */
static double
ent_weight (const struct ent_request *request)
{
  double weight = 1 + (double)request->bytes / ENT_MESSAGE_BYTES;

  return weight < ENT_WEIGHT_MOST ? weight : ENT_WEIGHT_MOST;
}

void
ent_ended (struct ent_request *request, clk_us now)
{
  double limit = (double)(request->timeout - request->arrived);
  double part = limit > 0 ? (double)(now - request->arrived) / limit : 1;

  if (request->service == NULL || request->inner)
    return;
  request->service->haste += (part - request->service->haste) * ENT_HASTE_GAIN;
}

struct ent_result
ent_choose (struct ent_state *state, struct ent_request *request, clk_us now)
{
  struct chs_choice choice;

  request->query.importance = MDL_IMPORTANCE_MAX;
  request->query.cost = ent_cost (request);
  request->query.near_gain
      = ent_near_gain (request->inner ? request->haste
                                      : request->service->haste)
        * ent_weight (request);
  choice = chs_pick (request->service->servers, &request->query, &state->rng,
                     now);
  if (choice.kind != CHS_SERVER)
    return ent_refuse (RSN_NO_SERVER, ENT_RETRY_AFTER_MS);
  request->server = choice.server;
  if (request->query.tried_count < CHS_TRIED_MAX)
    request->query.tried[request->query.tried_count++] = choice.server;
  return (struct ent_result){ .kind = ENT_GO };
}

/* Whether a server that has not been tried is there.  */
static bool
ent_untried (const struct ent_request *request)
{
  uint32_t present = 0;

  lst_each (node, chs_servers (request->service->servers))
    {
      const struct chs_server *server
          = lst_entry (node, struct chs_server, node);

      present += server->present && !server->draining;
    }
  return present > request->query.tried_count;
}

/* The request has provably not run.  */
static struct ent_next
ent_after_not_run (struct ent_request *request,
                   const struct ent_failure *failure, clk_us now)
{
  struct ent_next next = { .kind = ENT_AGAIN };

  if (failure->reason == RSN_UPSTREAM_SHED)
    request->sheds++;
  if (request->moves >= ENT_MOVES_MOST || request->sheds >= ENT_SHEDS_MOST
      || failure->reason == RSN_DEADLINE_QUEUED
      || failure->reason == RSN_QUARANTINED)
    next.kind = ENT_GIVE_UP;
  else if (!ent_untried (request))
    {
      next.kind = ENT_LATER;
      next.at = now + ENT_PAUSE_US;
      if (next.at + ENT_LEAST_US >= request->timeout
          || failure->reason == RSN_QUEUE_FULL
          || failure->reason == RSN_EVICTED)
        next.kind = ENT_GIVE_UP;
    }
  return next;
}

/* Takes from the retry budget.  Calls of running requests, whose work would be
   lost, may use all of it.  */
static bool
ent_budget (const struct ent_state *state, const struct ent_request *request,
            double cost, clk_us now)
{
  return win_take (&request->service->budget, cost,
                   request->inner ? 1 : ENT_BUDGET_NEW, state->nodes, now);
}

struct ent_next
ent_after (struct ent_state *state, struct ent_request *request,
           const struct ent_failure *failure, clk_us now)
{
  struct ent_next next = { .kind = ENT_GIVE_UP };
  double cost = 1 + request->service->fan_out;

  if (now + ENT_LEAST_US >= request->timeout || state->closing)
    return next;
  if (failure->run == RSN_NOT_RUN)
    {
      request->moves++;
      /* A server that refuses has been reached, which the budget counts.  */
      if (failure->reason == RSN_SERVER_REFUSED
          && !ent_budget (state, request, 1, now))
        return next;
      return ent_after_not_run (request, failure, now);
    }
  request->reached++;
  if (!request->route->idempotent
      || request->reached >= request->route->attempts_max)
    return next;
  if (!ent_budget (state, request, cost, now))
    return next;
  next.kind = ENT_AGAIN;
  return next;
}

void
ent_learn_route (struct ent_state *state, uint64_t route, bool inner)
{
  struct ent_learned *learned = ent_find_learned (state, route);

  if (learned == NULL)
    {
      learned = calloc (1, sizeof *learned);
      INVARIANT (learned != NULL);
      hsh_add (&state->learned, &learned->node, route);
    }
  learned->inner = inner;
}

void
ent_learn (struct ent_state *state, const struct ent_request *request,
           const struct ent_told *told, clk_us now)
{
  struct ent_service *service = request->service;
  double pressure = told->pressure_us > told->wait_us
                        ? (double)told->pressure_us
                        : (double)told->wait_us;
  double before = ent_pressure (service, now);

  service->pressure_us = before + (pressure - before) * ENT_GAIN;
  service->pressure_at = now;
  service->fan_out += (told->fan_out - service->fan_out) * ENT_GAIN;

  if (told->answered)
    chs_note_run (request->server, ent_cost (request), told->ran);
  chs_note_load (request->server, told->load, told->wait_us, now);
  ent_learn_route (state, request->route_id, told->inner);
}
