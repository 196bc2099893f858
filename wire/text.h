#ifndef WIRE_TEXT_H
#define WIRE_TEXT_H

/**
 * DOC: txt - forms of text in the configuration document
 */

#include <stdbool.h>
#include <stddef.h>

enum text_form
{
  TEXT_NAME,   /* of a service or a kind */
  TEXT_PATH,   /* prefix of a request path */
  TEXT_HEADER, /* HTTP field that the system does not set itself */
};

/* Whether TEXT has the form.  */
bool text_valid (enum text_form form, const char *text);

/* What the form allows, for messages.  */
const char *text_describe_allowed (enum text_form form);

/* Whether the system sets the HTTP field NAME itself, in any case.  */
bool text_header_reserved (const char *name);

/**
 * text_nearest() - find the name that was probably meant
 * @word: a name that is not known
 * @names: known names
 * @count: number of @names
 *
 * Return: the known name that differs in at most two letters (one in words
 * of up to three), or NULL.
 */
const char *text_nearest (const char *word, const char *const *names,
                          size_t count);

#endif
