#include "bench/tab.h"

#include <stdbool.h>
#include <stdio.h>

void
tab_head (void)
{
  printf ("%-44s %10s %10s %10s  %-10s %-4s  %s\n", "measure", "none", "fixed",
          "ours", "bound", "", "source of the bound");
}

static bool
row_holds (const struct tab_row *row)
{
  double figure = row->figures[TAB_COLUMNS - 1];

  switch (row->kind)
    {
    case TAB_NO_BOUND:
      return true;
    case TAB_AT_LEAST:
      return figure >= row->bound;
    case TAB_AT_MOST:
      return figure <= row->bound;
    }
  return false;
}

void
tab_add (struct tab *tab, const struct tab_row *row)
{
  char bound[24] = "-";
  char measure[64];

  if (row->kind != TAB_NO_BOUND)
    snprintf (bound, sizeof bound, "%s %.4g",
              row->kind == TAB_AT_LEAST ? ">=" : "<=", row->bound);
  snprintf (measure, sizeof measure, "%s, %s", row->measure, row->unit);
  printf ("%-44s", measure);
  for (int i = 0; i < TAB_COLUMNS; i++)
    printf (" %10.4g", row->figures[i]);
  printf ("  %-10s %-4s  %s\n", bound,
          row->kind == TAB_NO_BOUND ? ""
          : row_holds (row)         ? "ok"
                                    : "MISS",
          row->source);
  fflush (stdout);
  tab->rows++;
  tab->misses += !row_holds (row);
}
