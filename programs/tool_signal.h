#ifndef PROGRAMS_TOOL_SIGNAL_H
#define PROGRAMS_TOOL_SIGNAL_H

/**
 * DOC: tsg - signals of the programs
 */

/* Calls HANDLER at each of the COUNT signals.  A write to a connection that
   has ended is an error of the write and no signal.  */
void tool_signal_catch (void (*handler) (int number), const int *numbers,
                        int count);

#endif
