#ifndef CONTROLLERS_VIEW_H
#define CONTROLLERS_VIEW_H

/**
 * DOC: viw - a node's union of the member tables of all replicas
 *
 * For an instance the newest (incarnation, sequence) wins.  A record is
 * dropped when every replica that has answered within the lease no longer
 * lists it; silence of replicas drops nothing.
 */

#include "core/clk.h"
#include "core/member.h"

struct viw;

struct viw_opts
{
  clk_us replica_silent; /* a replica silent for longer has no say */
};

struct viw *viw_new (const struct viw_opts *opts);
void viw_free (struct viw *view);

/**
 * viw_take() - take a reply of a replica
 * @view: view
 * @replica: its address
 * @reply: reply to a renewal
 * @now: time
 *
 * Return: 1 when the set of members changed, 0 when not, negative on error.
 */
int viw_take (struct viw *view, const char *replica,
              const struct mem_members *reply, clk_us now);

/* Position to put into the next renewal to REPLICA.  */
struct mem_position viw_position (const struct viw *view, const char *replica);

/* Appends copies of the members of SERVICE (all when NULL) to OUT as struct
   mem_item and returns their number.  */
uint32_t viw_list (const struct viw *view, const char *service,
                   struct lst *out);

#endif
