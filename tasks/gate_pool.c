#include <stdlib.h>
#include <string.h>

#include "tasks/gate_state.h"

static uint64_t
gate_pool_hash (const char *address, bool to_server)
{
  return htable_hash_text (address) ^ to_server;
}

struct gate_pool *
gate_pool_get (struct gate *gate, const char *address, bool to_server)
{
  uint64_t hash = gate_pool_hash (address, to_server);
  struct gate_pool *pool;

  list_each (node, htable_bucket (&gate->pools, hash))
    {
      pool = list_entry (list_entry (node, struct htable_node, node),
                         struct gate_pool, node);
      if (pool->to_server == to_server && strcmp (pool->address, address) == 0)
        return pool;
    }
  pool = calloc (1, sizeof *pool);
  INVARIANT (pool != NULL);
  memcpy (pool->address, address, strnlen (address, sizeof pool->address - 1));
  pool->to_server = to_server;
  list_init (&pool->idle);
  htable_add (&gate->pools, &pool->node, hash);
  return pool;
}

void
gate_pool_free_unused (struct gate *gate, struct gate_pool *pool)
{
  if (pool->open_count > 0)
    return;
  htable_remove (&gate->pools, &pool->node);
  free (pool);
}
