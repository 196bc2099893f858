#ifndef CONTROLLERS_SHARE_H
#define CONTROLLERS_SHARE_H

/**
 * DOC: shr - share per caller at the node beside the backend server
 *
 * While requests wait, one caller holds at most a share of the slots and the
 * queue together, so that a caller that sends far more than all others does
 * not push them out.  A request is never refused for this while a less
 * important one waits.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"

struct shr;

struct shr_opts
{
  uint32_t percent; /* of PLACES; 0 or 100 and more: no limit */
  uint32_t places;  /* slots and queue */
};

struct shr *shr_new (const struct shr_opts *opts);
void shr_free (struct shr *shr);
void shr_configure (struct shr *shr, const struct shr_opts *opts);

/**
 * shr_take() - count one more request of a caller
 * @shr: controller
 * @caller: hash of the caller's name
 * @importance: of the request
 * @least_waiting: adm_least_waiting()
 *
 * Return: true when counted, to be ended by shr_put(); false when the caller
 * holds its share, or without memory.
 */
bool shr_take (struct shr *shr, uint64_t caller, uint8_t importance,
               uint32_t least_waiting);
void shr_put (struct shr *shr, uint64_t caller);

/* Requests that a caller holds.  */
uint32_t shr_held (const struct shr *shr, uint64_t caller);

#endif
