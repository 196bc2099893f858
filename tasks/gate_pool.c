#include <stdlib.h>
#include <string.h>

#include "tasks/gate_state.h"

static uint64_t
gat_pool_hash (const char *address, bool to_server)
{
  return hsh_text (address) ^ to_server;
}

struct gat_pool *
gat_pool_get (struct gate *gate, const char *address, bool to_server)
{
  uint64_t hash = gat_pool_hash (address, to_server);
  struct gat_pool *pool;

  lst_each (node, hsh_bucket (&gate->pools, hash))
    {
      pool = lst_entry (lst_entry (node, struct hsh_node, node),
                        struct gat_pool, node);
      if (pool->to_server == to_server && strcmp (pool->address, address) == 0)
        return pool;
    }
  pool = calloc (1, sizeof *pool);
  INVARIANT (pool != NULL);
  memcpy (pool->address, address, strnlen (address, sizeof pool->address - 1));
  pool->to_server = to_server;
  lst_init (&pool->idle);
  hsh_add (&gate->pools, &pool->node, hash);
  return pool;
}

void
gat_pool_drop (struct gate *gate, struct gat_pool *pool)
{
  if (pool->open > 0)
    return;
  hsh_remove (&gate->pools, &pool->node);
  free (pool);
}
