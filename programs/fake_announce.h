#ifndef PROGRAMS_FAKE_ANNOUNCE_H
#define PROGRAMS_FAKE_ANNOUNCE_H

/**
 * DOC: fan - announcements of the fake backend server at its node
 */

#include "programs/fake_state.h"

/* Announces the server now and then once a second.  */
void fake_announce_start (struct fake *fake);

/* Stops the announcements and tells the node that the server leaves.  */
void fake_announce_leave (struct fake *fake);

/* Whether requests that were on their way to a leaving server have had time
   to arrive.  */
bool fake_announce_gone (const struct fake *fake);

#endif
