#include "log/places.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "core/list.h"

struct places_region
{
  struct list_node node;
  uint32_t number;
  char name[];
};

struct places_domain
{
  struct list_node node;
  uint32_t number;
  const struct places_region *region; /* NULL when not known */
  char name[];
};

struct places_address
{
  struct list_node node;
  const struct places_domain *domain;
  char name[];
};

struct places
{
  struct list regions;   /* struct places_region */
  struct list domains;   /* struct places_domain */
  struct list addresses; /* struct places_address, set longest ago first */
  uint32_t address_count;
  uint32_t next_number; /* of a failure domain or a region */
};

struct places *
places_new (void)
{
  struct places *places = calloc (1, sizeof *places);

  INVARIANT (places != NULL);
  list_init (&places->regions);
  list_init (&places->domains);
  list_init (&places->addresses);
  return places;
}

void
places_free (struct places *places)
{
  struct list_node *node;

  if (places == NULL)
    return;
  while ((node = list_pop_head (&places->regions)) != NULL)
    free (list_entry (node, struct places_region, node));
  while ((node = list_pop_head (&places->domains)) != NULL)
    free (list_entry (node, struct places_domain, node));
  while ((node = list_pop_head (&places->addresses)) != NULL)
    free (list_entry (node, struct places_address, node));
  free (places);
}

static struct places_region *
places_get_region (struct places *places, const char *name)
{
  struct places_region *region;

  list_each (node, &places->regions)
    {
      region = list_entry (node, struct places_region, node);
      if (strcmp (region->name, name) == 0)
        return region;
    }
  region = calloc (1, sizeof *region + strlen (name) + 1);
  INVARIANT (region != NULL);
  memcpy (region->name, name, strlen (name) + 1);
  region->number = places->next_number++;
  list_push_tail (&places->regions, &region->node);
  return region;
}

static struct places_domain *
places_get_domain (struct places *places, const char *name)
{
  struct places_domain *domain;

  list_each (node, &places->domains)
    {
      domain = list_entry (node, struct places_domain, node);
      if (strcmp (domain->name, name) == 0)
        return domain;
    }
  domain = calloc (1, sizeof *domain + strlen (name) + 1);
  INVARIANT (domain != NULL);
  memcpy (domain->name, name, strlen (name) + 1);
  domain->number = places->next_number++;
  list_push_tail (&places->domains, &domain->node);
  return domain;
}

static struct places_address *
places_find_address (const struct places *places, const char *name)
{
  list_each (node, &places->addresses)
    {
      struct places_address *address
          = list_entry (node, struct places_address, node);

      if (strcmp (address->name, name) == 0)
        return address;
    }
  return NULL;
}

void
places_set_region (struct places *places, const char *domain,
                   const char *region)
{
  places_get_domain (places, domain)->region
      = places_get_region (places, region);
}

void
places_set_domain (struct places *places, const char *address,
                   const char *domain)
{
  struct places_address *entry = places_find_address (places, address);

  if (entry == NULL && places->address_count == PLACES_ADDRESSES_MAX)
    free (list_entry (list_pop_head (&places->addresses),
                      struct places_address, node));
  else if (entry == NULL)
    places->address_count++;
  if (entry == NULL)
    {
      entry = calloc (1, sizeof *entry + strlen (address) + 1);
      INVARIANT (entry != NULL);
      memcpy (entry->name, address, strlen (address) + 1);
    }
  entry->domain = places_get_domain (places, domain);
  list_remove (&entry->node);
  list_push_tail (&places->addresses, &entry->node);
}

bool
places_find (const struct places *places, const char *address,
             struct place *place)
{
  const struct places_address *entry = places_find_address (places, address);

  if (entry == NULL)
    return false;
  place->domain = entry->domain->number;
  place->region = entry->domain->region != NULL ? entry->domain->region->number
                                                : entry->domain->number;
  return true;
}
