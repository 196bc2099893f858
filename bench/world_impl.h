#ifndef BENCH_WORLD_IMPL_H
#define BENCH_WORLD_IMPL_H

/**
 * DOC: wldi - state of a world, private to world.c, call.c and node.c
 */

#include "bench/world.h"
#include "controllers/share.h"

struct call;

enum attempt_state
{
  ATTEMPT_TO_SERVER,
  ATTEMPT_QUEUED,
  ATTEMPT_RUNNING,
  ATTEMPT_RETURNING,
};

struct attempt
{
  struct list_node node;       /* of its call, or of the free attempts */
  struct list_node world_node; /* of the world */
  struct sim_event event;
  struct call *call; /* NULL when the call has ended */
  enum attempt_state state;
  struct slots_ticket ticket;
  struct fake_job job;
  struct lb_watch watch;
  struct lb_server
      *lb_server; /* with WORLD_ADAPTIVE, until the entry is done */
  uint32_t entry;
  uint32_t server;
  uint32_t kind;
  clk_us started_at;
  clk_us arrived_at;
  double work_us;
  bool refused;
  struct slots_level level;
};

/* One caller's request, with its resends.  */
struct call
{
  struct list_node world_node; /* of the world */
  struct sim_event timer;      /* deadline, or next resend */
  struct sim_event hedge;
  struct list attempts; /* under way */
  uint32_t kind;
  uint32_t entry;
  uint32_t resends;       /* left */
  uint32_t attempt_count; /* attempts since the caller sent it last */
  uint32_t tried[LB_TRIED_MAX];
  clk_us created_at;
  clk_us deadline;
  struct retry_allowance allowance;
};

struct entry
{
  struct lb *lb;
  struct retry_budget budget;
  uint32_t in_flight[WORLD_SERVERS_MAX];
};

struct node
{
  struct fake fake;
  struct slots *slots;
  struct sim_event wakeup;
  struct share *share; /* kinds stand for callers */
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

/* call.c: the side of the callers and of the entry nodes.  */
void call_create (struct world *world);
void call_resend (struct world *world, struct call *call);
void call_deadline (struct world *world, struct call *call);
void call_hedge (struct world *world, struct call *call);
void call_answer (struct world *world, struct attempt *attempt);

/* node.c: the side of the servers and of the nodes beside them.  */
int node_init (struct world *world, struct node *node);
void node_free (struct node *node);
void node_receive (struct world *world, struct attempt *attempt);
void node_complete (struct world *world, struct node *node);
void node_process_events (struct world *world, struct node *node);

/* The call has ended; what is left of the attempt is stopped where the
   control can do so.  */
void node_abandon (struct world *world, struct attempt *attempt);

void attempt_free (struct world *world, struct attempt *attempt);

#endif
