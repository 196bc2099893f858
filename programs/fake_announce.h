#ifndef PROGRAMS_FAKE_ANNOUNCE_H
#define PROGRAMS_FAKE_ANNOUNCE_H

/**
 * DOC: fan - announcements of the fake backend server at its node
 */

#include "programs/fake_state.h"

/* Announces the server now and then once a second.  */
void fake_announce_start (struct fake_state *fake);

/* Stops the announcements and tells the node that the server leaves.  */
void fake_announce_withdraw (struct fake_state *fake);

/* Whether requests that were on their way to a leaving server have had time
   to arrive.  */
bool fake_announce_grace_over (const struct fake_state *fake);

#endif
