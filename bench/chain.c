#include "bench/measure.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>

/* Default of docs/design.md.  */
#define CHAIN_ALLOWANCE 3u
#define CHAIN_FIXED_ATTEMPTS 3.0
#define CHAIN_REQUESTS 200000u

/* Attempts and calls in a chain of services that call one another.  */
struct chain
{
  uint32_t calls; /* made by the caller and by servers of the chain */
  uint32_t attempts;
  uint32_t deepest_attempts; /* attempts at the last service */
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
      chain->deepest_attempts++;
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
struct random_chain
{
  struct rng rng;
  bool grant_all; /* grant all of the allowance to each child */
  double failure_rate;
  double loss_rate; /* answers, with the allowance that they carry */
};

static bool random_chain_attempt (struct random_chain *random_chain,
                                  uint32_t below, uint32_t granted,
                                  uint32_t *left);

/* One call with its retries; BELOW counts the services below the called one.
   Returns whether it succeeded.  */
static bool
random_chain_call (struct random_chain *random_chain, uint32_t below,
                   struct retry_allowance *own)
{
  bool done;

  do
    {
      uint32_t grant
          = random_chain->grant_all ? own->remaining : retry_grant (own);
      uint32_t unused;

      if (random_chain->grant_all)
        *own = (struct retry_allowance){ .granted = grant };
      done = random_chain_attempt (random_chain, below, grant, &unused);
      if (rng_uniform (&random_chain->rng) < random_chain->loss_rate)
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
random_chain_attempt (struct random_chain *random_chain, uint32_t below,
                      uint32_t granted, uint32_t *left)
{
  struct retry_allowance own = { .remaining = granted };
  bool done = rng_uniform (&random_chain->rng) >= random_chain->failure_rate;

  if (done && below > 0)
    done = random_chain_call (random_chain, below - 1, &own);
  *left = own.remaining;
  return done;
}

double
measure_random_chain_run (uint32_t depth, bool whole, double fails,
                          double lost, uint64_t seed)
{
  struct random_chain random_chain
      = { .grant_all = whole, .failure_rate = fails, .loss_rate = lost };
  uint32_t good = 0;

  rng_seed (&random_chain.rng, seed);
  for (uint32_t i = 0; i < CHAIN_REQUESTS; i++)
    {
      struct retry_allowance own = { .remaining = CHAIN_ALLOWANCE };

      good += random_chain_call (&random_chain, depth - 1, &own);
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
      struct table_row attempts = { .name = name[0], .unit = "" };
      struct table_row deepest = { .name = name[1], .unit = "" };

      snprintf (name[0], sizeof name[0], "attempts in a chain %u deep", depth);
      snprintf (name[1], sizeof name[1], "of these at the deepest service");
      attempts.unit = deepest.unit = "per request";
      attempts.figures[WORLD_NONE] = chain_product (depth, 1);
      attempts.figures[WORLD_FIXED]
          = chain_product (depth, CHAIN_FIXED_ATTEMPTS);
      attempts.figures[WORLD_ADAPTIVE] = chain.attempts;
      attempts.bound_kind = deepest.bound_kind = TABLE_MAXIMUM;
      attempts.bound = chain.calls + CHAIN_ALLOWANCE;
      attempts.source = "calls + allowance, docs/design.md";
      deepest.figures[WORLD_NONE] = 1;
      deepest.figures[WORLD_FIXED] = pow (CHAIN_FIXED_ATTEMPTS, depth);
      deepest.figures[WORLD_ADAPTIVE] = chain.deepest_attempts;
      deepest.bound = 1 + CHAIN_ALLOWANCE;
      deepest.source = "1 + allowance: independent of the depth";
      table_add_row (table, &attempts);
      table_add_row (table, &deepest);
    }
}
