#ifndef BENCH_WLDI_H
#define BENCH_WLDI_H

/**
 * DOC: wldi - state of a world, private to wld.c, call.c and node.c
 */

#include "bench/wld.h"
#include "controllers/share.h"

struct call;

enum attempt_state
{
  ATTEMPT_TO_SERVER,
  ATTEMPT_QUEUED,
  ATTEMPT_RUNNING,
  ATTEMPT_BACK,
};

struct attempt
{
  struct lst_node node;  /* of its call, or of the free attempts */
  struct lst_node owned; /* of the world */
  struct sim_event event;
  struct call *call; /* NULL when the call has ended */
  enum attempt_state state;
  struct adm_ticket ticket;
  struct fake_job job;
  struct chs_watch watch;
  struct chs_server *choice; /* with WLD_OURS, until the entry is done */
  uint32_t entry;
  uint32_t server;
  uint32_t kind;
  clk_us started;
  clk_us reached;
  double work;
  bool refused;
  struct adm_level level;
};

/* One caller's request, with its resends.  */
struct call
{
  struct lst_node owned;  /* of the world */
  struct sim_event timer; /* deadline, or next resend */
  struct sim_event hedge;
  struct lst attempts; /* under way */
  uint32_t kind;
  uint32_t entry;
  uint32_t resends; /* left */
  uint32_t tries;   /* attempts since the caller sent it last */
  uint32_t tried[CHS_TRIED_MAX];
  clk_us born;
  clk_us deadline;
  struct rty_allowance allowance;
};

struct entry
{
  struct chs *chs;
  struct rty_budget budget;
  uint32_t in_flight[WLD_SERVERS_MAX];
};

struct node
{
  struct fake fake;
  struct adm *adm;
  struct sim_event wakeup;
  struct shr *cap; /* kinds stand for callers */
};

enum wld_fault
{
  WLD_STALL_BEGINS,
  WLD_STALL_ENDS,
  WLD_SLOW_BEGINS,
  WLD_SLOW_ENDS,
  WLD_FAULTS,
};

struct wld
{
  struct wld_opts opts;
  struct sim sim;
  struct rng rng;
  struct wld_result *result;
  struct sim_event arrival;
  struct sim_event faults[WLD_FAULTS];
  struct entry entries[WLD_ENTRIES];
  struct node nodes[WLD_SERVERS_MAX];
  struct lst calls;
  struct lst attempts;
  struct lst free_attempts;
};

/* call.c: the side of the callers and of the entry nodes.  */
void call_create (struct wld *wld);
void call_resend (struct wld *wld, struct call *call);
void call_deadline (struct wld *wld, struct call *call);
void call_hedge (struct wld *wld, struct call *call);
void call_answer (struct wld *wld, struct attempt *attempt);

/* node.c: the side of the servers and of the nodes beside them.  */
int node_init (struct wld *wld, struct node *node);
void node_free (struct node *node);
void node_reach (struct wld *wld, struct attempt *attempt);
void node_complete (struct wld *wld, struct node *node);
void node_drain (struct wld *wld, struct node *node);

/* The call has ended; what is left of the attempt is stopped where the
   control can do so.  */
void node_abandon (struct wld *wld, struct attempt *attempt);

void attempt_free (struct wld *wld, struct attempt *attempt);

#endif
