#include "controllers/rty.h"

#include <stdlib.h>

#include "core/err.h"

/* Refill without any first attempt, so that a quiet service can retry.  */
#define RTY_MIN_TOKENS_PER_S 1.0
/* Tokens that can be saved up besides those earned in the last second.  */
#define RTY_MIN_CAPACITY 10.0

struct rty_table
{
  struct rty_table_opts opts;
  uint32_t count;
  uint32_t mask;
  struct lst idle;     /* records without users, longest idle first */
  struct lst *buckets; /* mask + 1 lists */
};

bool
rty_take (struct rty_allowance *allowance)
{
  if (allowance->remaining == 0)
    return false;
  allowance->remaining--;
  return true;
}

uint32_t
rty_grant (struct rty_allowance *allowance)
{
  uint32_t grant = allowance->remaining / 2 + allowance->remaining % 2;

  allowance->remaining -= grant;
  allowance->granted += grant;
  return grant;
}

void
rty_return (struct rty_allowance *allowance, uint32_t grant, uint32_t unused)
{
  INVARIANT (allowance->granted >= grant);
  allowance->granted -= grant;
  allowance->remaining += unused < grant ? unused : grant;
}

void
rty_budget_init (struct rty_budget *budget, uint32_t percent, clk_us now)
{
  budget->percent = percent;
  budget->tokens = RTY_MIN_CAPACITY;
  budget->capacity = RTY_MIN_CAPACITY;
  budget->earned = 0;
  budget->refilled = now;
  budget->window = now;
}

/* Adds TOKENS up to the capacity.  */
static void
budget_add (struct rty_budget *budget, double tokens)
{
  budget->tokens += tokens;
  if (budget->tokens > budget->capacity)
    budget->tokens = budget->capacity;
}

/* Adds the minimum refill and sets the capacity to what was earned in the
   last full second.  */
static void
budget_refill (struct rty_budget *budget, clk_us now)
{
  double seconds;

  if (now <= budget->refilled)
    return;
  seconds = (double)(now - budget->refilled) / CLK_US_PER_S;
  budget->refilled = now;
  if (now - budget->window >= CLK_US_PER_S)
    {
      double spans = (double)(now - budget->window) / CLK_US_PER_S;

      budget->capacity = RTY_MIN_CAPACITY + budget->earned / spans;
      budget->earned = 0;
      budget->window = now;
    }
  budget_add (budget, seconds * RTY_MIN_TOKENS_PER_S);
}

void
rty_budget_first (struct rty_budget *budget, clk_us now)
{
  double share = budget->percent / 100.0;

  budget_refill (budget, now);
  budget->earned += share;
  budget_add (budget, share);
}

bool
rty_budget_take (struct rty_budget *budget, clk_us now)
{
  budget_refill (budget, now);
  if (budget->tokens < 1.0)
    return false;
  budget->tokens -= 1.0;
  return true;
}

void
rty_budget_put (struct rty_budget *budget)
{
  budget_add (budget, 1.0);
}

struct rty_table *
rty_table_new (const struct rty_table_opts *opts)
{
  struct rty_table *table = calloc (1, sizeof *table);
  uint32_t buckets = 16;

  if (table == NULL)
    return NULL;
  while (buckets < opts->most && buckets < 1u << 20)
    buckets *= 2;
  table->opts = *opts;
  table->mask = buckets - 1;
  lst_init (&table->idle);
  table->buckets = malloc (buckets * sizeof *table->buckets);
  if (table->buckets == NULL)
    {
      free (table);
      return NULL;
    }
  for (uint32_t i = 0; i < buckets; i++)
    lst_init (&table->buckets[i]);
  return table;
}

/* Forgets a record that is in the table.  */
static void
chain_drop (struct rty_table *table, struct rty_chain *chain)
{
  lst_remove (&chain->node);
  lst_remove (&chain->hash_node);
  table->count--;
  free (chain);
}

void
rty_table_free (struct rty_table *table)
{
  if (table == NULL)
    return;
  for (uint32_t i = 0; i <= table->mask; i++)
    lst_each (node, &table->buckets[i])
      chain_drop (table, lst_entry (node, struct rty_chain, hash_node));
  free (table->buckets);
  free (table);
}

/* Forgets the records whose keep time has passed.  */
static void
table_expire (struct rty_table *table, clk_us now)
{
  lst_each (node, &table->idle)
    {
      struct rty_chain *chain = lst_entry (node, struct rty_chain, node);

      if (now < chain->used + table->opts.keep)
        break;
      chain_drop (table, chain);
    }
}

static struct lst *
table_bucket (struct rty_table *table, uint64_t key)
{
  /* Multiplicative hash, since a key may be an identifier with few bits. */
  return &table->buckets[(key * 0x9e3779b97f4a7c15u >> 40) & table->mask];
}

static struct rty_chain *
table_find (struct rty_table *table, uint64_t key)
{
  lst_each (node, table_bucket (table, key))
    {
      struct rty_chain *chain = lst_entry (node, struct rty_chain, hash_node);

      if (chain->key == key)
        return chain;
    }
  return NULL;
}

struct rty_chain *
rty_chain_get (struct rty_table *table, uint64_t key, uint32_t allowance,
               clk_us now)
{
  struct rty_chain *chain;

  table_expire (table, now);
  chain = table_find (table, key);
  if (chain == NULL)
    {
      chain = calloc (1, sizeof *chain);
      if (chain == NULL)
        return NULL;
      chain->key = key;
      if (table->count < table->opts.most)
        {
          chain->allowance.remaining = allowance;
          lst_push_tail (table_bucket (table, key), &chain->hash_node);
          table->count++;
        }
    }
  lst_remove (&chain->node);
  chain->users++;
  chain->used = now;
  return chain;
}

void
rty_chain_put (struct rty_table *table, struct rty_chain *chain, clk_us now)
{
  INVARIANT (chain->users > 0);
  chain->users--;
  chain->used = now;
  if (chain->users > 0)
    return;
  if (lst_linked (&chain->hash_node))
    lst_push_tail (&table->idle, &chain->node);
  else
    free (chain);
}

uint32_t
rty_table_count (const struct rty_table *table)
{
  return table->count;
}
