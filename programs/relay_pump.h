#ifndef PROGRAMS_RELAY_PUMP_H
#define PROGRAMS_RELAY_PUMP_H

/**
 * DOC: relay_pump - TCP relay that can turn connections into black holes
 *
 * Forwards bytes between clients and one target.  A blackholed connection
 * stays open at both ends, but no byte passes any more, as after the loss of
 * its state in a NAT gateway or firewall.  A relay that drops connects has no
 * target: it stands for a machine without power.
 */

#include <stdbool.h>

#include "core/list.h"
#include "programs/tool_opt.h"

/* What passes on a connection.  */
enum relay_mode
{
  RELAY_PASS_ALL,
  RELAY_PASS_ANSWERS, /* from the target only */
  RELAY_PASS_NONE,
};

struct relay
{
  struct tool_opt_address listen;
  struct tool_opt_address target;
  bool drop_connects; /* drop each SYN, so that connects time out */
  int listener;
  int queued; /* own connection that fills the queue of @listener, or -1 */
  bool blackhole_new;      /* new connections are blackholed as well */
  struct list connections; /* struct relay_connection */
};

/* Opens the listener; returns SR_OK or SR_EIO.  */
int relay_open (struct relay *relay);

/* Waits up to 500 ms for bytes and connections, and handles them once.  */
void relay_poll (struct relay *relay);

/* Changes what passes on all connections that are open now.  */
void relay_set_open (struct relay *relay, enum relay_mode mode);

void relay_close (struct relay *relay);

#endif
