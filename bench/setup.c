#include "bench/measure.h"

/* The declared slots exceed the capacity of the servers by a third, because
   the declared value is seldom measured.  */
#define SETUP_ORDERS_SLOTS 120u
#define SETUP_ORDERS_CAPACITY 90u
#define SETUP_ORDERS_CONNECTIONS 840u
#define SETUP_SEARCH_SLOTS 35u
#define SETUP_SEARCH_CAPACITY 26u
#define SETUP_SEARCH_CONNECTIONS 320u
#define SETUP_QUEUE_PER_SLOT 2u
#define SETUP_LONG_PERCENT 25u

static struct world_opts
setup_common (enum world_control control, uint32_t slots, uint64_t seed)
{
  return (struct world_opts){
    .control = control,
    .choice
    = control == WORLD_ADAPTIVE ? WORLD_CHOICE_LB : WORLD_CHOICE_RANDOM,
    .admission = { .slots = slots,
                   .queue_max = slots * SETUP_QUEUE_PER_SLOT,
                   .long_slots_percent = SETUP_LONG_PERCENT },
    .servers = 4,
    .hedge = control == WORLD_ADAPTIVE,
    .seed = seed,
    .load = 0.5,
    .warmup = clk_s (5),
    .duration = clk_s (15),
  };
}

struct world_opts
measure_orders_opts (enum world_control control, uint64_t seed)
{
  struct world_opts opts = setup_common (control, SETUP_ORDERS_SLOTS, seed);

  opts.capacity = SETUP_ORDERS_CAPACITY;
  opts.connections = SETUP_ORDERS_CONNECTIONS;
  opts.hop_delay = 1500;
  opts.kinds = 3;
  opts.kind[0] = (struct world_kind){ .share = 0.15,
                                      .importance = 90,
                                      .mean_service_time_us = 100000,
                                      .timeout = clk_s (1) };
  opts.kind[1] = (struct world_kind){ .share = 0.25,
                                      .importance = 50,
                                      .mean_service_time_us = 100000,
                                      .timeout = clk_s (1),
                                      .idempotent = true };
  opts.kind[2] = (struct world_kind){ .share = 0.6,
                                      .importance = 20,
                                      .mean_service_time_us = 100000,
                                      .timeout = clk_s (1),
                                      .idempotent = true };
  return opts;
}

struct world_opts
measure_search_opts (enum world_control control, uint64_t seed)
{
  struct world_opts opts = setup_common (control, SETUP_SEARCH_SLOTS, seed);

  opts.capacity = SETUP_SEARCH_CAPACITY;
  opts.connections = SETUP_SEARCH_CONNECTIONS;
  opts.hop_delay = 1000;
  opts.kinds = 1;
  opts.kind[0] = (struct world_kind){ .share = 1,
                                      .importance = 50,
                                      .mean_service_time_us = 20000,
                                      .timeout = clk_s (1),
                                      .idempotent = true };
  return opts;
}
