#ifndef WIRE_DOC_H
#define WIRE_DOC_H

/**
 * DOC: doc - the configuration document in JSON
 *
 * Checked as a whole: unknown fields, wrong types, contradictions and
 * references to nothing are reported with the path of the field, all of them.
 */

#include <stddef.h>

#include "core/model.h"
#include "sycamorerudder.h"

#define DOC_FORMAT 1

/**
 * doc_parse() - check a document and build the model
 * @text: JSON text
 * @len: its length
 * @fault: called once for each fault, may be NULL
 * @arg: passed to @fault
 * @model: set on success, released with model_unref(); may be NULL
 *
 * Return: as sr_document_check().
 */
int doc_parse (const char *text, size_t len, sr_fault_fn fault, void *arg,
               struct model **model);

/* Canonical text of a document that is valid; malloc()ed, ends with NUL. */
char *doc_canonical (const char *text, size_t len);

#endif
