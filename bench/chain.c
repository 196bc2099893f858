#include "bench/measure.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>

/* Default of docs/design.md.  */
#define CHAIN_ALLOWANCE 3u
#define CHAIN_FIXED_TRIES 3.0
#define CHAIN_REQUESTS 200000u

/* Attempts and calls in a chain of services that call one another.  */
struct chain
{
  uint32_t calls; /* made by the caller and by servers of the chain */
  uint32_t attempts;
  uint32_t deepest; /* attempts at the last service */
};

/* One attempt at a service with LEFT services below it, the last of which
   always fails.  Returns the allowance that is left.  */
static uint32_t
chain_attempt (struct chain *chain, uint32_t left, uint32_t granted)
{
  struct retry_allowance own = { .remaining = granted };

  chain->attempts++;
  if (left == 0)
    {
      chain->deepest++;
      return granted;
    }
  chain->calls++;
  do
    {
      uint32_t grant = retry_grant (&own);

      retry_return (&own, grant, chain_attempt (chain, left - 1, grant));
    }
  while (retry_take (&own));
  return own.remaining;
}

/* Chain with failures at random, to compare ways to split the allowance.  */
struct chance
{
  struct rng rng;
  bool whole; /* grant all of the allowance to each child */
  double fails;
  double lost; /* answers, with the allowance that they carry */
};

static bool chance_attempt (struct chance *chance, uint32_t below,
                            uint32_t granted, uint32_t *left);

/* One call with its retries; BELOW counts the services below the called one.
   Returns whether it succeeded.  */
static bool
chance_call (struct chance *chance, uint32_t below,
             struct retry_allowance *own)
{
  bool done;

  do
    {
      uint32_t grant = chance->whole ? own->remaining : retry_grant (own);
      uint32_t unused;

      if (chance->whole)
        *own = (struct retry_allowance){ .granted = grant };
      done = chance_attempt (chance, below, grant, &unused);
      if (rng_uniform (&chance->rng) < chance->lost)
        {
          done = false;
          unused = 0;
        }
      retry_return (own, grant, unused);
    }
  while (!done && retry_take (own));
  return done;
}

/* One attempt; what is left of its allowance is set in LEFT.  */
static bool
chance_attempt (struct chance *chance, uint32_t below, uint32_t granted,
                uint32_t *left)
{
  struct retry_allowance own = { .remaining = granted };
  bool done = rng_uniform (&chance->rng) >= chance->fails;

  if (done && below > 0)
    done = chance_call (chance, below - 1, &own);
  *left = own.remaining;
  return done;
}

double
measure_chance_run (uint32_t depth, bool whole, double fails, double lost,
                    uint64_t seed)
{
  struct chance chance = { .whole = whole, .fails = fails, .lost = lost };
  uint32_t good = 0;

  rng_seed (&chance.rng, seed);
  for (uint32_t i = 0; i < CHAIN_REQUESTS; i++)
    {
      struct retry_allowance own = { .remaining = CHAIN_ALLOWANCE };

      good += chance_call (&chance, depth - 1, &own);
    }
  return 100.0 * good / CHAIN_REQUESTS;
}

/* The caller's request at the entry.  */
static struct chain
chain_call (uint32_t depth)
{
  struct chain chain = { .calls = 1 };
  struct retry_allowance own = { .remaining = CHAIN_ALLOWANCE };

  do
    {
      uint32_t grant = retry_grant (&own);

      retry_return (&own, grant, chain_attempt (&chain, depth - 1, grant));
    }
  while (retry_take (&own));
  return chain;
}

/* Attempts in all when each hop tries TRIES times.  */
static double
chain_product (uint32_t depth, double tries)
{
  double total = 0;

  for (uint32_t hop = 1; hop <= depth; hop++)
    total += pow (tries, hop);
  return total;
}

void
measure_chain (struct table *table, uint64_t seed)
{
  static const uint32_t depths[] = { 1, 4, 12, 29 };

  (void)seed;
  for (int i = 0; i < 4; i++)
    {
      char name[2][48];
      uint32_t depth = depths[i];
      struct chain chain = chain_call (depth);
      struct table_row attempts = { .measure = name[0], .unit = "" };
      struct table_row deepest = { .measure = name[1], .unit = "" };

      snprintf (name[0], sizeof name[0], "attempts in a chain %u deep", depth);
      snprintf (name[1], sizeof name[1], "of these at the deepest service");
      attempts.unit = deepest.unit = "per request";
      attempts.figures[WORLD_NONE] = chain_product (depth, 1);
      attempts.figures[WORLD_FIXED] = chain_product (depth, CHAIN_FIXED_TRIES);
      attempts.figures[WORLD_OURS] = chain.attempts;
      attempts.kind = deepest.kind = TABLE_AT_MOST;
      attempts.bound = chain.calls + CHAIN_ALLOWANCE;
      attempts.source = "calls + allowance, docs/design.md";
      deepest.figures[WORLD_NONE] = 1;
      deepest.figures[WORLD_FIXED] = pow (CHAIN_FIXED_TRIES, depth);
      deepest.figures[WORLD_OURS] = chain.deepest;
      deepest.bound = 1 + CHAIN_ALLOWANCE;
      deepest.source = "1 + allowance: independent of the depth";
      table_add (table, &attempts);
      table_add (table, &deepest);
    }
}
