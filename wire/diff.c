#include "wire/diff.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Maximum number of changed lines for which the shortest difference is
   computed, which takes about 4 bytes times its square.  Texts that differ
   more are shown as replaced between their common prefix and suffix.  */
#define DIFF_EDITS_MAX 1500

struct diff_line
{
  const char *text;
  size_t len;
  bool changed; /* removed or added */
};

/* The lines of one text.  */
struct diff_side
{
  struct diff_line *lines;
  int count;
};

/* The lines between the common prefix and suffix of both texts.  */
struct diff_range
{
  struct diff_line *before;
  struct diff_line *after;
  int before_count;
  int after_count;
};

/* Splits TEXT into lines.  */
static int
diff_split (struct diff_side *side, const char *text)
{
  size_t count = 1;

  for (const char *c = text; *c != '\0'; c++)
    if (*c == '\n')
      count++;
  side->count = 0;
  side->lines = calloc (count, sizeof *side->lines);
  if (side->lines == NULL)
    return SR_ENOMEM;
  while (*text != '\0')
    {
      size_t len = strcspn (text, "\n");

      side->lines[side->count++]
          = (struct diff_line){ .text = text, .len = len };
      text += len + (text[len] == '\n' ? 1 : 0);
    }
  return SR_OK;
}

static bool
diff_lines_equal (const struct diff_line *a, const struct diff_line *b)
{
  return a->len == b->len && memcmp (a->text, b->text, a->len) == 0;
}

/* Returns the lines without the common prefix and suffix.  */
static struct diff_range
diff_trim (const struct diff_side *before, const struct diff_side *after)
{
  struct diff_range range
      = { before->lines, after->lines, before->count, after->count };

  while (range.before_count > 0 && range.after_count > 0
         && diff_lines_equal (range.before, range.after))
    {
      range.before++;
      range.after++;
      range.before_count--;
      range.after_count--;
    }
  while (range.before_count > 0 && range.after_count > 0
         && diff_lines_equal (&range.before[range.before_count - 1],
                              &range.after[range.after_count - 1]))
    {
      range.before_count--;
      range.after_count--;
    }
  return range;
}

/* Row of the search for EDITS edits, indexed by the diagonals -EDITS … EDITS:
   the furthest line of the old text that is reached on each diagonal.  The
   rows follow each other in one array.  */
static int *
diff_row (int *rows, int edits)
{
  return rows + (size_t)edits * (size_t)edits + (size_t)edits;
}

/* Whether the furthest path to DIAGONAL with EDITS edits ends with an added
   line; PREVIOUS is the row for one edit less.  */
static bool
diff_ends_with_addition (const int *previous, int edits, int diagonal)
{
  if (diagonal == -edits)
    return true;
  if (diagonal == edits)
    return false;
  return previous[diagonal - 1] < previous[diagonal + 1];
}

/* Computes the row for EDITS edits.  Returns true when a path reaches the end
   of both texts.  */
static bool
diff_fill_row (const struct diff_range *range, int *rows, int edits)
{
  int *row = diff_row (rows, edits);
  const int *previous = edits == 0 ? NULL : diff_row (rows, edits - 1);

  for (int diagonal = -edits; diagonal <= edits; diagonal += 2)
    {
      int x = 0;
      int y;

      if (edits > 0 && diff_ends_with_addition (previous, edits, diagonal))
        x = previous[diagonal + 1];
      else if (edits > 0)
        x = previous[diagonal - 1] + 1;
      y = x - diagonal;
      while (x < range->before_count && y < range->after_count
             && diff_lines_equal (&range->before[x], &range->after[y]))
        {
          x++;
          y++;
        }
      row[diagonal] = x;
      if (x >= range->before_count && y >= range->after_count)
        return true;
    }
  return false;
}

/* Traces the path back from the end of both texts and marks changed lines.  */
static void
diff_mark_edits (const struct diff_range *range, int *rows, int edits)
{
  int diagonal = range->before_count - range->after_count;

  for (; edits > 0; edits--)
    {
      const int *previous = diff_row (rows, edits - 1);

      if (diff_ends_with_addition (previous, edits, diagonal))
        {
          diagonal++;
          range->after[previous[diagonal] - diagonal].changed = true;
        }
      else
        {
          diagonal--;
          range->before[previous[diagonal]].changed = true;
        }
    }
}

