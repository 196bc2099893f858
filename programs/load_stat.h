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
enum load_run_state
{
  LOAD_RAN,
  LOAD_NOT_RUN,
  LOAD_RUN_UNKNOWN,
};

struct load_stat
{
  uint64_t calls;
  uint64_t outcome_counts[LOAD_OUTCOME_COUNT];
  gsl_histogram *latency_us; /* of whole answers, in microseconds */
  clk_us latency_max;
};

/* Number of refusals with one reason.  */
struct load_reason_count
{
  struct list_node node;
  char name[LOAD_REASON_BYTES];
  enum load_run_state run_state;
  uint64_t count;
};

void load_stat_init (struct load_stat *stat);
void load_stat_free (struct load_stat *stat);
void load_stat_add_call (struct load_stat *stat, enum load_outcome outcome,
                         clk_us latency);
void load_stat_merge (struct load_stat *to, const struct load_stat *from);

/* Adds one to the count of a reason in the list REASONS.  */
void load_stat_count_reason (struct list *reasons, const char *name,
                             enum load_run_state run);
void load_stat_free_reasons (struct list *reasons);

/**
 * load_stat_quantile() - value below which a share of the samples lies
 * @histogram: the samples
 * @share: 0 … 1
 *
 * Return: the upper bound of the bin, 0 without samples.
 */
double load_stat_quantile (const gsl_histogram *histogram, double share);

const char *load_stat_outcome_name (enum load_outcome outcome);
const char *load_stat_run_state_name (enum load_run_state run);

#endif
