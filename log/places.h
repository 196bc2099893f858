#ifndef LOG_PLACES_H
#define LOG_PLACES_H

/**
 * DOC: places - failure domain and region of the replicas, by address
 *
 * Failure domains and regions have names; the numbers that stand for them are
 * valid in one table only.  A failure domain whose region isn't known counts
 * as a region of its own.
 */

#include <stdbool.h>
#include <stdint.h>

/* Addresses that are kept; the one set longest ago gives way.  */
#define PLACES_ADDRESSES_MAX 256

struct places;

struct place
{
  uint32_t domain;
  uint32_t region;
};

/* Returns an empty table, never NULL.  */
struct places *places_new (void);
void places_free (struct places *places);

/* Sets the region of a failure domain.  */
void places_set_region (struct places *places, const char *domain,
                        const char *region);

/* Sets the failure domain of the replica at ADDRESS.  */
void places_set_domain (struct places *places, const char *address,
                        const char *domain);

/* Sets PLACE and returns true when the failure domain of ADDRESS is known. */
bool places_find (const struct places *places, const char *address,
                  struct place *place);

#endif
