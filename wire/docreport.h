#ifndef WIRE_DOCREPORT_H
#define WIRE_DOCREPORT_H

/**
 * DOC: docreport - reporting of faults in the document with their path
 */

#include <stddef.h>

#include "sycamorerudder.h"

#define DOCREPORT_PATH_BYTES 256

struct docreport
{
  sr_fault_fn fault;               /* may be NULL */
  void *arg;                       /* passed to FAULT */
  unsigned faults;                 /* number of faults reported */
  char path[DOCREPORT_PATH_BYTES]; /* of the current field, ends with NUL */
  size_t path_len;
};

/* Reports a fault in the current field with a formatted text.  */
void docreport_fault (struct docreport *report, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Append a key or the position of a list entry to the path.  They return the
   previous length of the path, for docreport_leave().  */
size_t docreport_enter (struct docreport *report, const char *key);
size_t docreport_enter_index (struct docreport *report, size_t index);

/* Shortens the path to BEFORE_LEN.  */
void docreport_leave (struct docreport *report, size_t before_len);

#endif
