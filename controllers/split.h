#ifndef CONTROLLERS_SPLIT_H
#define CONTROLLERS_SPLIT_H

/**
 * DOC: spl - distribution of a route's requests among its services
 *
 * Smooth weighted round robin: in any run of requests the share of each
 * service differs from its weight by less than one request.  A service that
 * turns requests away keeps its share.
 */

#include <stdint.h>

#include "core/list.h"
#include "core/rng.h"
#include "core/route.h"

struct spl;

struct spl *spl_new (void);
void spl_free (struct spl *split);

/* Forgets all positions; to be called when the routing table changes.  */
void spl_reset (struct spl *split);

/**
 * spl_pick() - service of the next request of a route
 * @split: positions of all routes
 * @route: route with at least one target
 * @rng: draws where a new route begins, so that nodes do not run in step
 *
 * Return: the service.
 */
struct rte_service *spl_pick (struct spl *split, struct rte_route *route,
                              struct rng *rng);

#endif
