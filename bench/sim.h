#ifndef BENCH_SIM_H
#define BENCH_SIM_H

/**
 * DOC: sim - events in virtual time
 *
 * A calendar of intrusive lists: one bucket for each span of time, each sorted
 * by time.  Events of the same time fire in the order in which they were set.
 */

#include <stdbool.h>

#include "core/clk.h"
#include "core/list.h"

#define SIM_BUCKETS 8192u
#define SIM_BUCKET_US 200u

/* What fires; the owner of the event is found with list_entry().  */
enum sim_kind
{
  SIM_ARRIVAL,  /* next call of the open loop */
  SIM_RESEND,   /* a caller sends again */
  SIM_DEADLINE, /* of a call */
  SIM_HEDGE,    /* time for a second attempt */
  SIM_REACH,    /* an attempt reaches its server */
  SIM_ANSWER,   /* an answer or a refusal reaches the entry */
  SIM_COMPLETE, /* a server completes a request */
  SIM_WAKEUP,   /* admission of a server asked to be called */
  SIM_FAULT,    /* a fault begins or ends */
};

struct sim_event
{
  struct list_node node;
  enum sim_kind kind;
  clk_us at;
};

struct sim
{
  clk_us now;
  uint64_t bucket; /* that holds NOW, counted from time zero */
  struct list buckets[SIM_BUCKETS];
};

void sim_init (struct sim *sim);

/* Sets or moves an event; times in the past fire at once.  */
void sim_schedule (struct sim *sim, struct sim_event *event, clk_us at);
void sim_cancel (struct sim_event *event);

/* Takes the next event before END and moves the time to it; NULL and the time
   END when there is none.  */
struct sim_event *sim_next (struct sim *sim, clk_us end);

#endif
