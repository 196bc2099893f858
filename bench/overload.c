#include "bench/measure.h"

#include <stdbool.h>
#include <stdio.h>

/* Goodput has recovered when it is at least this fraction of that before the
   stall in each of RECOVERY_STEPS consecutive steps.  */
#define RECOVERY_STEP clk_ms (250)
#define RECOVERY_STEPS 4
#define RECOVERY_FRACTION 0.95
/* A caller that retries aggressively: with a short delay, and for longer than
   the stall.  */
#define RECOVERY_RESENDS 100u
#define RECOVERY_RESEND_DELAY clk_ms (200)

struct measure_overload
measure_overload_run (const struct world_opts *opts)
{
  struct world_result result;
  struct measure_overload figures;

  world_run (opts, &result);
  figures.goodput
      = 100 * stats_rate (&result.goodput, opts->warmup, opts->duration)
        / result.capacity;
  figures.most_important_answered
      = 100.0 * (double)result.kind[0].good / (double)result.kind[0].offered;
  world_result_free (&result);
  return figures;
}

void
measure_overload (struct table *table, uint64_t seed)
{
  static const double loads[] = { 1, 1.5, 2, 4 };

  for (int i = 0; i < 4; i++)
    {
      char name[2][48];
      bool has_bound = loads[i] >= 4;
      struct table_row all
          = { .name = name[0], .unit = "% of capacity", .bound = 95 };
      struct table_row important
          = { .name = name[1], .unit = "% answered", .bound = 99 };

      snprintf (name[0], sizeof name[0], "goodput at %.1f x", loads[i]);
      snprintf (name[1], sizeof name[1], "most important at %.1f x", loads[i]);
      all.bound_kind = important.bound_kind
          = has_bound ? TABLE_MINIMUM : TABLE_NO_BOUND;
      all.source = important.source
          = has_bound ? "goal at 4 x, docs/design.md" : "";
      for (int control = WORLD_NONE; control <= WORLD_ADAPTIVE; control++)
        {
          struct world_opts opts
              = measure_orders_opts ((enum world_control)control, seed);
          struct measure_overload figures;

          opts.load = loads[i];
          figures = measure_overload_run (&opts);
          all.figures[control] = figures.goodput;
          important.figures[control] = figures.most_important_answered;
        }
      table_add_row (table, &all);
      table_add_row (table, &important);
    }
}

/* Whether goodput is at least MIN_RATE calls per second in each step from AT
   on.  */
static bool
goodput_recovered (const struct stats_bins *goodput, clk_us at,
                   double min_rate)
{
  for (int step = 0; step < RECOVERY_STEPS; step++, at += RECOVERY_STEP)
    if (stats_rate (goodput, at, at + RECOVERY_STEP) < min_rate)
      return false;
  return true;
}

double
measure_recovery_run (const struct world_opts *base)
{
  struct world_opts opts = *base;
  struct world_result result;
  clk_us stall_end;
  clk_us recovered_at;
  double rate_before;

  opts.load = 0.8;
  opts.resends = RECOVERY_RESENDS;
  opts.resend_delay = RECOVERY_RESEND_DELAY;
  opts.stall_start = clk_s (5);
  opts.stall_duration = clk_s (10);
  opts.duration = clk_s (25);
  stall_end = opts.stall_start + opts.stall_duration;
  world_run (&opts, &result);
  rate_before = stats_rate (&result.goodput, clk_s (2), opts.stall_start);
  recovered_at = stall_end;
  while (recovered_at + RECOVERY_STEPS * RECOVERY_STEP < opts.duration
         && !goodput_recovered (&result.goodput, recovered_at,
                                RECOVERY_FRACTION * rate_before))
    recovered_at += STATS_BIN_US;
  world_result_free (&result);
  return (double)(recovered_at - stall_end) / CLK_US_PER_S;
}

void
measure_recovery (struct table *table, uint64_t seed)
{
  struct table_row row = { .name = "recovery after a 10 s stall",
                           .unit = "s",
                           .bound_kind = TABLE_MAXIMUM,
                           .bound = 2,
                           .source = "goal, docs/design.md" };

  for (int control = WORLD_NONE; control <= WORLD_ADAPTIVE; control++)
    {
      struct world_opts opts
          = measure_orders_opts ((enum world_control)control, seed);

      row.figures[control] = measure_recovery_run (&opts);
    }
  table_add_row (table, &row);
}

double
measure_swing_run (const struct world_opts *base)
{
  struct world_opts opts = *base;
  struct world_result result;
  clk_us peak_start;
  double rate;

  opts.load = 0.5;
  opts.peak_load = 2.5;
  opts.ramp_start = clk_s (5);
  opts.ramp_duration = clk_s (2);
  opts.duration = clk_s (10);
  peak_start = opts.ramp_start + opts.ramp_duration;
  world_run (&opts, &result);
  rate = stats_rate (&result.goodput, peak_start, peak_start + clk_s (2));
  world_result_free (&result);
  return 100 * rate / result.capacity;
}

void
measure_swing (struct table *table, uint64_t seed)
{
  struct table_row row = { .name = "goodput at the peak of a 5-fold ramp",
                           .unit = "%",
                           .bound_kind = TABLE_MINIMUM,
                           .bound = 95,
                           .source = "goal for overload, docs/design.md" };

  for (int control = WORLD_NONE; control <= WORLD_ADAPTIVE; control++)
    {
      struct world_opts opts
          = measure_orders_opts ((enum world_control)control, seed);

      row.figures[control] = measure_swing_run (&opts);
    }
  table_add_row (table, &row);
}
