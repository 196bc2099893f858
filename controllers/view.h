#ifndef CONTROLLERS_VIEW_H
#define CONTROLLERS_VIEW_H

/**
 * DOC: view - a node's union of the member tables of all replicas
 *
 * For an instance the newest (incarnation, sequence) wins.  A record is
 * dropped when every replica that has answered within the lease no longer
 * lists it; silence of replicas drops nothing.  A replica that has restarted
 * has an empty table at first, so what it does not list counts only once its
 * new epoch is known for the time of a lease, or if it has listed the member
 * in that epoch and says that the lease has ended.
 */

#include "core/clk.h"
#include "core/member.h"

#define VIEW_REPLICAS_MAX 32u

struct view;

struct view_opts
{
  clk_us replica_timeout; /* a replica silent for longer has no say; the time
                            of a lease */
};

struct view *view_new (const struct view_opts *opts);
void view_free (struct view *view);

/**
 * view_apply_reply() - take a reply of a replica
 * @view: view
 * @replica: its address
 * @reply: reply to a renewal; one that was overtaken by a newer one, or was
 *	asked for before view_set_services(), changes nothing
 * @now: time
 *
 * Return: 1 when the set of members changed, 0 when not, SR_ENOMEM; after
 * SR_ENOMEM the position is unchanged, so that the next reply repeats what is
 * missing.
 */
int view_apply_reply (struct view *view, const char *replica,
                      const struct member_renew_reply *reply, clk_us now);

/* Position to put into the next renewal to REPLICA.  */
struct member_position view_position (const struct view *view,
                                      const char *replica);

/**
 * view_set_services() - set the services whose members are kept
 * @view: view; a new one keeps all
 * @all: keep all services
 * @services: names, not needed with @all
 * @count: number of @services
 *
 * Drops members of other services, except control replicas, and asks every
 * replica for its whole table again.  To be called before the first renewal
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
