#ifndef BENCH_FAKE_H
#define BENCH_FAKE_H

/**
 * DOC: fake - simulated backend server
 *
 * Models processor sharing in virtual time.  Up to the capacity, each running
 * request progresses at full speed; beyond it, the requests share the server
 * equally and the total throughput falls, as with lock contention and paging.
 */

#include "bench/sim.h"

/* With N times the capacity running, the throughput is N to the power of the
   negative of this, as a fraction of the full throughput.  */
#define FAKE_OVERLOAD_EXPONENT 0.25

/* A running request.  */
struct fake_job
{
  struct list_node node; /* of the server's jobs, by END_PROGRESS */
  double end_progress;   /* value of the server's PROGRESS at its completion */
};

struct fake
{
  struct sim *sim;
  struct sim_event completion; /* scheduled while a job can complete */
  struct list jobs; /* struct fake_job, first the one that completes next */
  uint32_t running;
  uint32_t capacity;  /* requests that run at full speed */
  double slow_factor; /* multiplies service times; 0 while stalled */
  double progress;    /* work done by a job that ran from the start, in us */
  clk_us progress_at; /* time to which PROGRESS is computed */
};

void fake_init (struct fake *fake, struct sim *sim, uint32_t capacity);

/* Starts a job that takes SERVICE_TIME_US microseconds on an idle server.  */
void fake_start (struct fake *fake, struct fake_job *job,
                 double service_time_us);

/* Removes and returns the completed job.  To be called when COMPLETION
   fires.  */
struct fake_job *fake_complete (struct fake *fake);

/* Cancels a running job.  */
void fake_cancel (struct fake *fake, struct fake_job *job);

/* Sets the factor that multiplies service times, 0 to stall the server.  */
void fake_set_slow_factor (struct fake *fake, double slow_factor);

#endif
