#ifndef BENCH_WLD_H
#define BENCH_WLD_H

/**
 * DOC: wld - one service with its callers, entry nodes and servers
 *
 * Drives the controllers adm, chs and rty in virtual time, or one of the two
 * baselines.  All figures depend on the options and the seed alone.
 */

#include "bench/fake.h"
#include "bench/sta.h"
#include "controllers/adm.h"
#include "controllers/chs.h"
#include "controllers/rty.h"
#include "core/rng.h"

#define WLD_SERVERS_MAX 8u
#define WLD_ENTRIES 4u
#define WLD_KINDS 4u

enum wld_control
{
  WLD_NONE,  /* servers run all they get; callers only resend */
  WLD_FIXED, /* fixed limit, one FIFO queue, two retries a hop */
  WLD_OURS,
};

/* Way to choose a server, to compare.  */
enum wld_choice
{
  WLD_CHOICE_CHS,
  WLD_CHOICE_RANDOM,
  WLD_CHOICE_LEAST,     /* least in flight of all */
  WLD_CHOICE_TWO_LOADS, /* two choices on requests in flight alone */
};

struct wld_kind
{
  double share; /* of the calls */
  uint8_t importance;
  enum mdl_cost cost;
  double mean_us; /* service time on an idle server */
  clk_us timeout;
  bool idempotent;
};

struct wld_opts
{
  enum wld_control control;
  enum wld_choice choice;
  struct adm_opts admission;
  uint32_t servers;
  uint32_t capacity;    /* requests that one server runs at full speed */
  uint32_t connections; /* that one server accepts */
  clk_us hop;           /* one-way delay from entry to server */
  uint32_t kinds;
  struct wld_kind kind[WLD_KINDS];
  double load;  /* calls, as a multiple of the capacity */
  double crest; /* load after the ramp, 0 for a steady load */
  clk_us ramp_at;
  clk_us ramp;
  uint32_t resends;    /* of a caller whose call failed */
  clk_us resend_after; /* delay before each */
  clk_us stall_at;     /* all servers; 0 for none */
  clk_us stall;
  clk_us slow_at; /* server 0; 0 for none */
  clk_us slow;
  double slow_factor;
  bool hedge;
  uint32_t cap_percent; /* see cap.h; kinds stand for callers */
  uint64_t seed;
  clk_us warm; /* samples and shares count from here */
  clk_us length;
};

/* Results for one kind.  */
struct wld_result_kind
{
  uint64_t offered; /* calls after the warm time whose fate is known */
  uint64_t good;    /* of these, answered before the deadline */
  struct sta_samples latency;
  struct sta_samples wait; /* in the queue of the server */
};

struct wld_result
{
  double capacity; /* calls per second */
  struct sta_bins good;
  uint64_t attempts;
  uint64_t calls;
  uint64_t first_attempts;
  struct wld_result_kind kind[WLD_KINDS];
};

/* Runs a world; RESULT is freed with wld_result_free().  */
void wld_run (const struct wld_opts *opts, struct wld_result *result);
void wld_result_free (struct wld_result *result);

/* Calls per second that the servers can answer.  */
double wld_capacity (const struct wld_opts *opts);

#endif
