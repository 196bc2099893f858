#include "programs/load_stat.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Logarithmic latency bins from 10 us to 100 s in steps of 1 %.  */
#define LOAD_STAT_FIRST_US 10.0
#define LOAD_STAT_STEP 1.01
#define LOAD_STAT_BINS 1620

static const char *const load_stat_outcome_names[LOAD_OUTCOME_COUNT] = {
#define LOAD_X(symbol, name) [LOAD_##symbol] = name,
  LOAD_OUTCOME_TABLE (LOAD_X)
#undef LOAD_X
};

const char *
load_stat_outcome_name (enum load_outcome outcome)
{
  INVARIANT (outcome < LOAD_OUTCOME_COUNT);
  return load_stat_outcome_names[outcome];
}

const char *
load_stat_run_state_name (enum load_run_state run)
{
  switch (run)
    {
    case LOAD_RAN:
      return "ran";
    case LOAD_NOT_RUN:
      return "not-run";
    case LOAD_RUN_UNKNOWN:
      break;
    }
  return "unknown";
}

void
load_stat_init (struct load_stat *stat)
{
  double ranges[LOAD_STAT_BINS + 1];

  memset (stat, 0, sizeof *stat);
  ranges[0] = 0;
  for (int i = 1; i <= LOAD_STAT_BINS; i++)
    ranges[i] = LOAD_STAT_FIRST_US * pow (LOAD_STAT_STEP, i - 1);
  stat->latency_us = gsl_histogram_alloc (LOAD_STAT_BINS);
  INVARIANT (stat->latency_us != NULL);
  gsl_histogram_set_ranges (stat->latency_us, ranges, LOAD_STAT_BINS + 1);
}

void
load_stat_free (struct load_stat *stat)
{
  gsl_histogram_free (stat->latency_us);
}

void
load_stat_add_call (struct load_stat *stat, enum load_outcome outcome,
                    clk_us latency)
{
  stat->calls++;
  stat->outcome_counts[outcome]++;
  if (outcome != LOAD_WHOLE)
    return;
  gsl_histogram_increment (stat->latency_us, (double)latency);
  if (latency > stat->latency_max)
    stat->latency_max = latency;
}

void
load_stat_merge (struct load_stat *to, const struct load_stat *from)
{
  to->calls += from->calls;
  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    to->outcome_counts[i] += from->outcome_counts[i];
  gsl_histogram_add (to->latency_us, from->latency_us);
  if (from->latency_max > to->latency_max)
    to->latency_max = from->latency_max;
}

void
load_stat_count_reason (struct list *reasons, const char *name,
                        enum load_run_state run)
{
  struct load_reason_count *reason;

  list_each (node, reasons)
    {
      reason = list_entry (node, struct load_reason_count, node);
      if (strcmp (reason->name, name) == 0 && reason->run_state == run)
        {
          reason->count++;
          return;
        }
    }
  reason = calloc (1, sizeof *reason);
  INVARIANT (reason != NULL);
  snprintf (reason->name, sizeof reason->name, "%s", name);
  reason->run_state = run;
  reason->count = 1;
  list_push_tail (reasons, &reason->node);
}

void
load_stat_free_reasons (struct list *reasons)
{
  list_each (node, reasons)
    {
      list_remove (node);
      free (list_entry (node, struct load_reason_count, node));
    }
}

double
load_stat_quantile (const gsl_histogram *histogram, double fraction)
{
  double rank = gsl_histogram_sum (histogram) * fraction;
  double cumulative = 0;
  double lower;
  double upper = 0;

  for (size_t i = 0; i < gsl_histogram_bins (histogram); i++)
    {
      cumulative += gsl_histogram_get (histogram, i);
      gsl_histogram_get_range (histogram, i, &lower, &upper);
      if (cumulative > 0 && cumulative >= rank)
        return upper;
    }
  return 0;
}
