#ifndef BENCH_WORLD_IMPL_H
#define BENCH_WORLD_IMPL_H

/**
 * DOC: world_impl - internal state of a simulation, for world.c, call.c,
 * node.c
 */

#include "bench/world.h"
#include "controllers/share.h"

struct call;

enum attempt_state
{
  ATTEMPT_TO_SERVER, /* on the network */
  ATTEMPT_QUEUED,
  ATTEMPT_RUNNING,
  ATTEMPT_RETURNING, /* its response or refusal is on the network */
};

/* One attempt of a call at one server.  */
struct attempt
{
  struct list_node node;       /* of its call, or of world.free_attempts */
  struct list_node world_node; /* of world.attempts */
  struct sim_event event;
  struct call *call; /* NULL when the call has ended */
  enum attempt_state state;
  struct slots_ticket ticket;
  struct fake_job job;
  struct lb_watch watch;
  struct lb_server
      *lb_server; /* with WORLD_CHOICE_LB, until lb_attempt_end() */
  uint32_t entry;
  uint32_t server;
  uint32_t kind;
  clk_us started_at;
  clk_us arrived_at; /* at the server */
  double work_us;    /* service time on an idle server */
  bool refused;
  struct slots_level level;
};

/* One request of a caller, with its resends.  */
struct call
{
  struct list_node world_node; /* of world.calls */
  struct sim_event timer;      /* deadline, or next resend */
  struct sim_event hedge;
  struct list attempts; /* struct attempt, in flight */
  uint32_t kind;
  uint32_t entry;
  uint32_t resends;             /* remaining */
  uint32_t attempt_count;       /* since the caller last sent it */
  uint32_t tried[LB_TRIED_MAX]; /* servers of the last attempts */
  clk_us created_at;
  clk_us deadline;
  struct retry_allowance allowance;
};

/* Node at which calls arrive.  */
struct entry
{
  struct lb *lb;
  struct retry_budget budget;
  uint32_t in_flight[WORLD_SERVERS_MAX]; /* attempts at each server */
};

/* A backend server and the node beside it.  */
struct node
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
  struct entry entries[WORLD_ENTRIES];
  struct node nodes[WORLD_SERVERS_MAX];
  struct list calls;
  struct list attempts;
  struct list free_attempts;
};

/* call.c: callers and entry nodes.  */
void call_create (struct world *world);
void call_resend (struct world *world, struct call *call);
void call_deadline (struct world *world, struct call *call);
void call_hedge (struct world *world, struct call *call);
void call_answer (struct world *world, struct attempt *attempt);

/* node.c: servers and the nodes beside them.  node_init() returns nonzero when
   out of memory.  */
int node_init (struct world *world, struct node *node);
void node_free (struct node *node);
void node_receive (struct world *world, struct attempt *attempt);
void node_complete (struct world *world, struct node *node);
void node_process_events (struct world *world, struct node *node);

/* Detaches an attempt from its call, which has ended.  With WORLD_ADAPTIVE it
   is also removed from the queue of the server or cancelled.  */
void node_abandon (struct world *world, struct attempt *attempt);

void attempt_free (struct world *world, struct attempt *attempt);

#endif
