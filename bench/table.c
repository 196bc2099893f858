#include "bench/table.h"

#include <stdbool.h>
#include <stdio.h>

void
table_head (void)
{
  printf ("%-44s %10s %10s %10s  %-10s %-4s  %s\n", "measure", "none", "fixed",
          "ours", "bound", "", "source of the bound");
}

static bool
row_holds (const struct table_row *row)
{
  double figure = row->figures[TABLE_COLUMNS - 1];

  switch (row->kind)
    {
    case TABLE_NO_BOUND:
      return true;
    case TABLE_AT_LEAST:
      return figure >= row->bound;
    case TABLE_AT_MOST:
      return figure <= row->bound;
    }
  return false;
}

void
table_add (struct table *table, const struct table_row *row)
{
  char bound[24] = "-";
  char measure[64];

  if (row->kind != TABLE_NO_BOUND)
    snprintf (bound, sizeof bound, "%s %.4g",
              row->kind == TABLE_AT_LEAST ? ">=" : "<=", row->bound);
  snprintf (measure, sizeof measure, "%s, %s", row->measure, row->unit);
  printf ("%-44s", measure);
  for (int i = 0; i < TABLE_COLUMNS; i++)
    printf (" %10.4g", row->figures[i]);
  printf ("  %-10s %-4s  %s\n", bound,
          row->kind == TABLE_NO_BOUND ? ""
          : row_holds (row)           ? "ok"
                                      : "MISS",
          row->source);
  fflush (stdout);
  table->rows++;
  table->misses += !row_holds (row);
}
