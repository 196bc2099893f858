#include "controllers/origin.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Requests from one service after which the route counts as one of calls.  */
#define ORG_LEAST 12u

struct org_route
{
  struct hsh_node hash_node;
  struct lst_node node; /* org->all */
  uint64_t route;
  char service[RTE_NAME_BYTES];
  uint32_t count; /* requests from @service, bounded by ORG_LEAST */
  bool mixed;     /* there was another service */
};

int
org_init (struct org *origins)
{
  lst_init (&origins->all);
  return hsh_init (&origins->routes);
}

void
org_reset (struct org *origins)
{
  struct lst_node *node;

  while ((node = lst_pop_head (&origins->all)) != NULL)
    {
      struct org_route *entry = lst_entry (node, struct org_route, node);

      hsh_remove (&origins->routes, &entry->hash_node);
      free (entry);
    }
}

void
org_fini (struct org *origins)
{
  org_reset (origins);
  hsh_fini (&origins->routes);
}

static struct org_route *
org_find (struct org *origins, uint64_t route)
{
  struct org_route *found;

  lst_each (node, hsh_bucket (&origins->routes, route))
    {
      found = lst_entry (lst_entry (node, struct hsh_node, node),
                         struct org_route, hash_node);
      if (found->route == route)
        return found;
    }
  found = calloc (1, sizeof *found);
  INVARIANT (found != NULL);
  found->route = route;
  hsh_add (&origins->routes, &found->hash_node, route);
  lst_push_tail (&origins->all, &found->node);
  return found;
}

bool
org_note (struct org *origins, uint64_t route, const char *service)
{
  struct org_route *entry = org_find (origins, route);

  if (entry->count == 0)
    memcpy (entry->service, service,
            strnlen (service, sizeof entry->service - 1));
  if (strcmp (entry->service, service) != 0)
    entry->mixed = true;
  if (entry->count < ORG_LEAST)
    entry->count++;
  return !entry->mixed && entry->count >= ORG_LEAST;
}
