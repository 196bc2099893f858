#include "controllers/backend.h"

#include <string.h>

/* Whether the report belongs to a start that has ended.  */
static bool
bkd_is_ended (const struct bkd *backend, const char *id, uint64_t born_ms)
{
  uint32_t count = backend->ended_count < BKD_ENDED_MAX ? backend->ended_count
                                                        : BKD_ENDED_MAX;

  for (uint32_t i = 0; i < count; i++)
    if (strcmp (backend->ended[i].id, id) == 0
        && born_ms <= backend->ended[i].born_ms)
      return true;
  return false;
}

static void
bkd_note_ended (struct bkd *backend, const char *id, uint64_t born_ms)
{
  struct bkd_ended *ended
      = &backend->ended[backend->ended_count++ % BKD_ENDED_MAX];

  memset (ended, 0, sizeof *ended);
  memcpy (ended->id, id, strnlen (id, sizeof ended->id - 1));
  ended->born_ms = born_ms;
}

/* Whether BEAT is from the start that the last report was from.  */
static bool
bkd_same_start (const struct bkd *backend, const struct api_beat *beat)
{
  return strcmp (backend->last.id, beat->id) == 0
         && backend->last.born_ms == beat->born_ms;
}

/* Whether BEAT comes from an earlier start than the one known.  When neither
   tells its start, one with an id that was not heard before is the later.  */
static bool
bkd_earlier_start (const struct bkd *backend, const struct api_beat *beat)
{
  if (backend->last.id[0] == '\0' || bkd_same_start (backend, beat))
    return false;
  if (beat->born_ms == 0 && backend->last.born_ms == 0)
    return false;
  return beat->born_ms <= backend->last.born_ms;
}

enum bkd_change
bkd_beat (struct bkd *backend, const struct api_beat *beat, clk_us now)
{
  struct api_beat before = backend->last;
  bool same = bkd_same_start (backend, beat);
  enum bkd_state state = backend->state;

  if (bkd_is_ended (backend, beat->id, beat->born_ms)
      || bkd_earlier_start (backend, beat)
      || (same && beat->sequence <= before.sequence))
    return BKD_STALE;
  if (!same && before.id[0] != '\0')
    bkd_note_ended (backend, before.id, before.born_ms);
  backend->last = *beat;
  backend->heard = now;
  if (beat->state == API_SERVER_DRAINING)
    {
      backend->state = BKD_LEAVING;
      bkd_note_ended (backend, beat->id, beat->born_ms);
      return state == BKD_LEAVING && same ? BKD_SAME : BKD_LEFT;
    }
  backend->state = BKD_UP;
  if (!same || state != BKD_UP)
    return BKD_STARTED;
  if (before.slots != beat->slots
      || strcmp (before.address, beat->address) != 0)
    return BKD_UPDATED;
  return BKD_SAME;
}

enum bkd_change
bkd_leave (struct bkd *backend, const struct api_leave *leave)
{
  if (strcmp (backend->last.id, leave->id) != 0)
    return BKD_STALE;
  if (leave->born_ms != 0 && leave->born_ms != backend->last.born_ms)
    return BKD_STALE;
  bkd_note_ended (backend, backend->last.id, backend->last.born_ms);
  if (backend->state == BKD_LEAVING)
    return BKD_SAME;
  backend->state = BKD_LEAVING;
  return BKD_LEFT;
}

enum bkd_change
bkd_lost (struct bkd *backend)
{
  if (backend->state != BKD_UP)
    return BKD_SAME;
  backend->state = BKD_ABSENT;
  return BKD_LEFT;
}
