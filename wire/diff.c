#include "wire/diff.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Most changed lines for which the shortest difference is searched; the
   search keeps about this number squared times 4 bytes.  Texts that differ
   more are shown as replaced between their common start and end.  */
#define DIFF_EDITS_MAX 1500

struct diff_line
{
  const char *text;
  size_t len;
  bool changed; /* not part of the other text */
};

struct diff_side
{
  struct diff_line *lines;
  int count;
};

/* The part between the common start and end of both texts.  */
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

/* Leaves out the common start and end.  */
static struct diff_range
diff_trim (const struct diff_side *before, const struct diff_side *after)
{
  struct diff_range part
      = { before->lines, after->lines, before->count, after->count };

  while (part.before_count > 0 && part.after_count > 0
         && diff_lines_equal (part.before, part.after))
    {
      part.before++;
      part.after++;
      part.before_count--;
      part.after_count--;
    }
  while (part.before_count > 0 && part.after_count > 0
         && diff_lines_equal (&part.before[part.before_count - 1],
                              &part.after[part.after_count - 1]))
    {
      part.before_count--;
      part.after_count--;
    }
  return part;
}

/* Row EDITS of the search: how far into the text before each diagonal
   -EDITS … EDITS reaches.  The rows lie one after the other.  */
static int *
diff_row (int *rows, int edits)
{
  return rows + (size_t)edits * (size_t)edits + (size_t)edits;
}

/* Whether the best way to DIAGONAL with EDITS edits ends with an added line;
   PREVIOUS is the row for one edit less.  */
static bool
diff_ends_with_addition (const int *previous, int edits, int diagonal)
{
  if (diagonal == -edits)
    return true;
  if (diagonal == edits)
    return false;
  return previous[diagonal - 1] < previous[diagonal + 1];
}

/* Fills the row for EDITS edits; true when the end of both texts is reached.
 */
static bool
diff_fill_row (const struct diff_range *part, int *rows, int edits)
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
      while (x < part->before_count && y < part->after_count
             && diff_lines_equal (&part->before[x], &part->after[y]))
        {
          x++;
          y++;
        }
      row[diagonal] = x;
      if (x >= part->before_count && y >= part->after_count)
        return true;
    }
  return false;
}

/* Follows the rows back from the end and marks the changed lines.  */
static void
diff_mark_edits (const struct diff_range *part, int *rows, int edits)
{
  int diagonal = part->before_count - part->after_count;

  for (; edits > 0; edits--)
    {
      const int *previous = diff_row (rows, edits - 1);

      if (diff_ends_with_addition (previous, edits, diagonal))
        {
          diagonal++;
          part->after[previous[diagonal] - diagonal].changed = true;
        }
      else
        {
          diagonal--;
          part->before[previous[diagonal]].changed = true;
        }
    }
}

/* Marks every line of the part as changed.  */
static void
diff_mark_all (const struct diff_range *part)
{
  for (int i = 0; i < part->before_count; i++)
    part->before[i].changed = true;
  for (int i = 0; i < part->after_count; i++)
    part->after[i].changed = true;
}

/* Marks the lines that differ, by the search of Myers for the fewest.  */
static int
diff_mark_changes (const struct diff_range *part)
{
  int most = part->before_count + part->after_count;
  int *rows;
  int edits = 0;

  if (most > DIFF_EDITS_MAX)
    most = DIFF_EDITS_MAX;
  rows = calloc ((size_t)(most + 1) * (size_t)(most + 1), sizeof *rows);
  if (rows == NULL)
    return SR_ENOMEM;
  while (edits <= most && !diff_fill_row (part, rows, edits))
    edits++;
  if (edits <= most)
    diff_mark_edits (part, rows, edits);
  else
    diff_mark_all (part);
  free (rows);
  return SR_OK;
}

/* Writes lines FROM … TO - 1 of SIDE after the sign.  */
static void
diff_write_lines (FILE *out, const struct diff_side *side, int from, int to,
                  char sign)
{
  for (int i = from; i < to; i++)
    fprintf (out, "%c%.*s\n", sign, (int)side->lines[i].len,
             side->lines[i].text);
}

/* Position after the changed lines that begin at AT.  */
static int
diff_skip_changed (const struct diff_side *side, int at)
{
  while (at < side->count && side->lines[at].changed)
    at++;
  return at;
}

/* Lines that both texts have from I and J on, at most MOST.  */
static int
diff_count_equal (const struct diff_side *before, int i,
                  const struct diff_side *after, int j, int most)
{
  int run = 0;

  while (run < most && i + run < before->count && j + run < after->count
         && !before->lines[i + run].changed && !after->lines[j + run].changed)
    run++;
  return run;
}

/* Writes the changed parts with the lines around them.  */
static void
diff_write_hunks (FILE *out, const struct diff_side *before,
                  const struct diff_side *after)
{
  int shown = 0; /* lines of AFTER written or passed by */
  int i = 0;
  int j = 0;

  while (i < before->count || j < after->count)
    {
      int before_end = diff_skip_changed (before, i);
      int after_end = diff_skip_changed (after, j);
      int start = j - DIFF_CONTEXT_LINES;
      int run;

      if (before_end == i && after_end == j)
        {
          i++;
          j++;
          continue;
        }
      if (start <= shown)
        start = shown;
      if (start > shown || shown == 0)
        fprintf (out, "@@ line %d @@\n", start + 1);
      diff_write_lines (out, after, start, j, ' ');
      diff_write_lines (out, before, i, before_end, '-');
      diff_write_lines (out, after, j, after_end, '+');
      run = diff_count_equal (before, before_end, after, after_end,
                              DIFF_CONTEXT_LINES);
      diff_write_lines (out, after, after_end, after_end + run, ' ');
      i = before_end + run;
      j = after_end + run;
      shown = j;
    }
}

char *
diff_text (const char *before, const char *after)
{
  struct diff_side left = { 0 };
  struct diff_side right = { 0 };
  struct diff_range part;
  char *text = NULL;
  size_t size;
  FILE *out;

  if (diff_split (&left, before) == SR_OK
      && diff_split (&right, after) == SR_OK)
    {
      part = diff_trim (&left, &right);
      out = open_memstream (&text, &size);
      if (out != NULL && diff_mark_changes (&part) == SR_OK)
        diff_write_hunks (out, &left, &right);
      if (out != NULL)
        fclose (out);
    }
  free (left.lines);
  free (right.lines);
  return text;
}
