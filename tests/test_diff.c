#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/rng.h"
#include "tests/suite.h"
#include "wire/diff.h"

/* Length of the first line of TEXT, with its line feed.  */
static size_t
line_len (const char *text)
{
  size_t len = strcspn (text, "\n");

  return len + (text[len] == '\n' ? 1 : 0);
}

/* Copies lines of *FROM up to line NUMBER; *LINE is the number of the first
   one.  */
static void
copy_until (FILE *out, const char **from, int *line, int number)
{
  for (; *line < number && **from != '\0'; (*line)++)
    {
      fwrite (*from, 1, line_len (*from), out);
      *from += line_len (*from);
    }
}

/* Restores the old text from AFTER and the difference.  */
static char *
reverse (const char *after, const char *difference)
{
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);
  int line = 1;

  for (; *difference != '\0'; difference += line_len (difference))
    {
      int number;

      if (sscanf (difference, "@@ line %d @@", &number) == 1)
        {
          copy_until (out, &after, &line, number);
          continue;
        }
      if (difference[0] == '-')
        {
          fwrite (difference + 1, 1, line_len (difference) - 1, out);
          continue;
        }
      CU_ASSERT_EQUAL (
          strncmp (difference + 1, after, line_len (difference) - 1), 0);
      if (difference[0] == ' ')
        fwrite (after, 1, line_len (after), out);
      after += line_len (after);
      line++;
    }
  copy_until (out, &after, &line, 1 << 30);
  fclose (out);
  return text;
}

/* Makes a text of COUNT random lines, of which DISTINCT_LINES are
   different.  */
static char *
make_text (struct rng *rng, uint32_t count, uint32_t distinct_lines)
{
  char *text = calloc (count + 1, 8);
  size_t used = 0;

  for (uint32_t i = 0; i < count; i++)
    used += (size_t)sprintf (text + used, "%u\n",
                             rng_below (rng, distinct_lines));
  return text;
}

static void
check_reverse (const char *before, const char *after)
{
  char *difference = diff_text (before, after);
  char *restored = reverse (after, difference);

  CU_ASSERT_STRING_EQUAL (restored, before);
  CU_ASSERT_EQUAL (difference[0] == '\0', strcmp (before, after) == 0);
  free (difference);
  free (restored);
}

/* A difference must turn one text exactly into the other.  Few different lines
   give many possible matches.  */
static void
test_reversible (void)
{
  struct rng rng;

  rng_seed (&rng, 7);
  for (int i = 0; i < 2000; i++)
    {
      char *before = make_text (&rng, rng_below (&rng, 40), 4);
      char *after = make_text (&rng, rng_below (&rng, 40), 4);

      check_reverse (before, after);
      free (before);
      free (after);
    }
}

/* Texts that differ in more lines than the search considers must still give a
   correct difference.  */
static void
test_many_changes (void)
{
  struct rng rng;
  char *before;
  char *after;

  rng_seed (&rng, 8);
  before = make_text (&rng, 3000, 1000000);
  after = make_text (&rng, 3000, 1000000);
  check_reverse (before, after);
  free (before);
  free (after);
}

/* A difference must show only the changed lines and their context.  */
static void
test_context (void)
{
  char *difference = diff_text ("a\nb\nc\nd\ne\nf\ng\nh\ni\n",
                                "a\nb\nc\nd\nE\nf\ng\nh\ni\n");

  CU_ASSERT_STRING_EQUAL (difference,
                          "@@ line 2 @@\n b\n c\n d\n-e\n+E\n f\n g\n h\n");
  free (difference);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "difference can be reversed", test_reversible },
          { "more changes than the search considers", test_many_changes },
          { "only changed lines and context", test_context },
          { NULL, NULL } };

  return suite_run ("diff", tests);
}
