#include "controllers/origin.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Requests that would have come from a service if callers sent the route, from
   which on it counts that none did: one route of callers in 1,000 then has
   none.  */
#define ORIGIN_EXPECTED_MIN 7.0
/* Requests after which a route is told by how many services sent it; before,
   what another node has found counts.  */
#define ORIGIN_REQUESTS_MIN 5u

/* A service as the origin of one route.  */
struct origin_source
{
  uint64_t service;
  double expected; /* requests if callers sent the route */
  bool seen;
};

struct origin_route
{
  struct htable_node node; /* origins->routes */
  uint32_t count;          /* requests, bounded by ORIGIN_REQUESTS_MIN */
  uint32_t source_count;
  struct origin_source sources[ORIGIN_SERVICES_MAX];
};

int
origin_init (struct origin *origins)
{
  memset (origins, 0, sizeof *origins);
  return htable_init (&origins->routes);
}

void
origin_fini (struct origin *origins)
{
  struct list all;
  struct list_node *node;

  list_init (&all);
  htable_drain (&origins->routes, &all);
  while ((node = list_pop_head (&all)) != NULL)
    free (list_entry (node, struct origin_route, node.node));
  htable_fini (&origins->routes);
}

void
origin_reset_nodes (struct origin *origins)
{
  origins->service_count = 0;
  origins->node_count = 0;
}

void
origin_add_node (struct origin *origins, const char *service)
{
  uint64_t digest = htable_hash_text (service);

  origins->node_count++;
  for (uint32_t i = 0; i < origins->service_count; i++)
    if (origins->services[i].service == digest)
      {
        origins->services[i].node_count++;
        return;
      }
  if (origins->service_count < ORIGIN_SERVICES_MAX)
    origins->services[origins->service_count++]
        = (struct origin_service){ .service = digest, .node_count = 1 };
}

static struct origin_route *
origin_get_route (struct origin *origins, uint64_t route)
{
  struct htable_node *node = htable_find (&origins->routes, route);
  struct origin_route *found;

  if (node != NULL)
    return list_entry (node, struct origin_route, node);
  found = calloc (1, sizeof *found);
  INVARIANT (found != NULL);
  htable_add (&origins->routes, &found->node, route);
  return found;
}

static struct origin_source *
origin_source (struct origin_route *entry, uint64_t service)
{
  for (uint32_t i = 0; i < entry->source_count; i++)
    if (entry->sources[i].service == service)
      return &entry->sources[i];
  if (entry->source_count == ORIGIN_SERVICES_MAX)
    return NULL;
  entry->sources[entry->source_count]
      = (struct origin_source){ .service = service };
  return &entry->sources[entry->source_count++];
}

/* Counts a request from SERVICE.  */
static void
origin_count_request (const struct origin *origins, struct origin_route *entry,
                      uint64_t service)
{
  struct origin_source *origin = origin_source (entry, service);

  if (entry->count < ORIGIN_REQUESTS_MIN)
    entry->count++;
  if (origin != NULL)
    origin->seen = true;
  for (uint32_t i = 0; i < origins->service_count; i++)
    {
      origin = origin_source (entry, origins->services[i].service);
      if (origin != NULL)
        origin->expected
            += (double)origins->services[i].node_count / origins->node_count;
    }
}

enum origin_kind
origin_record_request (struct origin *origins, uint64_t route,
                       const char *service, enum origin_kind told)
{
  struct origin_route *entry = origin_get_route (origins, route);
  uint32_t seen = 0;
  bool missing = false;

  origin_count_request (origins, entry, htable_hash_text (service));
  for (uint32_t i = 0; i < entry->source_count; i++)
    {
      seen += entry->sources[i].seen;
      missing |= !entry->sources[i].seen
                 && entry->sources[i].expected >= ORIGIN_EXPECTED_MIN;
    }
  if (missing)
    return ORIGIN_SERVERS;
  if (entry->count < ORIGIN_REQUESTS_MIN)
    return told;
  /* Calls come from one or two services, as a rule.  */
  return seen * 2 <= origins->service_count ? ORIGIN_SERVERS : ORIGIN_CALLERS;
}
