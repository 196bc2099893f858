#include "controllers/pace.h"

#include <math.h>
#include <stdlib.h>

#include "core/err.h"

/* Share of the slots that a new route begins with.  */
#define PAC_FIRST 0.6
#define PAC_LEAST 0.25
/* Below one, a single run is tried this long after the last, divided by the
   limit.  */
#define PAC_TRY_EVERY_US clk_ms (300)
/* Part of the time limit from which on a run was close to it.  */
#define PAC_CLOSE 0.80
#define PAC_CLOSE_URGENT 0.92
/* Part of the runs that is close to the limit or misses it, from which on
   there are too many at once, and up to which there is room for more.  A few
   are long by themselves.  The important routes give way later.  */
#define PAC_MANY 0.20
#define PAC_MANY_URGENT 0.25
#define PAC_FEW 0.12
#define PAC_FEW_URGENT 0.16
/* Wait of a call below that is no jitter of scheduling.  */
#define PAC_WAIT_US clk_ms (6)
#define PAC_GAIN 0.10
/* A single run that is tried tells more.  */
#define PAC_GAIN_TRY 0.40
#define PAC_SHRINK 0.90
#define PAC_SHRINK_URGENT 0.94
/* The limit shrinks at most once in this time: runs that end together tell
   of the same overload.  */
#define PAC_SHRINK_EVERY_US clk_ms (100)
/* The limit grows only while this part of it is used.  */
#define PAC_USED 0.5
/* Factor by which the limit before a shortage is forgotten each time the limit
   shrinks further, so that an overload that lasts becomes the rule.  */
#define PAC_FORGET 0.99
/* Part of the limit before a shortage at which the limit begins to double.  */
#define PAC_RESUME 0.125

struct pac_route
{
  struct hsh_node node; /* pac->routes */
  struct pac *pace;
  bool urgent;
  double limit;
  double before; /* the limit from which it began to shrink */
  double close;  /* smoothed part of the runs that were close */
  uint32_t running;
  clk_us shrunk;
  clk_us tried; /* when the last run began */
};

int
pac_init (struct pac *pace)
{
  pace->opts.most = 1;
  return hsh_init (&pace->routes);
}

void
pac_fini (struct pac *pace)
{
  struct lst all;
  struct lst_node *node;

  lst_init (&all);
  hsh_drain (&pace->routes, &all);
  while ((node = lst_pop_head (&all)) != NULL)
    free (lst_entry (node, struct pac_route, node.node));
  hsh_fini (&pace->routes);
}

void
pac_configure (struct pac *pace, const struct pac_opts *opts)
{
  pace->opts = *opts;
}

static struct pac_route *
pac_find (struct pac *pace, uint64_t id)
{
  struct hsh_node *node = hsh_find (&pace->routes, id);
  struct pac_route *route;

  if (node != NULL)
    return lst_entry (node, struct pac_route, node);
  route = calloc (1, sizeof *route);
  INVARIANT (route != NULL);
  route->pace = pace;
  route->limit = pace->opts.most * PAC_FIRST;
  hsh_add (&pace->routes, &route->node, id);
  return route;
}

static bool
pac_has_room (const struct pac_route *route, clk_us now)
{
  if (route->limit >= 1)
    return route->running + 1 <= route->limit;
  return route->running == 0
         && (double)(now - route->tried) >= PAC_TRY_EVERY_US / route->limit;
}

struct pac_route *
pac_take (struct pac *pace, uint64_t id, bool urgent, clk_us now)
{
  struct pac_route *route = pac_find (pace, id);

  route->urgent = urgent;
  if (!pac_has_room (route, now))
    return NULL;
  route->tried = now;
  route->running++;
  return route;
}

static void
pac_shrink (struct pac_route *route, clk_us now)
{
  if (now < route->shrunk + PAC_SHRINK_EVERY_US)
    return;
  route->shrunk = now;
  route->before = fmax (route->before * PAC_FORGET, route->limit);
  route->limit *= route->urgent ? PAC_SHRINK_URGENT : PAC_SHRINK;
  if (route->limit < PAC_LEAST)
    route->limit = PAC_LEAST;
}

/* After a shortage the limit doubles with each round of runs up to the one
   before it, and grows by one with each round from there.  */
static void
pac_grow (struct pac_route *route, bool pressed)
{
  if (route->running < route->limit * PAC_USED)
    return;
  if (!pressed && route->limit < route->before)
    route->limit = fmax (route->limit + 1, route->before * PAC_RESUME);
  else
    route->limit += 1 / route->limit;
  if (route->limit > route->pace->opts.most)
    route->limit = route->pace->opts.most;
}

/* Notes whether a run was close to the time limit, and moves the limit.  */
static void
pac_learn (struct pac_route *route, bool close, clk_us wait, clk_us now)
{
  bool pressed = wait >= PAC_WAIT_US;
  double many = route->urgent ? PAC_MANY_URGENT : PAC_MANY;
  double few = route->urgent ? PAC_FEW_URGENT : PAC_FEW;

  route->close += ((close ? 1.0 : 0.0) - route->close)
                  * (route->limit < 1 ? PAC_GAIN_TRY : PAC_GAIN);
  /* What made all others fail is over.  */
  if (!close && route->limit < 1)
    {
      route->close = 0;
      route->limit = 1;
    }
  if (close && route->close > many && pressed)
    pac_shrink (route, now);
  else if (!close && (route->close < few || !pressed))
    pac_grow (route, pressed);
}

void
pac_put (struct pac_route *route, enum pac_end end, clk_us took, clk_us limit,
         clk_us wait, clk_us now)
{
  double part = limit > 0 ? (double)took / (double)limit : 1;
  double most = route->urgent ? PAC_CLOSE_URGENT : PAC_CLOSE;

  INVARIANT (route->running > 0);
  switch (end)
    {
    case PAC_ANSWERED:
      pac_learn (route, part >= most, wait, now);
      break;
    case PAC_TIMED_OUT:
      pac_learn (route, true, wait, now);
      break;
    case PAC_OTHER:
      break;
    }
  route->running--;
}

double
pac_limit (const struct pac_route *route)
{
  return route->limit;
}
