#ifndef WIRE_TEXT_H
#define WIRE_TEXT_H

/**
 * DOC: text - validation of strings in the configuration document
 */

#include <stdbool.h>
#include <stddef.h>

/* Syntax of a string.  */
enum text_form
{
  TEXT_NAME,   /* name of a service or a kind */
  TEXT_PATH,   /* prefix of a request path */
  TEXT_HEADER, /* name of an HTTP field that the node does not set itself */
};

/* Whether TEXT matches FORM.  */
bool text_valid (enum text_form form, const char *text);

/* Description of what FORM allows, for error messages.  */
const char *text_describe_allowed (enum text_form form);

/* Whether the node sets the HTTP field NAME itself, or it is hop-by-hop;
   ignores upper and lower case.  */
bool text_header_reserved (const char *name);

/**
 * text_nearest() - find the known name that is most similar to a word
 * @word: unknown name
 * @names: known names
 * @count: number of @names
 *
 * Return: the name with the smallest edit distance, which is at most 2 (1 for
 * words of up to 3 characters), or NULL when there is none.
 */
const char *text_nearest (const char *word, const char *const *names,
                          size_t count);

#endif
