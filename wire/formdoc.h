#ifndef WIRE_FORMDOC_H
#define WIRE_FORMDOC_H

/**
 * DOC: fdc - the configuration document as the fields of a form
 *
 * A field is named by its path, such as "services[0].kinds[1].importance".
 * The list of HTTP fields is one form field, "headers", with a name on each
 * line.  An empty form field stands for a field that is absent.
 */

#include <jansson.h>

#include "wire/urlform.h"

/**
 * formdoc_read() - build a document out of a form
 * @form: decoded form; fields that the document does not have are left out
 *
 * Values that do not fit their field are kept as text, so that the check of
 * the document reports them.
 *
 * Return: a new object, NULL when out of memory.
 */
json_t *formdoc_read (const struct urlform *form);

/* Changes to the lists of a document.  */
enum formdoc_edit_op
{
  FORMDOC_ADD_SERVICE,
  FORMDOC_REMOVE_SERVICE,
  FORMDOC_ADD_KIND,
  FORMDOC_REMOVE_KIND,
};

struct formdoc_edit
{
  enum formdoc_edit_op op;
  size_t service_index; /* position; not used by FORMDOC_ADD_SERVICE */
  size_t kind_index;    /* position of the kind for FORMDOC_REMOVE_KIND */
};

/* Changes DOCUMENT; positions that it does not have change nothing.  */
void formdoc_edit (json_t *document, const struct formdoc_edit *edit);

/**
 * formdoc_value_text() - value of a field as text for a form
 * @value: value in the document; NULL when absent
 *
 * Return: malloc()ed text, empty for an absent value; NULL when out of
 * memory.
 */
char *formdoc_value_text (const json_t *value);

#endif
