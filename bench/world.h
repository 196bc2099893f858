#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

/**
 * DOC: world - one service with its callers, entry nodes and servers
 *
 * Drives the controllers slots, lb and retry in virtual time, or one of the
 * two baselines.  All figures depend on the options and the seed alone.
 */

#include "bench/fake.h"
#include "bench/stats.h"
#include "controllers/slots.h"
#include "controllers/lb.h"
#include "controllers/retry.h"
#include "core/rng.h"

#define WORLD_SERVERS_MAX 8u
#define WORLD_ENTRIES 4u
#define WORLD_KINDS 4u

enum world_control
{
  WORLD_NONE,  /* servers run all they get; callers only resend */
  WORLD_FIXED, /* fixed limit, one FIFO queue, two retries a hop */
  WORLD_ADAPTIVE,
};

/* Way to choose a server, to compare.  */
enum world_choice
{
  WORLD_CHOICE_LB,
  WORLD_CHOICE_RANDOM,
  WORLD_CHOICE_LEAST_REQUESTS, /* least in flight of all */
  WORLD_CHOICE_TWO_RANDOM,     /* two choices on requests in flight alone */
};

struct world_kind
{
  double share; /* of the calls */
  uint8_t importance;
  enum model_cost cost;
  double mean_us; /* service time on an idle server */
  clk_us timeout;
  bool idempotent;
};

struct world_opts
{
  enum world_control control;
  enum world_choice choice;
  struct slots_opts admission;
  uint32_t servers;
  uint32_t capacity;    /* requests that one server runs at full speed */
  uint32_t connections; /* that one server accepts */
  clk_us hop_delay;     /* one-way delay from entry to server */
  uint32_t kinds;
  struct world_kind kind[WORLD_KINDS];
  double load;      /* calls, as a multiple of the capacity */
  double peak_load; /* load after the ramp, 0 for a steady load */
  clk_us ramp_start;
  clk_us ramp_duration;
  uint32_t resends;    /* of a caller whose call failed */
  clk_us resend_delay; /* delay before each */
  clk_us stall_start;  /* all servers; 0 for none */
  clk_us stall_duration;
  clk_us slow_start; /* server 0; 0 for none */
  clk_us slow_duration;
  double slow_factor;
  bool hedge;
  uint32_t caller_share_percent; /* see cap.h; kinds stand for callers */
  uint64_t seed;
  clk_us warmup; /* samples and shares count from here */
  clk_us duration;
};

/* Results for one kind.  */
struct world_result_kind
{
  uint64_t offered; /* calls after the warm time whose fate is known */
  uint64_t good;    /* of these, answered before the deadline */
  struct stats_samples latency;
  struct stats_samples server_delay; /* in the queue of the server */
};

struct world_result
{
  double capacity; /* calls per second */
  struct stats_bins goodput;
  uint64_t attempts;
  uint64_t calls;
  uint64_t first_attempts;
  struct world_result_kind kind[WORLD_KINDS];
};

/* Runs a world; RESULT is freed with world_result_free().  */
void world_run (const struct world_opts *opts, struct world_result *result);
void world_result_free (struct world_result *result);

/* Calls per second that the servers can answer.  */
double world_capacity (const struct world_opts *opts);

#endif
