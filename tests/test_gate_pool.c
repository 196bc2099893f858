#include "tasks/gate_state.h"
#include "tests/suite.h"

/* Guards against connections of two kinds to one address that are taken for
   each other.  */
static void
test_kinds (void)
{
  struct gate gate = { 0 };
  struct gate_pool *server;
  struct gate_pool *node;

  CU_ASSERT_EQUAL (htable_init (&gate.pools), SR_OK);
  server = gate_pool_get (&gate, "10.0.0.1:80", true);
  node = gate_pool_get (&gate, "10.0.0.1:80", false);
  CU_ASSERT_PTR_NOT_EQUAL (server, node);
  CU_ASSERT_PTR_EQUAL (gate_pool_get (&gate, "10.0.0.1:80", true), server);
  gate_pool_free_unused (&gate, server);
  gate_pool_free_unused (&gate, node);
  htable_fini (&gate.pools);
}

/* Pattern: servers that start again at other addresses, for weeks.
   Guards against a record for each address that there ever was.  */
static void
test_addresses_gone (void)
{
  struct gate gate = { 0 };

  CU_ASSERT_EQUAL (htable_init (&gate.pools), SR_OK);
  for (int i = 0; i < 5000; i++)
    {
      char address[MEMBER_ADDRESS_BYTES];
      struct gate_pool *pool;

      snprintf (address, sizeof address, "10.0.%d.%d:80", i / 250, i % 250);
      pool = gate_pool_get (&gate, address, true);
      pool->open_count = 1;
      gate_pool_free_unused (&gate, pool);
      CU_ASSERT_PTR_EQUAL (gate_pool_get (&gate, address, true), pool);
      pool->open_count = 0;
      gate_pool_free_unused (&gate, pool);
    }
  CU_ASSERT_EQUAL (gate.pools.item_count, 0);
  htable_fini (&gate.pools);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "kinds", test_kinds },
          { "addresses gone", test_addresses_gone },
          { NULL, NULL } };

  return suite_run ("gate_pool", tests);
}
