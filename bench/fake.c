#include "bench/fake.h"

#include <math.h>

void
fake_init (struct fake *fake, struct sim *sim, uint32_t capacity)
{
  *fake = (struct fake){ .sim = sim, .capacity = capacity, .slow_factor = 1 };
  fake->completion.kind = SIM_COMPLETE;
  list_init (&fake->jobs);
}

/* Progress of each job per microsecond.  */
static double
fake_rate (const struct fake *fake)
{
  double load = (double)fake->running / fake->capacity;

  if (fake->slow_factor <= 0)
    return 0;
  return (load > 1 ? pow (load, -1 - FAKE_OVERLOAD_EXPONENT) : 1)
         / fake->slow_factor;
}

static void
fake_advance (struct fake *fake)
{
  clk_us now = fake->sim->now;

  fake->progress += (double)(now - fake->progress_at) * fake_rate (fake);
  fake->progress_at = now;
}

/* Schedules the completion of the job that completes next.  */
static void
fake_schedule (struct fake *fake)
{
  double rate = fake_rate (fake);
  double remaining;

  sim_cancel (&fake->completion);
  if (list_empty (&fake->jobs) || rate <= 0)
    return;
  remaining = list_entry (list_first (&fake->jobs), struct fake_job, node)
                  ->end_progress
              - fake->progress;
  sim_schedule (fake->sim, &fake->completion,
                fake->sim->now
                    + (clk_us)ceil (remaining > 0 ? remaining / rate : 0));
}

void
fake_start (struct fake *fake, struct fake_job *job, double service_time_us)
{
  struct list_node *after = fake->jobs.head.prev;

  fake_advance (fake);
  job->end_progress = fake->progress + service_time_us;
  while (after != &fake->jobs.head
         && list_entry (after, struct fake_job, node)->end_progress
                > job->end_progress)
    after = after->prev;
  list_insert_before (after->next, &job->node);
  fake->running++;
  fake_schedule (fake);
}

void
fake_cancel (struct fake *fake, struct fake_job *job)
{
  fake_advance (fake);
  list_remove (&job->node);
  fake->running--;
  fake_schedule (fake);
}

struct fake_job *
fake_complete (struct fake *fake)
{
  struct fake_job *job
      = list_entry (list_first (&fake->jobs), struct fake_job, node);

  fake_cancel (fake, job);
  return job;
}

void
fake_set_slow_factor (struct fake *fake, double slow_factor)
{
  fake_advance (fake);
  fake->slow_factor = slow_factor;
  fake_schedule (fake);
}
