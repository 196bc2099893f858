#include "bench/mea.h"

/* Short work alone uses this part of the capacity.  */
#define BLOCKING_SHORT_LOAD 0.5
/* Long work is offered as this part of the capacity beside it.  */
#define BLOCKING_LONG_LOAD 0.6
#define BLOCKING_LONG_FACTOR 30.0
#define BLOCKING_LONG_TIMEOUT clk_s (10)

static double
p99_ms (struct sta_samples *samples)
{
  return sta_quantile (samples, 0.99) / CLK_US_PER_MS;
}

/* Adds long work to short work.  */
static void
blocking_add_long (struct wld_opts *opts)
{
  double calls_short = BLOCKING_SHORT_LOAD;
  double calls_long = BLOCKING_LONG_LOAD / BLOCKING_LONG_FACTOR;
  double calls = calls_short + calls_long;

  opts->kinds = 2;
  opts->kind[1] = opts->kind[0];
  opts->kind[1].cost = MDL_LONG;
  opts->kind[1].mean_us *= BLOCKING_LONG_FACTOR;
  opts->kind[1].timeout = BLOCKING_LONG_TIMEOUT;
  opts->kind[0].share = calls_short / calls;
  opts->kind[1].share = calls_long / calls;
  opts->load = BLOCKING_SHORT_LOAD + BLOCKING_LONG_LOAD;
}

struct mea_blocking
mea_blocking_run (const struct wld_opts *base)
{
  struct wld_opts opts = *base;
  struct wld_result result;
  struct mea_blocking figures;

  opts.load = BLOCKING_SHORT_LOAD;
  wld_run (&opts, &result);
  figures.alone = p99_ms (&result.kind[0].latency);
  figures.queued_alone = p99_ms (&result.kind[0].wait);
  wld_result_free (&result);
  blocking_add_long (&opts);
  wld_run (&opts, &result);
  figures.beside = p99_ms (&result.kind[0].latency);
  figures.queued_beside = p99_ms (&result.kind[0].wait);
  wld_result_free (&result);
  return figures;
}

void
mea_blocking (struct tab *tab, uint64_t seed)
{
  struct tab_row alone
      = { .measure = "p99 wait of short work alone", .unit = "ms" };
  struct tab_row beside
      = { .measure = "p99 wait of short beside long", .unit = "ms" };
  struct tab_row queued_alone
      = { .measure = "  of this queued or slowed, alone", .unit = "ms" };
  struct tab_row queued_beside
      = { .measure = "  of this queued or slowed, beside", .unit = "ms" };
  struct tab_row ratio = { .measure = "p99 wait of short, beside long / alone",
                           .unit = "x",
                           .kind = TAB_AT_MOST,
                           .bound = 1.5,
                           .source = "goal, docs/design.md" };

  for (int control = WLD_NONE; control <= WLD_OURS; control++)
    {
      struct wld_opts opts = mea_search ((enum wld_control)control, seed);
      struct mea_blocking figures = mea_blocking_run (&opts);

      alone.figures[control] = figures.alone;
      beside.figures[control] = figures.beside;
      queued_alone.figures[control] = figures.queued_alone;
      queued_beside.figures[control] = figures.queued_beside;
      ratio.figures[control] = figures.beside / figures.alone;
    }
  alone.source = beside.source = "";
  queued_alone.source = queued_beside.source = "";
  tab_add (tab, &alone);
  tab_add (tab, &queued_alone);
  tab_add (tab, &beside);
  tab_add (tab, &queued_beside);
  tab_add (tab, &ratio);
}

struct mea_straggler
mea_straggler_run (const struct wld_opts *base)
{
  struct wld_opts opts = *base;
  struct wld_result result;
  struct mea_straggler figures;

  wld_run (&opts, &result);
  figures.without = p99_ms (&result.kind[0].latency);
  wld_result_free (&result);
  opts.slow_at = opts.warm;
  opts.slow = opts.length - opts.warm;
  opts.slow_factor = 5;
  wld_run (&opts, &result);
  figures.with = p99_ms (&result.kind[0].latency);
  wld_result_free (&result);
  return figures;
}

void
mea_straggler (struct tab *tab, uint64_t seed)
{
  struct tab_row without
      = { .measure = "p99 latency, all servers well", .unit = "ms" };
  struct tab_row with
      = { .measure = "p99 latency, 1 of 4 is 5 x slower", .unit = "ms" };
  struct tab_row ratio = { .measure = "p99 latency with / without straggler",
                           .unit = "x",
                           .kind = TAB_AT_MOST,
                           .bound = 1.3,
                           .source = "goal, docs/design.md" };

  for (int control = WLD_NONE; control <= WLD_OURS; control++)
    {
      struct wld_opts opts = mea_search ((enum wld_control)control, seed);
      struct mea_straggler figures = mea_straggler_run (&opts);

      without.figures[control] = figures.without;
      with.figures[control] = figures.with;
      ratio.figures[control] = figures.with / figures.without;
    }
  without.source = with.source = "";
  tab_add (tab, &without);
  tab_add (tab, &with);
  tab_add (tab, &ratio);
}
