#include "core/route.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

struct rte_table *
rte_new (void)
{
  struct rte_table *table = calloc (1, sizeof *table);

  if (table == NULL)
    return NULL;
  lst_init (&table->routes);
  lst_init (&table->services);
  if (hsh_init (&table->by_host) != SR_OK)
    {
      free (table);
      return NULL;
    }
  return table;
}

static void
rte_free_route (struct rte_route *route)
{
  struct lst_node *node;

  while ((node = lst_pop_head (&route->targets)) != NULL)
    free (lst_entry (node, struct rte_target, node));
  free (route);
}

void
rte_free (struct rte_table *table)
{
  struct lst_node *node;

  if (table == NULL)
    return;
  while ((node = lst_pop_head (&table->routes)) != NULL)
    rte_free_route (lst_entry (node, struct rte_route, node));
  while ((node = lst_pop_head (&table->services)) != NULL)
    free (lst_entry (node, struct rte_service, node));
  hsh_fini (&table->by_host);
  free (table);
}

struct rte_service *
rte_add_service (struct rte_table *table, const char *name)
{
  struct rte_service *service = calloc (1, sizeof *service);

  if (service == NULL)
    return NULL;
  memcpy (service->name, name, strnlen (name, sizeof service->name - 1));
  lst_push_tail (&table->services, &service->node);
  return service;
}

struct rte_service *
rte_find_service (const struct rte_table *table, const char *name)
{
  lst_each (node, &table->services)
    {
      struct rte_service *service = lst_entry (node, struct rte_service, node);

      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

void
rte_add_route (struct rte_table *table, struct rte_route *route)
{
  for (char *c = route->host; *c != '\0'; c++)
    *c = (char)tolower ((unsigned char)*c);
  lst_push_tail (&table->routes, &route->node);
  hsh_add (&table->by_host, &route->hash_node, hsh_text (route->host));
}

int
rte_add_target (struct rte_route *route, struct rte_service *service,
                uint32_t weight)
{
  struct rte_target *target = calloc (1, sizeof *target);

  if (target == NULL)
    return SR_ENOMEM;
  target->service = service;
  target->weight = weight;
  route->weight_sum += weight;
  lst_push_tail (&route->targets, &target->node);
  return SR_OK;
}

/* Copies HOST without its port and in lower case.  */
static void
rte_host (const char *host, char out[RTE_HOST_BYTES])
{
  size_t len = strcspn (host, ":");

  if (host[0] == '[')
    len = strcspn (host, "]") + (strchr (host, ']') != NULL);
  if (len >= RTE_HOST_BYTES)
    len = 0;
  for (size_t i = 0; i < len; i++)
    out[i] = (char)tolower ((unsigned char)host[i]);
  out[len] = '\0';
}

struct rte_route *
rte_find (struct rte_table *table, const char *host, const char *path)
{
  struct rte_route *best = NULL;
  char name[RTE_HOST_BYTES];
  size_t path_len = strcspn (path, "?");
  size_t best_len = 0;

  rte_host (host, name);
  lst_each (node, hsh_bucket (&table->by_host, hsh_text (name)))
    {
      struct hsh_node *hashed = lst_entry (node, struct hsh_node, node);
      struct rte_route *route
          = lst_entry (hashed, struct rte_route, hash_node);
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
