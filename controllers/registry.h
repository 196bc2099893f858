#ifndef CONTROLLERS_REGISTRY_H
#define CONTROLLERS_REGISTRY_H

/**
 * DOC: registry - membership table with leases at a control replica
 *
 * Nodes renew their leases.  Every change gets the next change number, so that
 * a node receives only the changes since its last renewal.
 */

#include "core/clk.h"
#include "core/member.h"

struct registry;

struct registry_opts
{
  clk_us lease; /* time without renewals after which a member becomes a
                   tombstone */
  clk_us tombstone_retention; /* time that tombstones are kept */
  uint64_t epoch;             /* random for each process start, not 0 */
  uint32_t members_max; /* when the table is full, the oldest tombstone is
                           dropped */
};

/* Returns NULL without memory.  */
struct registry *registry_new (const struct registry_opts *opts);
void registry_free (struct registry *registry);

/**
 * registry_renew() - apply a renewal and fill in the membership of the reply
 * @registry: table
 * @renew: renewal; with the state MEMBER_TOMBSTONE it ends the lease like
 *	registry_leave()
 * @reply: status, since, position, full and items are set; items are
 *	malloc()ed and freed with member_free_items(), also after an error
 * @now: current time, not lower than in an earlier call
 *
 * A record that is older than the stored one changes nothing, but its sender
 * still gets the changes.  Changes include the records of the wanted services
 * and of control replicas, and members that have left a wanted service.  The
 * full table includes members that have left one within the last two leases.
 *
 * Return: SR_OK, SR_EEXIST with MEMBER_NAME_TAKEN in @reply, SR_EFULL,
 * SR_ENOMEM.
 */
int registry_renew (struct registry *registry,
                    const struct member_renew *renew,
                    struct member_renew_reply *reply, clk_us now);

/* Ends expired leases and drops old tombstones.  Returns the number of leases
   that ended.  */
uint32_t registry_expire (struct registry *registry, clk_us now);

/* Restarts all leases at NOW.  To be called after this process was suspended,
   as renewals may still wait in its sockets.  */
void registry_resume (struct registry *registry, clk_us now);

/* Ends the lease of a node at its own request.  Renewals that are not newer
   than RECORD do not bring it back.  Returns SR_OK, or SR_ENOENT when there is
   no such live member at that address or RECORD is older than the stored
   one.  */
int registry_leave (struct registry *registry,
                    const struct member_record *record, clk_us now);

/* Appends copies of all live records to OUT (struct member_item, malloc()ed)
   and returns their number.  */
uint32_t registry_list (const struct registry *registry, struct list *out);

/* Appends copies of the live records whose node reported a configuration
   version below NUMBER to OUT and returns their number, for "rudderctl apply
   --wait".  */
uint32_t registry_list_lagging (const struct registry *registry,
                                uint64_t number, struct list *out);

#endif
