#include "bench/mea.h"

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

struct mea_overload
mea_overload_run (const struct wld_opts *opts)
{
  struct wld_result result;
  struct mea_overload figures;

  wld_run (opts, &result);
  figures.goodput = 100 * sta_rate (&result.good, opts->warm, opts->length)
                    / result.capacity;
  figures.most_important
      = 100.0 * (double)result.kind[0].good / (double)result.kind[0].offered;
  wld_result_free (&result);
  return figures;
}

void
mea_overload (struct tab *tab, uint64_t seed)
{
  static const double loads[] = { 1, 1.5, 2, 4 };

  for (int i = 0; i < 4; i++)
    {
      char name[2][48];
      bool goal = loads[i] >= 4;
      struct tab_row all
          = { .measure = name[0], .unit = "% of capacity", .bound = 95 };
      struct tab_row most
          = { .measure = name[1], .unit = "% answered", .bound = 99 };

      snprintf (name[0], sizeof name[0], "goodput at %.1f x", loads[i]);
      snprintf (name[1], sizeof name[1], "most important at %.1f x", loads[i]);
      all.kind = most.kind = goal ? TAB_AT_LEAST : TAB_NO_BOUND;
      all.source = most.source = goal ? "goal at 4 x, docs/design.md" : "";
      for (int control = WLD_NONE; control <= WLD_OURS; control++)
        {
          struct wld_opts opts = mea_orders ((enum wld_control)control, seed);
          struct mea_overload figures;

          opts.load = loads[i];
          figures = mea_overload_run (&opts);
          all.figures[control] = figures.goodput;
          most.figures[control] = figures.most_important;
        }
      tab_add (tab, &all);
      tab_add (tab, &most);
    }
}

/* Whether goodput is at least LEAST calls per second from AT on.  */
static bool
goodput_back (const struct sta_bins *good, clk_us at, double least)
{
  for (int step = 0; step < RECOVERY_STEPS; step++, at += RECOVERY_STEP)
    if (sta_rate (good, at, at + RECOVERY_STEP) < least)
      return false;
  return true;
}

double
mea_recovery_run (const struct wld_opts *base)
{
  struct wld_opts opts = *base;
  struct wld_result result;
  clk_us end;
  clk_us at;
  double before;

  opts.load = 0.8;
  opts.resends = RECOVERY_RESENDS;
  opts.resend_after = RECOVERY_RESEND_AFTER;
  opts.stall_at = clk_s (5);
  opts.stall = clk_s (10);
  opts.length = clk_s (25);
  end = opts.stall_at + opts.stall;
  wld_run (&opts, &result);
  before = sta_rate (&result.good, clk_s (2), opts.stall_at);
  at = end;
  while (at + RECOVERY_STEPS * RECOVERY_STEP < opts.length
         && !goodput_back (&result.good, at, RECOVERY_SHARE * before))
    at += STA_BIN_US;
  wld_result_free (&result);
  return (double)(at - end) / CLK_US_PER_S;
}

void
mea_recovery (struct tab *tab, uint64_t seed)
{
  struct tab_row row = { .measure = "recovery after a 10 s stall",
                         .unit = "s",
                         .kind = TAB_AT_MOST,
                         .bound = 2,
                         .source = "goal, docs/design.md" };

  for (int control = WLD_NONE; control <= WLD_OURS; control++)
    {
      struct wld_opts opts = mea_orders ((enum wld_control)control, seed);

      row.figures[control] = mea_recovery_run (&opts);
    }
  tab_add (tab, &row);
}

double
mea_swing_run (const struct wld_opts *base)
{
  struct wld_opts opts = *base;
  struct wld_result result;
  clk_us crest;
  double rate;

  opts.load = 0.5;
  opts.crest = 2.5;
  opts.ramp_at = clk_s (5);
  opts.ramp = clk_s (2);
  opts.length = clk_s (10);
  crest = opts.ramp_at + opts.ramp;
  wld_run (&opts, &result);
  rate = sta_rate (&result.good, crest, crest + clk_s (2));
  wld_result_free (&result);
  return 100 * rate / result.capacity;
}

void
mea_swing (struct tab *tab, uint64_t seed)
{
  struct tab_row row = { .measure = "goodput at the crest of a 5-fold swing",
                         .unit = "%",
                         .kind = TAB_AT_LEAST,
                         .bound = 95,
                         .source = "goal for overload, docs/design.md" };

  for (int control = WLD_NONE; control <= WLD_OURS; control++)
    {
      struct wld_opts opts = mea_orders ((enum wld_control)control, seed);

      row.figures[control] = mea_swing_run (&opts);
    }
  tab_add (tab, &row);
}
