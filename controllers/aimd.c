#include "controllers/aimd.h"

#include <math.h>
#include <stdlib.h>

#include "core/err.h"

/* Initial limit of a route as a fraction of the slots.  */
#define AIMD_INITIAL_FRACTION 0.6
/* Minimum limit; a probe is then admitted every 1.2 s.  */
#define AIMD_LIMIT_MIN 0.25
/* While the limit is below one, a probe is admitted at this interval divided
   by the limit.  */
#define AIMD_PROBE_INTERVAL_US clk_ms (300)
/* A request is slow when its latency is at least this fraction of its time
   limit.  */
#define AIMD_SLOW_FRACTION 0.80
#define AIMD_SLOW_FRACTION_CRITICAL 0.92
/* Shares of slow requests.  Above the high one the limit decreases, below the
   low one it may increase.  Neither is zero, because a few requests are slow
   without any overload.  Critical routes are limited later than others.  */
#define AIMD_SLOW_SHARE_HIGH 0.20
#define AIMD_SLOW_SHARE_HIGH_CRITICAL 0.25
#define AIMD_SLOW_SHARE_LOW 0.12
#define AIMD_SLOW_SHARE_LOW_CRITICAL 0.16
/* A shorter queue wait downstream is scheduling jitter.  */
#define AIMD_DOWNSTREAM_QUEUE_WAIT_MIN_US clk_ms (6)
/* Weight of a request in the share of slow requests.  */
#define AIMD_GAIN 0.10
/* Weight of a probe: a single request carries more information when few
   run.  */
#define AIMD_GAIN_PROBE 0.40
#define AIMD_DECREASE_FACTOR 0.90
#define AIMD_DECREASE_FACTOR_CRITICAL 0.94
/* The limit decreases at most once in this time, because requests that end
   together are signs of the same overload.  */
#define AIMD_DECREASE_INTERVAL_US clk_ms (100)
/* The limit increases only while this fraction of it is in use.  */
#define AIMD_UTILIZATION_MIN 0.5
/* Factor applied to the slow start threshold at each decrease, so that the
   threshold follows the limit during a long overload.  */
#define AIMD_THRESHOLD_DECAY 0.99
/* Threshold as a fraction of the limit that proved too high while it doubled.
 */
#define AIMD_OVERSHOOT_FACTOR 0.5
/* Requests in a row that were not slow after which the limit doubles although
   calls queue downstream.  */
#define AIMD_FAST_STREAK_MIN 10u
/* Fraction of the slow start threshold from which on the limit doubles.  */
#define AIMD_RESTART_FRACTION 0.125

struct aimd_route
{
  struct htable_node node; /* aimd->routes */
  struct aimd *aimd;
  bool critical;
  double limit;
  double slow_start_threshold; /* limit before the decrease; 0 for none */
  double slow_share;    /* moving average of the share of slow requests */
  uint32_t fast_streak; /* requests since the last slow one */
  bool increased;       /* since the last decrease */
  uint32_t running;
  clk_us decreased_at;
  clk_us admitted_at; /* when the last request was admitted */
};

int
aimd_init (struct aimd *aimd)
{
  aimd->opts.limit_max = 1;
  return htable_init (&aimd->routes);
}

void
aimd_fini (struct aimd *aimd)
{
  struct list all;
  struct list_node *node;

  list_init (&all);
  htable_drain (&aimd->routes, &all);
  while ((node = list_pop_head (&all)) != NULL)
    free (list_entry (node, struct aimd_route, node.node));
  htable_fini (&aimd->routes);
}

void
aimd_configure (struct aimd *aimd, const struct aimd_opts *opts)
{
  aimd->opts = *opts;
}

static struct aimd_route *
aimd_get_route (struct aimd *aimd, uint64_t id)
{
  struct htable_node *node = htable_find (&aimd->routes, id);
  struct aimd_route *route;

  if (node != NULL)
    return list_entry (node, struct aimd_route, node);
  route = calloc (1, sizeof *route);
  INVARIANT (route != NULL);
  route->aimd = aimd;
  route->limit = aimd->opts.limit_max * AIMD_INITIAL_FRACTION;
  route->increased = true;
  htable_add (&aimd->routes, &route->node, id);
  return route;
}

/* Whether the limit admits one more request; below one, only a probe that is
   due.  */
