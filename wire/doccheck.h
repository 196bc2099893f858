#ifndef WIRE_DOCCHECK_H
#define WIRE_DOCCHECK_H

/**
 * DOC: doccheck - checks of the document that need more than one field
 */

#include "core/model.h"
#include "wire/docreport.h"

/* Fills in the presets that follow from other fields and reports duplicates
   and contradictions.  */
void doccheck_model (struct model *model, struct docreport *report);

#endif
