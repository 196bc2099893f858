#ifndef CONTROLLERS_CAP_H
#define CONTROLLERS_CAP_H

/**
 * DOC: cap - cap per caller at the node beside the backend server
 *
 * While requests wait, one caller holds at most a share of the slots and the
 * queue together, so that a caller that sends far more than all others does
 * not push them out.  A request is never refused for this while a less
 * important one waits.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"

struct cap;

struct cap_opts
{
  uint32_t percent; /* of PLACES; 0 or 100 and more: no cap */
  uint32_t places;  /* slots and queue */
};

struct cap *cap_new (const struct cap_opts *opts);
void cap_free (struct cap *cap);
void cap_configure (struct cap *cap, const struct cap_opts *opts);

/**
 * cap_take() - count one more request of a caller
 * @cap: controller
 * @caller: hash of the caller's name
 * @importance: of the request
 * @least_waiting: adm_least_waiting()
 *
 * Return: true when counted, to be ended by cap_put(); false when the caller
 * holds its share, or without memory.
 */
bool cap_take (struct cap *cap, uint64_t caller, uint8_t importance,
               uint32_t least_waiting);
void cap_put (struct cap *cap, uint64_t caller);

/* Requests that a caller holds.  */
uint32_t cap_held (const struct cap *cap, uint64_t caller);

#endif
