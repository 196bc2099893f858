#ifndef CONTROLLERS_AIMD_H
#define CONTROLLERS_AIMD_H

/**
 * DOC: aimd - AIMD concurrency limiter for the routes of one server
 *
 * A request that calls other services occupies slots at each of them.  When
 * one of these services is overloaded, admitting more requests only makes all
 * of them exceed their time limit.  The limiter bounds the concurrent
 * requests of each route:
 *
 * - additive increase: the limit grows by one for each round of requests while
 *   few requests come close to their time limit or exceed it, or while calls
 *   do not queue at the services downstream;
 * - multiplicative decrease: otherwise the limit is multiplied by a factor
 *   below one.
 *
 * While the limit is below one, single requests are admitted as probes.  The
 * first one that ends in time sets the limit to one.  From there the limit
 * doubles with each round up to the slow start threshold, which is the limit
 * before the decrease, as long as calls do not queue downstream.
 *
 * Target while the load is three times the capacity downstream: at most a
 * fifth of the requests exceed their time limit, and three quarters of the
 * capacity is used for requests answered in time.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/htable.h"
#include "core/list.h"

struct aimd_opts
{
  uint32_t limit_max; /* slots of the server */
};

struct aimd
{
  struct aimd_opts opts;
  struct htable routes; /* struct aimd_route, by digest of its name */
};

struct aimd_route;

/* Outcome of an admitted request.  */
enum aimd_outcome
{
  AIMD_ANSWERED, /* slow or not, by its latency */
  AIMD_FAILED,   /* the caller gave up, or a call of the request failed; counts
                    as slow */
  AIMD_IGNORED,  /* not a sample of load */
};

/* Returns SR_OK or SR_ENOMEM.  */
int aimd_init (struct aimd *aimd);
void aimd_fini (struct aimd *aimd);
void aimd_configure (struct aimd *aimd, const struct aimd_opts *opts);

/**
 * aimd_acquire() - admit a request under the limit of its route
 * @aimd: limiter
 * @route: digest of the route's name
 * @critical: whether the route has the highest priority
 * @now: current time
 *
 * Return: record of the route, to be passed to aimd_release(); NULL when the
 * limit is reached.
 */
struct aimd_route *aimd_acquire (struct aimd *aimd, uint64_t route,
                                 bool critical, clk_us now);

/**
 * aimd_release() - end an admitted request and update the limit
 * @route: record from aimd_acquire()
 * @outcome: how the request ended
 * @latency: time since the request arrived
 * @time_limit: time limit of the request
 * @downstream_queue_wait: time that calls wait for a slot at the services
 *	downstream; while it is short, slow requests do not lower the limit
 * @now: current time
 */
void aimd_release (struct aimd_route *route, enum aimd_outcome outcome,
                   clk_us latency, clk_us time_limit,
                   clk_us downstream_queue_wait, clk_us now);

/* Current limit of a route, for logs and tests.  */
double aimd_limit (const struct aimd_route *route);

#endif
