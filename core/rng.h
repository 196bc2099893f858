#ifndef CORE_RNG_H
#define CORE_RNG_H

/**
 * DOC: rng - seeded random numbers for decisions, and unguessable ids
 *
 * The seeded generator is nrand48 of the C library, so that runs repeat.
 */

#include <stddef.h>
#include <stdint.h>

struct rng
{
  unsigned short state[3];
};

/* Bytes in an id and hexadecimal digits in its text form.  */
#define RNG_ID_BYTES 16
#define RNG_ID_DIGITS 32

void rng_seed (struct rng *rng, uint64_t seed);

/* Uniform in 0 … LIMIT - 1; LIMIT must not be zero.  */
uint32_t rng_below (struct rng *rng, uint32_t limit);

/* Uniform in [0, 1).  */
double rng_uniform (struct rng *rng);

/**
 * rng_os_bytes() - fill a buffer with random bytes of the operating system
 * @out: buffer
 * @len: its length, at most 256
 */
void rng_os_bytes (uint8_t *out, size_t len);

#endif
