#ifndef WIRE_HTML_H
#define WIRE_HTML_H

/**
 * DOC: htm - writing HTML
 *
 * All text that does not come from this program goes through html_text() or
 * an attribute writer, which escape it.
 */

#include <stdio.h>

/* Writes TEXT escaped, for contents and for values in double quotes.  */
void html_text (FILE *out, const char *text);

/* Writes a space, NAME="" and the escaped VALUE in it.  */
void html_attribute (FILE *out, const char *name, const char *value);

/* Writes the id of the field at PATH with SUFFIX appended; "." and brackets
   become "-".  */
void html_id (FILE *out, const char *path, const char *suffix);

/* Writes a space and NAME="" with such an id in it.  */
void html_id_attribute (FILE *out, const char *name, const char *path,
                        const char *suffix);

/* Writes a hidden form field.  */
void html_hidden (FILE *out, const char *name, const char *value);

/* Writes a submit button that sends the form field action=ACTION.  */
void html_button (FILE *out, const char *action, const char *label);

void html_page_start (FILE *out, const char *title);
void html_page_end (FILE *out);

#endif
