#ifndef BENCH_TABLE_H
#define BENCH_TABLE_H

/**
 * DOC: table - prints the results of the benchmark and checks their bounds
 */

#include <stdint.h>

/* No control, fixed limit, adaptive control (this project).  */
#define TABLE_COLUMNS 3

/* Bound on the last figure of a row.  */
enum table_bound_kind
{
  TABLE_NO_BOUND,
  TABLE_MINIMUM,
  TABLE_MAXIMUM,
};

struct table
{
  uint32_t rows;
  uint32_t broken_bounds;
};

struct table_row
{
  const char *name;
  const char *unit;
  double figures[TABLE_COLUMNS];
  enum table_bound_kind bound_kind;
  double bound;
  const char *source; /* origin of the bound */
};

void table_print_header (void);

/* Prints a row, and counts its bound as broken when the last figure violates
   it.  */
void table_add_row (struct table *table, const struct table_row *row);

#endif
