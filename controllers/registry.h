#ifndef CONTROLLERS_REGISTRY_H
#define CONTROLLERS_REGISTRY_H

/**
 * DOC: registry - member table of a control replica
 *
 * Leases are renewed by the nodes; every change gets the next number, so that
 * a node receives only what changed since its last renewal.
 */

#include "core/clk.h"
#include "core/member.h"

struct registry;

struct registry_opts
{
  clk_us lease;           /* silence after which a member is gone */
  clk_us keep_tombstones; /* time that tombstones are kept */
  uint64_t epoch;         /* random for each start, not 0 */
  uint32_t members_max;   /* members; the oldest tombstone makes room */
};

struct registry *registry_new (const struct registry_opts *opts);
void registry_free (struct registry *registry);

/**
 * registry_renew() - take a renewal and fill in the reply's membership part
 * @registry: table
 * @renew: renewal; the state MEMBER_TOMBSTONE ends the lease as
 *registry_leave() does
 * @reply: status, since, position, whole and items are set; items are
 *	malloc()ed and freed with member_free_items(), also after an error
 * @now: time, never less than in an earlier call
 *
 * A record that is older than the one held changes nothing, but its sender
 * still gets the changes.  Changes cover the wanted services, all records of
 * control replicas, and members that have left a wanted service; the whole
 * table covers those that left within the last two leases.
 *
 * Return: SR_OK, SR_EEXIST with MEMBER_NAME_TAKEN in @reply, SR_EFULL,
 *SR_ENOMEM.
 */
int registry_renew (struct registry *registry,
                    const struct member_renew *renew,
                    struct member_renew_reply *reply, clk_us now);

/* Ends leases; returns how many ended.  Also drops old tombstones.  */
uint32_t registry_expire (struct registry *registry, clk_us now);

/* This process did not run for a while: renewals may wait in its sockets, so
   all leases start again at NOW.  */
void registry_resume (struct registry *registry, clk_us now);

/* A node says that it leaves: gone at once, and renewals that are not newer
   than RECORD do not bring it back.  Returns SR_OK, or SR_ENOENT when there is
   no such live member at that address or RECORD is older than the one held. */
int registry_leave (struct registry *registry,
                    const struct member_record *record, clk_us now);

/* Appends copies of all live records to OUT (struct member_item, malloc()ed)
   and returns their number.  */
uint32_t registry_list (const struct registry *registry, struct list *out);

/* Appends copies of the live records that reported a configuration version
   below NUMBER to OUT and returns their number; used by "apply --wait".  */
uint32_t registry_list_behind (const struct registry *registry,
                               uint64_t number, struct list *out);

#endif
