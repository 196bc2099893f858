#include "bench/mea.h"

void
mea_variants (uint64_t seed)
{
  (void)seed;
}
