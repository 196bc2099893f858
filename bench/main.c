#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/measure.h"

#define MAIN_SEED 1u

struct main_measure
{
  const char *name;
  void (*run) (struct table *table, uint64_t seed);
};

static const struct main_measure measures[] = {
  { "overload", measure_overload },   { "recovery", measure_recovery },
  { "swing", measure_swing },         { "blocking", measure_blocking },
  { "straggler", measure_straggler }, { "chain", measure_chain },
};

static int
usage (void)
{
  fprintf (stderr, "usage: rudder-bench [--seed N] [--variants] [MEASURE]\n");
  return 2;
}

int
main (int argc, char **argv)
{
  const char *only = NULL;
  uint64_t seed = MAIN_SEED;
  bool variants = false;
  struct table table = { 0 };

  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], "--variants") == 0)
      variants = true;
    else if (strcmp (argv[i], "--seed") == 0 && i + 1 < argc)
      seed = strtoull (argv[++i], NULL, 10);
    else if (argv[i][0] != '-')
      only = argv[i];
    else
      return usage ();
  if (variants)
    {
      measure_variants (seed);
      return 0;
    }
  printf ("virtual time, seed %llu\n", (unsigned long long)seed);
  table_print_header ();
  for (size_t i = 0; i < sizeof measures / sizeof *measures; i++)
    if (only == NULL || strcmp (only, measures[i].name) == 0)
      measures[i].run (&table, seed);
  printf ("%u rows, %u bounds broken\n", table.rows, table.broken_bounds);
  return table.rows > 0 && table.broken_bounds == 0 ? 0 : 1;
}
