#include "controllers/origin.h"
#include "core/rng.h"
#include "tests/suite.h"

/* The nodes of a deployment, by service.  */
static const char *const nodes[]
    = { "search", "search", "search", "search", "orders", "orders",
        "orders", "sheets", "sheets", "sheets", "marks" };
#define NODES (sizeof nodes / sizeof nodes[0])

static void
set_nodes (struct origin *origins)
{
  CU_ASSERT_EQUAL (origin_init (origins), 0);
  origin_reset_nodes (origins);
  for (size_t i = 0; i < NODES; i++)
    origin_add_node (origins, nodes[i]);
}

/* Guards against calls of running requests that are taken for new ones, also
   when servers of two services make them.  */
static void
test_calls (void)
{
  struct origin origins;
  enum origin_kind kind = ORIGIN_CALLERS;

  set_nodes (&origins);
  for (int i = 0; i < 40; i++)
    {
      kind = origin_record_request (&origins, 1, i % 3 ? "orders" : "search",
                                    ORIGIN_CALLERS);
      if (i >= 10)
        CU_ASSERT_EQUAL (kind, ORIGIN_SERVERS);
    }
  CU_ASSERT_EQUAL (kind, ORIGIN_SERVERS);
  origin_fini (&origins);
}

/* Guards against requests of callers that are taken for calls, and so escape
   every limit, when one service has a single node.  */
static void
test_callers (void)
{
  uint32_t wrong = 0;

  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      struct origin origins;
      struct rng rng;

      rng_seed (&rng, seed);
      set_nodes (&origins);
      for (int i = 0; i < 200; i++)
        {
          const char *from = nodes[rng_below (&rng, NODES)];
          enum origin_kind kind
              = origin_record_request (&origins, 1, from, ORIGIN_CALLERS);

          wrong += i >= 20 && kind == ORIGIN_SERVERS;
        }
      origin_fini (&origins);
    }
  /* One decision in a hundred.  */
  CU_ASSERT_TRUE (wrong <= 200 * 180 / 100);
}

/* Guards against a node that starts and forgets what the others know.  */
static void
test_told (void)
{
  struct origin origins;

  set_nodes (&origins);
  CU_ASSERT_EQUAL (
      origin_record_request (&origins, 1, "orders", ORIGIN_SERVERS),
      ORIGIN_SERVERS);
  CU_ASSERT_EQUAL (
      origin_record_request (&origins, 2, "orders", ORIGIN_CALLERS),
      ORIGIN_CALLERS);
  origin_fini (&origins);
}

int
main (void)
{
  static const struct suite_test tests[] = { { "calls", test_calls },
                                             { "callers", test_callers },
                                             { "told by others", test_told },
                                             { NULL, NULL } };

  return suite_run ("origin", tests);
}
