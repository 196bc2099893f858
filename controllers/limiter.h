#ifndef CONTROLLERS_LIMITER_H
#define CONTROLLERS_LIMITER_H

/**
 * DOC: limiter - concurrency limit that follows observed latency
 *
 * In each window of answers, the time that running requests spent (by Little's
 * law the product of concurrency and time) is compared with the baseline time
 * of the work that was done, which is its service time without contention.
 * While the server is full, the limit moves towards the value at which the
 * first is a little more than the second.  When a lower limit lowers the work
 * done, the cause is a slow dependency and not contention: the limit goes back
 * and the baselines are raised.  From time to time the limit is lowered for a
 * moment to measure the baselines again.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"

/* Kinds with learned costs; further kinds share these.  */
#define LIMITER_KINDS 32u

enum limiter_mode
{
  LIMITER_ADAPTIVE,
  LIMITER_FIXED, /* always the upper bound; to compare in the benchmark */
};

struct limiter_kind
{
  double mean_us;            /* moving average of all samples, 0 at first */
  double baseline_us;        /* without contention, 0 at first */
  uint32_t baseline_samples; /* samples behind the baseline, bounded */
  double sum_us; /* of this window, or before there is a baseline */
  uint32_t count;
};

enum limiter_phase
{
  LIMITER_STEADY,
  LIMITER_DECREASE,     /* the limit fell; wait to see whether work is lost */
  LIMITER_PROBE_SETTLE, /* a probe began; requests from before it still run */
  LIMITER_PROBE,        /* the limit is lowered to measure the baselines */
};

struct limiter
{
  enum limiter_mode mode;
  enum limiter_phase phase;
  double limit;
  double max;
  double previous_limit; /* before the fall or the probe */
  double previous_work;  /* work done then, in slots */
  double slowdown;       /* of the last full window */
  clk_us probe_at;
  uint32_t probe_count; /* so far */
  /* The present window.  */
  clk_us window_start;
  uint32_t running;
  clk_us spent_until; /* SPENT_US holds the time of running requests until */
  double spent_us;
  double work_us; /* baselines of the requests that were answered */
  uint32_t count;
  uint32_t full_count;
  struct limiter_kind kinds[LIMITER_KINDS];
};

/* One answered request.  */
struct limiter_sample
{
  uint32_t kind;
  clk_us service;
  bool full; /* whether all slots of the limit were in use */
};

void limiter_init (struct limiter *limiter, enum limiter_mode way,
                   uint32_t max);
void limiter_set_max (struct limiter *limiter, uint32_t max);

/* To be called when the number of running requests changes.  Requests that end
   without an answer count as time spent without work done.  */
void limiter_set_running (struct limiter *limiter, uint32_t running,
                          clk_us now);

/* A request ended with an answer.  */
void limiter_add_sample (struct limiter *limiter,
                         const struct limiter_sample *sample, clk_us now);

uint32_t limiter_limit (const struct limiter *limiter);

/* Expected service time of a kind; 0 when not known.  */
clk_us limiter_expected_service (const struct limiter *limiter, uint32_t kind);

/* Lowers the expected time of a kind a little.  To be called when a request
   is refused because of it: requests that do not run cannot correct it.  */
void limiter_lower_expected (struct limiter *limiter, uint32_t kind);

#endif
