#include "bench/measure.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>

/* Default retry allowance in docs/design.md.  */
#define CHAIN_ALLOWANCE 3u
#define CHAIN_FIXED_ATTEMPTS 3.0
#define CHAIN_REQUESTS 200000u

/* Attempts and calls in a chain of services that call one another.  */
struct chain
{
  uint32_t calls; /* by the caller and by the servers of the chain */
  uint32_t attempts;
  uint32_t deepest_attempts; /* at the last service */
};

/* Makes one attempt at a service that has BELOW services below it, the last of
   which always fails.  Returns the unused allowance.  */
static uint32_t
chain_attempt (struct chain *chain, uint32_t below, uint32_t granted)
{
  struct retry_allowance own = { .remaining = granted };

  chain->attempts++;
  if (below == 0)
    {
      chain->deepest_attempts++;
      return granted;
    }
  chain->calls++;
  do
    {
      uint32_t grant = retry_allowance_grant (&own);

      retry_allowance_return (&own, grant,
                              chain_attempt (chain, below - 1, grant));
    }
  while (retry_allowance_take (&own));
  return own.remaining;
}

/* Chain with random failures, to compare policies that split the allowance. */
struct random_chain
{
  struct rng rng;
  bool grant_all; /* grant the whole allowance to each child */
  double failure_rate;
  double loss_rate; /* of responses, with the unused allowance in them */
};

static bool random_chain_attempt (struct random_chain *chain, uint32_t below,
                                  uint32_t granted, uint32_t *unused);

/* Makes one call with its retries; BELOW is the number of services below the
   called one.  Returns whether it succeeded.  */
static bool
random_chain_call (struct random_chain *chain, uint32_t below,
                   struct retry_allowance *own)
{
  bool ok;

  do
    {
      uint32_t grant
          = chain->grant_all ? own->remaining : retry_allowance_grant (own);
      uint32_t unused;

      if (chain->grant_all)
        *own = (struct retry_allowance){ .granted = grant };
      ok = random_chain_attempt (chain, below, grant, &unused);
      if (rng_uniform (&chain->rng) < chain->loss_rate)
        {
          ok = false;
          unused = 0;
        }
      retry_allowance_return (own, grant, unused);
    }
  while (!ok && retry_allowance_take (own));
  return ok;
}

/* Makes one attempt and sets *UNUSED to its unused allowance.  Returns whether
   it succeeded.  */
static bool
random_chain_attempt (struct random_chain *chain, uint32_t below,
                      uint32_t granted, uint32_t *unused)
{
  struct retry_allowance own = { .remaining = granted };
  bool ok = rng_uniform (&chain->rng) >= chain->failure_rate;

  if (ok && below > 0)
    ok = random_chain_call (chain, below - 1, &own);
  *unused = own.remaining;
  return ok;
}

double
measure_random_chain_run (uint32_t depth, bool grant_all, double failure_rate,
                          double loss_rate, uint64_t seed)
{
  struct random_chain chain = { .grant_all = grant_all,
                                .failure_rate = failure_rate,
                                .loss_rate = loss_rate };
  uint32_t succeeded = 0;

  rng_seed (&chain.rng, seed);
  for (uint32_t i = 0; i < CHAIN_REQUESTS; i++)
    {
      struct retry_allowance own = { .remaining = CHAIN_ALLOWANCE };

      succeeded += random_chain_call (&chain, depth - 1, &own);
    }
  return 100.0 * succeeded / CHAIN_REQUESTS;
}

/* Makes one call to a chain of DEPTH services, the last of which always
   fails.  */
static struct chain
chain_call (uint32_t depth)
{
  struct chain chain = { .calls = 1 };
  struct retry_allowance own = { .remaining = CHAIN_ALLOWANCE };

  do
    {
      uint32_t grant = retry_allowance_grant (&own);

      retry_allowance_return (&own, grant,
                              chain_attempt (&chain, depth - 1, grant));
    }
  while (retry_allowance_take (&own));
  return chain;
}

/* Total number of attempts when each hop makes ATTEMPTS attempts.  */
static double
chain_product (uint32_t depth, double attempts)
{
  double total = 0;

  for (uint32_t hop = 1; hop <= depth; hop++)
    total += pow (attempts, hop);
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
