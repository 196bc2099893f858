#include "bench/measure.h"

#include <stdbool.h>
#include <stdio.h>

/* Goodput is back when it is above this share in each of some steps in a row.
 */
#define RECOVERY_STEP clk_ms (250)
#define RECOVERY_STEPS 4
#define RECOVERY_SHARE 0.95
/* Resends of a caller that retries hard: as often as the delay allows, for
   longer than the stall.  */
#define RECOVERY_RESENDS 100u
#define RECOVERY_RESEND_AFTER clk_ms (200)

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
      bool goal = loads[i] >= 4;
      struct table_row all
          = { .name = name[0], .unit = "% of capacity", .bound = 95 };
      struct table_row most
          = { .name = name[1], .unit = "% answered", .bound = 99 };

      snprintf (name[0], sizeof name[0], "goodput at %.1f x", loads[i]);
      snprintf (name[1], sizeof name[1], "most important at %.1f x", loads[i]);
      all.bound_kind = most.bound_kind = goal ? TABLE_MINIMUM : TABLE_NO_BOUND;
      all.source = most.source = goal ? "goal at 4 x, docs/design.md" : "";
      for (int control = WORLD_NONE; control <= WORLD_ADAPTIVE; control++)
        {
          struct world_opts opts
              = measure_orders_opts ((enum world_control)control, seed);
          struct measure_overload figures;

          opts.load = loads[i];
          figures = measure_overload_run (&opts);
          all.figures[control] = figures.goodput;
          most.figures[control] = figures.most_important_answered;
        }
      table_add_row (table, &all);
      table_add_row (table, &most);
    }
}

/* Whether goodput is at least LEAST calls per second from AT on.  */
static bool
goodput_recovered (const struct stats_bins *good, clk_us at, double least)
{
  for (int step = 0; step < RECOVERY_STEPS; step++, at += RECOVERY_STEP)
    if (stats_rate (good, at, at + RECOVERY_STEP) < least)
      return false;
  return true;
}

double
measure_recovery_run (const struct world_opts *base)
{
  struct world_opts opts = *base;
  struct world_result result;
  clk_us end;
  clk_us at;
  double before;

  opts.load = 0.8;
  opts.resends = RECOVERY_RESENDS;
  opts.resend_delay = RECOVERY_RESEND_AFTER;
  opts.stall_start = clk_s (5);
  opts.stall_duration = clk_s (10);
  opts.duration = clk_s (25);
  end = opts.stall_start + opts.stall_duration;
  world_run (&opts, &result);
  before = stats_rate (&result.goodput, clk_s (2), opts.stall_start);
  at = end;
  while (at + RECOVERY_STEPS * RECOVERY_STEP < opts.duration
         && !goodput_recovered (&result.goodput, at, RECOVERY_SHARE * before))
    at += STATS_BIN_US;
  world_result_free (&result);
  return (double)(at - end) / CLK_US_PER_S;
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
  clk_us crest;
  double rate;

  opts.load = 0.5;
  opts.peak_load = 2.5;
  opts.ramp_start = clk_s (5);
  opts.ramp_duration = clk_s (2);
  opts.duration = clk_s (10);
  crest = opts.ramp_start + opts.ramp_duration;
  world_run (&opts, &result);
  rate = stats_rate (&result.goodput, crest, crest + clk_s (2));
  world_result_free (&result);
  return 100 * rate / result.capacity;
}

void
measure_swing (struct table *table, uint64_t seed)
{
  struct table_row row = { .name = "goodput at the crest of a 5-fold swing",
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
