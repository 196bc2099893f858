#include "controllers/held.h"
#include "tests/suite.h"

#define KB 1024u
#define ITEMS 8
#define STOPPED_AFTER clk_s (1)

static struct held held;
static struct held_item items[ITEMS];

/* An account of 1000 KB, 800 of them for large items, with ITEMS items.  */
static void
start (void)
{
  struct held_opts opts = { .bytes_max = 1000 * KB,
                            .large_bytes_max = 800 * KB,
                            .small_bytes = 16 * KB,
                            .stopped_after = STOPPED_AFTER };

  held_init (&held, &opts);
  for (int i = 0; i < ITEMS; i++)
    held_add (&held, &items[i], clk_s (1));
}

/* Guards against a body that is dropped although there is room, and against
   one that is kept beyond the limit.  */
static void
test_limit (void)
{
  start ();
  held_set (&held, &items[0], 400 * KB, HELD_WAITING, clk_s (1));
  held_set (&held, &items[1], 400 * KB, HELD_WAITING, clk_s (1));
  CU_ASSERT_PTR_NULL (held_find_victim (&held, &items[1], clk_s (1)));
  CU_ASSERT_FALSE (held_is_short (&held));
  held_set (&held, &items[1], 401 * KB, HELD_WAITING, clk_s (1));
  CU_ASSERT_TRUE (held_is_short (&held));
  CU_ASSERT_PTR_EQUAL (held_find_victim (&held, &items[1], clk_s (1)),
                       &items[1]);
  held_remove (&held, &items[0]);
  held_remove (&held, &items[0]);
  CU_ASSERT_EQUAL (held.bytes, 401 * KB);
  CU_ASSERT_PTR_NULL (held_find_victim (&held, &items[1], clk_s (1)));
}

/* Guards against ordinary requests that are refused because large bodies use
   up the limit.  */
static void
test_room_for_small_items (void)
{
  start ();
  held_set (&held, &items[0], 900 * KB, HELD_AT_WORK, clk_s (1));
  held_set (&held, &items[1], 16 * KB, HELD_WAITING, clk_s (1));
  CU_ASSERT_PTR_NULL (held_find_victim (&held, &items[1], clk_s (1)));
  held_set (&held, &items[1], 17 * KB, HELD_WAITING, clk_s (1));
  CU_ASSERT_PTR_EQUAL (held_find_victim (&held, &items[1], clk_s (1)),
                       &items[1]);
}

/* Guards against a moving body that gives way to one that has stopped, and
   against the wrong one of several that have.  */
static void
test_stopped_items_give_way (void)
{
  start ();
  for (int i = 0; i < 4; i++)
    held_set (&held, &items[i], 200 * KB, HELD_WAITING, clk_s (1));
  held_record_progress (&held, &items[1], clk_s (2));
  held_record_progress (&held, &items[0], clk_s (3));
  held_record_progress (&held, &items[2], clk_s (4));
  held_record_progress (&held, &items[3], clk_s (4));
  held_set (&held, &items[3], 201 * KB, HELD_WAITING, clk_s (1));
  CU_ASSERT_PTR_EQUAL (held_find_victim (&held, &items[3], clk_s (4)),
                       &items[1]);
  held_remove (&held, &items[1]);
  held_set (&held, &items[3], 401 * KB, HELD_WAITING, clk_s (1));
  CU_ASSERT_PTR_EQUAL (held_find_victim (&held, &items[3], clk_s (4)),
                       &items[0]);
  held_remove (&held, &items[0]);
  held_set (&held, &items[3], 601 * KB, HELD_WAITING, clk_s (1));
  /* None of the others has stopped.  */
  CU_ASSERT_PTR_EQUAL (held_find_victim (&held, &items[3], clk_s (4)),
                       &items[3]);
}

/* Guards against a request that is dropped while a server runs it.  */
static void
test_items_at_work_stay (void)
{
  start ();
  held_set (&held, &items[0], 500 * KB, HELD_AT_WORK, clk_s (1));
  held_set (&held, &items[1], 600 * KB, HELD_AT_WORK, clk_s (1));
  for (int i = 2; i < ITEMS; i++)
    held_remove (&held, &items[i]);
  CU_ASSERT_PTR_NULL (held_find_victim (&held, &items[1], clk_s (60)));
  held_set (&held, &items[0], 500 * KB, HELD_WAITING, clk_s (1));
  CU_ASSERT_PTR_EQUAL (held_find_victim (&held, &items[1], clk_s (60)),
                       &items[0]);
}

/* Guards against an answer that counts as stopped as soon as it comes, because
   the server has worked for longer than that takes.  */
static void
test_end_of_work_is_progress (void)
{
  start ();
  for (int i = 2; i < ITEMS; i++)
    held_remove (&held, &items[i]);
  held_set (&held, &items[0], 500 * KB, HELD_AT_WORK, clk_s (1));
  held_set (&held, &items[1], 4 * KB, HELD_AT_WORK, clk_s (1));
  held_set (&held, &items[0], 400 * KB, HELD_WAITING, clk_s (5));
  held_set (&held, &items[1], 4 * KB, HELD_WAITING, clk_s (5));
  CU_ASSERT_PTR_NULL (held_find_stopped (&held, clk_s (6) - 1));
  CU_ASSERT_PTR_EQUAL (held_find_stopped (&held, clk_s (6)), &items[0]);
  held_remove (&held, &items[0]);
  CU_ASSERT_PTR_EQUAL (held_find_stopped (&held, clk_s (6)), &items[1]);
  /* What waits already does not move by it.  */
  held_set (&held, &items[1], 5 * KB, HELD_WAITING, clk_s (6));
  CU_ASSERT_PTR_EQUAL (held_find_stopped (&held, clk_s (6)), &items[1]);
}

/* Guards against a limit that many small items exceed, and against
   connections that never make room for new ones.  */
static void
test_small_items_give_way (void)
{
  start ();
  held_set (&held, &items[0], 995 * KB, HELD_AT_WORK, clk_s (1));
  held_set (&held, &items[1], 4 * KB, HELD_WAITING, clk_s (1));
  held_record_progress (&held, &items[1], clk_s (5));
  held_set (&held, &items[2], 4 * KB, HELD_WAITING, clk_s (1));
  CU_ASSERT_PTR_EQUAL (held_find_victim (&held, &items[1], clk_s (5)),
                       &items[2]);
  CU_ASSERT_PTR_EQUAL (held_find_stopped (&held, clk_s (5)), &items[2]);
  for (int i = 2; i < ITEMS; i++)
    held_remove (&held, &items[i]);
  CU_ASSERT_PTR_NULL (held_find_stopped (&held, clk_s (5)));
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "limit", test_limit },
          { "room for small items", test_room_for_small_items },
          { "stopped items give way", test_stopped_items_give_way },
          { "items at work stay", test_items_at_work_stay },
          { "end of work is progress", test_end_of_work_is_progress },
          { "small items give way", test_small_items_give_way },
          { NULL, NULL } };

  return suite_run ("held", tests);
}
