#ifndef WIRE_DOCREAD_H
#define WIRE_DOCREAD_H

/**
 * DOC: docread - conversion of the parsed document to the model
 */

#include <jansson.h>

#include "core/model.h"
#include "wire/docreport.h"

/**
 * docread_document() - validate each field and store its value
 * @root: parsed document
 * @report: receives the faults
 * @model: new, empty model; filled with all valid fields and defaults
 *
 * A number that is invalid, or whose default depends on other fields, is
 * stored as SCHEMA_DERIVED.
 *
 * Return: SR_OK, also with faults; SR_EVERSION for another format,
 * SR_ENOMEM.
 */
int docread_document (const json_t *root, struct docreport *report,
                      struct model *model);

#endif
