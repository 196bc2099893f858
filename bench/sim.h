#ifndef BENCH_SIM_H
#define BENCH_SIM_H

/**
 * DOC: sim - discrete-event simulation with a calendar queue
 *
 * The calendar has one intrusive list for each interval of time, sorted by
 * time.  Events of the same time fire in the order in which they were
 * scheduled.
 */

#include <stdbool.h>

#include "core/clk.h"
#include "core/list.h"

#define SIM_BUCKETS 8192u
#define SIM_BUCKET_US 200u

/* Kind of an event; its owner is found with list_entry().  */
enum sim_kind
{
  SIM_ARRIVAL,  /* next call of the open-loop load */
  SIM_RESEND,   /* a caller sends a failed call again */
  SIM_DEADLINE, /* of a call */
  SIM_HEDGE,    /* delay until a hedged attempt is over */
  SIM_REACH,    /* an attempt reaches its server */
  SIM_ANSWER,   /* a response or a refusal reaches its entry node */
  SIM_COMPLETE, /* a server completes a request */
  SIM_WAKEUP,   /* time at which slots_next() has to be called */
  SIM_FAULT,    /* a fault begins or ends */
};

struct sim_event
{
  struct list_node node;
  enum sim_kind kind;
  clk_us at; /* time at which it fires */
};

struct sim
{
  clk_us now;
  uint64_t bucket; /* number of the interval of NOW, from time zero */
  struct list buckets[SIM_BUCKETS];
};

void sim_init (struct sim *sim);

/* Schedules or reschedules an event; one in the past fires next.  */
void sim_schedule (struct sim *sim, struct sim_event *event, clk_us at);
void sim_cancel (struct sim_event *event);

/* Removes the next event before END, advances the time to it and returns it.
   Without one, advances the time to END and returns NULL.  */
struct sim_event *sim_next (struct sim *sim, clk_us end);

#endif
