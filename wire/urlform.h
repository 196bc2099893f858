#ifndef WIRE_URLFORM_H
#define WIRE_URLFORM_H

/**
 * DOC: urlform - bodies of type application/x-www-form-urlencoded
 */

#include <stddef.h>

#include "core/list.h"

#define URLFORM_BODY_BYTES_MAX (8 * 1024 * 1024)
#define URLFORM_PAIRS_MAX 600000

struct urlform_pair
{
  struct list_node node;
  char *name; /* NAME and VALUE end with NUL and lie behind the struct */
  char *value;
};

struct urlform
{
  struct list pairs; /* struct urlform_pair, in the order of the body */
};

/**
 * urlform_parse() - decode a form
 * @form: initialised and filled; released with urlform_free() also on failure
 * @body: encoded form, not necessarily terminated by NUL
 * @len: its length
 *
 * Encoded NUL bytes become "?", because no field allows them.
 *
 * Return: SR_OK, SR_EFULL for a body or a number of fields beyond the limits,
 * SR_ENOMEM.
 */
int urlform_parse (struct urlform *form, const char *body, size_t len);

void urlform_free (struct urlform *form);

/* Value of the first field called NAME, or NULL.  */
const char *urlform_get (const struct urlform *form, const char *name);

#endif
