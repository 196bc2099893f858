#include "controllers/origin.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* A service that should have sent this many requests for an external route,
   and has sent none, shows that the route is internal.  For an external route
   the probability of this is 1 in 1,000.  */
#define ORIGIN_EXPECTED_MIN 7.0
/* Services in the own failure domain from which on only these are expected. */
#define ORIGIN_NEAR_SERVICES_MIN 3u
/* Requests after which a route is classified by the number of services that
   request it; before that the report of another node is used.  */
#define ORIGIN_REQUESTS_MIN 10u

/* A service that may request a route.  */
struct origin_source
{
  uint64_t service; /* digest of its name */
  double expected;  /* expected requests if the route is external */
  bool seen;        /* has requested the route */
};

struct origin_route
{
  struct htable_node node; /* origin.routes */
  uint32_t count; /* number of requests, at most ORIGIN_REQUESTS_MIN */
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
  origins->near_service_count = 0;
  origins->near_node_count = 0;
}

/* Record of a service; NULL when there are ORIGIN_SERVICES_MAX others.  */
static struct origin_service *
origin_get_service (struct origin *origins, uint64_t digest)
{
  for (uint32_t i = 0; i < origins->service_count; i++)
    if (origins->services[i].service == digest)
      return &origins->services[i];
  if (origins->service_count == ORIGIN_SERVICES_MAX)
    return NULL;
  origins->services[origins->service_count]
      = (struct origin_service){ .service = digest };
  return &origins->services[origins->service_count++];
}

void
origin_add_node (struct origin *origins, const char *service, bool near)
{
  struct origin_service *record
      = origin_get_service (origins, htable_hash_text (service));

  origins->node_count++;
  origins->near_node_count += near;
  if (record == NULL)
    return;
  record->node_count++;
  if (near && record->near_count++ == 0)
    origins->near_service_count++;
}

static struct origin_route *
origin_get_route (struct origin *origins, uint64_t route)
{
  struct htable_node *node = htable_find (&origins->routes, route);
  struct origin_route *record;

  if (node != NULL)
    return list_entry (node, struct origin_route, node);
  record = calloc (1, sizeof *record);
  INVARIANT (record != NULL);
  htable_add (&origins->routes, &record->node, route);
  return record;
}

static struct origin_source *
origin_get_source (struct origin_route *record, uint64_t service)
{
  for (uint32_t i = 0; i < record->source_count; i++)
    if (record->sources[i].service == service)
      return &record->sources[i];
  if (record->source_count == ORIGIN_SERVICES_MAX)
    return NULL;
  record->sources[record->source_count]
      = (struct origin_source){ .service = service };
  return &record->sources[record->source_count++];
}

/* Share of the requests for an external route that is expected from the nodes
   of SERVICE.  */
static double
origin_expected_share (const struct origin *origins,
                       const struct origin_service *service)
{
  return origins->near_service_count >= ORIGIN_NEAR_SERVICES_MIN
             ? (double)service->near_count / origins->near_node_count
             : (double)service->node_count / origins->node_count;
}

/* Counts a request from SERVICE.  */
static void
origin_count_request (const struct origin *origins,
                      struct origin_route *record, uint64_t service)
{
  struct origin_source *source = origin_get_source (record, service);

  if (record->count < ORIGIN_REQUESTS_MIN)
    record->count++;
  if (source != NULL)
    source->seen = true;
  for (uint32_t i = 0; i < origins->service_count; i++)
    {
      source = origin_get_source (record, origins->services[i].service);
      if (source != NULL)
        source->expected
            += origin_expected_share (origins, &origins->services[i]);
    }
}

enum origin_kind
origin_record_request (struct origin *origins, uint64_t route,
                       const char *service, enum origin_kind reported)
{
  struct origin_route *record = origin_get_route (origins, route);
  uint32_t seen = 0;
  bool missing = false;

  origin_count_request (origins, record, htable_hash_text (service));
  for (uint32_t i = 0; i < record->source_count; i++)
    {
      seen += record->sources[i].seen;
      missing |= !record->sources[i].seen
                 && record->sources[i].expected >= ORIGIN_EXPECTED_MIN;
    }
  if (missing)
    return ORIGIN_INTERNAL;
  if (record->count < ORIGIN_REQUESTS_MIN)
    return reported;
  /* An internal route is usually requested by one or two services.  */
  return seen * 2 <= origins->service_count ? ORIGIN_INTERNAL
                                            : ORIGIN_EXTERNAL;
}
