#ifndef WIRE_DOC_H
#define WIRE_DOC_H

/**
 * DOC: doc - parser and validator of the JSON configuration document
 *
 * The whole document is checked: all unknown fields, wrong types,
 * contradictions and dangling references are reported, each with the path of
 * its field.
 */

#include <stddef.h>

#include "core/model.h"
#include "sycamorerudder.h"

/* Version of the document's format that this build reads.  */
#define DOC_FORMAT 1

/**
 * doc_parse() - check a document and build the model
 * @text: JSON text
 * @len: its length in bytes
 * @fault: called once for each fault; may be NULL
 * @arg: passed to @fault
 * @model: set to a new model on success and to NULL on error, to be released
 *         with model_unref(); may be NULL
 *
 * Return: as sr_document_check().
 */
int doc_parse (const char *text, size_t len, sr_fault_fn fault, void *arg,
               struct model **model);

/* Canonical text of a document: indented, with sorted keys and lists.  Returns
   a malloc()ed string, or NULL for an invalid document or when out of memory.
 */
char *doc_canonical (const char *text, size_t len);

#endif
