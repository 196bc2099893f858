#include "tasks/gate_state.h"
#include "tests/suite.h"

/* Guards against a pool that mixes connections to a backend server with
   connections to a node, because both have the same address.  */
static void
test_pools_of_servers_and_nodes (void)
{
  struct gate gate = { 0 };
  struct gate_pool *server_pool;
  struct gate_pool *node_pool;

  CU_ASSERT_EQUAL (htable_init (&gate.pools), SR_OK);
  server_pool = gate_pool_get (&gate, "10.0.0.1:80", true);
  node_pool = gate_pool_get (&gate, "10.0.0.1:80", false);
  CU_ASSERT_PTR_NOT_EQUAL (server_pool, node_pool);
  CU_ASSERT_PTR_EQUAL (gate_pool_get (&gate, "10.0.0.1:80", true),
                       server_pool);
  gate_pool_free_unused (&gate, server_pool);
  gate_pool_free_unused (&gate, node_pool);
  htable_fini (&gate.pools);
}

/* Guards against memory that grows for weeks: servers restart at other
   addresses, and the pool of each former address would be kept.  */
static void
test_unused_pools_are_freed (void)
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
      = { { "servers and nodes have separate pools",
            test_pools_of_servers_and_nodes },
          { "unused pools are freed", test_unused_pools_are_freed },
          { NULL, NULL } };

  return suite_run ("gate_pool", tests);
}
