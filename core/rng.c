#include "core/rng.h"

#include <stdlib.h>
#include <sys/random.h>

#include "core/err.h"

void
rng_seed (struct rng *rng, uint64_t seed)
{
  rng->state[0] = (unsigned short)(seed & 0xffffu);
  rng->state[1] = (unsigned short)((seed >> 16) & 0xffffu);
  rng->state[2] = (unsigned short)(((seed >> 32) ^ (seed >> 48)) & 0xffffu);
}

uint32_t
rng_below (struct rng *rng, uint32_t limit)
{
  INVARIANT (limit > 0);
  return (uint32_t)((uint64_t)nrand48 (rng->state) * limit >> 31);
}

double
rng_uniform (struct rng *rng)
{
  return erand48 (rng->state);
}

void
rng_os_bytes (uint8_t *out, size_t len)
{
  ssize_t filled = getrandom (out, len, 0);

  INVARIANT (filled == (ssize_t)len);
}
