#ifndef WIRE_FORMDOC_H
#define WIRE_FORMDOC_H

/**
 * DOC: formdoc - conversion between form fields and the configuration document
 *
 * A form field has the path of the document's field as its name, such as
 * "services[0].kinds[1].importance".  The list of HTTP fields is one form
 * field, "headers", with one name per line.  An empty form field represents an
 * absent field.
 */

#include <jansson.h>

#include "wire/urlform.h"

/**
 * formdoc_read() - build a document from a form
 * @form: decoded form; fields that the document does not have are ignored
 *
 * Values that do not match the type of their field are kept as strings, so
 * that validation of the document reports them.
 *
 * Return: a new object, NULL when out of memory.
 */
json_t *formdoc_read (const struct urlform *form);

/* Operations on the lists of a document.  */
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
  size_t service_index; /* not used by FORMDOC_ADD_SERVICE */
  size_t kind_index;    /* used by FORMDOC_REMOVE_KIND only */
};

/* Applies EDIT to DOCUMENT; an index out of range changes nothing.  */
void formdoc_edit (json_t *document, const struct formdoc_edit *edit);

/**
 * formdoc_value_text() - format the value of a field for a form
 * @value: value in the document, NULL when absent
 *
 * Return: malloc()ed text, empty for an absent value; NULL when out of
 * memory.
 */
char *formdoc_value_text (const json_t *value);

#endif
