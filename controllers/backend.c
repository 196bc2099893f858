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

/* Records that the incarnation of ID that started at STARTED_MS, and all
   earlier ones, accept no requests any more.  */
static void
backend_add_past (struct backend *backend, const char *id, uint64_t started_ms)
{
  uint32_t count = backend->past_count < BACKEND_PAST_MAX ? backend->past_count
                                                          : BACKEND_PAST_MAX;
  struct backend_incarnation *incarnation = NULL;

  for (uint32_t i = 0; i < count; i++)
    if (strcmp (backend->past_incarnations[i].id, id) == 0)
      incarnation = &backend->past_incarnations[i];
  if (incarnation == NULL)
    {
      incarnation
          = &backend
                 ->past_incarnations[backend->past_count++ % BACKEND_PAST_MAX];
      memset (incarnation, 0, sizeof *incarnation);
      memcpy (incarnation->id, id, strnlen (id, sizeof incarnation->id - 1));
    }
  if (started_ms > incarnation->started_ms)
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

bool
backend_is_succeeded (const struct backend *backend,
                      const struct api_heartbeat *heartbeat)
{
  const struct api_heartbeat *last = &backend->last_heartbeat;

  /* After a health check only the id is known of the current one.  */
  if (last->id[0] == '\0'
      || (strcmp (last->id, heartbeat->id) == 0
          && (last->started_ms == 0
              || last->started_ms == heartbeat->started_ms)))
    return false;
  return !backend_is_past (backend, heartbeat->id, heartbeat->started_ms)
         && !backend_earlier_incarnation (backend, heartbeat);
}

/* Records that the current incarnation accepts no new requests.  */
static enum backend_change
backend_withdraw (struct backend *backend)
{
  enum backend_state previous_state = backend->state;

  backend_add_past (backend, backend->last_heartbeat.id,
                    backend->last_heartbeat.started_ms);
  backend->state = BACKEND_DRAINING;
  return previous_state == BACKEND_DRAINING ? BACKEND_UNCHANGED
                                            : BACKEND_WITHDRAWN;
}

/* Applies a heartbeat of a draining server.  An incarnation that drains does
   not become ready again, so the order of its heartbeats does not matter, and
   one that is not current is recorded for its late heartbeats.  */
static enum backend_change
backend_apply_draining (struct backend *backend,
                        const struct api_heartbeat *heartbeat, clk_us now)
{
  uint64_t sequence = backend->last_heartbeat.sequence;
  bool same = backend_same_incarnation (backend, heartbeat);

  if (!same
      && (backend_is_past (backend, heartbeat->id, heartbeat->started_ms)
          || backend_earlier_incarnation (backend, heartbeat)))
    {
      backend_add_past (backend, heartbeat->id, heartbeat->started_ms);
      return BACKEND_STALE;
    }
  if (!same)
    {
      if (backend->last_heartbeat.id[0] != '\0')
        backend_add_past (backend, backend->last_heartbeat.id,
                          backend->last_heartbeat.started_ms);
      backend->state = BACKEND_ABSENT;
    }
  backend->last_heartbeat = *heartbeat;
  if (same && heartbeat->sequence < sequence)
    backend->last_heartbeat.sequence = sequence;
  backend->heartbeat_at = now;
  return backend_withdraw (backend);
}

enum backend_change
backend_apply_heartbeat (struct backend *backend,
                         const struct api_heartbeat *heartbeat, clk_us now)
{
  struct api_heartbeat previous = backend->last_heartbeat;
  bool same = backend_same_incarnation (backend, heartbeat);
  enum backend_state previous_state = backend->state;

  if (heartbeat->state == API_SERVER_DRAINING)
    return backend_apply_draining (backend, heartbeat, now);
  if (backend_is_past (backend, heartbeat->id, heartbeat->started_ms)
      || backend_earlier_incarnation (backend, heartbeat)
      || (same && heartbeat->sequence <= previous.sequence))
    return BACKEND_STALE;
  if (!same && previous.id[0] != '\0')
    backend_add_past (backend, previous.id, previous.started_ms);
  backend->last_heartbeat = *heartbeat;
  backend->heartbeat_at = now;
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
  struct api_heartbeat *last = &backend->last_heartbeat;

  /* Also of a server that is not known yet: the node may have just started,
     and a health check or a late heartbeat may still name that server.  */
  backend_add_past (backend, deregister->id, deregister->started_ms);
  if (strcmp (last->id, deregister->id) != 0)
    return BACKEND_STALE;
  /* A health check and some heartbeats give no start time.  The server is then
     taken for the one that leaves; if it has started since, its next heartbeat
     makes it available.  A later start time is of an incarnation that leaves
     before its first heartbeat.  */
  if (deregister->started_ms != 0 && deregister->started_ms < last->started_ms)
    return BACKEND_STALE;
  if (deregister->started_ms > last->started_ms)
    last->started_ms = deregister->started_ms;
  return backend_withdraw (backend);
}

enum backend_change
backend_mark_lost (struct backend *backend)
{
  if (backend->state != BACKEND_UP)
    return BACKEND_UNCHANGED;
  backend->state = BACKEND_ABSENT;
  return BACKEND_WITHDRAWN;
}
