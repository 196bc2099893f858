#ifndef WIRE_TRACESTATE_H
#define WIRE_TRACESTATE_H

/**
 * DOC: tracestate - members of the tracestate field (W3C Trace Context)
 *
 * A list of KEY=VALUE members of several vendors, separated by commas.
 */

#include <stddef.h>

/* Key of the member of this system; its value is a hop id.  */
#define TRACESTATE_KEY "rudder"

/**
 * tracestate_find() - find the member of this system
 * @state: value of the field
 *
 * Return: its value, which ends at a comma or the end of @state; NULL if there
 * is none.
 */
const char *tracestate_find (const char *state);

/* Appends to OUT, a text of SIZE bytes at most, the members of other vendors,
   each after a comma, as long as they fit.  */
void tracestate_append_others (const char *state, char *out, size_t size);

#endif
