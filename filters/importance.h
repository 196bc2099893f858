#ifndef FILTERS_IMPORTANCE_H
#define FILTERS_IMPORTANCE_H

/**
 * DOC: importance - importance levels that both filter chains use
 */

/* Importance of the routes with the highest priority.  */
#define IMPORTANCE_ROUTE_MAX 80
/* Importance of internal requests (calls of running requests), which precede
   new requests.  */
#define IMPORTANCE_INTERNAL 95
/* Average number of calls per run from which on requests count as the start of
   a call chain.  */
#define IMPORTANCE_CHAIN_FAN_OUT 0.5

#endif
