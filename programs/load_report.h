#ifndef PROGRAMS_LOAD_REPORT_H
#define PROGRAMS_LOAD_REPORT_H

/**
 * DOC: lrp - result of the load tool as text or JSON, and the record file
 */

#include "programs/load_state.h"

/* Writes the line of a call that has ended:
   "<start ms> <end ms> <method> <path> key=K trace=T caller=C sent=<start ms
   of the last attempt> status=N result=R reason=R run=R resends=N
   states=<r, n or u for each attempt>".  */
void load_report_write_record (const struct load_call *call,
                               const struct load_verdict *verdict);

/* Prints the result; returns the number of wrong answers.  */
uint64_t load_report_print (struct load_state *load);

#endif
