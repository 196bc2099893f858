#ifndef BENCH_MEASURE_H
#define BENCH_MEASURE_H

/**
 * DOC: mea - measures of the benchmark
 */

#include "bench/table.h"
#include "bench/world.h"

/* Sizes of the two deployments; see setup.c.  */
struct world_opts measure_orders_opts (enum world_control control,
                                       uint64_t seed);
struct world_opts measure_search_opts (enum world_control control,
                                       uint64_t seed);

/* Result of a load on the orders service.  */
struct measure_overload
{
  double goodput;                 /* percent of the capacity */
  double most_important_answered; /* percent of its calls */
};

struct measure_overload measure_overload_run (const struct world_opts *opts);

/* Seconds until goodput is back after a stall.  */
double measure_recovery_run (const struct world_opts *opts);

/* Goodput in percent of the capacity at the crest of a swing.  */
double measure_swing_run (const struct world_opts *opts);

/* p99 wait of short work in milliseconds, without and with long work: how long
   the caller waits for the answer, and the part of it that the request spent
   at the server beyond its own service time.  */
struct measure_blocking
{
  double alone_ms;
  double mixed_ms;
  double alone_delay_ms;
  double mixed_delay_ms;
};

struct measure_blocking measure_blocking_run (const struct world_opts *opts);

/* p99 latency in milliseconds without and with one slow server of four.  */
struct measure_straggler
{
  double healthy_ms;
  double straggler_ms;
};

struct measure_straggler measure_straggler_run (const struct world_opts *opts);

/* Answered requests in percent, of a chain whose attempts fail and whose
   answers are lost at random; WHOLE grants all of the allowance to a child. */
double measure_random_chain_run (uint32_t depth, bool whole, double fails,
                                 double lost, uint64_t seed);

void measure_overload (struct table *table, uint64_t seed);
void measure_recovery (struct table *table, uint64_t seed);
void measure_swing (struct table *table, uint64_t seed);
void measure_blocking (struct table *table, uint64_t seed);
void measure_straggler (struct table *table, uint64_t seed);
void measure_chain (struct table *table, uint64_t seed);

/* Prints the figures of the ways that docs/decisions.md compares.  */
void measure_variants (uint64_t seed);

#endif
