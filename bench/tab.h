#ifndef BENCH_TAB_H
#define BENCH_TAB_H

/**
 * DOC: tab - the table of measures, figures and bounds
 */

#include <stdint.h>

/* Columns: no control, fixed limit, this project.  */
#define TAB_COLUMNS 3

enum tab_bound
{
  TAB_NO_BOUND,
  TAB_AT_LEAST,
  TAB_AT_MOST,
};

struct tab
{
  uint32_t rows;
  uint32_t misses;
};

struct tab_row
{
  const char *measure;
  const char *unit;
  double figures[TAB_COLUMNS];
  enum tab_bound kind;
  double bound;
  const char *source; /* where the bound comes from */
};

void tab_head (void);

/* Prints a row and counts a miss when the last figure breaks the bound.  */
void tab_add (struct tab *tab, const struct tab_row *row);

#endif
