#include "filters/dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "filters/importance.h"

/* Time that a caller waits if it does not declare it.  */
#define DISPATCH_CALLER_TIMEOUT_DEFAULT_MS 30000
/* Minimum time in which an attempt can succeed.  */
#define DISPATCH_ATTEMPT_MIN_US clk_ms (5)
/* Time for the answer to reach the caller before it stops waiting.  */
#define DISPATCH_ANSWER_MARGIN_US clk_ms (15)
/* Difference in importance between the priorities 0, 1, 2 … of routes.  */
#define DISPATCH_IMPORTANCE_STEP 10
/* A request is refused after this many attempts that did not run.  */
#define DISPATCH_ATTEMPTS_NOT_RUN_MAX 4
/* A request is refused after this many attempts that were refused because of
   overload downstream: other servers would find the same overload.  */
#define DISPATCH_ATTEMPTS_SHED_MAX 2
/* Bounds of Retry-After for overload downstream: minimum, and range of the
   random addition.  */
#define DISPATCH_SHED_RETRY_AFTER_MIN_MS 700
#define DISPATCH_SHED_RETRY_AFTER_JITTER_MS 1300
/* Delay before servers that have refused a request are tried again.  */
#define DISPATCH_RETRY_PAUSE_US clk_ms (60)
/* A queue wait is valid for this time after it was measured, and decays to 0
   within the same time again.  */
#define DISPATCH_QUEUE_WAIT_TTL_US clk_ms (400)
/* Age that a queue wait gets with each node, for the time on the way, which
   the nodes do not know.  Without it a wait would hardly age in a cycle.  */
#define DISPATCH_QUEUE_WAIT_HOP_US clk_ms (10)
/* A service counts as downstream of the local backend server for this time
   after a call.  */
#define DISPATCH_CALLED_TTL_US clk_s (2)
/* Weight of a report in the moving averages of a service.  */
#define DISPATCH_GAIN 0.2
/* Queue waits downstream from which on requests that start a call chain are
   refused, the second one for routes of the highest priority.  */
#define DISPATCH_SHED_QUEUE_WAIT_US 120000.0
#define DISPATCH_SHED_QUEUE_WAIT_CRITICAL_US 400000.0
/* Retry-After when no server is available or the node shuts down.  */
#define DISPATCH_RETRY_AFTER_MS 300
/* Time from the start of the process until it usually has a configuration,
   when all nodes start together: the replicas elect a leader first.  */
#define DISPATCH_READY_AFTER_MS 1300
/* Range of the random addition to Retry-After until then.  */
#define DISPATCH_READY_JITTER_MS 300
/* A node that shuts down sends a request if this many times its average
   duration is left: more for one that must not run twice, because its caller
   cannot send it again when it is cut off.  */
#define DISPATCH_STOP_DURATIONS 1.0
#define DISPATCH_STOP_DURATIONS_ONCE 2.0
/* Fraction of the retry budget that external requests may use.  */
#define DISPATCH_BUDGET_EXTERNAL_FRACTION 0.5
/* Traffic between failure domains costs money.  The expected time of a server
   of another domain is increased by the maximum penalty while requests end
   well within their time limit, and by the minimum when they come close to it.
 */
#define DISPATCH_CROSS_DOMAIN_PENALTY_MAX 1.5
#define DISPATCH_CROSS_DOMAIN_PENALTY_MIN 0.1
/* Used fractions of the time limit between which the penalty is interpolated,
   and weight of one request in their moving average.  */
#define DISPATCH_TIMEOUT_USED_LOW 0.35
#define DISPATCH_TIMEOUT_USED_HIGH 0.6
#define DISPATCH_TIMEOUT_USED_GAIN 0.05
/* Body size that costs as much traffic as a message without a body, and
   maximum of dispatch_body_weight().  */
#define DISPATCH_MESSAGE_BYTES 8192
#define DISPATCH_BODY_WEIGHT_MAX 6

