#include "controllers/backend.h"

#include <string.h>

/* Whether the report belongs to a start that has ended.  */
static bool
backend_is_past (const struct backend *backend, const char *id,
                 uint64_t born_ms)
{
  uint32_t count = backend->past_count < BACKEND_PAST_MAX ? backend->past_count
                                                          : BACKEND_PAST_MAX;

  for (uint32_t i = 0; i < count; i++)
    if (strcmp (backend->past[i].id, id) == 0
        && born_ms <= backend->past[i].started_ms)
      return true;
  return false;
}

static void
backend_add_past (struct backend *backend, const char *id, uint64_t born_ms)
{
  struct backend_incarnation *ended
      = &backend->past[backend->past_count++ % BACKEND_PAST_MAX];

  memset (ended, 0, sizeof *ended);
  memcpy (ended->id, id, strnlen (id, sizeof ended->id - 1));
  ended->started_ms = born_ms;
}

/* Whether BEAT is from the start that the last report was from.  */
static bool
backend_same_incarnation (const struct backend *backend,
                          const struct api_heartbeat *beat)
{
  return strcmp (backend->last.id, beat->id) == 0
         && backend->last.started_ms == beat->started_ms;
}

/* Whether BEAT comes from an earlier start than the one known.  When neither
   tells its start, one with an id that was not heard before is the later.  */
static bool
backend_earlier_incarnation (const struct backend *backend,
                             const struct api_heartbeat *beat)
{
  if (backend->last.id[0] == '\0' || backend_same_incarnation (backend, beat))
    return false;
  if (beat->started_ms == 0 && backend->last.started_ms == 0)
    return false;
  return beat->started_ms <= backend->last.started_ms;
}

enum backend_change
backend_heartbeat (struct backend *backend, const struct api_heartbeat *beat,
                   clk_us now)
{
  struct api_heartbeat before = backend->last;
  bool same = backend_same_incarnation (backend, beat);
  enum backend_state state = backend->state;

  if (backend_is_past (backend, beat->id, beat->started_ms)
      || backend_earlier_incarnation (backend, beat)
      || (same && beat->sequence <= before.sequence))
    return BACKEND_STALE;
  if (!same && before.id[0] != '\0')
    backend_add_past (backend, before.id, before.started_ms);
  backend->last = *beat;
  backend->reported_at = now;
  if (beat->state == API_SERVER_DRAINING)
    {
      backend->state = BACKEND_DRAINING;
      backend_add_past (backend, beat->id, beat->started_ms);
      return state == BACKEND_DRAINING && same ? BACKEND_UNCHANGED
                                               : BACKEND_WITHDRAWN;
    }
  backend->state = BACKEND_UP;
  if (!same || state != BACKEND_UP)
    return BACKEND_STARTED;
  if (before.slots != beat->slots
      || strcmp (before.address, beat->address) != 0)
    return BACKEND_UPDATED;
  return BACKEND_UNCHANGED;
}

enum backend_change
backend_leave (struct backend *backend, const struct api_deregister *leave)
{
  if (strcmp (backend->last.id, leave->id) != 0)
    return BACKEND_STALE;
  if (leave->started_ms != 0 && leave->started_ms != backend->last.started_ms)
    return BACKEND_STALE;
  backend_add_past (backend, backend->last.id, backend->last.started_ms);
  if (backend->state == BACKEND_DRAINING)
    return BACKEND_UNCHANGED;
  backend->state = BACKEND_DRAINING;
  return BACKEND_WITHDRAWN;
}

enum backend_change
backend_lost (struct backend *backend)
{
  if (backend->state != BACKEND_UP)
    return BACKEND_UNCHANGED;
  backend->state = BACKEND_ABSENT;
  return BACKEND_WITHDRAWN;
}
