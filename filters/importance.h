#ifndef FILTERS_IMPORTANCE_H
#define FILTERS_IMPORTANCE_H

/**
 * DOC: importance - what both chains of filters agree on about a request
 */

/* Importance of the most important routes.  */
#define IMPORTANCE_ROUTE_MAX 80
/* Importance of the calls of running requests, which go before new work.  */
#define IMPORTANCE_INTERNAL 95
/* Calls of one run from which on a request is the start of a chain.  */
#define IMPORTANCE_CHAIN_FAN_OUT 0.5

#endif
