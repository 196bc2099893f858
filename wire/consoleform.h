#ifndef WIRE_CONSOLEFORM_H
#define WIRE_CONSOLEFORM_H

/**
 * DOC: consoleform - the console's form for the configuration document
 */

#include <jansson.h>
#include <stdio.h>

/* Values of the form field "action".  Those that end with ":" are followed
   by a position, as in "remove-kind:0.2".  */
#define CONSOLEFORM_REVIEW "review"
#define CONSOLEFORM_DOWNLOAD "download"
#define CONSOLEFORM_EDIT "edit"
#define CONSOLEFORM_APPLY "apply"
#define CONSOLEFORM_ADD_SERVICE "add-service"
#define CONSOLEFORM_REMOVE_SERVICE "remove-service:"
#define CONSOLEFORM_ADD_KIND "add-kind:"
#define CONSOLEFORM_REMOVE_KIND "remove-kind:"

/**
 * consoleform_faults() - check a document
 * @text: JSON text
 * @len: its length
 *
 * Return: a new object that maps the path of a form field to the faults
 * found there, one a line; empty for a valid document.
 */
json_t *consoleform_faults (const char *text, size_t len);

/**
 * consoleform_write() - write the form
 * @out: stream
 * @document: values to show, of any form
 * @faults: as consoleform_faults(), or NULL
 * @base: version that the form is based on
 */
void consoleform_write (FILE *out, const json_t *document,
                        const json_t *faults, const char *base);

#endif
