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
/* Importance of external requests with the highest priority at a server that
   makes no calls.  They precede internal ones: they are finished after one
   slot, while the requests behind the calls are less urgent and can wait.  */
#define IMPORTANCE_URGENT 97
/* Average number of calls that a run causes (fan-out) from which on an
   external request counts as the start of a call chain; such requests are
   refused while the services downstream are overloaded.  */
#define IMPORTANCE_CHAIN_FAN_OUT_MIN 0.5

#endif
