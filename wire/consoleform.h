#ifndef WIRE_CONSOLEFORM_H
#define WIRE_CONSOLEFORM_H

/**
 * DOC: consoleform - HTML form of the configuration document
 */

#include <jansson.h>
#include <stdio.h>

/* Values of the form field "action".  Those that end with ":" are followed by
   the index of the service and, to remove a kind, of the kind:
   "remove-kind:0.2".  */
#define CONSOLEFORM_REVIEW "review"
#define CONSOLEFORM_DOWNLOAD "download"
#define CONSOLEFORM_EDIT "edit"
#define CONSOLEFORM_APPLY "apply"
#define CONSOLEFORM_ADD_SERVICE "add-service"
#define CONSOLEFORM_REMOVE_SERVICE "remove-service:"
#define CONSOLEFORM_ADD_KIND "add-kind:"
#define CONSOLEFORM_REMOVE_KIND "remove-kind:"

/**
 * consoleform_faults() - validate a document
 * @text: JSON text
 * @len: its length in bytes
 *
 * Return: a new object that maps the path of a form field to its faults, one
 * per line; empty for a valid document.
 */
json_t *consoleform_faults (const char *text, size_t len);

/**
 * consoleform_write() - write the HTML form
 * @out: output stream
 * @document: values to show, need not be valid; NULL for an empty form
 * @faults: as consoleform_faults(), or NULL
 * @base: version that the form is based on
 */
void consoleform_write (FILE *out, const json_t *document,
                        const json_t *faults, const char *base);

#endif
