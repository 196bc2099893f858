#ifndef WIRE_DIFF_H
#define WIRE_DIFF_H

/**
 * DOC: diff - line-based difference of two texts (Myers)
 */

#define DIFF_CONTEXT_LINES 3

/**
 * diff_text() - compare two texts
 * @before: old text, ends with NUL
 * @after: new text, ends with NUL
 *
 * Removed lines begin with "-", added lines with "+", up to DIFF_CONTEXT_LINES
 * equal lines around them with a space.  Each hunk begins with a line "@@ line
 * NUMBER @@", the number of its first line in @after.
 *
 * Return: malloc()ed text, empty when the texts are equal; NULL when out of
 * memory.
 */
char *diff_text (const char *before, const char *after);

#endif
