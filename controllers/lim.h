#ifndef CONTROLLERS_LIM_H
#define CONTROLLERS_LIM_H

/**
 * DOC: lim - concurrency limit that follows observed latency
 *
 * Compares the service time of each kind of request with its baseline, the
 * service time without contention.  While the server is full, the limit moves
 * towards the value at which service times are a little above the baseline.
 * A fall to half that does not make the server faster is taken back, and the
 * baseline is raised: the cause is then a slow dependency, not contention.
 * From time to time the limit is lowered for one window to measure the
 * baseline again.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"

/* Kinds with learned costs; further kinds share these.  */
#define LIM_KINDS 32u

enum lim_way
{
  LIM_ADAPTIVE,
  LIM_FIXED, /* always the upper bound; to compare in the benchmark */
};

struct lim_kind
{
  double mean_us;     /* moving average of all samples, 0 at first */
  double baseline_us; /* without contention, 0 at first */
  uint32_t evidence;  /* samples behind the baseline, bounded */
  double sum_us;      /* of this window */
  uint32_t count;
};

enum lim_phase
{
  LIM_STEADY,
  LIM_FALL,  /* the limit falls; wait to see whether that helps */
  LIM_PROBE, /* the limit is lowered to measure the baseline */
};

struct lim
{
  enum lim_way way;
  enum lim_phase phase;
  double limit;
  double max;
  double from_limit; /* before the fall or the probe */
  double from_ratio;
  clk_us changed_at; /* last sudden change of the limit */
  clk_us probe_at;
  double ratio_sum;
  uint32_t ratio_count;
  uint32_t full_count;
  struct lim_kind kinds[LIM_KINDS];
};

/* One finished request.  */
struct lim_sample
{
  uint32_t kind;
  clk_us started;
  clk_us service;
  bool full; /* whether all slots of the limit were in use */
};

void lim_init (struct lim *lim, enum lim_way way, uint32_t max);
void lim_set_max (struct lim *lim, uint32_t max);
void lim_add (struct lim *lim, const struct lim_sample *sample, clk_us now);
uint32_t lim_value (const struct lim *lim);

/* Expected service time of a kind; 0 when not known.  */
clk_us lim_expected (const struct lim *lim, uint32_t kind);

/* Lowers the expected time of a kind a little.  To be called when a request
   is refused because of it: requests that do not run cannot correct it.  */
void lim_doubt (struct lim *lim, uint32_t kind);

#endif
