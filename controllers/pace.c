#include "controllers/pace.h"

#include <stdlib.h>

#include "core/err.h"

/* Share of the slots that a new route begins with.  */
#define PAC_FIRST 0.6
#define PAC_LEAST 2.0
/* Part of the time limit up to which a run leaves room for one more, and from
   which on there are too many; the important ones give way later.  */
#define PAC_ROOM 0.70
#define PAC_CLOSE 0.85
#define PAC_CLOSE_URGENT 0.97
#define PAC_SHRINK 0.92
#define PAC_SHRINK_URGENT 0.97
/* The limit shrinks at most once in this time: runs that end together tell
   of the same overload.  */
#define PAC_SHRINK_EVERY_US clk_ms (100)
/* The limit grows only while this part of it is used.  */
#define PAC_USED 0.5

struct pac_route
{
  struct hsh_node hash_node;
  struct lst_node node; /* pac->all */
  struct pac *pace;
  uint64_t route;
  bool urgent;
  double limit;
  uint32_t running;
  clk_us shrunk;
};

int
pac_init (struct pac *pace)
{
  pace->opts.most = 1;
  lst_init (&pace->all);
  return hsh_init (&pace->routes);
}

void
pac_fini (struct pac *pace)
{
  struct lst_node *node;

  while ((node = lst_pop_head (&pace->all)) != NULL)
    free (lst_entry (node, struct pac_route, node));
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
  struct pac_route *route;

  lst_each (node, hsh_bucket (&pace->routes, id))
    {
      route = lst_entry (lst_entry (node, struct hsh_node, node),
                         struct pac_route, hash_node);
      if (route->route == id)
        return route;
    }
  route = calloc (1, sizeof *route);
  INVARIANT (route != NULL);
  route->pace = pace;
  route->route = id;
  route->limit = pace->opts.most * PAC_FIRST;
  hsh_add (&pace->routes, &route->hash_node, id);
  lst_push_tail (&pace->all, &route->node);
  return route;
}

struct pac_route *
pac_take (struct pac *pace, uint64_t id, bool urgent, clk_us now)
{
  struct pac_route *route = pac_find (pace, id);

  (void)now;
  route->urgent = urgent;
  if (route->limit < PAC_LEAST)
    route->limit = PAC_LEAST;
  if (route->running + 1 > route->limit)
    return NULL;
  route->running++;
  return route;
}

static void
pac_shrink (struct pac_route *route, clk_us now)
{
  if (now < route->shrunk + PAC_SHRINK_EVERY_US)
    return;
  route->shrunk = now;
  route->limit *= route->urgent ? PAC_SHRINK_URGENT : PAC_SHRINK;
  if (route->limit < PAC_LEAST)
    route->limit = PAC_LEAST;
}

static void
pac_grow (struct pac_route *route)
{
  if (route->running < route->limit * PAC_USED)
    return;
  route->limit += 1 / route->limit;
  if (route->limit > route->pace->opts.most)
    route->limit = route->pace->opts.most;
}

void
pac_put (struct pac_route *route, enum pac_end end, clk_us took, clk_us limit,
         clk_us now)
{
  double part = limit > 0 ? (double)took / (double)limit : 1;
  double close = route->urgent ? PAC_CLOSE_URGENT : PAC_CLOSE;

  INVARIANT (route->running > 0);
  switch (end)
    {
    case PAC_ANSWERED:
      if (part >= close)
        pac_shrink (route, now);
      else if (part <= PAC_ROOM)
        pac_grow (route);
      break;
    case PAC_TIMED_OUT:
      pac_shrink (route, now);
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