/* Marks all lines of the range as changed.  */
static void
diff_mark_all (const struct diff_range *range)
{
  for (int i = 0; i < range->before_count; i++)
    range->before[i].changed = true;
  for (int i = 0; i < range->after_count; i++)
    range->after[i].changed = true;
}

/* Marks a minimal set of changed lines (algorithm of Myers); all lines when
   there are more than DIFF_EDITS_MAX.  */
static int
diff_mark_changes (const struct diff_range *range)
{
  int max_edits = range->before_count + range->after_count;
  int *rows;
  int edits = 0;

  if (max_edits > DIFF_EDITS_MAX)
    max_edits = DIFF_EDITS_MAX;
  rows = calloc ((size_t)(max_edits + 1) * (size_t)(max_edits + 1),
                 sizeof *rows);
  if (rows == NULL)
    return SR_ENOMEM;
  while (edits <= max_edits && !diff_fill_row (range, rows, edits))
    edits++;
  if (edits <= max_edits)
    diff_mark_edits (range, rows, edits);
  else
    diff_mark_all (range);
  free (rows);
  return SR_OK;
}

/* Writes lines FROM … TO - 1 of SIDE, each after SIGN.  */
static void
diff_write_lines (FILE *out, const struct diff_side *side, int from, int to,
                  char sign)
{
  for (int i = from; i < to; i++)
    fprintf (out, "%c%.*s\n", sign, (int)side->lines[i].len,
             side->lines[i].text);
}

/* Index after the changed lines that begin at index LINE.  */
static int
diff_skip_changed (const struct diff_side *side, int line)
{
  while (line < side->count && side->lines[line].changed)
    line++;
  return line;
}

/* Number of unchanged lines from I and J on, at most MAX.  */
static int
diff_count_equal (const struct diff_side *before, int i,
                  const struct diff_side *after, int j, int max)
{
  int count = 0;

  while (count < max && i + count < before->count && j + count < after->count
         && !before->lines[i + count].changed
         && !after->lines[j + count].changed)
    count++;
  return count;
}

/* Writes the changed lines with their context, as hunks.  */
static void
diff_write_hunks (FILE *out, const struct diff_side *before,
                  const struct diff_side *after)
{
  int written = 0; /* lines of AFTER before this are written or skipped */
  int i = 0;
  int j = 0;

  while (i < before->count || j < after->count)
    {
      int before_end = diff_skip_changed (before, i);
      int after_end = diff_skip_changed (after, j);
      int start = j - DIFF_CONTEXT_LINES;
      int context;

      if (before_end == i && after_end == j)
        {
          i++;
          j++;
          continue;
        }
      if (start <= written)
        start = written;
      if (start > written || written == 0)
        fprintf (out, "@@ line %d @@\n", start + 1);
      diff_write_lines (out, after, start, j, ' ');
      diff_write_lines (out, before, i, before_end, '-');
      diff_write_lines (out, after, j, after_end, '+');
      context = diff_count_equal (before, before_end, after, after_end,
                                  DIFF_CONTEXT_LINES);
      diff_write_lines (out, after, after_end, after_end + context, ' ');
      i = before_end + context;
      j = after_end + context;
      written = j;
    }
}

char *
diff_text (const char *before, const char *after)
{
  struct diff_side left = { 0 };
  struct diff_side right = { 0 };
  struct diff_range range;
  char *text = NULL;
  size_t size;
  FILE *out;

  if (diff_split (&left, before) == SR_OK
      && diff_split (&right, after) == SR_OK)
    {
      range = diff_trim (&left, &right);
      out = open_memstream (&text, &size);
      if (out != NULL && diff_mark_changes (&range) == SR_OK)
        diff_write_hunks (out, &left, &right);
      if (out != NULL)
        fclose (out);
    }
  free (left.lines);
  free (right.lines);
  return text;
}
