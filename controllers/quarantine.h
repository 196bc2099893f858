#ifndef CONTROLLERS_QUARANTINE_H
#define CONTROLLERS_QUARANTINE_H

/**
 * DOC: quarantine - quarantine of requests that crash backend servers
 *
 * A server that is lost marks the fingerprints of the requests in flight.
 * Marks on two different servers quarantine a fingerprint for a time.  A whole
 * answer to a request with the fingerprint clears its marks.  Marks are
 * exchanged between nodes through the control replicas.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

#define QUARANTINE_INSTANCE_BYTES 64
#define QUARANTINE_SERVERS_MIN 2

struct quarantine;

struct quarantine_opts
{
  clk_us keep; /* time that a mark counts and that a quarantine lasts */
  uint32_t fingerprints_max; /* fingerprints kept; the oldest is dropped */
};

/* One mark, as exchanged between nodes.  */
struct quarantine_mark
{
  struct list_node node;
  uint64_t fingerprint;
  char instance[QUARANTINE_INSTANCE_BYTES]; /* whose server was lost */
  uint32_t age_ms; /* relative, so that clocks may differ */
};

struct quarantine *quarantine_new (const struct quarantine_opts *opts);
void quarantine_free (struct quarantine *quarantine);
void quarantine_configure (struct quarantine *quarantine,
                           const struct quarantine_opts *opts);

/* Marks a fingerprint that was in flight when the server of INSTANCE was
   lost.  Returns SR_OK or SR_ENOMEM.  */
int quarantine_add_mark (struct quarantine *quarantine, uint64_t fingerprint,
                         const char *instance, clk_us at);

/* Clears the marks after a whole answer.  Marks from before NOW are not
   imported again.  */
void quarantine_clear_marks (struct quarantine *quarantine,
                             uint64_t fingerprint, clk_us now);

/* Whether the fingerprint is in quarantine.  */
bool quarantine_is_blocked (struct quarantine *quarantine,
                            uint64_t fingerprint, clk_us now);

/* Whether the fingerprint has a mark that counts: a server was lost while the
   request was in flight.  */
bool quarantine_is_suspect (struct quarantine *quarantine,
                            uint64_t fingerprint, clk_us now);

/* Drops marks older than the keep time.  */
void quarantine_expire (struct quarantine *quarantine, clk_us now);

/* Appends copies of at most MOST marks, newest first, to OUT; the caller
   frees them with free().  Returns their number.  */
uint32_t quarantine_export_marks (struct quarantine *quarantine,
                                  struct list *out, uint32_t most, clk_us now);

/* Adds a mark received from elsewhere; returns SR_EEXIST when it is
   known, cleared since, or too old.  */
int quarantine_import_mark (struct quarantine *quarantine,
                            const struct quarantine_mark *mark, clk_us now);

#endif
