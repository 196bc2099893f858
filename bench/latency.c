#include "bench/measure.h"

/* Load of short requests, as a fraction of the capacity.  */
#define BLOCKING_SHORT_LOAD 0.5
/* Load of long requests that is added to it, as a fraction of the capacity. */
#define BLOCKING_LONG_LOAD 0.6
#define BLOCKING_LONG_FACTOR 30.0
#define BLOCKING_LONG_TIMEOUT clk_s (10)

static double
p99_ms (struct stats_samples *samples)
{
  return stats_quantile (samples, 0.99) / CLK_US_PER_MS;
}

/* Adds long requests to the short ones.  */
static void
blocking_add_long (struct world_opts *opts)
{
  double calls_short = BLOCKING_SHORT_LOAD;
  double calls_long = BLOCKING_LONG_LOAD / BLOCKING_LONG_FACTOR;
  double calls = calls_short + calls_long;

  opts->kinds = 2;
  opts->kind[1] = opts->kind[0];
  opts->kind[1].cost = MODEL_COST_LONG;
  opts->kind[1].mean_service_time_us *= BLOCKING_LONG_FACTOR;
  opts->kind[1].timeout = BLOCKING_LONG_TIMEOUT;
  opts->kind[0].share = calls_short / calls;
  opts->kind[1].share = calls_long / calls;
  opts->load = BLOCKING_SHORT_LOAD + BLOCKING_LONG_LOAD;
}

struct measure_blocking
measure_blocking_run (const struct world_opts *base)
{
  struct world_opts opts = *base;
  struct world_result result;
  struct measure_blocking figures;

  opts.load = BLOCKING_SHORT_LOAD;
  world_run (&opts, &result);
  figures.alone_ms = p99_ms (&result.kind[0].latency);
  figures.alone_delay_ms = p99_ms (&result.kind[0].server_delay);
  world_result_free (&result);
  blocking_add_long (&opts);
  world_run (&opts, &result);
  figures.mixed_ms = p99_ms (&result.kind[0].latency);
  figures.mixed_delay_ms = p99_ms (&result.kind[0].server_delay);
  world_result_free (&result);
  return figures;
}

void
measure_blocking (struct table *table, uint64_t seed)
{
  struct table_row alone
      = { .name = "p99 latency of short requests, alone", .unit = "ms" };
  struct table_row mixed
      = { .name = "p99 latency of short requests, with long", .unit = "ms" };
  struct table_row alone_delay
      = { .name = "p99 server delay of short, alone", .unit = "ms" };
  struct table_row mixed_delay
      = { .name = "p99 server delay of short, with long", .unit = "ms" };
  struct table_row ratio = { .name = "p99 latency of short, with long / alone",
                             .unit = "x",
                             .bound_kind = TABLE_MAXIMUM,
                             .bound = 1.5,
                             .source = "goal, docs/design.md" };

  for (int control = WORLD_NONE; control <= WORLD_ADAPTIVE; control++)
    {
      struct world_opts opts
          = measure_search_opts ((enum world_control)control, seed);
      struct measure_blocking figures = measure_blocking_run (&opts);

      alone.figures[control] = figures.alone_ms;
      mixed.figures[control] = figures.mixed_ms;
      alone_delay.figures[control] = figures.alone_delay_ms;
      mixed_delay.figures[control] = figures.mixed_delay_ms;
      ratio.figures[control] = figures.mixed_ms / figures.alone_ms;
    }
  alone.source = mixed.source = "";
  alone_delay.source = mixed_delay.source = "";
  table_add_row (table, &alone);
  table_add_row (table, &alone_delay);
  table_add_row (table, &mixed);
  table_add_row (table, &mixed_delay);
  table_add_row (table, &ratio);
}

struct measure_straggler
measure_straggler_run (const struct world_opts *base)
{
  struct world_opts opts = *base;
  struct world_result result;
  struct measure_straggler figures;

  world_run (&opts, &result);
  figures.healthy_ms = p99_ms (&result.kind[0].latency);
  world_result_free (&result);
  opts.slow_start = opts.warmup;
  opts.slow_duration = opts.duration - opts.warmup;
  opts.slow_factor = 5;
  world_run (&opts, &result);
  figures.straggler_ms = p99_ms (&result.kind[0].latency);
  world_result_free (&result);
  return figures;
}

void
measure_straggler (struct table *table, uint64_t seed)
{
  struct table_row healthy
      = { .name = "p99 latency, all servers healthy", .unit = "ms" };
  struct table_row straggler
      = { .name = "p99 latency, 1 of 4 is 5 x slower", .unit = "ms" };
  struct table_row ratio = { .name = "p99 latency with / without straggler",
                             .unit = "x",
                             .bound_kind = TABLE_MAXIMUM,
                             .bound = 1.3,
                             .source = "goal, docs/design.md" };

  for (int control = WORLD_NONE; control <= WORLD_ADAPTIVE; control++)
    {
      struct world_opts opts
          = measure_search_opts ((enum world_control)control, seed);
      struct measure_straggler figures = measure_straggler_run (&opts);

      healthy.figures[control] = figures.healthy_ms;
      straggler.figures[control] = figures.straggler_ms;
      ratio.figures[control] = figures.straggler_ms / figures.healthy_ms;
    }
  healthy.source = straggler.source = "";
  table_add_row (table, &healthy);
  table_add_row (table, &straggler);
  table_add_row (table, &ratio);
}
