#ifndef CONTROLLERS_PACE_H
#define CONTROLLERS_PACE_H

/**
 * DOC: pac - how many requests of a route run at once at one server
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
#include "core/hash.h"
#include "core/list.h"

struct pac_opts
{
  uint32_t most; /* slots of the server */
};

struct pac
{
  struct pac_opts opts;
  struct hsh routes; /* struct pac_route, by the digest of the route's name */
};

struct pac_route;

/* How a run ended.  */
enum pac_end
{
  PAC_ANSWERED,
  PAC_TIMED_OUT, /* nobody waited any more, or a call of it failed */
  PAC_OTHER,     /* says nothing about load */
};

int pac_init (struct pac *pace);
void pac_fini (struct pac *pace);
void pac_configure (struct pac *pace, const struct pac_opts *opts);

/**
 * pac_take() - ask to run a request
 * @pace: limits of all routes
 * @route: digest of the route's name
 * @urgent: the route is one of the most important ones
 * @now: time
 *
 * Return: the route's record, to be given back with pac_put(); NULL when its
 * limit is reached.
 */
struct pac_route *pac_take (struct pac *pace, uint64_t route, bool urgent,
                            clk_us now);

/**
 * pac_put() - a run has ended
 * @route: record of pac_take()
 * @end: how
 * @took: time since the request arrived
 * @limit: time that the route allows
 * @wait: of a call for a slot at the services below; without one the run was
 *	long by itself
 * @now: time
 */
void pac_put (struct pac_route *route, enum pac_end end, clk_us took,
              clk_us limit, clk_us wait, clk_us now);

/* Limit of a route at present, for logs and tests.  */
double pac_limit (const struct pac_route *route);

#endif
