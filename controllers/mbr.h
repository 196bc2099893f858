#ifndef CONTROLLERS_MBR_H
#define CONTROLLERS_MBR_H

/**
 * DOC: mbr - member table of a control replica
 *
 * Leases are renewed by the nodes; every change gets the next number, so that
 * a node receives only what changed since its last renewal.
 */

#include "core/clk.h"
#include "core/member.h"

struct mbr;

struct mbr_opts
{
  clk_us lease;     /* silence after which a member is gone */
  clk_us keep_gone; /* time that tombstones are kept */
  uint64_t epoch;   /* random for each start, not 0 */
  uint32_t most;    /* members; the oldest tombstone makes room */
};

struct mbr *mbr_new (const struct mbr_opts *opts);
void mbr_free (struct mbr *mbr);

/**
 * mbr_renew() - take a renewal and fill in the reply's membership part
 * @mbr: table
 * @renew: renewal; the state MEM_GONE ends the lease as mbr_leave() does
 * @reply: status, since, position, whole and items are set; items are
 *	malloc()ed and freed with mem_free_items(), also after an error
 * @now: time, never less than in an earlier call
 *
 * A record that is older than the one held changes nothing, but its sender
 * still gets the changes.  Changes cover the wanted services, all records of
 * control replicas, and members that have left a wanted service; the whole
 * table covers those that left within the last two leases.
 *
 * Return: SR_OK, SR_EEXIST with MEM_NAME_TAKEN in @reply, SR_EFULL, SR_ENOMEM.
 */
int mbr_renew (struct mbr *mbr, const struct mem_renew *renew,
               struct mem_members *reply, clk_us now);

/* Ends leases; returns how many ended.  Also drops old tombstones.  */
uint32_t mbr_expire (struct mbr *mbr, clk_us now);

/* This process did not run for a while: renewals may wait in its sockets, so
   all leases start again at NOW.  */
void mbr_resume (struct mbr *mbr, clk_us now);

/* A node says that it leaves: gone at once, and renewals that are not newer
   than RECORD do not bring it back.  Returns SR_OK, or SR_ENOENT when there is
   no such live member at that address or RECORD is older than the one held. */
int mbr_leave (struct mbr *mbr, const struct mem_record *record, clk_us now);

/* Appends copies of all live records to OUT (struct mem_item, malloc()ed) and
   returns their number.  */
uint32_t mbr_list (const struct mbr *mbr, struct lst *out);

/* Appends copies of the live records that reported a configuration version
   below NUMBER to OUT and returns their number; used by "apply --wait".  */
uint32_t mbr_behind (const struct mbr *mbr, uint64_t number, struct lst *out);

#endif
