#ifndef WIRE_CONSOLEFORM_H
#define WIRE_CONSOLEFORM_H

/**
 * DOC: cof - the console's form for the configuration document
 */

#include <jansson.h>
#include <stdio.h>

/* Values of the form field "action".  Those that end with ":" are followed
   by a position, as in "remove-kind:0.2".  */
#define COF_REVIEW "review"
#define COF_DOWNLOAD "download"
#define COF_EDIT "edit"
#define COF_APPLY "apply"
#define COF_ADD_SERVICE "add-service"
#define COF_REMOVE_SERVICE "remove-service:"
#define COF_ADD_KIND "add-kind:"
#define COF_REMOVE_KIND "remove-kind:"

/**
 * cof_faults() - check a document
 * @text: JSON text
 * @len: its length
 *
 * Return: a new object that maps the path of a form field to the faults
 * found there, one a line; empty for a valid document.
 */
json_t *cof_faults (const char *text, size_t len);

/**
 * cof_write() - write the form
 * @out: stream
 * @document: values to show, of any form
 * @faults: as cof_faults(), or NULL
 * @base: version that the form is based on
 */
void cof_write (FILE *out, const json_t *document, const json_t *faults,
                const char *base);

#endif
