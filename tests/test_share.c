#include "controllers/share.h"
#include "core/model.h"
#include "core/rng.h"
#include "tests/suite.h"

#define CALLERS 5

/* Guards against one caller filling the queue, against a cap without others
   that wait, against an important request refused while a less important one
   waits, and against counts that leak.  */
static void
test_random (void)
{
  struct share_opts opts = { .percent = 25, .capacity = 40 };
  struct share *cap = share_new (&opts);
  uint32_t held[CALLERS] = { 0 };
  struct rng rng;

  rng_seed (&rng, 1);
  for (int i = 0; i < 20000; i++)
    {
      uint32_t caller = rng_below (&rng, CALLERS);
      uint8_t importance = (uint8_t)(rng_below (&rng, 5) * 25);
      uint32_t least = rng_below (&rng, 6) * 25;

      if (rng_below (&rng, 100) < 45 && held[caller] > 0)
        {
          share_release (cap, caller);
          held[caller]--;
          continue;
        }
      bool taken = share_acquire (cap, caller, importance, least);
      bool may_refuse = least <= MODEL_IMPORTANCE_MAX && least >= importance;

      CU_ASSERT_EQUAL (taken, !may_refuse || held[caller] < 10);
      held[caller] += taken;
      CU_ASSERT_EQUAL (share_held (cap, caller), held[caller]);
    }
  share_free (cap);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "random", test_random }, { NULL, NULL } };

  return suite_run ("cap", tests);
}