static const enum dispatch_filter dispatch_chain[]
    = { DISPATCH_READY, DISPATCH_ROUTE,      DISPATCH_DEADLINE,
        DISPATCH_SPLIT, DISPATCH_DOWNSTREAM, DISPATCH_END };

static const enum dispatch_filter dispatch_attempt_chain[]
    = { DISPATCH_QUARANTINE, DISPATCH_STOP, DISPATCH_SERVER, DISPATCH_END };

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
  struct list infos;
  struct list_node *node;

  while ((node = list_pop_head (&state->services)) != NULL)
    {
      struct dispatch_service *service
          = list_entry (node, struct dispatch_service, node);

      lb_free (service->servers);
      free (service);
    }
  list_init (&infos);
  htable_drain (&state->route_infos, &infos);
  while ((node = list_pop_head (&infos)) != NULL)
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
dispatch_get_service (struct dispatch_state *state, const char *name,
                      clk_us now)
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
  struct dispatch_route_info *info;

  request->model = model_ref (state->model);
  request->route
      = route_find (state->model->routes, request->host, request->path);
  if (request->route == NULL)
    return dispatch_refuse (REASON_UNKNOWN_SERVICE, 0);
  request->route_id = htable_hash_text (request->route->name);
  info = dispatch_find_route_info (state, request->route_id);
  request->internal = info != NULL && info->internal;
  request->importance = dispatch_importance (request);
  return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
}

