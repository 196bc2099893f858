#ifndef CONTROLLERS_VIEW_H
#define CONTROLLERS_VIEW_H

/**
 * DOC: view - a node's union of the membership tables of all control replicas
 *
 * For an instance the newest (incarnation, sequence) wins.  A record is
 * dropped when no replica that has answered within the lease time lists it any
 * more; a replica that does not answer causes no drop.  A replica that has
 * restarted has an empty table at first.  A record missing there counts only
 * when the new epoch has been known for a lease time, or when the replica has
 * listed the member in that epoch and reports that its lease has ended.
 */

#include "core/clk.h"
#include "core/member.h"

#define VIEW_REPLICAS_MAX 32u

struct view;

struct view_opts
{
  clk_us replica_timeout; /* a replica that has not answered for longer is
                             ignored; the lease time */
};

/* Returns NULL without memory.  */
struct view *view_new (const struct view_opts *opts);
void view_free (struct view *view);

/**
 * view_apply_reply() - apply a replica's reply to a renewal
 * @view: view
 * @address: peer address of the replica
 * @reply: reply; one that was overtaken by a newer one, or that answers a
 *	renewal from before view_set_services(), changes nothing
 * @now: current time
 *
 * Return: 1 when the set of members changed, 0 when not, SR_ENOMEM; after
 * SR_ENOMEM the position is unchanged, so that the next reply repeats what is
 * missing.
 */
int view_apply_reply (struct view *view, const char *address,
                      const struct member_renew_reply *reply, clk_us now);

/* Position for the next renewal to the replica at ADDRESS.  */
struct member_position view_position (const struct view *view,
                                      const char *address);

/**
 * view_set_services() - set the services whose members are kept
 * @view: view; a new one keeps all services
 * @all: keep all services
 * @services: names, unused with @all
 * @count: number of @services
 *
 * Drops members of other services, except control replicas, and requests the
 * full table of every replica again.  To be called before the first renewal
 * that names the same services.
 *
 * Return: SR_OK, SR_ENOMEM.
 */
int view_set_services (struct view *view, bool all,
                       char (*services)[MODEL_NAME_BYTES], uint32_t count);

/* Appends copies of the members of SERVICE (all when NULL) to OUT as struct
   member_item and returns their number.  */
uint32_t view_list (const struct view *view, const char *service,
                    struct list *out);

#endif
