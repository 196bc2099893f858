#include "controllers/origin.h"
#include "core/rng.h"
#include "tests/suite.h"

/* The nodes of a deployment, by service.  */
static const char *const nodes[]
    = { "search", "search", "search", "search", "orders", "orders",
        "orders", "sheets", "sheets", "sheets", "marks" };
#define NODES (sizeof nodes / sizeof nodes[0])

static void
set_nodes (struct org *origins)
{
  CU_ASSERT_EQUAL (org_init (origins), 0);
  org_begin (origins);
  for (size_t i = 0; i < NODES; i++)
    org_add (origins, nodes[i]);
}

/* Guards against calls of running requests that are taken for new ones, also
   when servers of two services make them.  */
static void
test_calls (void)
{
  struct org origins;
  enum org_kind kind = ORG_CALLERS;

  set_nodes (&origins);
  for (int i = 0; i < 40; i++)
    {
      kind = org_note (&origins, 1, i % 3 ? "orders" : "search", ORG_CALLERS);
      if (i >= 10)
        CU_ASSERT_EQUAL (kind, ORG_SERVERS);
    }
  CU_ASSERT_EQUAL (kind, ORG_SERVERS);
  org_fini (&origins);
}

/* Guards against requests of callers that are taken for calls, and so escape
   every limit, when one service has a single node.  */
static void
test_callers (void)
{
  uint32_t wrong = 0;

  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      struct org origins;
      struct rng rng;

      rng_seed (&rng, seed);
      set_nodes (&origins);
      for (int i = 0; i < 200; i++)
        {
          const char *from = nodes[rng_below (&rng, NODES)];
          enum org_kind kind = org_note (&origins, 1, from, ORG_CALLERS);

          wrong += i >= 20 && kind == ORG_SERVERS;
        }
      org_fini (&origins);
    }
  /* One decision in a hundred.  */
  CU_ASSERT_TRUE (wrong <= 200 * 180 / 100);
}

/* Guards against a node that starts and forgets what the others know.  */
static void
test_told (void)
{
  struct org origins;

  set_nodes (&origins);
  CU_ASSERT_EQUAL (org_note (&origins, 1, "orders", ORG_SERVERS), ORG_SERVERS);
  CU_ASSERT_EQUAL (org_note (&origins, 2, "orders", ORG_CALLERS), ORG_CALLERS);
  org_fini (&origins);
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
