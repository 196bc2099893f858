#include "filters/dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "filters/importance.h"

/* Time that a caller waits when it does not say.  */
#define DISPATCH_CALLER_TIMEOUT_DEFAULT_MS 30000
/* Least time in which an attempt can succeed.  */
#define DISPATCH_ATTEMPT_MIN_US clk_ms (5)
/* Answers leave this much before the caller stops waiting.  */
#define DISPATCH_ANSWER_MARGIN_US clk_ms (15)
/* Between the priorities 0, 1, 2 … of routes.  */
#define DISPATCH_IMPORTANCE_STEP 10
/* Attempts without a run after which the request is refused.  */
#define DISPATCH_ATTEMPTS_NOT_RUN_MAX 4
/* Servers that are asked while the services below them are overloaded; the
   others would see the same load.  */
#define DISPATCH_ATTEMPTS_SHED_MAX 2
/* Pause after which a caller that was refused for that comes back.  */
#define DISPATCH_SHED_DELAY_MIN_MS 700
#define DISPATCH_SHED_JITTER_MS 1300
/* Pause before servers that refused are asked again.  */
#define DISPATCH_RETRY_PAUSE_US clk_ms (60)
/* Reports of pressure lose weight at this rate.  */
#define DISPATCH_DOWNSTREAM_DECAY_US clk_ms (400)
#define DISPATCH_GAIN 0.2
/* Wait of calls below at which new chains of the least and of the most
   important priority are refused.  */
#define DISPATCH_SHED_WAIT_US 120000.0
#define DISPATCH_SHED_WAIT_CRITICAL_US 400000.0
/* Pause of a caller that no server could be found for.  */
#define DISPATCH_RETRY_AFTER_MS 300
/* Part of the retry budget that new requests may use.  */
#define DISPATCH_BUDGET_EXTERNAL_FRACTION 0.5
/* Traffic between failure domains is paid for.  A server of another one has to
   be faster by the first part while requests end well within their time
   limit, by the second when they come close to it.  */
#define DISPATCH_CROSS_DOMAIN_PENALTY_MAX 1.5
#define DISPATCH_CROSS_DOMAIN_PENALTY_MIN 0.1
/* Parts of the time limit between which this changes.  */
#define DISPATCH_TIMEOUT_FRACTION_LOW 0.35
#define DISPATCH_TIMEOUT_FRACTION_HIGH 0.6
#define DISPATCH_TIMEOUT_FRACTION_GAIN 0.05
/* Body bytes that cost as much as a message without a body, and the most that
   a body counts for.  */
#define DISPATCH_MESSAGE_BYTES 8192
#define DISPATCH_BODY_WEIGHT_MAX 6

static const enum dispatch_filter dispatch_chain[]
    = { DISPATCH_READY, DISPATCH_ROUTE,      DISPATCH_DEADLINE,
        DISPATCH_SPLIT, DISPATCH_DOWNSTREAM, DISPATCH_END };

