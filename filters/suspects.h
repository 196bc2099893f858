#ifndef FILTERS_SUSPECTS_H
#define FILTERS_SUSPECTS_H

/**
 * DOC: suspects - filter for requests that crash backend servers
 *
 * One filter of all request chains: filters/filter.h of the front task,
 * filters/dispatch.h and filters/admit.h of the gate task.  It asks the
 * quarantine, which the control task keeps up to date by messages.
 */

#include <stdbool.h>
#include <stdint.h>

#include "controllers/quarantine.h"
#include "core/clk.h"
#include "core/reason.h"

/* State of the filter at one node.  */
struct suspects
{
  struct quarantine *marks;
  uint32_t running; /* suspect requests at the local server */
};

/* What tells requests apart: a request that comes again has the same.  */
struct suspects_identity
{
  const char *caller;
  const char *target; /* service or host */
  const char *method;
  const char *path; /* with the query */
  uint64_t body_hash;
};

uint64_t suspects_fingerprint (const struct suspects_identity *identity);

/* Returns REASON_QUARANTINED or REASON_NONE.  */
enum reason_refusal suspects_check (const struct suspects *suspects,
                                    uint64_t fingerprint, clk_us now);

/* Lets one suspect run at a time at the local server.  Otherwise a harmless
   request could be in flight with the one that crashes servers each time, and
   both would be quarantined.  IS_SUSPECT: another node reports it as suspect.
   Returns REASON_SUSPECT_RUNNING, or REASON_NONE and sets *COUNTED for a
   suspect, which suspects_leave() reverts.  */
enum reason_refusal suspects_enter (struct suspects *suspects,
                                    uint64_t fingerprint, bool is_suspect,
                                    bool *counted, clk_us now);
void suspects_leave (struct suspects *suspects, bool *counted);

#endif
