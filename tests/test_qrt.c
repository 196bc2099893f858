#include <stdlib.h>
#include <string.h>

#include "controllers/qrt.h"
#include "core/err.h"
#include "core/rng.h"
#include "tests/suite.h"

static const struct qrt_opts opts = { .keep = clk_s (300), .most = 50 };

static void
marks_free (struct lst *marks)
{
  struct lst_node *node;

  while ((node = lst_pop_head (marks)) != NULL)
    free (lst_entry (node, struct qrt_mark, node));
}

/* Guards against a quarantine after one server crashed twice, and against one
   that never ends or ends early.  */
static void
test_two_servers (void)
{
  struct qrt *qrt = qrt_new (&opts);
  clk_us now = clk_s (10);

  qrt_add (qrt, 1, "a", now);
  qrt_add (qrt, 1, "a", now + 1);
  CU_ASSERT_FALSE (qrt_blocked (qrt, 1, now + 2));
  now += clk_s (299);
  qrt_add (qrt, 1, "b", now);
  CU_ASSERT_TRUE (qrt_blocked (qrt, 1, now));
  CU_ASSERT_FALSE (qrt_blocked (qrt, 2, now));
  qrt_expire (qrt, now + clk_s (299));
  CU_ASSERT_TRUE (qrt_blocked (qrt, 1, now + clk_s (299)));
  CU_ASSERT_FALSE (qrt_blocked (qrt, 1, now + clk_s (300)));
  qrt_add (qrt, 3, "a", now);
  qrt_add (qrt, 3, "b", now + clk_s (301));
  CU_ASSERT_FALSE (qrt_blocked (qrt, 3, now + clk_s (301)));
  qrt_free (qrt);
}

/* Guards against a harmless request that stays suspect after it was answered,
   because its old marks come back from other nodes.  */
static void
test_clear (void)
{
  struct qrt *qrt = qrt_new (&opts);
  clk_us now = clk_s (10);
  struct qrt_mark mark = { .fingerprint = 1, .instance = "b", .age_ms = 100 };

  qrt_add (qrt, 1, "a", now);
  qrt_add (qrt, 1, "b", now);
  qrt_clear (qrt, 1, now + 1000);
  CU_ASSERT_FALSE (qrt_blocked (qrt, 1, now + 1000));
  CU_ASSERT_EQUAL (qrt_import (qrt, &mark, now + 2000), SR_EEXIST);
  qrt_add (qrt, 1, "a", now + clk_s (5));
  CU_ASSERT_FALSE (qrt_blocked (qrt, 1, now + clk_s (5)));
  CU_ASSERT_EQUAL (qrt_import (qrt, &mark, now + clk_s (6)), SR_OK);
  CU_ASSERT_TRUE (qrt_blocked (qrt, 1, now + clk_s (6)));
  qrt_free (qrt);
}

/* Guards against marks that live for ever because nodes send them to each
   other in turn.  */
static void
test_marks_do_not_circulate (void)
{
  struct qrt *nodes[2] = { qrt_new (&opts), qrt_new (&opts) };
  clk_us now = clk_s (10);

  qrt_add (nodes[0], 1, "a", now);
  qrt_add (nodes[1], 1, "b", now);
  for (int second = 0; second < 310; second++, now += clk_s (1))
    for (int from = 0; from < 2; from++)
      {
        struct lst marks;

        lst_init (&marks);
        qrt_export (nodes[from], &marks, 100, now);
        lst_each (node, &marks)
          qrt_import (nodes[1 - from], lst_entry (node, struct qrt_mark, node),
                      now + 20000);
        marks_free (&marks);
        qrt_expire (nodes[from], now);
        if (second > 1 && second < 299)
          CU_ASSERT_TRUE (qrt_blocked (nodes[from], 1, now));
      }
  for (int i = 0; i < 2; i++)
    {
      struct lst marks;

      lst_init (&marks);
      CU_ASSERT_FALSE (qrt_blocked (nodes[i], 1, now));
      CU_ASSERT_EQUAL (qrt_export (nodes[i], &marks, 100, now), 0);
      marks_free (&marks);
    }
  qrt_free (nodes[0]);
  qrt_free (nodes[1]);
}

/* Guards against a quarantine without marks of two servers, and against a
   table that grows without bound.  */
static void
test_random_marks (void)
{
  struct qrt *qrt = qrt_new (&opts);
  struct rng rng;
  clk_us now = clk_s (10);
  uint32_t servers[40] = { 0 };

  rng_seed (&rng, 5);
  for (int i = 0; i < 5000; i++, now += 1000)
    {
      uint32_t print = rng_below (&rng, 40);
      char name[2] = { (char)('a' + rng_below (&rng, 3)), '\0' };

      if (rng_below (&rng, 3) == 0)
        {
          qrt_clear (qrt, print, now);
          servers[print] = 0;
        }
      else
        {
          qrt_add (qrt, print, name, now);
          servers[print] |= 1u << (name[0] - 'a');
        }
      CU_ASSERT_EQUAL (qrt_blocked (qrt, print, now),
                       (servers[print] & (servers[print] - 1)) != 0);
    }
  for (uint32_t print = 0; print < 1000; print++)
    qrt_add (qrt, print, "z", now);
  struct lst marks;
  lst_init (&marks);
  CU_ASSERT_EQUAL (qrt_export (qrt, &marks, 1000, now), opts.most);
  CU_ASSERT_EQUAL (
      lst_entry (lst_first (&marks), struct qrt_mark, node)->fingerprint, 999);
  marks_free (&marks);
  qrt_free (qrt);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "two servers", test_two_servers },
          { "clear", test_clear },
          { "marks do not circulate", test_marks_do_not_circulate },
          { "random marks", test_random_marks },
          { NULL, NULL } };

  return suite_run ("qrt", tests);
}
