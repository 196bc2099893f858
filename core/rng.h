#ifndef CORE_RNG_H
#define CORE_RNG_H

/**
 * DOC: rng - seeded pseudo-random numbers and random bytes from the system
 *
 * The seeded generator is nrand48() of the C library; equal seeds give equal
 * sequences, which makes simulations reproducible.
 */

#include <stddef.h>
#include <stdint.h>

struct rng
{
  unsigned short state[3];
};

/* Size of an id in bytes, and of its text form in hexadecimal digits.  */
#define RNG_ID_BYTES 16
#define RNG_ID_DIGITS 32

void rng_seed (struct rng *rng, uint64_t seed);

/* Returns a uniform number in 0 … LIMIT - 1; LIMIT must not be zero.  */
uint32_t rng_below (struct rng *rng, uint32_t limit);

/* Returns a uniform number in [0, 1).  */
double rng_uniform (struct rng *rng);

/**
 * rng_os_bytes() - fill a buffer with unpredictable bytes from getrandom()
 * @out: buffer
 * @len: its length in bytes, at most 256
 */
void rng_os_bytes (uint8_t *out, size_t len);

#endif
