#include "controllers/split.h"

#include <stdlib.h>

#include "core/err.h"

/* Position of one route.  */
struct spl_route
{
  struct hsh_node node; /* spl->routes */
  const struct rte_route *route;
  struct lst credits; /* struct spl_credit, in the order of the targets */
};

struct spl_credit
{
  struct lst_node node;
  int64_t value;
};

struct spl
{
  struct hsh routes; /* struct spl_route */
};

struct spl *
spl_new (void)
{
  struct spl *split = calloc (1, sizeof *split);

  if (split == NULL)
    return NULL;
  if (hsh_init (&split->routes) == SR_OK)
    return split;
  free (split);
  return NULL;
}

static void
spl_free_route (struct spl_route *position)
{
  struct lst_node *node;

  while ((node = lst_pop_head (&position->credits)) != NULL)
    free (lst_entry (node, struct spl_credit, node));
  free (position);
}

void
spl_reset (struct spl *split)
{
  struct lst all;
  struct lst_node *node;

  lst_init (&all);
  hsh_drain (&split->routes, &all);
  while ((node = lst_pop_head (&all)) != NULL)
    spl_free_route (lst_entry (node, struct spl_route, node.node));
}

void
spl_free (struct spl *split)
{
  if (split == NULL)
    return;
  spl_reset (split);
  hsh_fini (&split->routes);
  free (split);
}

static struct spl_route *
spl_find (struct spl *split, const struct rte_route *route, uint64_t hash)
{
  lst_each (node, hsh_bucket (&split->routes, hash))
    {
      struct spl_route *position
          = lst_entry (node, struct spl_route, node.node);

      if (position->route == route)
        return position;
    }
  return NULL;
}

static struct spl_route *
spl_add (struct spl *split, struct rte_route *route, uint64_t hash,
         struct rng *rng)
{
  struct spl_route *position = calloc (1, sizeof *position);

  INVARIANT (position != NULL);
  position->route = route;
  lst_init (&position->credits);
  lst_each (node, &route->targets)
    {
      struct spl_credit *credit = calloc (1, sizeof *credit);

      INVARIANT (credit != NULL);
      credit->value = (int64_t)rng_below (rng, route->weight_sum);
      lst_push_tail (&position->credits, &credit->node);
    }
  hsh_add (&split->routes, &position->node, hash);
  return position;
}

struct rte_service *
spl_pick (struct spl *split, struct rte_route *route, struct rng *rng)
{
  uintptr_t key = (uintptr_t)route;
  uint64_t hash = hsh_bytes (&key, sizeof key);
  struct rte_target *best = NULL;
  struct spl_credit *best_credit = NULL;
  struct spl_route *position;
  struct lst_node *target;

  if (lst_first (&route->targets) == lst_last (&route->targets))
    return lst_entry (lst_first (&route->targets), struct rte_target, node)
        ->service;
  position = spl_find (split, route, hash);
  if (position == NULL)
    position = spl_add (split, route, hash, rng);
  target = lst_first (&route->targets);
  lst_each (node, &position->credits)
    {
      struct spl_credit *credit = lst_entry (node, struct spl_credit, node);

      credit->value += lst_entry (target, struct rte_target, node)->weight;
      if (lst_entry (target, struct rte_target, node)->weight > 0
          && (best_credit == NULL || credit->value > best_credit->value))
        {
          best = lst_entry (target, struct rte_target, node);
          best_credit = credit;
        }
      target = target->next;
    }
  INVARIANT (best != NULL);
  best_credit->value -= route->weight_sum;
  return best->service;
}
