#ifndef FILTERS_IMPORTANCE_H
#define FILTERS_IMPORTANCE_H

/**
 * DOC: importance - importance levels of requests in filters/admit and
 * filters/dispatch
 */

/* Importance of the routes with the highest priority.  */
#define IMPORTANCE_ROUTE_MAX 80
/* Importance of internal requests (calls of running requests), which precede
   new requests.  */
#define IMPORTANCE_INTERNAL 95
/* Average number of calls that a run causes (fan-out) from which on an
   external request counts as the start of a call chain; such requests are
   refused while the services downstream are overloaded.  */
#define IMPORTANCE_CHAIN_FAN_OUT_MIN 0.5

#endif
