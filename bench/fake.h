#ifndef BENCH_FAKE_H
#define BENCH_FAKE_H

/**
 * DOC: fake - backend server in virtual time
 *
 * Running requests share the server equally (processor sharing).  Up to the
 * true capacity each runs at full speed; beyond it each slows down a little
 * more than in proportion, as with lock contention and paging.
 */

#include "bench/sim.h"

/* Throughput at N times the capacity is N to the power of minus this.  */
#define FAKE_OVERLOAD_EXPONENT 0.25

struct fake_job
{
  struct list_node node; /* by END */
  double end_progress;   /* progress of the server at which it completes */
};

struct fake
{
  struct sim *sim;
  struct sim_event completion; /* set while a job can complete */
  struct list jobs;
  uint32_t running;
  uint32_t capacity;
  double slow_factor; /* factor of service times; 0 while stalled */
  double progress;
  clk_us progress_at;
};

void fake_init (struct fake *fake, struct sim *sim, uint32_t capacity);

/* Starts a job that needs WORK microseconds on an idle server.  */
void fake_start (struct fake *fake, struct fake_job *job, double work);

/* Takes the completed job when the event fires.  */
struct fake_job *fake_complete (struct fake *fake);

/* Cancels a running job.  */
void fake_cancel (struct fake *fake, struct fake_job *job);

/* Sets the factor of service times, 0 to stall.  */
void fake_set_slow_factor (struct fake *fake, double slow);

#endif
