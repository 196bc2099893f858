#include "controllers/split.h"

#include <stdlib.h>

#include "core/err.h"

/* Position in the round robin sequence of one route.  */
struct split_route
{
  struct htable_node node; /* split->routes */
  const struct route_entry *route;
  struct list credits; /* struct split_credit, in the order of the targets */
};

struct split_credit
{
  struct list_node node;
  int64_t value; /* current weight; the target with the highest is next */
};

struct split
{
  struct htable routes; /* struct split_route */
};

struct split *
split_new (void)
{
  struct split *split = calloc (1, sizeof *split);

  if (split == NULL)
    return NULL;
  if (htable_init (&split->routes) == SR_OK)
    return split;
  free (split);
  return NULL;
}

static void
split_free_route (struct split_route *position)
{
  struct list_node *node;

  while ((node = list_pop_head (&position->credits)) != NULL)
    free (list_entry (node, struct split_credit, node));
  free (position);
}

void
split_reset (struct split *split)
{
  struct list all;
  struct list_node *node;

  list_init (&all);
  htable_drain (&split->routes, &all);
  while ((node = list_pop_head (&all)) != NULL)
    split_free_route (list_entry (node, struct split_route, node.node));
}

void
split_free (struct split *split)
{
  if (split == NULL)
    return;
  split_reset (split);
  htable_fini (&split->routes);
  free (split);
}

static struct split_route *
split_find (struct split *split, const struct route_entry *route,
            uint64_t hash)
{
  list_each (node, htable_bucket (&split->routes, hash))
    {
      struct split_route *position
          = list_entry (node, struct split_route, node.node);

      if (position->route == route)
        return position;
    }
  return NULL;
}

static struct split_route *
split_add (struct split *split, struct route_entry *route, uint64_t hash,
           struct rng *rng)
{
  struct split_route *position = calloc (1, sizeof *position);

  INVARIANT (position != NULL);
  position->route = route;
  list_init (&position->credits);
  list_each (node, &route->targets)
    {
      struct split_credit *credit = calloc (1, sizeof *credit);

      INVARIANT (credit != NULL);
      credit->value = (int64_t)rng_below (rng, route->weight_sum);
      list_push_tail (&position->credits, &credit->node);
    }
  htable_add (&split->routes, &position->node, hash);
  return position;
}

struct route_service *
split_pick (struct split *split, struct route_entry *route, struct rng *rng)
{
  uintptr_t key = (uintptr_t)route;
  uint64_t hash = htable_hash_bytes (&key, sizeof key);
  struct route_target *best = NULL;
  struct split_credit *best_credit = NULL;
  struct split_route *position;
  struct list_node *target;

  if (list_first (&route->targets) == list_last (&route->targets))
    return list_entry (list_first (&route->targets), struct route_target, node)
        ->service;
  position = split_find (split, route, hash);
  if (position == NULL)
    position = split_add (split, route, hash, rng);
  target = list_first (&route->targets);
  list_each (node, &position->credits)
    {
      struct split_credit *credit
          = list_entry (node, struct split_credit, node);

      credit->value += list_entry (target, struct route_target, node)->weight;
      if (list_entry (target, struct route_target, node)->weight > 0
          && (best_credit == NULL || credit->value > best_credit->value))
        {
          best = list_entry (target, struct route_target, node);
          best_credit = credit;
        }
      target = target->next;
    }
  INVARIANT (best != NULL);
  best_credit->value -= route->weight_sum;
  return best->service;
}
