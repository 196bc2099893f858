#include "controllers/aimd.h"

#include <math.h>
#include <stdlib.h>

#include "core/err.h"

/* Share of the slots that a new route begins with.  */
#define AIMD_FIRST 0.6
#define AIMD_LEAST 0.25
/* Below one, a single run is tried this long after the last, divided by the
   limit.  */
#define AIMD_TRY_EVERY_US clk_ms (300)
/* Part of the time limit from which on a run was close to it.  */
#define AIMD_CLOSE 0.80
#define AIMD_CLOSE_URGENT 0.92
/* Part of the runs that is close to the limit or misses it, from which on
   there are too many at once, and up to which there is room for more.  A few
   are long by themselves.  The important routes give way later.  */
#define AIMD_MANY 0.20
#define AIMD_MANY_URGENT 0.25
#define AIMD_FEW 0.12
#define AIMD_FEW_URGENT 0.16
/* Wait of a call below that is no jitter of scheduling.  */
#define AIMD_WAIT_US clk_ms (6)
#define AIMD_GAIN 0.10
/* A single run that is tried tells more.  */
#define AIMD_GAIN_TRY 0.40
#define AIMD_SHRINK 0.90
#define AIMD_SHRINK_URGENT 0.94
/* The limit shrinks at most once in this time: runs that end together tell
   of the same overload.  */
#define AIMD_SHRINK_EVERY_US clk_ms (100)
/* The limit grows only while this part of it is used.  */
#define AIMD_USED 0.5
/* Factor by which the limit before a shortage is forgotten each time the limit
   shrinks further, so that an overload that lasts becomes the rule.  */
#define AIMD_FORGET 0.99
/* Part of the limit before a shortage at which the limit begins to double.  */
#define AIMD_RESUME 0.125

struct aimd_route
{
  struct htable_node node; /* aimd->routes */
  struct aimd *pace;
  bool urgent;
  double limit;
  double before; /* the limit from which it began to shrink */
  double close;  /* smoothed part of the runs that were close */
  uint32_t running;
  clk_us shrunk;
  clk_us tried; /* when the last run began */
};

int
aimd_init (struct aimd *pace)
{
  pace->opts.most = 1;
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
aimd_find (struct aimd *pace, uint64_t id)
{
  struct htable_node *node = htable_find (&pace->routes, id);
  struct aimd_route *route;

  if (node != NULL)
    return list_entry (node, struct aimd_route, node);
  route = calloc (1, sizeof *route);
  INVARIANT (route != NULL);
  route->pace = pace;
  route->limit = pace->opts.most * AIMD_FIRST;
  htable_add (&pace->routes, &route->node, id);
  return route;
}

static bool
aimd_has_room (const struct aimd_route *route, clk_us now)
{
  if (route->limit >= 1)
    return route->running + 1 <= route->limit;
  return route->running == 0
         && (double)(now - route->tried) >= AIMD_TRY_EVERY_US / route->limit;
}

struct aimd_route *
aimd_take (struct aimd *pace, uint64_t id, bool urgent, clk_us now)
{
  struct aimd_route *route = aimd_find (pace, id);

  route->urgent = urgent;
  if (!aimd_has_room (route, now))
    return NULL;
  route->tried = now;
  route->running++;
  return route;
}

static void
aimd_shrink (struct aimd_route *route, clk_us now)
{
  if (now < route->shrunk + AIMD_SHRINK_EVERY_US)
    return;
  route->shrunk = now;
  route->before = fmax (route->before * AIMD_FORGET, route->limit);
  route->limit *= route->urgent ? AIMD_SHRINK_URGENT : AIMD_SHRINK;
  if (route->limit < AIMD_LEAST)
    route->limit = AIMD_LEAST;
}

/* After a shortage the limit doubles with each round of runs up to the one
   before it, and grows by one with each round from there.  */
static void
aimd_grow (struct aimd_route *route, bool pressed)
{
  if (route->running < route->limit * AIMD_USED)
    return;
  if (!pressed && route->limit < route->before)
    route->limit = fmax (route->limit + 1, route->before * AIMD_RESUME);
  else
    route->limit += 1 / route->limit;
  if (route->limit > route->pace->opts.most)
    route->limit = route->pace->opts.most;
}

/* Notes whether a run was close to the time limit, and moves the limit.  */
static void
aimd_learn (struct aimd_route *route, bool close, clk_us wait, clk_us now)
{
  bool pressed = wait >= AIMD_WAIT_US;
  double many = route->urgent ? AIMD_MANY_URGENT : AIMD_MANY;
  double few = route->urgent ? AIMD_FEW_URGENT : AIMD_FEW;

  route->close += ((close ? 1.0 : 0.0) - route->close)
                  * (route->limit < 1 ? AIMD_GAIN_TRY : AIMD_GAIN);
  /* What made all others fail is over.  */
  if (!close && route->limit < 1)
    {
      route->close = 0;
      route->limit = 1;
    }
  if (close && route->close > many && pressed)
    aimd_shrink (route, now);
  else if (!close && (route->close < few || !pressed))
    aimd_grow (route, pressed);
}

void
aimd_put (struct aimd_route *route, enum aimd_end end, clk_us took,
          clk_us limit, clk_us wait, clk_us now)
{
  double part = limit > 0 ? (double)took / (double)limit : 1;
  double most = route->urgent ? AIMD_CLOSE_URGENT : AIMD_CLOSE;

  INVARIANT (route->running > 0);
  switch (end)
    {
    case AIMD_ANSWERED:
      aimd_learn (route, part >= most, wait, now);
      break;
    case AIMD_TIMED_OUT:
      aimd_learn (route, true, wait, now);
      break;
    case AIMD_OTHER:
      break;
    }
  route->running--;
}

double
aimd_limit (const struct aimd_route *route)
{
  return route->limit;
}
