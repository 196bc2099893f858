#ifndef CONTROLLERS_LIMITER_H
#define CONTROLLERS_LIMITER_H

/**
 * DOC: limiter - adaptive concurrency limiter by observed latency
 *
 * In each window of answers, the time that running requests have spent (by
 * Little's law the product of concurrency and latency) is divided by the
 * baseline time of the answered requests, which is their service time without
 * contention.  The quotient is the slowdown.  While the server is full, the
 * limit moves towards the value at which the slowdown is LIMITER_HEADROOM.
 *
 * When a lower limit reduces the work done per time, the cause of the latency
 * is a slow dependency and not contention: the limit is restored and the
 * baselines are raised.  Probes lower the limit periodically for a short time
 * to measure the baselines again.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"

/* Request kinds with separate baselines; kinds with a higher index share
   these.  */
#define LIMITER_KINDS 32u

enum limiter_mode
{
  LIMITER_ADAPTIVE,
  LIMITER_FIXED, /* always the upper bound; for comparison in the benchmark */
};

struct limiter_kind
{
  double mean_us;            /* moving average of all samples; 0 at first */
  double baseline_us;        /* service time without contention; 0 at first */
  uint32_t baseline_samples; /* weight of the baseline in samples, bounded */
  double sum_us;  /* sum of the samples of this window, or of all without a
                     baseline */
  uint32_t count; /* number of samples in sum_us, or skipped before it */
};

enum limiter_phase
{
  LIMITER_STEADY,
  LIMITER_DECREASE,     /* the limit has decreased; observe the work done */
  LIMITER_PROBE_SETTLE, /* a probe has begun; older requests still run */
  LIMITER_PROBE,        /* the limit is lowered to measure the baselines */
};

struct limiter
{
  enum limiter_mode mode;
  enum limiter_phase phase;
  double limit;          /* concurrent requests */
  double max;            /* upper bound of @limit */
  double previous_limit; /* limit before the decrease or the probe */
  double previous_work;  /* work done per time then, in slots */
  double slowdown;       /* of the last window in which the server was full */
  clk_us probe_at;       /* time of the next probe; 0 if none is planned */
  /* Probes since the start or since a decrease was undone.  */
  uint32_t probe_count;
  /* The current window.  */
  clk_us window_start;
  uint32_t running;    /* running requests now */
  clk_us spent_until;  /* time up to which spent_us is counted */
  double spent_us;     /* time that running requests have spent */
  double work_us;      /* sum of the baselines of the answered requests */
  uint32_t count;      /* answers */
  uint32_t full_count; /* answers while the limit was reached */
  struct limiter_kind kinds[LIMITER_KINDS];
};

/* One answered request.  */
struct limiter_sample
{
  uint32_t kind; /* index of the request kind */
  clk_us service_time;
  bool full; /* whether the limit was reached */
};

/* Sets the limit to its upper bound MAX, at least 1.  */
void limiter_init (struct limiter *limiter, enum limiter_mode mode,
                   uint32_t max);

/* Changes the upper bound; a limit at the old bound follows it.  */
void limiter_set_max (struct limiter *limiter, uint32_t max);

/* To be called when the number of running requests changes.  Requests that end
   without an answer count as time spent without work done.  */
void limiter_set_running (struct limiter *limiter, uint32_t running,
                          clk_us now);

/* Adds the service time of an answered request.  */
void limiter_add_sample (struct limiter *limiter,
                         const struct limiter_sample *sample, clk_us now);

/* Current limit, rounded.  */
uint32_t limiter_limit (const struct limiter *limiter);

/* Expected service time of a kind; 0 when unknown.  */
clk_us limiter_expected_service_time (const struct limiter *limiter,
                                      uint32_t kind);

/* Lowers the expected service time of a kind slightly.  To be called when a
   request is refused because of it, as no samples arrive from refused
   requests.  */
void limiter_lower_expected_service_time (struct limiter *limiter,
                                          uint32_t kind);

#endif
