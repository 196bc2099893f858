#ifndef CORE_HIST_H
#define CORE_HIST_H

/**
 * DOC: hist - latency histograms with exponential buckets, for metrics
 *
 * One set for each process; any thread may add.  The upper bound of the first
 * bucket is 0.25 ms and doubles with each bucket.
 */

#include <stdint.h>

#include "core/clk.h"

#define HIST_BUCKETS 18u

/* X (symbol, metric name, help text) */
#define HIST_TABLE(X)                                                         \
  X (CALL, "rudder_call_seconds", "Whole requests at the node of arrival")    \
  X (QUEUE, "rudder_queue_seconds", "Wait for a slot of the backend server")  \
  X (ATTEMPT, "rudder_attempt_seconds", "Attempts, to the first byte")        \
  X (RUN, "rudder_run_seconds", "Runs at the own backend server")             \
  X (COMMIT, "rudder_commit_seconds", "Proposals to the replicated log")      \
  X (SYNC, "rudder_sync_seconds", "Syncs of the store")

enum hist_id
{
#define HIST_X(symbol, name, help) HIST_##symbol,
  HIST_TABLE (HIST_X)
#undef HIST_X
      HIST_COUNT
};

/* Values of one histogram; the buckets are not cumulative.  Values above the
   last bound are in @count and @sum_us only.  */
struct hist_snapshot
{
  uint64_t buckets[HIST_BUCKETS];
  uint64_t count;
  uint64_t sum_us;
};

/* Adds one observed latency.  */
void hist_add (enum hist_id id, clk_us latency);

/* Returns the inclusive upper bound of a bucket in microseconds.  */
double hist_bound_us (uint32_t bucket);

/* Calls VISIT for each histogram, with ARG, metric name, help text and
   values.  */
void hist_each (void (*visit) (void *arg, const char *name, const char *help,
                               const struct hist_snapshot *snapshot),
                void *arg);

#endif
