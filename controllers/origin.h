#ifndef CONTROLLERS_ORIGIN_H
#define CONTROLLERS_ORIGIN_H

/**
 * DOC: origin - classification of routes as external or internal
 *
 * External routes are requested by callers, internal ones only by backend
 * servers.  Callers run beside every server, so that requests for an external
 * route arrive from the nodes of all services.  A route is internal when no
 * requests for it arrive from the nodes of some service.
 *
 * Requests prefer servers of their own failure domain, so that only the
 * services with a node in the failure domain of this node are expected, if
 * there are enough of them.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/htable.h"
#include "core/route.h"

/* Services that are counted separately; a route that more services request is
   external.  */
#define ORIGIN_SERVICES_MAX 32u

/* Nodes of one service.  */
struct origin_service
{
  uint64_t service;    /* digest of the name */
  uint32_t node_count; /* nodes that receive requests from callers */
  uint32_t near_count; /* of these, nodes in the own failure domain */
};

struct origin
{
  struct htable routes; /* struct origin_route, by digest of its name */
  struct origin_service services[ORIGIN_SERVICES_MAX];
  uint32_t service_count;
  uint32_t node_count;
  uint32_t near_service_count; /* services with a near node */
  uint32_t near_node_count;
};

/* Returns SR_OK or SR_ENOMEM.  */
int origin_init (struct origin *origins);
void origin_fini (struct origin *origins);

/* Sets the number of nodes of each service: origin_reset_nodes(), then
   origin_add_node() for each node; NEAR tells whether it is in the own failure
   domain.  */
void origin_reset_nodes (struct origin *origins);
void origin_add_node (struct origin *origins, const char *service, bool near);

enum origin_kind
{
  ORIGIN_EXTERNAL, /* requested by callers, or not known to be internal */
  ORIGIN_INTERNAL, /* requested only by backend servers, as far as is known */
};

/**
 * origin_record_request() - count a request and classify its route
 * @origins: table
 * @route: digest of the route's name
 * @service: service of the node at which the request arrived
 * @reported: classification by another node, used while few requests for the
 *	route have been counted
 *
 * Return: classification of the route.
 */
enum origin_kind origin_record_request (struct origin *origins, uint64_t route,
                                        const char *service,
                                        enum origin_kind reported);

#endif
