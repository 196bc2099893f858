#ifndef WIRE_DOCREPORT_H
#define WIRE_DOCREPORT_H

/**
 * DOC: docreport - where a reading of the document is, and the faults it found
 */

#include <stddef.h>

#include "sycamorerudder.h"

#define DOCREPORT_PATH_BYTES 256

/* PATH names the field that is being read; it ends with NUL.  */
struct docreport
{
  sr_fault_fn fault;
  void *arg;
  unsigned faults;
  char path[DOCREPORT_PATH_BYTES];
  size_t path_len;
};

/* Reports a fault at the current path.  */
void docreport_fault (struct docreport *report, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Append a key or a position in a list to the path.  They return the length
   to which docreport_leave() goes back.  */
size_t docreport_enter (struct docreport *report, const char *key);
size_t docreport_enter_index (struct docreport *report, size_t index);

void docreport_leave (struct docreport *report, size_t before);

#endif
