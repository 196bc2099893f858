#ifndef CONTROLLERS_BACKEND_H
#define CONTROLLERS_BACKEND_H

/**
 * DOC: backend - the backend server beside this node, from what it reports
 *
 * Reports may come late, out of order, or from an earlier start of a server
 * at the same address.  A server that is leaving does not come back but by a
 * new start.
 */

#include <stdbool.h>

#include "core/api.h"
#include "core/clk.h"

/* Starts that have ended and whose late reports are ignored.  */
#define BACKEND_PAST_MAX 16u

enum backend_state
{
  BACKEND_ABSENT,
  BACKEND_UP,
  BACKEND_DRAINING,
};

struct backend_incarnation
{
  char id[API_ID_BYTES];
  uint64_t started_ms;
};

struct backend
{
  enum backend_state state;
  struct api_heartbeat last; /* newest report */
  clk_us reported_at;
  struct backend_incarnation past[BACKEND_PAST_MAX];
  uint32_t past_count;
};

enum backend_change
{
  BACKEND_STALE,     /* an older report; nothing changed */
  BACKEND_UNCHANGED, /* the lease is renewed */
  BACKEND_STARTED,   /* a new start, or back after silence */
  BACKEND_UPDATED,   /* slots or address changed */
  BACKEND_WITHDRAWN, /* it takes no new work from now on */
};

enum backend_change backend_heartbeat (struct backend *backend,
                                       const struct api_heartbeat *beat,
                                       clk_us now);
enum backend_change backend_leave (struct backend *backend,
                                   const struct api_deregister *leave);

/* The server does not accept connections, or has been silent too long.  It is
   back with its next report.  */
enum backend_change backend_lost (struct backend *backend);

#endif
