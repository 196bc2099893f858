#include <stdlib.h>
#include <string.h>

#include "controllers/quarantine.h"
#include "core/err.h"
#include "core/rng.h"
#include "tests/suite.h"

static const struct quarantine_opts opts
    = { .duration = clk_s (300), .fingerprints_max = 50 };

static void
free_marks (struct list *marks)
{
  struct list_node *node;

  while ((node = list_pop_head (marks)) != NULL)
    free (list_entry (node, struct quarantine_mark, node));
}

/* Marks of one server must not quarantine a fingerprint, as the server may
   crash for another reason; marks of two servers must.  The quarantine must
   end after its duration, and not before.  */
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

/* A complete answer shows that a request is harmless.  Its marks from before
   must not be imported again from other nodes, which have not seen the answer;
   later marks must.  */
static void
test_cleared_marks (void)
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

/* Nodes send each other their marks again and again.  The age of a mark must
   be kept on the way, or marks would never expire.  */
static void
test_exchanged_marks (void)
{
  struct quarantine *nodes[2]
      = { quarantine_new (&opts), quarantine_new (&opts) };
  clk_us now = clk_s (10);

  quarantine_add_mark (nodes[0], 1, "a", now);
  quarantine_add_mark (nodes[1], 1, "b", now);
  for (int second = 0; second < 310; second++, now += clk_s (1))
    for (int sender = 0; sender < 2; sender++)
      {
        struct list marks;

        list_init (&marks);
        quarantine_export_marks (nodes[sender], &marks, 100, now);
        list_each (node, &marks)
          quarantine_import_mark (
              nodes[1 - sender],
              list_entry (node, struct quarantine_mark, node), now + 20000);
        free_marks (&marks);
        quarantine_expire (nodes[sender], now);
        if (second > 1 && second < 299)
          CU_ASSERT_TRUE (quarantine_is_blocked (nodes[sender], 1, now));
      }
  for (int i = 0; i < 2; i++)
    {
      struct list marks;

      list_init (&marks);
      CU_ASSERT_FALSE (quarantine_is_blocked (nodes[i], 1, now));
      CU_ASSERT_EQUAL (quarantine_export_marks (nodes[i], &marks, 100, now),
                       0);
      free_marks (&marks);
    }
  quarantine_free (nodes[0]);
  quarantine_free (nodes[1]);
}

/* Guards against a threshold of the platform that is not used: three servers
   quarantine a fingerprint, and with two it is suspect.  */
static void
test_three_servers (void)
{
  struct quarantine_opts three = opts;
  struct quarantine *quarantine;
  clk_us now = clk_s (10);

  three.servers_min = 3;
  quarantine = quarantine_new (&three);
  quarantine_add_mark (quarantine, 1, "a", now);
  CU_ASSERT_FALSE (quarantine_is_suspect (quarantine, 1, now));
  quarantine_add_mark (quarantine, 1, "b", now);
  CU_ASSERT_TRUE (quarantine_is_suspect (quarantine, 1, now));
  CU_ASSERT_FALSE (quarantine_is_blocked (quarantine, 1, now));
  quarantine_add_mark (quarantine, 1, "c", now);
  CU_ASSERT_TRUE (quarantine_is_blocked (quarantine, 1, now));
  CU_ASSERT_EQUAL (quarantine_time_left (quarantine, 1, now + clk_s (100)),
                   clk_s (200));
  quarantine_free (quarantine);
}

/* Sends at most COUNT_MAX marks and clears of FROM to TO; returns how many
   were new there.  */
static uint32_t
send_marks (struct quarantine *from, struct quarantine *to, uint32_t count_max,
            clk_us now)
{
  struct list marks;
  uint32_t new_count = 0;

  list_init (&marks);
  quarantine_export_marks (from, &marks, count_max, now);
  list_each (node, &marks)
    new_count += quarantine_import_mark (
                     to, list_entry (node, struct quarantine_mark, node),
                     now + 20000)
                 == SR_OK;
  free_marks (&marks);
  return new_count;
}

/* Guards against a harmless request that is quarantined at nodes which have
   not seen its answer: the answer at one node clears the marks at the others,
   and marks from before it do not come back.  */
