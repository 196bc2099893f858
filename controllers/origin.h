#ifndef CONTROLLERS_ORIGIN_H
#define CONTROLLERS_ORIGIN_H

/**
 * DOC: origins - which routes are calls of backend servers
 *
 * Callers are beside every server, so their requests for a route come from
 * the nodes of all services.  A route whose requests do not come from the
 * nodes of some service is one that the servers of the others call.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/htable.h"
#include "core/route.h"

/* Services told apart; a route of more of them is one of callers.  */
#define ORIGIN_SERVICES_MAX 32u

/* Nodes of one service.  */
struct origin_service
{
  uint64_t service;    /* digest of its name */
  uint32_t node_count; /* that are sent requests by callers */
};

struct origin
{
  struct htable
      routes; /* struct origin_route, by the digest of the route's name */
  struct origin_service services[ORIGIN_SERVICES_MAX];
  uint32_t service_count;
  uint32_t node_count;
};

int origin_init (struct origin *origins);
void origin_fini (struct origin *origins);

/* Tells how many nodes each service has, beginning with origin_reset_nodes().
 */
void origin_reset_nodes (struct origin *origins);
void origin_add_node (struct origin *origins, const char *service);

enum origin_kind
{
  ORIGIN_CALLERS, /* callers send it, or may */
  ORIGIN_SERVERS, /* backend servers only send it, as far as is known */
};

/**
 * origin_record_request() - a request of ROUTE came from the node of a server
 * of SERVICE
 * @origins: table
 * @route: digest of the route's name
 * @service: service beside which the request arrived
 * @told: what another node has found, for a route that is new here
 *
 * Return: who sends the route.
 */
enum origin_kind origin_record_request (struct origin *origins, uint64_t route,
                                        const char *service,
                                        enum origin_kind told);

#endif
