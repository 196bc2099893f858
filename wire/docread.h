#ifndef WIRE_DOCREAD_H
#define WIRE_DOCREAD_H

/**
 * DOC: docread - reads the parsed document into the model, field by field
 */

#include <jansson.h>

#include "core/model.h"
#include "wire/docreport.h"

/**
 * docread_document() - check each field and store its value
 * @root: parsed document
 * @report: receives the faults
 * @model: new and empty; filled as far as the document goes
 *
 * A number that is wrong, or that follows from other fields, is stored as
 * SCHEMA_DERIVED.
 *
 * Return: SR_OK, also with faults; SR_EVERSION for another format,
 * SR_ENOMEM.
 */
int docread_document (const json_t *root, struct docreport *report,
                      struct model *model);

#endif
