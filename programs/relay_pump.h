#ifndef PROGRAMS_RELAY_PUMP_H
#define PROGRAMS_RELAY_PUMP_H

/**
 * DOC: rly - TCP relay that can lose track of connections
 *
 * Passes bytes between clients and one target.  Connections that are dropped
 * stay open at both ends and carry nothing any more, as when a device between
 * the ends has forgotten them.
 */

#include <stdbool.h>

#include "core/list.h"
#include "programs/tool_opt.h"

struct rly
{
  struct top_address listen;
  struct top_address to;
  int listener;
  bool cut;               /* new connections carry nothing, either */
  struct lst connections; /* struct rly_connection */
};

/* Opens the listener; SR_OK or SR_EIO.  */
int rly_open (struct rly *relay);

/* Waits for bytes or connections and passes them on once.  */
void rly_turn (struct rly *relay);

/* All connections that are open now carry nothing any more.  */
void rly_forget (struct rly *relay);

void rly_close (struct rly *relay);

#endif
