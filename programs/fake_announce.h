#ifndef PROGRAMS_FAKE_ANNOUNCE_H
#define PROGRAMS_FAKE_ANNOUNCE_H

/**
 * DOC: fake_announce - registration of the fake backend server at its node
 *
 * Sends PUT /v1/backend once a second, and DELETE /v1/backend before it stops.
 */

#include "programs/fake_state.h"

/* Announces the server now and once a second from now on.  Does nothing
   without an admin address.  */
void fake_announce_start (struct fake_state *fake);

/* Stops the announcements and sends the DELETE.  */
void fake_announce_withdraw (struct fake_state *fake);

/* Whether the DELETE was answered and requests that were in flight then have
   had time to arrive.  */
bool fake_announce_grace_over (const struct fake_state *fake);

#endif
