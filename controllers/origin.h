#ifndef CONTROLLERS_ORIGIN_H
#define CONTROLLERS_ORIGIN_H

/**
 * DOC: org - which routes are calls of backend servers
 *
 * Callers are beside every server, so their requests for a route come from
 * the nodes of all services.  A route whose requests do not come from the
 * nodes of some service is one that the servers of the others call.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/hash.h"
#include "core/route.h"

struct org
{
  struct hsh routes;
  struct lst all; /* of what is in @routes */
};

int org_init (struct org *origins);
void org_fini (struct org *origins);

/* Forgets what was learned; a configuration may move routes.  */
void org_reset (struct org *origins);

enum org_kind
{
  ORG_UNKNOWN, /* too few requests so far */
  ORG_CALLERS, /* callers send it */
  ORG_SERVERS, /* backend servers only send it */
};

/**
 * org_note() - a request of ROUTE came from the node of a server of SERVICE
 * @origins: table
 * @route: digest of the route's name
 * @service: service beside which the request arrived
 * @services: services that have servers
 *
 * Return: who sends the route.
 */
enum org_kind org_note (struct org *origins, uint64_t route,
                        const char *service, uint32_t services);

#endif
