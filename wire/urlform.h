#ifndef WIRE_URLFORM_H
#define WIRE_URLFORM_H

/**
 * DOC: urf - bodies of type application/x-www-form-urlencoded
 */

#include <stddef.h>

#include "core/list.h"

#define URF_BODY_BYTES_MAX (8 * 1024 * 1024)
#define URF_PAIRS_MAX 600000

struct urf_pair
{
  struct lst_node node;
  char *name; /* NAME and VALUE end with NUL and lie behind the struct */
  char *value;
};

struct urf
{
  struct lst pairs; /* struct urf_pair, in the order of the body */
};

/**
 * urf_parse() - decode a form
 * @form: initialised and filled; released with urf_free() also on failure
 * @body: encoded form, not necessarily terminated by NUL
 * @len: its length
 *
 * Encoded NUL bytes become "?", because no field allows them.
 *
 * Return: SR_OK, SR_EFULL for a body or a number of fields beyond the limits,
 * SR_ENOMEM.
 */
int urf_parse (struct urf *form, const char *body, size_t len);

void urf_free (struct urf *form);

/* Value of the first field called NAME, or NULL.  */
const char *urf_get (const struct urf *form, const char *name);

#endif
