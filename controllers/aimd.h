#ifndef CONTROLLERS_AIMD_H
#define CONTROLLERS_AIMD_H

/**
 * DOC: aimd - how many requests of a route run at once at one server
 *
 * A request that calls other services holds work at each of them.  When one
 * of these is overloaded, more requests only make all of them miss their time
 * limit.  The limit of each route grows by one for each round of runs while
 * few of them come close to the time limit or miss it, or while calls do not
 * wait below, and shrinks by a factor otherwise (additive increase,
 * multiplicative decrease).  A limit below one is tried with single runs; the
 * first in time ends the shortage, and while calls do not wait the limit then
 * doubles with each round up to the one before the shortage.
 *
 * Target, while three times as much arrives as the services below carry: at
 * most a fifth of the runs late, and three quarters of what they carry
 * answered in time.
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
  struct htable
      routes; /* struct aimd_route, by the digest of the route's name */
};

struct aimd_route;

/* How a run ended.  */
enum aimd_outcome
{
  AIMD_ANSWERED,
  AIMD_FAILED,  /* nobody waited any more, or a call of it failed */
  AIMD_IGNORED, /* says nothing about load */
};

int aimd_init (struct aimd *pace);
void aimd_fini (struct aimd *pace);
void aimd_configure (struct aimd *pace, const struct aimd_opts *opts);

/**
 * aimd_acquire() - ask to run a request
 * @pace: limits of all routes
 * @route: digest of the route's name
 * @urgent: the route is one of the most important ones
 * @now: time
 *
 * Return: the route's record, to be given back with aimd_release(); NULL when
 * its limit is reached.
 */
struct aimd_route *aimd_acquire (struct aimd *pace, uint64_t route,
                                 bool urgent, clk_us now);

/**
 * aimd_release() - a run has ended
 * @route: record of aimd_acquire()
 * @end: how
 * @took: time since the request arrived
 * @limit: time that the route allows
 * @wait: of a call for a slot at the services below; without one the run was
 *	long by itself
 * @now: time
 */
void aimd_release (struct aimd_route *route, enum aimd_outcome end,
                   clk_us took, clk_us limit, clk_us wait, clk_us now);

/* Limit of a route at present, for logs and tests.  */
double aimd_limit (const struct aimd_route *route);

#endif
