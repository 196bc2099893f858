#ifndef PROGRAMS_FAKE_JOURNAL_H
#define PROGRAMS_FAKE_JOURNAL_H

/**
 * DOC: fake_journal - journal of the requests to the fake backend server
 *
 * A line is "<wall ms> <event> <method> <path> key=K trace=T caller=C
 * body=H", where H is the hash of the body and absent values are "-".  Each
 * line is written with one write(2), so a crash of the process loses no line.
 */

#include "programs/fake_state.h"

/* Opens the journal file of the settings, if there is one.  Returns SR_OK or
   SR_EIO.  */
int fake_journal_open (struct fake_state *fake);

/* Writes the line of an event of a request: "start", "end" or "cancelled".  */
void fake_journal_write_event (const struct fake_request *request,
                               const char *event);

/* Writes "<wall ms> MARK".  The marks are "up" at the start of the process and
   "left" when the node has answered the DELETE.  */
void fake_journal_write_mark (const struct fake_state *fake, const char *mark);

#endif
