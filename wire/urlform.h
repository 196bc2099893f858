#ifndef WIRE_URLFORM_H
#define WIRE_URLFORM_H

/**
 * DOC: urlform - decoder of application/x-www-form-urlencoded bodies
 */

#include <stddef.h>

#include "core/list.h"

#define URLFORM_BODY_BYTES_MAX (8 * 1024 * 1024)
#define URLFORM_PAIRS_MAX 600000

struct urlform_pair
{
  struct list_node node;
  char *name; /* both are decoded, end with NUL and follow the struct */
  char *value;
};

struct urlform
{
  struct list pairs; /* struct urlform_pair, in the order of the body */
};

/**
 * urlform_parse() - decode a form
 * @form: initialised and filled; to be released with urlform_free(), also
 *        after an error
 * @body: encoded form, not necessarily terminated by NUL
 * @len: its length in bytes
 *
 * NUL bytes are replaced by "?", because no field allows them.
 *
 * Return: SR_OK; SR_EFULL when the body is longer than URLFORM_BODY_BYTES_MAX
 * or has more than URLFORM_PAIRS_MAX fields; SR_ENOMEM.
 */
int urlform_parse (struct urlform *form, const char *body, size_t len);

void urlform_free (struct urlform *form);

/* Value of the first field with the name NAME, or NULL.  */
const char *urlform_get (const struct urlform *form, const char *name);

#endif
