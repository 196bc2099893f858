#include <stdlib.h>
#include <string.h>

#include "controllers/quarantine.h"
#include "core/err.h"
#include "core/rng.h"
#include "tests/suite.h"

static const struct quarantine_opts opts
    = { .keep = clk_s (300), .fingerprints_max = 50 };

static void
marks_free (struct list *marks)
{
  struct list_node *node;

  while ((node = list_pop_head (marks)) != NULL)
    free (list_entry (node, struct quarantine_mark, node));
}

/* Guards against a quarantine after one server crashed twice, and against one
   that never ends or ends early.  */
static void
test_two_servers (void)
{
  struct quarantine *quarantine = quarantine_new (&opts);
  clk_us now = clk_s (10);

  quarantine_add_mark (quarantine, 1, "a", now);
  quarantine_add_mark (quarantine, 1, "a", now + 1);
  CU_ASSERT_FALSE (quarantine_is_blocked (quarantine, 1, now + 2));
  now += clk_s (299);
  quarantine_add_mark (quarantine, 1, "b", now);
  CU_ASSERT_TRUE (quarantine_is_blocked (quarantine, 1, now));
  CU_ASSERT_FALSE (quarantine_is_blocked (quarantine, 2, now));
  quarantine_expire (quarantine, now + clk_s (299));
  CU_ASSERT_TRUE (quarantine_is_blocked (quarantine, 1, now + clk_s (299)));
  CU_ASSERT_FALSE (quarantine_is_blocked (quarantine, 1, now + clk_s (300)));
  quarantine_add_mark (quarantine, 3, "a", now);
  quarantine_add_mark (quarantine, 3, "b", now + clk_s (301));
  CU_ASSERT_FALSE (quarantine_is_blocked (quarantine, 3, now + clk_s (301)));
  quarantine_free (quarantine);
}

/* Guards against a harmless request that stays suspect after it was answered,
   because its old marks come back from other nodes.  */
static void
test_clear (void)
{
  struct quarantine *quarantine = quarantine_new (&opts);
  clk_us now = clk_s (10);
  struct quarantine_mark mark
      = { .fingerprint = 1, .instance = "b", .age_ms = 100 };

  quarantine_add_mark (quarantine, 1, "a", now);
  quarantine_add_mark (quarantine, 1, "b", now);
  quarantine_clear_marks (quarantine, 1, now + 1000);
  CU_ASSERT_FALSE (quarantine_is_blocked (quarantine, 1, now + 1000));
  CU_ASSERT_EQUAL (quarantine_import_mark (quarantine, &mark, now + 2000),
                   SR_EEXIST);
  quarantine_add_mark (quarantine, 1, "a", now + clk_s (5));
  CU_ASSERT_FALSE (quarantine_is_blocked (quarantine, 1, now + clk_s (5)));
  CU_ASSERT_EQUAL (quarantine_import_mark (quarantine, &mark, now + clk_s (6)),
                   SR_OK);
  CU_ASSERT_TRUE (quarantine_is_blocked (quarantine, 1, now + clk_s (6)));
  quarantine_free (quarantine);
}

/* Guards against marks that live for ever because nodes send them to each
   other in turn.  */
static void
test_marks_do_not_circulate (void)
{
  struct quarantine *nodes[2]
      = { quarantine_new (&opts), quarantine_new (&opts) };
  clk_us now = clk_s (10);

  quarantine_add_mark (nodes[0], 1, "a", now);
  quarantine_add_mark (nodes[1], 1, "b", now);
  for (int second = 0; second < 310; second++, now += clk_s (1))
    for (int from = 0; from < 2; from++)
      {
        struct list marks;

        list_init (&marks);
        quarantine_export_marks (nodes[from], &marks, 100, now);
        list_each (node, &marks)
          quarantine_import_mark (
              nodes[1 - from], list_entry (node, struct quarantine_mark, node),
              now + 20000);
        marks_free (&marks);
        quarantine_expire (nodes[from], now);
        if (second > 1 && second < 299)
          CU_ASSERT_TRUE (quarantine_is_blocked (nodes[from], 1, now));
      }
  for (int i = 0; i < 2; i++)
    {
      struct list marks;

      list_init (&marks);
      CU_ASSERT_FALSE (quarantine_is_blocked (nodes[i], 1, now));
      CU_ASSERT_EQUAL (quarantine_export_marks (nodes[i], &marks, 100, now),
                       0);
      marks_free (&marks);
    }
  quarantine_free (nodes[0]);
  quarantine_free (nodes[1]);
}

/* Guards against a quarantine without marks of two servers, and against a
   table that grows without bound.  */
static void
test_random_marks (void)
{
  struct quarantine *quarantine = quarantine_new (&opts);
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
          quarantine_clear_marks (quarantine, print, now);
          servers[print] = 0;
        }
      else
        {
          quarantine_add_mark (quarantine, print, name, now);
          servers[print] |= 1u << (name[0] - 'a');
        }
      CU_ASSERT_EQUAL (quarantine_is_blocked (quarantine, print, now),
                       (servers[print] & (servers[print] - 1)) != 0);
    }
  for (uint32_t print = 0; print < 1000; print++)
    quarantine_add_mark (quarantine, print, "z", now);
  struct list marks;
  list_init (&marks);
  CU_ASSERT_EQUAL (quarantine_export_marks (quarantine, &marks, 1000, now),
                   opts.fingerprints_max);
  CU_ASSERT_EQUAL (
      list_entry (list_first (&marks), struct quarantine_mark, node)
          ->fingerprint,
      999);
  marks_free (&marks);
  quarantine_free (quarantine);
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
