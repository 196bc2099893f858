#ifndef PROGRAMS_CTL_SHOW_H
#define PROGRAMS_CTL_SHOW_H

/**
 * DOC: cts - how rudderctl shows values and faults
 */

#include <jansson.h>
#include <stdio.h>

/* Writes VALUE as indented JSON.  */
void ctl_show_json (FILE *out, const json_t *value);

/* Writes VALUE for people: a line for each field, one for each list entry.  */
void ctl_show_text (FILE *out, const json_t *value);

/* Writes TEXT as a line, without control characters.  */
void ctl_show_line (FILE *out, const char *text);

/* Writes the list of objects with "path" and "text", a line for each.  */
void ctl_show_faults (FILE *out, const json_t *faults);

/* An sr_fault_fn that appends to a json_t list.  */
void ctl_show_append_fault (void *list, const char *path, const char *text);

#endif
