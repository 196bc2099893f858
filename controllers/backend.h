#ifndef CONTROLLERS_BACKEND_H
#define CONTROLLERS_BACKEND_H

/**
 * DOC: bkd - the backend server beside this node, from what it reports
 *
 * Reports may come late, out of order, or from an earlier start of a server
 * at the same address.  A server that is leaving does not come back but by a
 * new start.
 */

#include <stdbool.h>

#include "core/api.h"
#include "core/clk.h"

/* Starts that have ended and whose late reports are ignored.  */
#define BKD_ENDED_MAX 16u

enum bkd_state
{
  BKD_ABSENT,
  BKD_UP,
  BKD_LEAVING,
};

struct bkd_ended
{
  char id[API_ID_BYTES];
  uint64_t born_ms;
};

struct bkd
{
  enum bkd_state state;
  struct api_beat last; /* newest report */
  clk_us heard;
  struct bkd_ended ended[BKD_ENDED_MAX];
  uint32_t ended_count;
};

enum bkd_change
{
  BKD_STALE,   /* an older report; nothing changed */
  BKD_SAME,    /* the lease is renewed */
  BKD_STARTED, /* a new start, or back after silence */
  BKD_UPDATED, /* slots or address changed */
  BKD_LEFT,    /* it takes no new work from now on */
};

enum bkd_change bkd_beat (struct bkd *backend, const struct api_beat *beat,
                          clk_us now);
enum bkd_change bkd_leave (struct bkd *backend, const struct api_leave *leave);

/* The server does not accept connections, or has been silent too long.  It is
   back with its next report.  */
enum bkd_change bkd_lost (struct bkd *backend);

#endif
