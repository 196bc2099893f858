#include "controllers/origin.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Requests that would have come from a service if callers sent the route, from
   which on it counts that none did: one route of callers in 1,000 then has
   none.  */
#define ORG_EXPECTED 7.0
/* Requests after which a route is told by how many services sent it; before,
   what another node has found counts.  */
#define ORG_LEAST 5u

/* A service as the origin of one route.  */
struct org_origin
{
  uint64_t service;
  double expected; /* requests if callers sent the route */
  bool seen;
};

struct org_route
{
  struct hsh_node node; /* org->routes */
  uint32_t count;       /* requests, bounded by ORG_LEAST */
  uint32_t origin_count;
  struct org_origin origins[ORG_SERVICES];
};

int
org_init (struct org *origins)
{
  memset (origins, 0, sizeof *origins);
  return hsh_init (&origins->routes);
}

void
org_fini (struct org *origins)
{
  struct lst all;
  struct lst_node *node;

  lst_init (&all);
  hsh_drain (&origins->routes, &all);
  while ((node = lst_pop_head (&all)) != NULL)
    free (lst_entry (node, struct org_route, node.node));
  hsh_fini (&origins->routes);
}

void
org_begin (struct org *origins)
{
  origins->service_count = 0;
  origins->nodes = 0;
}

void
org_add (struct org *origins, const char *service)
{
  uint64_t digest = hsh_text (service);

  origins->nodes++;
  for (uint32_t i = 0; i < origins->service_count; i++)
    if (origins->services[i].service == digest)
      {
        origins->services[i].nodes++;
        return;
      }
  if (origins->service_count < ORG_SERVICES)
    origins->services[origins->service_count++]
        = (struct org_service){ .service = digest, .nodes = 1 };
}

static struct org_route *
org_find (struct org *origins, uint64_t route)
{
  struct hsh_node *node = hsh_find (&origins->routes, route);
  struct org_route *found;

  if (node != NULL)
    return lst_entry (node, struct org_route, node);
  found = calloc (1, sizeof *found);
  INVARIANT (found != NULL);
  hsh_add (&origins->routes, &found->node, route);
  return found;
}

static struct org_origin *
org_origin (struct org_route *entry, uint64_t service)
{
  for (uint32_t i = 0; i < entry->origin_count; i++)
    if (entry->origins[i].service == service)
      return &entry->origins[i];
  if (entry->origin_count == ORG_SERVICES)
    return NULL;
  entry->origins[entry->origin_count]
      = (struct org_origin){ .service = service };
  return &entry->origins[entry->origin_count++];
}

/* Counts a request from SERVICE.  */
static void
org_count (const struct org *origins, struct org_route *entry,
           uint64_t service)
{
  struct org_origin *origin = org_origin (entry, service);

  if (entry->count < ORG_LEAST)
    entry->count++;
  if (origin != NULL)
    origin->seen = true;
  for (uint32_t i = 0; i < origins->service_count; i++)
    {
      origin = org_origin (entry, origins->services[i].service);
      if (origin != NULL)
        origin->expected
            += (double)origins->services[i].nodes / origins->nodes;
    }
}

enum org_kind
org_note (struct org *origins, uint64_t route, const char *service,
          enum org_kind told)
{
  struct org_route *entry = org_find (origins, route);
  uint32_t seen = 0;
  bool missing = false;

  org_count (origins, entry, hsh_text (service));
  for (uint32_t i = 0; i < entry->origin_count; i++)
    {
      seen += entry->origins[i].seen;
      missing |= !entry->origins[i].seen
                 && entry->origins[i].expected >= ORG_EXPECTED;
    }
  if (missing)
    return ORG_SERVERS;
  if (entry->count < ORG_LEAST)
    return told;
  /* Calls come from one or two services, as a rule.  */
  return seen * 2 <= origins->service_count ? ORG_SERVERS : ORG_CALLERS;
}
