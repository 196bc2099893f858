#ifndef CONTROLLERS_SPLIT_H
#define CONTROLLERS_SPLIT_H

/**
 * DOC: split - distribution of a route's requests among its services
 *
 * Smooth weighted round robin: in any sequence of requests the share of each
 * service differs from its weight by less than one request.  A service that
 * refuses requests keeps its share.
 */

#include <stdint.h>

#include "core/list.h"
#include "core/rng.h"
#include "core/route.h"

struct split;

/* Returns NULL without memory.  */
struct split *split_new (void);
void split_free (struct split *split);

/* Clears all positions; to be called when the routing table changes.  */
void split_reset (struct split *split);

/**
 * split_pick() - choose the service for the next request of a route
 * @split: positions of all routes
 * @route: route with at least one target
 * @rng: random start position for a new route, so that nodes are not
 *	synchronised
 *
 * Return: the service.
 */
struct route_service *split_pick (struct split *split,
                                  struct route_entry *route, struct rng *rng);

#endif
