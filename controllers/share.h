#ifndef CONTROLLERS_SHARE_H
#define CONTROLLERS_SHARE_H

/**
 * DOC: share - fairness limit: share of slots and queue of one caller
 *
 * While requests are queued, one caller holds at most a share of the slots and
 * the queue together, so that a caller that sends far more than all others
 * does not starve them.  A request is not refused for this while a less
 * important one is queued.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"

struct share;

struct share_opts
{
  uint32_t percent;  /* of the capacity; 0 or 100 and more: no limit */
  uint32_t capacity; /* slots and places in the queue */
};

/* Returns NULL without memory.  */
struct share *share_new (const struct share_opts *opts);
void share_free (struct share *share);
void share_configure (struct share *share, const struct share_opts *opts);

/**
 * share_acquire() - count one more request of a caller
 * @share: controller
 * @caller: hash of the caller's name
 * @importance: importance of the request
 * @waiting_importance_min: from slots_waiting_importance_min()
 *
 * Return: true when counted, to be ended by share_release(); false when the
 * caller holds its share, or without memory.
 */
bool share_acquire (struct share *share, uint64_t caller, uint8_t importance,
                    uint32_t waiting_importance_min);
void share_release (struct share *share, uint64_t caller);

/* Number of requests that a caller holds.  */
uint32_t share_held (const struct share *share, uint64_t caller);

#endif
