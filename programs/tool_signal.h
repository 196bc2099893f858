#ifndef PROGRAMS_TOOL_SIGNAL_H
#define PROGRAMS_TOOL_SIGNAL_H

/**
 * DOC: tool_signal - signal handlers of the programs
 */

/* Installs HANDLER for COUNT signals, and ignores SIGPIPE, so that a write to
   a closed connection fails with EPIPE.  */
void tool_signal_catch (void (*handler) (int number), const int *numbers,
                        int count);

#endif