static struct dispatch_result
dispatch_set_deadline (struct dispatch_request *request, clk_us now)
{
  uint64_t timeout_ms = request->caller_timeout_ms;

  if (request->caller_timeout_unknown)
    timeout_ms = DISPATCH_CALLER_TIMEOUT_DEFAULT_MS;
  request->caller_deadline = request->arrived + clk_ms (timeout_ms);
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
dispatch_downstream_queue_wait_us (const struct dispatch_service *service,
                                   clk_us now)
{
  clk_us age = now - service->downstream_queue_wait_measured_at;

  if (service->downstream_queue_wait_measured_at == 0
      || age >= 2 * DISPATCH_QUEUE_WAIT_TTL_US)
    return 0;
  if (age <= DISPATCH_QUEUE_WAIT_TTL_US)
    return service->downstream_queue_wait_us;
  return service->downstream_queue_wait_us
         * (double)(2 * DISPATCH_QUEUE_WAIT_TTL_US - age)
         / DISPATCH_QUEUE_WAIT_TTL_US;
}

struct dispatch_queue_wait
dispatch_max_queue_wait (const struct dispatch_state *state, clk_us now)
{
  struct dispatch_queue_wait max = { 0 };

  list_each (node, &state->services)
    {
      const struct dispatch_service *service
          = list_entry (node, struct dispatch_service, node);
      double wait_us = dispatch_downstream_queue_wait_us (service, now);

      if (service->called_at == 0
          || now > service->called_at + DISPATCH_CALLED_TTL_US
          || wait_us <= max.wait_us)
        continue;
      max.wait_us = wait_us;
      max.age = now - service->downstream_queue_wait_measured_at;
    }
  return max;
}

uint32_t
dispatch_shed_retry_after_ms (struct dispatch_state *state)
{
  return DISPATCH_SHED_RETRY_AFTER_MIN_MS
         + rng_below (&state->rng, DISPATCH_SHED_RETRY_AFTER_JITTER_MS);
}

/* Refuses a request that starts a call chain when calls wait too long
   downstream.  The share of refused requests grows with the wait, and less
   important routes are refused first.  */
static struct dispatch_result
dispatch_check_downstream (struct dispatch_state *state,
                           struct dispatch_request *request, clk_us now)
{
  double queue_wait_us
      = dispatch_downstream_queue_wait_us (request->service, now);
  double threshold_us = DISPATCH_SHED_QUEUE_WAIT_US;
  double share;

  if (request->internal
      || request->service->fan_out < IMPORTANCE_CHAIN_FAN_OUT_MIN)
    return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
  if (request->route->priority == 0)
    threshold_us = DISPATCH_SHED_QUEUE_WAIT_CRITICAL_US;
  if (queue_wait_us <= threshold_us)
    return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
  share = (queue_wait_us - threshold_us) / threshold_us;
  if (rng_uniform (&state->rng) >= share)
    return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
  return dispatch_refuse (REASON_UPSTREAM_SHED,
                          dispatch_shed_retry_after_ms (state));
}

/* Retry-After in milliseconds while the node has no configuration.  */
static uint32_t
dispatch_ready_retry_after_ms (struct dispatch_state *state, clk_us now)
{
  clk_us uptime_ms = (now - state->opts.started_at) / CLK_US_PER_MS;
  uint32_t left_ms = uptime_ms < DISPATCH_READY_AFTER_MS
                         ? DISPATCH_READY_AFTER_MS - (uint32_t)uptime_ms
                         : 0;

  if (left_ms < DISPATCH_RETRY_AFTER_MS)
    left_ms = DISPATCH_RETRY_AFTER_MS;
  return left_ms + rng_below (&state->rng, DISPATCH_READY_JITTER_MS);
}

/* Fraction by which the expected time of a server of another failure domain is
   increased.  */
static double
dispatch_cross_domain_penalty (double timeout_fraction)
{
  double position = (timeout_fraction - DISPATCH_TIMEOUT_USED_LOW)
                    / (DISPATCH_TIMEOUT_USED_HIGH - DISPATCH_TIMEOUT_USED_LOW);

  if (position <= 0)
    return DISPATCH_CROSS_DOMAIN_PENALTY_MAX;
  if (position >= 1)
    return DISPATCH_CROSS_DOMAIN_PENALTY_MIN;
  return DISPATCH_CROSS_DOMAIN_PENALTY_MAX
         + (DISPATCH_CROSS_DOMAIN_PENALTY_MIN
            - DISPATCH_CROSS_DOMAIN_PENALTY_MAX)
               * position;
}

uint32_t
dispatch_target_left_ms (const struct dispatch_request *request, clk_us now)
{
  clk_us target_deadline
      = request->arrived + clk_ms (request->route->target_latency_ms);

  return target_deadline > now
             ? (uint32_t)((target_deadline - now) / CLK_US_PER_MS)
             : 0;
}

/* Traffic of the request relative to that of a message without a body.  */
static double
dispatch_body_weight (const struct dispatch_request *request)
{
  double weight = 1 + (double)request->body_bytes / DISPATCH_MESSAGE_BYTES;

  return weight < DISPATCH_BODY_WEIGHT_MAX ? weight : DISPATCH_BODY_WEIGHT_MAX;
}

void
dispatch_record_end (struct dispatch_request *request, clk_us now)
{
  double time_limit = (double)(request->route_deadline - request->arrived);
  double fraction
      = time_limit > 0 ? (double)(now - request->arrived) / time_limit : 1;

  if (request->service == NULL || request->internal)
    return;
  request->service->timeout_used_fraction
      += (fraction - request->service->timeout_used_fraction)
         * DISPATCH_TIMEOUT_USED_GAIN;
}

/* Whether an attempt may start before the node shuts down.  An internal
   request belongs to a run that would be lost without it.  */
static bool
dispatch_can_end (const struct dispatch_state *state,
                  const struct dispatch_request *request, clk_us now)
{
  double expected_us = request->service->timeout_used_fraction
                       * (double)(request->route_deadline - request->arrived);

  if (state->stop_at == 0 || request->internal)
    return true;
  expected_us *= request->route->idempotent ? DISPATCH_STOP_DURATIONS
                                            : DISPATCH_STOP_DURATIONS_ONCE;
  return (double)now + expected_us < (double)state->stop_at;
}

/* Chooses the server of an attempt.  */
static struct dispatch_result
dispatch_pick_server (struct dispatch_state *state,
                      struct dispatch_request *request, clk_us now)
{
  struct lb_choice choice;

  request->query.importance = MODEL_IMPORTANCE_MAX;
  request->query.cost = dispatch_cost (request);
  request->query.cross_domain_penalty
      = dispatch_cross_domain_penalty (
            request->internal ? request->local_timeout_used_fraction
                              : request->service->timeout_used_fraction)
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

/* Refuses a quarantined request until its quarantine ends.  */
static struct dispatch_result
dispatch_check_quarantine (const struct dispatch_state *state,
                           const struct dispatch_request *request, clk_us now)
{
  const struct suspects *suspects = state->opts.suspects;
  clk_us left;

  if (suspects == NULL
      || suspects_check (suspects, request->fingerprint, now) == REASON_NONE)
    return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
  left = quarantine_time_left (suspects->marks, request->fingerprint, now);
  return dispatch_refuse (REASON_QUARANTINED,
                          (uint32_t)(left / CLK_US_PER_MS));
}

static struct dispatch_result
dispatch_step (struct dispatch_state *state, struct dispatch_request *request,
               enum dispatch_filter filter, clk_us now)
{
  switch (filter)
    {
    case DISPATCH_READY:
      if (state->model == NULL || state->model->routes == NULL)
        return dispatch_refuse (REASON_NOT_READY,
                                dispatch_ready_retry_after_ms (state, now));
      if (state->stopping)
        return dispatch_refuse (REASON_DRAINING, DISPATCH_RETRY_AFTER_MS);
      break;
    case DISPATCH_ROUTE:
      return dispatch_find_route (state, request);
    case DISPATCH_DEADLINE:
      return dispatch_set_deadline (request, now);
    case DISPATCH_SPLIT:
      request->service = dispatch_get_service (
          state, split_pick (state->split, request->route, &state->rng)->name,
          now);
      if (request->internal)
        request->service->called_at = now;
      budget_count_request (&request->service->budget, now);
      break;
    case DISPATCH_DOWNSTREAM:
      return dispatch_check_downstream (state, request, now);
    case DISPATCH_QUARANTINE:
      return dispatch_check_quarantine (state, request, now);
    case DISPATCH_STOP:
      if (!dispatch_can_end (state, request, now))
        return dispatch_refuse (REASON_DRAINING, DISPATCH_RETRY_AFTER_MS);
      break;
    case DISPATCH_SERVER:
      return dispatch_pick_server (state, request, now);
    case DISPATCH_END:
      break;
    }
  return (struct dispatch_result){ .kind = DISPATCH_CONTINUE };
}

static struct dispatch_result
dispatch_run (const enum dispatch_filter *chain, struct dispatch_state *state,
              struct dispatch_request *request, clk_us now)
{
  struct dispatch_result result = { .kind = DISPATCH_CONTINUE };

  for (const enum dispatch_filter *filter = chain;
       *filter != DISPATCH_END && result.kind == DISPATCH_CONTINUE; filter++)
    result = dispatch_step (state, request, *filter, now);
  return result;
}

struct dispatch_result
dispatch_run_chain (struct dispatch_state *state,
                    struct dispatch_request *request, clk_us now)
{
  return dispatch_run (dispatch_chain, state, request, now);
}

struct dispatch_result
dispatch_choose_server (struct dispatch_state *state,
                        struct dispatch_request *request, clk_us now)
{
  return dispatch_run (dispatch_attempt_chain, state, request, now);
}

/* Whether an available server has not been tried yet.  */
static bool
dispatch_has_untried_server (const struct dispatch_request *request)
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

/* Decides what follows an attempt that has not run.  */
static struct dispatch_retry_decision
dispatch_retry_not_run (struct dispatch_request *request,
                        const struct dispatch_failure *failure, clk_us now)
{
  struct dispatch_retry_decision next = { .kind = DISPATCH_RETRY_NOW };

  if (failure->reason == REASON_UPSTREAM_SHED)
    request->attempts_shed++;
  if (request->attempts_not_run >= DISPATCH_ATTEMPTS_NOT_RUN_MAX
      || request->attempts_shed >= DISPATCH_ATTEMPTS_SHED_MAX
      || failure->reason == REASON_DEADLINE_QUEUED
      || failure->reason == REASON_QUARANTINED)
    next.kind = DISPATCH_GIVE_UP;
  else if (!dispatch_has_untried_server (request))
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

/* Takes retries from the retry budget of the service.  Internal requests may
   use all of it, because the work of the requests that make them would be
   lost.
 */
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

bool
dispatch_may_repeat (const struct dispatch_request *request)
{
  return request->route->idempotent
         && request->attempts_maybe_run + 1 < request->route->attempts_max;
}

/* Whether one more lost server quarantines the request.  It may have lost one
   just now.  */
static bool
dispatch_is_suspect (const struct dispatch_state *state,
                     const struct dispatch_request *request, clk_us now)
{
  return state->opts.suspects != NULL
         && quarantine_is_suspect (state->opts.suspects->marks,
                                   request->fingerprint, now);
}

struct dispatch_retry_decision
dispatch_decide_retry (struct dispatch_state *state,
                       struct dispatch_request *request,
                       const struct dispatch_failure *failure, clk_us now)
{
  struct dispatch_retry_decision next = { .kind = DISPATCH_GIVE_UP };
  double cost = 1 + request->service->fan_out;

  if (now + DISPATCH_ATTEMPT_MIN_US >= request->route_deadline
      || (state->stopping && now >= state->stop_at))
    return next;
  if (failure->run == REASON_NOT_RUN)
    {
      request->attempts_not_run++;
      /* The backend server itself has refused: the request has reached it, so
         that the retry is taken from the budget.  */
      if (failure->reason == REASON_SERVER_REFUSED
          && !dispatch_take_budget (state, request, 1, now))
        return next;
      return dispatch_retry_not_run (request, failure, now);
    }
  request->attempts_maybe_run++;
  if (!request->route->idempotent
      || request->attempts_maybe_run >= request->route->attempts_max
      || dispatch_is_suspect (state, request, now))
    return next;
  if (!dispatch_take_budget (state, request, cost, now))
    return next;
  next.kind = DISPATCH_RETRY_NOW;
  return next;
}

void
dispatch_set_route_internal (struct dispatch_state *state, uint64_t route,
                             bool internal)
{
  struct dispatch_route_info *info = dispatch_find_route_info (state, route);

  if (info == NULL)
    {
      info = calloc (1, sizeof *info);
      INVARIANT (info != NULL);
      htable_add (&state->route_infos, &info->node, route);
    }
  info->internal = internal;
}

void
dispatch_record_report (struct dispatch_state *state,
                        const struct dispatch_request *request,
                        const struct dispatch_report *report, clk_us now)
{
  struct dispatch_service *service = request->service;
  bool from_downstream
      = report->downstream_queue_wait_us > report->internal_queue_wait_us;
  double queue_wait_us = from_downstream
                             ? (double)report->downstream_queue_wait_us
                             : (double)report->internal_queue_wait_us;
  clk_us age = from_downstream ? report->downstream_queue_wait_age
                                     + DISPATCH_QUEUE_WAIT_HOP_US
                               : 0;
  clk_us measured_at = age < now ? now - age : 0;
  double previous_us = dispatch_downstream_queue_wait_us (service, now);

  service->downstream_queue_wait_us
      = previous_us + (queue_wait_us - previous_us) * DISPATCH_GAIN;
  /* The age is passed on with the wait: in a cycle of services a node gets its
     own report back, which must not look new.  */
  if (measured_at > service->downstream_queue_wait_measured_at)
    service->downstream_queue_wait_measured_at = measured_at;
  service->fan_out += (report->fan_out - service->fan_out) * DISPATCH_GAIN;

  if (report->answered)
    lb_record_service_time (request->server, dispatch_cost (request),
                            report->service_time);
  lb_record_load (request->server, report->load,
                  report->internal_queue_wait_us, now);
  dispatch_set_route_internal (state, request->route_id, report->internal);
}
