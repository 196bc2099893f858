#include "controllers/carried.h"
#include "core/err.h"
#include "tests/suite.h"

#define RETENTION clk_s (10)
#define IDS_MAX 100

static struct carried carried;
static struct carried_conn first;
static struct carried_conn second;

static void
start (void)
{
  struct carried_opts opts = { .retention = RETENTION, .ids_max = IDS_MAX };

  CU_ASSERT_EQUAL_FATAL (carried_init (&carried, &opts), SR_OK);
  carried_conn_init (&first);
  carried_conn_init (&second);
}

/* Guards against a request that is sent twice on one connection, and against
   new connections for requests that another one has carried.  */
static void
test_ids_by_connection (void)
{
  start ();
  carried_add (&carried, &first, 7, 0, clk_s (1));
  CU_ASSERT_TRUE (carried_has (&carried, &first, 7, clk_s (2)));
  CU_ASSERT_FALSE (carried_has (&carried, &first, 8, clk_s (2)));
  CU_ASSERT_FALSE (carried_has (&carried, &second, 7, clk_s (2)));
  carried_add (&carried, &second, 7, 0, clk_s (3));
  CU_ASSERT_TRUE (carried_has (&carried, &second, 7, clk_s (3)));
  carried_conn_fini (&carried, &first);
  CU_ASSERT_FALSE (carried_has (&carried, &first, 7, clk_s (3)));
  CU_ASSERT_TRUE (carried_has (&carried, &second, 7, clk_s (3)));
  carried_fini (&carried);
}

/* Guards against memory that grows with the requests of a connection, and
   against ids that are forgotten while their request may be sent again.  */
static void
test_ids_expire (void)
{
  start ();
  carried_add (&carried, &first, 1, 0, clk_s (1));
  CU_ASSERT_TRUE (
      carried_has (&carried, &first, 1, clk_s (1) + RETENTION - 1));
  CU_ASSERT_FALSE (carried_has (&carried, &first, 1, clk_s (1) + RETENTION));
  CU_ASSERT_EQUAL (carried.by_id.item_count, 0);
  for (uint64_t id = 0; id < 10000; id++)
    carried_add (&carried, &first, id, 0, clk_s (20 + id));
  CU_ASSERT_EQUAL (carried.by_id.item_count, RETENTION / clk_s (1));
  CU_ASSERT_FALSE (first.incomplete);
  carried_extend_retention (&carried, 2 * RETENTION);
  carried_extend_retention (&carried, RETENTION);
  for (uint64_t id = 10000; id < 20000; id++)
    carried_add (&carried, &first, id, 0, clk_s (20 + id));
  CU_ASSERT_EQUAL (carried.by_id.item_count, 2 * RETENTION / clk_s (1));
  carried_fini (&carried);
}

/* Guards against an id that is forgotten before the deadline of its request:
   the node of arrival may know a longer timeout than this node.  */
static void
test_deadline (void)
{
  start ();
  carried_add (&carried, &first, 1, clk_s (31), clk_s (1));
  carried_add (&carried, &first, 2, 0, clk_s (2));
  CU_ASSERT_TRUE (carried_has (&carried, &first, 1, clk_s (31) - 1));
  CU_ASSERT_FALSE (carried_has (&carried, &first, 1, clk_s (31)));
  CU_ASSERT_EQUAL (carried.by_id.item_count, 0);
  carried_fini (&carried);
}

/* Guards against a connection that carries a request again because its ids
   were dropped at the limit.  */
static void
test_limit_of_ids (void)
{
  start ();
  carried_add (&carried, &first, 1, 0, clk_s (1));
  for (uint64_t id = 2; id <= IDS_MAX; id++)
    carried_add (&carried, &second, id, 0, clk_s (1));
  CU_ASSERT_FALSE (carried_has (&carried, &first, 2, clk_s (1)));
  carried_add (&carried, &second, IDS_MAX + 1, 0, clk_s (1));
  CU_ASSERT_EQUAL (carried.by_id.item_count, IDS_MAX);
  CU_ASSERT_TRUE (carried_has (&carried, &first, 1, clk_s (1)));
  CU_ASSERT_TRUE (carried_has (&carried, &first, 2, clk_s (1)));
  CU_ASSERT_FALSE (carried_has (&carried, &second, 1, clk_s (1)));
  CU_ASSERT_TRUE (carried_has (&carried, &second, 2, clk_s (1)));
  carried_fini (&carried);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "ids are kept by connection", test_ids_by_connection },
          { "ids expire", test_ids_expire },
          { "deadline", test_deadline },
          { "limit of ids", test_limit_of_ids },
          { NULL, NULL } };

  return suite_run ("carried", tests);
}
