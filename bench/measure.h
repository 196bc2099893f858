#ifndef BENCH_MEASURE_H
#define BENCH_MEASURE_H

/**
 * DOC: measure - scenarios of the benchmark
 *
 * Each function measure_*_run() simulates one scenario with the given options;
 * measure_*() runs it with each kind of control and adds rows to the table.
 */

#include "bench/table.h"
#include "bench/world.h"

/* Options of the two simulated services, orders and search.  */
struct world_opts measure_orders_opts (enum world_control control,
                                       uint64_t seed);
struct world_opts measure_search_opts (enum world_control control,
                                       uint64_t seed);

/* Result of the overload scenario.  */
struct measure_overload
{
  double goodput;                 /* percent of the capacity */
  double most_important_answered; /* percent of the most important calls */
};

struct measure_overload measure_overload_run (const struct world_opts *opts);

/* Time from the end of a stall of all servers until goodput has recovered, in
   seconds.  */
double measure_recovery_run (const struct world_opts *opts);

/* Goodput after a fast ramp of the load, in percent of the capacity.  */
double measure_swing_run (const struct world_opts *opts);

/* p99 of short requests without and with long requests on the same servers:
   the latency that the caller sees, and the delay at the server beyond the
   service time of the request.  */
struct measure_blocking
{
  double alone_ms;
  double mixed_ms;
  double alone_delay_ms;
  double mixed_delay_ms;
};

struct measure_blocking measure_blocking_run (const struct world_opts *opts);

/* p99 latency without and with one slow server of four.  */
struct measure_straggler
{
  double healthy_ms;
  double straggler_ms;
};

struct measure_straggler measure_straggler_run (const struct world_opts *opts);

/* Percentage of requests that succeed in a chain of DEPTH services where
   attempts fail with the probability FAILURE_RATE and responses are lost with
   LOSS_RATE.  GRANT_ALL grants the whole retry allowance to each child call,
   instead of half.  */
double measure_random_chain_run (uint32_t depth, bool grant_all,
                                 double failure_rate, double loss_rate,
                                 uint64_t seed);

void measure_overload (struct table *table, uint64_t seed);
void measure_recovery (struct table *table, uint64_t seed);
void measure_swing (struct table *table, uint64_t seed);
void measure_blocking (struct table *table, uint64_t seed);
void measure_straggler (struct table *table, uint64_t seed);
void measure_chain (struct table *table, uint64_t seed);

/* Prints the results of the design alternatives that docs/decisions.md
   compares.  */
void measure_variants (uint64_t seed);

#endif
