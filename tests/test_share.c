#include "controllers/share.h"
#include "core/model.h"
#include "core/rng.h"
#include "tests/suite.h"

#define CALLERS 5

/* One caller must not fill the queue.  It must not be limited while no request
   is queued, nor refused for a request while a less important one is queued.
   The number of requests that it holds must stay correct.  */
static void
test_random (void)
{
  struct share_opts opts = { .percent = 25, .capacity = 40 };
  struct share *share = share_new (&opts);
  uint32_t held[CALLERS] = { 0 };
  struct rng rng;

  rng_seed (&rng, 1);
  for (int i = 0; i < 20000; i++)
    {
      uint32_t caller = rng_below (&rng, CALLERS);
      uint8_t importance = (uint8_t)(rng_below (&rng, 5) * 25);
      uint32_t waiting_importance_min = rng_below (&rng, 6) * 25;

      if (rng_below (&rng, 100) < 45 && held[caller] > 0)
        {
          share_release (share, caller);
          held[caller]--;
          continue;
        }
      bool acquired
          = share_acquire (share, caller, importance, waiting_importance_min);
      bool is_limited = waiting_importance_min <= MODEL_IMPORTANCE_MAX
                        && waiting_importance_min >= importance;

      CU_ASSERT_EQUAL (acquired, !is_limited || held[caller] < 10);
      held[caller] += acquired;
      CU_ASSERT_EQUAL (share_held (share, caller), held[caller]);
    }
  share_free (share);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "random callers", test_random }, { NULL, NULL } };

  return suite_run ("share", tests);
}
