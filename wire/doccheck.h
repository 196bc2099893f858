#ifndef WIRE_DOCCHECK_H
#define WIRE_DOCCHECK_H

/**
 * DOC: doccheck - validation of the document across several fields
 */

#include "core/model.h"
#include "wire/docreport.h"

/* Sets the defaults that depend on other fields, and reports duplicates and
   contradictions to REPORT.  */
void doccheck_model (struct model *model, struct docreport *report);

#endif
