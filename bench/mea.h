#ifndef BENCH_MEA_H
#define BENCH_MEA_H

/**
 * DOC: mea - measures of the benchmark
 */

#include "bench/tab.h"
#include "bench/wld.h"

/* Sizes of the two deployments; see setup.c.  */
struct wld_opts mea_orders (enum wld_control control, uint64_t seed);
struct wld_opts mea_search (enum wld_control control, uint64_t seed);

/* Result of a load on the orders service.  */
struct mea_overload
{
  double goodput;        /* percent of the capacity */
  double most_important; /* percent of its calls */
};

struct mea_overload mea_overload_run (const struct wld_opts *opts);

/* Seconds until goodput is back after a stall.  */
double mea_recovery_run (const struct wld_opts *opts);

/* Goodput in percent of the capacity at the crest of a swing.  */
double mea_swing_run (const struct wld_opts *opts);

/* p99 wait of short work in milliseconds, without and with long work: how long
   the caller waits for the answer, and the part of it that the request spent
   at the server beyond its own service time.  */
struct mea_blocking
{
  double alone;
  double beside;
  double queued_alone;
  double queued_beside;
};

struct mea_blocking mea_blocking_run (const struct wld_opts *opts);

/* p99 latency in milliseconds without and with one slow server of four.  */
struct mea_straggler
{
  double without;
  double with;
};

struct mea_straggler mea_straggler_run (const struct wld_opts *opts);

/* Answered requests in percent, of a chain whose attempts fail and whose
   answers are lost at random; WHOLE grants all of the allowance to a child. */
double mea_chance_run (uint32_t depth, bool whole, double fails, double lost,
                       uint64_t seed);

void mea_overload (struct tab *tab, uint64_t seed);
void mea_recovery (struct tab *tab, uint64_t seed);
void mea_swing (struct tab *tab, uint64_t seed);
void mea_blocking (struct tab *tab, uint64_t seed);
void mea_straggler (struct tab *tab, uint64_t seed);
void mea_chain (struct tab *tab, uint64_t seed);

/* Prints the figures of the ways that docs/decisions.md compares.  */
void mea_variants (uint64_t seed);

#endif
