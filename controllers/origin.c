#include "controllers/origin.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Requests after which a service that did not send any counts: with a part
   of a fifth of the nodes, one in 600 routes of callers is taken for one of
   calls until the next request.  */
#define ORG_LEAST 28u
/* Services told apart; with more of them the route is one of callers.  */
#define ORG_SERVICES 16u

struct org_route
{
  struct hsh_node hash_node;
  struct lst_node node; /* org->all */
  uint64_t route;
  uint32_t count;                  /* requests, bounded by ORG_LEAST */
  uint32_t seen;                   /* services that sent one */
  uint64_t services[ORG_SERVICES]; /* digests of their names */
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

/* Counts SERVICE among those that send the route.  */
static void
org_count (struct org_route *entry, uint64_t service)
{
  if (entry->count < ORG_LEAST)
    entry->count++;
  for (uint32_t i = 0; i < entry->seen; i++)
    if (entry->services[i] == service)
      return;
  if (entry->seen < ORG_SERVICES)
    entry->services[entry->seen++] = service;
}

enum org_kind
org_note (struct org *origins, uint64_t route, const char *service,
          uint32_t services)
{
  struct org_route *entry = org_find (origins, route);

  org_count (entry, hsh_text (service));
  if (entry->seen >= services || entry->seen == ORG_SERVICES)
    return ORG_CALLERS;
  return entry->count < ORG_LEAST ? ORG_UNKNOWN : ORG_SERVERS;
}
