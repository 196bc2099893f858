#ifndef WIRE_TEXT_H
#define WIRE_TEXT_H

/**
 * DOC: txt - forms of text in the configuration document
 */

#include <stdbool.h>
#include <stddef.h>

enum txt_form
{
  TXT_NAME,   /* of a service or a kind */
  TXT_PATH,   /* prefix of a request path */
  TXT_HEADER, /* HTTP field that the system does not set itself */
};

/* Whether TEXT has the form.  */
bool txt_valid (enum txt_form form, const char *text);

/* What the form allows, for messages.  */
const char *txt_allowed (enum txt_form form);

/* Whether the system sets the HTTP field NAME itself, in any case.  */
bool txt_header_reserved (const char *name);

/**
 * txt_nearest() - find the name that was probably meant
 * @word: a name that is not known
 * @names: known names
 * @count: number of @names
 *
 * Return: the known name that differs in at most two letters (one in words
 * of up to three), or NULL.
 */
const char *txt_nearest (const char *word, const char *const *names,
                         size_t count);

#endif
