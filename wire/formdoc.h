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
 * fdc_read() - build a document out of a form
 * @form: decoded form; fields that the document does not have are left out
 *
 * Values that do not fit their field are kept as text, so that the check of
 * the document reports them.
 *
 * Return: a new object, NULL when out of memory.
 */
json_t *fdc_read (const struct urf *form);

/* Changes to the lists of a document.  */
enum fdc_edit_kind
{
  FDC_ADD_SERVICE,
  FDC_REMOVE_SERVICE,
  FDC_ADD_KIND,
  FDC_REMOVE_KIND,
};

struct fdc_edit
{
  enum fdc_edit_kind kind;
  size_t service; /* position; not used by FDC_ADD_SERVICE */
  size_t of;      /* position of the kind for FDC_REMOVE_KIND */
};

/* Changes DOCUMENT; positions that it does not have change nothing.  */
void fdc_edit (json_t *document, const struct fdc_edit *edit);

/**
 * fdc_value() - value of a field as text for a form
 * @value: value in the document; NULL when absent
 *
 * Return: malloc()ed text, empty for an absent value; NULL when out of
 * memory.
 */
char *fdc_value (const json_t *value);

#endif
