#ifndef BENCH_TABLE_H
#define BENCH_TABLE_H

/**
 * DOC: table - the table of measures, figures and bounds
 */

#include <stdint.h>

/* Columns: no control, fixed limit, this project.  */
#define TABLE_COLUMNS 3

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
  const char *source; /* where the bound comes from */
};

void table_print_header (void);

/* Prints a row and counts a miss when the last figure breaks the bound.  */
void table_add_row (struct table *table, const struct table_row *row);

#endif