int
dispatch_init (struct dispatch_state *state, const struct dispatch_opts *opts)
{
  uint64_t seed;

  memset (state, 0, sizeof *state);
  state->opts = *opts;
  state->node_count = 1;
  list_init (&state->services);
  rng_os_bytes ((uint8_t *)&seed, sizeof seed);
  rng_seed (&state->rng, seed);
  state->split = split_new ();
  if (state->split == NULL)
    return SR_ENOMEM;
  return htable_init (&state->route_infos);
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
  htable_drain (&state->route_infos, &learned);
  while ((node = list_pop_head (&learned)) != NULL)
    free (list_entry (node, struct dispatch_route_info, node.node));
  htable_fini (&state->route_infos);
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
  struct lb_opts opts
      = { .max_ejected_percent = 50, .by_expected_time = true };
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

static struct dispatch_route_info *
dispatch_find_route_info (struct dispatch_state *state, uint64_t route)
{
  struct htable_node *node = htable_find (&state->route_infos, route);

  return node != NULL ? list_entry (node, struct dispatch_route_info, node)
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
  return request->internal ? MODEL_COST_SHORT : MODEL_COST_LONG;
}

static uint8_t
dispatch_importance (const struct dispatch_request *request)
{
  uint32_t steps = request->route->priority;

  if (request->internal)
    return IMPORTANCE_INTERNAL;
  if (steps > IMPORTANCE_ROUTE_MAX / DISPATCH_IMPORTANCE_STEP)
    steps = IMPORTANCE_ROUTE_MAX / DISPATCH_IMPORTANCE_STEP;
  return (uint8_t)(IMPORTANCE_ROUTE_MAX - steps * DISPATCH_IMPORTANCE_STEP);
}

static struct dispatch_result
dispatch_find_route (struct dispatch_state *state,
                     struct dispatch_request *request)
{
  struct dispatch_route_info *learned;

  request->model = model_ref (state->model);
  request->route
      = route_find (state->model->routes, request->host, request->path);
  if (request->route == NULL)
    return dispatch_refuse (REASON_UNKNOWN_SERVICE, 0);
  request->route_id = htable_hash_text (request->route->name);
  learned = dispatch_find_route_info (state, request->route_id);
  request->internal = learned != NULL && learned->internal;
  request->importance = dispatch_importance (request);
  return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
}

static struct dispatch_result
dispatch_set_deadline (struct dispatch_request *request, clk_us now)
{
  uint64_t wait_ms = request->caller_timeout_ms;

  if (wait_ms == 0)
    wait_ms = DISPATCH_CALLER_TIMEOUT_DEFAULT_MS;
  request->caller_deadline = request->arrived + clk_ms (wait_ms);
  request->route_deadline
      = request->arrived + clk_ms (request->route->timeout_ms);
  if (request->route_deadline
      > request->caller_deadline - DISPATCH_ANSWER_MARGIN_US)
    request->route_deadline
        = request->caller_deadline - DISPATCH_ANSWER_MARGIN_US;
  if (request->route_deadline < now + DISPATCH_ATTEMPT_MIN_US)
    return dispatch_refuse (REASON_DEADLINE_QUEUED, 0);
  return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
}

void
dispatch_release (struct dispatch_request *request)
{
  model_unref (request->model);
  request->model = NULL;
  request->route = NULL;
}

double
dispatch_downstream_wait_us (const struct dispatch_service *service,
                             clk_us now)
{
  clk_us age = now - service->downstream_wait_at;

  if (service->downstream_wait_at == 0
      || age >= 2 * DISPATCH_DOWNSTREAM_DECAY_US)
    return 0;
  if (age <= DISPATCH_DOWNSTREAM_DECAY_US)
    return service->downstream_wait_us;
  return service->downstream_wait_us
         * (double)(2 * DISPATCH_DOWNSTREAM_DECAY_US - age)
         / DISPATCH_DOWNSTREAM_DECAY_US;
}

uint32_t
dispatch_shed_retry_after_ms (struct dispatch_state *state)
{
  return DISPATCH_SHED_DELAY_MIN_MS
         + rng_below (&state->rng, DISPATCH_SHED_JITTER_MS);
}

/* A chain that would wait too long below is refused before it starts; the
   less important ones first, and a growing share of them.  */
static struct dispatch_result
dispatch_check_downstream (struct dispatch_state *state,
                           struct dispatch_request *request, clk_us now)
{
  double pressure = dispatch_downstream_wait_us (request->service, now);
  double least = DISPATCH_SHED_WAIT_US;
  double share;

  if (request->internal
      || request->service->fan_out < IMPORTANCE_CHAIN_FAN_OUT)
    return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
  if (request->route->priority == 0)
    least = DISPATCH_SHED_WAIT_CRITICAL_US;
  if (pressure <= least)
    return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
  share = (pressure - least) / least;
  if (rng_uniform (&state->rng) >= share)
    return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
  return dispatch_refuse (REASON_UPSTREAM_SHED,
                          dispatch_shed_retry_after_ms (state));
}

static struct dispatch_result
dispatch_step (struct dispatch_state *state, struct dispatch_request *request,
               enum dispatch_filter filter, clk_us now)
{
  switch (filter)
    {
    case DISPATCH_READY:
      if (state->model == NULL || state->model->routes == NULL)
        return dispatch_refuse (REASON_NOT_READY, DISPATCH_RETRY_AFTER_MS);
      if (state->stopping)
        return dispatch_refuse (REASON_DRAINING, DISPATCH_RETRY_AFTER_MS);
      break;
    case DISPATCH_ROUTE:
      return dispatch_find_route (state, request);
    case DISPATCH_DEADLINE:
      return dispatch_set_deadline (request, now);
    case DISPATCH_SPLIT:
      request->service = dispatch_service (
          state, split_pick (state->split, request->route, &state->rng)->name,
          now);
      if (request->internal)
        request->service->called_at = now;
      budget_count_request (&request->service->budget, now);
      break;
    case DISPATCH_DOWNSTREAM:
      return dispatch_check_downstream (state, request, now);
    case DISPATCH_END:
      break;
    }
  return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
}

struct dispatch_result
dispatch_run_chain (struct dispatch_state *state,
                    struct dispatch_request *request, clk_us now)
{
  struct dispatch_result result = { .kind = DISPATCH_CONTINUE };

  for (const enum dispatch_filter *filter = dispatch_chain;
       *filter != DISPATCH_END && result.kind == DISPATCH_CONTINUE; filter++)
    result = dispatch_step (state, request, *filter, now);
  return result;
}

/* How much faster a server of another failure domain has to be.  */
static double
dispatch_cross_domain_penalty (double haste)
{
  double part
      = (haste - DISPATCH_TIMEOUT_FRACTION_LOW)
        / (DISPATCH_TIMEOUT_FRACTION_HIGH - DISPATCH_TIMEOUT_FRACTION_LOW);

  if (part <= 0)
    return DISPATCH_CROSS_DOMAIN_PENALTY_MAX;
  if (part >= 1)
    return DISPATCH_CROSS_DOMAIN_PENALTY_MIN;
  return DISPATCH_CROSS_DOMAIN_PENALTY_MAX
         + (DISPATCH_CROSS_DOMAIN_PENALTY_MIN
            - DISPATCH_CROSS_DOMAIN_PENALTY_MAX)
               * part;
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
dispatch_body_weight (const struct dispatch_request *request)
{
  double weight = 1 + (double)request->body_bytes / DISPATCH_MESSAGE_BYTES;

  return weight < DISPATCH_BODY_WEIGHT_MAX ? weight : DISPATCH_BODY_WEIGHT_MAX;
}

void
dispatch_record_end (struct dispatch_request *request, clk_us now)
{
  double limit = (double)(request->route_deadline - request->arrived);
  double part = limit > 0 ? (double)(now - request->arrived) / limit : 1;

  if (request->service == NULL || request->internal)
    return;
  request->service->timeout_fraction
      += (part - request->service->timeout_fraction)
         * DISPATCH_TIMEOUT_FRACTION_GAIN;
}

struct dispatch_result
dispatch_choose_server (struct dispatch_state *state,
                        struct dispatch_request *request, clk_us now)
{
  struct lb_choice choice;

  request->query.importance = MODEL_IMPORTANCE_MAX;
  request->query.cost = dispatch_cost (request);
  request->query.cross_domain_penalty
      = dispatch_cross_domain_penalty (
            request->internal ? request->timeout_fraction
                              : request->service->timeout_fraction)
        * dispatch_body_weight (request);
  choice
      = lb_pick (request->service->servers, &request->query, &state->rng, now);
  if (choice.kind != LB_SERVER)
    return dispatch_refuse (REASON_NO_SERVER, DISPATCH_RETRY_AFTER_MS);
  request->server = choice.server;
  if (request->query.tried_count < LB_TRIED_MAX)
    request->query.tried[request->query.tried_count++] = choice.server;
  return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
}

/* Whether a server that has not been tried is there.  */
static bool
dispatch_has_untried (const struct dispatch_request *request)
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
dispatch_retry_not_run (struct dispatch_request *request,
                        const struct dispatch_failure *failure, clk_us now)
{
  struct dispatch_next next = { .kind = DISPATCH_RETRY_NOW };

  if (failure->reason == REASON_UPSTREAM_SHED)
    request->attempts_shed++;
  if (request->attempts_not_run >= DISPATCH_ATTEMPTS_NOT_RUN_MAX
      || request->attempts_shed >= DISPATCH_ATTEMPTS_SHED_MAX
      || failure->reason == REASON_DEADLINE_QUEUED
      || failure->reason == REASON_QUARANTINED)
    next.kind = DISPATCH_GIVE_UP;
  else if (!dispatch_has_untried (request))
    {
      next.kind = DISPATCH_RETRY_LATER;
      next.retry_at = now + DISPATCH_RETRY_PAUSE_US;
      if (next.retry_at + DISPATCH_ATTEMPT_MIN_US >= request->route_deadline
          || failure->reason == REASON_QUEUE_FULL
          || failure->reason == REASON_EVICTED)
        next.kind = DISPATCH_GIVE_UP;
    }
  return next;
}

/* Takes from the retry budget.  Calls of running requests, whose work would be
   lost, may use all of it.  */
static bool
dispatch_take_budget (const struct dispatch_state *state,
                      const struct dispatch_request *request, double cost,
                      clk_us now)
{
  return budget_take (&request->service->budget, cost,
                      request->internal ? 1
                                        : DISPATCH_BUDGET_EXTERNAL_FRACTION,
                      state->node_count, now);
}

struct dispatch_next
dispatch_decide_retry (struct dispatch_state *state,
                       struct dispatch_request *request,
                       const struct dispatch_failure *failure, clk_us now)
{
  struct dispatch_next next = { .kind = DISPATCH_GIVE_UP };
  double cost = 1 + request->service->fan_out;

  if (now + DISPATCH_ATTEMPT_MIN_US >= request->route_deadline
      || state->stopping)
    return next;
  if (failure->run == REASON_NOT_RUN)
    {
      request->attempts_not_run++;
      /* A server that refuses has been reached, which the budget counts.  */
      if (failure->reason == REASON_SERVER_REFUSED
          && !dispatch_take_budget (state, request, 1, now))
        return next;
      return dispatch_retry_not_run (request, failure, now);
    }
  request->servers_reached++;
  if (!request->route->idempotent
      || request->servers_reached >= request->route->attempts_max)
    return next;
  if (!dispatch_take_budget (state, request, cost, now))
    return next;
  next.kind = DISPATCH_RETRY_NOW;
  return next;
}

void
dispatch_set_route_internal (struct dispatch_state *state, uint64_t route,
                             bool inner)
{
  struct dispatch_route_info *learned
      = dispatch_find_route_info (state, route);

  if (learned == NULL)
    {
      learned = calloc (1, sizeof *learned);
      INVARIANT (learned != NULL);
      htable_add (&state->route_infos, &learned->node, route);
    }
  learned->internal = inner;
}

void
dispatch_record_report (struct dispatch_state *state,
                        const struct dispatch_request *request,
                        const struct dispatch_report *told, clk_us now)
{
  struct dispatch_service *service = request->service;
  double pressure = told->downstream_wait_us > told->internal_wait_us
                        ? (double)told->downstream_wait_us
                        : (double)told->internal_wait_us;
  double before = dispatch_downstream_wait_us (service, now);

  service->downstream_wait_us = before + (pressure - before) * DISPATCH_GAIN;
  service->downstream_wait_at = now;
  service->fan_out += (told->fan_out - service->fan_out) * DISPATCH_GAIN;

  if (told->answered)
    lb_record_run (request->server, dispatch_cost (request), told->run_time);
  lb_record_load (request->server, told->load, told->internal_wait_us, now);
  dispatch_set_route_internal (state, request->route_id, told->internal);
}
