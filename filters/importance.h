#ifndef FILTERS_IMPORTANCE_H
#define FILTERS_IMPORTANCE_H

/**
 * DOC: importance - what both chains of filters agree on about a request
 */

/* Importance of the most important routes.  */
#define IMP_ROUTE_FIRST 80
/* Importance of the calls of running requests, which go before new work.  */
#define IMP_CALL 95
/* Calls of one run from which on a request is the start of a chain.  */
#define IMP_CHAIN_CALLS 0.5

#endif
