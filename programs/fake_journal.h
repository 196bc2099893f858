#ifndef PROGRAMS_FAKE_JOURNAL_H
#define PROGRAMS_FAKE_JOURNAL_H

/**
 * DOC: fjn - journal of requests
 *
 * A line is "<wall ms> <event> <method> <path> key=K trace=T caller=C
 * body=H"; absent values are "-".  Each line is written by one write(2), so a
 * crash loses no line.
 */

#include "programs/fake_state.h"

/* Opens the file of the settings, if one is named.  Returns an error number.
 */
int fake_journal_open (struct fake_state *fake);

/* EVENT is "start", "end" or "cancelled".  */
void fake_journal_write_event (const struct fake_request *request,
                               const char *event);

/* Writes "<wall ms> up" for the start of the process and "<wall ms> left" once
   the node was told that the server leaves.  */
void fake_journal_write_mark (const struct fake_state *fake, const char *mark);

#endif
