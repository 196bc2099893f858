#ifndef PROGRAMS_LOAD_STATE_H
#define PROGRAMS_LOAD_STATE_H

/**
 * DOC: load - state of the load tool
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

#define LOAD_TRACE_BYTES 64
/* Where the trace id begins in a trace context.  */
#define LOAD_TRACE_ID_AT 3
#define LOAD_ATTEMPTS_MAX 32

/* What one attempt came to.  */
struct load_verdict
{
  enum load_outcome outcome;
  enum load_run run;
  int status; /* 0: no answer */
  union
  {
    char reason[LOAD_REASON_BYTES]; /* LOAD_REFUSED, LOAD_ERROR */
    const char *fault;              /* LOAD_WRONG */
  } u;
};

/* Where a request of a pair goes; the order is drawn for each pair.  */
enum load_leg
{
  LOAD_LEG_VIA,
  LOAD_LEG_DIRECT,
};

struct load;

struct load_call
{
  struct list_node node;
  struct load *load;
  struct load_kind *kind;
  struct tool_answer_facts facts;
  char trace[LOAD_TRACE_BYTES];
  char id[LOAD_TRACE_BYTES]; /* of the attempt */
  struct tool_buf body;
  clk_us due;  /* when the call should have started */
  clk_us sent; /* start of the last attempt */
  uint64_t started_ms;
  uint64_t sent_ms;
  uint32_t resends;
  char states[LOAD_ATTEMPTS_MAX + 1]; /* run state of each attempt: r, n, u */
  lws_sorted_usec_list_t timer;       /* wait before a resend */
  enum load_leg leg;
  bool leg_last;
  clk_us leg_us[2];
};

struct load_target
{
  struct tool_opt_address address;
  struct tool_client client;
};

/* Paired latencies, in microseconds.  */
struct load_pairs
{
  uint64_t count;
  gsl_histogram *difference;
  struct load_stat via;
  struct load_stat direct;
};

struct load
{
  struct load_options options;
  struct lws_context *context;
  struct load_target targets[LOAD_OPTIONS_TARGETS_MAX];
  struct load_target direct;
  size_t next_target;
  struct load_mix mix;
  struct rng rng;
  char run_id[17]; /* makes keys of this run differ from those of others */
  uint64_t serial;
  struct list calls;
  size_t open;
  clk_us started;
  clk_us ends;
  clk_us next_due;
  bool over; /* no more calls are started */
  lws_sorted_usec_list_t arrival;
  lws_sorted_usec_list_t finish;
  uint64_t not_sent;
  uint64_t resends;
  uint64_t attempts;
  struct list reasons;
  struct load_pairs pairs;
  FILE *record;
};

#endif
