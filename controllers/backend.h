#ifndef CONTROLLERS_BACKEND_H
#define CONTROLLERS_BACKEND_H

/**
 * DOC: backend - state of the backend server beside this node
 *
 * Derived from the heartbeats of the server.  Heartbeats may be late, out of
 * order, or from an earlier incarnation (process start) of a server at the
 * same address.  A draining server accepts requests again only after a new
 * start.
 */

#include <stdbool.h>

#include "core/api.h"
#include "core/clk.h"

/* Number of past incarnations that are stored, to ignore their late
   heartbeats.  */
#define BACKEND_PAST_MAX 16u

enum backend_state
{
  BACKEND_ABSENT,   /* not registered, or lost */
  BACKEND_UP,       /* accepts requests */
  BACKEND_DRAINING, /* accepts no new requests */
};

struct backend_incarnation
{
  char id[API_ID_BYTES];
  uint64_t started_ms;
};

struct backend
{
  enum backend_state state;
  struct api_heartbeat last_heartbeat; /* newest heartbeat */
  clk_us heartbeat_at;                 /* when it arrived */
  struct backend_incarnation past_incarnations[BACKEND_PAST_MAX];
  uint32_t past_count; /* of all past incarnations, also those overwritten */
};

enum backend_change
{
  BACKEND_STALE,     /* not of the current incarnation, or outdated */
  BACKEND_UNCHANGED, /* nothing changed except the time of the last report */
  BACKEND_STARTED,   /* a new incarnation, or available again */
  BACKEND_UPDATED,   /* slots or address changed */
  BACKEND_WITHDRAWN, /* it accepts no new requests from now on */
};

/* Whether HEARTBEAT is of a later incarnation than the current one.  */
bool backend_is_succeeded (const struct backend *backend,
                           const struct api_heartbeat *heartbeat);

/* Applies a heartbeat of the server.  */
enum backend_change
backend_apply_heartbeat (struct backend *backend,
                         const struct api_heartbeat *heartbeat, clk_us now);

/* Applies the deregistration of a server that shuts down.  That incarnation is
   not used from then on, whether it was known or not.  */
enum backend_change
backend_apply_deregister (struct backend *backend,
                          const struct api_deregister *deregister);

/* Marks the server absent, when it refuses connections or its heartbeats stop.
   Its next heartbeat makes it available again.  */
enum backend_change backend_mark_lost (struct backend *backend);

#endif
