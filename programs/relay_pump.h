#ifndef PROGRAMS_RELAY_PUMP_H
#define PROGRAMS_RELAY_PUMP_H

/**
 * DOC: relay - TCP relay that can lose track of connections
 *
 * Passes bytes between clients and one target.  Connections that are dropped
 * stay open at both ends and carry nothing any more, as when a device between
 * the ends has forgotten them.
 */

#include <stdbool.h>

#include "core/list.h"
#include "programs/tool_opt.h"

struct relay
{
  struct tool_opt_address listen;
  struct tool_opt_address target;
  int listener;
  bool blackhole_new;      /* new connections carry nothing, either */
  struct list connections; /* struct relay_connection */
};

/* Opens the listener; SR_OK or SR_EIO.  */
int relay_open (struct relay *relay);

/* Waits for bytes or connections and passes them on once.  */
void relay_poll (struct relay *relay);

/* All connections that are open now carry nothing any more.  */
void relay_blackhole_open (struct relay *relay);

void relay_close (struct relay *relay);

#endif