static bool
aimd_may_admit (const struct aimd_route *route, clk_us now)
{
  if (route->limit >= 1)
    return route->running + 1 <= route->limit;
  return route->running == 0
         && (double)(now - route->admitted_at)
                >= AIMD_PROBE_INTERVAL_US / route->limit;
}

struct aimd_route *
aimd_acquire (struct aimd *aimd, uint64_t id, bool critical, clk_us now)
{
  struct aimd_route *route = aimd_get_route (aimd, id);

  route->critical = critical;
  if (!aimd_may_admit (route, now))
    return NULL;
  route->admitted_at = now;
  route->running++;
  return route;
}

/* Lowers the limit, at most once in AIMD_DECREASE_INTERVAL_US.  */
static void
aimd_decrease (struct aimd_route *route, clk_us now)
{
  if (now < route->decreased_at + AIMD_DECREASE_INTERVAL_US)
    return;
  route->decreased_at = now;
  if (!route->increased)
    route->slow_start_threshold *= AIMD_THRESHOLD_DECAY;
  else if (route->limit < route->slow_start_threshold)
    route->slow_start_threshold = route->limit * AIMD_OVERSHOOT_FACTOR;
  else
    route->slow_start_threshold = route->limit;
  route->increased = false;
  route->limit *= route->critical ? AIMD_DECREASE_FACTOR_CRITICAL
                                  : AIMD_DECREASE_FACTOR;
  if (route->limit < AIMD_LIMIT_MIN)
    route->limit = AIMD_LIMIT_MIN;
}

/* Doubles the limit in each round of requests up to the slow start threshold,
   and adds one in each round from there, or when calls queue downstream and a
   request was slow lately.  Has no effect while the limit is not in use.  */
static void
aimd_increase (struct aimd_route *route, bool downstream_queued)
{
  if (route->running < route->limit * AIMD_UTILIZATION_MIN)
    return;
  if (route->limit < route->slow_start_threshold
      && (!downstream_queued || route->fast_streak >= AIMD_FAST_STREAK_MIN))
    route->limit = fmax (route->limit + 1,
                         route->slow_start_threshold * AIMD_RESTART_FRACTION);
  else
    route->limit += 1 / route->limit;
  route->increased = true;
  if (route->limit > route->aimd->opts.limit_max)
    route->limit = route->aimd->opts.limit_max;
}

/* Adds a sample to the share of slow requests and adjusts the limit.  */
static void
aimd_add_sample (struct aimd_route *route, bool slow,
                 clk_us downstream_queue_wait, clk_us now)
{
  bool downstream_queued
      = downstream_queue_wait >= AIMD_DOWNSTREAM_QUEUE_WAIT_MIN_US;
  double high
      = route->critical ? AIMD_SLOW_SHARE_HIGH_CRITICAL : AIMD_SLOW_SHARE_HIGH;
  double low
      = route->critical ? AIMD_SLOW_SHARE_LOW_CRITICAL : AIMD_SLOW_SHARE_LOW;

  route->fast_streak = slow ? 0 : route->fast_streak + 1;
  route->slow_share += ((slow ? 1.0 : 0.0) - route->slow_share)
                       * (route->limit < 1 ? AIMD_GAIN_PROBE : AIMD_GAIN);
  /* A probe in time shows that the overload has ended.  */
  if (!slow && route->limit < 1)
    {
      route->slow_share = 0;
      route->limit = 1;
    }
  if (slow && route->slow_share > high && downstream_queued)
    aimd_decrease (route, now);
  else if (!slow && (route->slow_share < low || !downstream_queued))
    aimd_increase (route, downstream_queued);
}

void
aimd_release (struct aimd_route *route, enum aimd_outcome outcome,
              clk_us latency, clk_us time_limit, clk_us downstream_queue_wait,
              clk_us now)
{
  double fraction = time_limit > 0 ? (double)latency / (double)time_limit : 1;
  double slow_fraction
      = route->critical ? AIMD_SLOW_FRACTION_CRITICAL : AIMD_SLOW_FRACTION;

  INVARIANT (route->running > 0);
  switch (outcome)
    {
    case AIMD_ANSWERED:
      aimd_add_sample (route, fraction >= slow_fraction, downstream_queue_wait,
                       now);
      break;
    case AIMD_FAILED:
      aimd_add_sample (route, true, downstream_queue_wait, now);
      break;
    case AIMD_IGNORED:
      break;
    }
  route->running--;
}

double
aimd_limit (const struct aimd_route *route)
{
  return route->limit;
}
