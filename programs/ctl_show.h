#ifndef PROGRAMS_CTL_SHOW_H
#define PROGRAMS_CTL_SHOW_H

/**
 * DOC: ctl_show - output of JSON values and document faults in rudderctl
 */

#include <jansson.h>
#include <stdio.h>

/* Prints VALUE as indented JSON.  */
void ctl_show_json (FILE *out, const json_t *value);

/* Prints VALUE as text, with a line for each member and each array element. */
void ctl_show_text (FILE *out, const json_t *value);

/* Prints TEXT as a line, with "?" for control characters.  */
void ctl_show_line (FILE *out, const char *text);

/* Prints an array of document faults, objects with "path" and "text", a line
   for each.  */
void ctl_show_faults (FILE *out, const json_t *faults);

/* An sr_fault_fn that appends the fault to a JSON array.  */
void ctl_show_append_fault (void *list, const char *path, const char *text);

#endif
