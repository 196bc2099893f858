#include "controllers/retry.h"

#include <stdlib.h>

#include "core/err.h"

/* Minimum refill, so that a service with few requests can retry.  */
#define RETRY_MIN_TOKENS_PER_S 1.0
/* Capacity besides the tokens of the last second.  */
#define RETRY_MIN_CAPACITY 10.0

struct retry_table
{
  struct retry_table_opts opts;
  uint32_t count;
  uint32_t mask;
  struct list idle;     /* records without references, longest idle first */
  struct list *buckets; /* mask + 1 lists */
};

bool
retry_allowance_take (struct retry_allowance *allowance)
{
  if (allowance->remaining == 0)
    return false;
  allowance->remaining--;
  return true;
}

uint32_t
retry_allowance_grant (struct retry_allowance *allowance)
{
  uint32_t grant = allowance->remaining / 2 + allowance->remaining % 2;

  allowance->remaining -= grant;
  allowance->granted += grant;
  return grant;
}

void
retry_allowance_return (struct retry_allowance *allowance, uint32_t grant,
                        uint32_t unused)
{
  INVARIANT (allowance->granted >= grant);
  allowance->granted -= grant;
  allowance->remaining += unused < grant ? unused : grant;
}

void
retry_budget_init (struct retry_budget *budget, uint32_t percent, clk_us now)
{
  budget->percent = percent;
  budget->tokens = RETRY_MIN_CAPACITY;
  budget->capacity = RETRY_MIN_CAPACITY;
  budget->earned = 0;
  budget->refilled_at = now;
  budget->window_start = now;
}

/* Adds TOKENS up to the capacity.  */
static void
retry_budget_add (struct retry_budget *budget, double tokens)
{
  budget->tokens += tokens;
  if (budget->tokens > budget->capacity)
    budget->tokens = budget->capacity;
}

/* Adds the minimum refill, and updates the capacity from the tokens of the
   last full second.  */
static void
retry_budget_refill (struct retry_budget *budget, clk_us now)
{
  double seconds;

  if (now <= budget->refilled_at)
    return;
  seconds = (double)(now - budget->refilled_at) / CLK_US_PER_S;
  budget->refilled_at = now;
  if (now - budget->window_start >= CLK_US_PER_S)
    {
      double spans = (double)(now - budget->window_start) / CLK_US_PER_S;

      budget->capacity = RETRY_MIN_CAPACITY + budget->earned / spans;
      budget->earned = 0;
      budget->window_start = now;
    }
  retry_budget_add (budget, seconds * RETRY_MIN_TOKENS_PER_S);
}

void
retry_budget_earn (struct retry_budget *budget, clk_us now)
{
  double share = budget->percent / 100.0;

  retry_budget_refill (budget, now);
  budget->earned += share;
  retry_budget_add (budget, share);
}

bool
retry_budget_take (struct retry_budget *budget, clk_us now)
{
  retry_budget_refill (budget, now);
  if (budget->tokens < 1.0)
    return false;
  budget->tokens -= 1.0;
  return true;
}

void
retry_budget_refund (struct retry_budget *budget)
{
  retry_budget_add (budget, 1.0);
}

struct retry_table *
retry_table_new (const struct retry_table_opts *opts)
{
  struct retry_table *table = calloc (1, sizeof *table);
  uint32_t buckets = 16;

  if (table == NULL)
    return NULL;
  while (buckets < opts->chains_max && buckets < 1u << 20)
    buckets *= 2;
  table->opts = *opts;
  table->mask = buckets - 1;
  list_init (&table->idle);
  table->buckets = malloc (buckets * sizeof *table->buckets);
  if (table->buckets == NULL)
    {
      free (table);
      return NULL;
    }
  for (uint32_t i = 0; i < buckets; i++)
    list_init (&table->buckets[i]);
  return table;
}

/* Removes a record from the table.  */
static void
chain_drop (struct retry_table *table, struct retry_chain *chain)
{
  list_remove (&chain->node);
  list_remove (&chain->hash_node);
  table->count--;
  free (chain);
}

void
retry_table_free (struct retry_table *table)
{
  if (table == NULL)
    return;
  for (uint32_t i = 0; i <= table->mask; i++)
    list_each (node, &table->buckets[i])
      chain_drop (table, list_entry (node, struct retry_chain, hash_node));
  free (table->buckets);
  free (table);
}

/* Removes the records whose retention time has passed.  */
static void
table_expire (struct retry_table *table, clk_us now)
{
  list_each (node, &table->idle)
    {
      struct retry_chain *chain = list_entry (node, struct retry_chain, node);

      if (now < chain->used_at + table->opts.retention)
        break;
      chain_drop (table, chain);
    }
}

static struct list *
table_bucket (struct retry_table *table, uint64_t key)
{
  /* Multiplicative hash, since a key may be an identifier with few bits.  */
  return &table->buckets[(key * 0x9e3779b97f4a7c15u >> 40) & table->mask];
}

static struct retry_chain *
table_find (struct retry_table *table, uint64_t key)
{
  list_each (node, table_bucket (table, key))
    {
      struct retry_chain *chain
          = list_entry (node, struct retry_chain, hash_node);

      if (chain->key == key)
        return chain;
    }
  return NULL;
}

struct retry_chain *
retry_chain_get (struct retry_table *table, uint64_t key, uint32_t allowance,
                 clk_us now)
{
  struct retry_chain *chain;

  table_expire (table, now);
  chain = table_find (table, key);
  if (chain == NULL)
    {
      chain = calloc (1, sizeof *chain);
      if (chain == NULL)
        return NULL;
      chain->key = key;
      if (table->count < table->opts.chains_max)
        {
          chain->allowance.remaining = allowance;
          list_push_tail (table_bucket (table, key), &chain->hash_node);
          table->count++;
        }
    }
  list_remove (&chain->node);
  chain->refs++;
  chain->used_at = now;
  return chain;
}

void
retry_chain_put (struct retry_table *table, struct retry_chain *chain,
                 clk_us now)
{
  INVARIANT (chain->refs > 0);
  chain->refs--;
  chain->used_at = now;
  if (chain->refs > 0)
    return;
  if (list_is_linked (&chain->hash_node))
    list_push_tail (&table->idle, &chain->node);
  else
    free (chain);
}

uint32_t
retry_table_count (const struct retry_table *table)
{
  return table->count;
}
