#ifndef CONTROLLERS_QUARANTINE_H
#define CONTROLLERS_QUARANTINE_H

/**
 * DOC: quarantine - quarantine of requests that crash backend servers
 *
 * When a server is lost, the fingerprints of the requests in flight there are
 * marked.  A fingerprint with marks of several servers is quarantined: its
 * requests are refused for a time.  A complete answer to a request with the
 * fingerprint clears its marks.  Nodes exchange marks and clears through the
 * control replicas.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

#define QUARANTINE_INSTANCE_BYTES 64
/* Default of quarantine_opts.servers_min.  */
#define QUARANTINE_SERVERS_MIN 2
/* Maximum of quarantine_opts.servers_min.  */
#define QUARANTINE_MARKS_MAX 4

struct quarantine;

struct quarantine_opts
{
  clk_us duration; /* validity of a mark and duration of a quarantine */
  uint32_t fingerprints_max; /* the oldest fingerprint is dropped beyond this
                                number */
  uint32_t servers_min; /* servers whose marks quarantine a fingerprint; 0:
                           QUARANTINE_SERVERS_MIN */
};

/* A mark, or a clear, as exchanged between nodes.  */
struct quarantine_mark
{
  struct list_node node;
  uint64_t fingerprint;
  /* The server that was lost: its node, or its node and start; empty for a
     clear.  */
  char instance[QUARANTINE_INSTANCE_BYTES];
  uint32_t age_ms; /* relative, because the clocks of nodes may differ */
};

/* Returns NULL without memory.  */
struct quarantine *quarantine_new (const struct quarantine_opts *opts);
void quarantine_free (struct quarantine *quarantine);
void quarantine_configure (struct quarantine *quarantine,
                           const struct quarantine_opts *opts);

/* Marks a fingerprint that was in flight when the server of INSTANCE was lost.
   Returns SR_OK or SR_ENOMEM.  */
int quarantine_add_mark (struct quarantine *quarantine, uint64_t fingerprint,
                         const char *instance, clk_us lost_at);

/* Clears the marks after a complete answer; returns whether there were any.
   Marks from before NOW are not imported again.  */
bool quarantine_clear_marks (struct quarantine *quarantine,
                             uint64_t fingerprint, clk_us now);

/* Time until the quarantine of the fingerprint ends; 0 when it is not
   quarantined.  */
clk_us quarantine_time_left (struct quarantine *quarantine,
                             uint64_t fingerprint, clk_us now);
/* Whether the fingerprint is quarantined.  */
bool quarantine_is_blocked (struct quarantine *quarantine,
                            uint64_t fingerprint, clk_us now);

/* Whether one more mark would quarantine the fingerprint.  */
bool quarantine_is_suspect (struct quarantine *quarantine,
                            uint64_t fingerprint, clk_us now);

/* Removes fingerprints whose marks and quarantine have expired.  */
void quarantine_expire (struct quarantine *quarantine, clk_us now);

/* Appends copies of at most COUNT_MAX marks and recent clears to OUT, those of
   fingerprints with several marks first, then the newest; the caller frees
   them with free().  Returns their number.  */
uint32_t quarantine_export_marks (struct quarantine *quarantine,
                                  struct list *out, uint32_t count_max,
                                  clk_us now);

/* Adds a mark or a clear received from another node.  Returns SR_OK,
   SR_ENOMEM, or SR_EEXIST when it is known, has been cleared since, or is too
   old.  */
int quarantine_import_mark (struct quarantine *quarantine,
                            const struct quarantine_mark *mark, clk_us now);

#endif
