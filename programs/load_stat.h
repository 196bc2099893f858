#ifndef PROGRAMS_LOAD_STAT_H
#define PROGRAMS_LOAD_STAT_H

/**
 * DOC: load_stat - outcome counters and latency histograms
 */

#include <gsl/gsl_histogram.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

#define LOAD_REASON_BYTES 64

/* Outcomes of an attempt or a call.  WHOLE: complete and correct answer;
   WRONG: complete answer with an incorrect body; TRUNCATED: the connection
   closed within the answer; REFUSED: error status with a reason of a node;
   ERROR: other error status; CLOSED: the connection closed before the answer.
   X (symbol, name) */
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

/* Whether the backend server ran the request, as known to the caller.  */
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
  gsl_histogram *latency_us; /* of calls with LOAD_WHOLE */
  clk_us latency_max;
};

/* Number of failed calls with the same reason and run state.  */
struct load_reason_count
{
  struct list_node node;
  char name[LOAD_REASON_BYTES];
  enum load_run_state run_state;
  uint64_t count;
};

void load_stat_init (struct load_stat *stat);
void load_stat_free (struct load_stat *stat);
/* Counts a call that has ended; the latency counts with LOAD_WHOLE only.  */
void load_stat_add_call (struct load_stat *stat, enum load_outcome outcome,
                         clk_us latency);
/* Adds the counts and latencies of FROM to those of TO.  */
void load_stat_merge (struct load_stat *to, const struct load_stat *from);

/* Increments the count of a reason in the list REASONS.  */
void load_stat_count_reason (struct list *reasons, const char *name,
                             enum load_run_state run);
void load_stat_free_reasons (struct list *reasons);

/**
 * load_stat_quantile() - estimate a quantile of a histogram
 * @histogram: the samples
 * @fraction: 0 … 1, such as 0.99 for the 99th percentile
 *
 * Return: the upper bound of the bin that holds the quantile, in the unit of
 * the histogram; 0 without samples.
 */
double load_stat_quantile (const gsl_histogram *histogram, double fraction);

const char *load_stat_outcome_name (enum load_outcome outcome);
const char *load_stat_run_state_name (enum load_run_state run);

#endif
