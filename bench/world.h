#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

/**
 * DOC: world - simulation of one service with callers, entry nodes and servers
 *
 * Runs the controllers slots, lb and retry, or one of two baselines, in
 * virtual time.  The results depend only on the options, which include the
 * seed.
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
  WORLD_NONE,     /* no limit but the connections; only callers retry */
  WORLD_FIXED,    /* fixed limit, one FIFO queue, two retries per hop */
  WORLD_ADAPTIVE, /* the controllers of this project */
};

/* Load balancing policy.  */
enum world_choice
{
  WORLD_CHOICE_LB, /* controllers/lb.h */
  WORLD_CHOICE_RANDOM,
  WORLD_CHOICE_LEAST_REQUESTS, /* fewest in flight of all servers */
  WORLD_CHOICE_TWO_RANDOM,     /* fewer in flight of two random servers */
};

/* A kind of request.  */
struct world_kind
{
  double share; /* fraction of the calls */
  uint8_t importance;
  enum model_cost cost;
  double mean_service_time_us; /* on an idle server */
  clk_us timeout;
  bool idempotent;
};

struct world_opts
{
  enum world_control control;
  enum world_choice choice;
  struct slots_opts admission;
  uint32_t servers;     /* number of backend servers */
  uint32_t capacity;    /* requests that one server runs at full speed */
  uint32_t connections; /* accepted by one server */
  clk_us hop_delay;     /* one-way delay between entry node and server */
  uint32_t kinds;       /* number of entries of KIND */
  struct world_kind kind[WORLD_KINDS];
  double load;      /* offered calls, as a multiple of the capacity */
  double peak_load; /* load after a linear ramp; 0: constant load */
  clk_us ramp_start;
  clk_us ramp_duration;
  uint32_t resends;    /* times that a caller sends a failed call again */
  clk_us resend_delay; /* before each of them */
  clk_us stall_start;  /* of all servers; 0: no stall */
  clk_us stall_duration;
  clk_us slow_start; /* of server 0; 0: not slow */
  clk_us slow_duration;
  double slow_factor;
  bool hedge;
  uint32_t caller_share_percent; /* see controllers/share.h; each kind is a
                                    caller */
  uint64_t seed;
  clk_us warmup;   /* samples are recorded from this time on */
  clk_us duration; /* of the simulation */
};

/* Results for one kind.  */
struct world_result_kind
{
  uint64_t offered; /* calls after the warm-up that have ended */
  uint64_t good;    /* of these, with a response before the deadline */
  struct stats_samples latency;
  struct stats_samples server_delay; /* time there minus service time */
};

struct world_result
{
  double capacity;           /* calls per second */
  struct stats_bins goodput; /* calls that got a response */
  uint64_t attempts;
  uint64_t calls;
  uint64_t first_attempts;
  struct world_result_kind kind[WORLD_KINDS];
};

/* Runs a simulation; RESULT is to be freed with world_result_free().  */
void world_run (const struct world_opts *opts, struct world_result *result);
void world_result_free (struct world_result *result);

/* Maximum throughput of all servers in calls per second.  */
double world_capacity (const struct world_opts *opts);

#endif
