#ifndef PROGRAMS_LOAD_REPORT_H
#define PROGRAMS_LOAD_REPORT_H

/**
 * DOC: load_report - result of the load generator, and the record file
 */

#include "programs/load_state.h"

/**
 * load_report_write_record() - write the line of a call to the record file
 * @call: the call, which has ended
 * @verdict: result of its last attempt
 *
 * The line has these fields, with wall-clock times in milliseconds:
 *
 *	START END METHOD PATH key=K trace=T caller=C sent=<start of the last
 *	attempt> status=N result=R reason=R run=R resends=N states=S
 *
 * S has one character for each attempt: r for LOAD_RAN, n for LOAD_NOT_RUN and
 * u for LOAD_RUN_UNKNOWN.  Does nothing without --record.
 */
void load_report_write_record (const struct load_call *call,
                               const struct load_verdict *verdict);

/* Prints the result as text or JSON; returns the number of calls with
   LOAD_WRONG.  */
uint64_t load_report_print (struct load_state *load);

#endif
