#include "controllers/wheel.h"
#include "core/rng.h"
#include "tests/suite.h"

#define TIMERS 200

/* Timers must fire neither early nor more than a tick late, and exactly once,
   whichever level of the wheel holds them.  wheel_next_time() must not be
   later than the first timer.  */
static void
test_random_timers (void)
{
  static struct wheel wheel;
  static struct wheel_timer timers[TIMERS];
  struct rng rng;
  clk_us now = clk_s (7);

  rng_seed (&rng, 1);
  wheel_init (&wheel, now);
  for (int step = 0; step < 30000; step++)
    {
      struct wheel_timer *timer = &timers[rng_below (&rng, TIMERS)];
      clk_us next = wheel_next_time (&wheel);
      struct list due;
      struct list_node *node;

      for (int i = 0; i < TIMERS; i++)
        if (list_is_linked (&timers[i].node))
          CU_ASSERT_TRUE (next != 0 && next < timers[i].at + WHEEL_TICK_US);
      if (rng_below (&rng, 8) == 0)
        wheel_remove (timer);
      else if (!list_is_linked (&timer->node))
        {
          timer->at = now + rng_below (&rng, 1u << rng_below (&rng, 30));
          wheel_add (&wheel, timer);
        }
      now += rng_below (&rng, 1u << rng_below (&rng, 22));
      list_init (&due);
      wheel_advance (&wheel, now, &due);
      while ((node = list_pop_head (&due)) != NULL)
        CU_ASSERT_TRUE (list_entry (node, struct wheel_timer, node)->at
                        <= now);
      for (int i = 0; i < TIMERS; i++)
        if (list_is_linked (&timers[i].node))
          CU_ASSERT_TRUE (timers[i].at + WHEEL_TICK_US > now);
    }
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "random timers fire on time", test_random_timers },
          { NULL, NULL } };

  return suite_run ("wheel", tests);
}
