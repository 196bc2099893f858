#include "bench/table.h"

#include <stdbool.h>
#include <stdio.h>

void
table_print_header (void)
{
  printf ("%-44s %10s %10s %10s  %-10s %-4s  %s\n", "measure", "none", "fixed",
          "ours", "bound", "", "source of the bound");
}

static bool
table_row_within_bound (const struct table_row *row)
{
  double figure = row->figures[TABLE_COLUMNS - 1];

  switch (row->bound_kind)
    {
    case TABLE_NO_BOUND:
      return true;
    case TABLE_MINIMUM:
      return figure >= row->bound;
    case TABLE_MAXIMUM:
      return figure <= row->bound;
    }
  return false;
}

void
table_add_row (struct table *table, const struct table_row *row)
{
  char bound[24] = "-";
  char name[64];

  if (row->bound_kind != TABLE_NO_BOUND)
    snprintf (bound, sizeof bound, "%s %.4g",
              row->bound_kind == TABLE_MINIMUM ? ">=" : "<=", row->bound);
  snprintf (name, sizeof name, "%s, %s", row->name, row->unit);
  printf ("%-44s", name);
  for (int i = 0; i < TABLE_COLUMNS; i++)
    printf (" %10.4g", row->figures[i]);
  printf ("  %-10s %-4s  %s\n", bound,
          row->bound_kind == TABLE_NO_BOUND ? ""
          : table_row_within_bound (row)    ? "ok"
                                            : "MISS",
          row->source);
  fflush (stdout);
  table->rows++;
  table->broken_bounds += !table_row_within_bound (row);
}