static void
test_exchanged_clear (void)
{
  struct quarantine *answered = quarantine_new (&opts);
  struct quarantine *other = quarantine_new (&opts);
  struct quarantine *late = quarantine_new (&opts);
  clk_us now = clk_s (10);

  quarantine_add_mark (answered, 1, "a", now);
  quarantine_add_mark (answered, 1, "b", now);
  CU_ASSERT_EQUAL (send_marks (answered, other, 16, now), 2);
  CU_ASSERT_EQUAL (send_marks (answered, late, 16, now), 2);
  CU_ASSERT_TRUE (quarantine_is_blocked (other, 1, now));
  now += clk_s (2);
  CU_ASSERT_TRUE (quarantine_clear_marks (answered, 1, now));
  CU_ASSERT_FALSE (quarantine_clear_marks (answered, 1, now));
  CU_ASSERT_EQUAL (send_marks (answered, other, 16, now), 1);
  CU_ASSERT_FALSE (quarantine_is_blocked (other, 1, now));
  CU_ASSERT_EQUAL (send_marks (answered, other, 16, now), 0);
  CU_ASSERT_EQUAL (send_marks (late, other, 16, now), 0);
  CU_ASSERT_FALSE (quarantine_is_blocked (other, 1, now));
  /* Marks from after the answer count.  */
  now += clk_s (2);
  quarantine_add_mark (other, 1, "a", now);
  quarantine_add_mark (other, 1, "b", now);
  CU_ASSERT_TRUE (quarantine_is_blocked (other, 1, now));
  quarantine_free (answered);
  quarantine_free (other);
  quarantine_free (late);
}

/* Guards against a request that crashes servers and is not reported, because
   many harmless ones were in flight with it: those with several marks go
   first.  */
static void
test_export_order (void)
{
  struct quarantine *quarantine = quarantine_new (&opts);
  struct quarantine *other = quarantine_new (&opts);
  clk_us now = clk_s (10);

  quarantine_add_mark (quarantine, 7, "a", now);
  quarantine_add_mark (quarantine, 7, "b", now);
  for (uint64_t i = 100; i < 140; i++)
    quarantine_add_mark (quarantine, i, "b", now + i);
  send_marks (quarantine, other, 16, now + 1000);
  CU_ASSERT_TRUE (quarantine_is_blocked (other, 7, now + 1000));
  quarantine_free (quarantine);
  quarantine_free (other);
}

/* Compares random marks and clears with a model.  A fingerprint must be
   quarantined only with marks of two servers.  The table must not grow beyond
   its limit, and must drop the oldest fingerprints first.  */
static void
test_random_marks (void)
{
  struct quarantine *quarantine = quarantine_new (&opts);
  struct rng rng;
  clk_us now = clk_s (10);
  uint32_t marked_servers[40] = { 0 };

  rng_seed (&rng, 5);
  for (int i = 0; i < 5000; i++, now += 1000)
    {
      uint32_t fingerprint = rng_below (&rng, 40);
      char instance[2] = { (char)('a' + rng_below (&rng, 3)), '\0' };

      if (rng_below (&rng, 3) == 0)
        {
          quarantine_clear_marks (quarantine, fingerprint, now);
          marked_servers[fingerprint] = 0;
        }
      else
        {
          quarantine_add_mark (quarantine, fingerprint, instance, now);
          marked_servers[fingerprint] |= 1u << (instance[0] - 'a');
        }
      CU_ASSERT_EQUAL (
          quarantine_is_blocked (quarantine, fingerprint, now),
          (marked_servers[fingerprint] & (marked_servers[fingerprint] - 1))
              != 0);
    }
  for (uint32_t fingerprint = 0; fingerprint < 1000; fingerprint++)
    quarantine_add_mark (quarantine, fingerprint, "z", now);
  struct list marks;
  list_init (&marks);
  CU_ASSERT_EQUAL (quarantine_export_marks (quarantine, &marks, 1000, now),
                   opts.fingerprints_max);
  CU_ASSERT_EQUAL (
      list_entry (list_first (&marks), struct quarantine_mark, node)
          ->fingerprint,
      999);
  free_marks (&marks);
  quarantine_free (quarantine);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "quarantine with marks of two servers", test_two_servers },
          { "cleared marks are not imported again", test_cleared_marks },
          { "exchanged marks expire", test_exchanged_marks },
          { "quarantine with marks of three servers", test_three_servers },
          { "answer at another node", test_exchanged_clear },
          { "order of exported marks", test_export_order },
          { "random marks against a model", test_random_marks },
          { NULL, NULL } };

  return suite_run ("quarantine", tests);
}
