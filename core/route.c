#include "core/route.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

struct route_table *
route_table_new (void)
{
  struct route_table *table = calloc (1, sizeof *table);

  if (table == NULL)
    return NULL;
  list_init (&table->routes);
  list_init (&table->services);
  if (htable_init (&table->by_host) != SR_OK)
    {
      free (table);
      return NULL;
    }
  return table;
}

static void
route_free_entry (struct route_entry *route)
{
  struct list_node *node;

  while ((node = list_pop_head (&route->targets)) != NULL)
    free (list_entry (node, struct route_target, node));
  free (route);
}

void
route_table_free (struct route_table *table)
{
  struct list_node *node;

  if (table == NULL)
    return;
  while ((node = list_pop_head (&table->routes)) != NULL)
    route_free_entry (list_entry (node, struct route_entry, node));
  while ((node = list_pop_head (&table->services)) != NULL)
    free (list_entry (node, struct route_service, node));
  htable_fini (&table->by_host);
  free (table);
}

struct route_service *
route_add_service (struct route_table *table, const char *name)
{
  struct route_service *service = calloc (1, sizeof *service);

  if (service == NULL)
    return NULL;
  memcpy (service->name, name, strnlen (name, sizeof service->name - 1));
  list_push_tail (&table->services, &service->node);
  return service;
}

struct route_service *
route_find_service (const struct route_table *table, const char *name)
{
  list_each (node, &table->services)
    {
      struct route_service *service
          = list_entry (node, struct route_service, node);

      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

void
route_add_entry (struct route_table *table, struct route_entry *route)
{
  for (char *c = route->host; *c != '\0'; c++)
    *c = (char)tolower ((unsigned char)*c);
  list_push_tail (&table->routes, &route->node);
  htable_add (&table->by_host, &route->hash_node,
              htable_hash_text (route->host));
}

int
route_add_target (struct route_entry *route, struct route_service *service,
                  uint32_t weight)
{
  struct route_target *target = calloc (1, sizeof *target);

  if (target == NULL)
    return SR_ENOMEM;
  target->service = service;
  target->weight = weight;
  route->weight_sum += weight;
  list_push_tail (&route->targets, &target->node);
  return SR_OK;
}

/* Copies HOST in lower case and without its port; an empty string when it is
   too long.  Handles IPv6 literals in brackets.  */
static void
route_normalize_host (const char *host, char out[ROUTE_HOST_BYTES])
{
  size_t len = strcspn (host, ":");

  if (host[0] == '[')
    len = strcspn (host, "]") + (strchr (host, ']') != NULL);
  if (len >= ROUTE_HOST_BYTES)
    len = 0;
  for (size_t i = 0; i < len; i++)
    out[i] = (char)tolower ((unsigned char)host[i]);
  out[len] = '\0';
}

uint32_t
route_timeout_max_ms (const struct route_table *table)
{
  uint32_t timeout_ms = 0;

  list_each (node, &table->routes)
    {
      const struct route_entry *route
          = list_entry (node, struct route_entry, node);

      if (route->timeout_ms > timeout_ms)
        timeout_ms = route->timeout_ms;
    }
  return timeout_ms;
}

struct route_entry *
route_find (struct route_table *table, const char *host, const char *path)
{
  struct route_entry *best = NULL;
  char name[ROUTE_HOST_BYTES];
  size_t path_len = strcspn (path, "?");
  size_t best_len = 0;

  route_normalize_host (host, name);
  list_each (node, htable_bucket (&table->by_host, htable_hash_text (name)))
    {
      struct htable_node *hash_node
          = list_entry (node, struct htable_node, node);
      struct route_entry *route
          = list_entry (hash_node, struct route_entry, hash_node);
      size_t len = strlen (route->prefix);

      if (strcmp (route->host, name) != 0 || len > path_len
          || memcmp (route->prefix, path, len) != 0)
        continue;
      if (best == NULL || len > best_len)
        {
          best = route;
          best_len = len;
        }
    }
  return best;
}
