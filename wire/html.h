#ifndef WIRE_HTML_H
#define WIRE_HTML_H

/**
 * DOC: html - HTML writer
 *
 * All text that does not come from this program is to be written by
 * html_text() or an attribute function, which escape it.
 */

#include <stdio.h>

/* Writes TEXT escaped for element content and attribute values in double
   quotes.  */
void html_text (FILE *out, const char *text);

/* Writes a space and NAME="VALUE", with VALUE escaped.  */
void html_attribute (FILE *out, const char *name, const char *value);

/* Writes the element id of the field at PATH: PATH, with "-" for all
   characters but letters, digits and "_", and SUFFIX.  */
void html_id (FILE *out, const char *path, const char *suffix);

/* Writes a space and NAME="ID", with the id as in html_id().  */
void html_id_attribute (FILE *out, const char *name, const char *path,
                        const char *suffix);

/* Writes a hidden form field.  */
void html_hidden (FILE *out, const char *name, const char *value);

/* Writes a submit button that sends ACTION as the form field "action".  */
void html_button (FILE *out, const char *action, const char *label);

/* Write the start of a page, with TITLE as title and heading, and its end.  */
void html_page_start (FILE *out, const char *title);
void html_page_end (FILE *out);

#endif
