#include "controllers/whl.h"
#include "core/rng.h"
#include "tests/suite.h"

#define TIMERS 200

/* Guards against timers that fire early, late, twice or never, whatever level
   of the wheel they were filed in, and against a wakeup after the timer.  */
static void
test_random_timers (void)
{
  static struct whl whl;
  static struct whl_timer timers[TIMERS];
  struct rng rng;
  clk_us now = clk_s (7);

  rng_seed (&rng, 1);
  whl_init (&whl, now);
  for (int step = 0; step < 30000; step++)
    {
      struct whl_timer *timer = &timers[rng_below (&rng, TIMERS)];
      clk_us next = whl_next (&whl);
      struct lst due;
      struct lst_node *node;

      for (int i = 0; i < TIMERS; i++)
        if (lst_linked (&timers[i].node))
          CU_ASSERT_TRUE (next != 0 && next < timers[i].at + WHL_TICK_US);
      if (rng_below (&rng, 8) == 0)
        whl_remove (timer);
      else if (!lst_linked (&timer->node))
        {
          timer->at = now + rng_below (&rng, 1u << rng_below (&rng, 30));
          whl_add (&whl, timer);
        }
      now += rng_below (&rng, 1u << rng_below (&rng, 22));
      lst_init (&due);
      whl_advance (&whl, now, &due);
      while ((node = lst_pop_head (&due)) != NULL)
        CU_ASSERT_TRUE (lst_entry (node, struct whl_timer, node)->at <= now);
      for (int i = 0; i < TIMERS; i++)
        if (lst_linked (&timers[i].node))
          CU_ASSERT_TRUE (timers[i].at + WHL_TICK_US > now);
    }
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "random timers", test_random_timers }, { NULL, NULL } };

  return suite_run ("whl", tests);
}
