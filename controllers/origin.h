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

/* Services told apart; a route of more of them is one of callers.  */
#define ORG_SERVICES 32u

/* Nodes of one service.  */
struct org_service
{
  uint64_t service; /* digest of its name */
  uint32_t nodes;   /* that are sent requests by callers */
};

struct org
{
  struct hsh routes; /* struct org_route, by the digest of the route's name */
  struct org_service services[ORG_SERVICES];
  uint32_t service_count;
  uint32_t nodes;
};

int org_init (struct org *origins);
void org_fini (struct org *origins);

/* Tells how many nodes each service has, beginning with org_begin().  */
void org_begin (struct org *origins);
void org_add (struct org *origins, const char *service);

enum org_kind
{
  ORG_CALLERS, /* callers send it, or may */
  ORG_SERVERS, /* backend servers only send it, as far as is known */
};

/**
 * org_note() - a request of ROUTE came from the node of a server of SERVICE
 * @origins: table
 * @route: digest of the route's name
 * @service: service beside which the request arrived
 * @told: what another node has found, for a route that is new here
 *
 * Return: who sends the route.
 */
enum org_kind org_note (struct org *origins, uint64_t route,
                        const char *service, enum org_kind told);

#endif
