#ifndef WIRE_DIFF_H
#define WIRE_DIFF_H

/**
 * DOC: dif - difference of two texts by lines
 */

#define DIFF_CONTEXT_LINES 3

/**
 * diff_text() - compare two texts
 * @before: text, ends with NUL
 * @after: text, ends with NUL
 *
 * Removed lines begin with "-", added ones with "+", equal ones around them
 * with a space; each part begins with a line "@@ line NUMBER @@", counted in
 * @after.
 *
 * Return: malloc()ed text, empty when the texts are equal; NULL when out of
 * memory.
 */
char *diff_text (const char *before, const char *after);

#endif
