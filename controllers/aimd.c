#include "controllers/aimd.h"

#include <math.h>
#include <stdlib.h>

#include "core/err.h"

/* Share of the slots that a new route begins with.  */
#define AIMD_INITIAL_FRACTION 0.6
#define AIMD_LIMIT_MIN 0.25
/* Below one, a single run is tried this long after the last, divided by the
   limit.  */
#define AIMD_PROBE_INTERVAL_US clk_ms (300)
/* Part of the time limit from which on a run was close to it.  */
#define AIMD_SLOW_FRACTION 0.80
#define AIMD_SLOW_FRACTION_CRITICAL 0.92
/* Part of the runs that is close to the limit or misses it, from which on
   there are too many at once, and up to which there is room for more.  A few
   are long by themselves.  The important routes give way later.  */
#define AIMD_SLOW_SHARE_HIGH 0.20
#define AIMD_SLOW_SHARE_HIGH_CRITICAL 0.25
#define AIMD_SLOW_SHARE_LOW 0.12
#define AIMD_SLOW_SHARE_LOW_CRITICAL 0.16
/* Wait of a call below that is no jitter of scheduling.  */
#define AIMD_DOWNSTREAM_WAIT_MIN_US clk_ms (6)
#define AIMD_GAIN 0.10
/* A single run that is tried tells more.  */
#define AIMD_GAIN_PROBE 0.40
#define AIMD_DECREASE_FACTOR 0.90
#define AIMD_DECREASE_FACTOR_CRITICAL 0.94
/* The limit shrinks at most once in this time: runs that end together tell
   of the same overload.  */
#define AIMD_DECREASE_INTERVAL_US clk_ms (100)
/* The limit grows only while this part of it is used.  */
#define AIMD_UTILIZATION_MIN 0.5
/* Factor by which the limit before a shortage is forgotten each time the limit
   shrinks further, so that an overload that lasts becomes the rule.  */
#define AIMD_THRESHOLD_DECAY 0.99
/* Part of the limit before a shortage at which the limit begins to double.  */
#define AIMD_RESTART_FRACTION 0.125

struct aimd_route
{
  struct htable_node node; /* aimd->routes */
  struct aimd *aimd;
  bool critical;
  double limit;
  double slow_start_threshold; /* the limit from which it began to shrink */
  double slow_share;           /* smoothed part of the runs that were close */
  uint32_t running;
  clk_us decreased_at;
  clk_us started_at; /* when the last run began */
};

int
aimd_init (struct aimd *pace)
{
  pace->opts.limit_max = 1;
  return htable_init (&pace->routes);
}

void
aimd_fini (struct aimd *pace)
{
  struct list all;
  struct list_node *node;

  list_init (&all);
  htable_drain (&pace->routes, &all);
  while ((node = list_pop_head (&all)) != NULL)
    free (list_entry (node, struct aimd_route, node.node));
  htable_fini (&pace->routes);
}

void
aimd_configure (struct aimd *pace, const struct aimd_opts *opts)
{
  pace->opts = *opts;
}

static struct aimd_route *
aimd_get_route (struct aimd *pace, uint64_t id)
{
  struct htable_node *node = htable_find (&pace->routes, id);
  struct aimd_route *route;

  if (node != NULL)
    return list_entry (node, struct aimd_route, node);
  route = calloc (1, sizeof *route);
  INVARIANT (route != NULL);
  route->aimd = pace;
  route->limit = pace->opts.limit_max * AIMD_INITIAL_FRACTION;
  htable_add (&pace->routes, &route->node, id);
  return route;
}

static bool
aimd_has_room (const struct aimd_route *route, clk_us now)
{
  if (route->limit >= 1)
    return route->running + 1 <= route->limit;
  return route->running == 0
         && (double)(now - route->started_at)
                >= AIMD_PROBE_INTERVAL_US / route->limit;
}

struct aimd_route *
aimd_acquire (struct aimd *pace, uint64_t id, bool urgent, clk_us now)
{
  struct aimd_route *route = aimd_get_route (pace, id);

  route->critical = urgent;
  if (!aimd_has_room (route, now))
    return NULL;
  route->started_at = now;
  route->running++;
  return route;
}

static void
aimd_decrease (struct aimd_route *route, clk_us now)
{
  if (now < route->decreased_at + AIMD_DECREASE_INTERVAL_US)
    return;
  route->decreased_at = now;
  route->slow_start_threshold = fmax (
      route->slow_start_threshold * AIMD_THRESHOLD_DECAY, route->limit);
  route->limit *= route->critical ? AIMD_DECREASE_FACTOR_CRITICAL
                                  : AIMD_DECREASE_FACTOR;
  if (route->limit < AIMD_LIMIT_MIN)
    route->limit = AIMD_LIMIT_MIN;
}

/* After a shortage the limit doubles with each round of runs up to the one
   before it, and grows by one with each round from there.  */
static void
aimd_increase (struct aimd_route *route, bool pressed)
{
  if (route->running < route->limit * AIMD_UTILIZATION_MIN)
    return;
  if (!pressed && route->limit < route->slow_start_threshold)
    route->limit = fmax (route->limit + 1,
                         route->slow_start_threshold * AIMD_RESTART_FRACTION);
  else
    route->limit += 1 / route->limit;
  if (route->limit > route->aimd->opts.limit_max)
    route->limit = route->aimd->opts.limit_max;
}

/* Notes whether a run was close to the time limit, and moves the limit.  */
static void
aimd_update (struct aimd_route *route, bool close, clk_us wait, clk_us now)
{
  bool pressed = wait >= AIMD_DOWNSTREAM_WAIT_MIN_US;
  double many
      = route->critical ? AIMD_SLOW_SHARE_HIGH_CRITICAL : AIMD_SLOW_SHARE_HIGH;
  double few
      = route->critical ? AIMD_SLOW_SHARE_LOW_CRITICAL : AIMD_SLOW_SHARE_LOW;

  route->slow_share += ((close ? 1.0 : 0.0) - route->slow_share)
                       * (route->limit < 1 ? AIMD_GAIN_PROBE : AIMD_GAIN);
  /* What made all others fail is over.  */
  if (!close && route->limit < 1)
    {
      route->slow_share = 0;
      route->limit = 1;
    }
  if (close && route->slow_share > many && pressed)
    aimd_decrease (route, now);
  else if (!close && (route->slow_share < few || !pressed))
    aimd_increase (route, pressed);
}

void
aimd_release (struct aimd_route *route, enum aimd_outcome end, clk_us took,
              clk_us limit, clk_us wait, clk_us now)
{
  double part = limit > 0 ? (double)took / (double)limit : 1;
  double most
      = route->critical ? AIMD_SLOW_FRACTION_CRITICAL : AIMD_SLOW_FRACTION;

  INVARIANT (route->running > 0);
  switch (end)
    {
    case AIMD_ANSWERED:
      aimd_update (route, part >= most, wait, now);
      break;
    case AIMD_FAILED:
      aimd_update (route, true, wait, now);
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
