#include "core/clk.h"

#include <time.h>

clk_us
clk_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return clk_s (ts.tv_sec) + (clk_us)ts.tv_nsec / 1000u;
}

uint64_t
clk_wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (uint64_t)ts.tv_sec * 1000u + (uint64_t)ts.tv_nsec / 1000000u;
}
