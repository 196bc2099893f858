#ifndef BENCH_WORLD_IMPL_H
#define BENCH_WORLD_IMPL_H

/**
 * DOC: world_impl - internal state of a simulation, for its source files
 *
 * The files are world.c, call.c and node.c.
 */

#include "bench/world.h"
#include "controllers/share.h"

struct world_call;

enum world_attempt_state
{
  WORLD_ATTEMPT_TO_SERVER, /* on the network */
  WORLD_ATTEMPT_QUEUED,
  WORLD_ATTEMPT_RUNNING,
  WORLD_ATTEMPT_RETURNING, /* its response or refusal is on the network */
};

/* One attempt of a call at one server.  */
struct world_attempt
{
  struct list_node node;          /* of its call, or of world.free_attempts */
  struct list_node attempts_node; /* of world.attempts */
  struct sim_event event;
  struct world_call *call; /* NULL when the call has ended */
  enum world_attempt_state state;
  struct slots_ticket ticket;
  struct fake_job job;
  struct lb_watch watch;
  struct lb_server *lb_server; /* WORLD_CHOICE_LB: until lb_attempt_end() */
  uint32_t entry;              /* index in world.entries */
  uint32_t server;             /* index in world.nodes */
  uint32_t kind;               /* index in world_opts.kind */
  clk_us started_at;           /* at the entry node */
  clk_us arrived_at;           /* at the server */
  double service_time_us;      /* on an idle server */
  bool refused;
  struct slots_level level;
};

/* One request of a caller, with its resends.  */
struct world_call
{
  struct list_node calls_node; /* of world.calls */
  struct sim_event timer;      /* deadline, or next resend */
  struct sim_event hedge;
  struct list attempts;         /* struct world_attempt, in flight */
  uint32_t kind;                /* index in world_opts.kind */
  uint32_t entry;               /* index in world.entries */
  uint32_t resends;             /* remaining */
  uint32_t attempt_count;       /* since the caller last sent it */
  uint32_t tried[LB_TRIED_MAX]; /* servers of the last attempts */
  clk_us created_at;
  clk_us deadline;
  struct retry_allowance allowance;
};

/* Node at which calls arrive.  */
struct world_entry
{
  struct lb *lb;
  struct retry_budget budget;
  uint32_t in_flight[WORLD_SERVERS_MAX]; /* attempts at each server */
};

/* A backend server and the node beside it.  */
struct world_node
{
  struct fake fake;
  struct slots *slots;
  struct sim_event wakeup;
  struct share *share; /* each kind is a caller */
};

enum world_fault
{
  WORLD_STALL_BEGINS,
  WORLD_STALL_ENDS,
  WORLD_SLOW_BEGINS,
  WORLD_SLOW_ENDS,
  WORLD_FAULT_COUNT,
};

struct world
{
  struct world_opts opts;
  struct sim sim;
  struct rng rng;
  struct world_result *result;
  struct sim_event arrival;
  struct sim_event faults[WORLD_FAULT_COUNT];
  struct world_entry entries[WORLD_ENTRIES];
  struct world_node nodes[WORLD_SERVERS_MAX];
  struct list calls;
  struct list attempts;
  struct list free_attempts;
};

/* call.c: callers and entry nodes.  call_create() draws a new call and sends
   it; call_answer() handles a response or refusal that reaches the entry node;
   the others handle the timers of a call.  */
void call_create (struct world *world);
void call_resend (struct world *world, struct world_call *call);
void call_deadline (struct world *world, struct world_call *call);
void call_hedge (struct world *world, struct world_call *call);
void call_answer (struct world *world, struct world_attempt *attempt);

/* node.c: servers and the nodes beside them.  node_init() returns nonzero when
   out of memory; node_receive() handles an attempt that reaches the server,
   node_complete() the end of the request that completes first, and
   node_process_events() the events of the admission controller.  */
int node_init (struct world *world, struct world_node *node);
void node_free (struct world_node *node);
void node_receive (struct world *world, struct world_attempt *attempt);
void node_complete (struct world *world, struct world_node *node);
void node_process_events (struct world *world, struct world_node *node);

/* Detaches an attempt from its call, which has ended.  With WORLD_ADAPTIVE it
   is also removed from the queue of the server or cancelled.  */
void node_abandon (struct world *world, struct world_attempt *attempt);

/* Moves an attempt that has ended to world.free_attempts.  */
void attempt_free (struct world *world, struct world_attempt *attempt);

#endif
