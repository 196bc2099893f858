#ifndef PROGRAMS_LOAD_STAT_H
#define PROGRAMS_LOAD_STAT_H

/**
 * DOC: lsm - outcomes and latencies of the load tool
 */

#include <gsl/gsl_histogram.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

#define LOAD_REASON_BYTES 64

/* X (symbol, name) */
#define LOAD_OUTCOME_TABLE(X)                                                 \
  X (WHOLE, "whole")                                                          \
  X (WRONG, "wrong")                                                          \
  X (TRUNCATED, "truncated")                                                  \
  X (REFUSED, "refused")                                                      \
  X (ERROR, "error")                                                          \
  X (TIMED_OUT, "timed-out")                                                  \
  X (UNREACHABLE, "unreachable")                                              \
  X (CLOSED, "closed")

enum load_outcome
{
#define LOAD_X(symbol, name) LOAD_##symbol,
  LOAD_OUTCOME_TABLE (LOAD_X)
#undef LOAD_X
      LOAD_OUTCOME_COUNT
};

/* Whether the request has run, as far as the caller knows.  */
enum load_run
{
  LOAD_RAN,
  LOAD_NOT_RUN,
  LOAD_RUN_UNKNOWN,
};

struct load_stat
{
  uint64_t calls;
  uint64_t counts[LOAD_OUTCOME_COUNT];
  gsl_histogram *latency; /* of whole answers, in microseconds */
  clk_us latency_max;
};

/* Number of refusals with one reason.  */
struct load_reason
{
  struct lst_node node;
  char name[LOAD_REASON_BYTES];
  enum load_run run;
  uint64_t count;
};

void lsm_init (struct load_stat *stat);
void lsm_free (struct load_stat *stat);
void lsm_count (struct load_stat *stat, enum load_outcome outcome,
                clk_us latency);
void lsm_add (struct load_stat *to, const struct load_stat *from);

/* Adds one to the count of a reason in the list REASONS.  */
void lsm_count_reason (struct lst *reasons, const char *name,
                       enum load_run run);
void lsm_free_reasons (struct lst *reasons);

/**
 * lsm_quantile() - value below which a share of the samples lies
 * @histogram: the samples
 * @share: 0 … 1
 *
 * Return: the upper bound of the bin, 0 without samples.
 */
double lsm_quantile (const gsl_histogram *histogram, double share);

const char *lsm_outcome_name (enum load_outcome outcome);
const char *lsm_run_name (enum load_run run);

#endif
