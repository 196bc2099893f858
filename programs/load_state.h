#ifndef PROGRAMS_LOAD_STATE_H
#define PROGRAMS_LOAD_STATE_H

/**
 * DOC: load_state - internal state of the load generator
 */

#include <libwebsockets.h>
#include <stdio.h>

#include "core/clk.h"
#include "core/list.h"
#include "core/rng.h"
#include "programs/load_mix.h"
#include "programs/load_options.h"
#include "programs/load_stat.h"
#include "programs/tool_client.h"

#define LOAD_TRACEPARENT_BYTES 64
/* Offset of the trace id in a traceparent.  */
#define LOAD_TRACE_ID_OFFSET 3
#define LOAD_ATTEMPTS_MAX 32

/* Classified result of one attempt.  */
struct load_verdict
{
  enum load_outcome outcome;
  enum load_run_state run_state;
  int status; /* 0: no answer */
  union
  {
    char reason[LOAD_REASON_BYTES]; /* LOAD_REFUSED, LOAD_ERROR */
    const char *fault;              /* LOAD_WRONG */
  } u;
};

/* Route of a request.  With --direct a call is a pair of requests, one on each
   route, whose order is drawn for each pair.  */
enum load_route
{
  LOAD_ROUTE_VIA_NODES,
  LOAD_ROUTE_DIRECT,
};

struct load_state;

struct load_call
{
  struct list_node node;
  struct load_state *load;
  struct load_mix_entry *mix_entry;
  struct tool_answer_echo echo;
  char traceparent[LOAD_TRACEPARENT_BYTES];
  char attempt_id[LOAD_TRACEPARENT_BYTES];
  struct tool_buf body;
  clk_us due;           /* scheduled start of the call */
  clk_us attempt_start; /* of the last attempt */
  uint64_t start_wall_ms;
  uint64_t attempt_start_wall_ms;
  uint32_t resends;
  char run_states[LOAD_ATTEMPTS_MAX + 1]; /* per attempt, see load_report.h */
  lws_sorted_usec_list_t resend_timer;    /* backoff before a resend */
  enum load_route route;
  bool second_of_pair; /* the second request of the pair has been sent */
  clk_us route_latency[2];
};

struct load_target
{
  struct tool_opt_address address;
  struct tool_client_pool client;
};

/* Latencies of pairs of requests.  */
struct load_pairs
{
  uint64_t count;
  gsl_histogram *difference; /* via nodes minus direct, in microseconds */
  struct load_stat via_nodes;
  struct load_stat direct;
};

struct load_state
{
  struct load_options options;
  struct lws_context *context;
  struct load_target targets[LOAD_OPTIONS_TARGETS_MAX];
  struct load_target direct;
  size_t next_target;
  struct load_mix mix;
  struct rng rng;
  char run_id[17]; /* random prefix of the idempotency keys of this run */
  uint64_t next_serial;
  struct list calls;
  size_t open_calls;
  clk_us started;
  clk_us end;
  clk_us next_due;
  bool arrivals_ended; /* no more calls start */
  lws_sorted_usec_list_t arrival_timer;
  lws_sorted_usec_list_t end_timer;
  uint64_t not_sent;
  uint64_t resends;
  uint64_t attempts;
  struct list reasons;
  struct load_pairs pairs;
  FILE *record_file;
};

#endif
