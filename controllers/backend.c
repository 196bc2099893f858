#include "controllers/backend.h"

#include <string.h>

/* Whether ID and STARTED_MS are of a past incarnation.  */
static bool
backend_is_past (const struct backend *backend, const char *id,
                 uint64_t started_ms)
{
  uint32_t count = backend->past_count < BACKEND_PAST_MAX ? backend->past_count
                                                          : BACKEND_PAST_MAX;

  for (uint32_t i = 0; i < count; i++)
    if (strcmp (backend->past_incarnations[i].id, id) == 0
        && started_ms <= backend->past_incarnations[i].started_ms)
      return true;
  return false;
}

static void
backend_add_past (struct backend *backend, const char *id, uint64_t started_ms)
{
  struct backend_incarnation *incarnation
      = &backend->past_incarnations[backend->past_count++ % BACKEND_PAST_MAX];

  memset (incarnation, 0, sizeof *incarnation);
  memcpy (incarnation->id, id, strnlen (id, sizeof incarnation->id - 1));
  incarnation->started_ms = started_ms;
}

/* Whether HEARTBEAT is of the incarnation that sent the last heartbeat.  */
static bool
backend_same_incarnation (const struct backend *backend,
                          const struct api_heartbeat *heartbeat)
{
  return strcmp (backend->last_heartbeat.id, heartbeat->id) == 0
         && backend->last_heartbeat.started_ms == heartbeat->started_ms;
}

/* Whether HEARTBEAT is of an earlier incarnation than the last heartbeat.  If
   both lack a start time, an id that differs from the last one is taken for a
   later incarnation.  */
static bool
backend_earlier_incarnation (const struct backend *backend,
                             const struct api_heartbeat *heartbeat)
{
  if (backend->last_heartbeat.id[0] == '\0'
      || backend_same_incarnation (backend, heartbeat))
    return false;
  if (heartbeat->started_ms == 0 && backend->last_heartbeat.started_ms == 0)
    return false;
  return heartbeat->started_ms <= backend->last_heartbeat.started_ms;
}

enum backend_change
backend_apply_heartbeat (struct backend *backend,
                         const struct api_heartbeat *heartbeat, clk_us now)
{
  struct api_heartbeat previous = backend->last_heartbeat;
  bool same = backend_same_incarnation (backend, heartbeat);
  enum backend_state previous_state = backend->state;

  if (backend_is_past (backend, heartbeat->id, heartbeat->started_ms)
      || backend_earlier_incarnation (backend, heartbeat)
      || (same && heartbeat->sequence <= previous.sequence))
    return BACKEND_STALE;
  if (!same && previous.id[0] != '\0')
    backend_add_past (backend, previous.id, previous.started_ms);
  backend->last_heartbeat = *heartbeat;
  backend->heartbeat_at = now;
  if (heartbeat->state == API_SERVER_DRAINING)
    {
      backend->state = BACKEND_DRAINING;
      backend_add_past (backend, heartbeat->id, heartbeat->started_ms);
      return previous_state == BACKEND_DRAINING && same ? BACKEND_UNCHANGED
                                                        : BACKEND_WITHDRAWN;
    }
  backend->state = BACKEND_UP;
  if (!same || previous_state != BACKEND_UP)
    return BACKEND_STARTED;
  if (previous.slots != heartbeat->slots
      || strcmp (previous.address, heartbeat->address) != 0)
    return BACKEND_UPDATED;
  return BACKEND_UNCHANGED;
}

enum backend_change
backend_apply_deregister (struct backend *backend,
                          const struct api_deregister *deregister)
{
  if (strcmp (backend->last_heartbeat.id, deregister->id) != 0)
    return BACKEND_STALE;
  if (deregister->started_ms != 0
      && deregister->started_ms != backend->last_heartbeat.started_ms)
    return BACKEND_STALE;
  backend_add_past (backend, backend->last_heartbeat.id,
                    backend->last_heartbeat.started_ms);
  if (backend->state == BACKEND_DRAINING)
    return BACKEND_UNCHANGED;
  backend->state = BACKEND_DRAINING;
  return BACKEND_WITHDRAWN;
}

enum backend_change
backend_mark_lost (struct backend *backend)
{
  if (backend->state != BACKEND_UP)
    return BACKEND_UNCHANGED;
  backend->state = BACKEND_ABSENT;
  return BACKEND_WITHDRAWN;
}
